//! Runs the fleet's recovery from a power loss at one member: reports its leader election and the presence of
//! its front node, coordinates the stages, and decides whether its front node may start.

use super::RaftView;
use crate::config::{FleetConfig, RecoveryConfig};
use crate::front_node_process::FrontNodeObservation;
use crate::state_machine::StateMachine;
use pinetrestle_fleet::{MemberId, RetryTimer, Token};
use pinetrestle_recovery::{
    AdmissionController, AdmissionDecision, Command, RecoveryCoordinator, RecoveryState, WaitReason,
};
use pinetrestle_rollout::{Plan, StartPermission};

/// The inputs of [`RecoveryDriver::tick`] besides the replicated state.
pub(super) struct RecoveryInputs<'a> {
    /// The Raft state of this member.
    pub(super) raft: RaftView,
    /// The token of the release lease if this member may act under that lease.
    pub(super) release_token: Option<Token>,
    /// The plan from the member's configuration file.
    pub(super) plan: Option<&'a Plan>,
    /// The latest observation of the front node.
    pub(super) front_node: &'a FrontNodeObservation,
    /// Whether this member has a front node.
    pub(super) has_front_node: bool,
    /// Whether this member's relay has received discovery's endpoint list.
    pub(super) has_endpoint_list: bool,
}

/// Runs the recovery at one member. Times are milliseconds of the member's monotonic clock.
pub(super) struct RecoveryDriver {
    member: MemberId,
    incarnation: u64,
    config: RecoveryConfig,
    /// Whether the front node watches the endpoint list through this member's relay.
    uses_relay: bool,
    admission_controller: AdmissionController,
    /// Opens the next stage of a recovery while this member holds the release lease.
    coordinator: RecoveryCoordinator,
    /// The decision of the admission controller in the last tick.
    admission: AdmissionDecision,
    /// Limits how often the election report is proposed again.
    election_timer: RetryTimer,
    /// Limits how often the presence report is proposed again.
    presence_timer: RetryTimer,
}

impl RecoveryDriver {
    /// Creates the driver of a member from its configuration. `incarnation` is the count of the member's
    /// starts.
    pub(super) fn new(file: &FleetConfig, incarnation: u64) -> Self {
        let member = MemberId(file.id);
        Self {
            member,
            incarnation,
            config: file.recovery.clone(),
            uses_relay: file.front_node.as_ref().is_some_and(|front| front.relay.is_some()),
            admission_controller: AdmissionController::new(
                member,
                incarnation,
                file.recovery.standalone_after_ms,
            ),
            coordinator: RecoveryCoordinator::new(),
            admission: AdmissionDecision::Wait(WaitReason::JustStarted),
            election_timer: RetryTimer::default(),
            presence_timer: RetryTimer::default(),
        }
    }

    /// Returns whether the front node is admitted, as decided in the last tick.
    pub(super) fn admission(&self) -> &AdmissionDecision {
        &self.admission
    }

    /// Returns whether the agent may start the front node if it is not running. Always permits a normal start
    /// if the configuration turns off admission in waves.
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

    /// Returns the commands to propose at `now`, and updates the decision whether the front node is admitted.
    pub(super) fn tick(
        &mut self,
        now: u64,
        state: &StateMachine,
        inputs: &RecoveryInputs<'_>,
    ) -> Vec<Command> {
        let recovery = &state.recovery;
        let mut commands = Vec::new();
        commands.extend(self.report_election(now, recovery, inputs));
        commands.extend(self.report_presence(now, recovery, inputs));
        if let Some(token) = inputs.release_token {
            let halted = state.rollout.halt().is_some();
            commands.extend(self.coordinator.poll(now, token, recovery, halted, self.config.min_wave_ms));
        }
        let running = inputs.front_node.status.running_version.is_some();
        self.admission = self.admission_controller.poll(now, inputs.raft.has_leader, running, recovery);
        commands
    }

    /// Reports this member's election as leader, until the replicated state has its term.
    fn report_election(
        &mut self,
        now: u64,
        state: &RecoveryState,
        inputs: &RecoveryInputs<'_>,
    ) -> Option<Command> {
        let raft = inputs.raft;
        if !raft.is_leader || state.term() >= raft.term || !self.election_timer.fire_if_due(now) {
            return None;
        }
        let members = inputs.plan.iter().flat_map(|plan| plan.nodes.keys().copied()).collect();
        Some(Command::LeaderElected { term: raft.term, members })
    }

    /// Reports whether this member's front node serves and whether discovery's endpoint list has been
    /// received, unless the replicated state already has the same report of this incarnation.
    fn report_presence(
        &mut self,
        now: u64,
        state: &RecoveryState,
        inputs: &RecoveryInputs<'_>,
    ) -> Option<Command> {
        let front_node = &inputs.front_node.status;
        let serving = front_node.running_version.is_some() && front_node.ready;
        // Without a relay, the front node reads the endpoint list from discovery itself.
        let has_endpoint_list = !self.uses_relay || inputs.has_endpoint_list;
        let known = state.presences().get(&self.member);
        let changed = known.is_none_or(|known| {
            known.incarnation != self.incarnation
                || known.serving != serving
                || known.has_endpoint_list != has_endpoint_list
        });
        // Reports are proposed only while the replicated state has this member's term, so that a report from
        // before a power loss can't admit an incarnation that started after it; see
        // `Command::ReportPresence`.
        let current = inputs.raft.has_leader && state.term() == inputs.raft.term;
        // Until the first poll of the front node, it is not known whether it is running.
        let observed = inputs.front_node.observed || !inputs.has_front_node;
        if !(current && changed && observed && self.presence_timer.fire_if_due(now)) {
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
