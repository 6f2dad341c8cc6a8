//! Errors of the input and of the pipes.

use pinetrestle_settings::fields::FieldError;

/// An error that ends the program. Its message is printed after the number of the line of input.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line is not JSON.
    #[error("invalid JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A field of the line, or of the settings in it, is missing or invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// An endpoint list refers to a table that was not sent. Contains the number of the table.
    #[error("field 'ref' refers to unknown table {0}")]
    UnknownTable(u64),
    /// Reading standard input or writing standard output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
