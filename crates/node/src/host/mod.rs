//! The host of the decision core: ids, events, actions, timers and answers, as plain data that never waits.
//!
//! The host decides nothing. It turns what happens at the sockets into events of the decision core, hands over one
//! batch of events at a time, and turns the core's actions into [`Command`]s for the tasks around it:
//!
//! | module | concern |
//! | --- | --- |
//! | [`interface`] | requests, replies and commands |
//! | `admission` | queries that come in |
//! | `inputs` | what becomes of attempts, clients and the endpoint list |
//! | `batch` | timers that fire, the call of the core, its restart after a panic |
//! | `actions` | the core's actions |
//! | `replies` | final answers and the second step |
//! | `query_table`, `recent_ids` | queries and parts that are open, ids that were used |
//! | `attempts`, `timers` | attempts in flight and timers |
//! | `endpoint_list`, `start_times` | index servers |
//!
//! Times are [`Micros`] of one monotonic clock that the caller reads and passes as `now`.

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

/// The decision core of one front node and the state of all that it decides about.
pub struct Host {
    /// The decision core.
    core: FrontNode,
    deployment: Rc<Deployment>,
    /// The keys in the bodies of answers.
    body_keys: BodyKeys,
    counters: Rc<Counters>,
    /// The seed of the core's random draws; a restarted core gets the next one.
    seed: u64,
    /// Events that the core has not processed yet, in order.
    events: Vec<Event>,
    /// Commands that the tasks have not taken yet, in order.
    commands: Vec<Command>,
    queries: QueryTable,
    attempts: AttemptTable,
    timers: Timers,
    endpoints: EndpointList,
    /// Parts of queries that ended since the last batch, with attempts in flight: the core has to end those attempts
    /// in the next batch.
    ended_parts: Vec<EndedPart>,
    /// When all queries have to be answered because the front node shuts down.
    shutdown_deadline: Option<Micros>,
}

/// A part whose query has ended while attempts of it were in flight.
#[derive(Clone, Copy, Debug)]
struct EndedPart {
    part: Id,
    /// How many attempts it has had; they are numbered from 0.
    attempts: u32,
}

impl Host {
    /// A host with a decision core that knows no replica yet.
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

    /// The same host with other keys in the bodies of answers.
    #[must_use]
    pub fn with_body_keys(self, keys: &BodyKeys) -> Host {
        Host { body_keys: keys.clone(), ..self }
    }

    /// A replica's endpoint, as long as it is remembered.
    pub fn endpoint(&self, replica: ReplicaId) -> Option<&Endpoint> {
        self.endpoints.endpoint(replica)
    }

    /// A replica's endpoint, if the replica is in service.
    pub fn endpoint_in_service(&self, replica: ReplicaId) -> Option<&Endpoint> {
        self.endpoints.endpoint_in_service(replica)
    }

    /// When the replica of this name last started, by the host's clock, as far as that is known.
    pub fn started_at(&self, name: &str) -> Option<Micros> {
        self.endpoints.started_at(name)
    }

    /// Whether any replica is in service.
    pub fn can_serve(&self) -> bool {
        self.endpoints.can_serve()
    }

    /// The sizes of all tables: one that grows with time, and not with the number of open queries, would show here.
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

    /// The number of queries that have no final answer yet.
    pub fn open_queries(&self) -> usize {
        self.queries.open_queries()
    }

    /// The number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Whether events wait for the next batch.
    pub fn has_pending_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// When [`Host::process_batch`] has to be called next for timers: no later than the next one is due.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next_check()
    }

    /// Commands that follow from an input without a decision. They have to be carried out before any other task runs:
    /// they withdraw parts that are queued for a client that has disconnected or for an index server that is draining.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// An id that is in use neither by a query or part nor by an attempt in flight.
    fn next_free_id(&mut self) -> Id {
        let attempts = &self.attempts;
        self.queries.next_free_id(|id| attempts.has_part(id))
    }

    /// Updates the counters of a class, unless the settings have no such class.
    fn count_query(&self, class: usize, update: impl FnOnce(&QueryCounters)) {
        if let Some(class) = self.counters.classes.get(class) {
            update(&class.queries);
        }
    }
}

/// A time of the host's clock as the links and the timing wheel count them: unsigned, in microseconds.
fn clock_micros(at: Micros) -> u64 {
    at.0.max(0) as u64
}

#[cfg(test)]
#[path = "../../tests/inside/host.rs"]
mod tests;
