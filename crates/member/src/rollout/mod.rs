//! A member's part in drains, releases and the recovery from a power loss: it feeds the state machines of
//! `pinetrestle-rollout` and `pinetrestle-recovery` and turns what they decide into entries to propose and actions for
//! the front node. Nothing here blocks, and nothing is decided here.

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

/// Raft's view of this member.
#[derive(Debug, Clone, Copy)]
pub struct RaftView {
    /// The member's term.
    pub term: u64,
    /// Whether a leader is known.
    pub has_leader: bool,
    /// Whether this member is the leader.
    pub leads: bool,
}

/// What the services beside the member have observed last.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// The front node.
    pub front: FrontNodeObservation,
    /// The endpoint list of discovery, as the relay has it.
    pub discovered: DiscoveredServers,
    /// The last change of each index server that the front node has been notified of.
    pub notified: BTreeMap<String, u64>,
}

/// What one tick decided.
#[derive(Debug, Default)]
pub struct RolloutStep {
    /// Entries to propose.
    pub entries: Vec<LogEntry>,
    /// What to do with the front node.
    pub front_action: Option<ProcessAction>,
}

/// One member's part. Time is the member's monotonic milliseconds.
pub struct RolloutDriver {
    member: MemberId,
    /// The file's plan; a member without one takes no part.
    plan: Option<Plan>,
    /// Keeps the front node up and carries out its steps; none where the file names no front node.
    agent: Option<Agent>,
    coordinator: RolloutCoordinator,
    /// Watches the peers' heartbeats while this member is the leader.
    failure_detector: Option<FailureDetector>,
    leader_reports: LeaderReports,
    recovery: RecoveryDriver,
    pending: PendingCommands,
    /// When each drain that the front node was notified of was last reported.
    notified_reports: BTreeMap<String, RetryTimer>,
    /// What the services beside the member have observed last.
    pub observations: Observations,
}

impl RolloutDriver {
    /// The part of the member with this file, in its start number `incarnation`.
    pub fn new(file: &FleetConfig, incarnation: u64) -> RolloutDriver {
        let member = MemberId(file.id);
        let agent = file.front_node.as_ref().map(|front| {
            let versions = front.versions.keys().cloned().collect();
            Agent::new(AgentConfig {
                node: member,
                versions,
                initial_version: front.initial_version.clone(),
                // Reports of this incarnation are numbered above those of the ones before.
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
            notified_reports: BTreeMap::new(),
            observations: Observations::default(),
        }
    }

    /// Whether this member takes part in releases at all.
    pub fn takes_part(&self) -> bool {
        self.plan.is_some()
    }

    /// This member became the leader, or is it no longer.
    pub fn set_leading(&mut self, now: u64, leads: bool, state: &RolloutState) {
        self.failure_detector = leads.then(|| FailureDetector::new(now, state));
    }

    /// A message from a peer: its heartbeat.
    pub fn record_heartbeat(&mut self, now: u64, from: u64) {
        if let Some(detector) = &mut self.failure_detector {
            detector.record_message(now, MemberId(from));
        }
    }

    /// Takes an operator's command, to be proposed with the next tick; its outcome goes to `response`.
    pub fn submit(&mut self, now: u64, command: Command, response: oneshot::Sender<Response>) {
        let takes_part = self.takes_part();
        self.pending.submit(now, command, response, takes_part);
    }

    /// What to propose at `now`, and what to do with the front node. `release_token` is the release lease's, if this
    /// member may act under it.
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
        commands.extend(self.report_notified(now, rollout));
        let rollout_entries = commands.into_iter().map(LogEntry::Rollout);
        let recovery_entries = recovery_commands.into_iter().map(LogEntry::Recovery);
        RolloutStep { entries: rollout_entries.chain(recovery_entries).collect(), front_action: agent.action }
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
            front: &self.observations.front,
            has_front: self.agent.is_some(),
            has_list: self.observations.discovered.is_some(),
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
        agent.poll(now, &self.observations.front.status, state, self.recovery.start_permission())
    }

    /// Reports drains that the front node has been notified of and the state does not yet count.
    fn report_notified(&mut self, now: u64, state: &RolloutState) -> Vec<Command> {
        let mut commands = Vec::new();
        for (name, server) in state.servers() {
            let unreported = server.phase == ServerPhase::Draining
                && !server.acknowledged_by.contains(&self.member)
                && self.observations.notified.get(name) == Some(&server.change_index);
            if !unreported {
                self.notified_reports.remove(name);
            } else if self.notified_reports.entry(name.to_owned()).or_default().fire_if_due(now) {
                commands.push(Command::AcknowledgeDrain {
                    node: self.member,
                    server: name.to_owned(),
                    change_index: server.change_index,
                });
            }
        }
        commands
    }

    /// What the fleet has decided on index servers for this member's front node.
    pub fn drain_view(&self, state: &RolloutState) -> DrainView {
        let closed = state.servers().filter(|(name, _)| !state.may_send(self.member, name));
        let changed = state.servers().filter(|(_, server)| server.change_index > 0);
        DrainView {
            drained_servers: closed.map(|(name, _)| name.to_owned()).collect(),
            change_indexes: changed.map(|(name, server)| (name.to_owned(), server.change_index)).collect(),
        }
    }

    /// The status report's part on drains and releases; none before a plan is agreed.
    pub fn status(&self, state: &RolloutState) -> Option<RolloutView> {
        status::rollout_view(state, self.agent.as_ref())
    }

    /// The status report's part on the recovery from a power loss; none where this member takes no part.
    pub fn recovery_status(&self, state: &RecoveryState) -> Option<RecoveryView> {
        self.takes_part().then(|| status::recovery_view(state, self.recovery.admission()))
    }
}

/// The reason in the log line of an outcome; none where it is not worth a line.
pub fn log_reason(outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::Applied => Some("done".to_owned()),
        Outcome::Unchanged => None,
        Outcome::Refused(refusal) => Some(format!("refused: {refusal}")),
    }
}
