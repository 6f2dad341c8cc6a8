//! Tables of the open queries and their parts.

use super::interface::TableSize;
use super::recent_ids::RecentIds;
use crate::counters::{Counter, Counters, RetryCounters};
use pinetrestle::interface::{Id, Idempotency, Micros, Outcome};
use pinetrestle_protocol::frames::Score;
use pinetrestle_protocol::query_text::QueryText;
use pinetrestle_wheel::TimerKey;
use std::collections::HashMap;

/// Minimum delay between the send of the first part of a second step and that of the other parts. The first
/// part ends the first step at the index servers, and parts that they read at the same moment are answered
/// with an error.
const SECOND_STEP_DELAY: Micros = Micros(1_000);

/// The current step of a query, or the step that a part belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryStep {
    /// The first step, which consists of the parts of the client's request.
    First,
    /// The second step, for classes that have two: one part for each of the shards that scored highest in the
    /// first step.
    Second,
}

/// An open query.
#[derive(Debug)]
pub(super) struct OpenQuery {
    /// Id of the query on the wire.
    pub(super) wire_id: String,
    /// Text of the query, which each part carries to its index server.
    pub(super) text: QueryText,
    /// Index of the query's class in the settings.
    pub(super) class: usize,
    /// Sequence number of the query, by which the events of its parts refer to it.
    pub(super) number: u64,
    /// Time at which the query fails if it has not been answered.
    pub(super) deadline: Micros,
    /// Timer of the deadline; `None` until it is set.
    pub(super) timer: Option<TimerKey>,
    /// The current step.
    pub(super) step: QueryStep,
    /// Whether the answer of the first step was complete; `false` until the second step starts.
    pub(super) first_step_complete: bool,
    /// Time of the first attempt of the second step; `None` until then.
    pub(super) second_step_started: Option<Micros>,
    /// Attributes that the idempotency key adds to each part, each preceded by a comma.
    pub(super) idempotency_attributes: String,
    /// Attributes that each part of the second step carries, each preceded by a comma.
    pub(super) second_step_attributes: String,
    /// Ids of the parts of both steps.
    pub(super) parts: Vec<Id>,
}

impl OpenQuery {
    /// Returns the earliest time at which an attempt of the second step that starts at `now` may be sent:
    /// `now` for the first attempt, and at least [`SECOND_STEP_DELAY`] after the first one for all others.
    pub(super) fn second_step_not_before(&mut self, now: Micros) -> Micros {
        match self.second_step_started {
            None => {
                self.second_step_started = Some(now);
                now
            }
            Some(started) => now.max(started + SECOND_STEP_DELAY),
        }
    }
}

/// The answer to a part.
#[derive(Debug)]
pub(super) struct PartAnswer {
    /// Score of the answer, by which the shards of the second step are selected.
    pub(super) score: Score,
    pub(super) value: String,
}

/// A part of an open query.
#[derive(Debug)]
pub(super) struct OpenPart {
    pub(super) query: Id,
    pub(super) shard: u32,
    pub(super) step: QueryStep,
    /// Number of attempts so far. Attempts are numbered from 0.
    pub(super) attempts: u32,
    /// Number of attempts in flight.
    pub(super) in_flight: u32,
    /// The first answer received, if any.
    pub(super) answer: Option<PartAnswer>,
    /// Outcome of the attempt that ended last; `None` if no attempt has ended.
    latest_outcome: Option<Outcome>,
    /// Whether any attempt that has ended may have run.
    may_have_run: bool,
}

impl OpenPart {
    /// Creates a part without attempts.
    pub(super) fn new(query: Id, shard: u32, step: QueryStep) -> OpenPart {
        OpenPart {
            query,
            shard,
            step,
            attempts: 0,
            in_flight: 0,
            answer: None,
            latest_outcome: None,
            may_have_run: false,
        }
    }

    /// Returns whether another attempt must not be sent, because the part is not idempotent and an earlier
    /// attempt may have run or may still run.
    pub(super) fn is_retry_forbidden(&self, idempotency: Idempotency) -> bool {
        idempotency == Idempotency::NonIdempotent && (self.in_flight > 0 || self.may_have_run)
    }

    /// Registers a new attempt, updates the retry counters, and returns the number of the attempt, from 0.
    pub(super) fn attempt_started(&mut self, counters: &Counters) -> u32 {
        if let Some(counter) = self.retry_counter(&counters.retries) {
            counter.increment();
        }
        let number = self.attempts;
        counters.attempts.retries.add(u64::from(number > 0));
        counters.attempts.hedges.add(u64::from(self.in_flight > 0));
        self.attempts += 1;
        self.in_flight += 1;
        number
    }

    /// Registers the end of an attempt.
    pub(super) fn attempt_ended(&mut self, outcome: Outcome) {
        self.in_flight -= 1;
        self.latest_outcome = Some(outcome);
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        self.may_have_run |= !never_ran;
    }

    /// Returns the counter for the cause of the next attempt: an attempt in flight (hedged request) or else
    /// the latest outcome (retry). Returns `None` for the first attempt, and after an answer.
    fn retry_counter<'a>(&self, counters: &'a RetryCounters) -> Option<&'a Counter> {
        if self.in_flight > 0 {
            return Some(&counters.hedge);
        }
        match self.latest_outcome? {
            Outcome::Ok => None,
            Outcome::Error => Some(&counters.after_error),
            Outcome::Rejected => Some(&counters.after_rejected),
            Outcome::Timeout => Some(&counters.after_timeout),
            Outcome::ConnectFailed => Some(&counters.after_connect_failed),
            Outcome::Reset => Some(&counters.after_reset),
            Outcome::Cancelled => Some(&counters.after_cancelled),
            Outcome::NotSent => Some(&counters.after_never_sent),
        }
    }
}

/// The open queries and their parts. Assigns their ids, and keeps recently used wire ids to reject
/// duplicates.
#[derive(Default)]
pub(super) struct QueryTable {
    queries: HashMap<Id, OpenQuery>,
    by_wire_id: HashMap<String, Id>,
    parts: HashMap<Id, OpenPart>,
    recent_wire_ids: RecentIds,
    /// The id that was assigned last.
    pub(super) last_id: Id,
    /// Whether the ids have wrapped around, so that the next one may still be in use.
    ids_wrapped: bool,
    /// Sequence number of the next query.
    next_number: u64,
}

impl QueryTable {
    /// Returns whether an open query uses a wire id or it was claimed within the last `window`.
    pub(super) fn is_wire_id_in_use(&mut self, now: Micros, window: Micros, wire_id: &str) -> bool {
        self.recent_wire_ids.expire(now, window);
        self.by_wire_id.contains_key(wire_id) || self.recent_wire_ids.contains(wire_id)
    }

    /// Claims a wire id for a new query. Returns `false` if too many ids are claimed.
    pub(super) fn claim_wire_id(&mut self, wire_id: &str) -> bool {
        self.recent_wire_ids.claim(wire_id)
    }

    /// Ends the claim of a wire id, because no part of its query was sent.
    pub(super) fn release_wire_id(&mut self, wire_id: &str) {
        self.recent_wire_ids.release(wire_id);
    }

    /// Creates a query with the next sequence number, in its first step and without parts. Does not add it to
    /// the table.
    pub(super) fn new_query(
        &mut self,
        wire_id: String,
        text: QueryText,
        class: usize,
        deadline: Micros,
    ) -> OpenQuery {
        let number = self.next_number;
        self.next_number += 1;
        OpenQuery {
            wire_id,
            text,
            class,
            number,
            deadline,
            timer: None,
            step: QueryStep::First,
            first_step_complete: false,
            second_step_started: None,
            idempotency_attributes: String::new(),
            second_step_attributes: String::new(),
            parts: Vec::new(),
        }
    }

    /// Adds a query.
    pub(super) fn insert(&mut self, id: Id, query: OpenQuery) {
        self.by_wire_id.insert(query.wire_id.clone(), id);
        self.queries.insert(id, query);
    }

    /// Adds a part.
    pub(super) fn insert_part(&mut self, id: Id, part: OpenPart) {
        self.parts.insert(id, part);
    }

    /// Removes a query. Its parts have to be removed one by one with [`QueryTable::remove_part`].
    pub(super) fn remove(&mut self, id: Id) -> Option<OpenQuery> {
        let query = self.queries.remove(&id)?;
        self.by_wire_id.remove(&query.wire_id);
        Some(query)
    }

    /// Removes a part.
    pub(super) fn remove_part(&mut self, id: Id) -> Option<OpenPart> {
        self.parts.remove(&id)
    }

    /// Takes a query out of the table so that it can be changed together with the table. Its wire id stays in
    /// use. The caller has to put it back with [`QueryTable::return_query`].
    pub(super) fn take_query(&mut self, id: Id) -> Option<OpenQuery> {
        self.queries.remove(&id)
    }

    /// Puts a query back that was taken out with [`QueryTable::take_query`].
    pub(super) fn return_query(&mut self, id: Id, query: OpenQuery) {
        self.queries.insert(id, query);
    }

    /// Returns the open query with this id.
    pub(super) fn query(&self, id: Id) -> Option<&OpenQuery> {
        self.queries.get(&id)
    }

    /// Returns all open queries with their ids, in arbitrary order.
    pub(super) fn queries_mut(&mut self) -> impl Iterator<Item = (Id, &mut OpenQuery)> {
        self.queries.iter_mut().map(|(id, query)| (*id, query))
    }

    /// Returns the ids of all open queries in ascending order.
    pub(super) fn sorted_ids(&self) -> Vec<Id> {
        let mut ids: Vec<Id> = self.queries.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the part with this id, or `None` if its query has ended.
    pub(super) fn part_mut(&mut self, id: Id) -> Option<&mut OpenPart> {
        self.parts.get_mut(&id)
    }

    /// Returns a part and its query, or `None` if the query has ended.
    pub(super) fn query_and_part_mut(&mut self, part: Id) -> Option<(&mut OpenQuery, &mut OpenPart)> {
        let part = self.parts.get_mut(&part)?;
        let query = self.queries.get_mut(&part.query)?;
        Some((query, part))
    }

    /// Returns the parts of one step of a query, in the order in which they were added.
    pub(super) fn parts_of_step<'a>(
        &'a self,
        query: &'a OpenQuery,
        step: QueryStep,
    ) -> impl Iterator<Item = &'a OpenPart> {
        let parts = query.parts.iter().filter_map(|id| self.parts.get(id));
        parts.filter(move |part| part.step == step)
    }

    /// Returns the number of open queries.
    pub(super) fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// Returns the total number of open queries and parts, which the deployment limits.
    pub(super) fn open_queries_and_parts(&self) -> usize {
        self.queries.len() + self.parts.len()
    }

    /// Returns a new id that no open query and no part uses, and for which `is_in_use` returns `false`.
    pub(super) fn next_free_id(&mut self, is_in_use: impl Fn(Id) -> bool) -> Id {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            let id = self.last_id;
            self.ids_wrapped |= id == 0;
            if !self.ids_wrapped {
                return id;
            }
            let is_open = self.queries.contains_key(&id) || self.parts.contains_key(&id);
            if !is_open && !is_in_use(id) {
                return id;
            }
        }
    }

    /// Returns the sizes of the tables. The size of `queries` includes the index by wire id.
    pub(super) fn sizes(&self) -> [TableSize; 3] {
        [
            TableSize { table: "queries", entries: self.queries.len() + self.by_wire_id.len() },
            TableSize { table: "parts", entries: self.parts.len() },
            TableSize { table: "recent wire ids", entries: self.recent_wire_ids.len() },
        ]
    }
}
