//! Typed readers of the fields of a JSON object, each error naming the key at fault.
//!
//! Every reader takes the object and a key, and returns the value in its Rust type or a [`FieldError`]
//! that names the key. A caller that reads an inner object prefixes the outer key with
//! [`FieldError::within`], so that the error names the key by its whole path (`rules.fall`,
//! `classes[1].aim`).

use pinetrestle::interface::Micros;
use serde_json::Value;
use std::fmt;

/// The JSON value that a reader expected, as an error message says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// A whole number that fits `i64`.
    Integer,
    /// A whole number from 0 on that fits `u64`.
    Count,
    /// Any JSON number, as `f64`.
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
            Expected::Integer => "a whole number",
            Expected::Count => "a count",
            Expected::Number => "a number",
            Expected::Text => "text",
            Expected::Boolean => "true or false",
            Expected::List => "a list",
            Expected::Object => "an object",
        })
    }
}

/// What is wrong with the value of a key. Its message follows the key: `field 'fleet_size' is missing`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The key is absent, or its value is `null`.
    #[error("is missing")]
    Missing,
    /// The value is of another JSON type than the one expected.
    #[error("is not {0}")]
    WrongType(Expected),
    /// A count that doesn't fit `u32`.
    #[error("is out of range")]
    OutOfRange,
    /// A per-class list of `family_info` has no number at this class's index (counted from 0).
    #[error("has no number for class {0}")]
    NoNumberForClass(usize),
    /// A value of a wire description's renames is not a string.
    #[error("is no name")]
    NotAString,
    /// A check of the caller's own failed on a value that the readers accepted; the text says what is wrong.
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

/// A key whose value can't be read, and what is wrong with it.
///
/// Its message is `field '<key>' <problem>`, e.g. `field 'rules.fall' is missing`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field '{key}' {problem}")]
pub struct FieldError {
    /// The key by its whole path from the object that was read: `rules.fall`, `classes[1].aim`.
    pub key: String,
    /// What is wrong with its value.
    pub problem: Problem,
}

impl FieldError {
    /// An error of the key; `problem` is a [`Problem`], or a text that says what is wrong.
    pub fn new(key: &str, problem: impl Into<Problem>) -> FieldError {
        FieldError { key: key.to_owned(), problem: problem.into() }
    }

    /// The same error seen from the object around it: its key is prefixed with `outer` and a dot.
    #[must_use]
    pub fn within(self, outer: &str) -> FieldError {
        FieldError { key: format!("{outer}.{}", self.key), ..self }
    }
}

/// The result of reading a value from settings.
pub type Parsed<T> = Result<T, FieldError>;

/// The value of the key, which must be there and not `null`.
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

/// The value of the key, converted by `convert`, which gives `None` where the value is not `expected`.
fn read_as<'a, T>(
    value: &'a Value,
    name: &str,
    expected: Expected,
    convert: impl Fn(&'a Value) -> Option<T>,
) -> Parsed<T> {
    convert(field(value, name)?).ok_or_else(|| FieldError::new(name, Problem::WrongType(expected)))
}

/// A whole number that fits `i64`.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn integer(value: &Value, name: &str) -> Parsed<i64> {
    read_as(value, name, Expected::Integer, Value::as_i64)
}

/// A whole number from 0 on that fits `u64`.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn count(value: &Value, name: &str) -> Parsed<u64> {
    read_as(value, name, Expected::Count, Value::as_u64)
}

/// A count that fits `u32` (below 2^32).
///
/// # Errors
///
/// [`Problem::Missing`], [`Problem::WrongType`] for a value that is no count, or [`Problem::OutOfRange`].
pub fn count_u32(value: &Value, name: &str) -> Parsed<u32> {
    u32::try_from(count(value, name)?).map_err(|_| FieldError::new(name, Problem::OutOfRange))
}

/// A time in microseconds, as a whole number.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for a value that is no whole number.
pub fn micros(value: &Value, name: &str) -> Parsed<Micros> {
    integer(value, name).map(Micros)
}

/// Any number, as `f64`.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn number(value: &Value, name: &str) -> Parsed<f64> {
    read_as(value, name, Expected::Number, Value::as_f64)
}

/// A string.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn text<'a>(value: &'a Value, name: &str) -> Parsed<&'a str> {
    read_as(value, name, Expected::Text, Value::as_str)
}

/// `true` or `false`.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn flag(value: &Value, name: &str) -> Parsed<bool> {
    read_as(value, name, Expected::Boolean, Value::as_bool)
}

/// An array.
///
/// # Errors
///
/// [`Problem::Missing`], or [`Problem::WrongType`] for any other value.
pub fn list<'a>(value: &'a Value, name: &str) -> Parsed<&'a Vec<Value>> {
    read_as(value, name, Expected::List, Value::as_array)
}

/// A key that may be absent: `None` where it is absent or `null`, else what `read` makes of it.
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
