//! Latency estimates: the typical latency of each class and step, and the ratio of each replica's latency to
//! it.

use super::tuning::{
    INITIAL_LATENCY_SHARE, LATENCY_RATIO_HALF_LIFE, MAX_SAMPLES, MIN_SAMPLES, MIN_STRAIN_SAMPLES,
    STRAIN_WINDOW,
};
use super::FrontNode;
use crate::interface::Micros;
use crate::numeric::{decay, quantile, sorted_samples};
use crate::state::{ClassStep, LatencyStats, Replica};

impl FrontNode {
    /// Returns the latency ratio of a replica. It decays to 1 while the replica does not answer.
    pub(super) fn latency_ratio(&self, replica: &Replica) -> f64 {
        if replica.latency_ratio == 1.0 {
            // The common case; skips the computation of a power.
            return 1.0;
        }
        let half_life = LATENCY_RATIO_HALF_LIFE.max(self.mean_call_interval);
        1.0 + (replica.latency_ratio - 1.0) * decay(self.now - replica.latency_ratio_at, half_life)
    }

    /// Returns the typical latency of a class and step.
    ///
    /// This is the median of its samples or, if they are too few, the first known median of any other class
    /// and step. If there is none, it is a share of the latency objective of the class.
    pub(super) fn typical_latency(&self, class_step: ClassStep) -> Micros {
        let any_median = || self.latency_stats.iter().find_map(|stats| stats.p50);
        let median = self.stats(class_step).p50.or_else(any_median);
        let objective = self.settings.classes[class_step.class].latency_objective;
        median.unwrap_or(objective.mul_f64(INITIAL_LATENCY_SHARE))
    }

    /// Recomputes all quantiles from the samples.
    pub(super) fn update_latency_stats(&mut self) {
        for stats in &mut self.latency_stats {
            let all = latest_samples(stats, self.now, MAX_SAMPLES);
            let recent = latest_samples(stats, self.now, MIN_STRAIN_SAMPLES);
            stats.p25 = quantile(&all, 0.25);
            stats.p50 = quantile(&all, 0.5);
            stats.p95 = quantile(&all, 0.95);
            stats.recent_p80 = quantile(&recent, 0.8);
        }
    }
}

/// Returns the latencies of the samples of the last [`STRAIN_WINDOW`], in ascending order. If these are fewer
/// than `at_least`, older samples are added up to that number. The result is empty if there are too few
/// samples.
fn latest_samples(stats: &LatencyStats, now: Micros, at_least: usize) -> Vec<Micros> {
    let newest_first = stats.samples.iter().rev().enumerate();
    let latest =
        newest_first.take_while(|(index, sample)| *index < at_least || now - sample.at < STRAIN_WINDOW);
    sorted_samples(latest.map(|(_, sample)| sample.latency), MIN_SAMPLES)
}
