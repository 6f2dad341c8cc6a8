//! Outlier detection: replicas that are much slower than the others count as more loaded than they are.

use super::tuning::{COUNTER_HALF_LIFE, EPSILON, MAX_LATENCY_RATIO, OUTLIER_RATIO, SLOW_RATIO};
use super::FrontNode;
use crate::interface::{Lifecycle, ReplicaId};
use crate::numeric::SECOND;

/// The latency ratio of a replica in service.
struct ReplicaRatio {
    replica: ReplicaId,
    ratio: f64,
}

impl FrontNode {
    /// Updates latencies, rates and the load factor of each replica. Runs once per batch, after all its
    /// events are applied.
    ///
    /// The load factor of a replica is its latency ratio divided by the median of all replicas. It directs
    /// parts away from replicas that are slow, hang or do not respond: the longer the oldest attempt waits
    /// while the replica answers nothing, the higher the factor. If all replicas are slow at once, the median
    /// rises and none of them is an outlier.
    pub(super) fn update_replica_health(&mut self) {
        self.update_latency_stats();
        self.update_mean_work_rate();
        let mut ratios = self.in_service_ratios();
        self.prune_removed_replicas();
        self.update_mean_call_interval(ratios.len());
        self.raise_ratios_of_unresponsive_replicas(&mut ratios);
        let median = median_ratio(&ratios);
        self.set_load_factors(&ratios, median);
    }

    /// Updates the work that a replica of relative capacity 1 does on average.
    fn update_mean_work_rate(&mut self) {
        let in_service = self.replicas.values().filter(|replica| replica.in_service());
        let total_capacity: f64 = in_service.map(|replica| replica.relative_capacity).sum();
        self.mean_work_rate =
            self.answered_work.per_second(self.now, COUNTER_HALF_LIFE) / total_capacity.max(EPSILON);
    }

    /// Returns the latency ratios of the replicas in service, in ascending order of replica ids.
    fn in_service_ratios(&self) -> Vec<ReplicaRatio> {
        let in_service = self.replicas.iter().filter(|(_, replica)| replica.in_service());
        in_service
            .map(|(id, replica)| ReplicaRatio { replica: *id, ratio: self.latency_ratio(replica) })
            .collect()
    }

    /// Drops expired failure penalties, and removed replicas that have no attempt in flight, no failure
    /// penalty and no warm-up in progress.
    fn prune_removed_replicas(&mut self) {
        let now = self.now;
        let warm_up_time = self.settings.rules.warm_up_time;
        self.replicas.retain(|_, replica| {
            replica.failure_penalty_ends.retain(|until| *until > now);
            let warming_up = replica.started_at.is_some_and(|started| now - started < warm_up_time);
            replica.lifecycle != Lifecycle::Removed
                || replica.in_flight > 0
                || warming_up
                || !replica.failure_penalty_ends.is_empty()
        });
    }

    fn update_mean_call_interval(&mut self, in_service: usize) {
        let calls_per_second = self.calls_sent.per_second(self.now, COUNTER_HALF_LIFE).max(EPSILON);
        self.mean_call_interval = SECOND.mul_f64(in_service as f64 / calls_per_second).min(COUNTER_HALF_LIFE);
    }

    /// Raises the latency ratio of replicas that have answered nothing for too long.
    ///
    /// For each attempt in flight, the time is counted from its send or from the last answer of the replica,
    /// whichever is later. If it exceeds the age at which the attempt is overdue, the ratio of the replica is
    /// at least this time divided by the typical latency.
    fn raise_ratios_of_unresponsive_replicas(&self, ratios: &mut [ReplicaRatio]) {
        for attempt in self.in_flight.values().filter(|attempt| !attempt.cancelled) {
            let last_answer_at = self.replicas[&attempt.replica].last_answer_at;
            let unanswered = self.elapsed_excluding_stall(attempt.sent_at.max(last_answer_at));
            let Ok(index) = ratios.binary_search_by_key(&attempt.replica, |entry| entry.replica) else {
                continue;
            };
            if unanswered > self.overdue_after(attempt.class_step) {
                let ratio =
                    unanswered.ratio_to(self.typical_latency(attempt.class_step)).min(MAX_LATENCY_RATIO);
                ratios[index].ratio = ratios[index].ratio.max(ratio);
            }
        }
    }

    /// Sets the load factors of the replicas in service and logs which ones become or are no longer outliers.
    ///
    /// `ratios` holds the ratios of the replicas in service, in ascending order of replica ids.
    fn set_load_factors(&mut self, ratios: &[ReplicaRatio], median: f64) {
        let mut logs = Vec::new();
        let in_service = self.replicas.values_mut().filter(|replica| replica.in_service());
        for (replica, entry) in in_service.zip(ratios) {
            let ratio = entry.ratio / median;
            replica.load_factor = if ratio < SLOW_RATIO { 1.0 } else { ratio };
            // Hysteresis: a ratio that stays near one threshold does not cause repeated log lines.
            let threshold = if replica.is_outlier { SLOW_RATIO } else { OUTLIER_RATIO };
            let outlier = ratio >= threshold;
            if outlier != replica.is_outlier {
                replica.is_outlier = outlier;
                let state = if outlier { "marked as outlier" } else { "no longer an outlier" };
                logs.push(format!("replica {} {state}, latency {ratio:.1} times its peers", entry.replica));
            }
        }
        logs.into_iter().for_each(|text| self.log(text));
    }
}

/// Returns the median of the ratios, or 1 if the median is below that or there are no ratios.
fn median_ratio(ratios: &[ReplicaRatio]) -> f64 {
    let mut sorted: Vec<f64> = ratios.iter().map(|entry| entry.ratio).collect();
    if sorted.is_empty() {
        return 1.0;
    }
    let middle = sorted.len() / 2;
    sorted.select_nth_unstable_by(middle, f64::total_cmp).1.max(1.0)
}
