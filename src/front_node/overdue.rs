//! Overdue attempts: attempts in flight that a query no longer waits for.

use super::tuning::{MAX_OVERDUE_SHARE, MIN_OVERDUE_MULTIPLE, OUTLIER_RATIO, OVERDUE_P95_MULTIPLE};
use super::FrontNode;
use crate::interface::{Lifecycle, Micros};
use crate::state::{ClassStep, InFlightAttempt};

impl FrontNode {
    /// Returns the age of an attempt after which a hedged request would be too late: a share of the latency
    /// objective.
    pub(super) fn latest_hedge(&self, class_step: ClassStep) -> Micros {
        let class = &self.settings.classes[class_step.class];
        let share = if class.has_second_step() { MAX_OVERDUE_SHARE / 2.0 } else { MAX_OVERDUE_SHARE };
        class.latency_objective.mul_f64(share)
    }

    /// Returns the age at which an attempt is overdue. It is higher while load is shed, as hedged requests
    /// add load.
    pub(super) fn overdue_after(&self, class_step: ClassStep) -> Micros {
        let min_age = self.typical_latency(class_step).mul_f64(MIN_OVERDUE_MULTIPLE);
        let max_age = self.latest_hedge(class_step);
        let while_shedding = if self.in_flight_limit.is_some() { min_age + min_age } else { min_age };
        let unusual_age = self.stats(class_step).p95.unwrap_or_default().mul_f64(OVERDUE_P95_MULTIPLE);
        min_age.max(while_shedding.max(unusual_age).min(max_age))
    }

    /// Returns whether an attempt is overdue.
    ///
    /// An attempt is overdue once it has been in flight for longer than nearly all recent attempts at any
    /// replica. A general slowdown raises this bound, so that it does not make all attempts overdue. Time in
    /// a stall of all replicas is not counted until a hedged request would become too late.
    ///
    /// An attempt at an outlier is overdue earlier, after the typical latency. An attempt whose replica has
    /// restarted since the send or has been removed is overdue at once.
    pub(super) fn is_overdue(&self, attempt: &InFlightAttempt) -> bool {
        let Some(replica) = self.replicas.get(&attempt.replica) else { return true };
        let restarted = replica.started_at.is_some_and(|started| started > attempt.sent_at);
        if restarted || replica.lifecycle == Lifecycle::Removed {
            return true;
        }
        let age = self.elapsed_excluding_stall(attempt.sent_at);
        if replica.load_factor >= OUTLIER_RATIO && age > self.typical_latency(attempt.class_step) {
            return true;
        }
        let overdue_after = self.overdue_after(attempt.class_step);
        let latest = overdue_after.max(self.latest_hedge(attempt.class_step));
        age > overdue_after || self.now - attempt.sent_at > latest
    }
}
