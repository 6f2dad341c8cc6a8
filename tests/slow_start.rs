//! Slow start: the parts that one front node, and many of them, send to a warming-up replica.

mod common;

use common::*;
use pinetrestle::interface::*;

#[test]
fn a_warming_up_replica_gets_at_most_its_share_in_any_window() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    let started = harness.now;
    harness.deliver(vec![Event::EndpointListChanged(vec![list_entry(
        0,
        Lifecycle::InService,
        Some(started),
    )])]);
    let mut sent_to_0: Vec<Micros> = Vec::new();
    for _ in 0..200 {
        let (_, actions) = harness.query(0, &[0, 0, 0]);
        sent_to_0.extend(sent_attempts(&actions).iter().filter(|(_, r)| *r == 0).map(|_| harness.now));
        harness.now = harness.now + ms(100);
        harness.end_attempts(Outcome::Ok, |_| true);
    }
    assert!(!sent_to_0.is_empty(), "the warming-up replica must get parts");
    for first in sent_to_0.iter().filter(|at| **at + ms(1000) - started < ms(10_000)) {
        let window = sent_to_0.iter().filter(|at| **at >= *first && **at - *first <= ms(1000)).count() as f64;
        let capacity_share = 0.2 + 0.8 * (*first + ms(1000) - started).ratio_to(ms(10_000));
        // Two front nodes share the overload limit, which is twice the capacity. A part takes 100 ms of work.
        assert!(
            window * 0.1 <= 0.5 * 2.0 * capacity_share + 0.1,
            "{window} parts at capacity share {capacity_share}"
        );
    }
}

#[test]
fn many_front_nodes_neither_starve_nor_overload_a_warming_up_replica() {
    // Each of fifty front nodes gets a query per second. The share of each is less than one part per window.
    let mut settings = base_settings();
    settings.fleet_size = 50;
    let mut harnesses: Vec<Harness> =
        (0..50).map(|seed| Harness::with_seed(settings.clone(), 4, seed)).collect();
    let mut sent: Vec<Micros> = Vec::new();
    let restart = ms(60_000);
    for step in 0..400 {
        for (n, harness) in (0..).zip(&mut harnesses) {
            harness.now = ms(50_000 + step * 50);
            if harness.now == restart {
                harness.deliver(vec![Event::EndpointListChanged(vec![list_entry(
                    0,
                    Lifecycle::InService,
                    Some(restart),
                )])]);
            }
            if (step + n) % 20 == 0 {
                let (_, actions) = harness.query(0, &[0, 3]);
                let is_warming_up = |r: ReplicaId| r == 0 && harness.now >= restart;
                sent.extend(
                    sent_attempts(&actions).iter().filter(|(_, r)| is_warming_up(*r)).map(|_| harness.now),
                );
            } else if (step + n) % 20 == 2 {
                harness.end_attempts(Outcome::Ok, |_| true);
            }
        }
    }
    let sent_within =
        |from: Micros, duration| sent.iter().filter(|at| **at >= from && **at - from <= duration).count();
    // When all four replicas are warm, they answer 100 parts per second, 25 each. The limit is twice that,
    // multiplied by the replica's share of its capacity.
    for at in sent.iter().filter(|at| **at - restart < ms(9_000)) {
        let capacity_share = 0.2 + 0.8 * (*at - restart).ratio_to(ms(10_000));
        assert!(
            sent_within(*at, ms(1000)) as f64 <= 2.0 * capacity_share * 25.0,
            "at capacity share {capacity_share}"
        );
    }
    // If front nodes counted intervals from the start of the replica, an even share of one core would allow
    // the first part only after about ten seconds.
    assert!(
        sent_within(restart, ms(3_000)) >= 5,
        "{} parts in the first three seconds",
        sent_within(restart, ms(3_000))
    );
}

#[test]
fn right_after_its_start_a_front_node_sends_nothing_to_a_warming_up_replica() {
    let mut harness = Harness::new(base_settings(), 0);
    let mut entries: Vec<ListedReplica> = (0..4).map(|n| list_entry(n, Lifecycle::InService, None)).collect();
    entries[0].started_at = Some(harness.now - ms(100));
    harness.deliver(vec![Event::EndpointList { replicas: entries, cached: true }]);
    for _ in 0..20 {
        let (_, actions) = harness.query(0, &[0]);
        assert!(sent_attempts(&actions).iter().all(|(_, replica)| *replica == 1));
        harness.now = harness.now + ms(20);
        harness.end_attempts(Outcome::Ok, |_| true);
    }
}
