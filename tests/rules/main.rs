//! The six rules as invariants over long runs of random events.
//!
//! No servers are simulated: attempts end, the endpoint list changes and clients disconnect at random
//! ([`events`]), and each action is checked against the test's own records ([`records`]). Seeds are fixed.

#[path = "../common/mod.rs"]
mod common;
mod events;
mod records;

use common::*;
use events::EventSource;
use pinetrestle::interface::*;
use pinetrestle::FrontNode;
use records::Records;

/// Time between two batches.
const BATCH_INTERVAL: Micros = Micros(5_000);
/// Batches between two sweeps of old records.
const SWEEP_INTERVAL: u32 = 50;

/// The size of a run.
#[derive(Clone, Copy)]
struct Scale {
    batches: u32,
    replicas: u32,
    front_nodes: u32,
}

/// What a run amounts to.
struct RunResult {
    attempts: u64,
    answers: u64,
    actions: Vec<Action>,
}

/// One long run, every action of it checked.
fn run(seed: u64, scale: Scale) -> RunResult {
    let mut set = varied_settings();
    set.fleet_size = scale.front_nodes;
    set.clients_mark_retries = seed % 2 == 1;
    let now = ms(100_000);
    let mut node = FrontNode::new(set.clone(), seed, now);
    let mut source = EventSource::new(seed, scale.replicas);
    let mut records = Records::new(set, now);
    let mut all = Vec::new();
    for batch in 0..scale.batches {
        records.now = records.now + BATCH_INTERVAL;
        let events = source.batch(batch, &mut records);
        let mut actions = Vec::new();
        node.handle(records.now, &events, &mut actions);
        for action in &actions {
            records.check(action);
        }
        if batch % (scale.replicas / 8) == 0 {
            records.check_slow_start();
        }
        if batch % SWEEP_INTERVAL == 0 {
            records.forget_old();
        }
        all.extend(actions);
    }
    RunResult { attempts: records.attempts_sent, answers: records.answers, actions: all }
}

/// The attempts and answers of runs with these seeds.
fn total(seeds: impl Iterator<Item = u64>, scale: Scale) -> (u64, u64) {
    let runs = seeds.map(|seed| run(seed, scale));
    runs.fold((0, 0), |(attempts, answers), run| (attempts + run.attempts, answers + run.answers))
}

#[test]
fn the_six_rules_hold_over_long_runs_of_random_events() {
    let (attempts, answers) = total(1..=12, Scale { batches: 2400, replicas: 8, front_nodes: 2 });
    // Or the invariants would hold for want of anything to break them.
    assert!(attempts > 6000 && answers > 1000, "{attempts} attempts, {answers} answers");
}

#[test]
fn the_same_events_bring_the_same_actions() {
    let scale = Scale { batches: 1200, replicas: 8, front_nodes: 2 };
    assert_eq!(run(5, scale).actions, run(5, scale).actions);
}

#[test]
fn the_rules_hold_with_over_a_hundred_replicas_and_many_front_nodes() {
    let (attempts, answers) = total(21..=23, Scale { batches: 1000, replicas: 130, front_nodes: 60 });
    assert!(attempts > 1500 && answers > 200, "{attempts} attempts, {answers} answers");
}
