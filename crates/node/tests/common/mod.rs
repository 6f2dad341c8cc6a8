//! A front node's configuration for tests without sockets: three cells of two index servers each, and three
//! classes of queries.
#![allow(dead_code)] // each test file uses only some of these items

use pinetrestle_node::Config;
use pinetrestle_standins::{config_json, endpoint_list, entry};
use serde_json::Value;

/// Index of the class `any`, whose answer is complete with any two of three parts.
pub const CLASS_ANY: usize = 0;
/// Index of the class `all`, whose answer is complete only with all parts.
pub const CLASS_ALL: usize = 1;
/// Index of the class `steps`, whose queries have a second step.
pub const CLASS_STEPS: usize = 2;

/// Returns the configuration with its default settings.
pub fn config() -> Config {
    config_with(|_| {})
}

/// Returns the configuration after `change` has edited the `settings` object of the configuration file.
pub fn config_with(change: impl FnOnce(&mut Value)) -> Config {
    let entries: Vec<Value> =
        (0..6).map(|n| entry(&format!("s{n}"), &format!("127.0.0.1:{}", 7000 + n), n % 3)).collect();
    let mut file = config_json("127.0.0.1:0", "127.0.0.1:1", &endpoint_list(1, &entries));
    change(&mut file["settings"]);
    Config::from_json(&file).expect("a valid configuration")
}
