//! Timers under the load of a front node, where nine of ten timers are cancelled before they fire.
//!
//! `cargo bench -p pinetrestle-wheel` compares the timing wheel with a sorted map and with a binary heap that
//! keeps cancelled timers until their deadline, and prints the memory that each occupies.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use pinetrestle_wheel::{TimerKey, TimingWheel};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::hint::black_box;

/// The maximum time from insertion to deadline, in microseconds (half a second).
const MAX_DELAY_US: u64 = 500_000;

/// A data structure that manages timers.
trait Timers {
    type Key: Copy;
    fn insert(&mut self, deadline: u64, value: u64) -> Self::Key;
    fn cancel(&mut self, key: Self::Key);
    fn pop(&mut self, now: u64) -> Option<u64>;
    fn memory_bytes(&self) -> usize;
}

impl Timers for TimingWheel<u64> {
    type Key = TimerKey;

    fn insert(&mut self, deadline: u64, value: u64) -> TimerKey {
        TimingWheel::insert(self, deadline, value)
    }

    fn cancel(&mut self, key: TimerKey) {
        TimingWheel::cancel(self, key);
    }

    fn pop(&mut self, now: u64) -> Option<u64> {
        TimingWheel::pop(self, now).map(|(_, value)| value)
    }

    fn memory_bytes(&self) -> usize {
        TimingWheel::memory_bytes(self)
    }
}

/// A binary heap in which cancelled timers stay until their deadline.
#[derive(Default)]
struct Heap {
    timers: BinaryHeap<Reverse<(u64, u64)>>,
    /// The timers that are not cancelled.
    active: HashSet<u64>,
}

impl Timers for Heap {
    type Key = u64;

    fn insert(&mut self, deadline: u64, value: u64) -> u64 {
        self.timers.push(Reverse((deadline, value)));
        self.active.insert(value);
        value
    }

    fn cancel(&mut self, key: u64) {
        self.active.remove(&key);
    }

    fn pop(&mut self, now: u64) -> Option<u64> {
        while let Some(Reverse((deadline, value))) = self.timers.peek().copied() {
            if deadline > now {
                return None;
            }
            self.timers.pop();
            if self.active.remove(&value) {
                return Some(value);
            }
        }
        None
    }

    fn memory_bytes(&self) -> usize {
        // In the standard library's hash table, an entry takes its size plus one control byte, and at most
        // 7/8 of the entries are used.
        self.timers.capacity() * 16 + self.active.capacity() * 9 * 8 / 7
    }
}

/// A sorted map.
#[derive(Default)]
struct Map(BTreeMap<(u64, u64), u64>);

impl Timers for Map {
    type Key = (u64, u64);

    fn insert(&mut self, deadline: u64, value: u64) -> (u64, u64) {
        self.0.insert((deadline, value), value);
        (deadline, value)
    }

    fn cancel(&mut self, key: (u64, u64)) {
        self.0.remove(&key);
    }

    fn pop(&mut self, now: u64) -> Option<u64> {
        let first = self.0.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    fn memory_bytes(&self) -> usize {
        // An estimate: nodes have eleven entries and are about two thirds full after random insertions and
        // removals.
        self.0.len() * 24 * 3 / 2
    }
}

/// A load with a roughly constant number of timers. Each step inserts a timer, cancels a random timer with
/// probability 9/10, and advances the time.
struct Load<T: Timers> {
    timers: T,
    keys: Vec<T::Key>,
    random: StdRng,
    now: u64,
    inserted: u64,
    /// Time per step, in 1/1024 of a microsecond.
    step_time: u64,
}

impl<T: Timers> Load<T> {
    fn new(timers: T, timer_count: usize) -> Load<T> {
        let random = StdRng::seed_from_u64(7);
        // The average time to a deadline is half of `MAX_DELAY_US`. The time per step is chosen such that
        // `timer_count` timers are inserted during that average.
        let step_time = (MAX_DELAY_US / 2 * 1024 / timer_count as u64).max(1);
        let mut load = Load { timers, keys: Vec::new(), random, now: 0, inserted: 0, step_time };
        for _ in 0..timer_count {
            load.insert();
        }
        for _ in 0..4 * timer_count {
            load.step();
        }
        load
    }

    fn insert(&mut self) {
        self.inserted += 1;
        let deadline = self.now + self.random.random_range(1..MAX_DELAY_US);
        let key = self.timers.insert(deadline, self.inserted);
        self.keys.push(key);
    }

    fn step(&mut self) {
        self.insert();
        if self.random.random_ratio(9, 10) {
            let pick = self.random.next_u64() as usize % self.keys.len();
            let key = self.keys.swap_remove(pick);
            self.timers.cancel(key);
        } else {
            // The key is dropped without cancelling its timer, like the key of a timer that has fired.
            let pick = self.random.next_u64() as usize % self.keys.len();
            self.keys.swap_remove(pick);
        }
        self.now = self.inserted * self.step_time / 1024;
        while let Some(value) = self.timers.pop(self.now) {
            black_box(value);
        }
    }
}

fn timers(criterion: &mut Criterion) {
    for timer_count in [1_000, 10_000, 100_000, 1_000_000] {
        let mut group = criterion.benchmark_group(format!("{timer_count} timers"));
        group.throughput(Throughput::Elements(1)).sample_size(20);
        let mut wheel = Load::new(TimingWheel::new(0), timer_count);
        let mut heap = Load::new(Heap::default(), timer_count);
        let mut map = Load::new(Map::default(), timer_count);
        println!(
            "{timer_count} timers: KiB of memory: wheel {}, heap {}, map about {}",
            wheel.timers.memory_bytes() >> 10,
            heap.timers.memory_bytes() >> 10,
            map.timers.memory_bytes() >> 10,
        );
        group.bench_function(BenchmarkId::from_parameter("wheel"), |bencher| bencher.iter(|| wheel.step()));
        group.bench_function(BenchmarkId::from_parameter("heap"), |bencher| bencher.iter(|| heap.step()));
        group.bench_function(BenchmarkId::from_parameter("map"), |bencher| bencher.iter(|| map.step()));
        group.finish();
    }
}

criterion_group!(benches, timers);
criterion_main!(benches);
