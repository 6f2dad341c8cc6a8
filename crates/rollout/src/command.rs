//! Commands of the replicated log.

use crate::plan::{HealthCounters, Plan};
use pinetrestle_fleet::{MemberId, Token};
use serde::{Deserialize, Serialize};

/// The name of the fleet-wide task whose lease holder coordinates releases and ramps. Its lease is the
/// "release lease".
pub const RELEASE_TASK: &str = "release";

/// A command of the replicated log that [`RolloutState`](crate::RolloutState) applies.
///
/// The text in parentheses says who proposes the command. A command whose `id` is set by an operator takes
/// effect once, however often it is applied.
///
/// Stored in the log with postcard: the order of the variants and of their fields is the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Makes a plan the current plan (leader, from its configuration file).
    Configure(Plan),
    /// Reports the state of a front node (agent).
    ReportStatus {
        /// The member that runs the front node.
        node: MemberId,
        /// The sequence number of the report. It increases with each report of the member, also across
        /// restarts.
        report_seq: u64,
        /// The version that the front node runs or ran last.
        version: String,
        /// Whether the front node serves.
        ready: bool,
    },
    /// Declares a member unreachable, because it has sent the leader no message for too long (leader).
    DeclareUnreachable {
        /// The member.
        node: MemberId,
        /// The sequence number of the member's last report. The command is refused if a later report was
        /// applied.
        report_seq: u64,
    },
    /// Begins a release (operator).
    Release {
        /// The id of the command, which becomes the id of the release.
        id: String,
        /// The version to update all front nodes to.
        to_version: String,
    },
    /// Grants `node` a slot for its step of the running release (coordinator).
    GrantSlot {
        /// The fencing token of the release lease.
        token: Token,
        /// The member that runs the front node.
        node: MemberId,
    },
    /// Begins the step under a granted slot; the agent stops its front node only after this is applied
    /// (agent).
    BeginStep {
        /// The member that runs the front node.
        node: MemberId,
        /// The index of the granted slot.
        slot_index: u64,
    },
    /// Ends the step: the front node serves the target version and has been observed (agent).
    ///
    /// The step has passed only if `health` shows no fault.
    StepFinished {
        /// The member that runs the front node.
        node: MemberId,
        /// The index of the slot of the step.
        slot_index: u64,
        /// The counters of the front node while it was observed.
        health: HealthCounters,
    },
    /// Ends the step as failed: the target version did not come up or ended early, and the previous version
    /// serves again or was never stopped (agent).
    StepFailed {
        /// The member that runs the front node.
        node: MemberId,
        /// The index of the slot of the step.
        slot_index: u64,
        /// The reason in a few words.
        reason: String,
    },
    /// Records that a step has taken longer than the plan allows (coordinator).
    StepOverdue {
        /// The fencing token of the release lease.
        token: Token,
        /// The member that runs the front node.
        node: MemberId,
        /// The index of the slot of the step.
        slot_index: u64,
    },
    /// Halts releases and drains: no release, step or drain begins and no ramp advances until a resume or a
    /// rollback (operator).
    Halt {
        /// The id of the command.
        id: String,
        /// The reason, shown in the status.
        reason: String,
    },
    /// Ends a halt; failed steps are retried (operator).
    Resume {
        /// The id of the command.
        id: String,
    },
    /// Rolls the release back to the version that it replaces, with steps and slots as before (operator).
    Rollback {
        /// The id of the command.
        id: String,
    },
    /// Drains an index server (operator).
    DrainServer {
        /// The id of the command.
        id: String,
        /// The name of the server in discovery.
        server: String,
    },
    /// Ends the drain of an index server and begins its ramp (operator).
    ReturnServer {
        /// The id of the command.
        id: String,
        /// The name of the server in discovery.
        server: String,
    },
    /// Acknowledges a change of an index server's phase: the front node's endpoint list shows the change
    /// (member).
    AcknowledgeDrain {
        /// The member that runs the front node.
        node: MemberId,
        /// The name of the server in discovery.
        server: String,
        /// The log index of the acknowledged change.
        change_index: u64,
    },
    /// Opens the next stage of an index server's ramp (coordinator).
    AdvanceRamp {
        /// The fencing token of the release lease.
        token: Token,
        /// The name of the server in discovery.
        server: String,
        /// The log index of the last change of the server's phase. The command is refused if a later change
        /// was applied.
        change_index: u64,
    },
    /// Records how discovery lists an index server (leader, from its own endpoint list).
    ObserveServer {
        /// The name of the server in discovery.
        server: String,
        /// The zone of the server.
        zone: String,
        /// Whether the server is listed as up.
        up: bool,
    },
}

impl Command {
    /// Returns the id of an operator command, by which repeated commands are recognized, or `None` for a
    /// command that a member proposes by itself.
    pub fn id(&self) -> Option<&str> {
        match self {
            Command::Release { id, .. }
            | Command::Halt { id, .. }
            | Command::Resume { id }
            | Command::Rollback { id }
            | Command::DrainServer { id, .. }
            | Command::ReturnServer { id, .. } => Some(id),
            _ => None,
        }
    }

    /// Returns the fencing token of a coordinator's command, which has to be that of the release lease, or
    /// `None` for other commands.
    pub(crate) fn token(&self) -> Option<Token> {
        match self {
            Command::GrantSlot { token, .. }
            | Command::StepOverdue { token, .. }
            | Command::AdvanceRamp { token, .. } => Some(*token),
            _ => None,
        }
    }
}
