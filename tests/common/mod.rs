//! A simulated world around one front node: settings to start from, a clock, and a record of its actions.
#![allow(dead_code)]

use pinetrestle::interface::*;
use pinetrestle::FrontNode;
use std::collections::BTreeMap;

/// Milliseconds.
pub fn ms(span: i64) -> Micros {
    Micros(span * 1000)
}

/// A class that needs the given share of its parts.
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

/// Four cells, each shard on two of them, two classes: 0 needs every part, 1 any three of four.
pub fn settings() -> Settings {
    Settings {
        fleet_size: 2,
        classes: vec![class(1.0), class(0.75)],
        tenants: vec![Tenant { quota_per_s: 100.0 }, Tenant { quota_per_s: 1.0 }],
        over_quota_weight_share: 0.05,
        wasted_work_cost: 0.0,
        clients_mark_retries: false,
        poll_endpoint_list: false,
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
            retry_budget: None,
        },
    }
}

/// Settings with a class for each effect, n-of-k classes, a second step, a retry budget and a list that is polled.
pub fn varied_settings() -> Settings {
    let mut set = settings();
    set.classes = vec![class(1.0), class(0.75), class(1.0), class(0.6), class(1.0)];
    set.classes[1].partial_min_share = 0.5;
    set.classes[2].idempotency = Idempotency::Keyed;
    set.classes[3].idempotency = Idempotency::NonIdempotent;
    set.classes[3].late_weight_share = 0.0;
    set.classes[4].second_step_parts = 2;
    set.rules.retry_budget = Some(RetryBudget { window: ms(2000), min_retries: 5.0, retry_ratio: 0.1 });
    set.poll_endpoint_list = true;
    set
}

/// An entry of the endpoint list: replica n in cell n modulo four.
pub fn list_entry(replica: ReplicaId, lifecycle: Lifecycle, started_at: Option<Micros>) -> ListedReplica {
    ListedReplica { replica, cell: replica % 4, relative_capacity: 1.0, lifecycle, started_at }
}

/// A complete list of so many replicas, all in service for long.
pub fn complete_list(count: u32) -> Event {
    let replicas = (0..count).map(|n| list_entry(n, Lifecycle::InService, None)).collect();
    Event::EndpointList { replicas, cached: false }
}

/// A front node with its clock and everything it did.
pub struct World {
    pub node: FrontNode,
    pub now: Micros,
    pub next_id: u32,
    /// Attempts in flight: part and number, to the replica and the time of the send.
    pub in_flight: BTreeMap<(Id, u32), (ReplicaId, Micros)>,
    pub attempts_sent: BTreeMap<Id, u32>,
    pub shard: BTreeMap<Id, u32>,
    pub query_of: BTreeMap<Id, Id>,
    pub last_actions: Vec<Action>,
}

impl World {
    pub fn new(settings: Settings, replicas: u32) -> World {
        World::with_seed(settings, replicas, 7)
    }

    pub fn with_seed(settings: Settings, replicas: u32, seed: u64) -> World {
        let now = ms(50_000);
        let mut world = World {
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
            world.deliver(vec![complete_list(replicas)]);
        }
        world
    }

    /// Delivers a batch of events and records the attempts sent.
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

    /// Lets time pass and wakes the node.
    pub fn wait(&mut self, span: Micros) -> Vec<Action> {
        self.now = self.now + span;
        self.deliver(vec![Event::TimerFired])
    }

    /// The events of a new query with a part on each of the shards, of equal weight.
    pub fn query_events(&mut self, class: usize, shards: &[u32], expires_in: Micros) -> (Id, Vec<Event>) {
        let id = self.next_id;
        self.next_id += 1 + shards.len() as u32;
        let number = u64::from(id);
        let mut events =
            vec![Event::Query { id, number, class, tenant: None, expires_in, work_hint: None, retry: false }];
        for (place, shard) in (1..).zip(shards) {
            let weight = 1.0 / shards.len() as f64;
            self.shard.insert(id + place, *shard);
            self.query_of.insert(id + place, id);
            events.push(Event::Part {
                id: id + place,
                query_number: number,
                shard: *shard,
                weight,
                work_hint: None,
            });
        }
        (id, events)
    }

    /// A new query, sent at once.
    pub fn query(&mut self, class: usize, shards: &[u32]) -> (Id, Vec<Action>) {
        let (id, events) = self.query_events(class, shards, ms(3000));
        (id, self.deliver(events))
    }

    /// The event that ends an attempt in flight.
    pub fn attempt_ended(&mut self, part: Id, attempt: u32, outcome: Outcome) -> Event {
        let (_, sent) = self.in_flight.remove(&(part, attempt)).expect("an attempt in flight");
        Event::AttemptEnded { part, attempt, outcome, elapsed: self.now - sent }
    }

    /// Ends every attempt in flight at the replicas that pass `at`, delivered in one batch.
    pub fn end_attempts(&mut self, outcome: Outcome, at: impl Fn(ReplicaId) -> bool) -> Vec<Action> {
        let due: Vec<(Id, u32)> =
            self.in_flight.iter().filter(|(_, (r, _))| at(*r)).map(|(key, _)| *key).collect();
        let events =
            due.into_iter().map(|(part, attempt)| self.attempt_ended(part, attempt, outcome)).collect();
        self.deliver(events)
    }

    /// Serves rounds of queries over all shards in 100 ms each, so that the node learns typical latencies.
    pub fn learn_latencies(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.query(0, &[0, 1, 2, 3]);
            self.now = self.now + ms(100);
            self.end_attempts(Outcome::Ok, |_| true);
        }
    }
}

/// The attempts among the actions: part and replica.
pub fn sent_attempts(actions: &[Action]) -> Vec<(Id, ReplicaId)> {
    let sent = |action: &Action| match action {
        Action::Attempt { part, replica, .. } => Some((*part, *replica)),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// The final answers among the actions, a complete or partial answer included.
pub fn final_answers(actions: &[Action]) -> Vec<Action> {
    let last = |action: &&Action| {
        matches!(action, Action::Answer { .. } | Action::Reject { .. } | Action::Fail { .. })
    };
    actions.iter().filter(last).cloned().collect()
}

/// One of sixty front nodes, with a hundred replicas, one in each cell, and each shard on three of them.
pub fn world_of_a_hundred_replicas() -> World {
    let mut set = settings();
    set.cell_count = 100;
    set.cells_per_shard = 3;
    set.fleet_size = 60;
    set.clients_mark_retries = true;
    let mut world = World::new(set, 0);
    let lines =
        (0..100).map(|n| ListedReplica { cell: n, ..list_entry(n, Lifecycle::InService, None) }).collect();
    world.deliver(vec![Event::EndpointList { replicas: lines, cached: false }]);
    for round in 0..10 {
        world.query(0, &[round * 10, round * 10 + 3, round * 10 + 6]);
        world.now = world.now + ms(100);
        world.end_attempts(Outcome::Ok, |_| true);
        world.wait(ms(900));
    }
    world
}
