//! One query's lifecycle: waiting, admission, sending, the final answer, cancelling what is left in flight.

use super::query_of_death::CrashCaution;
use super::tuning::{EPSILON, MAX_SETTLE_SHARE, SETTLE_DELAY, STOP_MARGIN_TICKS};
use super::FrontNode;
use crate::interface::{Action, Idempotency, Micros};
use crate::state::{AttemptId, ClassStep, Part, Query};

impl FrontNode {
    /// Takes a query as far as it goes now; false once it has its final answer.
    pub(super) fn advance(&mut self, query: &mut Query) -> bool {
        if !query.admitted {
            if self.waits_to_settle(query) {
                return true;
            }
            if !self.admit(query) {
                return self.give_up(query);
            }
            query.admitted = true;
        }
        if self.is_complete(query) {
            return self.answer_step(query);
        }
        let caution = self.crash_caution(query);
        if caution.query_of_death {
            self.log(format!("query of death: class {} crashes replicas", query.class));
        }
        if caution.query_of_death || !self.floor_in_reach(query) || self.now >= self.stop_at(query) {
            return self.give_up(query);
        }
        self.cancel_in_flight(query, true);
        if !self.waits_to_settle(query) {
            self.send_cautiously(query, &caution);
        }
        true
    }

    fn send_cautiously(&mut self, query: &mut Query, caution: &CrashCaution) {
        if caution.cautious && self.has_young_attempt(query) {
            return;
        }
        let most_sends = if caution.one_at_a_time { 1 } else { usize::MAX };
        self.dispatch(query, most_sends);
    }

    /// The share of the step's weight that makes its answer complete; all of it in a second step.
    pub(super) fn complete_share(&self, query: &Query) -> f64 {
        if query.step == 1 {
            self.settings.classes[query.class].complete_share
        } else {
            1.0
        }
    }

    fn is_complete(&self, query: &Query) -> bool {
        let needed = self.complete_share(query);
        let mut parts = query.step_parts();
        let all_answered = query.step_parts().next().is_some() && parts.all(|part| part.answered);
        query.answered_weight() > needed - EPSILON && (needed < 1.0 || all_answered)
    }

    /// Answers the step; whether the query goes on with a second one, whose parts come with the next batch.
    fn answer_step(&mut self, query: &mut Query) -> bool {
        self.actions.push(Action::Answer { query: query.id, complete: true });
        self.cancel_in_flight(query, false);
        query.step += 1;
        query.step == 2 && self.settings.classes[query.class].has_second_step()
    }

    /// Whether the partial floor can still be reached: a part that has used up its attempts can't be
    /// answered.
    fn floor_in_reach(&self, query: &Query) -> bool {
        let max_attempts = self.settings.limits.max_attempts as usize;
        let open = |part: &Part| part.attempts.len() < max_attempts || part.has_attempt_in_flight();
        let reachable = query.step_parts().filter(|part| part.answered || open(part));
        let weight: f64 = reachable.map(|part| part.weight).sum();
        let floor = if query.step == 1 { self.settings.classes[query.class].partial_min_share } else { 1.0 };
        weight >= floor - EPSILON
    }

    /// When the query is given up: at its deadline, or at its latency objective where a late answer earns
    /// less than what waiting forgoes (a partial answer in time, where one may be given) and costs (work
    /// that may serve nothing, in each step to come).
    pub(super) fn stop_at(&self, query: &Query) -> Micros {
        let class = &self.settings.classes[query.class];
        let partial = if class.partial_min_share < class.complete_share {
            class.partial_weight_share * class.partial_min_share / class.complete_share
        } else {
            0.0
        };
        let steps = if query.step == 1 && class.has_second_step() { 2.0 } else { 1.0 };
        let late_pays = class.late_weight_share > partial.max(self.settings.wasted_work_cost * steps);
        let end = if late_pays { query.deadline_at } else { query.deadline_at.min(query.objective_at) };
        end - self.settings.tick.mul_f64(STOP_MARGIN_TICKS)
    }

    /// Whether the query waits for things to settle, in which case a timer is set.
    ///
    /// In a silence and just after it a new query waits, for a quarter of its objective at most: no replica
    /// reads what is sent meanwhile, and of the clients whose queries come in a bunch after it some have
    /// left by then. Right after a standstill every query waits, also with what it would send again.
    fn waits_to_settle(&mut self, query: &Query) -> bool {
        let in_silence = !query.admitted && self.silence.until > Micros(0);
        let silence_end = if in_silence {
            let latest =
                query.arrived_at + self.latest_hedge(ClassStep::first(query.class)).mul_f64(MAX_SETTLE_SHARE);
            (self.silence.until + SETTLE_DELAY).min(latest)
        } else {
            Micros(0)
        };
        let until = silence_end.max(self.settled_at).min(self.stop_at(query));
        let waits = self.now < until;
        if waits {
            self.actions.push(Action::SetTimer(until - self.now));
        }
        waits
    }

    /// Cancels the query's attempts in flight: of every part, or only of those already answered.
    pub(super) fn cancel_in_flight(&mut self, query: &Query, answered_only: bool) {
        for part in query.parts.iter().filter(|part| part.answered || !answered_only) {
            for (number, attempt) in (0..).zip(&part.attempts) {
                if attempt.in_flight {
                    self.cancel(AttemptId { part: part.id, attempt: number });
                }
            }
        }
    }

    /// Marks an attempt as cancelled, and cancels it at its replica where that is allowed.
    fn cancel(&mut self, id: AttemptId) {
        let Some(attempt) = self.in_flight.get_mut(&id) else { return };
        if attempt.cancelled {
            return;
        }
        attempt.cancelled = true;
        if self.settings.limits.allow_cancel {
            self.actions.push(Action::Cancel { part: id.part, attempt: id.attempt });
        }
    }

    /// The final answer without a complete one: a partial answer where the class allows it and enough is
    /// answered, a rejection where a retry by the client does no harm, else a failure. Always false: the
    /// query has ended.
    fn give_up(&mut self, query: &Query) -> bool {
        let harmless = self.settings.classes[query.class].idempotency == Idempotency::Idempotent;
        let action = if self.may_answer_partially(query) {
            Action::Answer { query: query.id, complete: false }
        } else if harmless || query.surely_never_ran() {
            Action::Reject { query: query.id, retry_after: self.draw_retry_after() }
        } else {
            Action::Fail { query: query.id }
        };
        self.actions.push(action);
        self.cancel_in_flight(query, false);
        false
    }

    fn may_answer_partially(&self, query: &Query) -> bool {
        let class = &self.settings.classes[query.class];
        let last_step = query.step == 2 || !class.has_second_step();
        let answered = query.answered_weight();
        let allowed = class.partial_min_share < class.complete_share && last_step;
        allowed && answered > class.partial_min_share - EPSILON && answered > 0.0
    }

    /// A Retry-After between half of the longest one and all of it, where clients are given one.
    fn draw_retry_after(&mut self) -> Option<Micros> {
        let limits = &self.settings.limits;
        limits.send_retry_after.then(|| limits.max_retry_after.mul_f64(0.5 + 0.5 * self.random.next()))
    }
}
