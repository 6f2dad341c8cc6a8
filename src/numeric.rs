//! Decaying counters, sliding windows, quantiles and a seeded random number generator.

use crate::interface::Micros;
use std::collections::VecDeque;

/// One second.
pub(crate) const SECOND: Micros = Micros(1_000_000);

/// An exponentially decaying counter.
///
/// The half-life is passed to each method and has to be the same for all uses of one counter.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingCounter {
    /// Value of the counter at `updated_at`.
    value: f64,
    /// When `value` was last updated.
    updated_at: Micros,
}

impl DecayingCounter {
    /// Returns the value at `now`.
    pub(crate) fn read(&self, now: Micros, half_life: Micros) -> f64 {
        self.value * decay(now - self.updated_at, half_life)
    }

    /// Adds an amount at `now`.
    pub(crate) fn add(&mut self, now: Micros, half_life: Micros, amount: f64) {
        self.value = self.read(now, half_life) + amount;
        self.updated_at = now;
    }

    /// Returns the amount added per second. In a steady state the value of the counter is
    /// `rate * half_life / ln 2`.
    pub(crate) fn per_second(&self, now: Micros, half_life: Micros) -> f64 {
        self.read(now, half_life) * std::f64::consts::LN_2 / half_life.ratio_to(SECOND)
    }
}

/// Returns the share of a value that is left at this age if the value halves with every half-life.
pub(crate) fn decay(age: Micros, half_life: Micros) -> f64 {
    0.5_f64.powf(age.ratio_to(half_life).max(0.0))
}

/// Returns the samples in ascending order, or an empty list if there are fewer than `min_samples`.
pub(crate) fn sorted_samples(samples: impl Iterator<Item = Micros>, min_samples: usize) -> Vec<Micros> {
    let mut samples: Vec<Micros> = samples.collect();
    samples.sort();
    if samples.len() < min_samples {
        samples.clear();
    }
    samples
}

/// Returns a quantile, given from 0 to 1, of samples in ascending order; `None` if there are no samples.
pub(crate) fn quantile(sorted: &[Micros], quantile: f64) -> Option<Micros> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * quantile) as usize).copied()
}

/// Hashes an integer to a number from 0 to 1, with the finalizer of SplitMix64.
pub(crate) fn hash_to_unit(seed: u64) -> f64 {
    let mut z = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// A seeded random number generator (SplitMix64).
#[derive(Default)]
pub(crate) struct SplitMix64 {
    /// State of the generator. Also used as the seed of hashes that break ties between replicas.
    pub(crate) state: u64,
}

impl SplitMix64 {
    /// Creates a generator with the given seed.
    pub(crate) fn new(seed: u64) -> SplitMix64 {
        SplitMix64 { state: seed }
    }

    /// Returns the next random number, from 0 to 1.
    pub(crate) fn next(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        hash_to_unit(self.state)
    }
}

/// An amount added to a [`SlidingWindow`].
struct WindowEntry {
    /// When the amount was added.
    at: Micros,
    amount: f64,
}

/// Amounts added within a recent interval.
#[derive(Default)]
pub(crate) struct SlidingWindow {
    /// The entries, oldest first.
    entries: VecDeque<WindowEntry>,
}

impl SlidingWindow {
    /// Adds an amount at `now` and drops the entries that are older than `oldest`.
    pub(crate) fn add(&mut self, now: Micros, amount: f64, oldest: Micros) {
        self.entries.push_back(WindowEntry { at: now, amount });
        while self.entries.front().is_some_and(|entry| entry.at < oldest) {
            self.entries.pop_front();
        }
    }

    /// Returns the sum of the amounts added at `from` or later.
    pub(crate) fn sum_since(&self, from: Micros) -> f64 {
        let recent = self.entries.iter().rev().take_while(|entry| entry.at >= from);
        recent.map(|entry| entry.amount).sum()
    }

    /// Returns when the latest amount was added.
    pub(crate) fn last_added_at(&self) -> Option<Micros> {
        self.entries.back().map(|entry| entry.at)
    }
}

/// Appends an entry to a queue and drops the oldest entry if the queue is then longer than `capacity`.
pub(crate) fn push_bounded<T>(queue: &mut VecDeque<T>, entry: T, capacity: usize) {
    queue.push_back(entry);
    if queue.len() > capacity {
        queue.pop_front();
    }
}
