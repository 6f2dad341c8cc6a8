//! Reads a settings object with canonical keys into a [`Deployment`].

use crate::fields::{
    count, count_u32, field, flag, list, micros, number, optional, text, FieldError, Parsed, Problem,
};
use crate::{Deployment, Transport};
use pinetrestle::interface::{
    Class, Idempotency, Limits, ListDelivery, Micros, RetryBudget, Rules, Settings, Tenant,
};
use serde_json::Value;

/// Value of `effect` for a class whose parts are idempotent and may be retried freely.
const EFFECT_RETRYABLE: &str = "retryable";
/// Value of `effect` for a class whose parts carry an idempotency key, which makes retries safe.
const EFFECT_DEDUP: &str = "dedup";
/// Value of `discovery` if the endpoint list is pushed. With any other value the front node polls the list.
const DISCOVERY_PUSH: &str = "push";
/// Default of `over_share_worth`: the share of its priority weight that a query over the quota of its tenant
/// has.
const DEFAULT_OVER_QUOTA_WEIGHT_SHARE: f64 = 1.0;
/// Neutral default of the optional numbers `aim_stretch`, `fees.waste`, `extra_floor` and
/// `extra_per_request`.
const DEFAULT_NUMBER: f64 = 0.0;

/// Runs `read` on the object at the given key. Errors contain the full path of their key.
fn read_nested<T>(value: &Value, key: &str, read: impl Fn(&Value) -> Parsed<T>) -> Parsed<T> {
    read(field(value, key)?).map_err(|error| error.within(key))
}

/// Reads the `name` of each object in the array at the given key.
fn read_names(value: &Value, key: &str) -> Parsed<Vec<String>> {
    let items = list(value, key)?.iter().enumerate();
    items
        .map(|(index, item)| {
            let name = text(item, "name").map(str::to_owned);
            name.map_err(|error| error.within(&format!("{key}[{index}]")))
        })
        .collect()
}

/// Reads the number of a class from an array in `family_info` that has one number per class.
fn per_class_number(family_info: &Value, class_index: usize, key: &str) -> Parsed<f64> {
    let found = list(family_info, key)?.get(class_index).and_then(Value::as_f64);
    found.ok_or_else(|| FieldError::new(key, Problem::NoNumberForClass(class_index)))
}

/// Converts the value of `effect`. Classes with an unknown value are not idempotent.
fn idempotency(effect: &str) -> Idempotency {
    match effect {
        EFFECT_RETRYABLE => Idempotency::Idempotent,
        EFFECT_DEDUP => Idempotency::Keyed,
        _ => Idempotency::NonIdempotent,
    }
}

/// Reads the class at `index` of `classes`, with its numbers from the arrays in `family_info`.
fn read_class(class: &Value, family_info: &Value, index: usize) -> Parsed<Class> {
    let per_class =
        |key: &str| per_class_number(family_info, index, key).map_err(|error| error.within("family_info"));
    let in_class = |error: FieldError| error.within(&format!("classes[{index}]"));
    Ok(Class {
        latency_objective: micros(class, "aim").map_err(in_class)?,
        objective_work_factor: optional(class, "aim_stretch", number)
            .map_err(in_class)?
            .unwrap_or(DEFAULT_NUMBER),
        deadline: micros(class, "hard_limit").map_err(in_class)?,
        priority_weight: number(class, "gain").map_err(in_class)?,
        late_weight_share: number(class, "late_worth").map_err(in_class)?,
        idempotency: idempotency(text(class, "effect").map_err(in_class)?),
        idempotency_window: micros(class, "dedup_window").map_err(in_class)?,
        complete_share: per_class("need_by_class")?,
        partial_min_share: per_class("class_floor")?,
        partial_weight_share: per_class("partial_earns")?,
        second_step_parts: per_class("second_step")? as u32,
    })
}

/// Reads the limits from the object `permissions`. `max_batch` is the value of `family_info.batch`.
fn read_limits(permissions: &Value, max_batch: u32) -> Parsed<Limits> {
    Ok(Limits {
        max_attempts: count_u32(permissions, "try_limit")?,
        allow_hedging: flag(permissions, "may_duplicate")?,
        allow_cancel: flag(permissions, "cancel")?,
        send_retry_after: flag(permissions, "retry_after")?,
        max_retry_after: optional(permissions, "max_retry_after", micros)?.unwrap_or_default(),
        max_in_flight: count_u32(permissions, "most_held")?,
        max_batch,
    })
}

/// Reads the retry budget from the object `rules`. Returns `None` if `counted_over`, its window, is absent.
fn read_retry_budget(rules: &Value) -> Parsed<Option<RetryBudget>> {
    let Some(window) = optional(rules, "counted_over", micros)? else {
        return Ok(None);
    };
    Ok(Some(RetryBudget {
        window,
        min_retries: optional(rules, "extra_floor", number)?.unwrap_or(DEFAULT_NUMBER),
        retry_ratio: optional(rules, "extra_per_request", number)?.unwrap_or(DEFAULT_NUMBER),
    }))
}

/// Reads the object `rules`.
fn read_rules(rules: &Value) -> Parsed<Rules> {
    let retry_budget = read_retry_budget(rules)?;
    Ok(Rules {
        cold_capacity_share: number(rules, "cold_share")?,
        warm_up_time: micros(rules, "warm_within")?,
        overload_multiple: number(rules, "tip_multiple")?,
        overload_window: micros(rules, "fall")?,
        max_list_staleness: optional(rules, "must_ask_in", micros)?.unwrap_or_default(),
        drain_grace: optional(rules, "drain_grace", micros)?.unwrap_or_default(),
        retry_budget,
    })
}

/// Reads the connection parameters from `family_info.slabs` and the object `permissions`.
fn read_transport(options: &Value, family_info: &Value) -> Parsed<Transport> {
    let shards = optional(family_info, "slabs", count_u32).map_err(|error| error.within("family_info"))?;
    read_nested(options, "permissions", |permissions| {
        Ok(Transport {
            shards,
            max_parts_per_connection: optional(permissions, "streams_per_conn", count_u32)?,
            server_idle_timeout: optional(permissions, "conn_idle", micros)?,
            connect_timeout: optional(permissions, "connect_timeout", micros)?,
        })
    })
}

/// Reads the tenant at `index` of `projects`.
fn read_tenant(tenant: &Value, index: usize) -> Parsed<Tenant> {
    let quota = number(tenant, "quota_per_s").map_err(|error| error.within(&format!("projects[{index}]")));
    quota.map(|quota_per_s| Tenant { quota_per_s })
}

/// Reads the optional key `key` of the optional object `group` with `read`. Returns `None` if either is
/// absent.
fn read_optional_in<T>(
    options: &Value,
    group: &str,
    key: &str,
    read: impl Fn(&Value, &str) -> Parsed<T>,
) -> Parsed<Option<T>> {
    match options.get(group) {
        Some(object) => optional(object, key, read).map_err(|error| error.within(group)),
        None => Ok(None),
    }
}

fn read_list_delivery(options: &Value) -> Parsed<ListDelivery> {
    let is_pushed = text(options, "discovery")? == DISCOVERY_PUSH;
    Ok(if is_pushed { ListDelivery::Pushed } else { ListDelivery::Polled })
}

/// Reads a settings object with canonical keys into a [`Deployment`].
///
/// Times are integers in microseconds. Absent optional keys get neutral defaults: no retry budget, no cost
/// of wasted work, no drain grace, and the full priority weight for queries over their tenant's quota. The
/// endpoint list is polled unless `discovery` is `push`.
///
/// # Errors
///
/// [`FieldError`] for the first invalid key: one that is missing or of the wrong JSON type, an integer
/// outside the range of `u32`, or an array in `family_info` with fewer numbers than there are classes. The
/// key in the error is the full path from the settings object, for example `classes[1].aim`.
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
    let max_batch = in_family_info("batch")?;
    let settings = Settings {
        fleet_size: count_u32(options, "fleet_size")?,
        classes,
        tenants: tenants.collect::<Parsed<_>>()?,
        over_quota_weight_share: optional(options, "over_share_worth", number)?
            .unwrap_or(DEFAULT_OVER_QUOTA_WEIGHT_SHARE),
        wasted_work_cost: read_optional_in(options, "fees", "waste", number)?.unwrap_or(DEFAULT_NUMBER),
        clients_mark_retries: marks_retries.unwrap_or(false),
        list_delivery: read_list_delivery(options)?,
        cell_count,
        cells_per_shard,
        tick: Micros(count(options, "quantum")? as i64),
        limits: read_nested(options, "permissions", |permissions| read_limits(permissions, max_batch))?,
        rules: read_nested(options, "rules", read_rules)?,
    };
    let classes = read_names(options, "classes")?;
    let tenants = read_names(options, "projects")?;
    Ok(Deployment { settings, classes, tenants, transport: read_transport(options, family_info)? })
}
