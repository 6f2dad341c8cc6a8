//! When an attempt in flight is overdue, so that the query goes on without it.

use super::tuning::{OUTLIER_RATIO, OVERDUE_MULTIPLE, OVERDUE_P95_MULTIPLE, OVERDUE_SHARE};
use super::FrontNode;
use crate::interface::{Lifecycle, Micros};
use crate::state::{ClassStep, InFlightAttempt};

impl FrontNode {
    /// The age of an attempt past which a hedged request would come too late: a share of the objective.
    pub(super) fn latest_hedge(&self, class_step: ClassStep) -> Micros {
        let class = &self.settings.classes[class_step.class];
        let share = if class.has_second_step() { OVERDUE_SHARE / 2.0 } else { OVERDUE_SHARE };
        class.latency_objective.mul_f64(share)
    }

    /// The age at which an attempt is overdue; later while shedding load, as hedged requests add to it.
    pub(super) fn overdue_after(&self, class_step: ClassStep) -> Micros {
        let least = self.typical_latency(class_step).mul_f64(OVERDUE_MULTIPLE);
        let most = self.latest_hedge(class_step);
        let strained = if self.in_flight_limit.is_some() { least + least } else { least };
        let late = self.stats(class_step).p95.unwrap_or_default().mul_f64(OVERDUE_P95_MULTIPLE);
        least.max(strained.max(late).min(most))
    }

    /// Whether an attempt has been in flight for longer than nearly all recent ones at any replica, so that
    /// a slowdown of everything moves the bound along; sooner where its replica is an outlier, at once where
    /// that has restarted or is gone.
    pub(super) fn is_overdue(&self, attempt: &InFlightAttempt) -> bool {
        let Some(replica) = self.replicas.get(&attempt.replica) else { return true };
        let restarted = replica.started_at.is_some_and(|started| started > attempt.sent_at);
        if restarted || replica.lifecycle == Lifecycle::Removed {
            return true;
        }
        let age = self.elapsed_without_silence(attempt.sent_at);
        if replica.load_factor >= OUTLIER_RATIO && age > self.typical_latency(attempt.class_step) {
            return true;
        }
        let overdue_after = self.overdue_after(attempt.class_step);
        let latest = overdue_after.max(self.latest_hedge(attempt.class_step));
        age > overdue_after || self.now - attempt.sent_at > latest
    }
}
