//! Test harness around the decision core of one front node: base settings, a clock, and the attempts in
//! flight.
#![allow(dead_code)]

use pinetrestle::interface::*;
use pinetrestle::FrontNode;
use std::collections::BTreeMap;

/// Returns a duration or a point in time given in milliseconds.
pub fn ms(milliseconds: i64) -> Micros {
    Micros(milliseconds * 1000)
}

/// Returns a class whose answers are complete from the given share of the weight.
pub fn class(complete_share: f64) -> Class {
    Class {
        latency_objective: ms(1000),
        objective_work_factor: 0.0,
        deadline: ms(3000),
        priority_weight: 1.0,
        late_weight_share: 0.2,
        idempotency: Idempotency::Idempotent,
        idempotency_window: ms(2000),
        complete_share,
        partial_min_share: complete_share,
        partial_weight_share: 0.9,
        second_step_parts: 0,
    }
}

/// Returns settings with four cells, of which two hold each shard, and two classes: class 0 needs all parts,
/// class 1 any three of four.
pub fn base_settings() -> Settings {
    Settings {
        fleet_size: 2,
        classes: vec![class(1.0), class(0.75)],
        tenants: vec![Tenant { quota_per_s: 100.0 }, Tenant { quota_per_s: 1.0 }],
        over_quota_weight_share: 0.05,
        wasted_work_cost: 0.0,
        clients_mark_retries: false,
        list_delivery: ListDelivery::Pushed,
        cell_count: 4,
        cells_per_shard: 2,
        tick: ms(5),
        limits: Limits {
            max_attempts: 3,
            allow_hedging: true,
            allow_cancel: true,
            send_retry_after: true,
            max_retry_after: ms(500),
            max_in_flight: 1000,
            max_batch: 1,
        },
        rules: Rules {
            cold_capacity_share: 0.2,
            warm_up_time: ms(10_000),
            overload_multiple: 2.0,
            overload_window: ms(1000),
            max_list_staleness: ms(10_000),
            drain_grace: ms(1000),
            retry_budget: None,
        },
    }
}

/// Returns settings with classes of each kind of idempotency, classes that need n of k parts, one with a
/// second step, a retry budget and a polled endpoint list.
pub fn varied_settings() -> Settings {
    let mut settings = base_settings();
    settings.classes = vec![class(1.0), class(0.75), class(1.0), class(0.6), class(1.0)];
    settings.classes[1].partial_min_share = 0.5;
    settings.classes[2].idempotency = Idempotency::Keyed;
    settings.classes[3].idempotency = Idempotency::NonIdempotent;
    settings.classes[3].late_weight_share = 0.0;
    settings.classes[4].second_step_parts = 2;
    settings.rules.retry_budget = Some(RetryBudget { window: ms(2000), min_retries: 5.0, retry_ratio: 0.1 });
    settings.list_delivery = ListDelivery::Polled;
    settings
}

/// Returns an entry of the endpoint list. Replica n belongs to cell n modulo four.
pub fn list_entry(replica: ReplicaId, lifecycle: Lifecycle, started_at: Option<Micros>) -> ListedReplica {
    ListedReplica { replica, cell: replica % 4, relative_capacity: 1.0, lifecycle, started_at }
}

/// Returns a complete list of `count` replicas, all in service and warm.
pub fn complete_list(count: u32) -> Event {
    let replicas = (0..count).map(|n| list_entry(n, Lifecycle::InService, None)).collect();
    Event::EndpointList { replicas, cached: false }
}

/// A front node with a simulated clock and the attempts that it sent.
pub struct Harness {
    pub node: FrontNode,
    pub now: Micros,
    pub next_id: u32,
    /// Attempts in flight. Maps part and attempt number to the replica and the time of the send.
    pub in_flight: BTreeMap<(Id, u32), (ReplicaId, Micros)>,
    /// Number of attempts sent, by part.
    pub attempts_sent: BTreeMap<Id, u32>,
    /// The shard of each part.
    pub shard: BTreeMap<Id, u32>,
    /// The query of each part.
    pub query_of: BTreeMap<Id, Id>,
    pub last_actions: Vec<Action>,
}

impl Harness {
    pub fn new(settings: Settings, replicas: u32) -> Harness {
        Harness::with_seed(settings, replicas, 7)
    }

    pub fn with_seed(settings: Settings, replicas: u32, seed: u64) -> Harness {
        let now = ms(50_000);
        let mut harness = Harness {
            node: FrontNode::new(settings, seed, now),
            now,
            next_id: 1,
            in_flight: BTreeMap::new(),
            attempts_sent: BTreeMap::new(),
            shard: BTreeMap::new(),
            query_of: BTreeMap::new(),
            last_actions: Vec::new(),
        };
        if replicas > 0 {
            harness.deliver(vec![complete_list(replicas)]);
        }
        harness
    }

    /// Delivers a batch of events and records the attempts sent. Returns all resulting actions.
    pub fn deliver(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.node.handle(self.now, &events, &mut actions);
        for action in &actions {
            if let Action::Attempt { part, replica, .. } = action {
                let attempt = self.attempts_sent.entry(*part).or_insert(0);
                self.in_flight.insert((*part, *attempt), (*replica, self.now));
                *attempt += 1;
            }
        }
        self.last_actions = actions.clone();
        actions
    }

    /// Advances the clock and delivers a timer event.
    pub fn wait(&mut self, duration: Micros) -> Vec<Action> {
        self.now = self.now + duration;
        self.deliver(vec![Event::TimerFired])
    }

    /// Returns the events of a new query that has a part for each of the shards, all of equal weight.
    pub fn query_events(&mut self, class: usize, shards: &[u32], expires_in: Micros) -> (Id, Vec<Event>) {
        let id = self.next_id;
        self.next_id += 1 + shards.len() as u32;
        let number = u64::from(id);
        let mut events =
            vec![Event::Query { id, number, class, tenant: None, expires_in, work_hint: None, retry: false }];
        for (offset, shard) in (1..).zip(shards) {
            let weight = 1.0 / shards.len() as f64;
            self.shard.insert(id + offset, *shard);
            self.query_of.insert(id + offset, id);
            events.push(Event::Part {
                id: id + offset,
                query_number: number,
                shard: *shard,
                weight,
                work_hint: None,
            });
        }
        (id, events)
    }

    /// Delivers a new query with a part for each of the shards. Returns its id and the resulting actions.
    pub fn query(&mut self, class: usize, shards: &[u32]) -> (Id, Vec<Action>) {
        let (id, events) = self.query_events(class, shards, ms(3000));
        (id, self.deliver(events))
    }

    /// Returns the event that ends an attempt in flight, and removes the attempt from those in flight.
    pub fn attempt_ended(&mut self, part: Id, attempt: u32, outcome: Outcome) -> Event {
        let (_, sent) = self.in_flight.remove(&(part, attempt)).expect("an attempt in flight");
        Event::AttemptEnded { part, attempt, outcome, elapsed: self.now - sent }
    }

    /// Ends every attempt in flight at the replicas that `is_at` selects, in one batch of events.
    pub fn end_attempts(&mut self, outcome: Outcome, is_at: impl Fn(ReplicaId) -> bool) -> Vec<Action> {
        let due: Vec<(Id, u32)> =
            self.in_flight.iter().filter(|(_, (r, _))| is_at(*r)).map(|(key, _)| *key).collect();
        let events =
            due.into_iter().map(|(part, attempt)| self.attempt_ended(part, attempt, outcome)).collect();
        self.deliver(events)
    }

    /// Runs queries that are answered after 100 ms each, so that the front node learns typical latencies.
    pub fn learn_latencies(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.query(0, &[0, 1, 2, 3]);
            self.now = self.now + ms(100);
            self.end_attempts(Outcome::Ok, |_| true);
        }
    }
}

/// Returns part and replica of each attempt among the actions.
pub fn sent_attempts(actions: &[Action]) -> Vec<(Id, ReplicaId)> {
    let sent = |action: &Action| match action {
        Action::Attempt { part, replica, .. } => Some((*part, *replica)),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// Returns the actions that answer, reject or fail a query.
pub fn final_answers(actions: &[Action]) -> Vec<Action> {
    let is_final = |action: &&Action| {
        matches!(action, Action::Answer { .. } | Action::Reject { .. } | Action::Fail { .. })
    };
    actions.iter().filter(is_final).cloned().collect()
}

/// Returns the harness of one of sixty front nodes. There are a hundred replicas, one in each cell, and three
/// cells hold each shard.
pub fn harness_with_100_replicas() -> Harness {
    let mut settings = base_settings();
    settings.cell_count = 100;
    settings.cells_per_shard = 3;
    settings.fleet_size = 60;
    settings.clients_mark_retries = true;
    let mut harness = Harness::new(settings, 0);
    let entries =
        (0..100).map(|n| ListedReplica { cell: n, ..list_entry(n, Lifecycle::InService, None) }).collect();
    harness.deliver(vec![Event::EndpointList { replicas: entries, cached: false }]);
    for round in 0..10 {
        harness.query(0, &[round * 10, round * 10 + 3, round * 10 + 6]);
        harness.now = harness.now + ms(100);
        harness.end_attempts(Outcome::Ok, |_| true);
        harness.wait(ms(900));
    }
    harness
}
