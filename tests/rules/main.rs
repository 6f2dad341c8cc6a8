//! Checks the rules that every front node has to keep as invariants over long runs of random events.
//!
//! No replicas are simulated. Attempts end, the endpoint list changes and clients disconnect at random
//! ([`events`]), and each action is checked against records that the test keeps itself ([`records`]). The
//! seeds are fixed. The rules are:
//!
//! - each query gets one final answer, before its deadline, and nothing is sent after it;
//! - an answer has the weight that its class requires, and a rejected query can safely be retried;
//! - attempts go only to replicas that are in service and hold the shard;
//! - the number of attempts, hedged requests and the retry budget stay within the limits;
//! - retries respect the idempotency of their class;
//! - the work sent to a warming-up replica stays within its slow start.

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
/// Number of batches after which old records are dropped.
const CLEANUP_INTERVAL: u32 = 50;

/// The size of a run.
#[derive(Clone, Copy)]
struct Scale {
    batches: u32,
    replicas: u32,
    front_nodes: u32,
}

/// Result of a run.
struct RunResult {
    attempts: u64,
    answers: u64,
    actions: Vec<Action>,
}

/// Runs a front node on random events and checks all of its actions.
fn run(seed: u64, scale: Scale) -> RunResult {
    let mut settings = varied_settings();
    settings.fleet_size = scale.front_nodes;
    settings.clients_mark_retries = seed % 2 == 1;
    let now = ms(100_000);
    let mut node = FrontNode::new(settings.clone(), seed, now);
    let mut source = EventSource::new(seed, scale.replicas);
    let mut records = Records::new(settings, now);
    let mut all_actions = Vec::new();
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
        if batch % CLEANUP_INTERVAL == 0 {
            records.drop_old();
        }
        all_actions.extend(actions);
    }
    RunResult { attempts: records.attempts_sent, answers: records.answers, actions: all_actions }
}

/// Returns the number of attempts and of answers in runs with these seeds.
fn total(seeds: impl Iterator<Item = u64>, scale: Scale) -> (u64, u64) {
    let runs = seeds.map(|seed| run(seed, scale));
    runs.fold((0, 0), |(attempts, answers), run| (attempts + run.attempts, answers + run.answers))
}

#[test]
fn the_rules_hold_over_long_runs_of_random_events() {
    let (attempts, answers) = total(1..=12, Scale { batches: 2400, replicas: 8, front_nodes: 2 });
    // Guards against runs in which so little happens that the invariants hold trivially.
    assert!(attempts > 6000 && answers > 1000, "{attempts} attempts, {answers} answers");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let scale = Scale { batches: 1200, replicas: 8, front_nodes: 2 };
    assert_eq!(run(5, scale).actions, run(5, scale).actions);
}

#[test]
fn the_rules_hold_with_more_than_a_hundred_replicas_and_many_front_nodes() {
    let (attempts, answers) = total(21..=23, Scale { batches: 1000, replicas: 130, front_nodes: 60 });
    assert!(attempts > 1500 && answers > 200, "{attempts} attempts, {answers} answers");
}
