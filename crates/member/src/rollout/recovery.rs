//! This member's part in the fleet's recovery from a power loss.

use super::RaftView;
use crate::config::{FleetConfig, RecoveryConfig};
use crate::front_node_process::FrontNodeObservation;
use crate::state_machine::StateMachine;
use pinetrestle_fleet::{MemberId, RetryTimer, Token};
use pinetrestle_recovery::{
    AdmissionController, AdmissionDecision, Command, RecoveryCoordinator, RecoveryState, WaitReason,
};
use pinetrestle_rollout::{Plan, StartPermission};

/// What a tick of the recovery reads besides the replicated state.
pub(super) struct RecoveryInputs<'a> {
    /// Raft's view of this member.
    pub(super) raft: RaftView,
    /// The release lease's token, if this member may act under it.
    pub(super) release_token: Option<Token>,
    /// The plan of the member's file.
    pub(super) plan: Option<&'a Plan>,
    /// The last observation of the front node.
    pub(super) front: &'a FrontNodeObservation,
    /// Whether this member has a front node.
    pub(super) has_front: bool,
    /// Whether the relay has discovery's endpoint list.
    pub(super) has_list: bool,
}

/// One member's part in the recovery. Time is the member's monotonic milliseconds.
pub(super) struct RecoveryDriver {
    member: MemberId,
    incarnation: u64,
    config: RecoveryConfig,
    /// Whether the front node gets the endpoint list from this member's relay.
    relayed: bool,
    admission_controller: AdmissionController,
    coordinator: RecoveryCoordinator,
    /// The admission controller's decision in the last tick.
    admission: AdmissionDecision,
    /// When the election was last proposed.
    election_report: RetryTimer,
    /// When this member's presence was last proposed.
    presence_report: RetryTimer,
}

impl RecoveryDriver {
    /// The part of the member with this file, in its start number `incarnation`.
    pub(super) fn new(file: &FleetConfig, incarnation: u64) -> Self {
        let member = MemberId(file.id);
        Self {
            member,
            incarnation,
            config: file.recovery.clone(),
            relayed: file.front_node.as_ref().is_some_and(|front| front.relay.is_some()),
            admission_controller: AdmissionController::new(
                member,
                incarnation,
                file.recovery.standalone_after_ms,
            ),
            coordinator: RecoveryCoordinator::new(),
            admission: AdmissionDecision::Wait(WaitReason::JustStarted),
            election_report: RetryTimer::default(),
            presence_report: RetryTimer::default(),
        }
    }

    /// Whether the front node is admitted, as of the last tick.
    pub(super) fn admission(&self) -> &AdmissionDecision {
        &self.admission
    }

    /// Whether the agent may start a front node that does not run.
    pub(super) fn start_permission(&self) -> StartPermission {
        if !self.config.waves {
            return StartPermission::Normal;
        }
        match &self.admission {
            AdmissionDecision::Admit => StartPermission::Normal,
            AdmissionDecision::AdmitInSafeMode => StartPermission::SafeMode,
            AdmissionDecision::Wait(_) => StartPermission::Denied,
        }
    }

    /// What to propose at `now`; decides anew whether the front node is admitted.
    pub(super) fn tick(
        &mut self,
        now: u64,
        state: &StateMachine,
        inputs: &RecoveryInputs<'_>,
    ) -> Vec<Command> {
        let recovery = &state.recovery;
        let mut commands = Vec::new();
        commands.extend(self.election(now, recovery, inputs));
        commands.extend(self.presence(now, recovery, inputs));
        if let Some(token) = inputs.release_token {
            let halted = state.rollout.halt().is_some();
            commands.extend(self.coordinator.poll(now, token, recovery, halted, self.config.min_wave_ms));
        }
        let running = inputs.front.status.running_version.is_some();
        self.admission = self.admission_controller.poll(now, inputs.raft.has_leader, running, recovery);
        commands
    }

    /// The leader's report of its election, until the state has its term.
    fn election(&mut self, now: u64, state: &RecoveryState, inputs: &RecoveryInputs<'_>) -> Option<Command> {
        let raft = inputs.raft;
        if !raft.leads || state.term() >= raft.term || !self.election_report.fire_if_due(now) {
            return None;
        }
        let members = inputs.plan.iter().flat_map(|plan| plan.nodes.keys().copied()).collect();
        Some(Command::LeaderElected { term: raft.term, members })
    }

    /// This member's report of its front node, where the state has another.
    fn presence(&mut self, now: u64, state: &RecoveryState, inputs: &RecoveryInputs<'_>) -> Option<Command> {
        let front = &inputs.front.status;
        let serving = front.running_version.is_some() && front.ready;
        let has_endpoint_list = !self.relayed || inputs.has_list;
        let known = state.presences().get(&self.member);
        let changed = known.is_none_or(|known| {
            known.incarnation != self.incarnation
                || known.serving != serving
                || known.has_endpoint_list != has_endpoint_list
        });
        // Only while the state has the term that this member is in: see `Command::ReportPresence`.
        let current = inputs.raft.has_leader && state.term() == inputs.raft.term;
        // Whether the front node runs is known from the first observation on.
        let observed = inputs.front.observed || !inputs.has_front;
        if !(current && changed && observed && self.presence_report.fire_if_due(now)) {
            return None;
        }
        Some(Command::ReportPresence {
            node: self.member,
            incarnation: self.incarnation,
            term: inputs.raft.term,
            serving,
            has_endpoint_list,
        })
    }
}
