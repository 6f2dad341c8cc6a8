//! Attempts: contents of the parts sent, outcomes, timeouts and withdrawal.

use crate::common::{config_with, CLASS_ALL};
use crate::harness::{Harness, MS};
use pinetrestle_node::host::Command;
use pinetrestle_protocol::connection::AttemptAnswer;
use pinetrestle_protocol::frames::{PartOutcome, Score};
use serde_json::json;

#[test]
fn each_part_carries_its_id_the_query_text_and_a_deadline() {
    let mut harness = Harness::new();
    harness.submit(CLASS_ALL, &[0, 1]).expect("admitted");
    for sent in harness.in_flight.values() {
        let remaining = harness.remaining_ms(&sent.part);
        assert!((100..=2000).contains(&remaining), "{remaining}");
        // The time left is not among the attributes: the connection adds it when it encodes the call frame.
        assert_eq!(sent.part.attributes, "");
        assert_eq!(&*sent.part.text, "text");
        assert_eq!(sent.part.id, format!("q1.{}", sent.part.shard));
    }
}

#[test]
fn an_attempt_ends_once_and_a_late_answer_is_dropped() {
    let mut harness = Harness::new();
    harness.submit(CLASS_ALL, &[0]).expect("admitted");
    let attempt_id = harness.attempt_ids()[0];
    harness.in_flight.remove(&attempt_id);
    harness.host.connection_lost(harness.now(), attempt_id, false);
    harness.host.connection_lost(harness.now(), attempt_id, true);
    let late = AttemptAnswer {
        attempt_id,
        outcome: PartOutcome::Served,
        score: Score::default(),
        value: "late".into(),
    };
    harness.host.attempt_answered(harness.now(), late);
    harness.run_batches();
    assert_eq!(harness.counters.attempts.connect_failed.get(), 1);
    assert_eq!((harness.counters.attempts.reset.get(), harness.counters.attempts.ok.get()), (0, 0));
    assert!(harness.replies.is_empty(), "a late answer must be dropped");
    let retries = harness.attempt_ids();
    assert_eq!(retries.len(), 1, "a part that did not run must be retried");
    harness.answer(retries[0], PartOutcome::Served, 0, "v");
    assert_eq!(harness.replies.len(), 1);
    harness.assert_balanced();
}

#[test]
fn without_cancellation_an_attempt_times_out_and_its_part_is_retried_at_another_replica() {
    let mut harness = Harness::with_config(&config_with(|settings| {
        settings["permissions"]["cancel"] = json!(false);
        settings["permissions"]["may_duplicate"] = json!(false);
    }));
    harness.submit(CLASS_ALL, &[0]).expect("admitted");
    let (first, sent) = harness.in_flight.pop_first().expect("one part is in flight");
    let remaining = harness.remaining_ms(&sent.part);
    assert!(remaining < 1900, "the timeout must come before the client's deadline: {remaining} ms");
    harness.advance((remaining - 1) * MS);
    assert_eq!(harness.counters.attempts.timeout.get(), 0);
    harness.advance(MS);
    assert_eq!(harness.counters.attempts.timeout.get(), 1);
    let (second, retried) = harness.in_flight.iter().next().expect("a retry is in flight");
    assert!(*second != first && retried.replica != sent.replica);
    let second = *second;
    harness.host.connection_lost(harness.now(), first, true);
    harness.answer(second, PartOutcome::Served, 0, "v");
    assert_eq!((harness.replies.len(), harness.counters.attempts.reset.get()), (1, 0));
    harness.assert_balanced();
}

#[test]
fn attempts_of_a_disconnected_client_are_withdrawn_without_a_batch() {
    let mut harness = Harness::new();
    let query = harness.submit(CLASS_ALL, &[0, 1, 2]).expect("admitted");
    let attempt_ids = harness.attempt_ids();
    assert_eq!(attempt_ids.len(), 3);
    harness.host.client_disconnected(query);
    // The commands are taken without processing a batch: other tasks may run before the next batch, and would
    // write the queued attempts.
    let commands = harness.host.take_commands();
    let is_withdrawn = |attempt_id: &&u64| commands.contains(&Command::Withdraw(**attempt_id));
    assert_eq!(attempt_ids.iter().filter(is_withdrawn).count(), 3, "{commands:?}");
    // Attempts whose write has started are cancelled by the decision core in the next batch.
    harness.run_batches();
    assert!(harness.attempt_ids().is_empty());
}
