//! Replica selection: least load, random tie-breaking, extra parts, calls shared by several parts.

mod common;

use common::*;
use pinetrestle::interface::*;

#[test]
fn parts_go_to_the_shards_and_replicas_with_the_fewest_parts_in_flight() {
    let mut harness = Harness::new(base_settings(), 8);
    // Shard 0 is held by replicas 0, 1, 4 and 5, so four parts of it go to four replicas.
    let (_, first) = harness.query(0, &[0, 0, 0, 0]);
    let mut busy: Vec<ReplicaId> = sent_attempts(&first).iter().map(|(_, replica)| *replica).collect();
    busy.sort();
    assert_eq!(busy, [0, 1, 4, 5]);
    // Three of the four parts are needed. The part of shard 0 is left out, as all its replicas are busy.
    let (id, second) = harness.query(1, &[0, 2, 2, 2]);
    assert!(sent_attempts(&second).iter().all(|(part, _)| *part != id + 1), "{second:?}");
}

#[test]
fn ties_are_broken_at_random_and_reproducibly_for_a_given_seed() {
    let run = || {
        let mut harness = Harness::new(base_settings(), 4);
        let mut chosen = Vec::new();
        for _ in 0..40 {
            let (_, actions) = harness.query(0, &[0]);
            chosen.push(sent_attempts(&actions)[0].1);
            harness.now = harness.now + ms(100);
            harness.end_attempts(Outcome::Ok, |_| true);
        }
        chosen
    };
    let chosen = run();
    assert_eq!(chosen, run());
    let zeros = chosen.iter().filter(|replica| **replica == 0).count();
    assert!(
        (8..=32).contains(&zeros),
        "both replicas of the shard must be chosen: replica 0 got {zeros} of 40"
    );
}

#[test]
fn extra_parts_are_at_most_a_tenth_and_are_cancelled_on_completion() {
    let mut harness = Harness::new(base_settings(), 8);
    let (mut sent, mut extra_parts, mut cancelled) = (0, 0, 0);
    for _ in 0..200 {
        let (_, actions) = harness.query(1, &[0, 1, 2, 3]);
        let parts = sent_attempts(&actions);
        sent += parts.len();
        extra_parts += parts.len() - 3;
        harness.now = harness.now + ms(50);
        let answered: Vec<(Id, u32)> = harness.in_flight.keys().take(3).copied().collect();
        let events =
            answered.into_iter().map(|(part, n)| harness.attempt_ended(part, n, Outcome::Ok)).collect();
        let actions = harness.deliver(events);
        cancelled += actions.iter().filter(|action| matches!(action, Action::Cancel { .. })).count();
        harness.end_attempts(Outcome::Cancelled, |_| true);
    }
    assert!(extra_parts > 20, "extra parts must be sent: {extra_parts}");
    assert!(extra_parts as f64 <= 0.1 * sent as f64 + 1.0, "{extra_parts} extra parts of {sent} attempts");
    assert_eq!(cancelled, extra_parts);
}

#[test]
fn parts_that_share_a_call_count_as_one_in_flight() {
    let mut settings = base_settings();
    settings.limits.max_batch = 16;
    let mut harness = Harness::new(settings, 2);
    // Replicas 0 and 1 hold shard 0. Six parts in one batch are sent in one call to each of them.
    let (_, first) = harness.query(0, &[0, 0, 0, 0, 0, 0]);
    assert_eq!(sent_attempts(&first).len(), 6);
    let sent_to_0: Vec<Id> =
        sent_attempts(&first).iter().filter(|(_, r)| *r == 0).map(|(part, _)| *part).collect();
    let at_1 = 6 - sent_to_0.len();
    assert!(!sent_to_0.is_empty() && at_1 > 0);
    // Once all parts of its call have ended, replica 0 has nothing in flight, however many parts there were.
    harness.now = harness.now + ms(50);
    harness.end_attempts(Outcome::Ok, |replica| replica == 0);
    let (_, next) = harness.query(0, &[0]);
    assert_eq!(sent_attempts(&next)[0].1, 0);
}
