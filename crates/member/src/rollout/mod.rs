//! Runs drains, releases and the recovery from a power loss at one member.
//!
//! [`RolloutDriver`] passes time, the replicated state and local observations to the state machines of
//! `pinetrestle-rollout` and `pinetrestle-recovery`, which make the decisions, and turns their decisions into
//! log entries to propose and actions for the member's front node. Nothing here blocks.

mod leader_reports;
mod pending;
mod recovery;
mod status;

use crate::config::FleetConfig;
use crate::front_node_process::FrontNodeObservation;
use crate::relay::{DiscoveredServers, DrainView};
use crate::state_machine::{LogEntry, StateMachine};
use crate::status::{RecoveryView, RolloutView};
use crate::wire::Response;
use leader_reports::LeaderReports;
use pending::PendingCommands;
use pinetrestle_fleet::{MemberId, RetryTimer, Token};
use pinetrestle_recovery::RecoveryState;
use pinetrestle_rollout::{
    Agent, AgentConfig, AgentOutput, Command, FailureDetector, Outcome, Plan, ProcessAction,
    RolloutCoordinator, RolloutState, ServerPhase,
};
use recovery::{RecoveryDriver, RecoveryInputs};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The Raft state of this member.
#[derive(Debug, Clone, Copy)]
pub struct RaftView {
    /// The current term of the member.
    pub term: u64,
    /// Whether the member knows a leader.
    pub has_leader: bool,
    /// Whether the member is the leader.
    pub is_leader: bool,
}

/// The latest observations of the services that run beside the member in its process
/// ([`crate::local_services`]).
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// The state of the front node.
    pub front_node: FrontNodeObservation,
    /// The index servers on discovery's endpoint list, from the relay; `None` while discovery does not
    /// respond.
    pub discovered: DiscoveredServers,
    /// For each index server that was ever drained, by name, the log index of the last change of its phase
    /// (drain, return, ramp stage) that the front node's endpoint list shows.
    pub notified_changes: BTreeMap<String, u64>,
}

/// The output of one tick.
#[derive(Debug, Default)]
pub struct RolloutStep {
    /// Log entries to propose.
    pub entries: Vec<LogEntry>,
    /// The action for the process of the front node: whether to start, stop or kill it.
    pub front_node_action: Option<ProcessAction>,
}

/// Runs drains, releases and the recovery from a power loss at one member. Times are milliseconds of the
/// member's monotonic clock.
pub struct RolloutDriver {
    member: MemberId,
    /// The plan from the configuration file; `None` if the file has no `rollout` section.
    plan: Option<Plan>,
    /// Keeps the front node running and carries out its steps; `None` if the configuration names no front
    /// node.
    agent: Option<Agent>,
    /// Coordinates releases and ramps while this member holds the release lease.
    coordinator: RolloutCoordinator,
    /// Declares peers unreachable if their messages stop; `Some` while this member is the leader.
    failure_detector: Option<FailureDetector>,
    leader_reports: LeaderReports,
    recovery: RecoveryDriver,
    pending: PendingCommands,
    /// For each index server, limits how often the acknowledgement of its drain is proposed again.
    acknowledgement_timers: BTreeMap<String, RetryTimer>,
    /// The latest observations of the services that run beside the member.
    pub observations: Observations,
}

impl RolloutDriver {
    /// Creates the driver of a member from its configuration. `incarnation` is the count of the member's
    /// starts.
    pub fn new(file: &FleetConfig, incarnation: u64) -> RolloutDriver {
        let member = MemberId(file.id);
        let agent = file.front_node.as_ref().map(|front| {
            let versions = front.versions.keys().cloned().collect();
            Agent::new(AgentConfig {
                node: member,
                versions,
                initial_version: front.initial_version.clone(),
                // The reports of this incarnation have higher sequence numbers than those of earlier ones.
                report_seq_base: incarnation << 32,
                stop_timeout_ms: front.stop_timeout_ms,
                start_timeout_ms: front.start_timeout_ms,
            })
        });
        RolloutDriver {
            member,
            plan: file.rollout_plan(),
            agent,
            coordinator: RolloutCoordinator::new(),
            failure_detector: None,
            leader_reports: LeaderReports::default(),
            recovery: RecoveryDriver::new(file, incarnation),
            pending: PendingCommands::default(),
            acknowledgement_timers: BTreeMap::new(),
            observations: Observations::default(),
        }
    }

    /// Returns whether this member takes part in drains, releases and recovery: whether its configuration
    /// file has a `rollout` section.
    pub fn is_enabled(&self) -> bool {
        self.plan.is_some()
    }

    /// Records that this member became the leader or is no longer the leader.
    pub fn set_leader(&mut self, now: u64, is_leader: bool, state: &RolloutState) {
        self.failure_detector = is_leader.then(|| FailureDetector::new(now, state));
    }

    /// Records that a Raft message arrived from the member `from`; every message counts as a heartbeat.
    pub fn record_heartbeat(&mut self, now: u64, from: u64) {
        if let Some(detector) = &mut self.failure_detector {
            detector.record_message(now, MemberId(from));
        }
    }

    /// Accepts an operator's command, which the next tick proposes. Its outcome is sent to `response`.
    pub fn submit(&mut self, now: u64, command: Command, response: oneshot::Sender<Response>) {
        let rollout_enabled = self.is_enabled();
        self.pending.submit(now, command, response, rollout_enabled);
    }

    /// Returns the entries to propose at `now` and the action for the front node. `release_token` is the
    /// token of the release lease if this member may act under that lease.
    pub fn tick(
        &mut self,
        now: u64,
        state: &StateMachine,
        release_token: Option<Token>,
        raft: RaftView,
    ) -> RolloutStep {
        let recovery_commands = self.tick_recovery(now, state, release_token, raft);
        let rollout = &state.rollout;
        let mut commands = self.pending.poll(now, rollout);
        if let Some(token) = release_token {
            commands.extend(self.coordinator.poll(now, token, rollout));
        }
        commands.extend(self.tick_leader(now, rollout));
        let agent = self.tick_agent(now, rollout);
        commands.extend(agent.commands);
        commands.extend(self.acknowledge_drains(now, rollout));
        let rollout_entries = commands.into_iter().map(LogEntry::Rollout);
        let recovery_entries = recovery_commands.into_iter().map(LogEntry::Recovery);
        RolloutStep {
            entries: rollout_entries.chain(recovery_entries).collect(),
            front_node_action: agent.action,
        }
    }

    fn tick_recovery(
        &mut self,
        now: u64,
        state: &StateMachine,
        release_token: Option<Token>,
        raft: RaftView,
    ) -> Vec<pinetrestle_recovery::Command> {
        let inputs = RecoveryInputs {
            raft,
            release_token,
            plan: self.plan.as_ref(),
            front_node: &self.observations.front_node,
            has_front_node: self.agent.is_some(),
            has_endpoint_list: self.observations.discovered.is_some(),
        };
        self.recovery.tick(now, state, &inputs)
    }

    fn tick_leader(&mut self, now: u64, state: &RolloutState) -> Vec<Command> {
        let Some(detector) = &mut self.failure_detector else { return Vec::new() };
        let mut commands = detector.poll(now, self.member, state);
        commands.extend(self.leader_reports.newer_plan(now, self.plan.as_ref(), state));
        if let Some(listed) = &self.observations.discovered {
            commands.extend(self.leader_reports.changed_servers(now, listed, state));
        }
        commands
    }

    fn tick_agent(&mut self, now: u64, state: &RolloutState) -> AgentOutput {
        let Some(agent) = &mut self.agent else { return AgentOutput::default() };
        agent.poll(now, &self.observations.front_node.status, state, self.recovery.start_permission())
    }

    /// Acknowledges drains that the front node's endpoint list shows, until the replicated state contains the
    /// acknowledgement.
    fn acknowledge_drains(&mut self, now: u64, state: &RolloutState) -> Vec<Command> {
        let mut commands = Vec::new();
        for (name, server) in state.servers() {
            let unacknowledged = server.phase == ServerPhase::Draining
                && !server.acknowledged_by.contains(&self.member)
                && self.observations.notified_changes.get(name) == Some(&server.change_index);
            if !unacknowledged {
                self.acknowledgement_timers.remove(name);
            } else if self.acknowledgement_timers.entry(name.to_owned()).or_default().fire_if_due(now) {
                commands.push(Command::AcknowledgeDrain {
                    node: self.member,
                    server: name.to_owned(),
                    change_index: server.change_index,
                });
            }
        }
        commands
    }

    /// Returns the index servers that this member's front node must not send to, and the log index of the
    /// last change of the phase (drain, return, ramp stage) of each index server that was ever drained.
    pub fn drain_view(&self, state: &RolloutState) -> DrainView {
        let drained = state.servers().filter(|(name, _)| !state.may_send(self.member, name));
        let changed = state.servers().filter(|(_, server)| server.change_index > 0);
        DrainView {
            drained_servers: drained.map(|(name, _)| name.to_owned()).collect(),
            change_indexes: changed.map(|(name, server)| (name.to_owned(), server.change_index)).collect(),
        }
    }

    /// Returns the status of drains and releases, or `None` if there is no current plan yet.
    pub fn status(&self, state: &RolloutState) -> Option<RolloutView> {
        status::rollout_view(state, self.agent.as_ref())
    }

    /// Returns the status of the recovery from a power loss, or `None` if this member takes no part in it.
    pub fn recovery_status(&self, state: &RecoveryState) -> Option<RecoveryView> {
        self.is_enabled().then(|| status::recovery_view(state, self.recovery.admission()))
    }
}

/// Returns the `reason` with which an outcome is logged, or `None` if the command changed nothing and is not
/// logged.
pub fn log_reason(outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::Applied => Some("done".to_owned()),
        Outcome::Unchanged => None,
        Outcome::Refused(refusal) => Some(format!("refused: {refusal}")),
    }
}
