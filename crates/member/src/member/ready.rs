//! Raft's `Ready`: what it has to persist, send and apply after a step, in the order that keeps it safe.

use super::output::StepOutput;
use super::Member;
use crate::error::MemberError;
use crate::wire;
use raft::eraftpb::Snapshot;
use slog::info;

impl Member {
    /// Carries out what Raft has ready: snapshot, entries and hard state are durable before the messages that rest on
    /// them leave; committed entries are applied.
    pub(super) fn process_ready(&mut self, output: &mut StepOutput) -> Result<(), MemberError> {
        if !self.raft.has_ready() {
            return Ok(());
        }
        let mut ready = self.raft.ready();
        output.add_messages(ready.take_messages());
        if !ready.snapshot().is_empty() {
            self.install_snapshot(ready.snapshot())?;
        }
        self.apply_committed(ready.take_committed_entries());
        self.raft.mut_store().append(ready.entries())?;
        if let Some(hard_state) = ready.hs() {
            self.raft.mut_store().set_hard_state(hard_state)?;
        }
        self.raft.mut_store().sync()?;
        output.add_messages(ready.take_persisted_messages());
        let mut light_ready = self.raft.advance(ready);
        if let Some(commit_index) = light_ready.commit_index() {
            self.raft.mut_store().set_commit(commit_index)?;
            self.raft.mut_store().sync()?;
        }
        output.add_messages(light_ready.take_messages());
        self.apply_committed(light_ready.take_committed_entries());
        self.raft.advance_apply();
        self.compact()
    }

    /// Replaces the state machine by the snapshot that the leader sent.
    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), MemberError> {
        self.raft.mut_store().apply_snapshot(snapshot)?;
        self.state = wire::decode(&snapshot.data).ok_or(MemberError::InvalidLeaderSnapshot)?;
        info!(self.log, "snapshot taken from the leader"; "index" => snapshot.get_metadata().index);
        Ok(())
    }

    /// Writes a snapshot of the state machine, and cuts the log before it, every `snapshot_interval` entries.
    fn compact(&mut self) -> Result<(), MemberError> {
        let snapshot_index = self.raft.store().snapshot_index();
        let applied_index = self.state.applied_index();
        let due = applied_index >= snapshot_index + self.config.snapshot_interval;
        if due && applied_index <= self.raft.raft.raft_log.committed {
            let state = wire::encode(&self.state);
            self.raft.mut_store().compact(applied_index, state)?;
            info!(self.log, "snapshot written"; "index" => applied_index,
                "log_bytes" => self.raft.store().log_bytes());
        }
        Ok(())
    }
}
