//! The commands of the replicated log that control recovery, and their outcomes.

use pinetrestle_fleet::{MemberId, Token};
use serde::{Deserialize, Serialize};

/// A command of the replicated log that [`RecoveryState`](crate::RecoveryState) applies.
///
/// Stored in the log with postcard: the order of the variants and of their fields is the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Records the election of a leader (proposed by that leader). The count of the members that are present
    /// then starts again.
    LeaderElected {
        /// The Raft term of the leader. The command is ignored if the term is not higher than that of the
        /// last election.
        term: u64,
        /// The members of the fleet, from the leader's configuration file.
        members: Vec<MemberId>,
    },
    /// Reports the state of a member (proposed by that member, once after each election and whenever the
    /// state changes).
    ReportPresence {
        /// The member that reports.
        node: MemberId,
        /// The incarnation of the member, a count of its starts that is kept on its disk.
        incarnation: u64,
        /// The term of the election for which the member reports. The member proposes a report only while
        /// this is both its current term and the term of the last election in the replicated state. So a
        /// report from before a power loss can't admit an incarnation that started after it.
        term: u64,
        /// Whether the member's front node is running and ready.
        serving: bool,
        /// Whether the member has received discovery's endpoint list.
        has_endpoint_list: bool,
    },
    /// Ends a stage and begins the next one (proposed by the coordinator).
    AdvanceStage {
        /// The fencing token of the release lease.
        token: Token,
        /// The epoch of the recovery. The command is ignored if this is not the current epoch.
        epoch: u64,
        /// The stage to end. The command is ignored if this is not the current stage.
        from_stage: RecoveryStage,
    },
}

/// The stage of the fleet's recovery from a power loss.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecoveryStage {
    /// Less than a majority of members has reported since the last election, so it is not known whether any
    /// front node serves.
    #[default]
    CountingMembers,
    /// No front node serves, and less than a majority of members has received discovery's endpoint list.
    AwaitingEndpointLists,
    /// A wave is open. The value is its size: the number of front nodes that it admits, including those of
    /// earlier waves.
    Waves(u32),
    /// All front nodes are admitted.
    Normal,
}

/// The state that a member has reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// The incarnation of the member.
    pub incarnation: u64,
    /// Whether the member's front node is running and ready.
    pub serving: bool,
    /// Whether the member has received discovery's endpoint list.
    pub has_endpoint_list: bool,
}

/// The result of applying a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command took effect.
    Applied,
    /// The command changed nothing: it is outdated, or its condition does not hold.
    Ignored,
}
