//! Queries of death, which crash the replicas that run them: suspect queries send one part ahead of the
//! others, are given up after a second crash, and lose all restrictions once a part is answered.

mod common;

use common::*;
use pinetrestle::interface::*;

#[test]
fn a_query_reset_by_two_replicas_without_an_answer_is_given_up_immediately() {
    let mut harness = Harness::new(base_settings(), 8);
    harness.learn_latencies(20);
    let (id, actions) = harness.query(0, &[0, 1, 2, 3]);
    let parts = sent_attempts(&actions);
    harness.now = harness.now + ms(10);
    let first = harness.attempt_ended(parts[0].0, 0, Outcome::Reset);
    assert!(
        sent_attempts(&harness.deliver(vec![first])).is_empty(),
        "nothing may be sent after the first reset while other attempts may be answered"
    );
    let second = harness.attempt_ended(parts[1].0, 0, Outcome::Reset);
    let actions = harness.deliver(vec![second]);
    assert!(
        matches!(final_answers(&actions)[..], [Action::Reject { query, .. }] if query == id),
        "{actions:?}"
    );
    let cancelled = actions.iter().filter(|action| matches!(action, Action::Cancel { .. })).count();
    assert_eq!((sent_attempts(&actions).len(), cancelled), (0, 2), "attempts in flight must be cancelled");
}

#[test]
fn parts_of_a_query_with_an_answered_part_are_retried_after_any_number_of_resets() {
    let mut harness = Harness::new(base_settings(), 8);
    harness.learn_latencies(20);
    let (_, actions) = harness.query(0, &[0, 1, 2, 3]);
    let parts = sent_attempts(&actions);
    harness.now = harness.now + ms(100);
    let mut events = vec![harness.attempt_ended(parts[0].0, 0, Outcome::Ok)];
    events.extend(parts[1..].iter().map(|(part, _)| harness.attempt_ended(*part, 0, Outcome::Reset)));
    let actions = harness.deliver(events);
    assert_eq!((sent_attempts(&actions).len(), final_answers(&actions).len()), (3, 0));
}

#[test]
fn a_single_reset_part_is_retried_when_nothing_else_is_in_flight() {
    let mut harness = Harness::new(base_settings(), 8);
    harness.learn_latencies(20);
    let (_, actions) = harness.query(0, &[0]);
    let (part, first_replica) = sent_attempts(&actions)[0];
    let event = harness.attempt_ended(part, 0, Outcome::Reset);
    let next = sent_attempts(&harness.deliver(vec![event]));
    assert!(
        matches!(next[..], [(retried, elsewhere)] if retried == part && elsewhere != first_replica),
        "{next:?}"
    );
}

/// Delivers a query of forty parts after a part of another query found its replica unreachable.
fn wide_query_after_a_crash() -> (Harness, Id, Vec<Action>) {
    let mut harness = harness_with_100_replicas();
    let (_, actions) = harness.query(0, &[90]);
    let event = harness.attempt_ended(sent_attempts(&actions)[0].0, 0, Outcome::ConnectFailed);
    harness.deliver(vec![event]);
    harness.end_attempts(Outcome::Ok, |_| true);
    let (id, actions) = harness.query(0, &(0..40).collect::<Vec<u32>>());
    (harness, id, actions)
}

#[test]
fn after_a_crash_a_wide_query_sends_one_part_ahead() {
    let (mut harness, _, actions) = wide_query_after_a_crash();
    assert_eq!(sent_attempts(&actions).len(), 1);
    let (_, actions) = harness.query(0, &[60, 65, 70, 75]);
    assert_eq!(sent_attempts(&actions).len(), 4, "a query that is not wide must not be delayed");
    harness.now = harness.now + ms(100);
    let actions = harness.end_attempts(Outcome::Ok, |_| true);
    assert_eq!(sent_attempts(&actions).len(), 39, "the other parts follow the first answer");
}

#[test]
fn a_query_of_death_that_sent_one_part_ahead_crashes_two_replicas_at_most() {
    let (mut harness, id, _) = wide_query_after_a_crash();
    let mut sent = 1;
    for _ in 0..5 {
        harness.now = harness.now + ms(10);
        sent += sent_attempts(&harness.end_attempts(Outcome::Reset, |_| true)).len();
    }
    assert_eq!(sent, 2);
    assert!(harness.query_of.values().any(|query| *query == id) && harness.in_flight.is_empty());
}

#[test]
fn the_part_sent_ahead_delays_the_others_by_twice_the_typical_latency() {
    let (mut harness, _, _) = wide_query_after_a_crash();
    assert!(sent_attempts(&harness.wait(ms(150))).is_empty());
    assert_eq!(
        sent_attempts(&harness.wait(ms(60))).len(),
        39,
        "the others follow after twice the typical latency of a part"
    );
}

#[test]
fn a_marked_retry_sends_one_part_ahead_and_a_first_try_sends_all() {
    let mut harness = harness_with_100_replicas();
    let (_, actions) = harness.query(0, &[0, 10, 20, 30]);
    assert_eq!(sent_attempts(&actions).len(), 4);
    harness.now = harness.now + ms(100);
    harness.end_attempts(Outcome::Ok, |_| true);
    let (_, mut events) = harness.query_events(0, &[40, 50, 60, 70], ms(3000));
    if let Event::Query { retry, .. } = &mut events[0] {
        *retry = true;
    }
    assert_eq!(sent_attempts(&harness.deliver(events)).len(), 1);
}
