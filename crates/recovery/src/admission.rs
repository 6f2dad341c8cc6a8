//! Admission: whether a member may start its own front node now.

use crate::command::RecoveryStage;
use crate::state::RecoveryState;
use pinetrestle_fleet::MemberId;
use std::fmt;

/// Whether a front node may be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The front node may be started with its normal settings.
    Admit,
    /// The front node may not be started yet, for a reason that is shown in the status.
    Wait(WaitReason),
    /// The front node may be started with its safe-mode settings. No leader has been known for so long that
    /// serving without the fleet's decisions is better than not serving. The fleet drains and releases
    /// nothing until it has a leader again.
    AdmitInSafeMode,
}

/// The reason why a front node is not admitted yet. Its display text is shown in the status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// The member has just started and has not polled yet.
    JustStarted,
    /// The member knows of no leader.
    NoLeader,
    /// After an election, less than a majority of members has reported its presence.
    CountingMembers,
    /// No front node serves, and less than a majority of members has received discovery's endpoint list.
    AwaitingEndpointLists,
    /// The fleet recovers from a state in which no front node served, and no wave that admits this front node
    /// is open.
    WaveNotOpen,
    /// The presence report of this incarnation has not been applied from the log yet.
    PresenceNotApplied,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WaitReason::JustStarted => "it has just started",
            WaitReason::NoLeader => {
                "no leader is known: a majority of members must be up and able to reach each other"
            }
            WaitReason::CountingMembers => "the fleet counts which members are present",
            WaitReason::AwaitingEndpointLists => "no front node served: discovery's list comes first",
            WaitReason::WaveNotOpen => {
                "no front node served: front nodes are admitted in waves, and its wave is not open yet"
            }
            WaitReason::PresenceNotApplied => "its own presence report has not been applied yet",
        })
    }
}

/// Decides when one incarnation of a member may start its front node.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    node: MemberId,
    incarnation: u64,
    safe_mode_after_ms: u64,
    leaderless_since_ms: Option<u64>,
}

impl AdmissionController {
    /// Creates the controller of the member `node` in its incarnation `incarnation`. It admits the front node
    /// in safe mode once no leader has been known for `safe_mode_after_ms` milliseconds.
    pub fn new(node: MemberId, incarnation: u64, safe_mode_after_ms: u64) -> AdmissionController {
        AdmissionController { node, incarnation, safe_mode_after_ms, leaderless_since_ms: None }
    }

    /// Returns whether the front node may be started at `now_ms`, in milliseconds of the process's monotonic
    /// clock.
    ///
    /// `leader_known` says whether the member knows a leader, `running` whether the front node is running. A
    /// front node that is running stays admitted.
    pub fn poll(
        &mut self,
        now_ms: u64,
        leader_known: bool,
        running: bool,
        state: &RecoveryState,
    ) -> AdmissionDecision {
        if leader_known {
            self.leaderless_since_ms = None;
        }
        if running || state.is_admitted(self.node, self.incarnation) {
            return AdmissionDecision::Admit;
        }
        if !leader_known {
            return self.decide_without_leader(now_ms);
        }
        AdmissionDecision::Wait(match state.stage() {
            RecoveryStage::CountingMembers => WaitReason::CountingMembers,
            RecoveryStage::AwaitingEndpointLists => WaitReason::AwaitingEndpointLists,
            RecoveryStage::Waves(_) => WaitReason::WaveNotOpen,
            RecoveryStage::Normal => WaitReason::PresenceNotApplied,
        })
    }

    fn decide_without_leader(&mut self, now_ms: u64) -> AdmissionDecision {
        let since_ms = *self.leaderless_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + self.safe_mode_after_ms {
            AdmissionDecision::AdmitInSafeMode
        } else {
            AdmissionDecision::Wait(WaitReason::NoLeader)
        }
    }
}
