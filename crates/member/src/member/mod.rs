//! One member of the fleet. [`Member`] steps Raft with ticks and messages, applies committed entries to the
//! state machine, proposes the expiry of leases while it is the leader, and acquires leases for itself.
//!
//! Only the calls into the store block, and nothing here uses a socket: [`crate::transport`] has the sockets,
//! and [`crate::runtime`] the main loop that drives a member.

mod apply;
mod leases;
mod output;
mod ready;
mod status;

pub use output::{OutboundMessage, StepOutput};

use crate::config::FleetConfig;
use crate::error::MemberError;
use crate::raft_storage::RaftStorage;
use crate::rollout::{RaftView, RolloutDriver};
use crate::state_machine::{LogEntry, StateMachine};
use crate::wire::{self, Response};
use leases::OwnLeases;
use pinetrestle_fleet::{Command, ExpiryMonitor};
use protobuf::Message as _;
use raft::eraftpb::Message;
use raft::{Config, RawNode, StateRole};
use slog::{info, warn, Logger};
use std::time::Instant;
use tokio::sync::oneshot;

/// The maximum size of the entries in one Raft message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// The maximum number of Raft append messages in flight to one peer.
const MAX_MESSAGES_IN_FLIGHT: usize = 256;

/// One member of the fleet. Times are milliseconds since the member was opened, by the monotonic clock.
pub struct Member {
    id: u64,
    config: FleetConfig,
    log: Logger,
    raft: RawNode<RaftStorage>,
    state: StateMachine,
    /// Runs drains, releases and the recovery from a power loss at this member.
    pub rollout: RolloutDriver,
    /// The applied index of the rollout state for which a [`crate::relay::DrainView`] was last output.
    drain_view_index: Option<u64>,
    /// Times the expiry of all leases while this member is the leader.
    expiry: ExpiryMonitor,
    leases: OwnLeases,
    start: Instant,
    incarnation: u64,
}

impl Member {
    /// Opens the store and starts Raft. The state machine is restored from the snapshot, and Raft then
    /// delivers the committed entries after the snapshot, which are applied again in order.
    ///
    /// # Errors
    /// If the store can't be opened or holds data that does not decode, or if Raft rejects the configuration.
    pub fn open(config: FleetConfig, log: Logger) -> Result<Member, MemberError> {
        let voters: Vec<u64> = config.peers.iter().map(|peer| peer.id).collect();
        let storage = RaftStorage::open(&config.data_dir, &voters)?;
        let incarnation = storage.incarnation();
        let snapshot_index = storage.snapshot_index();
        let state = decode_state(storage.snapshot_data())?;
        let raft_config = raft_config(&config, snapshot_index);
        raft_config.validate()?;
        let raft = RawNode::new(&raft_config, storage, &log)?;
        let rollout = RolloutDriver::new(&config, incarnation);
        let leases = OwnLeases::new(&config, incarnation, rollout.is_enabled(), log.clone());
        info!(log, "member started"; "incarnation" => incarnation, "applied" => snapshot_index,
            "tasks" => config.tasks.len());
        Ok(Member {
            id: config.id,
            config,
            log,
            raft,
            state,
            rollout,
            drain_view_index: None,
            expiry: ExpiryMonitor::new(),
            leases,
            start: Instant::now(),
            incarnation,
        })
    }

    /// Returns the configuration with which the member was opened.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the milliseconds since the member was opened, by the monotonic clock.
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Steps Raft with a message from a peer, in Raft's protobuf encoding. A message that does not decode or
    /// that Raft rejects is logged and dropped.
    pub fn receive(&mut self, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            warn!(self.log, "failed to decode a Raft message"; "bytes" => bytes.len());
            return;
        };
        let now = self.now_ms();
        self.rollout.record_heartbeat(now, message.from);
        if let Err(error) = self.raft.step(message) {
            warn!(self.log, "Raft rejected a message"; "error" => %error);
        }
    }

    /// Advances the member by one tick, and adds the messages and actions for the caller to carry out to
    /// `output`.
    ///
    /// Advances Raft's logical clock, proposes the expiry of leases (as the leader), proposes this member's
    /// lease requests, collects actions under the leases it holds, runs drains, releases and recovery, and
    /// then processes Raft's `Ready`.
    ///
    /// # Errors
    /// If the store fails. The caller must then discard `output`, which may depend on writes that are not on
    /// disk.
    pub fn tick(&mut self, output: &mut StepOutput) -> Result<(), MemberError> {
        let now = self.now_ms();
        self.raft.tick();
        self.update_leadership(now);
        self.propose_expired_leases(now);
        for command in self.leases.poll(now) {
            self.propose(&LogEntry::Lease(command));
        }
        self.leases.collect_due_actions(now, &mut output.actions);
        if self.rollout.is_enabled() {
            self.tick_rollout(now, output);
        }
        self.process_ready(output)?;
        if self.rollout.is_enabled() {
            self.update_drain_view(output);
        }
        Ok(())
    }

    /// Accepts an operator's command on drains, releases or halts. Its outcome is sent to `response` once the
    /// command has been applied, or a rejection if it can't be proposed or is not applied in time.
    pub fn submit(&mut self, command: pinetrestle_rollout::Command, response: oneshot::Sender<Response>) {
        let now = self.now_ms();
        info!(self.log, "operator command received"; "command" => ?command);
        self.rollout.submit(now, command, response);
    }

    /// Sets whether this member wants the lease of `task`: if so, it acquires and renews the lease from now
    /// on, otherwise it releases it.
    ///
    /// # Errors
    /// [`MemberError::InvalidTaskName`] and [`MemberError::TooManyTasks`].
    pub fn set_wanted(&mut self, task: &str, wanted: bool) -> Result<(), MemberError> {
        self.leases.set_wanted(task, wanted)
    }

    fn is_leader(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// Starts the timers that only the leader runs (lease expiry, failure detection) once this member has
    /// been elected, and stops them once it is no longer the leader.
    fn update_leadership(&mut self, now: u64) {
        let is_leader = self.is_leader();
        if is_leader == self.expiry.is_leader() {
            return;
        }
        if is_leader {
            info!(self.log, "became leader"; "term" => self.raft.raft.term);
            self.expiry.become_leader(now, &self.state.leases);
        } else {
            info!(self.log, "no longer leader"; "term" => self.raft.raft.term);
            self.expiry.step_down();
        }
        self.rollout.set_leader(now, is_leader, &self.state.rollout);
    }

    fn propose_expired_leases(&mut self, now: u64) {
        for command in self.expiry.poll(now) {
            if let Command::Expire { task, token, .. } = &command {
                info!(self.log, "lease unrenewed, end proposed"; "task" => &task.0, "token" => token.0);
            }
            self.propose(&LogEntry::Lease(command));
        }
    }

    fn tick_rollout(&mut self, now: u64, output: &mut StepOutput) {
        let release_token = self.leases.release_token(now);
        let raft = RaftView {
            term: self.raft.raft.term,
            has_leader: self.raft.raft.leader_id != raft::INVALID_ID,
            is_leader: self.is_leader(),
        };
        let step = self.rollout.tick(now, &self.state, release_token, raft);
        for entry in step.entries {
            self.propose(&entry);
        }
        output.front_node_action = step.front_node_action;
    }

    /// Outputs the drained index servers for the relay if entries have been applied to the rollout state
    /// since the last output.
    fn update_drain_view(&mut self, output: &mut StepOutput) {
        let index = Some(self.state.rollout.applied_index());
        if self.drain_view_index != index {
            self.drain_view_index = index;
            output.drain_view = Some(self.rollout.drain_view(&self.state.rollout));
        }
    }

    /// Proposes an entry for the replicated log. A proposal may be dropped, for example because no leader is
    /// known; the component that wants the entry proposes it again until it is applied.
    fn propose(&mut self, entry: &LogEntry) {
        if self.raft.raft.leader_id == raft::INVALID_ID {
            return;
        }
        if let Err(error) = self.raft.propose(Vec::new(), wire::encode(entry)) {
            warn!(self.log, "proposal dropped"; "error" => %error);
        }
    }
}

/// Decodes the state machine from the data of a snapshot. Empty data means that there is no snapshot and
/// gives a new state machine.
fn decode_state(bytes: &[u8]) -> Result<StateMachine, MemberError> {
    if bytes.is_empty() {
        return Ok(StateMachine::default());
    }
    wire::decode(bytes).ok_or(MemberError::Decode { what: "the state machine in the snapshot" })
}

/// Returns Raft's configuration. `applied` is the index of the last entry in the snapshot.
fn raft_config(config: &FleetConfig, applied: u64) -> Config {
    Config {
        id: config.id,
        election_tick: config.election_ticks,
        heartbeat_tick: config.heartbeat_ticks,
        applied,
        check_quorum: true,
        pre_vote: true,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_MESSAGES_IN_FLIGHT,
        ..Default::default()
    }
}
