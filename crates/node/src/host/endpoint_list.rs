//! The endpoint list as the host keeps it: the number and the endpoint of each index server, also of those that have
//! left a short time ago.

use super::interface::{Endpoint, TableSize};
use super::start_times::StartTimes;
use pinetrestle::interface::{Lifecycle, ListedReplica, Micros, ReplicaId};
use pinetrestle_protocol::endpoint_list::{EndpointEntry, ListUpdate, Status};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Index servers that have left and are remembered, beside as many as are listed.
const SPARE_GONE: usize = 16;

/// An index server that is listed, or was a short time ago.
struct KnownReplica {
    endpoint: Endpoint,
    /// Its latest entry.
    listed: ListedReplica,
    /// Attempts in flight at it.
    in_flight: u32,
    /// Its place in the order of departures, if it has left.
    departure: u64,
}

/// What an update changes.
#[derive(Default)]
pub(super) struct EndpointChanges {
    /// The entries for the decision core.
    pub(super) replicas: Vec<ListedReplica>,
    /// Replicas that began to drain or have left: they get nothing new.
    pub(super) draining: Vec<ReplicaId>,
}

/// The endpoint list.
#[derive(Default)]
pub(super) struct EndpointList {
    start_times: StartTimes,
    replicas: BTreeMap<ReplicaId, KnownReplica>,
    by_name: HashMap<String, ReplicaId>,
    next_replica: ReplicaId,
    /// Replicas that have left so far.
    departures: u64,
}

impl EndpointList {
    /// Applies a list or a watch event; `cached` if it was stored before this process started.
    pub(super) fn apply(&mut self, now: Micros, update: &ListUpdate, cached: bool) -> EndpointChanges {
        let starts = update.entries.iter().map(|entry| entry.start_time_ms);
        self.start_times.observe_update(now, update.complete, cached, starts);
        let mut changes = EndpointChanges::default();
        let mut named = HashSet::new();
        for entry in &update.entries {
            named.extend(self.apply_entry(entry, &mut changes));
        }
        if update.complete {
            self.remove_unlisted(&named, &mut changes);
        }
        self.forget_oldest_gone();
        changes
    }

    /// Applies one entry and returns its replica; none if it names one that leaves without having been known.
    fn apply_entry(&mut self, entry: &EndpointEntry, changes: &mut EndpointChanges) -> Option<ReplicaId> {
        let lifecycle = lifecycle_of(entry.status);
        let replica = match self.by_name.get(&entry.name) {
            Some(replica) => *replica,
            None if lifecycle == Lifecycle::Removed => return None,
            None => self.register(&entry.name, entry.cell, entry.weight),
        };
        let started = self.start_time(replica, entry.start_time_ms);
        let listed = ListedReplica {
            replica,
            cell: entry.cell,
            relative_capacity: entry.weight,
            lifecycle,
            started_at: started,
        };
        let known = self.replicas.get_mut(&replica)?;
        // A removal names no address: the last one stays, for what is still in flight.
        if !entry.address.is_empty() {
            known.endpoint.address.clone_from(&entry.address);
        }
        known.endpoint.started_unix_ms = entry.start_time_ms;
        let was = known.listed.lifecycle;
        if lifecycle == Lifecycle::Removed {
            changes.draining.extend(self.mark_gone(replica));
        } else if lifecycle == Lifecycle::Draining && was == Lifecycle::InService {
            changes.draining.push(replica);
        }
        if let Some(known) = self.replicas.get_mut(&replica) {
            known.listed = listed.clone();
        }
        changes.replicas.push(listed);
        Some(replica)
    }

    /// Gives an index server that was not known the next number. It counts as gone until its entry is applied.
    fn register(&mut self, name: &str, cell: u32, size: f64) -> ReplicaId {
        let replica = self.next_replica;
        self.next_replica += 1;
        self.by_name.insert(name.to_owned(), replica);
        let endpoint = Endpoint { name: name.to_owned(), ..Endpoint::default() };
        let listed = ListedReplica {
            replica,
            cell,
            relative_capacity: size,
            lifecycle: Lifecycle::Removed,
            started_at: None,
        };
        self.replicas.insert(replica, KnownReplica { endpoint, listed, in_flight: 0, departure: 0 });
        replica
    }

    /// When a replica started, by the host's clock. A start that is named again keeps its time, whatever else has been
    /// learned of the clocks since.
    fn start_time(&self, replica: ReplicaId, started_unix_ms: i64) -> Option<Micros> {
        match self.replicas.get(&replica) {
            Some(known) if known.endpoint.started_unix_ms == started_unix_ms => known.listed.started_at,
            _ => self.start_times.to_host_clock(started_unix_ms),
        }
    }

    /// Marks all replicas as gone that a complete list does not name.
    fn remove_unlisted(&mut self, named: &HashSet<ReplicaId>, changes: &mut EndpointChanges) {
        let unlisted: Vec<ReplicaId> =
            self.replicas.keys().copied().filter(|replica| !named.contains(replica)).collect();
        for replica in unlisted {
            changes.draining.extend(self.mark_gone(replica));
        }
    }

    /// Marks a replica as gone; none if it was already.
    fn mark_gone(&mut self, replica: ReplicaId) -> Option<ReplicaId> {
        let known = self.replicas.get_mut(&replica)?;
        if known.listed.lifecycle == Lifecycle::Removed {
            return None;
        }
        known.listed.lifecycle = Lifecycle::Removed;
        self.departures += 1;
        known.departure = self.departures;
        Some(replica)
    }

    /// Forgets the replicas that left first, beyond as many as are listed and [`SPARE_GONE`]. Those remembered keep
    /// their number if they come back; one with attempts in flight is not forgotten.
    fn forget_oldest_gone(&mut self) {
        let mut gone: Vec<ReplicaId> = self
            .replicas
            .iter()
            .filter(|(_, known)| known.listed.lifecycle == Lifecycle::Removed)
            .map(|(replica, _)| *replica)
            .collect();
        let listed = self.replicas.len() - gone.len();
        let excess = gone.len().saturating_sub(listed + SPARE_GONE);
        gone.sort_unstable_by_key(|replica| (self.replicas[replica].departure, *replica));
        for replica in gone.into_iter().take(excess) {
            if self.replicas[&replica].in_flight == 0 {
                self.by_name.remove(&self.replicas[&replica].endpoint.name);
                self.replicas.remove(&replica);
            }
        }
    }

    /// The watch on discovery was lost.
    pub(super) fn watch_lost(&mut self) {
        self.start_times.watch_lost();
    }

    /// One more attempt is in flight at a replica.
    pub(super) fn attempt_started(&mut self, replica: ReplicaId) {
        if let Some(known) = self.replicas.get_mut(&replica) {
            known.in_flight += 1;
        }
    }

    /// An attempt at a replica has ended.
    pub(super) fn attempt_ended(&mut self, replica: ReplicaId) {
        if let Some(known) = self.replicas.get_mut(&replica) {
            known.in_flight -= 1;
        }
    }

    /// When the replica of this name last started, by the host's clock, as far as that is known.
    pub(super) fn started_at(&self, name: &str) -> Option<Micros> {
        let replica = self.by_name.get(name)?;
        self.replicas.get(replica)?.listed.started_at
    }

    /// A replica's endpoint, as long as it is remembered.
    pub(super) fn endpoint(&self, replica: ReplicaId) -> Option<&Endpoint> {
        self.replicas.get(&replica).map(|known| &known.endpoint)
    }

    /// A replica's endpoint, if the replica is in service.
    pub(super) fn endpoint_in_service(&self, replica: ReplicaId) -> Option<&Endpoint> {
        let known = self.replicas.get(&replica)?;
        (known.listed.lifecycle == Lifecycle::InService).then_some(&known.endpoint)
    }

    /// Whether any replica is in service.
    pub(super) fn can_serve(&self) -> bool {
        self.replicas.values().any(|known| known.listed.lifecycle == Lifecycle::InService)
    }

    /// The latest entry of every replica that is remembered, by its number.
    pub(super) fn listed_replicas(&self) -> Vec<ListedReplica> {
        self.replicas.values().map(|known| known.listed.clone()).collect()
    }

    /// The sizes of its tables.
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
