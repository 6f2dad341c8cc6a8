//! Start of a [`SmallDeployment`] whose front node runs this crate's executable.
#![allow(dead_code)] // each test file uses only some of these functions

use pinetrestle_standins::{ServerBehavior, SmallDeployment};
use serde_json::Value;

/// Starts index servers with this behavior and a front node with the default configuration.
pub fn start_deployment(behavior: &ServerBehavior) -> SmallDeployment {
    start_deployment_with(behavior, |_| {})
}

/// Starts index servers with this behavior and a front node with the configuration as edited by
/// `edit_config`.
pub fn start_deployment_with(
    behavior: &ServerBehavior,
    edit_config: impl FnOnce(&mut Value),
) -> SmallDeployment {
    SmallDeployment::start(env!("CARGO_BIN_EXE_pinetrestle-node"), behavior, edit_config)
}
