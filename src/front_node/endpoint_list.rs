//! The endpoint list: applies lists and watch events.

use super::FrontNode;
use crate::interface::{Lifecycle, ListedReplica, Micros, ReplicaId};
use crate::state::Replica;

impl FrontNode {
    /// Applies a complete list. Replicas that are not on it are removed. A cached list does not confirm the
    /// watch.
    pub(super) fn on_endpoint_list(&mut self, entries: &[ListedReplica], cached: bool) {
        let listed: Vec<ReplicaId> = entries.iter().map(|entry| entry.replica).collect();
        for (_, replica) in self.replicas.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            replica.lifecycle = Lifecycle::Removed;
        }
        if !cached {
            self.confirm_watch();
        }
        self.apply_entries(entries);
    }

    /// Applies a watch event, which contains the entries that have changed.
    pub(super) fn on_endpoint_list_changed(&mut self, entries: &[ListedReplica]) {
        self.confirm_watch();
        self.apply_entries(entries);
    }

    /// Applies the entries of a list or a watch event.
    fn apply_entries(&mut self, entries: &[ListedReplica]) {
        for entry in entries {
            self.apply_entry(entry);
        }
        self.index_replicas_by_cell();
    }

    fn apply_entry(&mut self, entry: &ListedReplica) {
        let now = self.now;
        // Drawn for every entry, even if unused, so that the sequence of random numbers does not depend on
        // the state.
        let first_send_phase = self.random.next();
        let new_replica = || Replica::new(entry.started_at, first_send_phase);
        let replica = self.replicas.entry(entry.replica).or_insert_with(new_replica);
        if entry.started_at.is_some() && entry.started_at != replica.started_at {
            reset_restarted(replica, entry.started_at, first_send_phase, now);
        }
        replica.cell = entry.cell;
        replica.relative_capacity = entry.relative_capacity;
        replica.lifecycle = entry.lifecycle;
    }

    /// Rebuilds the index of replicas by cell.
    fn index_replicas_by_cell(&mut self) {
        let cell_count = self.settings.cell_count.max(1);
        self.replicas_by_cell.clear();
        for (id, replica) in self.replicas.iter().filter(|(_, r)| r.lifecycle != Lifecycle::Removed) {
            self.replicas_by_cell.entry(replica.cell % cell_count).or_default().push(*id);
        }
    }
}

/// Resets a replica that runs as a new process, to which failures and latencies of the previous one do not
/// apply.
fn reset_restarted(replica: &mut Replica, started_at: Option<Micros>, first_send_phase: f64, now: Micros) {
    replica.failure_penalty_ends.clear();
    replica.latency_ratio = 1.0;
    replica.last_answer_at = now;
    replica.started_at = started_at;
    replica.first_send_phase = first_send_phase;
}
