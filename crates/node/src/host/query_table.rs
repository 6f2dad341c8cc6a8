//! The table of open queries and their parts.

use super::interface::TableSize;
use super::recent_ids::RecentIds;
use crate::counters::{Counter, Counters, RetryCounters};
use pinetrestle::interface::{Id, Idempotency, Micros, Outcome};
use pinetrestle_protocol::frames::Score;
use pinetrestle_wheel::TimerKey;
use std::collections::HashMap;
use std::rc::Rc;

/// How much earlier the first part of a second step is sent than the others: its arrival ends the first step at the
/// index servers, and parts that they read at the same moment are answered as errors.
const SECOND_STEP_LEAD: Micros = Micros(1_000);

/// The step of a query that a part belongs to, or that a query is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryStep {
    /// All parts of the request.
    First,
    /// Parts at the shards that scored highest in the first step, for classes that have two steps.
    Second,
}

/// An open query.
#[derive(Debug)]
pub(super) struct OpenQuery {
    /// Its id on the wire.
    pub(super) wire_id: String,
    /// The payload that each part carries.
    pub(super) text: Rc<str>,
    pub(super) class: usize,
    /// Its number among all queries, by which the decision core knows its parts.
    pub(super) number: u64,
    /// When it fails for want of an answer.
    pub(super) deadline: Micros,
    /// The timer of its deadline.
    pub(super) timer: Option<TimerKey>,
    pub(super) step: QueryStep,
    /// Whether the first step was complete when the second began.
    pub(super) first_step_complete: bool,
    /// When the first attempt of the second step was decided.
    pub(super) second_step_began: Option<Micros>,
    /// What its idempotency key adds to the option list of each part.
    pub(super) idempotency_options: String,
    /// What its second step adds to the option list of each part.
    pub(super) second_step_options: String,
    /// Its parts, of both steps.
    pub(super) parts: Vec<Id>,
}

impl OpenQuery {
    /// The earliest time at which an attempt of the second step, decided now, may be sent.
    pub(super) fn second_step_not_before(&mut self, now: Micros) -> Micros {
        match self.second_step_began {
            None => {
                self.second_step_began = Some(now);
                now
            }
            Some(began) => now.max(began + SECOND_STEP_LEAD),
        }
    }
}

/// The answer to a part.
#[derive(Debug)]
pub(super) struct PartAnswer {
    /// By it the second step chooses its shards.
    pub(super) score: Score,
    pub(super) value: String,
}

/// A part of an open query.
#[derive(Debug)]
pub(super) struct OpenPart {
    pub(super) query: Id,
    pub(super) shard: u32,
    pub(super) step: QueryStep,
    /// Attempts so far; they are numbered from 0.
    pub(super) attempts: u32,
    /// Attempts in flight.
    pub(super) in_flight: u32,
    /// The first answer to it.
    pub(super) answer: Option<PartAnswer>,
    /// How the latest attempt that has ended did so.
    latest_outcome: Option<Outcome>,
    /// Whether an attempt has ended that may have run.
    may_have_run: bool,
}

impl OpenPart {
    /// A part without attempts.
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

    /// Whether another attempt could run a non-idempotent part a second time.
    pub(super) fn is_retry_forbidden(&self, effect: Idempotency) -> bool {
        effect == Idempotency::NonIdempotent && (self.in_flight > 0 || self.may_have_run)
    }

    /// Enters one more attempt, counts it, and returns its number from 0.
    pub(super) fn attempt_started(&mut self, counters: &Counters) -> u32 {
        if let Some(cause) = self.retry_counter(&counters.retries) {
            cause.increment();
        }
        let number = self.attempts;
        counters.attempts.retries.add(u64::from(number > 0));
        counters.attempts.hedges.add(u64::from(self.in_flight > 0));
        self.attempts += 1;
        self.in_flight += 1;
        number
    }

    /// One of its attempts has ended.
    pub(super) fn attempt_ended(&mut self, outcome: Outcome) {
        self.in_flight -= 1;
        self.latest_outcome = Some(outcome);
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        self.may_have_run |= !never_ran;
    }

    /// The counter for the cause of another attempt; none for the first.
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

/// The open queries and parts, and the ids that name them.
#[derive(Default)]
pub(super) struct QueryTable {
    queries: HashMap<Id, OpenQuery>,
    by_wire_id: HashMap<String, Id>,
    parts: HashMap<Id, OpenPart>,
    recent_wire_ids: RecentIds,
    /// The id given out last.
    pub(super) last_id: Id,
    /// Whether the ids have wrapped around: from then on a new one may still be in use.
    ids_wrapped: bool,
    next_number: u64,
}

impl QueryTable {
    /// Claims a query's wire id; false if it is in use by an open query or was claimed within `span`.
    pub(super) fn claim_wire_id(&mut self, now: Micros, span: Micros, wire_id: &str) -> bool {
        !self.by_wire_id.contains_key(wire_id) && self.recent_wire_ids.claim(now, span, wire_id)
    }

    /// The next query by its number, at its first step and without parts; it is not in the table yet.
    pub(super) fn new_query(
        &mut self,
        wire_id: String,
        text: Rc<str>,
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
            second_step_began: None,
            idempotency_options: String::new(),
            second_step_options: String::new(),
            parts: Vec::new(),
        }
    }

    /// Enters a query.
    pub(super) fn insert(&mut self, id: Id, query: OpenQuery) {
        self.by_wire_id.insert(query.wire_id.clone(), id);
        self.queries.insert(id, query);
    }

    /// Enters a part.
    pub(super) fn insert_part(&mut self, id: Id, part: OpenPart) {
        self.parts.insert(id, part);
    }

    /// Removes a query; its parts stay until [`QueryTable::remove_part`].
    pub(super) fn remove(&mut self, id: Id) -> Option<OpenQuery> {
        let query = self.queries.remove(&id)?;
        self.by_wire_id.remove(&query.wire_id);
        Some(query)
    }

    /// Removes a part.
    pub(super) fn remove_part(&mut self, id: Id) -> Option<OpenPart> {
        self.parts.remove(&id)
    }

    /// Takes a query out to change it; its wire id stays in use until [`QueryTable::return_query`].
    pub(super) fn take_query(&mut self, id: Id) -> Option<OpenQuery> {
        self.queries.remove(&id)
    }

    /// Puts a query back that was taken out.
    pub(super) fn return_query(&mut self, id: Id, query: OpenQuery) {
        self.queries.insert(id, query);
    }

    /// An open query.
    pub(super) fn query(&self, id: Id) -> Option<&OpenQuery> {
        self.queries.get(&id)
    }

    /// All open queries with their ids, in no order.
    pub(super) fn queries_mut(&mut self) -> impl Iterator<Item = (Id, &mut OpenQuery)> {
        self.queries.iter_mut().map(|(id, query)| (*id, query))
    }

    /// The ids of all open queries in their order.
    pub(super) fn sorted_ids(&self) -> Vec<Id> {
        let mut ids: Vec<Id> = self.queries.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// A part of an open query.
    pub(super) fn part_mut(&mut self, id: Id) -> Option<&mut OpenPart> {
        self.parts.get_mut(&id)
    }

    /// A part and its query; none if the query has ended.
    pub(super) fn query_and_part_mut(&mut self, part: Id) -> Option<(&mut OpenQuery, &mut OpenPart)> {
        let part = self.parts.get_mut(&part)?;
        let query = self.queries.get_mut(&part.query)?;
        Some((query, part))
    }

    /// A query's parts of one step, in the order in which they were added.
    pub(super) fn parts_of_step<'a>(
        &'a self,
        query: &'a OpenQuery,
        step: QueryStep,
    ) -> impl Iterator<Item = &'a OpenPart> {
        let parts = query.parts.iter().filter_map(|id| self.parts.get(id));
        parts.filter(move |part| part.step == step)
    }

    /// The number of open queries.
    pub(super) fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// The number of open queries and parts, which the deployment limits.
    pub(super) fn open_queries_and_parts(&self) -> usize {
        self.queries.len() + self.parts.len()
    }

    /// An id that names no open query, no part, and nothing for which `is_in_use` is true.
    pub(super) fn next_free_id(&mut self, is_in_use: impl Fn(Id) -> bool) -> Id {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            let id = self.last_id;
            self.ids_wrapped |= id == 0;
            if !self.ids_wrapped {
                return id;
            }
            let open = self.queries.contains_key(&id) || self.parts.contains_key(&id);
            if !open && !is_in_use(id) {
                return id;
            }
        }
    }

    /// The sizes of its tables.
    pub(super) fn sizes(&self) -> [TableSize; 3] {
        [
            TableSize { table: "queries", entries: self.queries.len() + self.by_wire_id.len() },
            TableSize { table: "parts", entries: self.parts.len() },
            TableSize { table: "recent wire ids", entries: self.recent_wire_ids.len() },
        ]
    }
}
