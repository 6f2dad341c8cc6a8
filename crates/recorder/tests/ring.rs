//! The ring, its text and the life of one query.

use pinetrestle_recorder::{key_of, life, part_of, text, Record, Recorder, Step, BYTES};

fn record(number: u64) -> Record {
    Record::of(Step::Taken, 7).with(number)
}

fn numbers(records: &[Record]) -> Vec<u32> {
    records.iter().map(|record| record.number).collect()
}

#[test]
fn the_latest_records_stay_in_their_order() {
    for noted in [0, 1, 4, 5, 6, 10, 23] {
        let recorder = Recorder::new(5);
        (0..noted).for_each(|number| recorder.note(|| record(number)));
        let slice = recorder.slice(0, 100);
        let kept: Vec<u32> = (noted.saturating_sub(5) as u32..noted as u32).collect();
        assert_eq!(numbers(&slice.records), kept);
        assert_eq!((slice.missed, slice.next), (noted.saturating_sub(5), noted));
    }
}

#[test]
fn what_is_overwritten_between_two_slices_is_counted_as_missed() {
    let recorder = Recorder::new(4);
    (0..4).for_each(|number| recorder.note(|| record(number)));
    let first = recorder.slice(0, 2);
    assert_eq!((numbers(&first.records), first.next), (vec![0, 1], 2));
    (4..7).for_each(|number| recorder.note(|| record(number)));
    let second = recorder.slice(first.next, 2);
    assert_eq!((numbers(&second.records), second.missed), (vec![3, 4], 1));
    assert_eq!(numbers(&recorder.slice(second.next, 9).records), [5, 6]);
    assert!(recorder.slice(7, 9).records.is_empty());
}

#[test]
fn a_recorder_that_is_off_makes_no_record_and_raises_no_alarm() {
    let recorder = Recorder::off();
    recorder.note(|| unreachable!("nobody asked for it"));
    recorder.alarm(1, record(1));
    assert_eq!((recorder.noted(), recorder.take_alarm()), (0, false));
}

#[test]
fn an_alarm_is_noted_and_told_once() {
    let recorder = Recorder::new(4);
    recorder.alarm(3, record(1));
    assert_eq!((recorder.take_alarm(), recorder.take_alarm()), (true, false));
    let noted = recorder.slice(0, 4).records;
    assert_eq!((noted[0].step, noted[0].detail, noted[0].query), (Step::Broken, 3, 7));
}

#[test]
fn every_step_comes_back_from_its_bytes() {
    for (place, step) in Step::ALL.iter().enumerate() {
        let record = Record::of_part(*step, "9b1f03aa5c7e2d41.63.phase2").on(9).with(1 << 40).detail(2);
        let record = Record { at: u64::MAX - place as u64, ..record };
        assert_eq!(Record::from_bytes(&record.to_bytes()), Some(record));
        assert_eq!(record.number, u32::MAX, "a number too large is the largest, not another one");
        assert!(!life::words(&record).is_empty());
    }
    assert_eq!(Record::from_bytes(&[0xff; BYTES]), None);
}

#[test]
fn ids_and_their_parts_have_one_key() {
    assert_eq!(key_of("9b1f03aa5c7e2d41"), 0x9b1f_03aa_5c7e_2d41);
    assert_ne!(key_of("9b1f03aa5c7e2d4"), key_of("09b1f03aa5c7e2d4"), "shorter ids are hashed");
    assert_ne!(key_of("+b1f03aa5c7e2d41"), key_of("0b1f03aa5c7e2d41"));
    assert_eq!(part_of("9b1f03aa5c7e2d41.3"), (0x9b1f_03aa_5c7e_2d41, 3));
    assert_eq!(part_of("a.b.12"), (key_of("a.b"), 12));
    let second = Record::of_part(Step::InLine, "a.5.phase2");
    assert_eq!((second.query, second.shard()), (key_of("a"), (5, true)));
}

#[test]
fn records_are_found_among_the_lines_of_a_log_once_each() {
    let records: Vec<Record> = (0..300).map(|at| Record { at, ..record(at) }).collect();
    let mut lines: Vec<String> = records.chunks(text::PER_LINE).map(text::line).collect();
    // Written out a second time, beside other lines, one of them cut.
    lines.push("t=1.0 level=info msg=\"counters\"".into());
    lines.push(format!("t=2.0 {}", text::line(&records[100..150])));
    lines.push(text::line(&records[..2])[..20].to_owned());
    let found = text::read(lines.iter().map(String::as_str));
    assert_eq!(found.records, records);
    assert_eq!(found.unreadable, [lines.len()]);
}

#[test]
fn steps_of_one_moment_keep_their_order() {
    let moment = [record(3), record(1), record(2)];
    let found = text::read([text::line(&moment), text::line(&moment)].iter().map(String::as_str));
    assert_eq!(numbers(&found.records), [3, 1, 2]);
}

#[test]
fn a_life_has_the_query_s_own_steps_and_its_connections_and_no_others() {
    let at = |at, record| Record { at, ..record };
    let all = [
        at(1, Record::of(Step::Connecting, 0).on(4)),
        at(2, Record::of(Step::Connecting, 0).on(5)),
        at(10, Record::of(Step::Taken, key_of("q")).with(2)),
        at(11, Record::of_part(Step::InLine, "q.3").on(4)),
        at(12, Record::of_part(Step::InLine, "other.3").on(4)),
        at(13, Record::of(Step::BytesRead, 0).on(4).with(8)),
        at(14, Record::of(Step::ReplyWritten, key_of("q")).with(200)),
        at(15, Record::of(Step::BytesRead, 0).on(4).with(8)),
        at(16, Record::of(Step::Ended, 0).on(4)),
    ];
    let life = life::of_query(&all, key_of("q"));
    assert_eq!(life.iter().map(|record| record.at).collect::<Vec<_>>(), [1, 10, 11, 13, 14, 16]);
    let text = life::print(&life, key_of("q"));
    assert!(text.contains("+0.004 ms  answer written  status 200"), "{text}");
    assert_eq!(life::queries(&all), [(key_of("q"), 10, 3), (key_of("other"), 12, 1)]);
}
