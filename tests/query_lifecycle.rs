//! Queries from arrival to final answer: the parts sent, the second step, partial and late answers,
//! deadlines.

mod common;

use common::*;
use pinetrestle::interface::*;

#[test]
fn a_class_that_needs_n_of_k_parts_sends_n_and_answers_once_n_are_answered() {
    let mut harness = Harness::new(base_settings(), 8);
    let (id, actions) = harness.query(1, &[0, 1, 2, 3]);
    assert_eq!(sent_attempts(&actions).len(), 3, "three of four parts are needed");
    harness.now = harness.now + ms(50);
    let actions = harness.end_attempts(Outcome::Ok, |_| true);
    assert_eq!(final_answers(&actions), [Action::Answer { query: id, complete: true }]);
}

#[test]
fn the_complete_share_is_counted_by_weight_not_by_number_of_parts() {
    let mut harness = Harness::new(base_settings(), 8);
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
    let actions = harness.deliver(events);
    assert!(
        sent_attempts(&actions).iter().any(|(part, _)| *part == 2),
        "three quarters of the weight can't be reached without the heavy part"
    );
    harness.now = harness.now + ms(50);
    // The heavy part alone has less weight than a complete answer needs.
    let event = harness.attempt_ended(2, 0, Outcome::Ok);
    assert!(final_answers(&harness.deliver(vec![event])).is_empty());
    let actions = harness.end_attempts(Outcome::Ok, |_| true);
    assert_eq!(final_answers(&actions), [Action::Answer { query: 1, complete: true }]);
}

fn harness_with_two_steps() -> Harness {
    let mut settings = base_settings();
    settings.classes[0].second_step_parts = 2;
    Harness::new(settings, 8)
}

#[test]
fn a_second_step_follows_the_first_answer_and_needs_all_parts() {
    let mut harness = harness_with_two_steps();
    let (id, _) = harness.query(0, &[0, 1]);
    harness.now = harness.now + ms(50);
    let actions = harness.end_attempts(Outcome::Ok, |_| true);
    assert_eq!(final_answers(&actions), [Action::Answer { query: id, complete: true }]);
    let number = u64::from(id);
    let part = |id, shard| Event::Part { id, query_number: number, shard, weight: 0.5, work_hint: None };
    let actions = harness.deliver(vec![part(100, 0), part(101, 1)]);
    assert_eq!(sent_attempts(&actions).len(), 2);
    harness.now = harness.now + ms(50);
    let event = harness.attempt_ended(100, 0, Outcome::Ok);
    assert!(
        final_answers(&harness.deliver(vec![event])).is_empty(),
        "half of the second step must not be an answer"
    );
    let event = harness.attempt_ended(101, 0, Outcome::Ok);
    assert_eq!(final_answers(&harness.deliver(vec![event])), [Action::Answer { query: id, complete: true }]);
}

#[test]
fn a_query_with_an_unanswered_second_step_is_rejected() {
    let mut harness = harness_with_two_steps();
    let (id, _) = harness.query(0, &[0, 1]);
    harness.now = harness.now + ms(50);
    harness.end_attempts(Outcome::Ok, |_| true);
    harness.deliver(vec![Event::Part {
        id: 100,
        query_number: u64::from(id),
        shard: 0,
        weight: 1.0,
        work_hint: None,
    }]);
    let mut ends = Vec::new();
    for _ in 0..200 {
        ends.extend(final_answers(&harness.wait(ms(20))));
    }
    assert!(matches!(ends[..], [Action::Reject { query, .. }] if query == id), "{ends:?}");
}

#[test]
fn an_unanswered_query_ends_before_its_clients_deadline() {
    let mut harness = Harness::new(base_settings(), 4);
    let (id, mut events) = harness.query_events(0, &[0], ms(800));
    events.truncate(2);
    let start = harness.now;
    let actions = harness.deliver(events);
    let timers: Vec<Micros> = actions
        .iter()
        .filter_map(|a| if let Action::SetTimer(wait) = a { Some(*wait) } else { None })
        .collect();
    assert!(
        timers.iter().any(|wait| *wait > ms(700) && *wait < ms(800)),
        "the query has a timer of its own: {timers:?}"
    );
    let mut end = None;
    for _ in 0..200 {
        for action in final_answers(&harness.wait(ms(5))) {
            assert_eq!(end, None, "a second final answer");
            assert!(matches!(action, Action::Reject { query, .. } if query == id));
            end = Some(harness.now - start);
        }
    }
    assert!(end.is_some_and(|end| end < ms(800)), "{end:?}");
}

#[test]
fn nothing_is_sent_or_answered_after_the_client_disconnects() {
    let mut harness = Harness::new(base_settings(), 4);
    let (id, _) = harness.query(0, &[0]);
    let actions = harness.deliver(vec![Event::ClientDisconnected(id)]);
    assert!(actions.iter().any(|action| matches!(action, Action::Cancel { .. })));
    let actions = harness.end_attempts(Outcome::Ok, |_| true);
    assert!(final_answers(&actions).is_empty() && sent_attempts(&actions).is_empty());
    assert!(final_answers(&harness.wait(ms(5000))).is_empty());
}

#[test]
fn a_partial_answer_needs_the_minimum_share_and_is_not_marked_complete() {
    for (answered_parts, is_partial) in [(1, false), (2, true)] {
        let mut settings = base_settings();
        settings.classes[0].partial_min_share = 0.5;
        let mut harness = Harness::new(settings, 8);
        harness.query(0, &[0, 1, 2, 3]);
        harness.now = harness.now + ms(50);
        let answered: Vec<(Id, u32)> = harness.in_flight.keys().take(answered_parts).copied().collect();
        let events =
            answered.into_iter().map(|(part, n)| harness.attempt_ended(part, n, Outcome::Ok)).collect();
        let mut ends = final_answers(&harness.deliver(events));
        assert!(ends.is_empty(), "the query must wait for a better answer");
        for _ in 0..200 {
            ends.extend(final_answers(&harness.wait(ms(20))));
        }
        assert_eq!(ends.len(), 1);
        assert_eq!(matches!(ends[0], Action::Answer { complete: false, .. }), is_partial, "{ends:?}");
    }
}

#[test]
fn a_query_whose_late_answer_earns_nothing_ends_at_its_latency_objective() {
    let mut settings = base_settings();
    settings.classes[0].late_weight_share = 0.0;
    let mut harness = Harness::new(settings, 4);
    harness.query(0, &[0]);
    let start = harness.now;
    let end = (0..300).find(|_| !final_answers(&harness.wait(ms(5))).is_empty());
    assert!(end.is_some() && harness.now - start <= ms(1000));
}

#[test]
fn a_query_waits_for_a_late_answer_only_if_it_earns_more_than_wasted_work_costs() {
    for (cost, second_step_parts, end) in
        [(0.0, 0, ms(3000)), (0.15, 0, ms(3000)), (0.15, 2, ms(1000)), (0.3, 0, ms(1000))]
    {
        let mut settings = base_settings(); // late answers earn 0.2; the objective is 1 s
        settings.wasted_work_cost = cost;
        settings.classes[0].second_step_parts = second_step_parts;
        let mut harness = Harness::new(settings, 4);
        let start = harness.now;
        harness.query(0, &[0]);
        while final_answers(&harness.wait(ms(5))).is_empty() {}
        assert!(
            harness.now - start <= end && harness.now - start > end - ms(50),
            "cost {cost}, {second_step_parts} parts in the second step"
        );
    }
}

#[test]
fn unknown_classes_are_rejected_and_unknown_ids_ignored() {
    let mut harness = Harness::new(base_settings(), 4);
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
        harness.deliver(vec![query, part, stray, Event::ClientDisconnected(55), Event::HealthChecked]);
    assert_eq!(actions, [Action::Reject { query: 9, retry_after: None }]);
}
