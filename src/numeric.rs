//! Arithmetic that makes no decision: decaying counters, sliding windows, quantiles, a seeded generator.

use crate::interface::Micros;
use std::collections::VecDeque;

/// One second.
pub(crate) const SECOND: Micros = Micros(1_000_000);

/// An exponentially decaying counter. Every reader and writer of one counter passes the same half-life.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingCounter {
    /// The value at `updated_at`.
    value: f64,
    /// When `value` was last brought up to date.
    updated_at: Micros,
}

impl DecayingCounter {
    /// The value now.
    pub(crate) fn read(&self, now: Micros, half_life: Micros) -> f64 {
        self.value * decay(now - self.updated_at, half_life)
    }

    /// Adds an amount now.
    pub(crate) fn add(&mut self, now: Micros, half_life: Micros, amount: f64) {
        self.value = self.read(now, half_life) + amount;
        self.updated_at = now;
    }

    /// The rate of what was added, a second: in a steady state the counter holds `rate * half_life / ln 2`.
    pub(crate) fn per_second(&self, now: Micros, half_life: Micros) -> f64 {
        self.read(now, half_life) * std::f64::consts::LN_2 / half_life.ratio_to(SECOND)
    }
}

/// The share that is left after an age of a value that halves in every half-life.
pub(crate) fn decay(age: Micros, half_life: Micros) -> f64 {
    0.5_f64.powf(age.ratio_to(half_life).max(0.0))
}

/// The samples in ascending order; empty where there are fewer than `min_samples`.
pub(crate) fn sorted_samples(samples: impl Iterator<Item = Micros>, min_samples: usize) -> Vec<Micros> {
    let mut samples: Vec<Micros> = samples.collect();
    samples.sort();
    if samples.len() < min_samples {
        samples.clear();
    }
    samples
}

/// The quantile (0 to 1) of ascending samples; `None` where there are none.
pub(crate) fn quantile(sorted: &[Micros], quantile: f64) -> Option<Micros> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * quantile) as usize).copied()
}

/// Hashes a number to one from 0 to 1 (the finalizer of SplitMix64).
pub(crate) fn hash_to_unit(seed: u64) -> f64 {
    let mut z = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// A seeded generator of numbers from 0 to 1 (SplitMix64).
#[derive(Default)]
pub(crate) struct SplitMix64 {
    /// The generator's state; also the seed of the hashes that break ties.
    pub(crate) state: u64,
}

impl SplitMix64 {
    /// A generator that starts from this seed.
    pub(crate) fn new(seed: u64) -> SplitMix64 {
        SplitMix64 { state: seed }
    }

    /// The next number.
    pub(crate) fn next(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        hash_to_unit(self.state)
    }
}

/// An amount added to a [`SlidingWindow`].
struct WindowEntry {
    /// When it was added.
    at: Micros,
    /// How much was added.
    amount: f64,
}

/// Amounts added within a recent time span, oldest first.
#[derive(Default)]
pub(crate) struct SlidingWindow {
    entries: VecDeque<WindowEntry>,
}

impl SlidingWindow {
    /// Adds an amount now and drops the entries from before `oldest`.
    pub(crate) fn add(&mut self, now: Micros, amount: f64, oldest: Micros) {
        self.entries.push_back(WindowEntry { at: now, amount });
        while self.entries.front().is_some_and(|entry| entry.at < oldest) {
            self.entries.pop_front();
        }
    }

    /// The sum of the amounts added at `from` or later.
    pub(crate) fn sum_since(&self, from: Micros) -> f64 {
        let recent = self.entries.iter().rev().take_while(|entry| entry.at >= from);
        recent.map(|entry| entry.amount).sum()
    }

    /// When the latest amount was added.
    pub(crate) fn last_added_at(&self) -> Option<Micros> {
        self.entries.back().map(|entry| entry.at)
    }
}

/// Appends to a queue and drops its oldest entry once it is longer than `capacity`.
pub(crate) fn push_bounded<T>(queue: &mut VecDeque<T>, entry: T, capacity: usize) {
    queue.push_back(entry);
    if queue.len() > capacity {
        queue.pop_front();
    }
}
