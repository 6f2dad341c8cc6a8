//! Compatibility of the encoding of records and log lines: logs written by an earlier version stay readable.

use pinetrestle_recorder::{log_lines, EventKind, Record, RECORD_BYTES};

/// The encoding of [`sample_record`], in which every field has a value.
const SAMPLE_BYTES: [u8; RECORD_BYTES] = [
    0, 0, 0, 0, 0, 0, 0x30, 0x39, // time, in microseconds
    0x9b, 0x1f, 0x03, 0xaa, 0x5c, 0x7e, 0x2d, 0x41, // query
    0x80, 0, 0, 63, // shard, with the bit for the second step
    0, 0, 0, 9, // connection
    0, 0, 4, 0, // value
    11, 2, // event kind, detail
    0, 0, // unused
];

/// The encoding of [`sample_record`] as a log line.
const SAMPLE_LINE: &str = "flight=AAAAAAAAMDmbHwOqXH4tQYAAAD8AAAAJAAAEAAsCAAA";

/// The number that is stored for each event kind.
const NUMBERED_KINDS: [(u8, EventKind); 22] = [
    (1, EventKind::RequestRead),
    (2, EventKind::QueryAccepted),
    (3, EventKind::QueryNotAccepted),
    (4, EventKind::AttemptDecided),
    (5, EventKind::PartQueued),
    (6, EventKind::NoConnection),
    (7, EventKind::FirstByteWritten),
    (8, EventKind::LastByteWritten),
    (9, EventKind::AttemptCancelled),
    (10, EventKind::CancelWritten),
    (11, EventKind::AnswerRead),
    (14, EventKind::ReplyDecided),
    (15, EventKind::ReplyWritten),
    (16, EventKind::ReplyNotWritten),
    (17, EventKind::ClientDisconnected),
    (18, EventKind::ConnectionOpening),
    (19, EventKind::ConnectionUp),
    (20, EventKind::BytesRead),
    (21, EventKind::ConnectionDraining),
    (22, EventKind::ConnectionClosed),
    (23, EventKind::InvariantViolated),
    (24, EventKind::ProcessPaused),
];

fn sample_record() -> Record {
    let record = Record::for_part(EventKind::AnswerRead, "9b1f03aa5c7e2d41.63.phase2")
        .on_connection(9)
        .with_value(1_024)
        .with_detail(2);
    Record { at_us: 12_345, ..record }
}

#[test]
fn a_record_is_encoded_to_and_decoded_from_the_recorded_bytes() {
    assert_eq!(sample_record().to_bytes(), SAMPLE_BYTES);
    assert_eq!(Record::from_bytes(&SAMPLE_BYTES), Some(sample_record()));
}

#[test]
fn a_line_of_an_earlier_version_is_decoded_and_encoded_identically() {
    let line = format!("2026-01-01 text before the marker {SAMPLE_LINE}");
    let decoded = log_lines::decode_lines([line.as_str()].into_iter());
    assert_eq!(decoded.records, [sample_record()]);
    assert!(decoded.unreadable_lines.is_empty());
    assert_eq!(decoded.unknown_kinds, 0);
    assert_eq!(log_lines::encode_line(&[sample_record()]), SAMPLE_LINE);
}

#[test]
fn every_event_kind_keeps_its_number() {
    assert_eq!(EventKind::ALL, NUMBERED_KINDS.map(|(_, kind)| kind));
    for (number, kind) in NUMBERED_KINDS {
        assert_eq!(kind as u8, number);
        assert_eq!(EventKind::from_number(number), Some(kind));
    }
}
