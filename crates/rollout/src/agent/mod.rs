//! The agent of a member's own front node: it starts the front node, restarts it if it ends, and carries out
//! the steps of releases.

mod step;

use crate::command::Command;
use crate::node::Slot;
use crate::plan::HealthCounters;
use crate::state::RolloutState;
use pinetrestle_fleet::{MemberId, RetryTimer, RETRY_INTERVAL_MS};
use std::collections::BTreeSet;
use step::{Step, StepFailure, StepPhase};

/// Maximum time between two polls that is counted as elapsed, in milliseconds (see [`PolledTime`]).
const MAX_POLL_GAP_MS: u64 = 250;
/// Minimum time between two starts of a front node that ends by itself, in milliseconds.
const RESTART_BACKOFF_MS: u64 = 500;

/// The status of the front node when the agent is polled.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FrontNodeStatus {
    /// The version of the running process, or `None` if there is no process.
    pub running_version: Option<String>,
    /// Whether the readiness check of the process succeeds.
    pub ready: bool,
    /// The counters of the process since its start, as last read.
    pub counters: HealthCounters,
}

/// Whether a front node that is not running may be started now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartPermission {
    /// It may be started with its normal settings.
    Normal,
    /// It may not be started yet.
    Denied,
    /// It may be started with its safe-mode settings, because the fleet has no leader.
    SafeMode,
}

/// An action on the front node's process, to be carried out by the caller of [`Agent::poll`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProcessAction {
    /// Start the front node with this version.
    Start(String),
    /// Start the front node with this version and its safe-mode settings.
    StartInSafeMode(String),
    /// Begin the graceful shutdown of the front node, in which it still answers the queries that it has
    /// accepted.
    Terminate,
    /// Kill the front node's process, because its graceful shutdown took too long.
    Kill,
}

/// The settings of an [`Agent`].
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// The member that runs the agent and the front node.
    pub node: MemberId,
    /// The versions of the front node that the member can start.
    pub versions: BTreeSet<String>,
    /// The version to start if no process is running and the replicated state names no version that the
    /// member has.
    pub initial_version: String,
    /// The status reports of this incarnation of the member have higher sequence numbers than this, those of
    /// all earlier incarnations have lower ones.
    pub report_seq_base: u64,
    /// Milliseconds that the graceful shutdown of the front node may take before its process is killed.
    pub stop_timeout_ms: u64,
    /// Milliseconds that the front node may take from its start until it is ready.
    pub start_timeout_ms: u64,
}

/// The decisions of one [`Agent::poll`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AgentOutput {
    /// Commands to propose to the replicated log.
    pub commands: Vec<Command>,
    /// The action to take on the front node's process, if any.
    pub action: Option<ProcessAction>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Mode {
    /// The front node is not in a step: the agent keeps `version` running.
    Steady { version: String },
    /// The agent carries out a step whose slot has begun.
    InStep(Step),
}

/// Measures time for the agent's timeouts, without most of the time in which the agent was stalled.
///
/// The time between two polls counts as [`MAX_POLL_GAP_MS`] at most. Otherwise the timeouts would expire
/// while the agent is stalled and can't observe the front node, and a front node would look as if it had not
/// become ready in time.
#[derive(Debug, Clone, Default)]
struct PolledTime {
    elapsed_ms: u64,
    last_poll_ms: Option<u64>,
}

impl PolledTime {
    /// Counts the time from the last poll to `now_ms`, and returns all time counted so far in milliseconds.
    fn advance(&mut self, now_ms: u64) -> u64 {
        let gap_ms = now_ms.saturating_sub(self.last_poll_ms.unwrap_or(now_ms));
        self.elapsed_ms += gap_ms.min(MAX_POLL_GAP_MS);
        self.last_poll_ms = Some(now_ms);
        self.elapsed_ms
    }
}

/// Limits how often [`Command::BeginStep`] is proposed for the slot with the index `slot_index`.
#[derive(Debug, Clone, Default)]
struct BeginProposal {
    slot_index: u64,
    retry: RetryTimer,
}

/// The last status report that was proposed.
#[derive(Debug, Clone)]
struct LastReport {
    version: String,
    ready: bool,
    proposed_ms: u64,
}

/// The inputs of one [`Agent::poll`].
struct Poll<'a> {
    /// The time of the poll in milliseconds, as counted by [`PolledTime`].
    now_ms: u64,
    status: &'a FrontNodeStatus,
    state: &'a RolloutState,
}

impl Poll<'_> {
    fn runs(&self, version: &str) -> bool {
        self.status.running_version.as_deref() == Some(version)
    }

    fn nothing_runs(&self) -> bool {
        self.status.running_version.is_none()
    }
}

/// Decides when a member's front node is started and stopped, and which commands its member proposes for it.
///
/// Times are milliseconds of the monotonic clock of the agent's process. A pause between two polls counts as
/// 250 ms at most, so that the timeouts do not expire while the agent itself is stalled.
#[derive(Debug, Clone)]
pub struct Agent {
    config: AgentConfig,
    mode: Option<Mode>,
    next_report_seq: u64,
    last_report: Option<LastReport>,
    polled_time: PolledTime,
    begin_proposal: BeginProposal,
    /// Limits how often the result of the current step ([`Command::StepFinished`] or [`Command::StepFailed`])
    /// is proposed.
    result_retry: RetryTimer,
    last_start_ms: Option<u64>,
    last_stop_ms: Option<u64>,
}

impl Agent {
    /// Creates an agent. It chooses the version to keep running at its first poll.
    pub fn new(config: AgentConfig) -> Agent {
        Agent {
            next_report_seq: config.report_seq_base + 1,
            config,
            mode: None,
            last_report: None,
            polled_time: PolledTime::default(),
            begin_proposal: BeginProposal::default(),
            result_retry: RetryTimer::default(),
            last_start_ms: None,
            last_stop_ms: None,
        }
    }

    /// Returns a short description of what the agent is doing, for the status.
    pub fn activity(&self) -> String {
        match &self.mode {
            None => "looking".to_owned(),
            Some(Mode::Steady { version }) => format!("keeps {version}"),
            Some(Mode::InStep(step)) => step.activity(),
        }
    }

    /// Returns the index of the slot of the step that the agent is carrying out, if any.
    pub fn slot_index(&self) -> Option<u64> {
        match &self.mode {
            Some(Mode::InStep(step)) => Some(step.slot.index),
            _ => None,
        }
    }

    /// Returns the commands to propose at `now_ms` and the action to take on the front node's process.
    ///
    /// `now_ms` is in milliseconds of the process's monotonic clock. `permission` says whether a front node
    /// that is not running may be started. Steps do not depend on it.
    pub fn poll(
        &mut self,
        now_ms: u64,
        status: &FrontNodeStatus,
        state: &RolloutState,
        permission: StartPermission,
    ) -> AgentOutput {
        let poll = Poll { now_ms: self.polled_time.advance(now_ms), status, state };
        let mut output = AgentOutput::default();
        let slot = self.current_slot(state);
        let mode = match self.mode.take() {
            Some(Mode::InStep(step)) if slot.as_ref().is_none_or(|s| s.index != step.slot.index) => {
                Mode::Steady { version: version_after_step(&poll, step) }
            }
            Some(Mode::InStep(step)) => self.poll_step(&poll, step, &mut output),
            Some(Mode::Steady { version }) => self.poll_steady(&poll, version, slot, permission, &mut output),
            None => {
                let version = self.first_version(&poll);
                self.poll_steady(&poll, version, slot, permission, &mut output)
            }
        };
        self.report_status(&poll, &mode, &mut output);
        self.mode = Some(mode);
        output
    }

    /// Returns the slot of this front node, unless the replicated state may be outdated.
    ///
    /// After a restart the member reads the log again, and the state may show a slot that has ended long ago.
    /// Once the state shows a report of this incarnation, all log entries from before this incarnation have
    /// been applied. Until then the agent ignores slots and only keeps the front node running.
    fn current_slot(&self, state: &RolloutState) -> Option<Slot> {
        let node = state.node(self.config.node)?;
        let log_is_current = node.report_seq > self.config.report_seq_base;
        node.slot.clone().filter(|_| log_is_current)
    }

    /// Returns the version to keep running from the first poll on: the running version, else the one in the
    /// replicated state if the member has it, else the configured initial version.
    fn first_version(&self, poll: &Poll<'_>) -> String {
        let last_known = poll.state.node(self.config.node).map(|node| node.version.clone());
        let available = last_known.filter(|version| self.config.versions.contains(version));
        let running = poll.status.running_version.clone();
        running.or(available).unwrap_or_else(|| self.config.initial_version.clone())
    }

    fn poll_steady(
        &mut self,
        poll: &Poll<'_>,
        version: String,
        slot: Option<Slot>,
        permission: StartPermission,
        output: &mut AgentOutput,
    ) -> Mode {
        match slot {
            Some(slot) if slot.begun && self.config.versions.contains(&slot.target_version) => {
                return self.enter_step(poll, slot, output);
            }
            Some(slot) => self.propose_begin_step(poll, &slot, output),
            None => {}
        }
        if poll.nothing_runs() {
            output.action = self.start_if_permitted(poll.now_ms, &version, permission);
        }
        Mode::Steady { version }
    }

    /// Proposes to begin the step for which `slot` was granted, or reports the step as failed if this member
    /// does not have the target version.
    fn propose_begin_step(&mut self, poll: &Poll<'_>, slot: &Slot, output: &mut AgentOutput) {
        let node = self.config.node;
        if !self.config.versions.contains(&slot.target_version) {
            if self.result_retry.fire_if_due(poll.now_ms) {
                let failure = StepFailure::UnknownVersion { version: slot.target_version.clone() };
                let reason = failure.to_string();
                output.commands.push(Command::StepFailed { node, slot_index: slot.index, reason });
            }
            return;
        }
        if self.begin_proposal.slot_index != slot.index {
            self.begin_proposal = BeginProposal { slot_index: slot.index, retry: RetryTimer::default() };
        }
        if self.begin_proposal.retry.fire_if_due(poll.now_ms) {
            output.commands.push(Command::BeginStep { node, slot_index: slot.index });
        }
    }

    fn enter_step(&mut self, poll: &Poll<'_>, slot: Slot, output: &mut AgentOutput) -> Mode {
        let phase = if poll.runs(&slot.target_version) { StepPhase::Starting } else { StepPhase::Stopping };
        self.last_stop_ms = None;
        self.result_retry = RetryTimer::default();
        self.poll_step(poll, Step { slot, phase, phase_since_ms: poll.now_ms }, output)
    }

    fn start_if_permitted(
        &mut self,
        now_ms: u64,
        version: &str,
        permission: StartPermission,
    ) -> Option<ProcessAction> {
        match permission {
            StartPermission::Denied => None,
            StartPermission::Normal => self.start(now_ms, version),
            StartPermission::SafeMode => {
                self.start(now_ms, version).map(|_| ProcessAction::StartInSafeMode(version.to_owned()))
            }
        }
    }

    /// Returns the action that starts `version`, or `None` if the last start is less than
    /// [`RESTART_BACKOFF_MS`] ago.
    fn start(&mut self, now_ms: u64, version: &str) -> Option<ProcessAction> {
        if self.last_start_ms.is_some_and(|started_ms| now_ms < started_ms + RESTART_BACKOFF_MS) {
            return None;
        }
        self.last_start_ms = Some(now_ms);
        Some(ProcessAction::Start(version.to_owned()))
    }

    /// Returns the next action that stops the running process, if any: first [`ProcessAction::Terminate`],
    /// and [`ProcessAction::Kill`] if the process still runs after the configured stop timeout.
    fn stop(&mut self, now_ms: u64) -> Option<ProcessAction> {
        match self.last_stop_ms {
            None => {
                self.last_stop_ms = Some(now_ms);
                Some(ProcessAction::Terminate)
            }
            Some(stopped_ms) if now_ms >= stopped_ms + self.config.stop_timeout_ms => {
                self.last_stop_ms = Some(now_ms);
                Some(ProcessAction::Kill)
            }
            Some(_) => None,
        }
    }

    /// Proposes a status report if the replicated state differs from the front node's actual status.
    fn report_status(&mut self, poll: &Poll<'_>, mode: &Mode, output: &mut AgentOutput) {
        let node = self.config.node;
        let Some(node_state) = poll.state.node(node) else { return };
        let version = match (&poll.status.running_version, mode) {
            (Some(running), _) => running.clone(),
            (None, Mode::Steady { version }) => version.clone(),
            (None, Mode::InStep(step)) => step.slot.previous_version.clone(),
        };
        let ready = poll.status.running_version.is_some() && poll.status.ready;
        let is_current = !node_state.unreachable && node_state.report_seq > self.config.report_seq_base;
        if is_current && node_state.version == version && node_state.ready == ready {
            return;
        }
        let due = self.last_report.as_ref().is_none_or(|last| {
            last.version != version
                || last.ready != ready
                || poll.now_ms >= last.proposed_ms + RETRY_INTERVAL_MS
        });
        if !due {
            return;
        }
        let report_seq = self.next_report_seq.max(node_state.report_seq + 1);
        self.next_report_seq = report_seq + 1;
        self.last_report = Some(LastReport { version: version.clone(), ready, proposed_ms: poll.now_ms });
        output.commands.push(Command::ReportStatus { node, report_seq, version, ready });
    }
}

/// Returns the version to keep running after a step, once the replicated state no longer shows the slot of
/// the step.
///
/// The slot has ended because the result that this agent proposed was applied. If no process is running, the
/// result determines the version.
fn version_after_step(poll: &Poll<'_>, step: Step) -> String {
    let version = match step.phase {
        StepPhase::Settling(_) => step.slot.target_version,
        _ => step.slot.previous_version,
    };
    poll.status.running_version.clone().unwrap_or(version)
}
