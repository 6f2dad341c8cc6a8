//! Ends of attempts: what an outcome says of the replica, and what it means for the part.

use super::tuning::{
    CONCURRENCY_HALF_LIFE, COUNTER_HALF_LIFE, FAILURE_HOLD, FAILURE_HOLD_GROWTH, FAILURE_HOLD_STEPS,
    LATENCY_RATIO_CAP, LATENCY_RATIO_GAIN, MAX_SAMPLES,
};
use super::FrontNode;
use crate::interface::{Micros, Outcome};
use crate::numeric::{push_bounded, SECOND};
use crate::state::{AttemptId, InFlightAttempt, LatencySample};

impl FrontNode {
    /// An attempt has ended after `elapsed`. One that is not in flight is ignored.
    pub(super) fn on_attempt_ended(&mut self, id: AttemptId, outcome: Outcome, elapsed: Micros) {
        let Some(ended) = self.in_flight.remove(&id) else { return };
        // Judged by what was known before this end.
        let overdue = self.is_overdue(&ended);
        if is_response(outcome) {
            self.last_response_at = self.now;
        }
        if outcome == Outcome::ConnectFailed {
            self.last_crash_at = Some(self.now);
        }
        self.release_call(&ended);
        match outcome {
            Outcome::Ok => self.record_answer(&ended, elapsed),
            Outcome::NotSent => {}
            Outcome::Cancelled if !overdue => {}
            _ => self.record_failure(&ended, elapsed, overdue || outcome != Outcome::Timeout),
        }
        self.end_attempt_of_part(id, &ended, outcome);
    }

    /// A call is over once none of its attempts is in flight.
    fn release_call(&mut self, ended: &InFlightAttempt) {
        let call_over = !self.in_flight.values().any(|other| other.call == ended.call);
        if let Some(replica) = self.replicas.get_mut(&ended.replica) {
            replica.in_flight -= u32::from(call_over);
        }
    }

    fn record_answer(&mut self, ended: &InFlightAttempt, latency: Micros) {
        let ratio = self.ratio_to_typical(ended, latency);
        let class = &self.settings.classes[ended.class_step.class];
        let steps = if class.has_second_step() { 2.0 } else { 1.0 };
        let allowance = class.latency_objective.ratio_to(SECOND) / steps;
        let Some(known) = self.replicas.get(&ended.replica) else { return };
        let previous_ratio = self.latency_ratio(known);
        let Some(replica) = self.replicas.get_mut(&ended.replica) else { return };
        replica.last_answer_at = self.now;
        replica.consecutive_failures = 0;
        replica.latency_ratio = previous_ratio + LATENCY_RATIO_GAIN * (ratio - previous_ratio);
        replica.latency_ratio_at = self.now;
        replica.sustained_concurrency.add(self.now, CONCURRENCY_HALF_LIFE, allowance);
        self.sustained_concurrency.add(self.now, CONCURRENCY_HALF_LIFE, allowance);
        let stats = &mut self.latency_stats[ended.class_step.index()];
        let work = stats.p25.unwrap_or(latency).ratio_to(SECOND);
        self.answered_work.add(self.now, COUNTER_HALF_LIFE, work);
        push_bounded(&mut stats.samples, LatencySample { at: self.now, latency }, MAX_SAMPLES);
    }

    /// A replica that fails, drops or rejects attempts must not look idle: a failed attempt keeps counting
    /// as one in flight for a while, longer after failures in a row, and a long wait raises the latency
    /// ratio (`raises_ratio`, false for a timeout before the attempt was overdue). This covers replicas that
    /// fail one class only; it hurts where errors come with the query and not with the replica.
    fn record_failure(&mut self, ended: &InFlightAttempt, elapsed: Micros, raises_ratio: bool) {
        let ratio = self.ratio_to_typical(ended, elapsed);
        let hold = FAILURE_HOLD.max(self.revisit_interval);
        let Some(known) = self.replicas.get(&ended.replica) else { return };
        let previous_ratio = self.latency_ratio(known);
        let Some(replica) = self.replicas.get_mut(&ended.replica) else { return };
        let recent = replica.failure_holds.len().min(FAILURE_HOLD_STEPS) as f64;
        let until = self.now + hold.mul_f64(1.0 + FAILURE_HOLD_GROWTH * recent);
        replica.failure_holds.push(until);
        replica.consecutive_failures += 1;
        if raises_ratio {
            replica.latency_ratio = previous_ratio.max(ratio);
            replica.latency_ratio_at = self.now;
        }
    }

    fn ratio_to_typical(&self, ended: &InFlightAttempt, elapsed: Micros) -> f64 {
        elapsed.ratio_to(self.typical_latency(ended.class_step)).min(LATENCY_RATIO_CAP)
    }

    fn end_attempt_of_part(&mut self, id: AttemptId, ended: &InFlightAttempt, outcome: Outcome) {
        let Some(query) = self.queries.get_mut(&ended.query) else { return };
        let part = &mut query.parts[ended.part_index];
        part.answered |= outcome == Outcome::Ok;
        let attempt = &mut part.attempts[id.attempt as usize];
        attempt.in_flight = false;
        attempt.never_ran = never_ran(outcome);
        attempt.reset = outcome == Outcome::Reset;
    }
}

/// Whether an outcome was brought about by the replica or its connection, and not by our own clock or choice.
pub(super) fn is_response(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent)
}

/// Whether an outcome proves that the attempt did not run.
fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}
