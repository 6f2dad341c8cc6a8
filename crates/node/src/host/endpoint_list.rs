//! The host's copy of the endpoint list. It assigns a replica number to each index server, and keeps recently
//! removed ones so that they get the same number if they return.

use super::interface::{Endpoint, TableSize};
use super::start_times::StartTimes;
use pinetrestle::interface::{Lifecycle, ListedReplica, Micros, ReplicaId};
use pinetrestle_protocol::endpoint_list::{EndpointEntry, ListUpdate, Status};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Number of removed replicas that are kept in addition to as many as are listed.
const EXTRA_REMOVED_REPLICAS: usize = 16;

/// A listed or recently removed index server.
struct KnownReplica {
    endpoint: Endpoint,
    /// The latest entry, in the form that is passed to the decision core.
    listed: ListedReplica,
    /// Number of attempts in flight at this replica.
    in_flight: u32,
    /// Sequence number of the removal; meaningful only if the replica is removed.
    removal: u64,
}

/// The changes that an update makes to the endpoint list.
#[derive(Default)]
pub(super) struct EndpointChanges {
    /// The entries to pass to the decision core.
    pub(super) replicas: Vec<ListedReplica>,
    /// Replicas that started to drain or were removed. Nothing more may be sent to them.
    pub(super) draining: Vec<ReplicaId>,
}

/// The listed and the recently removed index servers, by replica number and by name.
#[derive(Default)]
pub(super) struct EndpointList {
    start_times: StartTimes,
    replicas: BTreeMap<ReplicaId, KnownReplica>,
    by_name: HashMap<String, ReplicaId>,
    next_replica: ReplicaId,
    /// Number of removals so far.
    removals: u64,
}

impl EndpointList {
    /// Applies an endpoint list or a watch event. `cached` states whether it was stored before this process
    /// started.
    pub(super) fn apply(&mut self, now: Micros, update: &ListUpdate, cached: bool) -> EndpointChanges {
        let starts = update.entries.iter().map(|entry| entry.start_time_ms);
        self.start_times.observe_update(now, update.complete, cached, starts);
        let mut changes = EndpointChanges::default();
        let mut updated = HashSet::new();
        for entry in &update.entries {
            updated.extend(self.apply_entry(entry, &mut changes));
        }
        if update.complete {
            self.remove_unlisted(&updated, &mut changes);
        }
        self.evict_oldest_removed();
        changes
    }

    /// Applies one entry and returns its replica. Returns `None` if the entry removes an index server that is
    /// not known.
    fn apply_entry(&mut self, entry: &EndpointEntry, changes: &mut EndpointChanges) -> Option<ReplicaId> {
        let lifecycle = lifecycle_of(entry.status);
        let replica = match self.by_name.get(&entry.name) {
            Some(replica) => *replica,
            None if lifecycle == Lifecycle::Removed => return None,
            None => self.register(&entry.name, entry.cell, entry.weight),
        };
        let started_at = self.start_time(replica, entry.start_time_ms);
        let listed = ListedReplica {
            replica,
            cell: entry.cell,
            relative_capacity: entry.weight,
            lifecycle,
            started_at,
        };
        let known = self.replicas.get_mut(&replica)?;
        // The entry of a removed server may have no address; the last one is kept for attempts in flight.
        if !entry.address.is_empty() {
            known.endpoint.address.clone_from(&entry.address);
        }
        known.endpoint.started_unix_ms = entry.start_time_ms;
        let previous_lifecycle = known.listed.lifecycle;
        if lifecycle == Lifecycle::Removed {
            changes.draining.extend(self.mark_removed(replica));
        } else if lifecycle == Lifecycle::Draining && previous_lifecycle == Lifecycle::InService {
            changes.draining.push(replica);
        }
        if let Some(known) = self.replicas.get_mut(&replica) {
            known.listed = listed.clone();
        }
        changes.replicas.push(listed);
        Some(replica)
    }

    /// Assigns the next replica number to an unknown index server. The replica has the state
    /// [`Lifecycle::Removed`] until its entry is applied.
    fn register(&mut self, name: &str, cell: u32, relative_capacity: f64) -> ReplicaId {
        let replica = self.next_replica;
        self.next_replica += 1;
        self.by_name.insert(name.to_owned(), replica);
        let endpoint = Endpoint { name: name.to_owned(), ..Endpoint::default() };
        let listed = ListedReplica {
            replica,
            cell,
            relative_capacity,
            lifecycle: Lifecycle::Removed,
            started_at: None,
        };
        self.replicas.insert(replica, KnownReplica { endpoint, listed, in_flight: 0, removal: 0 });
        replica
    }

    /// Returns the start time of a replica on the host's clock. An unchanged Unix start time is not converted
    /// again: the earlier result is kept even if the estimate of the epoch has changed since then.
    fn start_time(&self, replica: ReplicaId, started_unix_ms: i64) -> Option<Micros> {
        match self.replicas.get(&replica) {
            Some(known) if known.endpoint.started_unix_ms == started_unix_ms => known.listed.started_at,
            _ => self.start_times.to_host_clock(started_unix_ms),
        }
    }

    /// Marks all replicas as removed that are not in `listed`, the replicas of a complete list.
    fn remove_unlisted(&mut self, listed: &HashSet<ReplicaId>, changes: &mut EndpointChanges) {
        let unlisted: Vec<ReplicaId> =
            self.replicas.keys().copied().filter(|replica| !listed.contains(replica)).collect();
        for replica in unlisted {
            changes.draining.extend(self.mark_removed(replica));
        }
    }

    /// Marks a replica as removed and returns it, or `None` if it was removed already.
    fn mark_removed(&mut self, replica: ReplicaId) -> Option<ReplicaId> {
        let known = self.replicas.get_mut(&replica)?;
        if known.listed.lifecycle == Lifecycle::Removed {
            return None;
        }
        known.listed.lifecycle = Lifecycle::Removed;
        self.removals += 1;
        known.removal = self.removals;
        Some(replica)
    }

    /// Evicts the replicas that were removed first, so that at most as many removed replicas are kept as are
    /// listed, plus [`EXTRA_REMOVED_REPLICAS`]. A kept replica gets the same number if it returns. Replicas
    /// with attempts in flight are not evicted.
    fn evict_oldest_removed(&mut self) {
        let mut removed: Vec<ReplicaId> = self
            .replicas
            .iter()
            .filter(|(_, known)| known.listed.lifecycle == Lifecycle::Removed)
            .map(|(replica, _)| *replica)
            .collect();
        let listed = self.replicas.len() - removed.len();
        let excess = removed.len().saturating_sub(listed + EXTRA_REMOVED_REPLICAS);
        removed.sort_unstable_by_key(|replica| (self.replicas[replica].removal, *replica));
        for replica in removed.into_iter().take(excess) {
            if self.replicas[&replica].in_flight == 0 {
                self.by_name.remove(&self.replicas[&replica].endpoint.name);
                self.replicas.remove(&replica);
            }
        }
    }

    /// Handles the loss of the watch on the endpoint list.
    pub(super) fn watch_lost(&mut self) {
        self.start_times.watch_lost();
    }

    /// Counts a new attempt in flight at a replica.
    pub(super) fn attempt_started(&mut self, replica: ReplicaId) {
        if let Some(known) = self.replicas.get_mut(&replica) {
            known.in_flight += 1;
        }
    }

    /// Counts the end of an attempt at a replica.
    pub(super) fn attempt_ended(&mut self, replica: ReplicaId) {
        if let Some(known) = self.replicas.get_mut(&replica) {
            known.in_flight -= 1;
        }
    }

    /// Returns the time of the last start of the replica with this name on the host's clock, or `None` if it
    /// is unknown.
    pub(super) fn started_at(&self, name: &str) -> Option<Micros> {
        let replica = self.by_name.get(name)?;
        self.replicas.get(replica)?.listed.started_at
    }

    /// Returns the endpoint of a listed or recently removed replica, or `None` if there is no entry for it.
    pub(super) fn endpoint(&self, replica: ReplicaId) -> Option<&Endpoint> {
        self.replicas.get(&replica).map(|known| &known.endpoint)
    }

    /// Returns the endpoint of a replica, or `None` if the replica is not in service.
    pub(super) fn endpoint_in_service(&self, replica: ReplicaId) -> Option<&Endpoint> {
        let known = self.replicas.get(&replica)?;
        (known.listed.lifecycle == Lifecycle::InService).then_some(&known.endpoint)
    }

    /// Returns whether at least one replica is in service.
    pub(super) fn can_serve(&self) -> bool {
        self.replicas.values().any(|known| known.listed.lifecycle == Lifecycle::InService)
    }

    /// Returns the latest entries of all listed and recently removed replicas, in the order of their numbers.
    pub(super) fn listed_replicas(&self) -> Vec<ListedReplica> {
        self.replicas.values().map(|known| known.listed.clone()).collect()
    }

    /// Returns the sizes of the two tables.
    pub(super) fn sizes(&self) -> [TableSize; 2] {
        [
            TableSize { table: "replicas", entries: self.replicas.len() },
            TableSize { table: "replica names", entries: self.by_name.len() },
        ]
    }
}

fn lifecycle_of(status: Status) -> Lifecycle {
    match status {
        Status::Up => Lifecycle::InService,
        Status::Draining => Lifecycle::Draining,
        Status::Removed => Lifecycle::Removed,
    }
}
