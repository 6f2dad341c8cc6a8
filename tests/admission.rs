//! Admission and load shedding: surges, quotas, time left, capacity of shards and of the fleet.

mod common;

use common::*;
use pinetrestle::interface::*;

/// Queries keep coming while the replicas answer only so many parts in each 100 ms.
fn surge(world: &mut World, class: usize, tenants: &[usize]) -> (Vec<Id>, u32) {
    let (mut rejected, mut offered) = (Vec::new(), 0);
    for round in 0..80 {
        for tenant in tenants {
            let (id, mut events) = world.query_events(class, &[0, 1, 2, 3], ms(3000));
            if let Event::Query { tenant: field, .. } = &mut events[0] {
                *field = Some(*tenant);
            }
            offered += 1;
            let actions = world.deliver(events);
            if round > 20 && sent_attempts(&actions).is_empty() && !final_answers(&actions).is_empty() {
                rejected.push(id);
            }
        }
        world.now = world.now + ms(100);
        let due: Vec<(Id, u32)> = world.in_flight.keys().take(6).copied().collect();
        let events = due.into_iter().map(|(part, n)| world.attempt_ended(part, n, Outcome::Ok)).collect();
        world.deliver(events);
        let gone: Vec<(Id, u32)> = world
            .last_actions
            .iter()
            .filter_map(
                |a| if let Action::Cancel { part, attempt } = a { Some((*part, *attempt)) } else { None },
            )
            .collect();
        let events = gone.into_iter().filter(|key| world.in_flight.contains_key(key)).collect::<Vec<_>>();
        let events =
            events.into_iter().map(|(part, n)| world.attempt_ended(part, n, Outcome::Cancelled)).collect();
        world.deliver(events);
    }
    (rejected, offered)
}

#[test]
fn a_surge_is_shed_early_and_some_queries_still_pass() {
    let mut world = World::new(settings(), 4);
    let (rejected, offered) = surge(&mut world, 0, &[0, 0, 0]);
    assert!(rejected.len() > 60, "{} of {offered}", rejected.len());
    assert!((rejected.len() as u32) < offered - 60, "{} of {offered}", rejected.len());
}

#[test]
fn no_retry_after_is_given_where_clients_take_none() {
    let mut set = settings();
    set.limits.send_retry_after = false;
    let mut world = World::new(set, 4);
    let (_, events) = world.query_events(0, &[0], ms(2));
    let actions = world.deliver(events);
    assert!(matches!(final_answers(&actions)[..], [Action::Reject { retry_after: None, .. }]));
}

#[test]
fn a_tenant_over_its_quota_is_shed_first() {
    let mut world = World::new(settings(), 4);
    let (mut per_tenant, mut order) = ([0, 0], Vec::new());
    let (rejected, _) = surge(&mut world, 0, &[0, 1, 0]);
    for id in rejected {
        // Three queries of five ids each make a round.
        order.push(usize::from((id - 1) / 5 % 3 == 1));
    }
    order.iter().for_each(|tenant| per_tenant[*tenant] += 1);
    assert!(per_tenant[1] > per_tenant[0] / 2 + 5, "rejected by tenant: {per_tenant:?}");
}

#[test]
fn a_query_without_enough_time_left_is_rejected_at_once() {
    let mut world = World::new(settings(), 4);
    world.learn_latencies(20); // a part takes 100 ms, a try is given 3 s
    let (id, events) = world.query_events(0, &[0, 1], ms(150));
    let actions = world.deliver(events);
    assert!(matches!(final_answers(&actions)[..], [Action::Reject { query, .. }] if query == id));
    assert!(sent_attempts(&actions).is_empty());
}

#[test]
fn a_shard_without_capacity_does_not_hold_up_the_others() {
    let mut world = World::new(settings(), 4);
    world.learn_latencies(20);
    world.deliver(vec![Event::EndpointListChanged(vec![list_entry(1, Lifecycle::Removed, None)])]);
    // Shard 0 is left with replica 0, which has no capacity; shard 2 lives on 2 and 3.
    let (mut without_capacity, mut other) = (0, 0);
    for round in 0..60 {
        let (_, actions) = world.query(0, &[0, 2]);
        let rejected = !final_answers(&actions).is_empty() && sent_attempts(&actions).is_empty();
        without_capacity += u32::from(round > 10 && rejected);
        let (_, actions) = world.query(0, &[2]);
        other += u32::from(sent_attempts(&actions).is_empty());
        world.now = world.now + ms(20);
        world.end_attempts(Outcome::Rejected, |replica| replica == 0);
        world.now = world.now + ms(60);
        world.end_attempts(Outcome::Ok, |replica| replica != 0);
    }
    assert!(without_capacity > 15, "{without_capacity} of 49 rejected at once");
    assert_eq!(other, 0, "what needs shard 2 alone is not affected");
}

#[test]
fn short_first_tries_are_admitted_where_retries_are_marked_or_all_tries_are_short() {
    let mut set = settings();
    set.classes[0].late_weight_share = 0.0;
    set.clients_mark_retries = true;
    let mut world = World::new(set.clone(), 4);
    world.learn_latencies(20); // tries of 3 s
    let (_, events) = world.query_events(0, &[0], ms(700));
    assert_eq!(sent_attempts(&world.deliver(events)).len(), 1, "a first try, with little time");
    let (_, mut events) = world.query_events(0, &[2], ms(700));
    if let Event::Query { retry, .. } = &mut events[0] {
        *retry = true;
    }
    let actions = world.deliver(events);
    assert!(
        sent_attempts(&actions).is_empty(),
        "a retry whose client has waited past its objective: {actions:?}"
    );
    set.clients_mark_retries = false;
    let mut world = World::new(set, 4);
    world.learn_latencies(20);
    let mut served = Vec::new();
    for _ in 0..30 {
        let (_, events) = world.query_events(0, &[0], ms(700));
        served.push(!sent_attempts(&world.deliver(events)).is_empty());
        world.now = world.now + ms(100);
        world.end_attempts(Outcome::Ok, |_| true);
    }
    assert!(!served[0] && served[20..].iter().all(|yes| *yes), "{served:?}");
}

#[test]
fn a_full_front_node_does_not_shed_while_parts_are_answered_fast() {
    let mut set = settings();
    set.fleet_size = 60;
    set.limits.max_in_flight = 12;
    let mut world = World::new(set, 8);
    world.learn_latencies(20);
    for _ in 0..4 {
        let (_, actions) = world.query(0, &[0, 1, 2, 3]);
        assert_eq!(sent_attempts(&actions).len(), 4, "{actions:?}");
    }
}

#[test]
fn under_strain_the_minimum_in_flight_is_shared_by_all_front_nodes() {
    let mut world = world_of_a_hundred_replicas();
    for round in 0..10 {
        world.query(0, &[round * 9, round * 9 + 3, round * 9 + 6, round * 9 + 8]);
        world.now = world.now + ms(800);
        world.end_attempts(Outcome::Ok, |_| true);
    }
    // A hundred replicas, sixty front nodes: eight parts or so each, far from two at each replica.
    let served = (0..10).filter(|_| !sent_attempts(&world.query(0, &[5, 25, 45, 65]).1).is_empty()).count();
    assert!((1..=4).contains(&served), "{served} of ten at once");
}

#[test]
fn with_many_front_nodes_few_parts_fill_an_unresponsive_replica() {
    let rejected = |fleet_size| {
        let mut set = settings();
        set.fleet_size = fleet_size;
        let mut world = World::new(set, 2);
        let query = |world: &mut World| world.query(0, &[0, 0]).1;
        let first = query(&mut world);
        assert_eq!(sent_attempts(&first).len(), 2);
        query(&mut world);
        let third = query(&mut world);
        sent_attempts(&third).is_empty() && final_answers(&third).len() == 1
    };
    assert!(!rejected(2) && rejected(60));
}

/// One round of attempts in eight is reset, which is far more than a healthy service sees.
#[test]
fn replicas_that_reset_some_parts_and_answer_others_have_capacity() {
    let mut world = World::new(settings(), 4);
    world.learn_latencies(20);
    let (mut rejected, mut retries) = (0, 0);
    for round in 0..200_u32 {
        let (_, actions) = world.query(0, &[0]);
        rejected += u32::from(sent_attempts(&actions).is_empty());
        world.now = world.now + ms(10);
        if round % 8 == 0 {
            retries += world.end_attempts(Outcome::Reset, |_| true).len();
        }
        world.now = world.now + ms(10);
        world.end_attempts(Outcome::Ok, |_| true);
    }
    assert_eq!(rejected, 0, "of 200; {retries} attempts followed a reset");
}

#[test]
fn replicas_that_reset_everything_have_no_capacity() {
    let mut world = World::new(settings(), 4);
    world.learn_latencies(20);
    let mut rejected = 0;
    for _ in 0..100 {
        let (_, actions) = world.query(0, &[0]);
        rejected += u32::from(sent_attempts(&actions).is_empty());
        world.now = world.now + ms(10);
        world.end_attempts(Outcome::Reset, |_| true);
        world.now = world.now + ms(10);
    }
    assert!(rejected > 50, "{rejected} of 100 rejected at once");
}
