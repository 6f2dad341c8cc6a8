//! Fields of a JSON object, each error naming the key at fault.

use pinetrestle::interface::Micros;
use serde_json::Value;
use std::fmt;

/// What is wrong with which key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, with those around it: `rules.fall`.
    pub key: String,
    /// What is wrong with it.
    pub wrong: String,
}

impl Fault {
    /// A fault of the key.
    pub fn new(key: &str, wrong: impl Into<String>) -> Fault {
        Fault { key: key.to_owned(), wrong: wrong.into() }
    }

    /// The same fault seen from outside: its key stands within another.
    #[must_use]
    pub fn within(self, outer: &str) -> Fault {
        Fault { key: format!("{outer}.{}", self.key), ..self }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "field '{}' {}", self.key, self.wrong)
    }
}

impl std::error::Error for Fault {}

/// The result of reading something.
pub type Parsed<T> = Result<T, Fault>;

/// The field's value, which must be there.
pub fn field<'a>(value: &'a Value, name: &str) -> Parsed<&'a Value> {
    match value.get(name) {
        Some(Value::Null) | None => Err(Fault::new(name, "is missing")),
        Some(found) => Ok(found),
    }
}

fn read<'a, T>(value: &'a Value, name: &str, what: &str, get: impl Fn(&'a Value) -> Option<T>) -> Parsed<T> {
    get(field(value, name)?).ok_or_else(|| Fault::new(name, format!("is not {what}")))
}

/// A whole number.
pub fn int(value: &Value, name: &str) -> Parsed<i64> {
    read(value, name, "a whole number", Value::as_i64)
}

/// A whole number from 0 on.
pub fn count(value: &Value, name: &str) -> Parsed<u64> {
    read(value, name, "a count", Value::as_u64)
}

/// A count below 2^32.
pub fn id(value: &Value, name: &str) -> Parsed<u32> {
    u32::try_from(count(value, name)?).map_err(|_| Fault::new(name, "is out of range"))
}

/// A time in microseconds.
pub fn micros(value: &Value, name: &str) -> Parsed<Micros> {
    int(value, name).map(Micros)
}

/// Any number.
pub fn number(value: &Value, name: &str) -> Parsed<f64> {
    read(value, name, "a number", Value::as_f64)
}

/// Text.
pub fn text<'a>(value: &'a Value, name: &str) -> Parsed<&'a str> {
    read(value, name, "text", Value::as_str)
}

/// True or false.
pub fn flag(value: &Value, name: &str) -> Parsed<bool> {
    read(value, name, "true or false", Value::as_bool)
}

/// A list.
pub fn list<'a>(value: &'a Value, name: &str) -> Parsed<&'a Vec<Value>> {
    read(value, name, "a list", Value::as_array)
}

/// A field that may be absent.
pub fn maybe<T>(value: &Value, name: &str, read: impl Fn(&Value, &str) -> Parsed<T>) -> Parsed<Option<T>> {
    if value.get(name).is_none_or(Value::is_null) {
        return Ok(None);
    }
    read(value, name).map(Some)
}
