//! Queries: answers, the second step, ids, capacity, deadlines and the graceful shutdown.

use crate::common::{CLASS_ALL, CLASS_ANY, CLASS_STEPS};
use crate::harness::{Harness, MS};
use pinetrestle::interface::Micros;
use pinetrestle_node::host::AdmitError;
use pinetrestle_protocol::connection::{AttemptId, OutgoingPart};
use pinetrestle_protocol::frames::PartOutcome;

#[test]
fn any_two_of_three_parts_answer_a_query_and_the_rest_is_abandoned() {
    let mut harness = Harness::new();
    let id = harness.submit(CLASS_ANY, &[0, 1, 2]).expect("admitted");
    let attempt_ids = harness.attempt_ids();
    assert!(attempt_ids.len() >= 2, "two parts are needed: {attempt_ids:?}");
    harness.advance(30 * MS);
    harness.answer(attempt_ids[0], PartOutcome::Served, 7, "a\"b");
    assert!(harness.replies.is_empty(), "one part is not enough");
    harness.answer(attempt_ids[1], PartOutcome::Served, 8, "c");
    assert_eq!(harness.replies.len(), 1);
    assert_eq!(harness.replies[0].query, id);
    let (body, complete) = harness.served(0);
    assert!(complete && body["entire"] == true);
    assert_eq!(body["items"].as_array().expect("items").len(), 2);
    assert_eq!(harness.served_values(0), ["a\"b", "c"], "as the index servers gave them");
    harness.assert_idle();
    harness.assert_balanced();
}

#[test]
fn the_second_step_goes_to_the_highest_scores_and_gives_the_answer() {
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
    assert!(harness.replies.is_empty(), "the first step's answer does not end the query");
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
    assert_eq!(harness.served_values(0), ["second 1", "second 2"], "the second step's values only");
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
    assert_eq!(harness.counters.classes[CLASS_ALL].queries.client_gone.get(), 1);
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
    assert_eq!(harness.replies.len(), 1, "a reply before the client's time is up");
    assert_eq!(
        harness.counters.classes[CLASS_ALL].queries.overdue.get(),
        0,
        "and by the decision core itself"
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
    assert_eq!(admitted, 12, "five for each query fill sixty");
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
    assert_eq!(harness.replies.len(), 1, "the decision core ended the query with the shortened time");
    harness.advance(MS);
    assert_eq!(harness.replies.len(), 2);
    assert_eq!(harness.counters.classes[CLASS_ALL].queries.overdue.get(), 1);
    assert_eq!((harness.host.open_queries(), harness.host.attempts_in_flight()), (0, 0));
    harness.assert_balanced();
}

#[test]
fn a_wire_id_stays_in_use_for_a_while_after_its_query_was_answered() {
    let mut harness = Harness::new();
    harness.submit(CLASS_ALL, &[0]).expect("admitted");
    let attempt_id = harness.attempt_ids()[0];
    harness.answer(attempt_id, PartOutcome::Served, 1, "v");
    assert_eq!(harness.replies.len(), 1);
    harness.submitted -= 1;
    assert_eq!(harness.submit(CLASS_ALL, &[0]), Err(AdmitError::DuplicateId));
    assert!(harness.in_flight.is_empty(), "nothing is sent for it");
    // Several deadlines later the id is free again.
    harness.advance(10_000 * MS);
    harness.submitted -= 1;
    assert!(harness.submit(CLASS_ALL, &[0]).is_ok());
}
