//! The decisions of a fleet of front nodes: who is a member, which fleet-wide task is held by whom, under which
//! fencing token.
//!
//! Nothing here reads a clock, touches a socket or a file. Time comes in as milliseconds of a **monotonic** clock
//! of the process that calls (never a wall clock), and only the process that measured it compares it: no moment
//! crosses from one member to another. Each part is fed events and answers with decisions:
//!
//! | part | runs on | fed | decides |
//! | --- | --- | --- | --- |
//! | [`LeaseTable`] | every member, applying the replicated log in order | [`Command`]s with their log index | who holds each task, its token; the answer to each request |
//! | [`Expiry`] | the leader of the replicated log | what was applied, its own ticks | when a lease has gone unrenewed long enough to be ended ([`Command::Expire`]) |
//! | [`Holder`] | the member that wants a task | its wish, answers, ticks | when to ask or renew, and whether it may act now |
//! | [`Fence`] | whatever receives actions taken under a lease | each action's token | whether to take it: never a token lower than one seen |
//!
//! # Why two holders never act at once
//!
//! 1. The log orders all commands; [`LeaseTable`] grants a task only while no lease on it stands, and a grant's
//!    token is its log index, so tokens of one task only grow.
//! 2. A lease stands until it is released or the leader proposes [`Command::Expire`] for it. [`Expiry`] does so only
//!    after its own clock shows `ttl × (1 + drift) + margin` without a renewal, counted from the later of the
//!    renewal's application and its own election. The holder counts its `ttl` from the moment it **sent** the
//!    request, before either, so the holder stops believing before a leader may end the lease, as long as no
//!    clock runs faster than `1 + drift` times another ([`DRIFT_PER_MILLE`]).
//! 3. Should that assumption fail (a clock that runs fast, a holder stopped between its check and its action), the
//!    [`Fence`] refuses every action whose token is lower than one it has seen. Safety of what is done rests on
//!    the fence; the clocks only make refusals rare.
//!
//! A wall clock that jumps forwards or back changes nothing here, since none is read.

mod again;
mod expiry;
mod fence;
mod holder;
mod table;
mod types;

pub use again::{Again, AGAIN_MS};
pub use expiry::Expiry;
pub use fence::{Fence, Stale};
pub use holder::{Holder, HolderState};
pub use table::LeaseTable;
pub use types::{
    Command, Lease, MemberId, Outcome, Refusal, RequestId, Task, Token, DRIFT_PER_MILLE, MARGIN_MS,
    MAX_MEMBERS, MAX_TASKS, MAX_TASK_NAME, TTL_MS,
};
