//! Random events: a seeded source that also keeps the test's records up to date.

use crate::common::{list_entry, ms};
use crate::records::{PartRecord, QueryRecord, Records, ReplicaRecord};
use pinetrestle::interface::*;

/// The batch that brings the first, cached list.
const FIRST_LIST_BATCH: u32 = 2;
/// Spells of mostly good and mostly bad outcomes alternate after this many batches.
const SPELL: u32 = 400;
/// Number of classes of the settings.
const CLASSES: u64 = 5;
/// Parts of the first step of every query, one on each shard.
const FIRST_STEP_PARTS: u32 = 4;
/// Parts of a second step.
const SECOND_STEP_PARTS: u32 = 2;

/// Outcomes other than `Ok`, in the order in which a roll picks them.
const FAILURES: [Outcome; 7] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// A seeded generator (xorshift).
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }

    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}

/// The source of a run's events.
pub struct EventSource {
    random: Random,
    replicas: u32,
    next_id: Id,
}

impl EventSource {
    /// A source for a fleet of so many replicas.
    pub fn new(seed: u64, replicas: u32) -> EventSource {
        EventSource { random: Random(seed * 7919 + 1), replicas, next_id: 1 }
    }

    /// The events of a batch.
    pub fn batch(&mut self, batch: u32, records: &mut Records) -> Vec<Event> {
        let mut events = vec![Event::TimerFired];
        events.extend(self.list_event(batch, records));
        self.end_attempts(batch / SPELL % 2 == 1, records, &mut events);
        self.disconnect_clients(records, &mut events);
        self.begin_second_steps(records, &mut events);
        if self.random.one_in(3) {
            self.begin_query(records, &mut events);
        }
        events
    }

    /// A complete list at first, then changes and failures.
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
        self.random.one_in(200).then_some(Event::WatchFailed)
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

    fn end_attempts(&mut self, bad_spell: bool, records: &mut Records, events: &mut Vec<Event>) {
        let ends_one_in = if bad_spell { 40 } else { 12 };
        let outcomes = if bad_spell { 14 } else { 40 };
        let mut answered = 0;
        for (part, record) in &mut records.parts {
            for (attempt, sent) in (0..).zip(&mut record.attempts) {
                if sent.outcome.is_some() || !self.random.one_in(ends_one_in) {
                    continue;
                }
                let roll = self.random.below(outcomes) as usize;
                let outcome = FAILURES.get(roll).copied().unwrap_or(Outcome::Ok);
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
            assert!(query.deadline_at > now, "no query is lost");
            if self.random.one_in(2000) {
                query.ended = true;
                events.push(Event::ClientDisconnected(*id));
            }
        }
    }

    /// The parts of the second steps that answers of the last batch began.
    fn begin_second_steps(&mut self, records: &mut Records, events: &mut Vec<Event>) {
        let open = records.queries.iter().filter(|(_, query)| !query.ended && query.step == 2);
        let without_parts =
            open.filter(|(_, query)| !query.parts.iter().any(|part| records.parts[part].step == 2));
        let begun: Vec<Id> = without_parts.map(|(id, _)| *id).collect();
        for query in begun {
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

    /// Adds one of so many parts of equal weight.
    fn add_part(
        &mut self,
        query: Id,
        shard: u32,
        of: u32,
        step: u8,
        records: &mut Records,
        events: &mut Vec<Event>,
    ) {
        let id = self.take_id();
        let weight = 1.0 / f64::from(of);
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
