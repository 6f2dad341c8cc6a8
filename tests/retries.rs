//! Retries and hedged requests: effects, idempotency windows, the attempt cap and the retry budget.

mod common;

use common::*;
use pinetrestle::interface::*;

#[test]
fn a_non_idempotent_part_is_retried_only_if_it_surely_never_ran() {
    for (outcome, retries) in [
        (Outcome::Rejected, 1),
        (Outcome::ConnectFailed, 1),
        (Outcome::Error, 0),
        (Outcome::Timeout, 0),
        (Outcome::Reset, 0),
        (Outcome::Cancelled, 0),
    ] {
        let mut set = settings();
        set.classes[0].idempotency = Idempotency::NonIdempotent;
        let mut world = World::new(set, 4);
        world.query(0, &[0]);
        world.now = world.now + ms(20);
        let actions = world.end_attempts(outcome, |_| true);
        assert_eq!(sent_attempts(&actions).len(), retries, "{outcome:?}");
        let mut ends = final_answers(&actions);
        for _ in 0..200 {
            let actions = world.wait(ms(20));
            assert!(sent_attempts(&actions).is_empty());
            ends.extend(final_answers(&actions));
        }
        // What may have run ends as a failure: a retry by the client could have a second effect.
        assert!(matches!(ends[..], [Action::Fail { .. }]), "{outcome:?} {ends:?}");
    }
}

#[test]
fn a_non_idempotent_query_that_never_ran_may_be_rejected() {
    let mut set = settings();
    set.classes[0].idempotency = Idempotency::NonIdempotent;
    set.limits.max_attempts = 1;
    let mut world = World::new(set, 4);
    world.query(0, &[0]);
    let mut ends = final_answers(&world.end_attempts(Outcome::Rejected, |_| true));
    for _ in 0..200 {
        ends.extend(final_answers(&world.wait(ms(20))));
    }
    assert!(matches!(ends[..], [Action::Reject { .. }]), "{ends:?}");
}

#[test]
fn a_keyed_part_that_may_have_run_is_retried_only_within_its_idempotency_window() {
    for (age, retries) in [(ms(1500), 1), (ms(2100), 0)] {
        let mut set = settings();
        set.classes[0].idempotency = Idempotency::Keyed;
        set.limits.allow_hedging = false;
        let mut world = World::new(set, 4);
        world.query(0, &[0]);
        world.now = world.now + age;
        let actions = world.end_attempts(Outcome::Timeout, |_| true);
        assert_eq!(sent_attempts(&actions).len(), retries, "{age:?}");
    }
}

#[test]
fn a_keyed_retry_is_sent_within_its_window_less_the_expected_wait_or_not_at_all() {
    let within = |age: Micros| {
        let mut set = settings();
        set.classes[0].idempotency = Idempotency::Keyed;
        set.limits.allow_hedging = false;
        let mut world = World::new(set, 4);
        // Parts take 100 ms, a few of them 400: so long a retry may wait at its replica.
        for round in 0..40 {
            world.query(0, &[0, 1, 2, 3]);
            world.now = world.now + ms(if round % 10 == 9 { 400 } else { 100 });
            world.end_attempts(Outcome::Ok, |_| true);
        }
        // After so long a silence a query is sent a moment later.
        world.now = world.now + ms(50);
        let (_, first) = world.query(0, &[0]);
        assert!(
            first.iter().any(|a| matches!(a, Action::Attempt { send_within: None, .. })),
            "no retry: {first:?}"
        );
        world.now = world.now + age;
        let actions = world.end_attempts(Outcome::Timeout, |_| true);
        actions
            .iter()
            .find_map(|a| if let Action::Attempt { send_within, .. } = a { *send_within } else { None })
    };
    // The window is 2 s from the send of the first attempt; a tick is 5 ms.
    assert_eq!(within(ms(1000)), Some(ms(2000 - 1000 - 400 - 5)));
    assert_eq!(within(ms(1650)), None, "it would wait beyond the window");
}

#[test]
fn no_hedged_request_is_sent_where_hedging_is_not_allowed() {
    let mut set = settings();
    set.limits.allow_hedging = false;
    let mut world = World::new(set, 4);
    world.query(0, &[0]);
    for _ in 0..100 {
        assert!(sent_attempts(&world.wait(ms(20))).is_empty());
    }
}

#[test]
fn attempts_are_capped_and_a_part_without_any_left_ends_its_query_at_once() {
    let mut world = World::new(settings(), 4);
    let (id, _) = world.query(0, &[0, 2]);
    for _ in 0..2 {
        world.now = world.now + ms(130);
        world.end_attempts(Outcome::Error, |replica| replica < 2);
        assert!(final_answers(&world.last_actions).is_empty());
    }
    assert_eq!(world.attempts_sent[&(id + 1)], 3);
    // Replicas 2 and 3 hold shard 2 and may yet answer, but the first part can't be answered any more.
    world.now = world.now + ms(130);
    let actions = world.end_attempts(Outcome::Error, |replica| replica < 2);
    assert!(
        matches!(final_answers(&actions)[..], [Action::Reject { query, .. }] if query == id),
        "{actions:?}"
    );
    assert_eq!(world.attempts_sent[&(id + 1)], 3);
}

#[test]
fn a_rejected_part_is_not_retried_at_the_same_replica_at_once() {
    let mut world = World::new(settings(), 4);
    world.learn_latencies(20);
    world.deliver(vec![Event::EndpointListChanged(vec![list_entry(1, Lifecycle::Removed, None)])]);
    world.query(0, &[0]);
    world.now = world.now + ms(5);
    assert!(sent_attempts(&world.end_attempts(Outcome::Rejected, |_| true)).is_empty());
    assert!(sent_attempts(&world.wait(ms(50))).is_empty());
    assert_eq!(sent_attempts(&world.wait(ms(60))).len(), 1, "a part time later it may have capacity");
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut set = settings();
    set.limits.max_attempts = 10;
    set.rules.retry_budget = Some(RetryBudget { window: ms(2000), min_retries: 2.0, retry_ratio: 0.1 });
    let mut world = World::new(set, 4);
    let mut retries = 0;
    for _ in 0..10 {
        world.query(0, &[0]);
        for _ in 0..5 {
            world.now = world.now + ms(5);
            retries += sent_attempts(&world.end_attempts(Outcome::Error, |_| true)).len();
        }
    }
    // 10 queries of one part are 20 received: 2 + 0.1 * 20.
    assert!((2..=4).contains(&retries), "{retries}");
}

#[test]
fn an_overdue_part_is_hedged_at_another_holder_and_the_loser_cancelled() {
    let mut world = World::new(settings(), 4);
    world.learn_latencies(20);
    let (_, actions) = world.query(0, &[0]);
    let (part, first) = sent_attempts(&actions)[0];
    let hedges: Vec<(Id, ReplicaId)> = (0..40).flat_map(|_| sent_attempts(&world.wait(ms(20)))).collect();
    assert_eq!(hedges, [(part, 1 - first)]);
    let event = world.attempt_ended(part, 1, Outcome::Ok);
    let actions = world.deliver(vec![event]);
    assert!(actions.contains(&Action::Cancel { part, attempt: 0 }));
}

#[test]
fn an_n_of_k_query_sends_an_unsent_part_before_it_hedges_an_overdue_one() {
    let mut world = World::new(settings(), 8);
    world.learn_latencies(20);
    // Six of eight are needed, and one extra part may be sent: one is left.
    let (id, actions) = world.query(1, &[0, 1, 2, 3, 0, 1, 2, 3]);
    let sent: Vec<Id> = sent_attempts(&actions).iter().map(|(part, _)| *part).collect();
    let unsent = (id + 1..=id + 8).find(|part| !sent.contains(part));
    let next =
        (0..40).map(|_| sent_attempts(&world.wait(ms(20)))).find(|sent| !sent.is_empty()).expect("a send");
    assert_eq!(Some(next[0].0), unsent);
}

#[test]
fn a_part_is_overdue_by_half_the_latency_objective_though_some_answers_took_longer() {
    let mut world = World::new(settings(), 8);
    world.learn_latencies(20);
    for round in 0..20 {
        world.query(0, &[0, 1, 2, 3]);
        world.now = world.now + ms(if round % 5 == 0 { 900 } else { 100 });
        world.end_attempts(Outcome::Ok, |_| true);
    }
    world.wait(ms(3000));
    world.query(0, &[0]);
    assert!(sent_attempts(&world.wait(ms(480))).is_empty());
    assert_eq!(sent_attempts(&world.wait(ms(40))).len(), 1);
}
