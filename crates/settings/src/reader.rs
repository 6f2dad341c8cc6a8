//! Reading a settings object in the wire page's keys into a [`Deployment`].

use crate::fields::{
    count, count_u32, field, flag, list, micros, number, optional, text, FieldError, Parsed, Problem,
};
use crate::{Deployment, Transport};
use pinetrestle::interface::{Class, Idempotency, Limits, Micros, RetryBudget, Rules, Settings, Tenant};
use serde_json::Value;

/// The `effect` of a class whose attempts may be retried freely; any other word reads as not idempotent.
const EFFECT_RETRYABLE: &str = "retryable";
/// The `effect` of a class whose attempts may be retried with an idempotency key.
const EFFECT_DEDUP: &str = "dedup";
/// The `discovery` under which the endpoint list is pushed; under any other the front node polls.
const DISCOVERY_PUSH: &str = "push";
/// The share of its priority weight that a query over its tenant's quota earns where `over_share_worth` is absent.
const DEFAULT_OVER_QUOTA_WEIGHT_SHARE: f64 = 1.0;
/// The neutral value of an absent optional number: `aim_stretch`, `fees.waste`, `extra_floor`,
/// `extra_per_request`.
const ABSENT_NUMBER: f64 = 0.0;

/// Runs `read` on the inner object of the key; its errors name the key by the whole path.
fn read_nested<T>(value: &Value, key: &str, read: impl Fn(&Value) -> Parsed<T>) -> Parsed<T> {
    read(field(value, key)?).map_err(|error| error.within(key))
}

/// The `name` of each object in the list of the key.
fn read_names(value: &Value, key: &str) -> Parsed<Vec<String>> {
    let items = list(value, key)?.iter().enumerate();
    items
        .map(|(index, item)| {
            let name = text(item, "name").map(str::to_owned);
            name.map_err(|error| error.within(&format!("{key}[{index}]")))
        })
        .collect()
}

/// The class's number in a per-class list of `family_info`.
fn class_figure(family_info: &Value, class_index: usize, key: &str) -> Parsed<f64> {
    let found = list(family_info, key)?.get(class_index).and_then(Value::as_f64);
    found.ok_or_else(|| FieldError::new(key, Problem::NoNumberForClass(class_index)))
}

/// The wire's word for a class's effect, in the core's terms.
fn effect(word: &str) -> Idempotency {
    match word {
        EFFECT_RETRYABLE => Idempotency::Idempotent,
        EFFECT_DEDUP => Idempotency::Keyed,
        _ => Idempotency::NonIdempotent,
    }
}

/// One class of `classes`, with its figures from the per-class lists of `family_info`.
fn read_class(class: &Value, family_info: &Value, index: usize) -> Parsed<Class> {
    let per_class =
        |key: &str| class_figure(family_info, index, key).map_err(|error| error.within("family_info"));
    let in_class = |error: FieldError| error.within(&format!("classes[{index}]"));
    Ok(Class {
        latency_objective: micros(class, "aim").map_err(in_class)?,
        objective_work_factor: optional(class, "aim_stretch", number)
            .map_err(in_class)?
            .unwrap_or(ABSENT_NUMBER),
        deadline: micros(class, "hard_limit").map_err(in_class)?,
        priority_weight: number(class, "gain").map_err(in_class)?,
        late_weight_share: number(class, "late_worth").map_err(in_class)?,
        idempotency: effect(text(class, "effect").map_err(in_class)?),
        idempotency_window: micros(class, "dedup_window").map_err(in_class)?,
        complete_share: per_class("need_by_class")?,
        partial_min_share: per_class("class_floor")?,
        partial_weight_share: per_class("partial_earns")?,
        second_step_parts: per_class("second_step")? as u32,
    })
}

/// The limits of `permissions`; `batch` comes from `family_info`.
fn read_limits(permissions: &Value, batch: u32) -> Parsed<Limits> {
    Ok(Limits {
        max_attempts: count_u32(permissions, "try_limit")?,
        allow_hedging: flag(permissions, "may_duplicate")?,
        allow_cancel: flag(permissions, "cancel")?,
        send_retry_after: flag(permissions, "retry_after")?,
        max_retry_after: optional(permissions, "max_retry_after", micros)?.unwrap_or_default(),
        max_in_flight: count_u32(permissions, "most_held")?,
        max_batch: batch,
    })
}

/// The retry budget, where `counted_over` states its window.
fn read_retry_budget(rules: &Value) -> Parsed<Option<RetryBudget>> {
    let Some(window) = optional(rules, "counted_over", micros)? else {
        return Ok(None);
    };
    Ok(Some(RetryBudget {
        window,
        min_retries: optional(rules, "extra_floor", number)?.unwrap_or(ABSENT_NUMBER),
        retry_ratio: optional(rules, "extra_per_request", number)?.unwrap_or(ABSENT_NUMBER),
    }))
}

/// The object `rules`.
fn read_rules(rules: &Value) -> Parsed<Rules> {
    let retry_budget = read_retry_budget(rules)?;
    Ok(Rules {
        cold_capacity_share: number(rules, "cold_share")?,
        warm_up_time: micros(rules, "warm_within")?,
        overload_multiple: number(rules, "tip_multiple")?,
        overload_window: micros(rules, "fall")?,
        max_list_staleness: optional(rules, "must_ask_in", micros)?.unwrap_or_default(),
        retry_budget,
    })
}

/// The connection figures, from `family_info.slabs` and the object `permissions`.
fn read_transport(options: &Value, family_info: &Value) -> Parsed<Transport> {
    let shards = optional(family_info, "slabs", count_u32).map_err(|error| error.within("family_info"))?;
    read_nested(options, "permissions", |permissions| {
        Ok(Transport {
            shards,
            streams_per_conn: optional(permissions, "streams_per_conn", count_u32)?,
            conn_idle: optional(permissions, "conn_idle", micros)?,
            connect_timeout: optional(permissions, "connect_timeout", micros)?,
        })
    })
}

/// One tenant of `projects`.
fn read_tenant(tenant: &Value, index: usize) -> Parsed<Tenant> {
    let quota = number(tenant, "quota_per_s").map_err(|error| error.within(&format!("projects[{index}]")));
    quota.map(|quota_per_s| Tenant { quota_per_s })
}

/// An optional key of an optional inner object, read by `read`: `None` where either is absent.
fn read_optional_in<T>(
    options: &Value,
    group: &str,
    key: &str,
    read: impl Fn(&Value, &str) -> Parsed<T>,
) -> Parsed<Option<T>> {
    match options.get(group) {
        Some(found) => optional(found, key, read).map_err(|error| error.within(group)),
        None => Ok(None),
    }
}

/// Reads a settings object in the wire page's keys into a [`Deployment`].
///
/// Times are whole microseconds; absent optional keys take their neutral values (no retry budget, no price of
/// waste, an over-quota weight of 1, polled discovery where `discovery` is not `push`).
///
/// # Errors
///
/// The first [`FieldError`] met: a key that is missing or of the wrong JSON type, a count out of the range
/// of `u32`, a per-class list of `family_info` too short for the classes. Its key is the whole path from
/// the settings object, e.g. `classes[1].aim`.
pub fn read(options: &Value) -> Parsed<Deployment> {
    let family_info = field(options, "family_info")?;
    let classes = list(options, "classes")?.iter().enumerate();
    let classes =
        classes.map(|(index, class)| read_class(class, family_info, index)).collect::<Parsed<_>>()?;
    let tenants = list(options, "projects")?.iter().enumerate();
    let tenants = tenants.map(|(index, tenant)| read_tenant(tenant, index));
    let in_family_info = |key: &str| count_u32(family_info, key).map_err(|error| error.within("family_info"));
    let marks_retries = read_optional_in(options, "clients", "marks_retry", flag)?;
    let cell_count = in_family_info("positions")?;
    let cells_per_shard = in_family_info("span")?;
    let batch = in_family_info("batch")?;
    let settings = Settings {
        fleet_size: count_u32(options, "fleet_size")?,
        classes,
        tenants: tenants.collect::<Parsed<_>>()?,
        over_quota_weight_share: optional(options, "over_share_worth", number)?
            .unwrap_or(DEFAULT_OVER_QUOTA_WEIGHT_SHARE),
        wasted_work_cost: read_optional_in(options, "fees", "waste", number)?.unwrap_or(ABSENT_NUMBER),
        clients_mark_retries: marks_retries.unwrap_or(false),
        poll_endpoint_list: text(options, "discovery")? != DISCOVERY_PUSH,
        cell_count,
        cells_per_shard,
        tick: Micros(count(options, "quantum")? as i64),
        limits: read_nested(options, "permissions", |permissions| read_limits(permissions, batch))?,
        rules: read_nested(options, "rules", read_rules)?,
    };
    let classes = read_names(options, "classes")?;
    let tenants = read_names(options, "projects")?;
    Ok(Deployment { settings, classes, tenants, transport: read_transport(options, family_info)? })
}
