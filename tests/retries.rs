//! Retries and hedged requests: idempotency, the idempotency window, the maximum number of attempts, the
//! retry budget.

mod common;

use common::*;
use pinetrestle::interface::*;

#[test]
fn a_non_idempotent_part_is_retried_only_if_it_provably_did_not_run() {
    for (outcome, retries) in [
        (Outcome::Rejected, 1),
        (Outcome::ConnectFailed, 1),
        (Outcome::Error, 0),
        (Outcome::Timeout, 0),
        (Outcome::Reset, 0),
        (Outcome::Cancelled, 0),
    ] {
        let mut settings = base_settings();
        settings.classes[0].idempotency = Idempotency::NonIdempotent;
        let mut harness = Harness::new(settings, 4);
        harness.query(0, &[0]);
        harness.now = harness.now + ms(20);
        let actions = harness.end_attempts(outcome, |_| true);
        assert_eq!(sent_attempts(&actions).len(), retries, "{outcome:?}");
        let mut ends = final_answers(&actions);
        for _ in 0..200 {
            let actions = harness.wait(ms(20));
            assert!(sent_attempts(&actions).is_empty());
            ends.extend(final_answers(&actions));
        }
        // The query fails, as a part may have run and a retry by the client could have a second effect.
        assert!(matches!(ends[..], [Action::Fail { .. }]), "{outcome:?} {ends:?}");
    }
}

#[test]
fn a_non_idempotent_query_that_did_not_run_is_rejected() {
    let mut settings = base_settings();
    settings.classes[0].idempotency = Idempotency::NonIdempotent;
    settings.limits.max_attempts = 1;
    let mut harness = Harness::new(settings, 4);
    harness.query(0, &[0]);
    let mut ends = final_answers(&harness.end_attempts(Outcome::Rejected, |_| true));
    for _ in 0..200 {
        ends.extend(final_answers(&harness.wait(ms(20))));
    }
    assert!(matches!(ends[..], [Action::Reject { .. }]), "{ends:?}");
}

#[test]
fn a_keyed_part_that_may_have_run_is_retried_only_within_its_idempotency_window() {
    for (age, retries) in [(ms(1500), 1), (ms(2100), 0)] {
        let mut settings = base_settings();
        settings.classes[0].idempotency = Idempotency::Keyed;
        settings.limits.allow_hedging = false;
        let mut harness = Harness::new(settings, 4);
        harness.query(0, &[0]);
        harness.now = harness.now + age;
        let actions = harness.end_attempts(Outcome::Timeout, |_| true);
        assert_eq!(sent_attempts(&actions).len(), retries, "{age:?}");
    }
}

#[test]
fn a_keyed_retry_must_be_sent_within_its_window_less_the_expected_wait() {
    let send_within_at = |age: Micros| {
        let mut settings = base_settings();
        settings.classes[0].idempotency = Idempotency::Keyed;
        settings.limits.allow_hedging = false;
        let mut harness = Harness::new(settings, 4);
        // Most parts take 100 ms and a few take 400 ms, which a retry may also have to wait at its replica.
        for round in 0..40 {
            harness.query(0, &[0, 1, 2, 3]);
            harness.now = harness.now + ms(if round % 10 == 9 { 400 } else { 100 });
            harness.end_attempts(Outcome::Ok, |_| true);
        }
        // The last round of 400 ms counts as a stall, after which a query would wait. So 50 ms pass first.
        harness.now = harness.now + ms(50);
        let (_, first) = harness.query(0, &[0]);
        assert!(
            first.iter().any(|a| matches!(a, Action::Attempt { send_within: None, .. })),
            "a first attempt has no send limit: {first:?}"
        );
        harness.now = harness.now + age;
        let actions = harness.end_attempts(Outcome::Timeout, |_| true);
        actions
            .iter()
            .find_map(|a| if let Action::Attempt { send_within, .. } = a { *send_within } else { None })
    };
    // The window is 2 s from the send of the first attempt; a tick is 5 ms.
    assert_eq!(send_within_at(ms(1000)), Some(ms(2000 - 1000 - 400 - 5)));
    assert_eq!(send_within_at(ms(1650)), None, "a retry would run after the window");
}

#[test]
fn no_hedged_request_is_sent_if_hedging_is_not_allowed() {
    let mut settings = base_settings();
    settings.limits.allow_hedging = false;
    let mut harness = Harness::new(settings, 4);
    harness.query(0, &[0]);
    for _ in 0..100 {
        assert!(sent_attempts(&harness.wait(ms(20))).is_empty());
    }
}

#[test]
fn a_part_that_has_used_up_its_attempts_ends_its_query_immediately() {
    let mut harness = Harness::new(base_settings(), 4);
    let (id, _) = harness.query(0, &[0, 2]);
    for _ in 0..2 {
        harness.now = harness.now + ms(130);
        harness.end_attempts(Outcome::Error, |replica| replica < 2);
        assert!(final_answers(&harness.last_actions).is_empty());
    }
    assert_eq!(harness.attempts_sent[&(id + 1)], 3);
    // Replicas 2 and 3 hold shard 2 and may still answer, but the part on shard 0 can no longer be answered.
    harness.now = harness.now + ms(130);
    let actions = harness.end_attempts(Outcome::Error, |replica| replica < 2);
    assert!(
        matches!(final_answers(&actions)[..], [Action::Reject { query, .. }] if query == id),
        "{actions:?}"
    );
    assert_eq!(harness.attempts_sent[&(id + 1)], 3);
}

#[test]
fn a_rejected_part_is_not_retried_immediately_at_the_same_replica() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    harness.deliver(vec![Event::EndpointListChanged(vec![list_entry(1, Lifecycle::Removed, None)])]);
    harness.query(0, &[0]);
    harness.now = harness.now + ms(5);
    assert!(sent_attempts(&harness.end_attempts(Outcome::Rejected, |_| true)).is_empty());
    assert!(sent_attempts(&harness.wait(ms(50))).is_empty());
    assert_eq!(
        sent_attempts(&harness.wait(ms(60))).len(),
        1,
        "the part is retried after the typical latency"
    );
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut settings = base_settings();
    settings.limits.max_attempts = 10;
    settings.rules.retry_budget = Some(RetryBudget { window: ms(2000), min_retries: 2.0, retry_ratio: 0.1 });
    let mut harness = Harness::new(settings, 4);
    let mut retries = 0;
    for _ in 0..10 {
        harness.query(0, &[0]);
        for _ in 0..5 {
            harness.now = harness.now + ms(5);
            retries += sent_attempts(&harness.end_attempts(Outcome::Error, |_| true)).len();
        }
    }
    // Ten queries with one part each count as 20 received, which allows 2 + 0.1 * 20 retries.
    assert!((2..=4).contains(&retries), "{retries}");
}

#[test]
fn an_overdue_part_is_hedged_at_another_replica_and_the_slower_attempt_is_cancelled() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    let (_, actions) = harness.query(0, &[0]);
    let (part, first) = sent_attempts(&actions)[0];
    let hedges: Vec<(Id, ReplicaId)> = (0..40).flat_map(|_| sent_attempts(&harness.wait(ms(20)))).collect();
    assert_eq!(hedges, [(part, 1 - first)]);
    let event = harness.attempt_ended(part, 1, Outcome::Ok);
    let actions = harness.deliver(vec![event]);
    assert!(actions.contains(&Action::Cancel { part, attempt: 0 }));
}

#[test]
fn a_query_that_needs_n_of_k_parts_sends_an_unsent_part_before_it_hedges_an_overdue_one() {
    let mut harness = Harness::new(base_settings(), 8);
    harness.learn_latencies(20);
    // Six of eight parts are needed, and one extra part may be sent, so one is not sent.
    let (id, actions) = harness.query(1, &[0, 1, 2, 3, 0, 1, 2, 3]);
    let sent: Vec<Id> = sent_attempts(&actions).iter().map(|(part, _)| *part).collect();
    let unsent = (id + 1..=id + 8).find(|part| !sent.contains(part));
    let next = (0..40)
        .map(|_| sent_attempts(&harness.wait(ms(20))))
        .find(|sent| !sent.is_empty())
        .expect("a further attempt");
    assert_eq!(Some(next[0].0), unsent);
}

#[test]
fn a_part_is_overdue_after_half_the_latency_objective_even_if_recent_answers_took_longer() {
    let mut harness = Harness::new(base_settings(), 8);
    harness.learn_latencies(20);
    for round in 0..20 {
        harness.query(0, &[0, 1, 2, 3]);
        harness.now = harness.now + ms(if round % 5 == 0 { 900 } else { 100 });
        harness.end_attempts(Outcome::Ok, |_| true);
    }
    harness.wait(ms(3000));
    harness.query(0, &[0]);
    assert!(sent_attempts(&harness.wait(ms(480))).is_empty());
    assert_eq!(sent_attempts(&harness.wait(ms(40))).len(), 1);
}
