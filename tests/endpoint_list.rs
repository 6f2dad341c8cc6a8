//! The endpoint list: lifecycle changes, lost watches, polls and their backoff, removed replicas.

mod common;

use common::*;
use pinetrestle::interface::*;

#[test]
fn draining_and_removed_replicas_get_no_new_attempts() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Removed] {
        let mut harness = Harness::new(base_settings(), 4);
        harness.deliver(vec![Event::EndpointListChanged(vec![list_entry(0, lifecycle, None)])]);
        for _ in 0..30 {
            let (_, actions) = harness.query(0, &[0]);
            assert_eq!(sent_attempts(&actions)[0].1, 1);
            harness.now = harness.now + ms(50);
            harness.end_attempts(Outcome::Ok, |_| true);
        }
    }
}

#[test]
fn a_replica_missing_from_a_complete_list_is_removed() {
    let mut harness = Harness::new(base_settings(), 4);
    let rest = (1..4).map(|n| list_entry(n, Lifecycle::InService, None)).collect();
    harness.deliver(vec![Event::EndpointList { replicas: rest, cached: false }]);
    for _ in 0..6 {
        let (_, actions) = harness.query(0, &[0]);
        assert_eq!(sent_attempts(&actions)[0].1, 1);
    }
}

#[test]
fn parts_in_flight_at_a_removed_replica_are_retried_elsewhere_immediately() {
    let mut harness = Harness::new(base_settings(), 4);
    let (_, actions) = harness.query(0, &[0]);
    let (part, first) = sent_attempts(&actions)[0];
    let actions =
        harness.deliver(vec![Event::EndpointListChanged(vec![list_entry(first, Lifecycle::Removed, None)])]);
    assert_eq!(sent_attempts(&actions), [(part, 1 - first)]);
}

#[test]
fn a_query_waits_for_an_endpoint_list_if_there_is_none() {
    let mut harness = Harness::new(base_settings(), 0);
    let (_, actions) = harness.query(0, &[0, 1]);
    assert!(sent_attempts(&actions).is_empty() && final_answers(&actions).is_empty());
    let actions = harness.deliver(vec![complete_list(4)]);
    assert_eq!(sent_attempts(&actions).len(), 2);
}

#[test]
fn a_query_whose_shard_has_no_replica_in_service_is_rejected_immediately() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.deliver(vec![Event::EndpointListChanged(vec![
        list_entry(0, Lifecycle::Removed, None),
        list_entry(1, Lifecycle::Removed, None),
    ])]);
    let (id, actions) = harness.query(0, &[0, 2]);
    assert!(
        matches!(final_answers(&actions)[..], [Action::Reject { query, retry_after: Some(_) }] if query == id)
    );
    assert!(sent_attempts(&actions).is_empty());
}

#[test]
fn a_failed_watch_is_requested_again_with_growing_backoff() {
    let mut settings = base_settings();
    settings.list_delivery = ListDelivery::Polled;
    let mut harness = Harness::new(settings, 0);
    let mut requests = Vec::new();
    for _ in 0..1000 {
        if harness.wait(ms(10)).contains(&Action::WatchEndpointList) {
            requests.push(harness.now);
            harness.deliver(vec![Event::WatchFailed(WatchFailure::Unknown)]);
        }
    }
    assert!(requests.len() >= 4, "{requests:?}");
    let waits: Vec<i64> = requests.windows(2).map(|pair| (pair[1] - pair[0]).0).collect();
    assert!(waits[2] > waits[0], "{waits:?}");
    assert!(
        waits.iter().all(|wait| *wait < 1_850_000),
        "three requests must fit into the time after which a change must be known: {waits:?}"
    );
}

#[test]
fn a_watch_that_fails_without_open_queries_is_requested_again_by_a_timer() {
    let mut settings = base_settings();
    settings.list_delivery = ListDelivery::Polled;
    let mut harness = Harness::new(settings, 0);
    while !harness.wait(ms(10)).contains(&Action::WatchEndpointList) {}
    harness.deliver(vec![complete_list(4)]);
    harness.wait(ms(1000));
    let mut actions = harness.deliver(vec![Event::WatchFailed(WatchFailure::Unknown)]);
    // From here on, the only events are the timers that the decision core sets.
    for _ in 0..100 {
        let waits: Vec<Micros> = actions
            .iter()
            .filter_map(|a| if let Action::SetTimer(wait) = a { Some(*wait) } else { None })
            .collect();
        let wait = *waits.iter().min().expect("a timer must be set until the list is requested");
        actions = harness.wait(wait);
        if actions.contains(&Action::WatchEndpointList) {
            return;
        }
    }
    panic!("the list was not requested again");
}

#[test]
fn an_unanswered_watch_request_is_repeated() {
    let mut settings = base_settings();
    settings.list_delivery = ListDelivery::Polled;
    let mut harness = Harness::new(settings, 0);
    let requests = (0..1000).filter(|_| harness.wait(ms(10)).contains(&Action::WatchEndpointList)).count();
    assert!((2..=3).contains(&requests), "{requests}");
}

#[test]
fn front_nodes_that_restart_together_spread_their_first_polls() {
    let mut settings = base_settings();
    settings.list_delivery = ListDelivery::Polled;
    settings.fleet_size = 100;
    let first_request = |seed| {
        let mut harness = Harness::new(settings.clone(), 0);
        harness.node = pinetrestle::FrontNode::new(settings.clone(), seed, harness.now);
        (0..1000)
            .find(|_| harness.wait(ms(10)).contains(&Action::WatchEndpointList))
            .expect("a request of the list")
    };
    let request_times: std::collections::BTreeSet<u32> = (0..20).map(first_request).collect();
    assert!(request_times.len() > 10, "{request_times:?}");
}

#[test]
fn polls_are_limited_if_the_settings_have_no_maximum_staleness() {
    let mut settings = base_settings();
    settings.list_delivery = ListDelivery::Polled;
    settings.rules.max_list_staleness = Micros(0);
    let mut harness = Harness::new(settings, 0);
    let mut requests = 0;
    for _ in 0..1000 {
        if harness.wait(ms(10)).contains(&Action::WatchEndpointList) {
            requests += 1;
            harness.deliver(vec![Event::WatchFailed(WatchFailure::Unknown)]);
        }
    }
    assert!((5..=40).contains(&requests), "{requests} requests in ten seconds");
}

#[test]
fn each_query_gets_one_final_answer_after_a_duplicate_entry_and_after_an_empty_list() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(5);
    // If a list names a replica twice, the later entry applies and the replica still counts once.
    let duplicates = vec![
        list_entry(0, Lifecycle::Removed, None),
        list_entry(0, Lifecycle::InService, None),
        list_entry(1, Lifecycle::InService, None),
        list_entry(1, Lifecycle::Draining, None),
    ];
    harness.deliver(vec![Event::EndpointList { replicas: duplicates, cached: false }]);
    let (served, actions) = harness.query(0, &[0]);
    assert_eq!(sent_attempts(&actions).iter().map(|(_, replica)| *replica).collect::<Vec<_>>(), [0]);
    harness.now = harness.now + ms(100);
    let actions = harness.end_attempts(Outcome::Ok, |_| true);
    assert_eq!(final_answers(&actions), [Action::Answer { query: served, complete: true }]);
    // An empty list removes all replicas. Nothing is sent, and the query ends before its deadline.
    harness.deliver(vec![Event::EndpointList { replicas: Vec::new(), cached: false }]);
    let (id, events) = harness.query_events(0, &[0, 1], ms(800));
    let mut ends = final_answers(&harness.deliver(events));
    for _ in 0..40 {
        let actions = harness.wait(ms(20));
        assert!(sent_attempts(&actions).is_empty());
        ends.extend(final_answers(&actions));
    }
    assert!(matches!(ends[..], [Action::Reject { query, .. }] if query == id), "{ends:?}");
}

#[test]
fn the_data_of_a_removed_replica_is_dropped_once_it_is_not_used() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    for generation in 1..400_u32 {
        // Each generation of replicas replaces the previous one under new ids. The previous one has attempts
        // in flight, which then fail.
        let added = |n| list_entry(generation * 4 + n, Lifecycle::InService, None);
        let removed = |n| list_entry((generation - 1) * 4 + n, Lifecycle::Removed, None);
        harness.query(0, &[0, 1, 2, 3]);
        harness.deliver(vec![Event::EndpointListChanged(
            (0..4).map(added).chain((0..4).map(removed)).collect(),
        )]);
        harness.end_attempts(Outcome::Reset, |replica| replica < generation * 4);
        harness.now = harness.now + ms(300);
        harness.end_attempts(Outcome::Ok, |_| true);
    }
    assert!(harness.node.tracked_replicas() < 200, "{} of 1600 replicas", harness.node.tracked_replicas());
    harness.wait(ms(20_000));
    harness.deliver(vec![Event::TimerFired]);
    assert_eq!(harness.node.tracked_replicas(), 4, "only replicas on the list");
}
