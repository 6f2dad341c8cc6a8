//! A small deployment: three cells of index servers, one class of any two of three parts (`any`), one that needs all
//! parts (`all`), one with a second step (`steps`).

use crate::servers::Server;
use crate::shared::entry;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The settings of the small deployment.
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
        "permissions": {"cancel": true, "may_duplicate": true, "retry_after": true, "max_retry_after": 500_000,
            "try_limit": 3, "most_held": 60, "conn_idle": 15_000_000, "connect_timeout": 250_000,
            "streams_per_conn": 32},
        "rules": {"cold_share": 0.3, "warm_within": 5_000_000, "tip_multiple": 3.0, "fall": 1_000_000,
            "must_ask_in": 10_000_000, "drain_grace": 1_000_000, "grace_to_answer": 20_000},
    })
}

/// Entries of index servers at these addresses, in turn of the three cells.
pub fn entries_at(addresses: impl Iterator<Item = SocketAddr>) -> Vec<Value> {
    let each = addresses.enumerate();
    each.map(|(n, address)| entry(&format!("s{n}"), &address.to_string(), n as u32 % 3)).collect()
}

/// The entries of these index servers.
pub fn entries(servers: &[Server]) -> Vec<Value> {
    entries_at(servers.iter().map(|server| server.address))
}

/// A complete endpoint list at a version.
pub fn endpoint_list(index: u64, entries: &[Value]) -> Value {
    json!({"index": index, "snapshot": true, "endpoints": entries})
}

/// A front node's configuration file.
pub fn config_json(listen: &str, discovery: &str, known: &Value) -> Value {
    json!({"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
           "settings": settings()})
}

/// Settings keys as the wire page has them, and the simulator's own keys for the same.
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

/// Settings as another deployment states them: these keys with aliases of its own, all others as the simulator has them.
pub fn with_setting_aliases(settings: &Value, aliases: &[(&str, &str)]) -> Value {
    let rename = |text: String, (from, to): &(&str, &str)| {
        text.replace(&format!("\"{from}\":"), &format!("\"{to}\":"))
    };
    let text = aliases.iter().fold(settings.to_string(), rename);
    serde_json::from_str(&SIMULATOR_KEYS.iter().fold(text, rename)).expect("JSON")
}
