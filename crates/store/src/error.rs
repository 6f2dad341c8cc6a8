//! The error type of the store.

use crate::record::MAX_RECORD_BYTES;
use std::io;
use std::path::{Path, PathBuf};

/// An error of the store. The conversion into [`io::Error`] keeps the error kind, the message and the source.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file-system call failed. The source carries the OS error number.
    #[error("{path}: {source}", path = .path.display())]
    FileSystem {
        /// The file or directory that the call was made on.
        path: PathBuf,
        /// The error that the operating system returned.
        source: io::Error,
    },
    /// A payload is larger than [`MAX_RECORD_BYTES`].
    #[error("record payload of {bytes} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes")]
    RecordTooLarge {
        /// The length of the payload in bytes.
        bytes: usize,
    },
    /// The complete records in the log file differ in total size or number from those that were written. The
    /// file is not modified.
    #[error(
        "{path}: complete records take up {readable} bytes, but {written} bytes were written; \
         restore the log from a peer",
        path = .path.display()
    )]
    LogCorrupt {
        /// The log file.
        path: PathBuf,
        /// Size in bytes of the complete records at the start of the file.
        readable: u64,
        /// Size in bytes of the records that were written.
        written: u64,
    },
    /// A rename over the log failed, and the log could not be read to find out whether the rename took
    /// effect. The open file may no longer be the log.
    #[error("{path}: unknown whether a failed rename replaced the log; reopen it", path = .path.display())]
    RenameOutcomeUnknown {
        /// The log file.
        path: PathBuf,
    },
    /// The snapshot file fails its checksum or is not exactly one complete record.
    #[error("{path}: fails its checksum; restore the snapshot from a peer", path = .path.display())]
    SnapshotCorrupt {
        /// The snapshot file.
        path: PathBuf,
    },
}

impl StoreError {
    /// Wraps the error of a file-system call on `path`.
    pub(crate) fn file_system(path: &Path, source: io::Error) -> StoreError {
        StoreError::FileSystem { path: path.to_owned(), source }
    }

    /// Returns the kind of the [`io::Error`] that this error converts into.
    pub fn kind(&self) -> io::ErrorKind {
        match self {
            StoreError::FileSystem { source, .. } => source.kind(),
            StoreError::RecordTooLarge { .. } => io::ErrorKind::InvalidInput,
            StoreError::LogCorrupt { .. } | StoreError::SnapshotCorrupt { .. } => io::ErrorKind::InvalidData,
            StoreError::RenameOutcomeUnknown { .. } => io::ErrorKind::Other,
        }
    }
}

impl From<StoreError> for io::Error {
    fn from(error: StoreError) -> io::Error {
        io::Error::new(error.kind(), error)
    }
}
