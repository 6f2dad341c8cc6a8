//! Tests of one connection to an index server: decoding of answers in any split of their bytes, partial
//! writes, cancellation, and late answers.

mod common;

use common::byte_splits;
use pinetrestle_protocol::connection::{
    AttemptAnswer, AttemptId, ConnectionState, LostAttempt, OutgoingPart,
};
use pinetrestle_protocol::frames::{
    part_id, second_step_attributes, FrameError, PartOutcome, Score, MAX_FRAME_BYTES,
};
use pinetrestle_protocol::names::FrameFormat;
use std::rc::Rc;

fn outgoing_part(attempt_id: u64, id: &str) -> OutgoingPart {
    OutgoingPart {
        attempt_id,
        query_key: 1,
        id: id.into(),
        shard: 3,
        attributes: String::new(),
        text: "c41e77d0".into(),
        deadline_us: 240_000,
        start_before_us: None,
        not_before_us: 0,
    }
}

/// Builds lost attempts from pairs of an attempt id and whether its call was completely written.
fn lost_attempts(attempts: &[(AttemptId, bool)]) -> Vec<LostAttempt> {
    attempts
        .iter()
        .map(|(attempt_id, written)| LostAttempt { attempt_id: *attempt_id, written: *written })
        .collect()
}

fn frame(frame_type: u8, payload: &str) -> Vec<u8> {
    let mut bytes = (payload.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(frame_type);
    bytes.extend_from_slice(payload.as_bytes());
    bytes
}

/// Returns the bytes that are queued for writing.
fn pending_bytes(connection: &ConnectionState) -> Vec<u8> {
    let mut slices = Vec::new();
    connection.pending_slices(u64::MAX, &mut slices, 64);
    slices.iter().flat_map(|slice| slice.iter().copied()).collect()
}

/// Removes up to `max_bytes` queued bytes, as a write to a socket would, and returns them.
fn write(connection: &mut ConnectionState, max_bytes: usize) -> Vec<u8> {
    let mut bytes = pending_bytes(connection);
    bytes.truncate(max_bytes);
    connection.on_written(bytes.len(), |_| {});
    bytes
}

/// Opens a connection and writes one call for each part id. The attempt ids count up from 1.
fn open_connection(ids: &[&str]) -> ConnectionState {
    write_calls(ConnectionState::default(), ids)
}

/// Opens a connection with calls for the parts `q.3` and `q.4`, and with the given byte order of lengths.
fn open_with_format(little_endian: bool) -> ConnectionState {
    let format = FrameFormat { little_endian, ..FrameFormat::default() };
    write_calls(ConnectionState::new(Rc::new(format)), &["q.3", "q.4"])
}

/// Writes one call for each part id. The attempt ids count up from 1.
fn write_calls(mut connection: ConnectionState, ids: &[&str]) -> ConnectionState {
    for (attempt_id, id) in (1..).zip(ids) {
        assert_eq!(connection.queue_call(0, vec![outgoing_part(attempt_id, id)]), Vec::<u64>::new());
    }
    write(&mut connection, usize::MAX);
    connection
}

#[test]
fn call_is_one_frame_with_a_line_and_the_text_of_each_part() {
    let mut connection = ConnectionState::default();
    connection
        .queue_call(0, vec![outgoing_part(1, "q.3"), OutgoingPart { shard: 4, ..outgoing_part(2, "q.4") }]);
    assert_eq!(
        write(&mut connection, usize::MAX),
        frame(b'1', "q.3 3 d=240 8\nc41e77d0q.4 4 d=240 8\nc41e77d0")
    );
    assert_eq!((connection.in_flight(), connection.unwritten_bytes()), (2, 0));
    assert_eq!(part_id("q", 3, Some(".phase2")), "q.3.phase2");
    assert_eq!(second_step_attributes(&[3, 5, 9], false), ",from=3+5+9,whole=0");
}

#[test]
fn answers_do_not_depend_on_how_bytes_are_split() {
    let mut bytes = frame(b'5', "q.4 E 0 -\n");
    bytes.extend(frame(b'5', "q.3 S 1840277719 some report\nvalue\nof two lines"));
    bytes.extend(frame(b'5', "q.5 B - -\n"));
    let read = |pieces: &[Vec<u8>]| {
        let mut connection = open_connection(&["q.3", "q.4", "q.5"]);
        let mut answers = Vec::new();
        for piece in pieces {
            connection.feed(piece);
            while let Some(answer) = connection.next_answer(|_| {}).expect("valid frames") {
                answers.push(answer);
            }
        }
        (answers, connection.in_flight(), connection.is_mid_frame())
    };
    let answer = |attempt_id, outcome, score, value: &str| AttemptAnswer {
        attempt_id,
        outcome,
        score,
        value: value.into(),
    };
    let expected = vec![
        answer(2, PartOutcome::Error, Score(0, 0.0), ""),
        answer(1, PartOutcome::Served, Score(1_840_277_719, 0.0), "value\nof two lines"),
        answer(3, PartOutcome::Rejected, Score(0, 0.0), ""),
    ];
    for pieces in byte_splits(&bytes) {
        assert_eq!(read(&pieces), (expected.clone(), 0, false), "for {pieces:?}");
    }
    let truncated = &bytes[..bytes.len() - 3];
    for pieces in byte_splits(truncated) {
        assert_eq!(read(&pieces), (expected[..2].to_vec(), 1, true));
    }
}

#[test]
fn large_integer_scores_compare_exactly() {
    let mut connection = open_connection(&["a", "b", "c", "d"]);
    for (id, score) in
        [("a", "18446744073709551615"), ("b", "18446744073709551614"), ("c", "-2.5"), ("d", "-2.25")]
    {
        connection.feed(&frame(b'5', &format!("{id} S {score} -\nv")));
    }
    let mut scores = Vec::new();
    while let Some(answer) = connection.next_answer(|_| {}).expect("valid frames") {
        scores.push(answer.score);
    }
    assert!(scores[0] > scores[1] && scores[1] > scores[3] && scores[3] > scores[2]);
}

#[test]
fn malformed_frames_give_typed_errors() {
    let excessive_length = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    let cases: [(Vec<u8>, FrameError); 9] = [
        (vec![0, 0, 0, 0], FrameError::InvalidLength),
        (excessive_length.to_vec(), FrameError::InvalidLength),
        (frame(b'9', "x"), FrameError::UnknownType),
        (frame(b'5', "no end of line"), FrameError::MalformedAnswerLine),
        (frame(b'5', "q.3 S 1\nvalue"), FrameError::MalformedAnswerLine),
        (frame(b'5', "q.3 Q 1 -\nvalue"), FrameError::MalformedAnswerLine),
        (frame(b'5', "q.3 S high -\nvalue"), FrameError::MalformedAnswerLine),
        (frame(b'5', "other S 1 -\nvalue"), FrameError::UnknownPart),
        (frame(b'X', "what was that"), FrameError::FrameRejected),
    ];
    for (bytes, expected) in cases {
        let mut connection = open_connection(&["q.3"]);
        connection.feed(&bytes);
        assert_eq!(connection.next_answer(|_| {}), Err(expected), "for {bytes:?}");
        assert_eq!(
            connection.close().lost_attempts,
            lost_attempts(&[(1, true)]),
            "the attempt is still in flight"
        );
    }
    let mut connection = open_connection(&["q.3"]);
    let mut bytes = frame(b'5', "q.3 S 1 -\nv?");
    *bytes.last_mut().expect("a byte") = 0xff;
    connection.feed(&bytes);
    assert_eq!(connection.next_answer(|_| {}), Err(FrameError::InvalidAnswerValue));
}

#[test]
fn attempt_counts_as_written_after_the_last_byte_of_its_frame() {
    let frame_len = frame(b'1', "q.3 3 d=240 8\nc41e77d0").len();
    for (max_bytes, written) in [(0, false), (frame_len - 1, false), (frame_len, true)] {
        let mut connection = ConnectionState::default();
        connection.queue_call(0, vec![outgoing_part(1, "q.3")]);
        write(&mut connection, max_bytes);
        assert_eq!(
            connection.close().lost_attempts,
            lost_attempts(&[(1, written)]),
            "after {max_bytes} bytes"
        );
    }
}

#[test]
fn part_cancelled_before_its_write_is_never_sent() {
    let mut connection = ConnectionState::default();
    connection.queue_call(0, vec![outgoing_part(1, "q.3")]);
    connection.queue_call(0, vec![outgoing_part(2, "q.4")]);
    connection.cancel(2, true);
    assert_eq!(write(&mut connection, usize::MAX), frame(b'1', "q.3 3 d=240 8\nc41e77d0"));
    // A call whose write has started is sent completely, followed by the cancel frame.
    connection.queue_call(0, vec![outgoing_part(3, "q.5")]);
    write(&mut connection, 3);
    connection.cancel(3, true);
    let rest = write(&mut connection, usize::MAX);
    assert!(rest.ends_with(&frame(b'2', "q.5")));
    assert_eq!(connection.close().lost_attempts, lost_attempts(&[(1, true)]));
}

#[test]
fn late_answer_is_dropped_and_frees_the_part_id() {
    let mut connection = open_connection(&["q.3"]);
    connection.cancel(1, true);
    assert_eq!(write(&mut connection, usize::MAX), frame(b'2', "q.3"));
    assert!(!connection.is_id_available("q.3"));
    assert_eq!(
        connection.queue_call(0, vec![outgoing_part(2, "q.3")]),
        vec![2],
        "an answer to the first attempt would be matched with the second one"
    );
    connection.feed(&frame(b'5', "q.3 S 1 -\nlate"));
    assert_eq!(connection.next_answer(|_| {}), Ok(None));
    assert_eq!(connection.late_answers, 1);
    assert!(connection.is_id_available("q.3"));
    assert_eq!(connection.queue_call(0, vec![outgoing_part(3, "q.3")]), Vec::<u64>::new());
    write(&mut connection, usize::MAX);
    connection.feed(&frame(b'5', "q.3 S 1 -\nvalue"));
    let answer = connection.next_answer(|_| {}).expect("a valid frame").expect("an answer");
    assert_eq!((answer.attempt_id, answer.value.as_str()), (3, "value"));
}

#[test]
fn cancellation_without_notification_sends_no_cancel_frame() {
    let mut connection = open_connection(&["q.3"]);
    connection.cancel(1, false);
    assert_eq!(
        (connection.in_flight(), connection.unwritten_bytes(), connection.is_id_available("q.3")),
        (0, 0, false)
    );
    connection.feed(&frame(b'5', "q.3 S 1 -\nlate"));
    assert_eq!((connection.next_answer(|_| {}), connection.late_answers), (Ok(None), 1));
}

#[test]
fn number_of_remembered_cancelled_parts_is_bounded() {
    let mut connection = ConnectionState::default();
    for attempt_id in 0..5000 {
        connection.queue_call(0, vec![outgoing_part(attempt_id, &format!("q{attempt_id}.1"))]);
        while connection.unwritten_bytes() > 0 {
            write(&mut connection, usize::MAX);
        }
        connection.cancel(attempt_id, true);
    }
    while connection.unwritten_bytes() > 0 {
        write(&mut connection, usize::MAX);
    }
    // The first id has been evicted. Its answer counts as late and is not an error.
    connection.feed(&frame(b'5', "q0.1 S 1 -\nlate"));
    assert_eq!(connection.next_answer(|_| {}), Ok(None));
    assert_eq!((connection.late_answers, connection.in_flight()), (1, 0));
}

/// Reads the answers in many splits of `bytes` and asserts that the result does not depend on the split.
fn read_in_many_splits(bytes: &[u8]) -> (Vec<String>, Result<(), FrameError>) {
    let read = |pieces: &[Vec<u8>]| {
        let mut connection = open_connection(&["q.3", "q.4", "q.5"]);
        let mut values = Vec::new();
        for piece in pieces {
            connection.feed(piece);
            loop {
                match connection.next_answer(|_| {}) {
                    Ok(Some(answer)) => values.push(answer.value),
                    Ok(None) => break,
                    Err(error) => return (values, Err(error)),
                }
            }
        }
        (values, Ok(()))
    };
    let results: Vec<_> = byte_splits(bytes).iter().map(|pieces| read(pieces)).collect();
    assert!(
        results.iter().all(|result| *result == results[0]),
        "the result depends on the split: {results:?}"
    );
    results[0].clone()
}

/// Builds a frame with the given length field, which may be wrong. `content` is the type byte and the
/// payload.
fn frame_with_length(length: u32, content: &[u8]) -> Vec<u8> {
    [&length.to_be_bytes()[..], content].concat()
}

#[test]
fn corrupt_answers_give_typed_errors_and_no_value() {
    let valid = frame(b'5', "q.3 S 1 -\nvalue");
    let next = frame(b'5', "q.4 S 1 -\nother");
    // The first three cases have a wrong length field: one that includes the next frame, 3 GB, and 0.
    let includes_next_frame =
        frame_with_length(valid.len() as u32 - 4 + next.len() as u32, &[&valid[4..], &next].concat());
    let cases = [
        (includes_next_frame, FrameError::InvalidAnswerValue),
        (frame_with_length(3_000_000_000, b"5q.3 S 1 -\nvalue"), FrameError::InvalidLength),
        (frame_with_length(0, b""), FrameError::InvalidLength),
        (
            frame_with_length(200_000, &[&b"5q.3 S 1 "[..], &[b'r'; 5000]].concat()),
            FrameError::MalformedAnswerLine,
        ),
        (frame_with_length(200_000, b"!noise"), FrameError::UnknownType),
        (frame(b'5', "q.3 S 1\nvalue"), FrameError::MalformedAnswerLine),
        (frame(b'5', "q.3 S 1 - value"), FrameError::MalformedAnswerLine),
        (frame(b'5', "q.3 Q 1 -\nvalue"), FrameError::MalformedAnswerLine),
        (frame(b'5', "q.3 S one -\nvalue"), FrameError::MalformedAnswerLine),
        (frame(b'5', "q.9 S 1 -\nvalue"), FrameError::UnknownPart),
        (frame(b'5', "q.3.phase2 S 1 -\nvalue"), FrameError::UnknownPart),
        (frame(b'5', "q.3 S 1 -\nval\0ue"), FrameError::InvalidAnswerValue),
    ];
    for (bytes, expected) in cases {
        assert_eq!(
            read_in_many_splits(&bytes),
            (Vec::new(), Err(expected)),
            "for {:?}",
            String::from_utf8_lossy(&bytes)
        );
    }
}

#[test]
fn valid_answers_are_returned_despite_duplicates_and_trailing_invalid_bytes() {
    let valid = frame(b'5', "q.3 S 1 -\nvalue");
    let with_duplicate = [valid.clone(), valid.clone(), frame(b'5', "q.4 S 1 -\nother")].concat();
    assert_eq!(
        read_in_many_splits(&with_duplicate),
        (vec!["value".into(), "other".into()], Ok(())),
        "a duplicate answer is ignored"
    );
    let with_invalid_bytes = [&valid[..], b"\xff\xfe\xfd\xfc noise"].concat();
    assert_eq!(
        read_in_many_splits(&with_invalid_bytes),
        (vec!["value".into()], Err(FrameError::InvalidLength))
    );
    let with_invalid_report = [&frame_with_length(20, b"5q.3 S 1 \xff\xfe =,\nvalue")[..]].concat();
    assert_eq!(
        read_in_many_splits(&with_invalid_report),
        (vec!["value".into()], Ok(())),
        "a load report that is not UTF-8 is ignored"
    );
}

#[test]
fn duplicate_answer_is_not_matched_with_a_later_attempt() {
    let mut connection = open_connection(&["q.3"]);
    connection.feed(&frame(b'5', "q.3 E 0 -\n"));
    assert!(connection.next_answer(|_| {}).expect("a valid frame").is_some());
    assert!(!connection.is_id_available("q.3"), "the part may only be sent on another connection");
    connection.feed(&frame(b'5', "q.3 E 0 -\n"));
    assert_eq!((connection.next_answer(|_| {}), connection.late_answers), (Ok(None), 1));
}

#[test]
fn answer_to_an_unwritten_call_is_an_error() {
    let mut connection = ConnectionState::default();
    connection.queue_call(0, vec![outgoing_part(1, "q.3")]);
    connection.feed(&frame(b'5', "q.3 S 1 -\nvalue"));
    assert_eq!(connection.next_answer(|_| {}), Err(FrameError::UnknownPart));
    assert_eq!(
        connection.close().lost_attempts,
        lost_attempts(&[(1, false)]),
        "the attempt is still in flight and was not written"
    );
}

#[test]
fn queued_call_is_sent_without_its_cancelled_parts() {
    let mut connection = ConnectionState::default();
    connection.queue_call(0, vec![outgoing_part(1, "a.3")]);
    write(&mut connection, 5); // Starts the write of the first call.
    connection.queue_call(0, vec![outgoing_part(2, "q.3"), outgoing_part(3, "q.4")]);
    connection.cancel(2, true);
    let rest =
        [&frame(b'1', "a.3 3 d=240 8\nc41e77d0")[5..], &frame(b'1', "q.4 3 d=240 8\nc41e77d0")].concat();
    assert_eq!(connection.unwritten_bytes(), rest.len());
    connection.queue_call(0, vec![outgoing_part(4, "q.5")]);
    connection.cancel(4, true);
    assert_eq!(
        write(&mut connection, usize::MAX),
        rest,
        "neither the cancelled parts nor a cancel frame is sent"
    );
    assert_eq!((connection.in_flight(), connection.unwritten_bytes()), (2, 0));
}

#[test]
fn unstarted_calls_are_returned_if_an_answer_was_received_on_the_connection() {
    for has_answered in [false, true] {
        let mut connection = open_connection(&["q.1"]);
        if has_answered {
            connection.feed(&frame(b'5', "q.1 S 1 -\nvalue"));
            assert!(connection.next_answer(|_| {}).expect("a valid frame").is_some());
        }
        connection.queue_call(0, vec![outgoing_part(7, "q.7")]);
        write(&mut connection, 5);
        connection.queue_call(0, vec![outgoing_part(8, "q.8"), outgoing_part(9, "q.9")]);
        let closed = connection.close();
        let mut expected = vec![(7, false)];
        if has_answered {
            assert_eq!(closed.unsent_calls, vec![vec![outgoing_part(8, "q.8"), outgoing_part(9, "q.9")]]);
        } else {
            assert!(
                closed.unsent_calls.is_empty(),
                "an index server that never answered on the connection may have failed"
            );
            expected.extend([(8, false), (9, false)]);
            expected.insert(0, (1, true));
        }
        assert_eq!(closed.lost_attempts, lost_attempts(&expected));
    }
}

#[test]
fn parts_are_withdrawn_from_unstarted_calls_and_the_other_parts_are_sent() {
    let mut connection = open_connection(&[]);
    let parts = |ids: &[(u64, &str)]| {
        ids.iter().map(|(attempt_id, id)| outgoing_part(*attempt_id, id)).collect::<Vec<_>>()
    };
    assert!(connection.queue_call(0, parts(&[(1, "a.1"), (2, "b.1")])).is_empty());
    assert!(connection.queue_call(0, parts(&[(3, "c.1")])).is_empty());
    assert!(connection.queue_call(0, parts(&[(4, "d.1"), (5, "e.1")])).is_empty());
    // After one byte of the first call has been written, none of its parts can be withdrawn.
    write(&mut connection, 1);
    assert_eq!(connection.withdraw_unstarted(|part| part.attempt_id != 4), [3, 5]);
    assert_eq!(connection.in_flight(), 3);
    let rest = write(&mut connection, usize::MAX);
    let text = String::from_utf8_lossy(&rest);
    assert!(text.contains("a.1") && text.contains("b.1") && text.contains("d.1"), "{text}");
    assert!(!text.contains("c.1") && !text.contains("e.1"), "{text}");
    assert_eq!(
        (connection.unwritten_bytes(), connection.withdraw_unstarted(|_| true).len()),
        (0, 0),
        "parts of written calls can't be withdrawn"
    );
    // Withdrawn parts may be sent on this connection again.
    assert!(
        connection.is_id_available("c.1")
            && connection.is_id_available("e.1")
            && !connection.is_id_available("a.1")
    );
    assert_eq!(connection.close().lost_attempts, lost_attempts(&[(1, true), (2, true), (4, true)]));
}

#[test]
fn partially_written_call_past_its_latest_start_is_detected() {
    let mut connection = open_connection(&[]);
    connection.queue_call(
        0,
        vec![OutgoingPart { start_before_us: Some(500), ..outgoing_part(1, "a.1") }, outgoing_part(2, "b.1")],
    );
    assert!(
        !connection.has_expired_partial_write(900),
        "a call can be withdrawn before its first byte is written"
    );
    write(&mut connection, 7);
    assert!(!connection.has_expired_partial_write(499));
    assert!(connection.has_expired_partial_write(500));
    connection.cancel(1, true);
    assert!(
        connection.has_expired_partial_write(500),
        "the index server would run the cancelled part if it received the complete frame"
    );
    let mut connection = open_connection(&[]);
    connection.queue_call(0, vec![OutgoingPart { start_before_us: Some(500), ..outgoing_part(1, "a.1") }]);
    write(&mut connection, usize::MAX);
    assert!(!connection.has_expired_partial_write(900), "the call was completely written in time");
}

#[test]
fn call_contains_the_time_left_at_the_time_of_the_write() {
    let times_left = |bytes: &[u8]| -> Vec<u64> {
        let text = String::from_utf8_lossy(bytes).into_owned();
        text.split("d=").skip(1).map(|rest| rest.split([' ', ',']).next().unwrap().parse().unwrap()).collect()
    };
    let mut connection = open_connection(&[]);
    connection.queue_call(
        0,
        vec![outgoing_part(1, "a.1"), OutgoingPart { deadline_us: 500_000, ..outgoing_part(2, "b.1") }],
    );
    connection.queue_call(0, vec![OutgoingPart { attributes: ",k=7".into(), ..outgoing_part(3, "c.1") }]);
    // The calls were queued before the connection was established at 150 ms.
    connection.refresh_times_left(150_000);
    assert_eq!(connection.unwritten_bytes(), pending_bytes(&connection).len());
    let written = write(&mut connection, usize::MAX);
    assert_eq!(times_left(&written), [90, 350, 90]);
    assert!(String::from_utf8_lossy(&written).contains("c.1 3 d=90,k=7 8\n"));
    assert_eq!(connection.unwritten_bytes(), 0);
    // A partially written frame is not changed, because its length and first bytes have been written.
    connection.queue_call(150_000, vec![outgoing_part(4, "d.1")]);
    connection.queue_call(150_000, vec![outgoing_part(5, "e.1")]);
    let mut written = write(&mut connection, 7);
    connection.refresh_times_left(200_000);
    written.extend(write(&mut connection, usize::MAX));
    assert_eq!(times_left(&written), [90, 40]);
    // A call that is moved to another connection contains the time left at the time of the move.
    let mut connection = open_connection(&["x.1"]);
    connection.feed(&frame(b'5', "x.1 S 0 -\nv"));
    assert!(connection.next_answer(|_| {}).expect("a valid frame").is_some());
    connection.queue_call(0, vec![outgoing_part(6, "f.1")]);
    let unsent = connection.close().unsent_calls;
    let mut other = open_connection(&[]);
    other.queue_call(230_500, unsent.into_iter().flatten().collect());
    assert_eq!(times_left(&write(&mut other, usize::MAX)), [10], "whole milliseconds, rounded up");
}

/// Guards against an index server that repeats an answer without an end: a duplicate of each answer is dropped,
/// but many of them end the connection.
#[test]
fn more_late_answers_than_the_sent_parts_can_have_are_an_error() {
    let mut connection = open_connection(&["q.0", "q.1"]);
    let duplicate = frame(b'5', "q.0 S 1 -\nvalue");
    connection.feed(&duplicate);
    assert!(connection.next_answer(|_| {}).expect("a valid frame").is_some());
    for late in 1..=4 {
        connection.feed(&duplicate);
        assert_eq!(connection.next_answer(|_| {}), Ok(None));
        assert_eq!(connection.late_answers, late);
    }
    connection.feed(&duplicate);
    assert_eq!(connection.next_answer(|_| {}), Err(FrameError::TooManyAnswers));
}

/// Returns the values and the error that a connection gives for bytes that are received in one piece.
fn receive(connection: &mut ConnectionState, bytes: &[u8]) -> (Vec<String>, Option<FrameError>) {
    connection.feed(bytes);
    let mut values = Vec::new();
    loop {
        match connection.next_answer(|_| {}) {
            Ok(Some(answer)) => values.push(answer.value),
            Ok(None) => return (values, None),
            Err(error) => return (values, Some(error)),
        }
    }
}

/// Returns the bytes of an answer whose length field is too small by `missing` bytes.
fn understated_answer(id: &str, missing: u32, little_endian: bool) -> Vec<u8> {
    let content = format!("5{id} S 1 -\n5be2a07c19f04d63");
    let length = content.len() as u32 - missing;
    let length = if little_endian { length.to_le_bytes() } else { length.to_be_bytes() };
    [&length[..], content.as_bytes()].concat()
}

/// Guards against an answer whose frame length is too small, and whose value would be served cut.
#[test]
fn an_answer_whose_length_is_too_small_gives_no_value() {
    for little_endian in [false, true] {
        for missing in 1..=16 {
            let cut = understated_answer("q.3", missing, little_endian);
            let next = understated_answer("q.4", 0, little_endian);
            for bytes in [cut.clone(), [&cut[..], &next].concat(), [&cut[..], &next[..7]].concat()] {
                let (values, error) = receive(&mut open_with_format(little_endian), &bytes);
                assert!(values.is_empty(), "missing {missing}, little-endian {little_endian}: {values:?}");
                // One or two bytes may also begin a little-endian length. The connection then times out.
                let is_undecided = little_endian && missing <= 2 && bytes == cut;
                let expected = (!is_undecided).then_some(FrameError::LengthTooSmall);
                assert_eq!(error, expected, "missing {missing}, little-endian {little_endian}");
            }
        }
    }
}

/// The bytes after an answer are no reason to drop it if they can't be the rest of its value.
#[test]
fn an_answer_is_returned_before_partial_frames_and_noise() {
    for little_endian in [false, true] {
        let valid = understated_answer("q.3", 0, little_endian);
        let next = understated_answer("q.4", 0, little_endian);
        for received in 0..next.len() {
            let mut connection = open_with_format(little_endian);
            let (first, error) = receive(&mut connection, &[&valid[..], &next[..received]].concat());
            assert_eq!(error, None);
            // A little-endian length may begin with text, so more of it may be needed.
            assert!(first.len() == 1 || (little_endian && (1..=4).contains(&received)), "{received}");
            let (second, error) = receive(&mut connection, &next[received..]);
            assert_eq!((first.len() + second.len(), error), (2, None), "{received}");
        }
        for noise in [&b"\xff\xfe\xfd\xfc noise"[..], b"A\x9f\x80\x81\x82", b"text\x07\x9f\x80\x81\x82"] {
            let mut connection = open_with_format(little_endian);
            let (values, error) = receive(&mut connection, &[&valid[..], noise].concat());
            assert_eq!((values.len(), error.is_some()), (1, true), "{noise:?}");
        }
    }
}
