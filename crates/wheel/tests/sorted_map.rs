//! The timing wheel compared with a sorted map, over millions of random operations.

use pinetrestle_wheel::{TimerKey, TimingWheel};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use std::collections::BTreeMap;

/// The reference implementation: timers ordered by deadline and then by order of insertion.
#[derive(Default)]
struct SortedTimers {
    /// Values by deadline and insertion number.
    timers: BTreeMap<(u64, u64), u64>,
    /// The deadline and insertion number of each value.
    positions: BTreeMap<u64, (u64, u64)>,
    now: u64,
    inserted: u64,
}

impl SortedTimers {
    fn insert(&mut self, at: u64, value: u64) {
        let position = (at.max(self.now), self.inserted);
        self.inserted += 1;
        self.timers.insert(position, value);
        self.positions.insert(value, position);
    }

    fn cancel(&mut self, value: u64) -> Option<u64> {
        self.timers.remove(&self.positions.remove(&value)?)
    }

    fn pop(&mut self, now: u64) -> Option<(u64, u64)> {
        match self.timers.first_key_value() {
            Some((&position, &value)) if position.0 <= now => {
                self.timers.remove(&position);
                self.positions.remove(&value);
                self.now = self.now.max(position.0);
                Some((position.0, value))
            }
            _ => {
                self.now = self.now.max(now);
                None
            }
        }
    }
}

/// The wheel and the reference implementation. Both run the same operations, and the results are compared.
struct Compared {
    wheel: TimingWheel<u64>,
    reference: SortedTimers,
    keys: Vec<(TimerKey, u64)>,
    /// The value of the timer inserted last; values count up from 1.
    last_value: u64,
}

impl Compared {
    fn new(now: u64) -> Compared {
        let reference = SortedTimers { now, ..SortedTimers::default() };
        Compared { wheel: TimingWheel::new(now), reference, keys: Vec::new(), last_value: 0 }
    }

    fn insert(&mut self, at: u64) {
        self.last_value += 1;
        let key = self.wheel.insert(at, self.last_value);
        assert_eq!(self.wheel.deadline(key), Some(at.max(self.reference.now)));
        self.reference.insert(at, self.last_value);
        self.keys.push((key, self.last_value));
    }

    /// Cancels the timer of the key that `pick` selects, which may have fired already. Some keys are kept and
    /// may be cancelled again.
    fn cancel(&mut self, pick: usize) {
        if self.keys.is_empty() {
            return;
        }
        let pick = pick % self.keys.len();
        let (key, value) = self.keys[pick];
        assert_eq!(self.wheel.cancel(key), self.reference.cancel(value));
        assert_eq!(self.wheel.deadline(key), None);
        if value % 4 != 0 {
            self.keys.swap_remove(pick);
        }
    }

    /// Pops up to `max_timers` timers that are due at `now`.
    fn advance(&mut self, now: u64, max_timers: usize) {
        let wakeup = self.wheel.next_wakeup();
        let earliest = self.reference.timers.first_key_value().map(|((at, _), _)| *at);
        assert_eq!(wakeup.is_some(), earliest.is_some());
        assert!(wakeup <= earliest, "wakeup at {wakeup:?} is too late for the deadline {earliest:?}");
        for _ in 0..max_timers {
            let fired = self.reference.pop(now);
            assert_eq!(self.wheel.pop(now), fired);
            assert_eq!(self.wheel.now(), self.reference.now);
            if fired.is_none() {
                break;
            }
        }
        assert_eq!(self.wheel.len(), self.reference.timers.len());
    }
}

/// Returns a random distance with a random number of bits, at most `bits`.
fn distance(random: &mut StdRng, bits: u32) -> u64 {
    let bits = random.random_range(0..=bits);
    random.next_u64().checked_shr(64 - bits).unwrap_or(0)
}

#[test]
fn millions_of_operations_match_a_sorted_map() {
    for (seed, bits) in
        [(1, 3), (2, 7), (3, 13), (4, 20), (5, 26), (6, 40), (7, 64), (8, 20), (9, 26), (10, 64)]
    {
        let mut random = StdRng::seed_from_u64(seed);
        // Half of the runs start shortly before a time at which the digits of several levels wrap at once.
        let start = if seed % 2 == 0 { (1 << 36) - 1_000 } else { 0 };
        let mut compared = Compared::new(start);
        let mut now = start;
        for _ in 0..250_000 {
            match random.random_range(0..20) {
                0..9 => compared.insert(now.saturating_add(distance(&mut random, bits))),
                9 => compared.insert(now.saturating_sub(distance(&mut random, bits))),
                10..18 => compared.cancel(random.next_u64() as usize),
                18 => compared.advance(now, 3),
                _ => {
                    now = now.saturating_add(distance(&mut random, bits.min(58)));
                    // One time in eight, `now` is one less: the wheel's current time must not decrease even
                    // if the clock does.
                    compared.advance(now.saturating_sub(u64::from(random.random_ratio(1, 8))), usize::MAX);
                }
            }
            if compared.keys.len() > 4_000 {
                compared.keys.drain(..2_000);
            }
        }
        compared.advance(u64::MAX, usize::MAX);
        assert!(compared.wheel.is_empty());
    }
}

proptest! {
    #[test]
    fn short_random_runs_match_a_sorted_map(
        start in prop_oneof![Just(0), any::<u64>(), (0_u32..64).prop_map(|bit| (1_u64 << bit) - 1)],
        steps in prop::collection::vec((0_u8..4, 0_u32..=64, any::<u64>()), 1..60),
    ) {
        let mut compared = Compared::new(start);
        let mut now = start;
        for (kind, bits, number) in steps {
            let distance = number.checked_shr(64 - bits).unwrap_or(0);
            match kind {
                0 => compared.insert(now.saturating_add(distance)),
                1 => compared.insert(now.saturating_sub(distance)),
                2 => compared.cancel(number as usize),
                _ => {
                    now = now.saturating_add(distance);
                    compared.advance(now, usize::MAX);
                }
            }
        }
        compared.advance(u64::MAX, usize::MAX);
        prop_assert!(compared.wheel.is_empty());
    }
}

#[test]
fn a_timer_at_the_maximum_time_fires() {
    let mut wheel = TimingWheel::new(u64::MAX - 1);
    wheel.insert(u64::MAX, 'b');
    wheel.insert(0, 'a');
    assert_eq!(wheel.pop(u64::MAX), Some((u64::MAX - 1, 'a')));
    assert_eq!(wheel.pop(u64::MAX), Some((u64::MAX, 'b')));
    assert_eq!(wheel.pop(u64::MAX), None);
    wheel.insert(u64::MAX, 'c');
    assert_eq!(wheel.pop(u64::MAX), Some((u64::MAX, 'c')));
}

#[test]
fn entries_are_reused_and_released() {
    let mut wheel = TimingWheel::new(0);
    let mut cancelled = Vec::new();
    for round in 0..10_u64 {
        let keys: Vec<TimerKey> = (0..5_000).map(|number| wheel.insert(round * 10 + 5, number)).collect();
        let full_bytes = wheel.memory_bytes();
        assert!(keys.iter().zip(0..).all(|(key, number)| wheel.cancel(*key) == Some(number)));
        assert!(
            wheel.memory_bytes() < full_bytes / 8,
            "an empty wheel occupies {} bytes",
            wheel.memory_bytes()
        );
        cancelled.extend(keys);
        assert!(cancelled.iter().all(|key| wheel.cancel(*key).is_none()), "round {round}");
    }
    // While one timer stays, entries are reused and the memory does not grow.
    wheel.insert(1 << 40, 0);
    let mut max_bytes = 0;
    for number in 0..100_000_u64 {
        let key = wheel.insert(number, number);
        wheel.cancel(key);
        max_bytes = max_bytes.max(wheel.memory_bytes());
    }
    assert!(max_bytes < 16 * 1024, "{max_bytes} bytes");
}
