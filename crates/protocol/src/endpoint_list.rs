//! The endpoint list: the index servers that discovery knows, complete or as changes to an earlier version.

use crate::names::{EndpointListKeys, WireNames};
use serde_json::Value;

/// Start times are below this, in milliseconds of Unix time.
const START_TIME_LIMIT_MS: f64 = 1e15;
/// The weight of an endpoint whose entry states none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The status of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// In service.
    Up,
    /// Shutting down gracefully: it finishes what is in flight and takes nothing new.
    Draining,
    /// No longer there.
    Removed,
}

/// One index server of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Its name, the same for every front node.
    pub name: String,
    /// Its address as this front node reaches it; may be empty if it is removed.
    pub address: String,
    /// Its cell.
    pub cell: u32,
    /// Its status.
    pub status: Status,
    /// Its relative capacity.
    pub weight: f64,
    /// Its last start in milliseconds of Unix time; 0 if that is not stated.
    pub start_time_ms: i64,
}

/// A version of the list, complete or as changes to the version before.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// The version, which grows with each change.
    pub version: u64,
    /// Whether `entries` is the complete list.
    pub complete: bool,
    /// The endpoints of the list or of the change.
    pub entries: Vec<EndpointEntry>,
}

/// A field of an endpoint list that is missing or has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field '{key}' of the endpoint list is missing or invalid")]
pub struct InvalidField {
    /// The key of the field.
    pub key: String,
}

/// Bytes that are not an endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// The bytes are not JSON.
    #[error("the endpoint list is not JSON")]
    NotJson,
    /// A field is missing or invalid.
    #[error(transparent)]
    InvalidField(#[from] InvalidField),
}

fn invalid_field(key: &str) -> InvalidField {
    InvalidField { key: key.to_owned() }
}

/// Parses an endpoint list from the bytes of one line or body.
///
/// # Errors
/// [`EndpointListError`], the first fault found.
pub fn parse_list_update(line: &[u8], names: &WireNames) -> Result<ListUpdate, EndpointListError> {
    let value = serde_json::from_slice(line).map_err(|_| EndpointListError::NotJson)?;
    Ok(list_update_from_json(&value, names)?)
}

/// Reads an endpoint list from a JSON value.
///
/// # Errors
/// [`InvalidField`], the first one found.
pub fn list_update_from_json(value: &Value, names: &WireNames) -> Result<ListUpdate, InvalidField> {
    let keys = &names.endpoint_list_keys;
    let field = |key: &str| value.get(key).ok_or_else(|| invalid_field(key));
    let version = field(&keys.version)?.as_u64().ok_or_else(|| invalid_field(&keys.version))?;
    let complete = field(&keys.complete)?.as_bool().ok_or_else(|| invalid_field(&keys.complete))?;
    let listed = field(&keys.entries)?.as_array().ok_or_else(|| invalid_field(&keys.entries))?;
    let entries = listed.iter().map(|entry| read_entry(entry, names)).collect::<Result<_, _>>()?;
    Ok(ListUpdate { version, complete, entries })
}

fn read_entry(value: &Value, names: &WireNames) -> Result<EndpointEntry, InvalidField> {
    let keys = &names.endpoint_list_keys;
    let name = string_field(value, &keys.name)?.to_owned();
    let address = string_field(value, &keys.address).unwrap_or_default().to_owned();
    let status = read_status(value, names)?;
    if address.is_empty() && status != Status::Removed {
        return Err(invalid_field(&keys.address));
    }
    let cell = read_cell(value, keys, status)?;
    let weight = read_weight(value, keys)?;
    let start_time_ms = read_start_time(value, keys)?;
    Ok(EndpointEntry { name, address, cell, status, weight, start_time_ms })
}

fn string_field<'a>(value: &'a Value, key: &str) -> Result<&'a str, InvalidField> {
    value.get(key).and_then(Value::as_str).ok_or_else(|| invalid_field(key))
}

fn read_status(value: &Value, names: &WireNames) -> Result<Status, InvalidField> {
    let key = &names.endpoint_list_keys.status;
    let states = &names.status_values;
    match string_field(value, key)? {
        status if status == states.up => Ok(Status::Up),
        status if status == states.draining => Ok(Status::Draining),
        status if status == states.removed => Ok(Status::Removed),
        _ => Err(invalid_field(key)),
    }
}

/// The cell; a removed endpoint may lack it.
fn read_cell(value: &Value, keys: &EndpointListKeys, status: Status) -> Result<u32, InvalidField> {
    let cell = value.get(&keys.cell);
    if cell.is_none() && status == Status::Removed {
        return Ok(0);
    }
    let number = cell.and_then(Value::as_u64).and_then(|number| u32::try_from(number).ok());
    number.ok_or_else(|| invalid_field(&keys.cell))
}

fn read_weight(value: &Value, keys: &EndpointListKeys) -> Result<f64, InvalidField> {
    let is_valid = |weight: &f64| weight.is_finite() && *weight >= 0.0;
    match value.get(&keys.weight) {
        None | Some(Value::Null) => Ok(DEFAULT_WEIGHT),
        Some(weight) => weight.as_f64().filter(is_valid).ok_or_else(|| invalid_field(&keys.weight)),
    }
}

fn read_start_time(value: &Value, keys: &EndpointListKeys) -> Result<i64, InvalidField> {
    let is_valid = |start_time_ms: &f64| (0.0..START_TIME_LIMIT_MS).contains(start_time_ms);
    match value.get(&keys.start_time) {
        None | Some(Value::Null) => Ok(0),
        Some(since) => {
            let start_time_ms =
                since.as_f64().filter(is_valid).ok_or_else(|| invalid_field(&keys.start_time))?;
            Ok(start_time_ms as i64)
        }
    }
}

/// Encodes the HTTP request for a watch on the changes after a version; 0 for the complete list.
pub fn encode_watch_request(names: &WireNames, host: &str, after: u64) -> Vec<u8> {
    let path = &names.paths.list;
    let parameters = &names.watch_parameters;
    let target = format!("{path}?{}=1&{}={after}", parameters.watch, parameters.after);
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}
