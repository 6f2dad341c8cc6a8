//! Slow start: limits the work sent to a replica while it warms up.

use super::tuning::{MIN_CAPACITY_SHARE, SLOW_START_SAFETY_FACTOR};
use super::FrontNode;
use crate::state::{ClassStep, Replica};

impl FrontNode {
    /// Returns the share of its full capacity that a replica has at least. While the replica warms up, this
    /// share is assumed to grow linearly, which is the slowest way that the rules allow.
    pub(super) fn capacity_share(&self, replica: &Replica) -> f64 {
        let Some(started) = replica.started_at else { return 1.0 };
        let initial_share = self.settings.rules.cold_capacity_share;
        let warm_up_progress =
            (self.now - started).ratio_to(self.settings.rules.warm_up_time).clamp(0.0, 1.0);
        (initial_share + (1.0 - initial_share) * warm_up_progress).max(MIN_CAPACITY_SHARE)
    }

    /// Returns the expected work of a part, in microseconds. As long as it is unknown, this is the typical
    /// latency.
    pub(super) fn expected_work(&self, class_step: ClassStep) -> f64 {
        self.stats(class_step).p25.unwrap_or(self.typical_latency(class_step)).0 as f64
    }

    /// Returns whether a replica may take a further part. Always true for a replica that is not warming up.
    ///
    /// The work sent to a warming-up replica in any overload window, including retries, is limited to this
    /// front node's share of the work that the replica can take at present. The share is an even share of one
    /// core or, if larger, the work that a replica of the same relative capacity does for this front node on
    /// average. Over all front nodes, the latter adds up to less than the replica can do when it is warm.
    ///
    /// If the limit is below the work of one part, single parts are sent at intervals. The first one is sent
    /// after a random part of an interval, so that front nodes neither send at the same time nor all send
    /// nothing. For one overload window after its own start, a front node knows too little to estimate these
    /// values and sends nothing to a warming-up replica.
    pub(super) fn within_slow_start(&self, replica: &Replica, class_step: ClassStep) -> bool {
        let capacity_share = self.capacity_share(replica);
        let Some(started) = replica.started_at.filter(|_| capacity_share < 1.0) else { return true };
        let rules = &self.settings.rules;
        if self.now - self.started_at < rules.overload_window {
            return false;
        }
        let even_share = replica.relative_capacity.min(1.0) / self.fleet_size();
        let share = even_share.max(self.mean_work_rate * replica.relative_capacity);
        let rate = SLOW_START_SAFETY_FACTOR * rules.overload_multiple * capacity_share * share;
        let budget = rate * rules.overload_window.0 as f64;
        let work = self.expected_work(class_step);
        let spent = replica.recent_work_sent.sum_since(self.now - rules.overload_window);
        if spent + work <= budget {
            return true;
        }
        if work <= budget {
            return false;
        }
        let last_sent_at = replica.recent_work_sent.last_added_at().filter(|at| *at > started);
        let intervals_to_wait = if last_sent_at.is_some() { 1.0 } else { replica.first_send_phase };
        let from = last_sent_at.unwrap_or(started.max(self.started_at));
        (self.now - from).0 as f64 > intervals_to_wait * work / rate
    }
}
