//! Slow start: what a warming-up replica is sent by one front node and by many.

mod common;

use common::*;
use pinetrestle::interface::*;

#[test]
fn a_warming_up_replica_gets_at_most_its_share_in_any_window() {
    let mut world = World::new(settings(), 4);
    world.learn_latencies(20);
    let started = world.now;
    world.deliver(vec![Event::EndpointListChanged(vec![list_entry(0, Lifecycle::InService, Some(started))])]);
    let mut at_0: Vec<Micros> = Vec::new();
    for _ in 0..200 {
        let (_, actions) = world.query(0, &[0, 0, 0]);
        at_0.extend(sent_attempts(&actions).iter().filter(|(_, r)| *r == 0).map(|_| world.now));
        world.now = world.now + ms(100);
        world.end_attempts(Outcome::Ok, |_| true);
    }
    assert!(!at_0.is_empty(), "it is not starved");
    for first in at_0.iter().filter(|at| **at + ms(1000) - started < ms(10_000)) {
        let window = at_0.iter().filter(|at| **at >= *first && **at - *first <= ms(1000)).count() as f64;
        let warmth = 0.2 + 0.8 * (*first + ms(1000) - started).ratio_to(ms(10_000));
        // Two front nodes share twice the capacity; parts cost 100 ms.
        assert!(window * 0.1 <= 0.5 * 2.0 * warmth + 0.1, "{window} parts at warmth {warmth}");
    }
}

#[test]
fn many_front_nodes_neither_starve_nor_overload_a_warming_up_replica() {
    // Fifty front nodes with a query a second each; alone none may send a whole part in a window.
    let mut set = settings();
    set.fleet_size = 50;
    let mut worlds: Vec<World> = (0..50).map(|seed| World::with_seed(set.clone(), 4, seed)).collect();
    let mut sent: Vec<Micros> = Vec::new();
    let restart = ms(60_000);
    for step in 0..400 {
        for (n, world) in (0..).zip(&mut worlds) {
            world.now = ms(50_000 + step * 50);
            if world.now == restart {
                world.deliver(vec![Event::EndpointListChanged(vec![list_entry(
                    0,
                    Lifecycle::InService,
                    Some(restart),
                )])]);
            }
            if (step + n) % 20 == 0 {
                let (_, actions) = world.query(0, &[0, 3]);
                let cold = |r: ReplicaId| r == 0 && world.now >= restart;
                sent.extend(sent_attempts(&actions).iter().filter(|(_, r)| cold(*r)).map(|_| world.now));
            } else if (step + n) % 20 == 2 {
                world.end_attempts(Outcome::Ok, |_| true);
            }
        }
    }
    let within = |from: Micros, span| sent.iter().filter(|at| **at >= from && **at - from <= span).count();
    // Warm, the four replicas answer 100 parts a second, 25 each: twice that times the warmth is the limit.
    for at in sent.iter().filter(|at| **at - restart < ms(9_000)) {
        let warmth = 0.2 + 0.8 * (*at - restart).ratio_to(ms(10_000));
        assert!(within(*at, ms(1000)) as f64 <= 2.0 * warmth * 25.0, "at warmth {warmth}");
    }
    // Counted from its start, an even share of one core would let the first part go after ten seconds or so.
    assert!(within(restart, ms(3_000)) >= 5, "{} in the first three seconds", within(restart, ms(3_000)));
}

#[test]
fn just_after_its_start_a_front_node_sends_nothing_to_a_warming_up_replica() {
    let mut world = World::new(settings(), 0);
    let mut lines: Vec<ListedReplica> = (0..4).map(|n| list_entry(n, Lifecycle::InService, None)).collect();
    lines[0].started_at = Some(world.now - ms(100));
    world.deliver(vec![Event::EndpointList { replicas: lines, cached: true }]);
    for _ in 0..20 {
        let (_, actions) = world.query(0, &[0]);
        assert!(sent_attempts(&actions).iter().all(|(_, replica)| *replica == 1));
        world.now = world.now + ms(20);
        world.end_attempts(Outcome::Ok, |_| true);
    }
}
