//! Test harness: a host with a simulated clock, which records the effects of the host's commands.

use crate::common::config;
use pinetrestle::interface::{Id, Micros, ReplicaId};
use pinetrestle_node::counters::{ClassCounters, Counters};
use pinetrestle_node::host::{AdmitError, Command, Host, QueryRequest, Reply};
use pinetrestle_node::Config;
use pinetrestle_protocol::connection::{AttemptAnswer, AttemptId, OutgoingPart};
use pinetrestle_protocol::endpoint_list::{EndpointEntry, ListUpdate, Status};
use pinetrestle_protocol::frames::{PartOutcome, Score};
use pinetrestle_protocol::query::RequestedPart;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Microseconds per millisecond.
pub const MS: i64 = 1000;

/// A part that was sent to a replica and has not ended.
pub struct InFlightPart {
    pub replica: ReplicaId,
    pub part: OutgoingPart,
}

/// The final answer to a query.
pub struct FinalReply {
    pub query: Id,
    pub reply: Reply,
}

pub struct Harness {
    pub host: Host,
    pub counters: Rc<Counters>,
    /// Time of the simulated clock in microseconds.
    pub now: i64,
    pub in_flight: BTreeMap<AttemptId, InFlightPart>,
    pub replies: Vec<FinalReply>,
    /// Number of commands to watch the endpoint list.
    pub watches: usize,
    /// Number of queries submitted so far. The wire id of a query is `q` followed by this number, so the
    /// first is `q1`.
    pub submitted: u64,
    /// Version of the latest endpoint list.
    list_version: u64,
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with_config(&config())
    }

    pub fn with_config(config: &Config) -> Harness {
        let counters = Rc::new(Counters::new(&config.deployment.classes));
        let mut host = Host::new(Rc::new(config.deployment.clone()), counters.clone(), 5, Micros(0));
        host.endpoint_update(Micros(0), &config.initial_list, true);
        let mut harness = Harness {
            host,
            counters,
            now: 0,
            in_flight: BTreeMap::new(),
            replies: Vec::new(),
            watches: 0,
            submitted: 0,
            list_version: 1,
        };
        harness.run_batches();
        harness
    }

    /// Returns the time of the simulated clock, to be passed to the host.
    pub fn now(&self) -> Micros {
        Micros(self.now)
    }

    /// Processes batches until no events are pending, and executes the host's commands.
    pub fn run_batches(&mut self) {
        loop {
            for command in self.host.process_batch(self.now()) {
                self.execute(command);
            }
            if !self.host.has_pending_events() {
                return;
            }
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Send { replica, parts } => {
                assert!(!parts.is_empty() && parts.len() <= 4, "a call has between 1 and max_batch parts");
                for part in parts {
                    let earlier = self.in_flight.insert(part.attempt_id, InFlightPart { replica, part });
                    assert!(earlier.is_none());
                }
            }
            Command::Abandon(attempt_id) => {
                self.in_flight.remove(&attempt_id);
            }
            Command::Reply(query, reply) => self.replies.push(FinalReply { query, reply }),
            Command::WatchEndpoints => self.watches += 1,
            Command::ReportOrphanedAttempts(attempts) => {
                panic!("{attempts} attempts of ended queries are in flight")
            }
            Command::ReportForbiddenRetry(query) => {
                panic!("the core ordered a forbidden retry for query {query}")
            }
            Command::Log(_) | Command::DrainEndpoint(_) | Command::Withdraw(_) => {}
        }
    }

    /// Returns the time left for a part in milliseconds, as a call frame written now would contain it.
    pub fn remaining_ms(&self, part: &OutgoingPart) -> i64 {
        (part.deadline_us as i64 - self.now + MS - 1) / MS
    }

    /// Advances the clock by `duration` microseconds. Processes batches at the time of each timer and at the
    /// end.
    pub fn advance(&mut self, duration: i64) {
        let end = self.now + duration;
        while let Some(due) = self.host.next_timer().map(|at| at.0).filter(|at| *at <= end) {
            self.now = self.now.max(due);
            self.run_batches();
        }
        self.now = end;
        self.run_batches();
    }

    /// Submits a query with one part for each of the shards, and processes it.
    pub fn submit(&mut self, class: usize, shards: &[u32]) -> Result<Id, AdmitError> {
        let id = self.submit_without_batch(class, shards);
        self.run_batches();
        id
    }

    /// Submits a query without processing a batch, so the decision core has not received it yet.
    pub fn submit_without_batch(&mut self, class: usize, shards: &[u32]) -> Result<Id, AdmitError> {
        self.submitted += 1;
        let weight = 1.0 / shards.len() as f64;
        let parts =
            shards.iter().map(|shard| RequestedPart { shard: *shard, weight, work_hint_us: None }).collect();
        let request = QueryRequest {
            wire_id: format!("q{}", self.submitted),
            class,
            tenant: Some(0),
            expires_in: Micros(2000 * MS),
            is_client_retry: false,
            idempotency_key: None,
            parts,
            text: "text".into(),
        };
        self.host.admit(self.now(), request)
    }

    /// Passes the answer of an index server to the host.
    pub fn answer(&mut self, attempt_id: AttemptId, outcome: PartOutcome, score: i128, value: &str) {
        self.in_flight.remove(&attempt_id);
        let answer = AttemptAnswer { attempt_id, outcome, score: Score(score, 0.0), value: value.into() };
        self.host.attempt_answered(self.now(), answer);
        self.run_batches();
    }

    /// Passes the next version of the endpoint list to the host. `complete` states whether the entries are
    /// the whole list or only the changed ones.
    pub fn update_endpoints(&mut self, complete: bool, entries: Vec<EndpointEntry>) {
        self.list_version += 1;
        let update = ListUpdate { version: self.list_version, complete, entries };
        self.host.endpoint_update(self.now(), &update, false);
        self.run_batches();
    }

    pub fn attempt_ids(&self) -> Vec<AttemptId> {
        self.in_flight.keys().copied().collect()
    }

    /// Returns the body of a served reply, and whether it is complete. `index` counts the replies from 0.
    pub fn served(&self, index: usize) -> (serde_json::Value, bool) {
        match &self.replies[index].reply {
            Reply::Served { body, complete } => (serde_json::from_slice(body).expect("JSON"), *complete),
            other => panic!("not served: {other:?}"),
        }
    }

    /// Returns the sorted values of the items in a served reply. `index` counts the replies from 0.
    pub fn served_values(&self, index: usize) -> Vec<String> {
        let (body, _) = self.served(index);
        let items = body["items"].as_array().expect("items");
        let mut values: Vec<String> =
            items.iter().filter_map(|item| item["body"].as_str()).map(str::to_owned).collect();
        values.sort_unstable();
        values
    }

    /// Asserts that no query is open and that no attempt is in flight, in the host and at the index servers.
    #[track_caller]
    pub fn assert_idle(&self) {
        let open = (self.host.open_queries(), self.host.attempts_in_flight(), self.in_flight.len());
        assert_eq!(open, (0, 0, 0));
    }

    /// Asserts that the counters add up: each attempt sent is counted under one outcome or is in flight, and
    /// each query admitted is counted under one result or is open.
    #[track_caller]
    pub fn assert_balanced(&self) {
        let attempts = &self.counters.attempts;
        let ended = [
            &attempts.ok,
            &attempts.error,
            &attempts.rejected,
            &attempts.timeout,
            &attempts.connect_failed,
            &attempts.reset,
            &attempts.cancelled,
            &attempts.never_sent,
        ];
        let ended: u64 = ended.iter().map(|counter| counter.get()).sum();
        assert_eq!(attempts.sent.get(), ended + attempts.in_flight.get());
        assert_eq!(attempts.in_flight.get(), self.host.attempts_in_flight() as u64);
        let mut open = 0;
        for ClassCounters { name, queries } in &self.counters.classes {
            let ended = [
                &queries.complete,
                &queries.partial,
                &queries.rejected,
                &queries.failed,
                &queries.client_disconnected,
            ];
            let ended: u64 = ended.iter().map(|counter| counter.get()).sum();
            assert_eq!(queries.admitted.get(), ended + queries.open.get(), "class {name}");
            open += queries.open.get();
        }
        assert_eq!(open, self.host.open_queries() as u64);
    }
}

/// Creates an endpoint list entry for the index server `g<number>`, in the cell `number % 3`.
pub fn entry(number: u64, status: Status) -> EndpointEntry {
    EndpointEntry {
        name: format!("g{number}"),
        address: format!("127.0.0.1:{}", 10_000 + number % 10_000),
        cell: number as u32 % 3,
        status,
        weight: 1.0,
        start_time_ms: 0,
    }
}
