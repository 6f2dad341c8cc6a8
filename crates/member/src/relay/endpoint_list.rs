//! The endpoint list as JSON: applies the events of discovery's watch and the fleet's drains to it, and
//! formats it for the front node.
//!
//! Entries are kept as JSON values, so that keys which the relay does not know are passed on unchanged.

use super::DiscoveredServer;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The status of an index server that accepts new parts of queries.
const UP: &str = "up";
/// The status of an index server that must be sent no new parts of queries.
const DRAINING: &str = "draining";
/// The status in a watch event that removes an index server from the list.
const REMOVED: &str = "removed";

/// Formats the complete list as a snapshot event, which is one line of a watch or the body of the response to
/// a poll. `index` is the version number of the list.
pub(super) fn snapshot_line(endpoints: &[Value], index: u64) -> String {
    let mut line = json!({"index": index, "snapshot": true, "endpoints": endpoints}).to_string();
    line.push('\n');
    line
}

/// Returns the list with the status `draining` for each server in `drained` that discovery lists as up.
pub(super) fn with_drains(endpoints: &[Value], drained: &BTreeSet<String>) -> Vec<Value> {
    let is_drained = |entry: &Value| entry["name"].as_str().is_some_and(|name| drained.contains(name));
    endpoints
        .iter()
        .map(|entry| {
            let mut entry = entry.clone();
            if entry["status"] == UP && is_drained(&entry) {
                entry["status"] = json!(DRAINING);
            }
            entry
        })
        .collect()
}

/// Reads the zone and status from an entry of the list.
pub(super) fn discovered_server(entry: &Value) -> DiscoveredServer {
    let zone = entry["zone"].as_str().unwrap_or_default().to_owned();
    DiscoveredServer { zone, up: entry["status"] == UP }
}

/// The error for data on discovery's watch that is not a valid watch event.
#[derive(Debug, thiserror::Error)]
#[error("{length} bytes from discovery are not a valid watch event")]
pub(super) struct InvalidWatchEvent {
    /// Length of the data in bytes.
    length: usize,
}

/// Applies one event of discovery's watch to the list, whose entries are keyed by the name of the index
/// server.
///
/// # Errors
/// If the event or one of its entries is invalid. The entries before the first invalid one have been applied
/// then.
pub(super) fn apply_watch_event(
    event: &[u8],
    list: &mut BTreeMap<String, Value>,
) -> Result<(), InvalidWatchEvent> {
    let invalid = || InvalidWatchEvent { length: event.len() };
    let parsed: Value = serde_json::from_slice(event).map_err(|_| invalid())?;
    let is_snapshot = parsed["snapshot"].as_bool().ok_or_else(invalid)?;
    let entries = parsed["endpoints"].as_array().ok_or_else(invalid)?;
    if is_snapshot {
        list.clear();
    }
    for entry in entries {
        let name = entry["name"].as_str().ok_or_else(invalid)?;
        if entry["status"] == REMOVED {
            list.remove(name);
        } else {
            list.insert(name.to_owned(), entry.clone());
        }
    }
    Ok(())
}
