//! Compatibility of the file formats: files written by an earlier version stay readable, and the same records
//! are still encoded to the same bytes.
//!
//! `tests/data/log` and `tests/data/snapshot` were written by [`write_files`] in an empty directory, with the
//! code of commit f5093a0. They have the format of the files that deployed fleets have on disk. If a test
//! fails here, the code has to be fixed; the files must not be regenerated.

use pinetrestle_store::{read_snapshot, write_snapshot, Log, Record, Snapshot};
use std::fs;
use std::path::{Path, PathBuf};

/// Sequence number of the first record of the log before compaction.
const FIRST: u64 = 40;
/// Sequence number of the first record that the compaction keeps.
const KEPT_FROM: u64 = 42;

fn recorded_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data")
}

/// The payloads of the records appended to the log, starting at sequence number [`FIRST`].
fn payloads() -> Vec<Vec<u8>> {
    vec![
        b"dropped by the compaction".to_vec(),
        b"dropped as well".to_vec(),
        b"a record of text".to_vec(),
        Vec::new(),
        vec![0],
        (0..=255).collect(),
        vec![0xff; 3_000],
        b"appended after the compaction".to_vec(),
    ]
}

fn snapshot() -> Snapshot {
    Snapshot { last_sequence: 41, payload: b"what the first two records did".to_vec() }
}

/// Writes the log and the snapshot: appends seven records, removes the first two by compaction, appends an
/// eighth.
fn write_files(dir: &Path) {
    let payloads = payloads();
    let mut log = Log::open(dir, FIRST).unwrap().log;
    let (last, first_seven) = payloads.split_last().unwrap();
    for payload in first_seven {
        log.append(payload).unwrap();
    }
    log.sync().unwrap();
    write_snapshot(dir, &snapshot()).unwrap();
    log.compact(KEPT_FROM).unwrap();
    log.append(last).unwrap();
    log.sync().unwrap();
}

#[test]
fn a_log_written_by_an_earlier_version_is_read_completely_and_appended_to() {
    let dir = tempfile::tempdir().unwrap();
    fs::copy(recorded_dir().join("log"), dir.path().join("log")).unwrap();
    let opened = Log::open(dir.path(), 1).unwrap();
    let record = |(sequence, payload)| Record { sequence, payload };
    let expected: Vec<Record> = (FIRST..).zip(payloads()).skip(2).map(record).collect();
    assert_eq!(opened.records, expected);
    assert_eq!(opened.truncated_bytes, 0, "every byte of the file belongs to a complete record");
    let mut log = opened.log;
    assert_eq!(log.next_sequence(), 48);
    assert_eq!(log.size_bytes(), fs::metadata(recorded_dir().join("log")).unwrap().len());
    assert_eq!(log.append(b"by this version").unwrap(), 48);
}

#[test]
fn a_snapshot_written_by_an_earlier_version_is_read_completely() {
    assert_eq!(read_snapshot(&recorded_dir()).unwrap(), Some(snapshot()));
}

#[test]
fn the_same_records_are_encoded_to_the_recorded_bytes() {
    let dir = tempfile::tempdir().unwrap();
    write_files(dir.path());
    for name in ["log", "snapshot"] {
        let written = fs::read(dir.path().join(name)).unwrap();
        let recorded = fs::read(recorded_dir().join(name)).unwrap();
        assert!(written == recorded, "the format of `{name}` has changed");
    }
}

#[test]
fn a_record_is_length_sequence_checksum_and_payload() {
    let log = fs::read(recorded_dir().join("log")).unwrap();
    let head = [16, 0, 0, 0, 42, 0, 0, 0, 0, 0, 0, 0];
    assert_eq!(log[..12], head, "length and sequence number, little-endian");
    let checksum = u32::from_le_bytes(log[12..16].try_into().unwrap());
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&42u64.to_le_bytes());
    hasher.update(b"a record of text");
    assert_eq!(checksum, hasher.finalize(), "CRC-32 of the sequence number and the payload");
    assert_eq!(&log[16..32], b"a record of text");
}
