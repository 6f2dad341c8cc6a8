//! The endpoint list: lists and watch events taken in, the watch kept up.

use super::tuning::{
    INITIAL_POLL_BACKOFF, MAX_POLL_BACKOFF_SHARE, NOTIFIED_AFTER, POLL_BACKOFF_GROWTH, POLL_TIMEOUT_SHARE,
};
use super::FrontNode;
use crate::interface::{Action, Lifecycle, ListedReplica, Micros, ReplicaId};
use crate::state::Replica;

impl FrontNode {
    /// A complete list: replicas that are not on it are gone. A cached one doesn't confirm the watch.
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

    /// A watch event: the entries that have changed.
    pub(super) fn on_endpoint_list_changed(&mut self, entries: &[ListedReplica]) {
        self.confirm_watch();
        self.apply_entries(entries);
    }

    /// The watch is lost: it is requested again after a backoff that grows each time and is drawn at random,
    /// so that many front nodes spread out. Three requests fit into the time after which changes count as
    /// notified.
    pub(super) fn on_watch_failed(&mut self) {
        let watch = &mut self.endpoint_watch;
        watch.requested_at = None;
        // Unconfirmed, so that the idle timer runs and requests the list even where no query comes.
        watch.confirmed = false;
        watch.next_poll_at = self.now + watch.backoff.mul_f64(0.5 + self.random.next());
        let most = self.settings.rules.max_list_staleness.min(NOTIFIED_AFTER).mul_f64(MAX_POLL_BACKOFF_SHARE);
        watch.backoff = watch.backoff.mul_f64(POLL_BACKOFF_GROWTH).min(most);
        self.log("endpoint list watch lost, polling again".to_owned());
    }

    /// Where the list must be polled, requests it with a watch from the start on, and again when the watch
    /// fails or the request is not answered: without a watch, changes not seen here would soon count as
    /// notified.
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

    fn confirm_watch(&mut self) {
        if self.endpoint_watch.backoff > INITIAL_POLL_BACKOFF {
            self.log("endpoint list watch regained".to_owned());
        }
        self.endpoint_watch.confirmed = true;
        self.endpoint_watch.backoff = INITIAL_POLL_BACKOFF;
    }

    fn apply_entries(&mut self, entries: &[ListedReplica]) {
        for entry in entries {
            self.apply_entry(entry);
        }
        self.index_replicas_by_cell();
    }

    fn apply_entry(&mut self, entry: &ListedReplica) {
        let now = self.now;
        // Drawn for every entry, used or not: the sequence of draws doesn't depend on what is known.
        let spacing_phase = self.random.next();
        let new = || Replica::new(entry.started_at, spacing_phase);
        let replica = self.replicas.entry(entry.replica).or_insert_with(new);
        if entry.started_at.is_some() && entry.started_at != replica.started_at {
            restart(replica, entry.started_at, spacing_phase, now);
        }
        replica.cell = entry.cell;
        replica.relative_capacity = entry.relative_capacity;
        replica.lifecycle = entry.lifecycle;
    }

    fn index_replicas_by_cell(&mut self) {
        let cell_count = self.settings.cell_count.max(1);
        self.replicas_by_cell.clear();
        for (id, replica) in self.replicas.iter().filter(|(_, r)| r.lifecycle != Lifecycle::Removed) {
            self.replicas_by_cell.entry(replica.cell % cell_count).or_default().push(*id);
        }
    }
}

/// A known replica runs as a new process: failures and latencies of the former one say nothing of it.
fn restart(replica: &mut Replica, started: Option<Micros>, spacing_phase: f64, now: Micros) {
    replica.failure_holds.clear();
    replica.latency_ratio = 1.0;
    replica.last_answer_at = now;
    replica.started_at = started;
    replica.spacing_phase = spacing_phase;
}
