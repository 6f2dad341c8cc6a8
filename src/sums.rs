//! Arithmetic that decides nothing: fading counts, quantiles, evenly scattered numbers.

use crate::interface::Micros;

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
