//! The configuration file of a member, which operators write in JSON5: the members of the fleet, the data
//! directory, the timing of Raft and leases, the settings for drains, releases and recovery, and this
//! member's front node.
//!
//! `file` defines the keys, `defaults` the values of keys that are left out, and `validation` the checks that
//! the deserializer does not make. Operators' files depend on the keys, so they do not change; a field with
//! another name gives its key in a serde attribute.

mod defaults;
mod file;
mod validation;

pub use file::{
    BudgetConfig, FleetConfig, FrontNodeConfig, LaunchConfig, Peer, RecoveryConfig, RelayConfig,
    RolloutConfig,
};
