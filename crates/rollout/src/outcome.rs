//! The outcomes of commands, and the reasons for refusing a command.

use crate::budget::BudgetExceeded;
use crate::limits::MAX_NAME_BYTES;
use serde::{Deserialize, Serialize};

/// The result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command took effect.
    Applied,
    /// The state was already as the command asks for.
    Unchanged,
    /// The command was refused and changed nothing.
    Refused(Refusal),
}

/// The reason why a command was refused.
///
/// Stored in snapshots with postcard: the order of the variants and of their fields is the format.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Refusal {
    /// No plan has been applied from the log yet.
    #[error("no plan is agreed yet: a majority of members must be up")]
    NoPlan,
    /// A name is empty or too long, or the state already holds the maximum number of such names. Also the
    /// refusal of a plan with no front nodes or too many.
    #[error("a name is empty or longer than {MAX_NAME_BYTES} bytes, or there are too many names")]
    InvalidName,
    /// The command's fencing token is not that of the release lease.
    #[error("the release lease is held under another token")]
    StaleToken,
    /// Releases and drains are halted.
    #[error("releases and drains are halted: resume first")]
    Halted,
    /// Another release is running.
    #[error("release {id} is running: wait until it ends, or roll it back")]
    ReleaseInProgress {
        /// The id of the running release.
        id: String,
    },
    /// No release is running, or there is none to roll back.
    #[error("there is no such release")]
    NoRelease,
    /// The budget is used up.
    #[error(transparent)]
    BudgetExceeded(#[from] BudgetExceeded),
    /// The command does not fit the unit's state: a slot for a front node that holds one or whose step is not
    /// waiting, the next ramp stage for an index server that is not ramping or is down, or a plan without a
    /// front node that holds a slot.
    #[error(
        "the front node or index server is being changed already, needs no change, or can't be changed now"
    )]
    NotEligible,
    /// Front nodes other than the canaries have to wait until the canaries have passed.
    #[error("the canaries have not passed yet")]
    AwaitingCanaries,
    /// The member is unreachable or has not reported yet, so it would not carry out the step. Also the
    /// refusal of the first release if not all front nodes have reported the same version.
    #[error("the member is unreachable, or its front node has not reported a version")]
    Unreachable,
    /// There is no such front node or index server.
    #[error("no such front node or index server is known")]
    UnknownUnit,
    /// The command refers to a slot, report or change that is no longer the current one.
    #[error("the command is outdated: its slot has ended, or a later report or change was applied")]
    Stale,
}
