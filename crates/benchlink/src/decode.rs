//! Lines of the wire to events of the decision core.

use crate::error::WireError;
use crate::instance::{Instance, ServerNumbers};
use pinetrestle::interface::{Event, Lifecycle, ListedReplica, Outcome};
use pinetrestle_settings::fields::{count, count_u32, flag, integer, micros, number, optional, text};
use serde_json::Value;
use std::collections::BTreeMap;

/// Tables of server entries, by the number under which lists refer to them.
pub type Tables = BTreeMap<u64, Vec<Value>>;

/// The `mode` of a list that holds changes only.
const MODE_CHANGES: &str = "diff";
/// The `mode` of a complete list.
const MODE_COMPLETE: &str = "snapshot";
/// The `mode` of a complete list from before the instance's start.
const MODE_CACHED: &str = "disk";
/// The relative capacity of a server whose entry states none.
const DEFAULT_SIZE: f64 = 1.0;
/// The number of a class that the settings do not name: out of range of any settings.
const UNKNOWN_CLASS: usize = usize::MAX;

/// Reads the line of an instance as an event; `None` for a kind of line that says nothing to the core.
///
/// # Errors
///
/// A [`WireError`] that names the field that is missing or malformed, or the table that is unknown.
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

/// A list or its changes. One of an unknown `mode` counts as a failed poll.
fn endpoint_list(servers: &mut ServerNumbers, line: &Value, tables: &Tables) -> Result<Event, WireError> {
    let mode = text(line, "mode")?;
    if !matches!(mode, MODE_CHANGES | MODE_COMPLETE | MODE_CACHED) {
        return Ok(Event::WatchFailed);
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
        relative_capacity: optional(entry, "scale", number)?.unwrap_or(DEFAULT_SIZE),
        lifecycle: lifecycle(text(entry, "lifecycle")?),
        // A start of 0 is the wire's word for none.
        started_at: optional(entry, "launched", micros)?.filter(|at| at.0 != 0),
    })
}

/// The wire's word for a lifecycle state. An unknown one takes no new attempts.
fn lifecycle(word: &str) -> Lifecycle {
    match word {
        "on" => Lifecycle::InService,
        "off" => Lifecycle::Removed,
        _ => Lifecycle::Draining,
    }
}

/// A query, or a part of one where `range_no` is a shard (it is -1 for the query itself).
fn query_or_part(instance: &Instance, line: &Value) -> Result<Event, WireError> {
    let id = count_u32(line, "id")?;
    let query_number = count(line, "query")?;
    let range = integer(line, "range_no")?;
    let work_hint = optional(line, "expected", micros)?;
    if let Ok(shard) = u32::try_from(range) {
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

/// The wire's word for an outcome. An unknown one is an error after which the part may have run.
fn outcome(word: &str) -> Outcome {
    match word {
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
