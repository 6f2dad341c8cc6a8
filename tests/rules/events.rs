//! Seeded source of random events. It also updates the records of the test.

use crate::common::{list_entry, ms};
use crate::records::{PartRecord, QueryRecord, Records, ReplicaRecord};
use pinetrestle::interface::*;

/// Number of the batch that delivers the first endpoint list, a cached one.
const FIRST_LIST_BATCH: u32 = 2;
/// Number of batches after which phases with few and with many failed attempts alternate.
const PHASE_BATCHES: u32 = 400;
/// Number of classes in the settings.
const CLASSES: u64 = 5;
/// Number of parts in the first step of each query, one for each shard.
const FIRST_STEP_PARTS: u32 = 4;
/// Number of parts in a second step.
const SECOND_STEP_PARTS: u32 = 2;

/// Outcomes other than `Ok`. A random number picks one by its index, so their order must not change.
const FAILURES: [Outcome; 7] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// A seeded random number generator (xorshift).
struct Random(u64);

impl Random {
    /// Returns a random number from 0 up to but not including `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }

    /// Returns true with probability `1 / bound`.
    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}

/// Source of the events of a run.
pub struct EventSource {
    random: Random,
    replicas: u32,
    next_id: Id,
}

impl EventSource {
    /// Creates a source for a service with this number of replicas.
    pub fn new(seed: u64, replicas: u32) -> EventSource {
        EventSource { random: Random(seed * 7919 + 1), replicas, next_id: 1 }
    }

    /// Returns the events of a batch.
    pub fn batch(&mut self, batch: u32, records: &mut Records) -> Vec<Event> {
        let mut events = vec![Event::TimerFired];
        events.extend(self.list_event(batch, records));
        self.end_attempts(batch / PHASE_BATCHES % 2 == 1, records, &mut events);
        self.disconnect_clients(records, &mut events);
        self.begin_second_steps(records, &mut events);
        if self.random.one_in(3) {
            self.begin_query(records, &mut events);
        }
        events
    }

    /// Returns an event of the endpoint list, if there is one in this batch: first a complete list, later
    /// changes and failures of the watch.
    fn list_event(&mut self, batch: u32, records: &mut Records) -> Option<Event> {
        if batch == FIRST_LIST_BATCH {
            let in_service = ReplicaRecord { lifecycle: Lifecycle::InService, started: None };
            records.replicas = (0..self.replicas).map(|id| (id, in_service)).collect();
            let replicas = (0..self.replicas).map(|id| list_entry(id, Lifecycle::InService, None)).collect();
            return Some(Event::EndpointList { replicas, cached: true });
        }
        let changes_one_in = if self.replicas > 8 { 10 } else { 60 };
        if batch > FIRST_LIST_BATCH && self.random.one_in(changes_one_in) {
            return Some(self.change_replica(records));
        }
        self.random.one_in(200).then_some(Event::WatchFailed(WatchFailure::Unknown))
    }

    fn change_replica(&mut self, records: &mut Records) -> Event {
        const STATES: [Lifecycle; 4] =
            [Lifecycle::InService, Lifecycle::InService, Lifecycle::Draining, Lifecycle::Removed];
        let id = self.random.below(u64::from(self.replicas)) as ReplicaId;
        let lifecycle = STATES[self.random.below(4) as usize];
        let started = self.random.one_in(2).then_some(records.now);
        records.replicas.insert(id, ReplicaRecord { lifecycle, started });
        Event::EndpointListChanged(vec![list_entry(id, lifecycle, started)])
    }

    fn end_attempts(&mut self, failing_phase: bool, records: &mut Records, events: &mut Vec<Event>) {
        let ends_one_in = if failing_phase { 40 } else { 12 };
        let outcome_count = if failing_phase { 14 } else { 40 };
        let mut answered = 0;
        for (part, record) in &mut records.parts {
            for (attempt, sent) in (0..).zip(&mut record.attempts) {
                if sent.outcome.is_some() || !self.random.one_in(ends_one_in) {
                    continue;
                }
                let outcome_index = self.random.below(outcome_count) as usize;
                let outcome = FAILURES.get(outcome_index).copied().unwrap_or(Outcome::Ok);
                sent.outcome = Some(outcome);
                answered += u64::from(outcome == Outcome::Ok);
                let elapsed = records.now - sent.sent_at;
                events.push(Event::AttemptEnded { part: *part, attempt, outcome, elapsed });
            }
        }
        records.answered_parts += answered;
    }

    fn disconnect_clients(&mut self, records: &mut Records, events: &mut Vec<Event>) {
        let now = records.now;
        for (id, query) in records.queries.iter_mut().filter(|(_, query)| !query.ended) {
            assert!(query.deadline_at > now, "every query must get a final answer before its deadline");
            if self.random.one_in(2000) {
                query.ended = true;
                events.push(Event::ClientDisconnected(*id));
            }
        }
    }

    /// Adds the parts of the second steps that began with answers in the previous batch.
    fn begin_second_steps(&mut self, records: &mut Records, events: &mut Vec<Event>) {
        let open = records.queries.iter().filter(|(_, query)| !query.ended && query.step == 2);
        let without_parts =
            open.filter(|(_, query)| !query.parts.iter().any(|part| records.parts[part].step == 2));
        let queries: Vec<Id> = without_parts.map(|(id, _)| *id).collect();
        for query in queries {
            for shard in 0..SECOND_STEP_PARTS {
                self.add_part(query, shard, SECOND_STEP_PARTS, 2, records, events);
            }
        }
    }

    fn begin_query(&mut self, records: &mut Records, events: &mut Vec<Event>) {
        let id = self.take_id();
        let class = self.random.below(CLASSES) as usize;
        let expires_in = ms(200 + self.random.below(2800) as i64);
        let retry = self.random.one_in(4);
        records.received.push(records.now);
        let number = u64::from(id);
        let (tenant, work_hint) = (None, None);
        events.push(Event::Query { id, number, class, tenant, expires_in, work_hint, retry });
        records.queries.insert(id, QueryRecord::new(class, records.now + expires_in));
        for shard in 0..FIRST_STEP_PARTS {
            self.add_part(id, shard, FIRST_STEP_PARTS, 1, records, events);
        }
    }

    /// Adds a part to a query. Its weight is that of one of `part_count` equal parts.
    fn add_part(
        &mut self,
        query: Id,
        shard: u32,
        part_count: u32,
        step: u8,
        records: &mut Records,
        events: &mut Vec<Event>,
    ) {
        let id = self.take_id();
        let weight = 1.0 / f64::from(part_count);
        records.received.push(records.now);
        records.parts.insert(id, PartRecord { query, shard, weight, step, attempts: Vec::new() });
        records.queries.get_mut(&query).expect("a known query").parts.push(id);
        events.push(Event::Part { id, query_number: u64::from(query), shard, weight, work_hint: None });
    }

    fn take_id(&mut self) -> Id {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}
