//! The data types of the lease protocol: ids, commands, outcomes and limits.
//!
//! The serializable types are stored with postcard in the entries of the replicated log and in its snapshots.
//! The order and types of fields and the order of variants are the storage format and must not change.

use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// The id of a member of the fleet: the number that its configuration file gives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// A fencing token: the log index of the entry that granted the lease. A later lease of the same task
/// therefore always has a higher token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// The id of a member's request, which also is its idempotency key.
///
/// The member chooses the id and increases it with each new request for the same task. A request that is sent
/// again keeps its id, so that the table applies it once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// The name of a fleet-wide task: work that at most one member, the holder of the task's lease, does at a
/// time.
///
/// A valid name has 1 to [`MAX_TASK_NAME_BYTES`] bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task(pub String);

impl Task {
    /// Returns whether `name` is a valid task name: 1 to [`MAX_TASK_NAME_BYTES`] bytes.
    pub fn is_valid_name(name: &str) -> bool {
        !name.is_empty() && name.len() <= MAX_TASK_NAME_BYTES
    }
}

/// Maximum number of tasks in the lease table. A request for the lease of a further task is refused.
pub const MAX_TASKS: usize = 64;
/// Maximum number of members of a fleet, and so of members whose requests the lease table stores.
pub const MAX_MEMBERS: usize = 64;
/// Maximum length of a task name, in bytes.
pub const MAX_TASK_NAME_BYTES: usize = 64;
/// The allowed range of a lease's time to live, in milliseconds of the requesting member's clock.
pub const TTL_RANGE_MS: RangeInclusive<u64> = 200..=60_000;
/// How much faster the monotonic clock of one member may run than that of another, in thousandths (20 is 2
/// %).
pub const MAX_CLOCK_DRIFT_PER_MILLE: u64 = 20;
/// Milliseconds that the leader waits, in addition to the time to live of a lease and the allowed clock
/// drift, before it expires the lease.
pub const EXPIRY_MARGIN_MS: u64 = 100;

/// A command of the replicated log that the lease table applies.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Command {
    /// Acquires the lease of `task`, or renews it if `held_token` is the token of the current lease and
    /// `member` holds that lease.
    Acquire {
        /// The task.
        task: Task,
        /// The member that requests the lease.
        member: MemberId,
        /// The id of the request.
        request: RequestId,
        /// The requested time to live in milliseconds, within [`TTL_RANGE_MS`].
        ttl_ms: u64,
        /// The token of the lease that the member holds and wants to renew; `None` to acquire a new lease.
        held_token: Option<Token>,
    },
    /// Releases the lease of `task`.
    Release {
        /// The task.
        task: Task,
        /// The member that releases the lease.
        member: MemberId,
        /// The id of the request.
        request: RequestId,
        /// The token of the lease to release. The command is refused if the current lease has another token.
        token: Token,
    },
    /// Expires the lease of `task`. Only the leader of the log proposes this command.
    Expire {
        /// The task.
        task: Task,
        /// The token of the lease to expire.
        token: Token,
        /// The number of renewals that the leader had observed. The command is refused if the lease has been
        /// renewed since.
        renewals: u64,
    },
}

impl Command {
    /// Returns the task whose lease the command changes.
    pub fn task(&self) -> &Task {
        match self {
            Command::Acquire { task, .. } | Command::Release { task, .. } | Command::Expire { task, .. } => {
                task
            }
        }
    }
}

/// A lease in the lease table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The member that holds the lease.
    pub holder: MemberId,
    /// The fencing token of the lease.
    pub token: Token,
    /// The time to live in milliseconds, as requested by the holder.
    pub ttl_ms: u64,
    /// Number of renewals applied since the lease was granted.
    pub renewals: u64,
}

/// The result of applying a [`Command`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// A new lease with this token was granted to the member.
    Granted(Token),
    /// The lease with this token, which the member holds, was renewed.
    Renewed(Token),
    /// The lease was not granted because another member holds it.
    Busy {
        /// The member that holds the lease.
        holder: MemberId,
        /// The token of that lease.
        token: Token,
    },
    /// The lease was released.
    Released,
    /// The lease was expired by command of the leader.
    Expired,
    /// The command was refused and changed nothing.
    Refused(Refusal),
}

/// The reason why a command was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Refusal {
    /// The requested time to live is outside [`TTL_RANGE_MS`].
    InvalidTtl,
    /// The task name is empty or longer than [`MAX_TASK_NAME_BYTES`] bytes.
    InvalidTaskName,
    /// The task is new and the table already holds [`MAX_TASKS`] tasks.
    TooManyTasks,
    /// The member is new to the table, which already stores requests of [`MAX_MEMBERS`] members.
    TooManyMembers,
    /// A request of the same member for the same task with a higher id was applied before. The refused
    /// request is a late copy, or its member restarted without knowing the last id that it had used.
    StaleRequest,
    /// A release whose token and member do not match the current lease of the task: that lease was released
    /// or expired before, or another member holds it.
    NotHolder,
    /// An expiry of a lease that has been renewed, released or replaced since the leader observed it.
    StaleExpiry,
}
