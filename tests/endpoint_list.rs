//! The endpoint list: lifecycle changes, lost watches, polls and their backoff, replicas that are gone.

mod common;

use common::*;
use pinetrestle::interface::*;

#[test]
fn draining_and_gone_replicas_get_no_new_attempts() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Removed] {
        let mut world = World::new(settings(), 4);
        world.deliver(vec![Event::EndpointListChanged(vec![list_entry(0, lifecycle, None)])]);
        for _ in 0..30 {
            let (_, actions) = world.query(0, &[0]);
            assert_eq!(sent_attempts(&actions)[0].1, 1);
            world.now = world.now + ms(50);
            world.end_attempts(Outcome::Ok, |_| true);
        }
    }
}

#[test]
fn a_replica_missing_from_a_complete_list_is_gone() {
    let mut world = World::new(settings(), 4);
    let rest = (1..4).map(|n| list_entry(n, Lifecycle::InService, None)).collect();
    world.deliver(vec![Event::EndpointList { replicas: rest, cached: false }]);
    for _ in 0..6 {
        let (_, actions) = world.query(0, &[0]);
        assert_eq!(sent_attempts(&actions)[0].1, 1);
    }
}

#[test]
fn parts_in_flight_at_a_gone_replica_are_retried_elsewhere_at_once() {
    let mut world = World::new(settings(), 4);
    let (_, actions) = world.query(0, &[0]);
    let (part, first) = sent_attempts(&actions)[0];
    let actions =
        world.deliver(vec![Event::EndpointListChanged(vec![list_entry(first, Lifecycle::Removed, None)])]);
    assert_eq!(sent_attempts(&actions), [(part, 1 - first)]);
}

#[test]
fn without_an_endpoint_list_a_query_waits_for_one() {
    let mut world = World::new(settings(), 0);
    let (_, actions) = world.query(0, &[0, 1]);
    assert!(sent_attempts(&actions).is_empty() && final_answers(&actions).is_empty());
    let actions = world.deliver(vec![complete_list(4)]);
    assert_eq!(sent_attempts(&actions).len(), 2);
}

#[test]
fn a_query_whose_shard_has_no_replica_in_service_is_rejected_at_once() {
    let mut world = World::new(settings(), 4);
    world.deliver(vec![Event::EndpointListChanged(vec![
        list_entry(0, Lifecycle::Removed, None),
        list_entry(1, Lifecycle::Removed, None),
    ])]);
    let (id, actions) = world.query(0, &[0, 2]);
    assert!(
        matches!(final_answers(&actions)[..], [Action::Reject { query, retry_after: Some(_) }] if query == id)
    );
    assert!(sent_attempts(&actions).is_empty());
}

#[test]
fn a_failed_watch_is_requested_again_with_growing_backoff() {
    let mut set = settings();
    set.poll_endpoint_list = true;
    let mut world = World::new(set, 0);
    let mut requests = Vec::new();
    for _ in 0..1000 {
        if world.wait(ms(10)).contains(&Action::WatchEndpointList) {
            requests.push(world.now);
            world.deliver(vec![Event::WatchFailed]);
        }
    }
    assert!(requests.len() >= 4, "{requests:?}");
    let waits: Vec<i64> = requests.windows(2).map(|pair| (pair[1] - pair[0]).0).collect();
    assert!(waits[2] > waits[0], "{waits:?}");
    assert!(
        waits.iter().all(|wait| *wait < 1_850_000),
        "three requests fit into the time after which a change counts as notified"
    );
}

#[test]
fn a_watch_lost_without_open_queries_is_requested_again_by_a_timer() {
    let mut set = settings();
    set.poll_endpoint_list = true;
    let mut world = World::new(set, 0);
    while !world.wait(ms(10)).contains(&Action::WatchEndpointList) {}
    world.deliver(vec![complete_list(4)]);
    world.wait(ms(1000));
    let mut actions = world.deliver(vec![Event::WatchFailed]);
    // From here on nothing happens but the timers that the decision core itself has set.
    for _ in 0..100 {
        let waits: Vec<Micros> = actions
            .iter()
            .filter_map(|a| if let Action::SetTimer(wait) = a { Some(*wait) } else { None })
            .collect();
        let wait = *waits.iter().min().expect("a timer is set as long as the list is lost");
        actions = world.wait(wait);
        if actions.contains(&Action::WatchEndpointList) {
            return;
        }
    }
    panic!("the list was never requested again");
}

#[test]
fn an_unanswered_watch_request_is_repeated() {
    let mut set = settings();
    set.poll_endpoint_list = true;
    let mut world = World::new(set, 0);
    let requests = (0..1000).filter(|_| world.wait(ms(10)).contains(&Action::WatchEndpointList)).count();
    assert!((2..=3).contains(&requests), "{requests}");
}

#[test]
fn front_nodes_that_restart_together_spread_their_first_polls() {
    let mut set = settings();
    set.poll_endpoint_list = true;
    set.fleet_size = 100;
    let first = |seed| {
        let mut world = World::new(set.clone(), 0);
        world.node = pinetrestle::FrontNode::new(set.clone(), seed, world.now);
        (0..1000).find(|_| world.wait(ms(10)).contains(&Action::WatchEndpointList)).expect("it polls")
    };
    let moments: std::collections::BTreeSet<u32> = (0..20).map(first).collect();
    assert!(moments.len() > 10, "{moments:?}");
}

#[test]
fn polls_are_bounded_where_no_poll_interval_is_stated() {
    let mut set = settings();
    set.poll_endpoint_list = true;
    set.rules.max_list_staleness = Micros(0);
    let mut world = World::new(set, 0);
    let mut requests = 0;
    for _ in 0..1000 {
        if world.wait(ms(10)).contains(&Action::WatchEndpointList) {
            requests += 1;
            world.deliver(vec![Event::WatchFailed]);
        }
    }
    assert!((5..=40).contains(&requests), "{requests} in ten seconds");
}

#[test]
fn an_empty_list_and_a_duplicate_entry_leave_each_query_one_final_answer() {
    let mut world = World::new(settings(), 4);
    world.learn_latencies(5);
    // Named twice in one list: the later entry counts, and it is one replica, not two.
    let twice = vec![
        list_entry(0, Lifecycle::Removed, None),
        list_entry(0, Lifecycle::InService, None),
        list_entry(1, Lifecycle::InService, None),
        list_entry(1, Lifecycle::Draining, None),
    ];
    world.deliver(vec![Event::EndpointList { replicas: twice, cached: false }]);
    let (served, actions) = world.query(0, &[0]);
    assert_eq!(sent_attempts(&actions).iter().map(|(_, replica)| *replica).collect::<Vec<_>>(), [0]);
    world.now = world.now + ms(100);
    let actions = world.end_attempts(Outcome::Ok, |_| true);
    assert_eq!(final_answers(&actions), [Action::Answer { query: served, complete: true }]);
    // An empty list removes every replica: nothing is sent, and the query ends before its deadline.
    world.deliver(vec![Event::EndpointList { replicas: Vec::new(), cached: false }]);
    let (id, events) = world.query_events(0, &[0, 1], ms(800));
    let mut ends = final_answers(&world.deliver(events));
    for _ in 0..40 {
        let actions = world.wait(ms(20));
        assert!(sent_attempts(&actions).is_empty());
        ends.extend(final_answers(&actions));
    }
    assert!(matches!(ends[..], [Action::Reject { query, .. }] if query == id), "{ends:?}");
}

#[test]
fn a_gone_replica_is_forgotten_once_nothing_of_it_counts() {
    let mut world = World::new(settings(), 4);
    world.learn_latencies(20);
    for generation in 1..400_u32 {
        // Each generation replaces the one before under new numbers, with attempts in flight and failures behind it.
        let fresh = |n| list_entry(generation * 4 + n, Lifecycle::InService, None);
        let old = |n| list_entry((generation - 1) * 4 + n, Lifecycle::Removed, None);
        world.query(0, &[0, 1, 2, 3]);
        world.deliver(vec![Event::EndpointListChanged((0..4).map(fresh).chain((0..4).map(old)).collect())]);
        world.end_attempts(Outcome::Reset, |replica| replica < generation * 4);
        world.now = world.now + ms(300);
        world.end_attempts(Outcome::Ok, |_| true);
    }
    assert!(world.node.tracked_replicas() < 200, "{} of 1600 replicas", world.node.tracked_replicas());
    world.wait(ms(20_000));
    world.deliver(vec![Event::TimerFired]);
    assert_eq!(world.node.tracked_replicas(), 4, "only those listed");
}
