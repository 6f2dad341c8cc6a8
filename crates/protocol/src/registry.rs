//! What discovery says: the list of index servers and its changes.

use serde_json::Value;
use std::fmt;

/// Path of the list.
pub const PATH: &str = "/registry/instances";

/// What the list says of an index server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// In service.
    Up,
    /// Finishes what it holds.
    Draining,
    /// Gone.
    Removed,
}

/// One index server of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name, the same for everyone.
    pub name: String,
    /// Its address as this front node reaches it.
    pub address: String,
    /// Its cell.
    pub cell: u32,
    /// Its status.
    pub status: Status,
    /// Its registered size.
    pub weight: f64,
    /// Unix time of its last start in milliseconds; 0 if long ago.
    pub since_ms: i64,
}

/// The list, or what has changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// Its version.
    pub index: u64,
    /// Whether it is the whole list.
    pub whole: bool,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// Why something is not a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadList(
    /// The key at fault.
    pub &'static str,
);

impl fmt::Display for BadList {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "bad list: '{}'", self.0)
    }
}

impl std::error::Error for BadList {}

fn entry(value: &Value) -> Result<Entry, BadList> {
    let text = |key: &'static str| value.get(key).and_then(Value::as_str).ok_or(BadList(key));
    let (name, address) = (text("name")?.to_owned(), text("address").unwrap_or_default().to_owned());
    let status = match text("status")? {
        "up" => Status::Up,
        "draining" => Status::Draining,
        "removed" => Status::Removed,
        _ => return Err(BadList("status")),
    };
    if address.is_empty() && status != Status::Removed {
        return Err(BadList("address"));
    }
    let cell = match value.get("group") {
        None if status == Status::Removed => 0,
        cell => {
            cell.and_then(Value::as_u64).and_then(|cell| u32::try_from(cell).ok()).ok_or(BadList("group"))?
        }
    };
    let weight = match value.get("weight") {
        None | Some(Value::Null) => 1.0,
        Some(weight) => {
            weight.as_f64().filter(|weight| weight.is_finite() && *weight >= 0.0).ok_or(BadList("weight"))?
        }
    };
    let since_ms = match value.get("since_ms") {
        None | Some(Value::Null) => 0,
        Some(since) => {
            since.as_f64().filter(|at| (0.0..1e15).contains(at)).ok_or(BadList("since_ms"))? as i64
        }
    };
    Ok(Entry { name, address, cell, status, weight, since_ms })
}

/// Reads a list from JSON that has been parsed already.
pub fn news(value: &Value) -> Result<News, BadList> {
    let index = value.get("index").and_then(Value::as_u64).ok_or(BadList("index"))?;
    let whole = value.get("snapshot").and_then(Value::as_bool).ok_or(BadList("snapshot"))?;
    let entries = value.get("endpoints").and_then(Value::as_array).ok_or(BadList("endpoints"))?;
    Ok(News { index, whole, entries: entries.iter().map(entry).collect::<Result<_, _>>()? })
}

/// Reads a list from the bytes of one line or body.
pub fn parse(line: &[u8]) -> Result<News, BadList> {
    news(&serde_json::from_slice(line).map_err(|_| BadList("not JSON"))?)
}

/// The request for a watch on what comes after a version.
pub fn watch_request(host: &str, after: u64) -> Vec<u8> {
    format!("GET {PATH}?watch=1&after={after} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}
