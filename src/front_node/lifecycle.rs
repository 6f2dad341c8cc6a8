//! Lifecycle of a query: waiting, admission, dispatch, the final answer, cancellation of attempts in flight.

use super::query_of_death::CrashContainment;
use super::tuning::{EPSILON, GIVE_UP_MARGIN_TICKS, MAX_STALL_WAIT_SHARE, RESUME_DELAY};
use super::FrontNode;
use crate::interface::{Action, Idempotency, Micros};
use crate::state::{AttemptId, ClassStep, Part, Query};

impl FrontNode {
    /// Advances a query as far as is possible now. Returns false if it has got its final answer.
    pub(super) fn advance(&mut self, query: &mut Query) -> bool {
        if !query.admitted {
            if self.must_wait(query) {
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
        let containment = self.crash_containment(query);
        if containment.query_of_death {
            self.log(format!("query of death: class {} crashes replicas", query.class));
        }
        if containment.query_of_death
            || !self.min_share_is_reachable(query)
            || self.now >= self.give_up_at(query)
        {
            return self.give_up(query);
        }
        self.cancel_in_flight(query, true);
        if !self.must_wait(query) {
            self.dispatch_contained(query, &containment);
        }
        true
    }

    /// Dispatches a query under the restrictions that contain a possible query of death.
    fn dispatch_contained(&mut self, query: &mut Query, containment: &CrashContainment) {
        if containment.wait_for_answers && self.has_recent_attempt(query) {
            return;
        }
        let max_sends = if containment.one_at_a_time { 1 } else { usize::MAX };
        self.dispatch(query, max_sends);
    }

    /// Returns the share of the current step's weight that makes its answer complete. A second step needs all
    /// of it.
    pub(super) fn complete_share(&self, query: &Query) -> f64 {
        if query.step == 1 {
            self.settings.classes[query.class].complete_share
        } else {
            1.0
        }
    }

    /// Returns whether enough parts of the current step are answered for a complete answer.
    fn is_complete(&self, query: &Query) -> bool {
        let needed = self.complete_share(query);
        let mut parts = query.step_parts();
        let all_answered = query.step_parts().next().is_some() && parts.all(|part| part.answered);
        query.answered_weight() > needed - EPSILON && (needed < 1.0 || all_answered)
    }

    /// Answers the current step. Returns whether a second step follows, whose parts arrive with the next
    /// batch.
    fn answer_step(&mut self, query: &mut Query) -> bool {
        self.actions.push(Action::Answer { query: query.id, complete: true });
        self.cancel_in_flight(query, false);
        query.step += 1;
        query.step == 2 && self.settings.classes[query.class].has_second_step()
    }

    /// Returns whether the weight that the class requires for a partial answer can still be reached. A part
    /// that has used up its attempts, with none in flight, can no longer be answered.
    fn min_share_is_reachable(&self, query: &Query) -> bool {
        let max_attempts = self.settings.limits.max_attempts as usize;
        let answerable = |part: &Part| part.attempts.len() < max_attempts || part.has_attempt_in_flight();
        let reachable = query.step_parts().filter(|part| part.answered || answerable(part));
        let weight: f64 = reachable.map(|part| part.weight).sum();
        let min_share =
            if query.step == 1 { self.settings.classes[query.class].partial_min_share } else { 1.0 };
        weight >= min_share - EPSILON
    }

    /// Returns when the query is given up, some ticks before its deadline or its latency objective.
    ///
    /// The deadline applies if a late answer earns more than a partial answer in time would, where the class
    /// allows one, and more than the work costs that may be wasted in each remaining step.
    pub(super) fn give_up_at(&self, query: &Query) -> Micros {
        let class = &self.settings.classes[query.class];
        let partial = if class.partial_min_share < class.complete_share {
            class.partial_weight_share * class.partial_min_share / class.complete_share
        } else {
            0.0
        };
        let steps = if query.step == 1 && class.has_second_step() { 2.0 } else { 1.0 };
        let late_pays = class.late_weight_share > partial.max(self.settings.wasted_work_cost * steps);
        let end = if late_pays { query.deadline_at } else { query.deadline_at.min(query.objective_at) };
        end - self.settings.tick.mul_f64(GIVE_UP_MARGIN_TICKS)
    }

    /// Returns whether nothing may be sent for the query now, although it is not given up yet.
    fn must_wait(&mut self, query: &Query) -> bool {
        let holds = self.holds_sends() && self.now < self.give_up_at(query);
        holds || self.must_wait_for_stall(query)
    }

    /// Returns whether the query has to wait because of a stall. If so, sets a timer for the end of the wait.
    ///
    /// During a stall of all replicas and shortly after it, a query that is not admitted yet waits, for a
    /// quarter of its objective at most: replicas do not read what is sent during the stall, and some of the
    /// clients whose queries arrive in a burst after it have already disconnected. Right after a pause of
    /// this machine every query waits, and so do its retries.
    fn must_wait_for_stall(&mut self, query: &Query) -> bool {
        let in_stall = !query.admitted && self.global_stall.observed_until > Micros(0);
        let stall_wait_end = if in_stall {
            let latest = query.arrived_at
                + self.latest_hedge(ClassStep::first(query.class)).mul_f64(MAX_STALL_WAIT_SHARE);
            (self.global_stall.observed_until + RESUME_DELAY).min(latest)
        } else {
            Micros(0)
        };
        let until = stall_wait_end.max(self.resume_sends_at).min(self.give_up_at(query));
        let must_wait = self.now < until;
        if must_wait {
            self.actions.push(Action::SetTimer(until - self.now));
        }
        must_wait
    }

    /// Cancels the query's attempts in flight, of all parts or only of the parts that are answered already.
    pub(super) fn cancel_in_flight(&mut self, query: &Query, answered_only: bool) {
        for part in query.parts.iter().filter(|part| part.answered || !answered_only) {
            for (number, attempt) in (0..).zip(&part.attempts) {
                if attempt.in_flight {
                    self.cancel(AttemptId { part: part.id, attempt: number });
                }
            }
        }
    }

    /// Marks an attempt as cancelled, and cancels it at its replica if the deployment allows that.
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

    /// Ends a query without a complete answer, and returns false to signal that it has ended.
    ///
    /// The query gets a partial answer if the class allows it and enough parts are answered. Otherwise it is
    /// rejected if a retry by the client is safe, and fails if not.
    fn give_up(&mut self, query: &Query) -> bool {
        let idempotent = self.settings.classes[query.class].idempotency == Idempotency::Idempotent;
        let action = if self.may_answer_partially(query) {
            Action::Answer { query: query.id, complete: false }
        } else if idempotent || query.provably_never_ran() {
            Action::Reject { query: query.id, retry_after: self.draw_retry_after() }
        } else {
            Action::Fail { query: query.id }
        };
        self.actions.push(action);
        self.cancel_in_flight(query, false);
        false
    }

    /// Returns whether the query may get a partial answer now.
    fn may_answer_partially(&self, query: &Query) -> bool {
        let class = &self.settings.classes[query.class];
        let last_step = query.step == 2 || !class.has_second_step();
        let answered = query.answered_weight();
        let allowed = class.partial_min_share < class.complete_share && last_step;
        allowed && answered > class.partial_min_share - EPSILON && answered > 0.0
    }

    /// Returns a random `Retry-After` from half of the longest one to all of it, if clients get one.
    fn draw_retry_after(&mut self) -> Option<Micros> {
        let limits = &self.settings.limits;
        limits.send_retry_after.then(|| limits.max_retry_after.mul_f64(0.5 + 0.5 * self.random.next()))
    }
}
