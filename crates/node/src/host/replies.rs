//! Final answers, the start of the second step, and the removal of ended queries.

use super::interface::{Command, Reply};
use super::query_table::{OpenQuery, QueryStep};
use super::{EndedPart, Host};
use crate::counters::QueryCounters;
use pinetrestle::interface::Id;
use pinetrestle_protocol::frames::{second_step_attributes, Score};
use pinetrestle_protocol::query::{encode_answer_body, RequestedPart};
use std::cmp::Ordering;

/// The score of a shard's answer in the first step.
#[derive(Clone, Copy, Debug)]
struct ScoredShard {
    score: Score,
    shard: u32,
}

impl ScoredShard {
    /// Orders by descending score. Equal or incomparable scores are ordered by shard.
    fn cmp_by_score(&self, other: &ScoredShard) -> Ordering {
        let by_score = other.score.partial_cmp(&self.score).unwrap_or(Ordering::Equal);
        by_score.then(self.shard.cmp(&other.shard))
    }
}

impl Host {
    /// Ends the current step of a query with the parts answered so far: starts the second step if one
    /// follows, otherwise sends the final answer. The final answer counts as complete only if each step was
    /// complete.
    pub(super) fn finish_step(&mut self, id: Id, complete: bool) {
        let Some(query) = self.queries.query(id) else { return };
        let class = self.deployment.settings.classes.get(query.class);
        let second_step_parts = class.map_or(0, |class| class.second_step_parts as usize);
        if query.step == QueryStep::First && second_step_parts > 0 {
            return self.begin_second_step(id, complete, second_step_parts);
        }
        let complete = complete && (query.step == QueryStep::First || query.first_step_complete);
        let parts = self.queries.parts_of_step(query, query.step);
        let values = parts.filter_map(|part| Some((part.shard, part.answer.as_ref()?.value.as_str())));
        let body = encode_answer_body(&self.body_keys, complete, values);
        self.finish_query(id, Reply::Served { body, complete }, |queries| {
            let counter = if complete { &queries.complete } else { &queries.partial };
            counter.increment();
        });
    }

    /// Starts the second step of a query, with one part for each of the up to `max_parts` shards with the
    /// highest scores among those that have answered.
    fn begin_second_step(&mut self, id: Id, first_step_complete: bool, max_parts: usize) {
        let Some(mut query) = self.queries.take_query(id) else { return };
        let parts = self.queries.parts_of_step(&query, QueryStep::First);
        let mut answered: Vec<ScoredShard> = parts
            .filter_map(|part| Some(ScoredShard { score: part.answer.as_ref()?.score, shard: part.shard }))
            .collect();
        let mut answered_shards: Vec<u32> = answered.iter().map(|scored| scored.shard).collect();
        answered_shards.sort_unstable();
        answered.sort_by(ScoredShard::cmp_by_score);
        answered.truncate(max_parts);

        query.step = QueryStep::Second;
        query.first_step_complete = first_step_complete;
        query.second_step_attributes = second_step_attributes(&answered_shards, first_step_complete);
        let weight = 1.0 / answered.len() as f64;
        for scored in &answered {
            let requested = RequestedPart { shard: scored.shard, weight, work_hint_us: None };
            self.add_part(id, &mut query, &requested);
        }
        self.update_query_counters(query.class, |queries| queries.second_steps.increment());
        self.queries.return_query(id, query);
    }

    /// Ends a query with this final answer and updates the counters of its class. Does nothing if the query
    /// has already ended.
    pub(super) fn finish_query(&mut self, id: Id, reply: Reply, count: impl FnOnce(&QueryCounters)) {
        if let Some(query) = self.remove_query(id) {
            self.update_query_counters(query.class, count);
            self.commands.push(Command::Reply(id, reply));
        }
    }

    /// Removes a query and its parts. Attempts that are still queued are withdrawn before any other task can
    /// write them. Attempts whose write has started are left to the decision core, which cancels them if the
    /// deployment allows that.
    pub(super) fn remove_query(&mut self, id: Id) -> Option<OpenQuery> {
        let query = self.queries.remove(id)?;
        self.timers.cancel(query.timer);
        let mut was_sent = false;
        for part_id in &query.parts {
            let Some(part) = self.queries.remove_part(*part_id) else { continue };
            was_sent |= part.attempts > 0;
            if part.in_flight == 0 {
                continue;
            }
            self.ended_parts.push(EndedPart { part: *part_id, attempts: part.attempts });
            let attempt_ids = self.attempts.ids_of_part(*part_id, part.attempts);
            self.commands.extend(attempt_ids.map(Command::Withdraw));
        }
        if !was_sent {
            self.queries.release_wire_id(&query.wire_id);
        }
        self.update_query_counters(query.class, |queries| queries.open.decrement());
        Some(query)
    }
}
