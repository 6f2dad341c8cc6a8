//! The wheel beside a plain sorted map, over millions of operations.

use pinetrestle_wheel::{Key, Wheel};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Timers as one would keep them plainly: by moment, then by the order in which they came.
#[derive(Default)]
struct Plain {
    timers: BTreeMap<(u64, u64), u64>,
    places: BTreeMap<u64, (u64, u64)>,
    present: u64,
    came: u64,
}

impl Plain {
    fn insert(&mut self, at: u64, value: u64) {
        let place = (at.max(self.present), self.came);
        self.came += 1;
        self.timers.insert(place, value);
        self.places.insert(value, place);
    }

    fn cancel(&mut self, value: u64) -> Option<u64> {
        self.timers.remove(&self.places.remove(&value)?)
    }

    fn pop(&mut self, now: u64) -> Option<(u64, u64)> {
        match self.timers.first_key_value() {
            Some((&place, &value)) if place.0 <= now => {
                self.timers.remove(&place);
                self.places.remove(&value);
                self.present = self.present.max(place.0);
                Some((place.0, value))
            }
            _ => {
                self.present = self.present.max(now);
                None
            }
        }
    }
}

/// Both, told the same.
struct Both {
    wheel: Wheel<u64>,
    plain: Plain,
    keys: Vec<(Key, u64)>,
    values: u64,
}

impl Both {
    fn new(now: u64) -> Both {
        let plain = Plain { present: now, ..Plain::default() };
        Both { wheel: Wheel::new(now), plain, keys: Vec::new(), values: 0 }
    }

    fn insert(&mut self, at: u64) {
        self.values += 1;
        let key = self.wheel.insert(at, self.values);
        assert_eq!(self.wheel.due(key), Some(at.max(self.plain.present)));
        self.plain.insert(at, self.values);
        self.keys.push((key, self.values));
    }

    /// Also of timers that have fired, and twice.
    fn cancel(&mut self, pick: usize) {
        if self.keys.is_empty() {
            return;
        }
        let pick = pick % self.keys.len();
        let (key, value) = self.keys[pick];
        assert_eq!(self.wheel.cancel(key), self.plain.cancel(value));
        assert_eq!(self.wheel.due(key), None);
        if value % 4 != 0 {
            self.keys.swap_remove(pick);
        }
    }

    fn advance(&mut self, now: u64, most: usize) {
        let look = self.wheel.next_look();
        let earliest = self.plain.timers.first_key_value().map(|((at, _), _)| *at);
        assert_eq!(look.is_some(), earliest.is_some());
        assert!(look <= earliest, "{look:?} is too late for {earliest:?}");
        for _ in 0..most {
            let fired = self.plain.pop(now);
            assert_eq!(self.wheel.pop(now), fired);
            assert_eq!(self.wheel.present(), self.plain.present);
            if fired.is_none() {
                break;
            }
        }
        assert_eq!(self.wheel.len(), self.plain.timers.len());
    }
}

/// A distance of any magnitude up to so many bits.
fn distance(random: &mut StdRng, bits: u32) -> u64 {
    let bits = random.random_range(0..=bits);
    random.next_u64().checked_shr(64 - bits).unwrap_or(0)
}

#[test]
fn millions_of_operations_agree_with_a_sorted_map() {
    for (seed, bits) in
        [(1, 3), (2, 7), (3, 13), (4, 20), (5, 26), (6, 40), (7, 64), (8, 20), (9, 26), (10, 64)]
    {
        let mut random = StdRng::seed_from_u64(seed);
        // Some begin shortly before the digits of several levels come round at once.
        let start = if seed % 2 == 0 { (1 << 36) - 1_000 } else { 0 };
        let mut both = Both::new(start);
        let mut now = start;
        for _ in 0..250_000 {
            match random.random_range(0..20) {
                0..9 => both.insert(now.saturating_add(distance(&mut random, bits))),
                9 => both.insert(now.saturating_sub(distance(&mut random, bits))),
                10..18 => both.cancel(random.next_u64() as usize),
                18 => both.advance(now, 3),
                _ => {
                    now = now.saturating_add(distance(&mut random, bits.min(58)));
                    // Now and then as a clock read before another one: it must not run back.
                    both.advance(now.saturating_sub(u64::from(random.random_ratio(1, 8))), usize::MAX);
                }
            }
            if both.keys.len() > 4_000 {
                both.keys.drain(..2_000);
            }
        }
        both.advance(u64::MAX, usize::MAX);
        assert!(both.wheel.is_empty());
    }
}

proptest! {
    #[test]
    fn any_short_run_agrees_with_a_sorted_map(
        start in prop_oneof![Just(0), any::<u64>(), (0_u32..64).prop_map(|bit| (1_u64 << bit) - 1)],
        steps in prop::collection::vec((0_u8..4, 0_u32..=64, any::<u64>()), 1..60),
    ) {
        let mut both = Both::new(start);
        let mut now = start;
        for (kind, bits, number) in steps {
            let distance = number.checked_shr(64 - bits).unwrap_or(0);
            match kind {
                0 => both.insert(now.saturating_add(distance)),
                1 => both.insert(now.saturating_sub(distance)),
                2 => both.cancel(number as usize),
                _ => {
                    now = now.saturating_add(distance);
                    both.advance(now, usize::MAX);
                }
            }
        }
        both.advance(u64::MAX, usize::MAX);
        prop_assert!(both.wheel.is_empty());
    }
}

#[test]
fn a_timer_of_the_last_moment_fires() {
    let mut wheel = Wheel::new(u64::MAX - 1);
    wheel.insert(u64::MAX, 'b');
    wheel.insert(0, 'a');
    assert_eq!(wheel.pop(u64::MAX), Some((u64::MAX - 1, 'a')));
    assert_eq!(wheel.pop(u64::MAX), Some((u64::MAX, 'b')));
    assert_eq!(wheel.pop(u64::MAX), None);
    wheel.insert(u64::MAX, 'c');
    assert_eq!(wheel.pop(u64::MAX), Some((u64::MAX, 'c')));
}

#[test]
fn places_are_used_again_and_given_back() {
    let mut wheel = Wheel::new(0);
    let mut old = Vec::new();
    for round in 0..10_u64 {
        let keys: Vec<Key> = (0..5_000).map(|number| wheel.insert(round * 10 + 5, number)).collect();
        let most = wheel.bytes();
        assert!(keys.iter().zip(0..).all(|(key, number)| wheel.cancel(*key) == Some(number)));
        assert!(wheel.bytes() < most / 8, "an empty wheel holds {} bytes", wheel.bytes());
        old.extend(keys);
        assert!(old.iter().all(|key| wheel.cancel(*key).is_none()), "round {round}");
    }
    // And with one timer that stays, nothing grows.
    wheel.insert(1 << 40, 0);
    let mut most = 0;
    for number in 0..100_000_u64 {
        let key = wheel.insert(number, number);
        wheel.cancel(key);
        most = most.max(wheel.bytes());
    }
    assert!(most < 16 * 1024, "{most}");
}
