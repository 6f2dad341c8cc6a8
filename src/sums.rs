//! Arithmetic that decides nothing: fading counts, quantiles, evenly scattered numbers.

use crate::interface::Micros;
use std::collections::VecDeque;

/// A count in which the past fades.
#[derive(Clone, Copy, Default)]
pub(crate) struct Fading(f64, Micros);

impl Fading {
    pub(crate) fn read(&self, now: Micros, half: Micros) -> f64 {
        self.0 * fade(now - self.1, half)
    }

    pub(crate) fn add(&mut self, now: Micros, half: Micros, amount: f64) {
        *self = Fading(self.read(now, half) + amount, now);
    }

    pub(crate) fn per_second(&self, now: Micros, half: Micros) -> f64 {
        self.read(now, half) * std::f64::consts::LN_2 / half.over(Micros(1_000_000))
    }
}

/// What is left after an age of something that halves in every `half`.
pub(crate) fn fade(age: Micros, half: Micros) -> f64 {
    0.5_f64.powf(age.over(half).max(0.0))
}

/// The values in order; none where there are fewer than the least number.
pub(crate) fn sorted(values: impl Iterator<Item = Micros>, least: usize) -> Vec<Micros> {
    let mut values: Vec<Micros> = values.collect();
    values.sort();
    if values.len() < least {
        values.clear();
    }
    values
}

/// The value below which a share of the sorted values lies.
pub(crate) fn quantile(sorted: &[Micros], share: f64) -> Option<Micros> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((last as f64 * share) as usize).copied()
}

/// Scatters a number evenly over 0 to 1.
pub(crate) fn mix(seed: u64) -> f64 {
    let mut z = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// A seeded generator of numbers from 0 to 1 (SplitMix64).
#[derive(Default)]
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }
}

/// What happened in a span just past: moments, each with an amount.
#[derive(Default)]
pub(crate) struct Window(VecDeque<(Micros, f64)>);

impl Window {
    /// Adds an amount and forgets what is older than the given moment.
    pub(crate) fn add(&mut self, now: Micros, amount: f64, oldest: Micros) {
        self.0.push_back((now, amount));
        while self.0.front().is_some_and(|(at, _)| *at < oldest) {
            self.0.pop_front();
        }
    }

    /// The sum of the amounts from a moment on.
    pub(crate) fn since(&self, from: Micros) -> f64 {
        self.0.iter().rev().take_while(|(at, _)| *at >= from).map(|(_, amount)| amount).sum()
    }

    /// When the latest amount was added.
    pub(crate) fn last(&self) -> Option<Micros> {
        self.0.back().map(|(at, _)| *at)
    }
}

/// Appends to a queue and drops its oldest entry beyond a length.
pub(crate) fn append<T>(queue: &mut VecDeque<T>, entry: T, most: usize) {
    queue.push_back(entry);
    if queue.len() > most {
        queue.pop_front();
    }
}
