//! Crash-safe storage for the fleet's replicated log and snapshots.
//!
//! Two files in one directory:
//!
//! - `log`: records appended one after another. Each is a head of 16 bytes (length of the payload, `u32`; sequence
//!   number, `u64`; CRC-32 (IEEE) of sequence and payload, `u32`; all little-endian) and the payload. Sequence numbers
//!   follow each other without a gap. A record counts as **acknowledged** once [`Log::sync`] has returned after it.
//! - `snapshot`: one record of the same form, replaced as a whole: written to `snapshot.tmp`, synced, renamed over
//!   the old one, and the directory synced.
//!
//! On [`Log::open`] the log is read from the start and believed up to the first record that is cut short, fails
//! its checksum, claims more than [`MAX_RECORD`] bytes or breaks the sequence; the file is cut back to there and
//! synced. A crash at any byte therefore loses no acknowledged record and leaves no half record believed
//! (`tests/cut.rs` cuts at every byte).
//!
//! What is assumed of the disk: a synced write survives power loss, and a rename after a synced directory is
//! either seen whole or not at all. A disk that lies about `fsync` is out of scope; a flipped bit in the tail is
//! caught by the checksum and treated as a cut there.
//!
//! # Errors
//!
//! Every call returns [`std::io::Error`] from the file system as it came, with the path it concerned in the
//! message, and [`std::io::ErrorKind::InvalidInput`] for a payload over [`MAX_RECORD`].

mod disk;
mod log;
mod record;
mod snapshot;

pub use disk::{Disk, DiskFile, SystemDisk};
pub use log::{Log, Opened};
pub use record::{HEAD, MAX_RECORD};
pub use snapshot::{read_snapshot, read_snapshot_on, write_snapshot, write_snapshot_on, Snapshot};

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// An error of the file system and the file it is about; its source is the error itself, with its number.
#[derive(Debug)]
struct FileError {
    path: PathBuf,
    source: io::Error,
}

impl fmt::Display for FileError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{}: {}", self.path.display(), self.source)
    }
}

impl std::error::Error for FileError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

pub(crate) fn with_path(error: io::Error, path: &Path) -> io::Error {
    io::Error::new(error.kind(), FileError { path: path.to_owned(), source: error })
}
