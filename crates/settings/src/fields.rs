//! Typed readers for the fields of a JSON object.
//!
//! Each reader takes the object and a key, and returns the value as a Rust type, or a [`FieldError`] that
//! contains the key. When a caller reads a nested object, it prefixes the key in errors with
//! [`FieldError::within`], so that an error contains the full path (`rules.fall`, `classes[1].aim`).

use pinetrestle::interface::Micros;
use serde_json::Value;
use std::fmt;

/// The kind of JSON value that a reader expected. Its `Display` text is used in error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// An integer in the range of `i64`.
    Integer,
    /// An integer in the range of `u64`.
    Count,
    /// Any JSON number, read as `f64`.
    Number,
    /// A JSON string.
    Text,
    /// `true` or `false`.
    Boolean,
    /// A JSON array.
    List,
    /// A JSON object.
    Object,
}

impl fmt::Display for Expected {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Expected::Integer => "an integer",
            Expected::Count => "a non-negative integer",
            Expected::Number => "a number",
            Expected::Text => "a string",
            Expected::Boolean => "a boolean",
            Expected::List => "an array",
            Expected::Object => "an object",
        })
    }
}

/// The problem with the value of a key. Its message is printed after the key, as in
/// `field 'fleet_size' is missing`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The key is absent, or its value is `null`.
    #[error("is missing")]
    Missing,
    /// The value is not of the expected kind.
    #[error("is not {0}")]
    WrongType(Expected),
    /// The value is a non-negative integer outside the range of `u32`.
    #[error("is out of range")]
    OutOfRange,
    /// An array in `family_info` with one number per class has no number at this class index, which starts
    /// at 0.
    #[error("has no number for class {0}")]
    NoNumberForClass(usize),
    /// The alias of a key in a wire description (see [`KeyAliases`](crate::KeyAliases)) is not a string.
    #[error("is not a string")]
    NotAString,
    /// A check of the caller failed. Contains the message.
    #[error("{0}")]
    Invalid(String),
}

impl From<&str> for Problem {
    fn from(description: &str) -> Problem {
        Problem::Invalid(description.to_owned())
    }
}

impl From<String> for Problem {
    fn from(description: String) -> Problem {
        Problem::Invalid(description)
    }
}

/// Error for a key whose value is missing or invalid.
///
/// The message is `field '<key>' <problem>`, for example `field 'rules.fall' is missing`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field '{key}' {problem}")]
pub struct FieldError {
    /// Path of the key from the outermost object: `rules.fall`, `classes[1].aim`.
    pub key: String,
    /// The problem with the value of the key.
    pub problem: Problem,
}

impl FieldError {
    /// Creates an error for a key. `problem` is a [`Problem`] or the text of a [`Problem::Invalid`].
    pub fn new(key: &str, problem: impl Into<Problem>) -> FieldError {
        FieldError { key: key.to_owned(), problem: problem.into() }
    }

    /// Returns the error with `outer` and a dot prepended to its key, for a key inside the object at `outer`.
    #[must_use]
    pub fn within(self, outer: &str) -> FieldError {
        FieldError { key: format!("{outer}.{}", self.key), ..self }
    }
}

/// Result of reading a value from a JSON object.
pub type Parsed<T> = Result<T, FieldError>;

/// Returns the value of a key, which must be present and not `null`.
///
/// # Errors
///
/// [`Problem::Missing`] when the key is absent or `null`.
pub fn field<'a>(value: &'a Value, name: &str) -> Parsed<&'a Value> {
    match value.get(name) {
        Some(Value::Null) | None => Err(FieldError::new(name, Problem::Missing)),
        Some(found) => Ok(found),
    }
}

/// Reads the value of a key with `convert`, which returns `None` if the value is not of the kind `expected`.
fn read_as<'a, T>(
    value: &'a Value,
    name: &str,
    expected: Expected,
    convert: impl Fn(&'a Value) -> Option<T>,
) -> Parsed<T> {
    convert(field(value, name)?).ok_or_else(|| FieldError::new(name, Problem::WrongType(expected)))
}

/// Reads an integer in the range of `i64`.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn integer(value: &Value, name: &str) -> Parsed<i64> {
    read_as(value, name, Expected::Integer, Value::as_i64)
}

/// Reads an integer in the range of `u64`.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn count(value: &Value, name: &str) -> Parsed<u64> {
    read_as(value, name, Expected::Count, Value::as_u64)
}

/// Reads an integer in the range of `u32`.
///
/// # Errors
///
/// [`Problem::Missing`], [`Problem::WrongType`] for a value that is not an integer in the range of `u64`, or
/// [`Problem::OutOfRange`] for one of 2^32 or more.
pub fn count_u32(value: &Value, name: &str) -> Parsed<u32> {
    u32::try_from(count(value, name)?).map_err(|_| FieldError::new(name, Problem::OutOfRange))
}

/// Reads a time in microseconds, which must be an integer in the range of `i64`.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn micros(value: &Value, name: &str) -> Parsed<Micros> {
    integer(value, name).map(Micros)
}

/// Reads any number as `f64`.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn number(value: &Value, name: &str) -> Parsed<f64> {
    read_as(value, name, Expected::Number, Value::as_f64)
}

/// Reads a string.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn text<'a>(value: &'a Value, name: &str) -> Parsed<&'a str> {
    read_as(value, name, Expected::Text, Value::as_str)
}

/// Reads a boolean.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn flag(value: &Value, name: &str) -> Parsed<bool> {
    read_as(value, name, Expected::Boolean, Value::as_bool)
}

/// Reads an array.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn list<'a>(value: &'a Value, name: &str) -> Parsed<&'a Vec<Value>> {
    read_as(value, name, Expected::List, Value::as_array)
}

/// Reads an optional key with `read`. Returns `None` if the key is absent or `null`.
///
/// # Errors
///
/// The error of `read`.
pub fn optional<T>(value: &Value, name: &str, read: impl Fn(&Value, &str) -> Parsed<T>) -> Parsed<Option<T>> {
    if value.get(name).is_none_or(Value::is_null) {
        return Ok(None);
    }
    read(value, name).map(Some)
}
