//! Stalls of all replicas and pauses of the machine: no hedged requests are sent during a stall, and queries
//! wait until it is over and pending events are read.

mod common;

use common::*;
use pinetrestle::interface::*;
use std::collections::BTreeSet;

#[test]
fn nothing_is_hedged_during_a_stall_and_attempts_are_not_overdue_right_after_it() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    let (first, actions) = harness.query(0, &[0, 1, 2, 3]);
    let replicas: BTreeSet<ReplicaId> = sent_attempts(&actions).iter().map(|(_, replica)| *replica).collect();
    assert!(replicas.len() > 2, "more than half of the replicas must have attempts in flight: {replicas:?}");
    // No replica responds for 480 ms. The typical latency is 100 ms, and a hedged request would be sent after
    // 400 ms. Half of the objective is 500 ms.
    for _ in 0..24 {
        assert_eq!(sent_attempts(&harness.wait(ms(20))), []);
    }
    let replica = harness.in_flight[&(first + 1, 0)].0;
    harness.end_attempts(Outcome::Ok, |id| id == replica);
    // The time of the stall does not count for the other attempts, so none of them is overdue yet.
    assert_eq!(sent_attempts(&harness.wait(ms(10))), []);
    harness.end_attempts(Outcome::Ok, |_| true);
    // If a single replica does not respond while the others answer, its attempts are hedged.
    let (_, actions) = harness.query(0, &[0, 1, 2, 3]);
    let unresponsive = sent_attempts(&actions)[0].1;
    harness.now = harness.now + ms(100);
    harness.end_attempts(Outcome::Ok, |id| id != unresponsive);
    let hedges = (0..19).flat_map(|_| sent_attempts(&harness.wait(ms(20)))).count();
    assert!(hedges > 0);
}

#[test]
fn a_query_during_a_stall_or_right_after_it_waits() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    harness.query(0, &[0, 1, 2, 3]);
    harness.wait(ms(300));
    // During the stall the query waits, for a quarter of its objective (250 ms) at most.
    let (waiting, actions) = harness.query(0, &[0]);
    assert_eq!(sent_attempts(&actions), []);
    assert_eq!(sent_attempts(&harness.wait(ms(100))), []);
    // The stall ends. A query that arrives right after it is not sent immediately, and not at all if its
    // client disconnects before the wait is over.
    harness.end_attempts(Outcome::Ok, |_| true);
    let (abandoned, actions) = harness.query(0, &[1]);
    assert_eq!(sent_attempts(&actions), []);
    assert!(actions.iter().any(|action| matches!(action, Action::SetTimer(wait) if *wait <= ms(10))));
    harness.now = harness.now + ms(3);
    assert_eq!(sent_attempts(&harness.deliver(vec![Event::ClientDisconnected(abandoned)])), []);
    let sent = sent_attempts(&harness.wait(ms(8)));
    assert_eq!(sent.iter().map(|(part, _)| *part).collect::<Vec<_>>(), [waiting + 1]);
    // Later queries are sent immediately.
    assert_eq!(sent_attempts(&harness.query(0, &[2]).1).len(), 1);
}

#[test]
fn a_query_in_a_lasting_stall_is_sent_after_a_quarter_of_its_objective() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    harness.query(0, &[0, 1, 2, 3]);
    harness.wait(ms(300));
    let (id, actions) = harness.query(0, &[0]);
    assert_eq!(sent_attempts(&actions), []);
    let first =
        (1..40).find(|_| sent_attempts(&harness.wait(ms(10))).iter().any(|(part, _)| *part == id + 1));
    assert!((25..=26).contains(&first.unwrap_or(0)), "{first:?}");
}

#[test]
fn after_a_pause_pending_events_are_read_before_anything_is_sent() {
    let mut harness = Harness::new(base_settings(), 8);
    harness.learn_latencies(20);
    // Two of eight replicas have attempts in flight, far less than half. No event at all arrives for 250 ms,
    // while a part takes 100 ms: this machine or a common dependency was paused. The first event after the
    // pause may be followed by more, and the disconnection of a client may follow its query.
    let (first_query, actions) = harness.query(0, &[0, 1]);
    assert_eq!(sent_attempts(&actions).len(), 2);
    harness.now = harness.now + ms(250);
    let (abandoned, actions) = harness.query(0, &[2]);
    assert_eq!(sent_attempts(&actions), []);
    let failed = harness.attempt_ended(first_query + 1, 0, Outcome::Error);
    assert_eq!(sent_attempts(&harness.deliver(vec![failed])), [], "retries have to wait too");
    harness.now = harness.now + ms(1);
    assert_eq!(sent_attempts(&harness.deliver(vec![Event::ClientDisconnected(abandoned)])), []);
    let (kept, actions) = harness.query(0, &[3]);
    assert_eq!(sent_attempts(&actions), []);
    let sent: Vec<Id> = sent_attempts(&harness.wait(ms(10))).iter().map(|(part, _)| *part).collect();
    assert!(sent.contains(&(kept + 1)) && sent.contains(&(first_query + 1)) && sent.len() == 2, "{sent:?}");
    // Later queries are sent immediately. So are queries while only one replica has attempts in flight.
    assert_eq!(sent_attempts(&harness.query(0, &[2]).1).len(), 1);
    harness.end_attempts(Outcome::Ok, |_| true);
    harness.query(0, &[0]);
    harness.now = harness.now + ms(250);
    assert_eq!(sent_attempts(&harness.query(0, &[3]).1).len(), 1);
}

#[test]
fn in_a_lasting_stall_parts_are_hedged_at_half_the_objective() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    harness.query(0, &[0, 1, 2, 3]);
    let first = (1..50).find(|_| !sent_attempts(&harness.wait(ms(20))).is_empty());
    assert!((25..=27).contains(&first.unwrap_or(0)), "{first:?}");
}
