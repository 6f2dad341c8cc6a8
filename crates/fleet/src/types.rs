//! The plain data of the fleet: ids, commands, outcomes and bounds.

use serde::{Deserialize, Serialize};

/// A member of the fleet, by the number in its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// A fencing token: the log index of the entry that granted a lease. Only grows for one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// A request's id, chosen by its member and growing with each new request of that member; a request sent again
/// keeps its id, and the table answers it as the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// The name of a fleet-wide task, at most [`MAX_TASK_NAME`] bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task(pub String);

impl Task {
    /// Whether `name` may name a task: 1 to [`MAX_TASK_NAME`] bytes.
    pub fn fits(name: &str) -> bool {
        !name.is_empty() && name.len() <= MAX_TASK_NAME
    }
}

/// Tasks the table holds at most; an acquire of one more is refused.
pub const MAX_TASKS: usize = 64;
/// Members the table answers at most; the fleet's configuration names no more.
pub const MAX_MEMBERS: usize = 64;
/// Bytes of a task's name at most.
pub const MAX_TASK_NAME: usize = 64;
/// Allowed lease times, in milliseconds of the asking member's clock.
pub const TTL_MS: std::ops::RangeInclusive<u64> = 200..=60_000;
/// How much faster one member's monotonic clock may run than another's, in thousandths (here 2 %).
pub const DRIFT_PER_MILLE: u64 = 20;
/// Milliseconds the leader waits beyond a lease's time before it ends the lease.
pub const MARGIN_MS: u64 = 100;

/// One command of the replicated log that the table applies.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Command {
    /// Take `task` for `ttl_ms`, or renew it when `holding` is the token of the lease this member holds.
    Acquire {
        /// The task.
        task: Task,
        /// Who asks.
        member: MemberId,
        /// The request's id.
        request: RequestId,
        /// Milliseconds, within [`TTL_MS`].
        ttl_ms: u64,
        /// The token the member holds and renews, if any.
        holding: Option<Token>,
    },
    /// Give `task` back.
    Release {
        /// The task.
        task: Task,
        /// Who gives it back.
        member: MemberId,
        /// The request's id.
        request: RequestId,
        /// The token given back; another lease's is ignored.
        token: Token,
    },
    /// Proposed by the leader: the lease of `task` with `token` went unrenewed through `renewal`.
    Expire {
        /// The task.
        task: Task,
        /// The lease's token.
        token: Token,
        /// The count of renewals the leader saw; a later renewal makes the command void.
        renewal: u64,
    },
}

impl Command {
    /// The task the command is about.
    pub fn task(&self) -> &Task {
        match self {
            Command::Acquire { task, .. } | Command::Release { task, .. } | Command::Expire { task, .. } => {
                task
            }
        }
    }
}

/// A lease as the table holds it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: MemberId,
    /// Its fencing token.
    pub token: Token,
    /// Its time, milliseconds, as asked.
    pub ttl_ms: u64,
    /// Renewals applied since the grant.
    pub renewal: u64,
}

/// What applying a command decided.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// The lease is the asker's, new, with this token.
    Granted(Token),
    /// The asker's lease stands on, renewed.
    Renewed(Token),
    /// Another holds the task.
    Busy {
        /// Who.
        holder: MemberId,
        /// Under which token.
        token: Token,
    },
    /// The lease was given back.
    Released,
    /// The leader's expiry was applied; the task is free.
    Expired,
    /// Nothing changed, and why.
    Refused(Refusal),
}

/// Why a command changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Refusal {
    /// A lease time outside [`TTL_MS`].
    BadTtl,
    /// A task name over [`MAX_TASK_NAME`] bytes, or empty.
    BadTask,
    /// [`MAX_TASKS`] tasks are known.
    TooManyTasks,
    /// [`MAX_MEMBERS`] members have asked.
    TooManyMembers,
    /// A request id lower than one this member used before: a copy from the past.
    OldRequest,
    /// The token is not that of the lease that stands (released, expired, or another's).
    NotHolder,
    /// An expiry for a lease that was renewed, released or replaced since.
    Stale,
}
