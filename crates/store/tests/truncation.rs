//! Opening a damaged log: truncation at any byte after the synced records loses no acknowledged record, and a
//! log with a flipped bit ends before the corrupt record. No incomplete or corrupt record is read.

use pinetrestle_store::{read_snapshot, write_snapshot, Log, Record, Snapshot, HEADER_BYTES};
use std::fs;

fn payload(i: u64) -> Vec<u8> {
    (0..(i % 37 + 1)).map(|b| (b as u8).wrapping_mul(31).wrapping_add(i as u8)).collect()
}

#[test]
fn truncation_at_any_byte_keeps_acknowledged_and_drops_incomplete_records() {
    let dir = tempfile::tempdir().unwrap();
    let mut log = Log::open(dir.path(), 1).unwrap().log;
    for i in 1..=20 {
        log.append(&payload(i)).unwrap();
    }
    log.sync().unwrap();
    let acknowledged = log.size_bytes() as usize;
    let mut ends = vec![acknowledged];
    for i in 21..=25 {
        log.append(&payload(i)).unwrap();
        ends.push(log.size_bytes() as usize);
    }
    drop(log);
    let content = fs::read(dir.path().join("log")).unwrap();
    for length in acknowledged..=content.len() {
        let copy = tempfile::tempdir().unwrap();
        fs::write(copy.path().join("log"), &content[..length]).unwrap();
        let opened = Log::open(copy.path(), 1).unwrap();
        let complete_records = 20 + ends.iter().skip(1).filter(|&&end| end <= length).count();
        assert_eq!(opened.records.len(), complete_records, "truncated at byte {length}");
        for record in &opened.records {
            let sequence = record.sequence;
            assert_eq!(
                record.payload,
                payload(sequence),
                "record {sequence}, log truncated at byte {length}"
            );
        }
        let valid_bytes = ends[complete_records - 20];
        assert_eq!(opened.truncated_bytes as usize, length - valid_bytes, "truncated at byte {length}");
        assert_eq!(fs::metadata(copy.path().join("log")).unwrap().len() as usize, valid_bytes);
        let mut log = opened.log;
        assert_eq!(log.next_sequence(), complete_records as u64 + 1);
        log.append(b"after").unwrap();
        log.sync().unwrap();
        let reopened = Log::open(copy.path(), 1).unwrap();
        let last = Record { sequence: complete_records as u64 + 1, payload: b"after".to_vec() };
        assert_eq!(reopened.records.last().unwrap(), &last);
        assert_eq!(reopened.truncated_bytes, 0);
    }
}

#[test]
fn a_flipped_bit_ends_the_log_before_the_record_it_is_in() {
    let dir = tempfile::tempdir().unwrap();
    let mut log = Log::open(dir.path(), 7).unwrap().log;
    let mut starts = Vec::new();
    for i in 0..10 {
        starts.push(log.size_bytes() as usize);
        log.append(&payload(i)).unwrap();
    }
    log.sync().unwrap();
    drop(log);
    let content = fs::read(dir.path().join("log")).unwrap();
    for at in starts[6]..content.len() {
        let mut bytes = content.clone();
        bytes[at] ^= 0x10;
        let copy = tempfile::tempdir().unwrap();
        fs::write(copy.path().join("log"), &bytes).unwrap();
        let opened = Log::open(copy.path(), 7).unwrap();
        let corrupt_record = starts.iter().rposition(|&s| s <= at).unwrap();
        assert_eq!(opened.records.len(), corrupt_record, "bit flipped at byte {at}");
        assert!(opened.records.iter().enumerate().all(|(i, record)| record.sequence == 7 + i as u64));
    }
}

#[test]
fn a_record_out_of_sequence_ends_the_log_before_it() {
    let dir = tempfile::tempdir().unwrap();
    let mut log = Log::open(dir.path(), 1).unwrap().log;
    log.append(b"one").unwrap();
    log.append(b"two").unwrap();
    log.sync().unwrap();
    drop(log);
    let other_dir = tempfile::tempdir().unwrap();
    let mut other_log = Log::open(other_dir.path(), 5).unwrap().log;
    other_log.append(b"five").unwrap();
    other_log.sync().unwrap();
    let mut bytes = fs::read(dir.path().join("log")).unwrap();
    let valid_bytes = bytes.len();
    bytes.extend_from_slice(&fs::read(other_dir.path().join("log")).unwrap());
    fs::write(dir.path().join("log"), &bytes).unwrap();
    let opened = Log::open(dir.path(), 1).unwrap();
    assert_eq!(opened.records.len(), 2);
    assert_eq!(opened.truncated_bytes as usize, HEADER_BYTES + 4);
    assert_eq!(opened.log.size_bytes() as usize, valid_bytes);
}

#[test]
fn a_compacted_log_keeps_later_records_and_accepts_more() {
    let dir = tempfile::tempdir().unwrap();
    let mut log = Log::open(dir.path(), 1).unwrap().log;
    for i in 1..=10 {
        log.append(&payload(i)).unwrap();
    }
    log.sync().unwrap();
    write_snapshot(dir.path(), &Snapshot { last_sequence: 6, payload: b"state at 6".to_vec() }).unwrap();
    log.compact(7).unwrap();
    assert_eq!(log.next_sequence(), 11);
    log.append(&payload(11)).unwrap();
    log.sync().unwrap();
    let opened = Log::open(dir.path(), 1).unwrap();
    let sequences: Vec<u64> = opened.records.iter().map(|record| record.sequence).collect();
    assert_eq!(sequences, (7..=11).collect::<Vec<_>>());
    let snapshot = read_snapshot(dir.path()).unwrap().unwrap();
    assert_eq!(snapshot, Snapshot { last_sequence: 6, payload: b"state at 6".to_vec() });
}

#[test]
fn a_corrupt_snapshot_is_an_error_that_names_its_file() {
    let dir = tempfile::tempdir().unwrap();
    assert_eq!(read_snapshot(dir.path()).unwrap(), None);
    write_snapshot(dir.path(), &Snapshot { last_sequence: 3, payload: vec![1, 2, 3] }).unwrap();
    let path = dir.path().join("snapshot");
    let mut bytes = fs::read(&path).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, bytes).unwrap();
    let error = read_snapshot(dir.path()).unwrap_err();
    assert!(error.to_string().contains("snapshot: fails its checksum"), "{error}");
}
