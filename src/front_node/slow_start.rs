//! Slow start: how much a warming-up replica may be sent while it gains capacity.

use super::tuning::{MIN_WARMTH, SLOW_START_MARGIN};
use super::FrontNode;
use crate::state::{ClassStep, Replica};

impl FrontNode {
    /// The share of its capacity that a replica is known to have: it grows linearly to 1 at the slowest.
    pub(super) fn warmth(&self, replica: &Replica) -> f64 {
        let Some(started) = replica.started_at else { return 1.0 };
        let cold = self.settings.rules.cold_capacity_share;
        let grown = (self.now - started).ratio_to(self.settings.rules.warm_up_time).clamp(0.0, 1.0);
        (cold + (1.0 - cold) * grown).max(MIN_WARMTH)
    }

    /// What a part costs a replica, in microseconds of work; while that is unknown, the typical latency.
    pub(super) fn work(&self, class_step: ClassStep) -> f64 {
        self.stats(class_step).p25.unwrap_or(self.typical_latency(class_step)).0 as f64
    }

    /// Whether a part stays within our share of what a warming-up replica can take.
    ///
    /// The work sent to it in any overload window, retries included, is bounded by our share of its
    /// capacity: an even share of one core, or the work that a replica of its size does for us on average,
    /// which over all front nodes adds up to less than it can do warm. Where that is under one part, parts
    /// are spaced out from a moment drawn at each start, so that front nodes neither come at once nor all
    /// stay away. Just after our own start too little is known: nothing goes to a replica that is warming
    /// up.
    pub(super) fn within_slow_start(&self, replica: &Replica, class_step: ClassStep) -> bool {
        let warmth = self.warmth(replica);
        let Some(started) = replica.started_at.filter(|_| warmth < 1.0) else { return true };
        let rules = &self.settings.rules;
        if self.now - self.started_at < rules.overload_window {
            return false;
        }
        let even_share = replica.relative_capacity.min(1.0) / self.fleet_size();
        let share = even_share.max(self.mean_work_rate * replica.relative_capacity);
        let rate = SLOW_START_MARGIN * rules.overload_multiple * warmth * share;
        let budget = rate * rules.overload_window.0 as f64;
        let work = self.work(class_step);
        let spent = replica.recent_work.sum_since(self.now - rules.overload_window);
        if spent + work <= budget {
            return true;
        }
        if work <= budget {
            return false;
        }
        let last_sent_at = replica.recent_work.last_added_at().filter(|at| *at > started);
        let intervals = if last_sent_at.is_some() { 1.0 } else { replica.spacing_phase };
        let from = last_sent_at.unwrap_or(started.max(self.started_at));
        (self.now - from).0 as f64 > intervals * work / rate
    }
}
