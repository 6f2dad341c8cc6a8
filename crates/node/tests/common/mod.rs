//! A small deployment: three cells of two index servers each, one class of any two of three parts, one that
//! needs all parts, one with a second step.
#![allow(dead_code)] // each test file uses its own part of it

use pinetrestle_node::Config;
use pinetrestle_standins::{config_json, endpoint_list, entry};
use serde_json::Value;

/// Index of the class that needs any two of three parts.
pub const CLASS_ANY: usize = 0;
/// Index of the class that needs all parts.
pub const CLASS_ALL: usize = 1;
/// Index of the class with a second step.
pub const CLASS_STEPS: usize = 2;

/// Its configuration.
pub fn config() -> Config {
    config_with(|_| {})
}

/// The same with a change in its settings.
pub fn config_with(change: impl FnOnce(&mut Value)) -> Config {
    let entries: Vec<Value> =
        (0..6).map(|n| entry(&format!("s{n}"), &format!("127.0.0.1:{}", 7000 + n), n % 3)).collect();
    let mut file = config_json("127.0.0.1:0", "127.0.0.1:1", &endpoint_list(1, &entries));
    change(&mut file["settings"]);
    Config::from_json(&file).expect("a valid configuration")
}
