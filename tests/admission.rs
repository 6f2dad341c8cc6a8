//! Admission and load shedding: surges, quotas, the time left for a query, free capacity of shards and
//! replicas.

mod common;

use common::*;
use pinetrestle::interface::*;

/// Runs a surge of 80 rounds: in each, one query per entry of `tenants` arrives, and after 100 ms the
/// replicas answer only six attempts. Returns the ids of the queries that were rejected without an attempt
/// after the first 21 rounds, and the number of all queries.
fn surge(harness: &mut Harness, class: usize, tenants: &[usize]) -> (Vec<Id>, u32) {
    let (mut rejected, mut offered) = (Vec::new(), 0);
    for round in 0..80 {
        for tenant in tenants {
            let (id, mut events) = harness.query_events(class, &[0, 1, 2, 3], ms(3000));
            if let Event::Query { tenant: field, .. } = &mut events[0] {
                *field = Some(*tenant);
            }
            offered += 1;
            let actions = harness.deliver(events);
            if round > 20 && sent_attempts(&actions).is_empty() && !final_answers(&actions).is_empty() {
                rejected.push(id);
            }
        }
        harness.now = harness.now + ms(100);
        let due: Vec<(Id, u32)> = harness.in_flight.keys().take(6).copied().collect();
        let events = due.into_iter().map(|(part, n)| harness.attempt_ended(part, n, Outcome::Ok)).collect();
        harness.deliver(events);
        let cancelled: Vec<(Id, u32)> = harness
            .last_actions
            .iter()
            .filter_map(
                |a| if let Action::Cancel { part, attempt } = a { Some((*part, *attempt)) } else { None },
            )
            .collect();
        let events =
            cancelled.into_iter().filter(|key| harness.in_flight.contains_key(key)).collect::<Vec<_>>();
        let events =
            events.into_iter().map(|(part, n)| harness.attempt_ended(part, n, Outcome::Cancelled)).collect();
        harness.deliver(events);
    }
    (rejected, offered)
}

#[test]
fn a_surge_is_shed_early_and_some_queries_still_pass() {
    let mut harness = Harness::new(base_settings(), 4);
    let (rejected, offered) = surge(&mut harness, 0, &[0, 0, 0]);
    assert!(rejected.len() > 60, "{} of {offered}", rejected.len());
    assert!((rejected.len() as u32) < offered - 60, "{} of {offered}", rejected.len());
}

#[test]
fn a_rejection_has_no_retry_after_if_the_deployment_sends_none() {
    let mut settings = base_settings();
    settings.limits.send_retry_after = false;
    let mut harness = Harness::new(settings, 4);
    let (_, events) = harness.query_events(0, &[0], ms(2));
    let actions = harness.deliver(events);
    assert!(matches!(final_answers(&actions)[..], [Action::Reject { retry_after: None, .. }]));
}

#[test]
fn a_tenant_over_its_quota_is_shed_first() {
    let mut harness = Harness::new(base_settings(), 4);
    let (mut per_tenant, mut tenants) = ([0, 0], Vec::new());
    let (rejected, _) = surge(&mut harness, 0, &[0, 1, 0]);
    for id in rejected {
        // Each round has three queries of five ids each (a query and four parts). Tenant 1 has the second
        // one.
        tenants.push(usize::from((id - 1) / 5 % 3 == 1));
    }
    tenants.iter().for_each(|tenant| per_tenant[*tenant] += 1);
    assert!(per_tenant[1] > per_tenant[0] / 2 + 5, "rejected by tenant: {per_tenant:?}");
}

#[test]
fn a_query_without_enough_time_left_is_rejected_immediately() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20); // a part takes 100 ms, a try has 3 s
    let (id, events) = harness.query_events(0, &[0, 1], ms(150));
    let actions = harness.deliver(events);
    assert!(matches!(final_answers(&actions)[..], [Action::Reject { query, .. }] if query == id));
    assert!(sent_attempts(&actions).is_empty());
}

#[test]
fn a_shard_without_capacity_does_not_affect_queries_to_other_shards() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    harness.deliver(vec![Event::EndpointListChanged(vec![list_entry(1, Lifecycle::Removed, None)])]);
    // Shard 0 is held by replica 0 only, which rejects everything. Shard 2 is held by replicas 2 and 3.
    let (mut without_capacity, mut others_rejected) = (0, 0);
    for round in 0..60 {
        let (_, actions) = harness.query(0, &[0, 2]);
        let rejected = !final_answers(&actions).is_empty() && sent_attempts(&actions).is_empty();
        without_capacity += u32::from(round > 10 && rejected);
        let (_, actions) = harness.query(0, &[2]);
        others_rejected += u32::from(sent_attempts(&actions).is_empty());
        harness.now = harness.now + ms(20);
        harness.end_attempts(Outcome::Rejected, |replica| replica == 0);
        harness.now = harness.now + ms(60);
        harness.end_attempts(Outcome::Ok, |replica| replica != 0);
    }
    assert!(without_capacity > 15, "{without_capacity} of 49 rejected immediately");
    assert_eq!(others_rejected, 0, "queries to shard 2 only must not be affected");
}

#[test]
fn short_tries_are_admitted_if_retries_are_marked_or_if_all_tries_are_short() {
    let mut settings = base_settings();
    settings.classes[0].late_weight_share = 0.0;
    settings.clients_mark_retries = true;
    let mut harness = Harness::new(settings.clone(), 4);
    harness.learn_latencies(20); // tries have 3 s
    let (_, events) = harness.query_events(0, &[0], ms(700));
    assert_eq!(sent_attempts(&harness.deliver(events)).len(), 1, "a short first try is admitted");
    let (_, mut events) = harness.query_events(0, &[2], ms(700));
    if let Event::Query { retry, .. } = &mut events[0] {
        *retry = true;
    }
    let actions = harness.deliver(events);
    assert!(
        sent_attempts(&actions).is_empty(),
        "a retry is rejected if its client has waited longer than the objective: {actions:?}"
    );
    settings.clients_mark_retries = false;
    let mut harness = Harness::new(settings, 4);
    harness.learn_latencies(20);
    let mut served = Vec::new();
    for _ in 0..30 {
        let (_, events) = harness.query_events(0, &[0], ms(700));
        served.push(!sent_attempts(&harness.deliver(events)).is_empty());
        harness.now = harness.now + ms(100);
        harness.end_attempts(Outcome::Ok, |_| true);
    }
    assert!(!served[0] && served[20..].iter().all(|was_served| *was_served), "{served:?}");
}

#[test]
fn a_full_front_node_does_not_shed_while_parts_are_answered_fast() {
    let mut settings = base_settings();
    settings.fleet_size = 60;
    settings.limits.max_in_flight = 12;
    let mut harness = Harness::new(settings, 8);
    harness.learn_latencies(20);
    for _ in 0..4 {
        let (_, actions) = harness.query(0, &[0, 1, 2, 3]);
        assert_eq!(sent_attempts(&actions).len(), 4, "{actions:?}");
    }
}

#[test]
fn while_shedding_the_minimum_in_flight_is_shared_by_all_front_nodes() {
    let mut harness = harness_with_100_replicas();
    for round in 0..10 {
        harness.query(0, &[round * 9, round * 9 + 3, round * 9 + 6, round * 9 + 8]);
        harness.now = harness.now + ms(800);
        harness.end_attempts(Outcome::Ok, |_| true);
    }
    // Ten parts at each of a hundred replicas, shared by sixty front nodes, are about 17 parts for each: a
    // few queries of four parts, far less than two parts at each replica.
    let served = (0..10).filter(|_| !sent_attempts(&harness.query(0, &[5, 25, 45, 65]).1).is_empty()).count();
    assert!((1..=4).contains(&served), "{served} of ten queries served");
}

#[test]
fn with_many_front_nodes_few_parts_exhaust_the_capacity_of_an_unresponsive_replica() {
    let rejected = |fleet_size| {
        let mut settings = base_settings();
        settings.fleet_size = fleet_size;
        let mut harness = Harness::new(settings, 2);
        let query = |harness: &mut Harness| harness.query(0, &[0, 0]).1;
        let first = query(&mut harness);
        assert_eq!(sent_attempts(&first).len(), 2);
        query(&mut harness);
        let third = query(&mut harness);
        sent_attempts(&third).is_empty() && final_answers(&third).len() == 1
    };
    assert!(!rejected(2) && rejected(60));
}

/// Every eighth round of attempts is reset, which is far more than in a healthy service.
#[test]
fn replicas_that_reset_some_parts_and_answer_others_have_capacity() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    let (mut rejected, mut retries) = (0, 0);
    for round in 0..200_u32 {
        let (_, actions) = harness.query(0, &[0]);
        rejected += u32::from(sent_attempts(&actions).is_empty());
        harness.now = harness.now + ms(10);
        if round % 8 == 0 {
            retries += harness.end_attempts(Outcome::Reset, |_| true).len();
        }
        harness.now = harness.now + ms(10);
        harness.end_attempts(Outcome::Ok, |_| true);
    }
    assert_eq!(rejected, 0, "rejected of 200 queries; {retries} retries followed a reset");
}

#[test]
fn replicas_that_reset_everything_have_no_capacity() {
    let mut harness = Harness::new(base_settings(), 4);
    harness.learn_latencies(20);
    let mut rejected = 0;
    for _ in 0..100 {
        let (_, actions) = harness.query(0, &[0]);
        rejected += u32::from(sent_attempts(&actions).is_empty());
        harness.now = harness.now + ms(10);
        harness.end_attempts(Outcome::Reset, |_| true);
        harness.now = harness.now + ms(10);
    }
    assert!(rejected > 50, "{rejected} of 100 rejected immediately");
}

/// Has all replicas fail the attempts of some queries that were sent at once. Queries are rejected then, and
/// nothing is in flight.
fn harness_after_failures_of_all_replicas() -> Harness {
    let mut harness = Harness::new(base_settings(), 8);
    harness.learn_latencies(20);
    for _ in 0..20 {
        harness.query(0, &[0, 1, 2, 3]);
    }
    while !harness.in_flight.is_empty() {
        harness.now = harness.now + ms(20);
        harness.end_attempts(Outcome::Error, |_| true);
    }
    let (id, actions) = harness.query(0, &[0, 1]);
    assert!(matches!(final_answers(&actions)[..], [Action::Reject { query, .. }] if query == id));
    harness
}

#[test]
fn queries_are_served_again_soon_after_all_replicas_failed_and_recovered() {
    let mut harness = harness_after_failures_of_all_replicas();
    // Clients ask all the time, and are rejected at once.
    let failed_at = harness.now;
    let (query, actions) = loop {
        harness.wait(ms(50));
        let (id, actions) = harness.query(0, &[0, 1]);
        if !sent_attempts(&actions).is_empty() {
            break (id, actions);
        }
        assert_eq!(final_answers(&actions).len(), 1, "what is rejected is rejected at once");
    };
    assert!(harness.now - failed_at <= ms(1600), "{:?}", harness.now - failed_at);
    assert_eq!(sent_attempts(&actions).len(), 2);
    harness.now = harness.now + ms(100);
    let actions = harness.end_attempts(Outcome::Ok, |_| true);
    assert_eq!(final_answers(&actions), [Action::Answer { query, complete: true }]);
    // Replicas that have answered take further queries.
    assert_eq!(sent_attempts(&harness.query(0, &[0, 1]).1).len(), 2);
}

#[test]
fn replicas_that_go_on_failing_are_probed_by_single_queries() {
    let mut harness = harness_after_failures_of_all_replicas();
    let (mut sent, mut rejected) = (0, 0);
    for _ in 0..200 {
        harness.wait(ms(50));
        let (_, actions) = harness.query(0, &[0]);
        sent += sent_attempts(&actions).len();
        rejected += final_answers(&actions).len();
        harness.now = harness.now + ms(20);
        sent += sent_attempts(&harness.end_attempts(Outcome::Rejected, |_| true)).len();
    }
    // Four replicas hold the shard. In 14 s each of them is probed ten times at most, by a query with two attempts.
    assert!((5..=80).contains(&sent), "{sent} attempts");
    assert!(rejected > 150, "{rejected} rejected at once");
}
