//! One member of the fleet: Raft stepped by ticks and messages, committed entries applied to the state machine,
//! leases expired by the leader, and this member's own leases.
//!
//! Nothing here blocks but the store, and no socket is touched: the sockets are in [`crate::transport`], the loop
//! that drives a member in [`crate::runtime`].

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

/// Bytes of entries in one Raft message, at most.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Raft messages in flight to one peer, at most.
const MAX_MESSAGES_IN_FLIGHT: usize = 256;

/// One member of the fleet. Time is its process's monotonic milliseconds since it was opened.
pub struct Member {
    id: u64,
    config: FleetConfig,
    log: Logger,
    raft: RawNode<RaftStorage>,
    state: StateMachine,
    /// This member's part in drains, releases and the recovery from a power loss.
    pub rollout: RolloutDriver,
    /// The rollout state's index when its view was last handed out.
    viewed_index: Option<u64>,
    /// The leader's timers of all leases.
    expiry: ExpiryMonitor,
    leases: OwnLeases,
    start: Instant,
    incarnation: u64,
}

impl Member {
    /// Opens the store and starts Raft. The state machine is taken from the snapshot; Raft hands over the committed
    /// entries after it again, and they are applied again, in order.
    ///
    /// # Errors
    /// From the store, or Raft's rejection of the configuration.
    pub fn open(config: FleetConfig, log: Logger) -> Result<Member, MemberError> {
        let voters: Vec<u64> = config.peers.iter().map(|peer| peer.id).collect();
        let storage = RaftStorage::open(&config.data_dir, &voters)?;
        let incarnation = storage.incarnation();
        let snapshot_index = storage.snapshot_index();
        let state = snapshot_state(storage.snapshot_data())?;
        let raft_config = raft_config(&config, snapshot_index);
        raft_config.validate()?;
        let raft = RawNode::new(&raft_config, storage, &log)?;
        let rollout = RolloutDriver::new(&config, incarnation);
        let leases = OwnLeases::new(&config, incarnation, rollout.takes_part(), log.clone());
        info!(log, "member started"; "incarnation" => incarnation, "applied" => snapshot_index,
            "tasks" => config.tasks.len());
        Ok(Member {
            id: config.id,
            config,
            log,
            raft,
            state,
            rollout,
            viewed_index: None,
            expiry: ExpiryMonitor::new(),
            leases,
            start: Instant::now(),
            incarnation,
        })
    }

    /// The fleet file it was opened with.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Milliseconds since it was opened, by the monotonic clock.
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Steps Raft with a message from a peer.
    pub fn receive(&mut self, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            warn!(self.log, "message does not decode"; "bytes" => bytes.len());
            return;
        };
        let now = self.now_ms();
        self.rollout.record_heartbeat(now, message.from);
        if let Err(error) = self.raft.step(message) {
            warn!(self.log, "message not taken"; "error" => %error);
        }
    }

    /// One tick: Raft's clock, lease expiry, requests of this member's holders, actions under the leases it holds,
    /// drains and releases, then what Raft has ready.
    ///
    /// # Errors
    /// From the store; the output must not be used then.
    pub fn tick(&mut self, output: &mut StepOutput) -> Result<(), MemberError> {
        let now = self.now_ms();
        self.raft.tick();
        self.update_leadership(now);
        self.propose_expired_leases(now);
        for command in self.leases.poll(now) {
            self.propose(&LogEntry::Lease(command));
        }
        self.leases.act(now, &mut output.actions);
        if self.rollout.takes_part() {
            self.tick_rollout(now, output);
        }
        self.process_ready(output)?;
        if self.rollout.takes_part() {
            self.update_drain_view(output);
        }
        Ok(())
    }

    /// Takes an operator's command on drains and releases; its outcome goes to `response` once it is applied.
    pub fn submit(&mut self, command: pinetrestle_rollout::Command, response: oneshot::Sender<Response>) {
        let now = self.now_ms();
        info!(self.log, "command taken"; "command" => ?command);
        self.rollout.submit(now, command, response);
    }

    /// Acquires the lease of a task from now on, or releases it.
    ///
    /// # Errors
    /// [`MemberError::InvalidTaskName`] and [`MemberError::TooManyTasks`].
    pub fn set_wanted(&mut self, task: &str, wanted: bool) -> Result<(), MemberError> {
        self.leases.set_wanted(task, wanted)
    }

    fn is_leader(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// Starts the leader's duties after an election, ends them after a step-down.
    fn update_leadership(&mut self, now: u64) {
        let leads = self.is_leader();
        if leads == self.expiry.is_leader() {
            return;
        }
        if leads {
            info!(self.log, "became leader"; "term" => self.raft.raft.term);
            self.expiry.become_leader(now, &self.state.leases);
        } else {
            info!(self.log, "no longer leader"; "term" => self.raft.raft.term);
            self.expiry.step_down();
        }
        self.rollout.set_leading(now, leads, &self.state.rollout);
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
            leads: self.is_leader(),
        };
        let step = self.rollout.tick(now, &self.state, release_token, raft);
        for entry in step.entries {
            self.propose(&entry);
        }
        output.front_node_action = step.front_node_action;
    }

    /// Hands out what the fleet has decided on index servers, if the rollout state has changed since the last time.
    fn update_drain_view(&mut self, output: &mut StepOutput) {
        let index = Some(self.state.rollout.applied_index());
        if self.viewed_index != index {
            self.viewed_index = index;
            output.drain_view = Some(self.rollout.drain_view(&self.state.rollout));
        }
    }

    /// Proposes an entry; without a known leader it is dropped, and whoever wants it retries.
    fn propose(&mut self, entry: &LogEntry) {
        if self.raft.raft.leader_id == raft::INVALID_ID {
            return;
        }
        if let Err(error) = self.raft.propose(Vec::new(), wire::encode(entry)) {
            warn!(self.log, "proposal dropped"; "error" => %error);
        }
    }
}

/// The state machine in a snapshot's bytes, a new one where there is no snapshot.
fn snapshot_state(bytes: &[u8]) -> Result<StateMachine, MemberError> {
    if bytes.is_empty() {
        return Ok(StateMachine::default());
    }
    wire::decode(bytes).ok_or(MemberError::Decode { what: "the snapshot's state" })
}

/// Raft's configuration, with the index that the snapshot holds as applied.
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
