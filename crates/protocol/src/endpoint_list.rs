//! The endpoint list, in which the discovery service publishes the addresses and states of the index servers.
//!
//! Each update carries either the complete list or the changes to an earlier version. Every entry of the
//! list, an endpoint, is one index server.

use crate::names::{EndpointListKeys, WireNames};
use serde_json::Value;

/// Exclusive upper bound for the start time of an endpoint, in milliseconds of Unix time.
const START_TIME_LIMIT_MS: f64 = 1e15;
/// Weight of an endpoint whose entry has none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Status of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// In service.
    Up,
    /// Shutting down gracefully: the index server completes the calls in flight and accepts no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// An entry of the endpoint list: one index server.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Name of the index server, identical on all front nodes.
    pub name: String,
    /// Address at which this front node reaches the index server. May be empty if the status is
    /// [`Status::Removed`].
    pub address: String,
    /// Cell of the index server.
    pub cell: u32,
    /// Status of the index server.
    pub status: Status,
    /// Capacity of the index server, relative to the others.
    pub weight: f64,
    /// Time of the last start of the index server in milliseconds of Unix time; 0 if unknown.
    pub start_time_ms: i64,
}

/// One version of the endpoint list, either complete or as the changes to an earlier version.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Version of the list, which increases with each change.
    pub version: u64,
    /// Whether `entries` is the complete list.
    pub complete: bool,
    /// All endpoints if the update is complete, otherwise the changed ones.
    pub entries: Vec<EndpointEntry>,
}

/// A field of an endpoint list that is missing or has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field '{key}' of the endpoint list is missing or invalid")]
pub struct InvalidField {
    /// JSON key of the field.
    pub key: String,
}

/// An error in the encoding of an endpoint list.
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

/// Parses an endpoint list from JSON bytes.
///
/// # Errors
/// [`EndpointListError`] if the bytes are not JSON, or for the first invalid field found.
pub fn parse_list_update(json: &[u8], names: &WireNames) -> Result<ListUpdate, EndpointListError> {
    let value = serde_json::from_slice(json).map_err(|_| EndpointListError::NotJson)?;
    Ok(list_update_from_json(&value, names)?)
}

/// Reads an endpoint list from a parsed JSON value.
///
/// # Errors
/// [`InvalidField`] for the first field found to be missing or invalid.
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
    let values = &names.status_values;
    match string_field(value, key)? {
        status if status == values.up => Ok(Status::Up),
        status if status == values.draining => Ok(Status::Draining),
        status if status == values.removed => Ok(Status::Removed),
        _ => Err(invalid_field(key)),
    }
}

/// Reads the cell of an endpoint. The field is optional if the endpoint is removed; the cell is then 0.
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
        Some(start_time) => {
            let start_time_ms =
                start_time.as_f64().filter(is_valid).ok_or_else(|| invalid_field(&keys.start_time))?;
            Ok(start_time_ms as i64)
        }
    }
}

/// Encodes the HTTP request that starts a watch on the endpoint list.
///
/// The watch delivers the changes after version `after`; 0 requests the complete list. `host` is the value of
/// the `Host` field.
pub fn encode_watch_request(names: &WireNames, host: &str, after: u64) -> Vec<u8> {
    let path = &names.paths.endpoint_list;
    let parameters = &names.watch_parameters;
    let target = format!("{path}?{}=1&{}={after}", parameters.watch, parameters.after);
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}
