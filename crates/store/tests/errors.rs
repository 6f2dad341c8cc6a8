//! The errors of the store: they name the file, keep the OS error as their source, and convert into an
//! `io::Error` of the same kind.

use pinetrestle_store::{Log, StoreError, MAX_RECORD_BYTES};
use std::{fs, io};

/// The value of `ENOTDIR` on Linux.
const ENOTDIR: i32 = 20;

#[test]
fn a_file_system_error_names_the_file_and_keeps_the_os_error() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("a-file");
    fs::write(&file, b"not a directory").unwrap();
    let error = Log::open(&file.join("store"), 1).unwrap_err();
    assert!(matches!(error, StoreError::FileSystem { .. }), "{error:?}");
    let text = error.to_string();
    assert!(text.contains("a-file/store: "), "{text}");

    let converted = io::Error::from(error);
    assert_eq!(converted.kind(), io::ErrorKind::NotADirectory);
    assert_eq!(converted.to_string(), text);
    let wrapped = converted.get_ref().and_then(|error| error.source());
    let os_error = wrapped.and_then(|source| source.downcast_ref::<io::Error>()).unwrap();
    assert_eq!(os_error.raw_os_error(), Some(ENOTDIR));
}

#[test]
fn a_payload_over_the_limit_is_rejected_and_the_log_is_unchanged() {
    let dir = tempfile::tempdir().unwrap();
    let mut log = Log::open(dir.path(), 1).unwrap().log;
    let error = log.append(&vec![0; MAX_RECORD_BYTES + 1]).unwrap_err();
    assert_eq!(error.to_string(), "record payload of 1048577 bytes exceeds the limit of 1048576 bytes");
    assert_eq!(io::Error::from(error).kind(), io::ErrorKind::InvalidInput);
    assert_eq!((log.next_sequence(), log.size_bytes()), (1, 0));
    assert_eq!(log.append(&vec![0; MAX_RECORD_BYTES]).unwrap(), 1);
}

#[test]
fn a_log_file_that_was_modified_externally_is_not_compacted() {
    let dir = tempfile::tempdir().unwrap();
    let mut log = Log::open(dir.path(), 1).unwrap().log;
    log.append(b"one").unwrap();
    log.sync().unwrap();
    fs::write(dir.path().join("log"), b"").unwrap();
    let error = log.compact(1).unwrap_err();
    assert!(matches!(error, StoreError::LogCorrupt { readable: 0, written: 19, .. }), "{error:?}");
    assert_eq!(error.kind(), io::ErrorKind::InvalidData);
}
