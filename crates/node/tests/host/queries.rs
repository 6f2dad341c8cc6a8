//! Queries: answers, the second step, wire ids, capacity, deadlines and the graceful shutdown.

use crate::common::{CLASS_ALL, CLASS_ANY, CLASS_STEPS};
use crate::harness::{Harness, MS};
use pinetrestle::interface::Micros;
use pinetrestle_node::host::AdmitError;
use pinetrestle_protocol::connection::{AttemptId, OutgoingPart};
use pinetrestle_protocol::frames::PartOutcome;

#[test]
fn a_query_that_needs_two_of_three_parts_ends_after_two_and_leaves_no_attempt_in_flight() {
    let mut harness = Harness::new();
    let id = harness.submit(CLASS_ANY, &[0, 1, 2]).expect("admitted");
    let attempt_ids = harness.attempt_ids();
    assert!(attempt_ids.len() >= 2, "at least two parts must be sent: {attempt_ids:?}");
    harness.advance(30 * MS);
    harness.answer(attempt_ids[0], PartOutcome::Served, 7, "a\"b");
    assert!(harness.replies.is_empty(), "one answered part is not enough");
    harness.answer(attempt_ids[1], PartOutcome::Served, 8, "c");
    assert_eq!(harness.replies.len(), 1);
    assert_eq!(harness.replies[0].query, id);
    let (body, complete) = harness.served(0);
    assert!(complete && body["entire"] == true);
    assert_eq!(body["items"].as_array().expect("items").len(), 2);
    assert_eq!(harness.served_values(0), ["a\"b", "c"], "the values of the answered parts, unchanged");
    harness.assert_idle();
    harness.assert_balanced();
}

#[test]
fn the_second_step_queries_the_highest_scoring_shards_and_gives_the_final_answer() {
    let mut harness = Harness::new();
    harness.submit(CLASS_STEPS, &[0, 1, 2]).expect("admitted");
    let first: Vec<(AttemptId, u32)> =
        harness.in_flight.iter().map(|(attempt_id, sent)| (*attempt_id, sent.part.shard)).collect();
    assert_eq!(first.len(), 3);
    harness.advance(30 * MS);
    for (attempt_id, shard) in first {
        // Shard 1 scores highest, then shard 2.
        let score = [5, 1_000_000_000_000_000_000_001, 1_000_000_000_000_000_000_000][shard as usize];
        harness.answer(attempt_id, PartOutcome::Served, score, &format!("first {shard}"));
    }
    assert!(harness.replies.is_empty(), "the first step must not end the query");
    let second: Vec<(AttemptId, OutgoingPart)> =
        harness.in_flight.iter().map(|(attempt_id, sent)| (*attempt_id, sent.part.clone())).collect();
    let mut part_ids: Vec<&str> = second.iter().map(|(_, part)| part.id.as_str()).collect();
    part_ids.sort_unstable();
    assert_eq!(part_ids, ["q1.1.phase2", "q1.2.phase2"]);
    for (_, part) in &second {
        assert!(part.attributes.ends_with(",from=0+1+2,whole=1"), "{}", part.attributes);
    }
    harness.advance(30 * MS);
    for (attempt_id, part) in second {
        harness.answer(attempt_id, PartOutcome::Served, 0, &format!("second {}", part.shard));
    }
    let (_, complete) = harness.served(0);
    assert!(complete);
    assert_eq!(harness.served_values(0), ["second 1", "second 2"], "only the values of the second step");
    assert_eq!(harness.counters.classes[CLASS_STEPS].queries.second_steps.get(), 1);
    harness.assert_balanced();
}

#[test]
fn a_disconnected_client_ends_its_query_and_all_its_attempts() {
    let mut harness = Harness::new();
    let id = harness.submit(CLASS_ALL, &[0, 1]).expect("admitted");
    harness.host.client_disconnected(id);
    harness.run_batches();
    harness.assert_idle();
    assert_eq!(harness.counters.classes[CLASS_ALL].queries.client_disconnected.get(), 1);
    harness.host.client_disconnected(id);
    harness.run_batches();
    harness.advance(5000 * MS);
    assert!(harness.replies.is_empty());
    harness.assert_balanced();
}

#[test]
fn a_query_without_any_answer_gets_one_final_reply_before_its_deadline() {
    let mut harness = Harness::new();
    harness.submit(CLASS_ALL, &[0, 1]).expect("admitted");
    harness.advance(2000 * MS);
    assert_eq!(harness.replies.len(), 1, "the query must get its reply before the client's deadline");
    assert_eq!(
        harness.counters.classes[CLASS_ALL].queries.overdue.get(),
        0,
        "the decision core must end the query, not the host's deadline timer"
    );
    harness.assert_balanced();
}

#[test]
fn queries_over_capacity_and_duplicate_ids_are_rejected_at_once() {
    let mut harness = Harness::new();
    let mut admitted = 0;
    let error = loop {
        match harness.submit_without_batch(CLASS_ALL, &[0, 1, 2, 3]) {
            Ok(_) => admitted += 1,
            Err(error) => break error,
        }
    };
    assert_eq!(error, AdmitError::OverCapacity { retry_after: Some(500_000) });
    assert_eq!(admitted, 12, "each query counts as 1 plus its 4 parts, and the maximum is 60");
    assert_eq!(harness.counters.classes[CLASS_ALL].queries.over_capacity.get(), 1);
    harness.submitted = 0;
    assert_eq!(harness.submit_without_batch(CLASS_ALL, &[0]), Err(AdmitError::DuplicateId));
    harness.advance(3000 * MS);
    assert_eq!(harness.replies.len(), admitted);
    harness.assert_balanced();
}

#[test]
fn a_shutdown_deadline_ends_open_queries_and_shortens_later_ones() {
    let mut harness = Harness::new();
    harness.submit(CLASS_ALL, &[0]).expect("admitted");
    harness.host.set_shutdown_deadline(Micros(harness.now + 300 * MS));
    harness.submit(CLASS_ALL, &[1]).expect("still admitted");
    harness.advance(299 * MS);
    assert_eq!(
        harness.replies.len(),
        1,
        "the decision core must end the query with the shortened time before its deadline"
    );
    harness.advance(MS);
    assert_eq!(harness.replies.len(), 2);
    assert_eq!(harness.counters.classes[CLASS_ALL].queries.overdue.get(), 1);
    assert_eq!((harness.host.open_queries(), harness.host.attempts_in_flight()), (0, 0));
    harness.assert_balanced();
}

/// Guards against an id that runs twice: its client leaves, the queries of another displace it, and it comes again.
#[test]
fn rejected_queries_do_not_displace_the_id_of_a_query_that_was_sent() {
    let mut harness = Harness::new();
    let first = harness.submit(CLASS_ALL, &[0]).expect("admitted");
    assert_eq!(harness.in_flight.len(), 1, "a part of the query was sent");
    harness.host.client_disconnected(first);
    harness.run_batches();
    for number in 0..40_000 {
        // As many as are rejected for lack of capacity, and some that are admitted and end before a part is sent.
        let shards: Vec<u32> = if number % 2 == 0 { (0..60).collect() } else { vec![0] };
        if let Ok(id) = harness.submit_without_batch(CLASS_ALL, &shards) {
            harness.host.client_disconnected(id);
        }
    }
    harness.run_batches();
    harness.submitted = 0;
    assert_eq!(harness.submit(CLASS_ALL, &[0]), Err(AdmitError::DuplicateId));
}

#[test]
fn a_wire_id_can_be_used_again_only_some_time_after_its_query_was_answered() {
    let mut harness = Harness::new();
    harness.submit(CLASS_ALL, &[0]).expect("admitted");
    let attempt_id = harness.attempt_ids()[0];
    harness.answer(attempt_id, PartOutcome::Served, 1, "v");
    assert_eq!(harness.replies.len(), 1);
    harness.submitted -= 1;
    assert_eq!(harness.submit(CLASS_ALL, &[0]), Err(AdmitError::DuplicateId));
    assert!(harness.in_flight.is_empty(), "no part of a rejected query may be sent");
    // After several times the longest deadline the id can be used again.
    harness.advance(10_000 * MS);
    harness.submitted -= 1;
    assert!(harness.submit(CLASS_ALL, &[0]).is_ok());
}
