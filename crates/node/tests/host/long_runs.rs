//! Long simulated runs: the counters stay consistent under random inputs, and the tables do not grow with
//! time.

use crate::common::CLASS_ALL;
use crate::harness::{entry, Harness, MS};
use pinetrestle::interface::Id;
use pinetrestle_node::host::TableSize;
use pinetrestle_protocol::endpoint_list::Status;
use pinetrestle_protocol::frames::PartOutcome;
use std::collections::BTreeMap;

/// A linear congruential generator, which makes the run of each seed reproducible.
struct Random(u64);

impl Random {
    /// Returns a number in `0..limit`.
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// Ends a randomly chosen attempt with a random outcome. Does nothing if no attempt is in flight.
fn end_random_attempt(harness: &mut Harness, random: &mut Random) {
    let attempt_ids = harness.attempt_ids();
    if attempt_ids.is_empty() {
        return;
    }
    let attempt_id = attempt_ids[random.below(attempt_ids.len() as u64) as usize];
    match random.below(8) {
        0 => harness.answer(attempt_id, PartOutcome::Error, 0, ""),
        1 => harness.answer(attempt_id, PartOutcome::Rejected, 0, ""),
        2 => {
            harness.in_flight.remove(&attempt_id);
            let written = random.below(2) == 0;
            harness.host.connection_lost(harness.now(), attempt_id, written);
            harness.run_batches();
        }
        _ => {
            let score = i128::from(random.below(100));
            harness.answer(attempt_id, PartOutcome::Served, score, "v");
        }
    }
}

#[test]
fn a_long_random_run_ends_every_attempt_and_every_query_once() {
    for seed in 0..20_u64 {
        println!("seed {seed}");
        let mut harness = Harness::new();
        let mut random = Random(seed);
        let mut admitted: Vec<Id> = Vec::new();
        let mut disconnected = 0;
        for _ in 0..1500 {
            match random.below(10) {
                0 | 1 => {
                    let first = random.below(6) as u32;
                    let shards: Vec<u32> = (first..first + 1 + random.below(3) as u32).collect();
                    let class = random.below(3) as usize;
                    admitted.extend(harness.submit(class, &shards));
                }
                2 if !admitted.is_empty() => {
                    let id = admitted[random.below(admitted.len() as u64) as usize];
                    let before = harness.host.open_queries();
                    harness.host.client_disconnected(id);
                    harness.run_batches();
                    disconnected += before - harness.host.open_queries();
                }
                3..=7 => end_random_attempt(&mut harness, &mut random),
                _ => harness.advance(random.below(60) as i64 * MS),
            }
            harness.assert_balanced();
        }
        harness.advance(10_000 * MS);
        harness.assert_idle();
        let mut answered_queries: Vec<Id> = harness.replies.iter().map(|reply| reply.query).collect();
        answered_queries.sort_unstable();
        let count = answered_queries.len();
        answered_queries.dedup();
        assert_eq!(answered_queries.len(), count, "seed {seed}: a query was answered twice");
        assert_eq!(
            count + disconnected,
            admitted.len(),
            "seed {seed}: answered and disconnected do not add up to admitted"
        );
        harness.assert_balanced();
    }
}

#[test]
fn tables_stay_bounded_while_servers_and_queries_come_and_go() {
    const ROUNDS: u64 = 5000;
    let mut harness = Harness::new();
    harness.update_endpoints(true, (0..6).map(|number| entry(number, Status::Up)).collect());
    // Maximum size of each table in the first and in the second half of the rounds.
    let mut first_half: BTreeMap<&str, usize> = BTreeMap::new();
    let mut second_half: BTreeMap<&str, usize> = BTreeMap::new();
    for round in 0..ROUNDS {
        // In each round one server is added, one drains and is then removed. In every seventh round the
        // removal is by a complete list without the server.
        let (oldest, newest) = (round, round + 6);
        harness.update_endpoints(false, vec![entry(newest, Status::Up), entry(oldest, Status::Draining)]);
        harness.submit(CLASS_ALL, &[0, 1, 2]).expect("admitted");
        if round % 7 == 0 {
            let listed = (round + 1..round + 7).map(|number| entry(number, Status::Up));
            harness.update_endpoints(true, listed.collect());
        } else {
            harness.update_endpoints(false, vec![entry(oldest, Status::Removed)]);
        }
        for attempt_id in harness.attempt_ids() {
            harness.answer(attempt_id, PartOutcome::Served, 1, "v");
        }
        harness.advance(100 * MS);
        let half = if round < ROUNDS / 2 { &mut first_half } else { &mut second_half };
        for TableSize { table, entries } in harness.host.table_sizes() {
            let max_entries = half.entry(table).or_default();
            *max_entries = entries.max(*max_entries);
        }
    }
    harness.assert_balanced();
    assert!(!first_half.is_empty());
    for (table, first) in first_half {
        let second = second_half[table];
        assert!(
            second <= first.max(40),
            "{table}: at most {first} entries in the first half, {second} in the second"
        );
        assert!(second < 400, "{table}: {second} entries");
    }
}
