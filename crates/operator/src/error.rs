//! The error type for operator files.

use crate::syntax_remedy::{describe_type_error, remedy_for};
use crate::validation_error::ValidationError;
use std::path::{Path, PathBuf};

/// The maximum size of an operator file in bytes.
pub const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// The reason why an operator file is rejected. As far as they are known, the message gives the file, the
/// line, the key, the problem and how to fix it.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{}: can't be read: {source}; check that the file exists and is readable", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("{}: has {bytes} bytes, over the limit of {MAX_FILE_BYTES} bytes; shorten it", file.display())]
    TooLarge {
        /// The file.
        file: PathBuf,
        /// The size of the file in bytes.
        bytes: u64,
    },
    /// The content of the file is not valid UTF-8.
    #[error("{}: is not valid UTF-8; save it as UTF-8 text", file.display())]
    NotUtf8 {
        /// The file.
        file: PathBuf,
    },
    /// The text is not valid JSON5, or it cannot be deserialized into the file's type.
    #[error("{}:{line}: {error}", file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// The line number, starting at 1.
        line: usize,
        /// The problem on that line. Its key is empty if the problem is not at a key.
        error: ValidationError,
    },
    /// The text was deserialized, but a value is out of range or contradicts another.
    #[error("{}{}: {error}", file.display(), line.map_or(String::new(), |line| format!(":{line}")))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The line number of the key, starting at 1; `None` if the key could not be located.
        line: Option<usize>,
        /// The failed validation.
        error: ValidationError,
    },
}

impl FileError {
    /// Returns the line number of the problem, starting at 1. Returns `None` if the problem is with the file
    /// as a whole or the line is not known.
    pub fn line(&self) -> Option<usize> {
        match self {
            FileError::Unreadable { .. } | FileError::TooLarge { .. } | FileError::NotUtf8 { .. } => None,
            FileError::Malformed { line, .. } => Some(*line),
            FileError::Invalid { line, .. } => *line,
        }
    }

    /// Returns the problem in the text of the file. Returns `None` if the file could not be read as text.
    pub fn validation_error(&self) -> Option<&ValidationError> {
        match self {
            FileError::Unreadable { .. } | FileError::TooLarge { .. } | FileError::NotUtf8 { .. } => None,
            FileError::Malformed { error, .. } | FileError::Invalid { error, .. } => Some(error),
        }
    }

    /// Converts an error of the JSON5 deserializer. An error without a position means that something is
    /// missing at the end of the file, so `last_line` is used as its line.
    pub(crate) fn malformed(file: &Path, key: String, error: &json5::Error, last_line: usize) -> FileError {
        let line = error.position().map_or(last_line, |position| position.line + 1);
        let error = match error.code() {
            Some(code) => ValidationError::new(key, format!("can't be read: {code}"), remedy_for(code)),
            None => describe_type_error(key, &error.to_string()),
        };
        FileError::Malformed { file: file.to_owned(), line, error }
    }
}
