//! Settings, endpoint lists and configuration files of a small deployment: index servers in three cells, and
//! three query classes. A query of class `any` needs any two of three parts, one of class `all` needs every
//! part, and one of class `steps` has a second step.

use crate::servers::Server;
use crate::shared::entry;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Returns the settings of the small deployment.
pub fn settings() -> Value {
    let class = |name: &str| {
        json!({"name": name, "aim": 800_000, "hard_limit": 3_000_000, "gain": 1.0, "late_worth": 0.3,
               "effect": "retryable", "dedup_window": 1_000_000, "stream": false, "group": "all"})
    };
    json!({
        "fleet_size": 1, "discovery": "ask", "quantum": 5000, "over_share_worth": 0.1,
        "classes": [class("any"), class("all"), class("steps")],
        "projects": [{"name": "north", "quota_per_s": 500.0, "share": 1.0}],
        "clients": {"marks_retry": true}, "fees": {"waste": 0.03},
        "family_info": {"batch": 4, "positions": 3, "span": 1, "slabs": 9,
            "need_by_class": [0.66, 1.0, 1.0], "class_floor": [0.66, 1.0, 1.0],
            "partial_earns": [0.9, 0.9, 0.9], "second_step": [0, 0, 2]},
        "permissions": {"cancel": true, "may_duplicate": true, "retry_after": true,
            "max_retry_after": 500_000, "try_limit": 3, "most_held": 60, "conn_idle": 15_000_000,
            "connect_timeout": 250_000, "streams_per_conn": 32},
        "rules": {"cold_share": 0.3, "warm_within": 5_000_000, "tip_multiple": 3.0, "fall": 1_000_000,
            "must_ask_in": 10_000_000, "drain_grace": 1_000_000, "grace_to_answer": 20_000},
    })
}

/// Returns one endpoint list entry per address, named `s0`, `s1` and so on, and assigned to the three cells
/// in turn.
pub fn entries_at(addresses: impl Iterator<Item = SocketAddr>) -> Vec<Value> {
    addresses
        .enumerate()
        .map(|(n, address)| entry(&format!("s{n}"), &address.to_string(), n as u32 % 3))
        .collect()
}

/// Returns the endpoint list entries of the index servers, as [`entries_at`] does for their addresses.
pub fn entries(servers: &[Server]) -> Vec<Value> {
    entries_at(servers.iter().map(|server| server.address))
}

/// Returns a complete endpoint list with the version `index`.
pub fn endpoint_list(index: u64, entries: &[Value]) -> Value {
    json!({"index": index, "snapshot": true, "endpoints": entries})
}

/// Returns the configuration file of a front node that listens at `listen`, watches the discovery service at
/// `discovery` and starts with the endpoint list `known`.
pub fn config_json(listen: &str, discovery: &str, known: &Value) -> Value {
    json!({"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
           "settings": settings()})
}

/// Pairs of a settings key in the wire protocol's documentation and the simulator's key for the same setting.
const SIMULATOR_KEYS: [(&str, &str); 24] = [
    ("hard_limit", "deadline"),
    ("projects", "tenants"),
    ("permissions", "limits"),
    ("try_limit", "max_attempts"),
    ("slabs", "shards"),
    ("extra_floor", "budget_free"),
    ("gain", "worth"),
    ("fleet_size", "balancers"),
    ("quantum", "tick"),
    ("dedup_window", "window"),
    ("fees", "prices"),
    ("most_held", "max_open"),
    ("may_duplicate", "second_copies"),
    ("positions", "cells"),
    ("span", "reach"),
    ("need_by_class", "class_need"),
    ("partial_earns", "class_partial"),
    ("second_step", "class_fetch"),
    ("cold_share", "cold_from"),
    ("warm_within", "cold"),
    ("tip_multiple", "fall_multiple"),
    ("must_ask_in", "ask_within"),
    ("counted_over", "budget_window"),
    ("extra_per_request", "budget_share"),
];

/// Returns the settings with other keys, as another deployment may name them: each key in `aliases` is
/// replaced with its alias, then every other key that the simulator names differently with the simulator's
/// key.
pub fn with_setting_aliases(settings: &Value, aliases: &[(&str, &str)]) -> Value {
    let rename = |text: String, (from, to): &(&str, &str)| {
        text.replace(&format!("\"{from}\":"), &format!("\"{to}\":"))
    };
    let text = aliases.iter().fold(settings.to_string(), rename);
    serde_json::from_str(&SIMULATOR_KEYS.iter().fold(text, rename)).expect("JSON")
}
