//! Leases of fleet-wide tasks: which member of a fleet of front nodes holds the lease of which task, and
//! under which fencing token.
//!
//! The crate is sans-I/O: nothing here reads a clock or touches a socket or a file. Times are milliseconds of
//! a **monotonic** clock (never a wall clock) of the process that calls the crate. Time stamps are only
//! compared within that process and never sent to another member. Each type takes events as input and returns
//! decisions:
//!
//! | type | runs on | input | decides |
//! | --- | --- | --- | --- |
//! | [`LeaseTable`] | every member, which applies the replicated log in order | [`Command`]s with their log index | who holds the lease of each task, and its token; the outcome of each request |
//! | [`ExpiryMonitor`] | the leader of the replicated log | the applied lease table, time | when to propose that a lease which was not renewed expires ([`Command::Expire`]) |
//! | [`LeaseHolder`] | a member that may hold the lease of a task | whether the member wants the lease, outcomes of its requests, time | when to request, renew or release the lease, and whether the member may act under it now |
//! | [`Fence`] | the resource that lease holders act on | the token of each action | whether to admit the action: never with a token lower than one admitted before |
//!
//! [`RetryTimer`] limits how often a log entry is proposed again until it is applied.
//!
//! # Why two lease holders never act at the same time
//!
//! 1. The log orders all commands. [`LeaseTable`] grants a lease of a task to a member only if no other
//!    member holds one. The token of a lease is the log index of its grant, so each lease of a task has a
//!    higher token than the leases of that task before it.
//! 2. A lease lasts until it is released, or until the leader proposes [`Command::Expire`] and the command is
//!    applied. [`ExpiryMonitor`] proposes it only after `ttl × (1 + drift) + margin` without a renewal on the
//!    leader's clock, counted from when the leader applied the grant or the last renewal, or from its
//!    election if that was later. The holder counts `ttl` from when it **sent** the request, which is earlier
//!    than both. So it stops acting before a leader may expire the lease, as long as no clock runs faster
//!    than `1 + drift` times another ([`MAX_CLOCK_DRIFT_PER_MILLE`]).
//! 3. If that assumption fails (a clock runs too fast, or the holder is paused between its check and its
//!    action), the [`Fence`] still rejects every action whose token is lower than one that it has admitted.
//!    Safety depends on the fence only; counting the time to live conservatively makes such rejections rare.
//!
//! A wall clock that jumps has no effect, because no wall clock is read. On fencing tokens and why they are
//! needed, see M. Kleppmann, "How to do distributed locking", 2016; on leases, C. Gray and D. Cheriton, SOSP
//! 1989.

#![warn(missing_docs)]

mod expiry;
mod fence;
mod holder;
mod retry_timer;
mod table;
mod types;

pub use expiry::ExpiryMonitor;
pub use fence::{Fence, StaleToken};
pub use holder::{LeaseHolder, LeaseHolderState, PendingRequest};
pub use retry_timer::{RetryTimer, RETRY_INTERVAL_MS};
pub use table::LeaseTable;
pub use types::{
    Command, Lease, MemberId, Outcome, Refusal, RequestId, Task, Token, EXPIRY_MARGIN_MS,
    MAX_CLOCK_DRIFT_PER_MILLE, MAX_MEMBERS, MAX_TASKS, MAX_TASK_NAME_BYTES, TTL_RANGE_MS,
};
