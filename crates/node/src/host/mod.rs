//! Host of the decision core: keeps the state that the core refers to by id, and translates between the core
//! and the I/O tasks.
//!
//! The host makes no routing, retry or load-shedding decisions and does no I/O. The event loop passes it
//! network events and calls it when timers are due. The host converts these inputs to [`Event`]s, passes them
//! to the decision core in batches, and converts the resulting [`Action`](pinetrestle::interface::Action)s to
//! [`Command`]s, which the event loop executes.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`interface`] | types of the host's inputs and outputs: requests, replies and commands |
//! | `admission` | admits or rejects arriving queries |
//! | `inputs` | handles attempt outcomes, client disconnects, endpoint list updates and the shutdown |
//! | `batch` | fires due timers, runs the decision core on the pending events, restarts it after a panic |
//! | `actions` | executes the actions of the decision core |
//! | `replies` | builds final answers, starts the second step, removes ended queries |
//! | `query_table` | tables of open queries and their parts |
//! | `recent_ids` | set of recently used wire ids |
//! | `attempts` | table of attempts in flight |
//! | `timers` | timing wheel |
//! | `endpoint_list` | names, addresses and states of the index servers |
//! | `start_times` | conversion of index server start times to the host's clock |
//!
//! # Terms
//!
//! An index server is one entry of the endpoint list. The decision core calls it a *replica* and refers to it
//! by number ([`ReplicaId`]). A *part* is the work of a query on one shard, an *attempt* is one part sent to
//! one replica, and a *call* is the message that carries one or more parts to a replica.
//!
//! # Time
//!
//! All times are [`Micros`] of one monotonic clock, the *host's clock*. The host does not read it: the caller
//! passes the current time as `now`.

mod actions;
mod admission;
mod attempts;
mod batch;
mod endpoint_list;
mod inputs;
pub mod interface;
mod query_table;
mod recent_ids;
mod replies;
mod start_times;
mod timers;

pub use interface::{AdmitError, Command, Endpoint, QueryRequest, Reply, TableSize};

use crate::counters::{Counters, QueryCounters};
use attempts::AttemptTable;
use endpoint_list::EndpointList;
use pinetrestle::interface::{Event, Id, Micros, ReplicaId};
use pinetrestle::FrontNode;
use pinetrestle_protocol::names::BodyKeys;
use pinetrestle_settings::Deployment;
use query_table::QueryTable;
use std::rc::Rc;
use timers::Timers;

/// The decision core of one front node, with the queries, attempts, timers and endpoints that it refers to.
pub struct Host {
    core: FrontNode,
    deployment: Rc<Deployment>,
    /// JSON keys of the answer bodies.
    body_keys: BodyKeys,
    counters: Rc<Counters>,
    /// Seed of the core's random number generator. It is incremented at each restart of the core.
    seed: u64,
    /// Events for the next batch, in order.
    events: Vec<Event>,
    /// Commands that the caller has not taken yet, in order.
    commands: Vec<Command>,
    queries: QueryTable,
    attempts: AttemptTable,
    timers: Timers,
    endpoints: EndpointList,
    /// Parts that had attempts in flight when their query ended. The core has to end these attempts in the
    /// next batch.
    ended_parts: Vec<EndedPart>,
    /// Time by which all queries have to be answered; `None` unless the front node is shutting down.
    shutdown_deadline: Option<Micros>,
}

/// A part that had attempts in flight when its query ended.
#[derive(Clone, Copy, Debug)]
struct EndedPart {
    part: Id,
    /// Number of attempts of the part so far. Attempts are numbered from 0.
    attempts: u32,
}

impl Host {
    /// Creates a host whose decision core knows no replicas yet.
    pub fn new(deployment: Rc<Deployment>, counters: Rc<Counters>, seed: u64, now: Micros) -> Host {
        Host {
            core: FrontNode::new(deployment.settings.clone(), seed, now),
            deployment,
            body_keys: BodyKeys::default(),
            counters,
            seed,
            events: Vec::new(),
            commands: Vec::new(),
            queries: QueryTable::default(),
            attempts: AttemptTable::default(),
            timers: Timers::new(),
            endpoints: EndpointList::default(),
            ended_parts: Vec::new(),
            shutdown_deadline: None,
        }
    }

    /// Sets the JSON keys of the answer bodies.
    #[must_use]
    pub fn with_body_keys(self, keys: &BodyKeys) -> Host {
        Host { body_keys: keys.clone(), ..self }
    }

    /// Returns the endpoint of a replica, or `None` if the host has no entry for it. Removed replicas keep
    /// their entry for a while.
    pub fn endpoint(&self, replica: ReplicaId) -> Option<&Endpoint> {
        self.endpoints.endpoint(replica)
    }

    /// Returns the endpoint of a replica, or `None` if the replica is not in service.
    pub fn endpoint_in_service(&self, replica: ReplicaId) -> Option<&Endpoint> {
        self.endpoints.endpoint_in_service(replica)
    }

    /// Returns the time of the last start of the replica with this name on the host's clock, or `None` if it
    /// is unknown.
    pub fn started_at(&self, name: &str) -> Option<Micros> {
        self.endpoints.started_at(name)
    }

    /// Returns whether at least one replica is in service and the decision core takes the endpoint list for
    /// current enough to start serving.
    pub fn is_ready(&self) -> bool {
        self.endpoints.can_serve() && self.core.is_ready()
    }

    /// Returns whether the endpoint list is current enough to send an attempt at `now`.
    pub fn list_allows_sends(&self, now: Micros) -> bool {
        self.core.list_allows_sends(now)
    }

    /// Returns the sizes of all tables. They are bounded by the load and the size of the fleet; a size that
    /// grows with uptime indicates a leak.
    pub fn table_sizes(&self) -> Vec<TableSize> {
        let mut sizes = self.queries.sizes().to_vec();
        sizes.push(self.attempts.size());
        sizes.push(self.timers.size());
        sizes.extend(self.endpoints.sizes());
        sizes.push(TableSize {
            table: "replicas of the decision core",
            entries: self.core.tracked_replicas(),
        });
        sizes
    }

    /// Returns the number of queries without a final answer.
    pub fn open_queries(&self) -> usize {
        self.queries.open_queries()
    }

    /// Returns the number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether there are events for the next batch.
    pub fn has_pending_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns the time by which [`Host::process_batch`] has to be called to fire timers, or `None` if no
    /// timer is set. It may be earlier than the next timer is due, but never later.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next_wakeup()
    }

    /// Takes the commands that inputs have produced outside of a batch. The caller has to execute them before
    /// any other task runs, since they withdraw queued parts that must no longer be written: those of
    /// disconnected clients, and those queued for index servers that are draining.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Returns a new id that is not used by a query, a part, or the part of an attempt in flight.
    fn next_free_id(&mut self) -> Id {
        let attempts = &self.attempts;
        self.queries.next_free_id(|id| attempts.is_part_in_flight(id))
    }

    /// Updates the query counters of a class. Does nothing if the settings have no class with this index.
    fn update_query_counters(&self, class: usize, update: impl FnOnce(&QueryCounters)) {
        if let Some(class) = self.counters.classes.get(class) {
            update(&class.queries);
        }
    }
}

/// Converts a time to the unsigned microseconds that connections and the timing wheel use. A negative time
/// gives 0.
fn clock_micros(at: Micros) -> u64 {
    at.0.max(0) as u64
}

#[cfg(test)]
#[path = "../../tests/inside/host.rs"]
mod tests;
