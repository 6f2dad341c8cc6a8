//! The replicated state of releases and drains. Every member applies the same commands in log order and
//! therefore has the same state.
//!
//! This module defines the state and dispatches each command; the submodules apply the commands on halts,
//! front nodes and the plan, releases, index servers, and slots.

mod halts;
mod nodes;
mod releases;
mod servers;
mod slots;

use crate::command::Command;
use crate::limits::is_valid_name;
use crate::node::NodeState;
use crate::outcome::{Outcome, Refusal};
use crate::outcome_log::OutcomeLog;
use crate::plan::Plan;
use crate::release::{Halt, Release, ReleaseStage};
use crate::servers::{ServerState, ServerTable};
use pinetrestle_fleet::{MemberId, Token};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The replicated state of releases and drains.
///
/// Stored in snapshots with postcard: the order and types of the fields are the format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    plan: Option<Plan>,
    nodes: BTreeMap<MemberId, NodeState>,
    servers: ServerTable,
    release: Option<Release>,
    halt: Option<Halt>,
    /// The version that the last completed or rolled back release ended on; empty before the first release
    /// has ended.
    last_good_version: String,
    outcomes: OutcomeLog,
    applied_index: u64,
}

impl RolloutState {
    /// Creates the state before any command is applied.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current plan, or `None` before the first one is applied.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// Returns the state of a front node, or `None` if it is not in the plan.
    pub fn node(&self, node: MemberId) -> Option<&NodeState> {
        self.nodes.get(&node)
    }

    /// Iterates over the front nodes of the plan, with their states.
    pub fn nodes(&self) -> impl Iterator<Item = (MemberId, &NodeState)> {
        self.nodes.iter().map(|(id, node)| (*id, node))
    }

    /// Iterates over the known index servers: the name in discovery and the state of each.
    pub fn servers(&self) -> impl Iterator<Item = (&str, &ServerState)> {
        self.servers.iter()
    }

    /// Returns the state of an index server, or `None` if discovery has not listed it.
    pub fn server(&self, server: &str) -> Option<&ServerState> {
        self.servers.get(server)
    }

    /// Returns the running release or, if none is running, the last one.
    pub fn release(&self) -> Option<&Release> {
        self.release.as_ref()
    }

    /// Returns the release if it is running.
    pub(crate) fn running_release(&self) -> Option<&Release> {
        self.release.as_ref().filter(|release| release.stage == ReleaseStage::Running)
    }

    fn running_release_mut(&mut self) -> Option<&mut Release> {
        self.release.as_mut().filter(|release| release.stage == ReleaseStage::Running)
    }

    /// Returns the current halt, if any.
    pub fn halt(&self) -> Option<&Halt> {
        self.halt.as_ref()
    }

    fn require_no_halt(&self) -> Result<(), Refusal> {
        match self.halt {
            Some(_) => Err(Refusal::Halted),
            None => Ok(()),
        }
    }

    /// Returns the version that the last completed or rolled back release ended on, or an empty string before
    /// the first release has ended.
    pub fn last_good_version(&self) -> &str {
        &self.last_good_version
    }

    /// Returns the log index of the last command applied, or 0 before the first.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the outcome of the operator command with the id `command_id`, or `None` if it was not applied
    /// or its outcome is no longer stored.
    pub fn command_outcome(&self, command_id: &str) -> Option<&Outcome> {
        self.outcomes.find(command_id)
    }

    /// Applies the command at log index `index` and returns its outcome. `index` has to be higher than every
    /// index applied before; `release_lease` is the token of the lease of [`crate::RELEASE_TASK`] at that
    /// index.
    ///
    /// An operator command whose id was applied before changes nothing and returns the outcome of the first
    /// time.
    pub fn apply(&mut self, index: u64, command: &Command, release_lease: Option<Token>) -> Outcome {
        debug_assert!(index > self.applied_index, "index {index} applied after {}", self.applied_index);
        self.applied_index = index;
        let Some(command_id) = command.id() else {
            return self.apply_if_token_valid(index, command, release_lease);
        };
        if !is_valid_name(command_id) {
            return Outcome::Refused(Refusal::InvalidName);
        }
        if let Some(outcome) = self.outcomes.find(command_id) {
            return outcome.clone();
        }
        let outcome = self.apply_if_token_valid(index, command, release_lease);
        self.outcomes.push(command_id, outcome.clone());
        outcome
    }

    /// Applies a command, unless it carries a fencing token other than `release_lease`.
    fn apply_if_token_valid(
        &mut self,
        index: u64,
        command: &Command,
        release_lease: Option<Token>,
    ) -> Outcome {
        if command.token().is_some_and(|token| Some(token) != release_lease) {
            return Outcome::Refused(Refusal::StaleToken);
        }
        self.dispatch(index, command).unwrap_or_else(Outcome::Refused)
    }

    fn dispatch(&mut self, index: u64, command: &Command) -> Result<Outcome, Refusal> {
        match command {
            Command::Configure(plan) => self.configure(plan),
            Command::ReportStatus { node, report_seq, version, ready } => {
                self.report_status(*node, *report_seq, version, *ready)
            }
            Command::DeclareUnreachable { node, report_seq } => self.declare_unreachable(*node, *report_seq),
            Command::Release { id, to_version } => self.begin_release(id, to_version),
            Command::GrantSlot { node, .. } => self.grant_slot(index, *node),
            Command::BeginStep { node, slot_index } => self.begin_step(*node, *slot_index),
            Command::StepFinished { node, slot_index, health } => {
                self.step_finished(*node, *slot_index, health)
            }
            Command::StepFailed { node, slot_index, reason } => self.step_failed(*node, *slot_index, reason),
            Command::StepOverdue { node, slot_index, .. } => self.step_overdue(*node, *slot_index),
            Command::Halt { id, reason } => Ok(self.halt_by_operator(id, reason)),
            Command::Resume { .. } => Ok(self.resume()),
            Command::Rollback { .. } => self.rollback(),
            Command::DrainServer { server, .. } => self.drain_server(index, server),
            Command::ReturnServer { server, .. } => self.servers.begin_ramp(index, server),
            Command::AcknowledgeDrain { node, server, change_index } => {
                self.acknowledge_drain(*node, server, *change_index)
            }
            Command::AdvanceRamp { server, change_index, .. } => {
                self.advance_ramp(index, server, *change_index)
            }
            Command::ObserveServer { server, zone, up } => self.servers.observe(server, zone, *up),
        }
    }
}
