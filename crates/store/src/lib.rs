//! Crash-safe storage for a replicated log and its snapshot.
//!
//! A store is a directory with two files:
//!
//! - `log`: records in append order. A record is a header of 16 bytes followed by the payload. The header
//!   fields are little-endian: the payload length in bytes (`u32`), the sequence number (`u64`), and the
//!   CRC-32 (IEEE) of sequence number and payload (`u32`). Sequence numbers are consecutive. A record is
//!   **acknowledged** once a [`Log::sync`] that follows its append has returned `Ok`.
//! - `snapshot`: a single record in the same format. It is replaced atomically: the new snapshot is written
//!   to `snapshot.tmp`, synced and renamed over the old one, then the directory is synced.
//!
//! [`Log::open`] reads the log up to the first record that is incomplete, fails its checksum, has a payload
//! length over [`MAX_RECORD_BYTES`], or has a sequence number other than the next one. It truncates the file
//! at that record and syncs it. A crash during a write, after any byte, therefore loses no acknowledged
//! record, and an incomplete record is never returned (`tests/truncation.rs` truncates the log at every
//! byte).
//!
//! The store relies on two guarantees of the disk and the file system: synced data survives a power failure,
//! and a rename is atomic, and durable once the directory has been synced. A disk that reports a sync without
//! writing the data is not supported. A bit flip near the end of the log fails the checksum and is handled
//! like an incomplete record: the log is truncated there.
//!
//! All file-system calls go through the [`FileSystem`] trait, so that tests can make each of them fail.
//! Functions that can fail return a [`StoreError`].

#![warn(missing_docs)]

mod error;
mod file_system;
mod log;
mod record;
mod snapshot;

pub use error::StoreError;
pub use file_system::{AppendFile, FileSystem, OsFileSystem};
pub use log::{Log, OpenedLog};
pub use record::{Record, HEADER_BYTES, MAX_RECORD_BYTES};
pub use snapshot::{read_snapshot, read_snapshot_with_fs, write_snapshot, write_snapshot_with_fs, Snapshot};
