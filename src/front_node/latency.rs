//! Latency estimates: typical latencies by class and step, and each replica's ratio to them.

use super::tuning::{
    INITIAL_LATENCY_SHARE, LATENCY_RATIO_HALF_LIFE, MAX_SAMPLES, MIN_SAMPLES, STRAIN_SAMPLES, STRAIN_WINDOW,
};
use super::FrontNode;
use crate::interface::Micros;
use crate::numeric::{decay, quantile, sorted_samples};
use crate::state::{ClassStep, LatencyStats, Replica};

impl FrontNode {
    /// A replica's latency ratio, which decays towards 1 while no answer comes from it.
    pub(super) fn latency_ratio(&self, replica: &Replica) -> f64 {
        if replica.latency_ratio == 1.0 {
            // Nearly all replicas: saves the power.
            return 1.0;
        }
        let half_life = LATENCY_RATIO_HALF_LIFE.max(self.revisit_interval);
        1.0 + (replica.latency_ratio - 1.0) * decay(self.now - replica.latency_ratio_at, half_life)
    }

    /// The median latency of a class and step; of any other one while there are too few samples, and a share
    /// of the class's latency objective while there are none at all.
    pub(super) fn typical_latency(&self, class_step: ClassStep) -> Micros {
        let any_median = || self.latency_stats.iter().find_map(|stats| stats.p50);
        let median = self.stats(class_step).p50.or_else(any_median);
        let objective = self.settings.classes[class_step.class].latency_objective;
        median.unwrap_or(objective.mul_f64(INITIAL_LATENCY_SHARE))
    }

    /// Recomputes the quantiles from the samples.
    pub(super) fn update_latency_stats(&mut self) {
        for stats in &mut self.latency_stats {
            let all = latest_samples(stats, self.now, MAX_SAMPLES);
            let recent = latest_samples(stats, self.now, STRAIN_SAMPLES);
            stats.p25 = quantile(&all, 0.25);
            stats.p50 = quantile(&all, 0.5);
            stats.p95 = quantile(&all, 0.95);
            stats.recent_p80 = quantile(&recent, 0.8);
        }
    }
}

/// The samples of the last [`STRAIN_WINDOW`], or the latest `at_least` of them where those reach further
/// back, in ascending order; empty where they are too few.
fn latest_samples(stats: &LatencyStats, now: Micros, at_least: usize) -> Vec<Micros> {
    let newest_first = stats.samples.iter().rev().enumerate();
    let latest =
        newest_first.take_while(|(place, sample)| *place < at_least || now - sample.at < STRAIN_WINDOW);
    sorted_samples(latest.map(|(_, sample)| sample.latency), MIN_SAMPLES)
}
