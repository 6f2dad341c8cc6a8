//! Replicas that fail, hang or are slow: failure penalties, outliers and their recovery.

mod common;

use common::*;
use pinetrestle::interface::*;

#[test]
fn a_replica_that_fails_fast_does_not_look_idle() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    let mut sent_to_0 = 0;
    for _ in 0..100 {
        let (_, actions) = harness.query(0, &[0]);
        sent_to_0 += sent_attempts(&actions).iter().filter(|(_, replica)| *replica == 0).count();
        harness.now = harness.now + ms(5);
        harness.end_attempts(Outcome::Error, |replica| replica == 0);
        harness.now = harness.now + ms(45);
        harness.end_attempts(Outcome::Ok, |replica| replica != 0);
    }
    assert!(sent_to_0 < 25, "{sent_to_0} of 100 attempts went to the failing replica");
}

#[test]
fn a_replica_that_never_answers_is_avoided() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    let mut sent_to_0 = 0;
    for _ in 0..100 {
        let (_, actions) = harness.query(0, &[0]);
        sent_to_0 += sent_attempts(&actions).iter().filter(|(_, replica)| *replica == 0).count();
        harness.now = harness.now + ms(100);
        harness.end_attempts(Outcome::Ok, |replica| replica != 0);
    }
    assert!(
        (1..15).contains(&sent_to_0),
        "{sent_to_0} of 100 attempts went to the replica that never answers"
    );
}

#[test]
fn a_replica_much_slower_than_the_others_gets_fewer_parts() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    let mut sent_to_0 = 0;
    for _ in 0..100 {
        let (_, actions) = harness.query(0, &[0]);
        let is_slow = sent_attempts(&actions)[0].1 == 0;
        sent_to_0 += u32::from(is_slow);
        harness.now = harness.now + ms(if is_slow { 390 } else { 100 });
        harness.end_attempts(Outcome::Ok, |_| true);
    }
    assert!((1..40).contains(&sent_to_0), "{sent_to_0} of 100 attempts went to the slow replica");
}

#[test]
fn a_slowdown_of_all_replicas_marks_no_outlier_and_causes_few_hedged_requests() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    let (mut hedges, mut outliers) = (0, 0);
    for _ in 0..60 {
        harness.query(0, &[0, 1, 2, 3]);
        for _ in 0..15 {
            let actions = harness.wait(ms(20));
            // A query may wait briefly after a stall, so first attempts can be sent here too. They are not
            // counted.
            hedges +=
                sent_attempts(&actions).iter().filter(|(part, _)| harness.attempts_sent[part] > 1).count();
            let marks_outlier =
                |a: &&Action| matches!(a, Action::Log(text) if text.contains("marked as outlier"));
            outliers += actions.iter().filter(marks_outlier).count();
        }
        harness.end_attempts(Outcome::Ok, |_| true);
    }
    assert_eq!(outliers, 0);
    assert!(hedges < 12, "{hedges} hedged requests for 240 parts");
}

#[test]
fn an_outlier_recovers_through_live_traffic() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    for _ in 0..30 {
        harness.query(0, &[0]);
        harness.now = harness.now + ms(100);
        harness.end_attempts(Outcome::Ok, |replica| replica != 0);
    }
    harness.end_attempts(Outcome::Timeout, |_| true);
    let mut sent_to_0 = 0;
    for _ in 0..400 {
        let (_, actions) = harness.query(0, &[0]);
        sent_to_0 += sent_attempts(&actions).iter().filter(|(_, replica)| *replica == 0).count();
        harness.now = harness.now + ms(100);
        harness.end_attempts(Outcome::Ok, |_| true);
    }
    assert!(sent_to_0 > 60, "{sent_to_0} of 400 attempts went to the recovered replica");
}

#[test]
fn a_restarted_replica_is_no_longer_an_outlier() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    harness.query(0, &[0, 0]);
    harness.now = harness.now + ms(100);
    harness.end_attempts(Outcome::Ok, |replica| replica != 0);
    harness.wait(ms(900));
    let actions = harness.end_attempts(Outcome::Timeout, |replica| replica == 0);
    let before = format!("{:?}{:?}", actions, harness.wait(ms(5)));
    assert!(!before.contains("no longer an outlier"), "{before}");
    let restarted = list_entry(0, Lifecycle::InService, Some(harness.now - ms(9_000)));
    let actions = harness.deliver(vec![Event::EndpointListChanged(vec![restarted])]);
    let logs: Vec<&Action> = actions.iter().filter(|a| matches!(a, Action::Log(_))).collect();
    assert!(format!("{logs:?}").contains("no longer an outlier"), "{logs:?}");
}

#[test]
fn penalties_of_consecutive_failures_last_longer() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    harness.deliver(vec![Event::EndpointListChanged(vec![list_entry(1, Lifecycle::Draining, None)])]);
    for _ in 0..2 {
        harness.query(0, &[0]);
        for _ in 0..3 {
            harness.now = harness.now + ms(101);
            harness.end_attempts(Outcome::Error, |replica| replica == 0);
        }
    }
    harness.deliver(vec![Event::EndpointListChanged(vec![list_entry(1, Lifecycle::InService, None)])]);
    // The penalty of a single failure would have expired by now.
    harness.now = harness.now + ms(2500);
    let (_, actions) = harness.query(0, &[0, 0]);
    assert_eq!(sent_attempts(&actions).iter().filter(|(_, replica)| *replica == 1).count(), 2, "{actions:?}");
}

#[test]
fn a_timeout_before_a_part_is_overdue_does_not_raise_the_latency_ratio() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    let mut timed_out = false;
    while !timed_out {
        let (_, actions) = harness.query(0, &[0]);
        timed_out = sent_attempts(&actions)[0].1 == 0;
        harness.now = harness.now + ms(100);
        harness.end_attempts(Outcome::Ok, |replica| replica != 0);
        harness.now = harness.now + ms(290); // nearly four times the typical latency, so not overdue yet
        harness.end_attempts(Outcome::Timeout, |replica| replica == 0);
    }
    harness.now = harness.now + ms(100);
    harness.end_attempts(Outcome::Ok, |_| true);
    harness.now = harness.now + ms(1500); // the penalty of the failure has expired
    let mut sent_to_0 = 0;
    for _ in 0..20 {
        let (_, actions) = harness.query(0, &[0]);
        sent_to_0 += sent_attempts(&actions).iter().filter(|(_, replica)| *replica == 0).count();
        harness.now = harness.now + ms(10);
        harness.end_attempts(Outcome::Ok, |_| true);
    }
    assert!(sent_to_0 >= 4, "{sent_to_0} of 20 attempts went to the replica that timed out");
}

#[test]
fn a_failure_penalty_lasts_until_the_replica_would_get_its_next_call() {
    let mut harness = harness_with_100_replicas();
    let (_, actions) = harness.query(0, &[50]);
    let (part, failed) = sent_attempts(&actions)[0];
    let event = harness.attempt_ended(part, 0, Outcome::Error);
    harness.deliver(vec![event]);
    harness.end_attempts(Outcome::Ok, |_| true);
    // With three calls per second to a hundred replicas, a replica would get its next call after half a
    // minute. The penalty is limited to ten seconds.
    for _ in 0..8 {
        harness.wait(ms(900));
        let (_, actions) = harness.query(0, &[50]);
        assert!(sent_attempts(&actions).iter().all(|(_, replica)| *replica != failed));
        harness.now = harness.now + ms(100);
        harness.end_attempts(Outcome::Ok, |_| true);
    }
}
