//! Outcomes of attempts, and their effect on the record of the replica and on the part.

use super::tuning::{
    CONCURRENCY_HALF_LIFE, COUNTER_HALF_LIFE, FAILURE_PENALTY_GROWTH, FAILURE_PENALTY_TIME,
    LATENCY_RATIO_SMOOTHING, MAX_FAILURE_PENALTY_STEPS, MAX_LATENCY_RATIO, MAX_SAMPLES,
};
use super::FrontNode;
use crate::interface::{Micros, Outcome};
use crate::numeric::{push_bounded, SECOND};
use crate::state::{AttemptId, InFlightAttempt, LatencySample};

impl FrontNode {
    /// Processes the end of an attempt, `elapsed` after it was sent. Ignores an attempt that is not in
    /// flight.
    pub(super) fn on_attempt_ended(&mut self, id: AttemptId, outcome: Outcome, elapsed: Micros) {
        let Some(ended) = self.in_flight.remove(&id) else { return };
        // Determined by the state before the outcome is recorded.
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
        self.mark_attempt_ended(id, &ended, outcome);
    }

    /// Counts the call of an ended attempt as ended too, if none of its other attempts is in flight.
    fn release_call(&mut self, ended: &InFlightAttempt) {
        let call_ended = !self.in_flight.values().any(|other| other.call_number == ended.call_number);
        if let Some(replica) = self.replicas.get_mut(&ended.replica) {
            replica.in_flight -= u32::from(call_ended);
        }
    }

    /// Records the latency of an answered attempt for its replica and for its class and step.
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
        replica.latency_ratio = previous_ratio + LATENCY_RATIO_SMOOTHING * (ratio - previous_ratio);
        replica.latency_ratio_at = self.now;
        replica.sustained_concurrency.add(self.now, CONCURRENCY_HALF_LIFE, allowance);
        self.sustained_concurrency.add(self.now, CONCURRENCY_HALF_LIFE, allowance);
        let stats = &mut self.latency_stats[ended.class_step.index()];
        let work = stats.p25.unwrap_or(latency).ratio_to(SECOND);
        self.answered_work.add(self.now, COUNTER_HALF_LIFE, work);
        push_bounded(&mut stats.samples, LatencySample { at: self.now, latency }, MAX_SAMPLES);
    }

    /// Records the failure of an attempt for its replica.
    ///
    /// A replica that fails, drops or rejects attempts must not look idle. A failed attempt therefore counts
    /// as one in flight for some time, which is longer if there are other recent failures. In addition, a
    /// long wait for the failure raises the latency ratio if `raises_ratio` is set, which it is not for a
    /// timeout before the attempt was overdue. This also works for replicas that fail a single class of
    /// queries. Its drawback is that errors that are caused by the query count as failures of the replica.
    fn record_failure(&mut self, ended: &InFlightAttempt, elapsed: Micros, raises_ratio: bool) {
        let ratio = self.ratio_to_typical(ended, elapsed);
        let penalty_time = FAILURE_PENALTY_TIME.max(self.mean_call_interval);
        let Some(known) = self.replicas.get(&ended.replica) else { return };
        let previous_ratio = self.latency_ratio(known);
        let Some(replica) = self.replicas.get_mut(&ended.replica) else { return };
        let recent = replica.failure_penalty_ends.len().min(MAX_FAILURE_PENALTY_STEPS) as f64;
        let penalty_end = self.now + penalty_time.mul_f64(1.0 + FAILURE_PENALTY_GROWTH * recent);
        replica.failure_penalty_ends.push(penalty_end);
        replica.last_failed_at = self.now;
        replica.consecutive_failures += 1;
        if raises_ratio {
            replica.latency_ratio = previous_ratio.max(ratio);
            replica.latency_ratio_at = self.now;
        }
    }

    /// Returns the time that an attempt took, divided by the typical latency and bounded.
    fn ratio_to_typical(&self, ended: &InFlightAttempt, elapsed: Micros) -> f64 {
        elapsed.ratio_to(self.typical_latency(ended.class_step)).min(MAX_LATENCY_RATIO)
    }

    /// Records the outcome of an attempt in its query, if that is still open.
    fn mark_attempt_ended(&mut self, id: AttemptId, ended: &InFlightAttempt, outcome: Outcome) {
        let Some(query) = self.queries.get_mut(&ended.query_number) else { return };
        let part = &mut query.parts[ended.part_index];
        part.answered |= outcome == Outcome::Ok;
        let attempt = &mut part.attempts[id.attempt as usize];
        attempt.in_flight = false;
        attempt.never_ran = never_ran(outcome);
        attempt.reset = outcome == Outcome::Reset;
    }
}

/// Returns whether the replica or its connection caused an outcome, as opposed to a timer or a decision of
/// this front node.
pub(super) fn is_response(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent)
}

/// Returns whether an outcome proves that the attempt did not run.
fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}
