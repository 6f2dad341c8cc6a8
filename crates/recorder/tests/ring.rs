//! The ring buffer, the encoding of records as log lines, and the timeline of a query.

use pinetrestle_recorder::{
    log_lines, part_key, query_key, timeline, EventKind, PartKey, Record, Recorder, RECORD_BYTES,
};

fn record(number: u64) -> Record {
    Record::for_query(EventKind::QueryAccepted, 7).with_value(number)
}

fn values(records: &[Record]) -> Vec<u32> {
    records.iter().map(|record| record.value).collect()
}

#[test]
fn the_ring_buffer_keeps_the_newest_records_in_order() {
    for recorded in [0, 1, 4, 5, 6, 10, 23] {
        let recorder = Recorder::new(5);
        (0..recorded).for_each(|number| recorder.record(|| record(number)));
        let batch = recorder.read_from(0, 100);
        let kept: Vec<u32> = (recorded.saturating_sub(5) as u32..recorded as u32).collect();
        assert_eq!(values(&batch.records), kept);
        assert_eq!((batch.missed, batch.next_position), (recorded.saturating_sub(5), recorded));
    }
}

#[test]
fn records_overwritten_between_two_reads_are_counted_as_missed() {
    let recorder = Recorder::new(4);
    (0..4).for_each(|number| recorder.record(|| record(number)));
    let first = recorder.read_from(0, 2);
    assert_eq!((values(&first.records), first.next_position), (vec![0, 1], 2));
    (4..7).for_each(|number| recorder.record(|| record(number)));
    let second = recorder.read_from(first.next_position, 2);
    assert_eq!((values(&second.records), second.missed), (vec![3, 4], 1));
    assert_eq!(values(&recorder.read_from(second.next_position, 9).records), [5, 6]);
    assert!(recorder.read_from(7, 9).records.is_empty());
}

#[test]
fn a_disabled_recorder_records_nothing_and_raises_no_alarm() {
    let recorder = Recorder::disabled();
    recorder.record(|| unreachable!("a disabled recorder must not create records"));
    recorder.raise_alarm(1, record(1));
    assert_eq!((recorder.total_recorded(), recorder.take_alarm()), (0, false));
}

#[test]
fn an_alarm_is_recorded_and_reported_once() {
    let recorder = Recorder::new(4);
    recorder.raise_alarm(3, record(1));
    assert_eq!((recorder.take_alarm(), recorder.take_alarm()), (true, false));
    let recorded = recorder.read_from(0, 4).records;
    assert_eq!(
        (recorded[0].kind, recorded[0].detail, recorded[0].query),
        (EventKind::InvariantViolated, 3, 7)
    );
}

#[test]
fn every_event_kind_is_decoded_from_its_encoding() {
    for (index, kind) in EventKind::ALL.iter().enumerate() {
        let record = Record::for_part(*kind, "9b1f03aa5c7e2d41.63.phase2")
            .on_connection(9)
            .with_value(1 << 40)
            .with_detail(2);
        let record = Record { at_us: u64::MAX - index as u64, ..record };
        assert_eq!(Record::from_bytes(&record.to_bytes()), Some(record));
        assert_eq!(record.value, u32::MAX, "a value over u32::MAX is stored as u32::MAX");
        assert!(!timeline::describe(&record).is_empty());
    }
    assert_eq!(Record::from_bytes(&[0xff; RECORD_BYTES]), None);
}

/// Guards against a change of the encoding: records written by this version have to be readable by later
/// versions.
#[test]
fn the_encoding_of_a_record_does_not_change() {
    let record = Record {
        at_us: 0x0102_0304_0506_0708,
        query: 0x1112_1314_1516_1718,
        shard: 0x2122_2324,
        connection: 0x3132_3334,
        value: 0x4142_4344,
        kind: EventKind::ProcessPaused,
        detail: 0x51,
    };
    let bytes = [
        0x01, 0x02, 0x03, 0x04, 0x05, 0x06, 0x07, 0x08, 0x11, 0x12, 0x13, 0x14, 0x15, 0x16, 0x17, 0x18, 0x21,
        0x22, 0x23, 0x24, 0x31, 0x32, 0x33, 0x34, 0x41, 0x42, 0x43, 0x44, 24, 0x51, 0, 0,
    ];
    assert_eq!(record.to_bytes(), bytes);
    let numbers: Vec<u8> = EventKind::ALL.iter().map(|kind| *kind as u8).collect();
    let expected: Vec<u8> = (1..=11).chain(14..=24).collect();
    assert_eq!(numbers, expected);
}

#[test]
fn a_query_and_its_parts_have_the_same_query_key() {
    assert_eq!(query_key("9b1f03aa5c7e2d41"), 0x9b1f_03aa_5c7e_2d41);
    assert_ne!(
        query_key("9b1f03aa5c7e2d4"),
        query_key("09b1f03aa5c7e2d4"),
        "ids of fewer than 16 digits are hashed"
    );
    assert_ne!(query_key("+b1f03aa5c7e2d41"), query_key("0b1f03aa5c7e2d41"));
    assert_eq!(part_key("9b1f03aa5c7e2d41.3"), PartKey { query: 0x9b1f_03aa_5c7e_2d41, shard: 3 });
    assert_eq!(part_key("a.b.12"), PartKey { query: query_key("a.b"), shard: 12 });
    let second_step = Record::for_part(EventKind::PartQueued, "a.5.phase2");
    assert_eq!(
        (second_step.query, second_step.shard_number(), second_step.is_second_step()),
        (query_key("a"), 5, true)
    );
}

#[test]
fn records_among_other_log_lines_are_decoded_without_duplicates() {
    let records: Vec<Record> = (0..300).map(|at| Record { at_us: at, ..record(at) }).collect();
    let mut lines: Vec<String> =
        records.chunks(log_lines::RECORDS_PER_LINE).map(log_lines::encode_line).collect();
    // Another log line, records that were written out a second time, and a truncated line.
    lines.push("t=1.0 level=info msg=\"counters\"".into());
    lines.push(format!("t=2.0 {}", log_lines::encode_line(&records[100..150])));
    lines.push(log_lines::encode_line(&records[..2])[..20].to_owned());
    let decoded = log_lines::decode_lines(lines.iter().map(String::as_str));
    assert_eq!(decoded.records, records);
    assert_eq!(decoded.unreadable_lines, [lines.len()]);
}

#[test]
fn records_of_the_same_microsecond_keep_their_order() {
    let records = [record(3), record(1), record(2)];
    let decoded = log_lines::decode_lines(
        [log_lines::encode_line(&records), log_lines::encode_line(&records)].iter().map(String::as_str),
    );
    assert_eq!(values(&decoded.records), [3, 1, 2]);
}

#[test]
fn a_timeline_has_only_the_records_of_the_query_and_its_connections() {
    let at = |at_us, record| Record { at_us, ..record };
    let all = [
        at(1, Record::for_query(EventKind::ConnectionOpening, 0).on_connection(4)),
        at(2, Record::for_query(EventKind::ConnectionOpening, 0).on_connection(5)),
        at(10, Record::for_query(EventKind::QueryAccepted, query_key("q")).with_value(2)),
        at(11, Record::for_part(EventKind::PartQueued, "q.3").on_connection(4)),
        at(12, Record::for_part(EventKind::PartQueued, "other.3").on_connection(4)),
        at(13, Record::for_query(EventKind::BytesRead, 0).on_connection(4).with_value(8)),
        at(14, Record::for_query(EventKind::ReplyWritten, query_key("q")).with_value(200)),
        at(15, Record::for_query(EventKind::BytesRead, 0).on_connection(4).with_value(8)),
        at(16, Record::for_query(EventKind::ConnectionClosed, 0).on_connection(4)),
    ];
    let records = timeline::records_for_query(&all, query_key("q"));
    assert_eq!(records.iter().map(|record| record.at_us).collect::<Vec<_>>(), [1, 10, 11, 13, 14, 16]);
    let text = timeline::render(&records, query_key("q"));
    assert!(text.contains("+0.004 ms  reply written  status 200"), "{text}");
    let summaries: Vec<_> = timeline::summarize_queries(&all)
        .iter()
        .map(|summary| (summary.query, summary.first_at_us, summary.records))
        .collect();
    assert_eq!(summaries, [(query_key("q"), 10, 3), (query_key("other"), 12, 1)]);
}
