//! The endpoint list: applies lists and watch events, and keeps the watch on the list running.

use super::tuning::{
    INITIAL_POLL_BACKOFF, LIST_STALENESS_LIMIT, MAX_POLL_BACKOFF_SHARE, POLL_BACKOFF_GROWTH,
    POLL_TIMEOUT_SHARE,
};
use super::FrontNode;
use crate::interface::{Action, Lifecycle, ListedReplica, Micros, ReplicaId};
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

    /// Schedules a new request after the watch has failed.
    ///
    /// The backoff grows with each failure and is randomized to spread the requests of many front nodes. It
    /// is bounded so that three requests fit into the time after which the front node is expected to know a
    /// change of the list.
    pub(super) fn on_watch_failed(&mut self) {
        let watch = &mut self.endpoint_watch;
        watch.requested_at = None;
        // Keeps the idle timer running, so that the list is requested even if no query arrives.
        watch.confirmed = false;
        watch.next_poll_at = self.now + watch.backoff.mul_f64(0.5 + self.random.next());
        let max_backoff =
            self.settings.rules.max_list_staleness.min(LIST_STALENESS_LIMIT).mul_f64(MAX_POLL_BACKOFF_SHARE);
        watch.backoff = watch.backoff.mul_f64(POLL_BACKOFF_GROWTH).min(max_backoff);
        self.log("endpoint list watch lost, polling again".to_owned());
    }

    /// Requests the endpoint list with a watch if the list has to be polled and no watch is running.
    ///
    /// The request is repeated when the watch fails or the request is not answered in time. Without a watch
    /// the front node would miss changes that it is expected to know.
    pub(super) fn request_endpoint_list(&mut self) {
        if !self.settings.poll_endpoint_list || self.now < self.endpoint_watch.next_poll_at {
            return;
        }
        let timeout = self.settings.rules.max_list_staleness.mul_f64(POLL_TIMEOUT_SHARE);
        let watch = &mut self.endpoint_watch;
        let unanswered = |requested_at| !watch.confirmed && self.now - requested_at > timeout;
        if watch.requested_at.is_none_or(unanswered) {
            watch.requested_at = Some(self.now);
            watch.confirmed = false;
            self.actions.push(Action::WatchEndpointList);
        }
    }

    /// Records that the watch is running and resets the backoff.
    fn confirm_watch(&mut self) {
        if self.endpoint_watch.backoff > INITIAL_POLL_BACKOFF {
            self.log("endpoint list watch regained".to_owned());
        }
        self.endpoint_watch.confirmed = true;
        self.endpoint_watch.backoff = INITIAL_POLL_BACKOFF;
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
