//! Processing of Raft's `Ready`, the set of entries and state to persist, messages to send and entries to
//! apply. Raft is safe only if these are carried out in the order given here.

use super::output::StepOutput;
use super::Member;
use crate::error::MemberError;
use crate::wire;
use raft::eraftpb::Snapshot;
use slog::info;

impl Member {
    /// Persists, sends and applies what Raft has ready. The snapshot, entries and hard state are durable
    /// before the messages that depend on them are added to `output`.
    ///
    /// # Errors
    /// If the store fails, or the leader's snapshot does not decode.
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

    /// Stores a snapshot that the leader sent and replaces the state machine with it.
    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), MemberError> {
        self.raft.mut_store().apply_snapshot(snapshot)?;
        self.state = wire::decode(&snapshot.data).ok_or(MemberError::InvalidLeaderSnapshot)?;
        info!(self.log, "installed a snapshot from the leader"; "index" => snapshot.get_metadata().index);
        Ok(())
    }

    /// Writes a snapshot of the state machine and removes the log entries that it covers, once
    /// `snapshot_interval` entries have been applied since the last snapshot.
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
