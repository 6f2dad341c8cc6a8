//! A query from its arrival to its final answer: parts sent, steps completed, partial and late answers.

mod common;

use common::*;
use pinetrestle::interface::*;

#[test]
fn an_n_of_k_class_sends_n_parts_and_answers_at_n() {
    let mut world = World::new(settings(), 8);
    let (id, actions) = world.query(1, &[0, 1, 2, 3]);
    assert_eq!(sent_attempts(&actions).len(), 3, "three of four parts are needed");
    world.now = world.now + ms(50);
    let actions = world.end_attempts(Outcome::Ok, |_| true);
    assert_eq!(final_answers(&actions), [Action::Answer { query: id, complete: true }]);
}

#[test]
fn the_complete_share_is_counted_by_weight_not_by_number_of_parts() {
    let mut world = World::new(settings(), 8);
    let mut events = vec![Event::Query {
        id: 1,
        number: 1,
        class: 1,
        tenant: None,
        expires_in: ms(3000),
        work_hint: None,
        retry: false,
    }];
    for (id, weight) in [(2, 0.7), (3, 0.1), (4, 0.1), (5, 0.1)] {
        events.push(Event::Part { id, query_number: 1, shard: id, weight, work_hint: None });
    }
    let actions = world.deliver(events);
    assert!(
        sent_attempts(&actions).iter().any(|(part, _)| *part == 2),
        "no three quarters without the heavy part"
    );
    world.now = world.now + ms(50);
    // The heavy part alone is less than the complete share.
    let event = world.attempt_ended(2, 0, Outcome::Ok);
    assert!(final_answers(&world.deliver(vec![event])).is_empty());
    let actions = world.end_attempts(Outcome::Ok, |_| true);
    assert_eq!(final_answers(&actions), [Action::Answer { query: 1, complete: true }]);
}

fn world_with_two_steps() -> World {
    let mut set = settings();
    set.classes[0].second_step_parts = 2;
    World::new(set, 8)
}

#[test]
fn a_second_step_follows_the_first_answer_and_completes_only_with_all_parts() {
    let mut world = world_with_two_steps();
    let (id, _) = world.query(0, &[0, 1]);
    world.now = world.now + ms(50);
    let actions = world.end_attempts(Outcome::Ok, |_| true);
    assert_eq!(final_answers(&actions), [Action::Answer { query: id, complete: true }]);
    let number = u64::from(id);
    let part = |id, shard| Event::Part { id, query_number: number, shard, weight: 0.5, work_hint: None };
    let actions = world.deliver(vec![part(100, 0), part(101, 1)]);
    assert_eq!(sent_attempts(&actions).len(), 2);
    world.now = world.now + ms(50);
    let event = world.attempt_ended(100, 0, Outcome::Ok);
    assert!(final_answers(&world.deliver(vec![event])).is_empty(), "half of the second step is no answer");
    let event = world.attempt_ended(101, 0, Outcome::Ok);
    assert_eq!(final_answers(&world.deliver(vec![event])), [Action::Answer { query: id, complete: true }]);
}

#[test]
fn an_unanswered_second_step_ends_without_an_answer() {
    let mut world = world_with_two_steps();
    let (id, _) = world.query(0, &[0, 1]);
    world.now = world.now + ms(50);
    world.end_attempts(Outcome::Ok, |_| true);
    world.deliver(vec![Event::Part {
        id: 100,
        query_number: u64::from(id),
        shard: 0,
        weight: 1.0,
        work_hint: None,
    }]);
    let mut ends = Vec::new();
    for _ in 0..200 {
        ends.extend(final_answers(&world.wait(ms(20))));
    }
    assert!(matches!(ends[..], [Action::Reject { query, .. }] if query == id), "{ends:?}");
}

#[test]
fn an_unanswered_query_ends_before_its_clients_deadline() {
    let mut world = World::new(settings(), 4);
    let (id, mut events) = world.query_events(0, &[0], ms(800));
    events.truncate(2);
    let start = world.now;
    let actions = world.deliver(events);
    let timers: Vec<Micros> = actions
        .iter()
        .filter_map(|a| if let Action::SetTimer(span) = a { Some(*span) } else { None })
        .collect();
    assert!(timers.iter().any(|span| *span > ms(700) && *span < ms(800)), "a timer of its own: {timers:?}");
    let mut end = None;
    for _ in 0..200 {
        for action in final_answers(&world.wait(ms(5))) {
            assert_eq!(end, None, "one final answer");
            assert!(matches!(action, Action::Reject { query, .. } if query == id));
            end = Some(world.now - start);
        }
    }
    assert!(end.is_some_and(|end| end < ms(800)), "{end:?}");
}

#[test]
fn nothing_is_sent_or_answered_after_the_client_disconnects() {
    let mut world = World::new(settings(), 4);
    let (id, _) = world.query(0, &[0]);
    let actions = world.deliver(vec![Event::ClientDisconnected(id)]);
    assert!(actions.iter().any(|action| matches!(action, Action::Cancel { .. })));
    let actions = world.end_attempts(Outcome::Ok, |_| true);
    assert!(final_answers(&actions).is_empty() && sent_attempts(&actions).is_empty());
    assert!(final_answers(&world.wait(ms(5000))).is_empty());
}

#[test]
fn a_partial_answer_needs_the_floor_and_is_not_marked_complete() {
    for (landed, partial) in [(1, false), (2, true)] {
        let mut set = settings();
        set.classes[0].partial_min_share = 0.5;
        let mut world = World::new(set, 8);
        world.query(0, &[0, 1, 2, 3]);
        world.now = world.now + ms(50);
        let some: Vec<(Id, u32)> = world.in_flight.keys().take(landed).copied().collect();
        let events = some.into_iter().map(|(part, n)| world.attempt_ended(part, n, Outcome::Ok)).collect();
        let mut ends = final_answers(&world.deliver(events));
        assert!(ends.is_empty(), "waiting may still do better");
        for _ in 0..200 {
            ends.extend(final_answers(&world.wait(ms(20))));
        }
        assert_eq!(ends.len(), 1);
        assert_eq!(matches!(ends[0], Action::Answer { complete: false, .. }), partial, "{ends:?}");
    }
}

#[test]
fn a_query_worth_nothing_late_ends_at_its_latency_objective() {
    let mut set = settings();
    set.classes[0].late_weight_share = 0.0;
    let mut world = World::new(set, 4);
    world.query(0, &[0]);
    let start = world.now;
    let end = (0..300).find(|_| !final_answers(&world.wait(ms(5))).is_empty());
    assert!(end.is_some() && world.now - start <= ms(1000));
}

#[test]
fn a_late_answer_is_awaited_only_where_it_earns_more_than_the_waste_costs() {
    for (price, second_step, by) in
        [(0.0, 0, ms(3000)), (0.15, 0, ms(3000)), (0.15, 2, ms(1000)), (0.3, 0, ms(1000))]
    {
        let mut set = settings(); // late answers earn 0.2, after an objective of one second
        set.wasted_work_cost = price;
        set.classes[0].second_step_parts = second_step;
        let mut world = World::new(set, 4);
        let start = world.now;
        world.query(0, &[0]);
        while final_answers(&world.wait(ms(5))).is_empty() {}
        assert!(world.now - start <= by && world.now - start > by - ms(50), "price {price}, {second_step}");
    }
}

#[test]
fn unknown_classes_are_rejected_and_unknown_ids_ignored() {
    let mut world = World::new(settings(), 4);
    let query = Event::Query {
        id: 9,
        number: 9,
        class: usize::MAX,
        tenant: None,
        expires_in: ms(500),
        work_hint: None,
        retry: false,
    };
    let part = Event::Part { id: 10, query_number: 9, shard: 0, weight: 1.0, work_hint: None };
    let stray = Event::AttemptEnded { part: 77, attempt: 3, outcome: Outcome::Ok, elapsed: ms(5) };
    let actions =
        world.deliver(vec![query, part, stray, Event::ClientDisconnected(55), Event::HealthChecked]);
    assert_eq!(actions, [Action::Reject { query: 9, retry_after: None }]);
}
