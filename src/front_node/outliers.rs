//! Outlier detection: replicas far slower than their peers count as more loaded than they are.

use super::tuning::{COUNTER_HALF_LIFE, EPSILON, LATENCY_RATIO_CAP, OUTLIER_RATIO, SLOW_RATIO};
use super::FrontNode;
use crate::interface::{Lifecycle, ReplicaId};
use crate::numeric::SECOND;

/// The latency ratio of a replica in service.
struct ReplicaRatio {
    replica: ReplicaId,
    ratio: f64,
}

impl FrontNode {
    /// Sets each replica's load factor: its latency ratio over the median of all. This guards against
    /// replicas that are slow, hang, stall or fall silent: the longer the oldest attempt waits while the
    /// replica answers nothing, the more it counts for. Everything slow at once moves the median and makes
    /// no outlier.
    ///
    /// Once a batch, after all its events.
    pub(super) fn judge_replicas(&mut self) {
        self.update_latency_stats();
        self.update_mean_work_rate();
        let mut ratios = self.in_service_ratios();
        self.forget_gone_replicas();
        self.update_revisit_interval(ratios.len());
        self.raise_ratios_of_silent_replicas(&mut ratios);
        let median = median_from_one_up(&ratios);
        self.set_load_factors(&ratios, median);
    }

    fn update_mean_work_rate(&mut self) {
        let in_service = self.replicas.values().filter(|replica| replica.in_service());
        let size: f64 = in_service.map(|replica| replica.relative_capacity).sum();
        self.mean_work_rate = self.answered_work.per_second(self.now, COUNTER_HALF_LIFE) / size.max(EPSILON);
    }

    /// The ratios of the replicas in service, in the order of their ids.
    fn in_service_ratios(&self) -> Vec<ReplicaRatio> {
        let in_service = self.replicas.iter().filter(|(_, replica)| replica.in_service());
        in_service
            .map(|(id, replica)| ReplicaRatio { replica: *id, ratio: self.latency_ratio(replica) })
            .collect()
    }

    /// Drops expired failures, and replicas that left once nothing of them counts: no attempt in flight, no
    /// failure, no warming up.
    fn forget_gone_replicas(&mut self) {
        let now = self.now;
        let warm_up_time = self.settings.rules.warm_up_time;
        self.replicas.retain(|_, replica| {
            replica.failure_holds.retain(|until| *until > now);
            let warming_up = replica.started_at.is_some_and(|started| now - started < warm_up_time);
            replica.lifecycle != Lifecycle::Removed
                || replica.in_flight > 0
                || warming_up
                || !replica.failure_holds.is_empty()
        });
    }

    fn update_revisit_interval(&mut self, in_service: usize) {
        let calls_per_second = self.calls.per_second(self.now, COUNTER_HALF_LIFE).max(EPSILON);
        self.revisit_interval = SECOND.mul_f64(in_service as f64 / calls_per_second).min(COUNTER_HALF_LIFE);
    }

    /// A replica that has answered nothing for longer than an attempt takes until it is overdue gets the
    /// ratio of that silence.
    fn raise_ratios_of_silent_replicas(&self, ratios: &mut [ReplicaRatio]) {
        for attempt in self.in_flight.values().filter(|attempt| !attempt.cancelled) {
            let last_answer_at = self.replicas[&attempt.replica].last_answer_at;
            let silence = self.elapsed_without_silence(attempt.sent_at.max(last_answer_at));
            let Ok(place) = ratios.binary_search_by_key(&attempt.replica, |entry| entry.replica) else {
                continue;
            };
            if silence > self.overdue_after(attempt.class_step) {
                let ratio = silence.ratio_to(self.typical_latency(attempt.class_step)).min(LATENCY_RATIO_CAP);
                ratios[place].ratio = ratios[place].ratio.max(ratio);
            }
        }
    }

    /// `ratios` are those of the replicas in service, in the order of their ids.
    fn set_load_factors(&mut self, ratios: &[ReplicaRatio], median: f64) {
        let mut logs = Vec::new();
        let in_service = self.replicas.values_mut().filter(|replica| replica.in_service());
        for (replica, entry) in in_service.zip(ratios) {
            let ratio = entry.ratio / median;
            replica.load_factor = if ratio < SLOW_RATIO { 1.0 } else { ratio };
            // Two thresholds, so that a ratio near one of them doesn't log over and over.
            let threshold = if replica.outlier { SLOW_RATIO } else { OUTLIER_RATIO };
            let outlier = ratio >= threshold;
            if outlier != replica.outlier {
                replica.outlier = outlier;
                let state = if outlier { "marked as outlier" } else { "no longer an outlier" };
                logs.push(format!("replica {} {state}, latency {ratio:.1} times its peers", entry.replica));
            }
        }
        logs.into_iter().for_each(|text| self.log(text));
    }
}

/// The median ratio, but no less than 1, which it also is without any replica.
fn median_from_one_up(ratios: &[ReplicaRatio]) -> f64 {
    let mut sorted: Vec<f64> = ratios.iter().map(|entry| entry.ratio).collect();
    if sorted.is_empty() {
        return 1.0;
    }
    let middle = sorted.len() / 2;
    sorted.select_nth_unstable_by(middle, f64::total_cmp).1.max(1.0)
}
