//! Reads operator files, the JSON5 files that operators write, into validated types.
//!
//! A file is either accepted as a whole or rejected with a [`FileError`]. As far as they are known, the error
//! message gives the file, the line, the full path of the key, the problem and how to fix it.

#![warn(missing_docs)]

mod error;
mod locate_key;
mod syntax_remedy;
mod validation_error;

pub use error::{FileError, MAX_FILE_BYTES};
pub use validation_error::ValidationError;

use serde::de::{DeserializeOwned, IgnoredAny};
use std::path::Path;

/// A type that can be read from an operator file and has constraints that deserialization does not check.
pub trait Validate: DeserializeOwned {
    /// Checks that values are in range and do not contradict each other.
    ///
    /// # Errors
    /// A [`ValidationError`] for the first invalid value that is found.
    fn validate(&self) -> Result<(), ValidationError>;
}

/// Reads and validates an operator file.
///
/// # Errors
/// A [`FileError`] if the file cannot be read, is larger than [`MAX_FILE_BYTES`], is not valid UTF-8, or is
/// rejected by [`parse`].
pub fn read<T: Validate>(path: &Path) -> Result<T, FileError> {
    let unreadable = |source: std::io::Error| FileError::Unreadable { file: path.to_owned(), source };
    let bytes = std::fs::metadata(path).map_err(unreadable)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(FileError::TooLarge { file: path.to_owned(), bytes });
    }
    let content = std::fs::read(path).map_err(unreadable)?;
    let text = String::from_utf8(content).map_err(|_| FileError::NotUtf8 { file: path.to_owned() })?;
    parse(path, &text)
}

/// Parses and validates the text of an operator file. `path` is only used in error messages.
///
/// # Errors
/// A [`FileError`] if the text is not valid JSON5, cannot be deserialized into `T`, or fails its validation.
pub fn parse<T: Validate>(path: &Path, text: &str) -> Result<T, FileError> {
    let last_line = text.lines().count().max(1);
    let mut deserializer = json5::Deserializer::from_str(text);
    let value: T = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let key = key_of(error.path());
        FileError::malformed(path, key, error.inner(), last_line)
    })?;
    // The deserializer above stops after the first value. `from_str` checks that only whitespace and comments
    // follow.
    json5::from_str::<IgnoredAny>(text)
        .map_err(|error| FileError::malformed(path, String::new(), &error, last_line))?;
    value.validate().map_err(|error| FileError::Invalid {
        file: path.to_owned(),
        line: locate_key::line_of(text, &error.key),
        error,
    })?;
    Ok(value)
}

/// Returns the key path of a deserialization error. It is empty for the file as a whole, which
/// `serde_path_to_error` writes as `.`.
fn key_of(path: &serde_path_to_error::Path) -> String {
    let key = path.to_string();
    if key == "." {
        String::new()
    } else {
        key
    }
}
