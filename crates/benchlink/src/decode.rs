//! Converts lines of the simulator to events for the decision core.

use crate::error::WireError;
use crate::instance::{Instance, ServerNumbers};
use pinetrestle::interface::{Event, Lifecycle, ListedReplica, Outcome, WatchFailure};
use pinetrestle_settings::fields::{count, count_u32, flag, integer, micros, number, optional, text};
use serde_json::Value;
use std::collections::BTreeMap;

/// Tables of server entries, by table number. Endpoint lists refer to a table by its number.
pub type Tables = BTreeMap<u64, Vec<Value>>;

/// Value of `mode` for a list that contains only changes.
const MODE_CHANGES: &str = "diff";
/// Value of `mode` for a complete list.
const MODE_COMPLETE: &str = "snapshot";
/// Value of `mode` for a complete list that was cached before the instance started.
const MODE_CACHED: &str = "disk";
/// Relative capacity of a server whose entry does not contain one.
const DEFAULT_RELATIVE_CAPACITY: f64 = 1.0;
/// Class index of queries whose class is not in the settings. It is out of range for any settings.
const UNKNOWN_CLASS: usize = usize::MAX;

/// Converts a line for an instance to an event. Returns `None` if the decision core has no event for this
/// kind of line.
///
/// # Errors
///
/// [`WireError::Field`] if a field is missing or invalid, [`WireError::UnknownTable`] if an endpoint list
/// refers to a table that was not sent.
pub fn event(
    instance: &mut Instance,
    kind: &str,
    line: &Value,
    tables: &Tables,
) -> Result<Option<Event>, WireError> {
    let event = match kind {
        "PEERS_KNOWN" => endpoint_list(&mut instance.servers, line, tables)?,
        "QUERY" => query_or_part(instance, line)?,
        "CLOSED_ATTEMPT" => attempt_ended(line)?,
        "RING" => Event::TimerFired,
        "CANCELLED_BY_CLIENT" => Event::ClientDisconnected(count_u32(line, "id")?),
        "PROBED" => Event::HealthChecked,
        _ => return Ok(None),
    };
    Ok(Some(event))
}

/// Converts an endpoint list or changes to it. A list with an unknown `mode` counts as a failed poll.
fn endpoint_list(servers: &mut ServerNumbers, line: &Value, tables: &Tables) -> Result<Event, WireError> {
    let mode = text(line, "mode")?;
    if !matches!(mode, MODE_CHANGES | MODE_COMPLETE | MODE_CACHED) {
        return Ok(Event::WatchFailed(WatchFailure::Unknown));
    }
    let table = count(line, "ref")?;
    let entries = tables.get(&table).ok_or(WireError::UnknownTable(table))?;
    let replicas = entries.iter().map(|entry| listed_replica(servers, entry)).collect::<Result<_, _>>()?;
    Ok(match mode {
        MODE_CHANGES => Event::EndpointListChanged(replicas),
        _ => Event::EndpointList { replicas, cached: mode == MODE_CACHED },
    })
}

fn listed_replica(servers: &mut ServerNumbers, entry: &Value) -> Result<ListedReplica, WireError> {
    Ok(ListedReplica {
        replica: servers.number_of(text(entry, "server")?),
        cell: count_u32(entry, "cell")?,
        relative_capacity: optional(entry, "scale", number)?.unwrap_or(DEFAULT_RELATIVE_CAPACITY),
        lifecycle: lifecycle(text(entry, "lifecycle")?),
        // The simulator sends 0 if the start time is unknown.
        started_at: optional(entry, "launched", micros)?.filter(|at| at.0 != 0),
    })
}

/// Converts the lifecycle state of a server. A server in an unknown state counts as draining, so that it gets
/// no new attempts.
fn lifecycle(state: &str) -> Lifecycle {
    match state {
        "on" => Lifecycle::InService,
        "off" => Lifecycle::Removed,
        _ => Lifecycle::Draining,
    }
}

/// Converts a query or one of its parts. The field `range_no` is the shard of a part, and -1 for a query.
fn query_or_part(instance: &Instance, line: &Value) -> Result<Event, WireError> {
    let id = count_u32(line, "id")?;
    let query_number = count(line, "query")?;
    let range_number = integer(line, "range_no")?;
    let work_hint = optional(line, "expected", micros)?;
    if let Ok(shard) = u32::try_from(range_number) {
        let weight = number(line, "amount")?;
        return Ok(Event::Part { id, query_number, shard, weight, work_hint });
    }
    let deployment = &instance.deployment;
    let tenant = line.get("customer").and_then(Value::as_str);
    Ok(Event::Query {
        id,
        number: query_number,
        class: deployment.class(text(line, "lane")?).unwrap_or(UNKNOWN_CLASS),
        tenant: tenant.and_then(|name| deployment.tenant(name)),
        expires_in: micros(line, "expires_in")?,
        work_hint,
        retry: optional(line, "repeat", flag)?.unwrap_or(false),
    })
}

fn attempt_ended(line: &Value) -> Result<Event, WireError> {
    Ok(Event::AttemptEnded {
        part: count_u32(line, "id")?,
        attempt: count_u32(line, "try")?,
        outcome: outcome(text(line, "state_code")?),
        elapsed: micros(line, "lag")?,
    })
}

/// Converts the outcome of an attempt. An unknown outcome counts as an error after which the part may have
/// run.
fn outcome(state_code: &str) -> Outcome {
    match state_code {
        "ok" => Outcome::Ok,
        "full" => Outcome::Rejected,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::NotSent,
        _ => Outcome::Error,
    }
}
