//! The settings of a deployment: those of the decision core, the names of classes and tenants, and the
//! connection parameters, which the decision core does not use.

use pinetrestle::interface::{Micros, Settings};

/// The settings of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Settings of the decision core.
    pub settings: Settings,
    /// Names of the classes, in the order of `settings.classes`.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of `settings.tenants`.
    pub tenants: Vec<String>,
    /// Parameters of the connections to index servers.
    pub transport: Transport,
}

/// Parameters of the connections to index servers. The front node chooses a default for each one that the
/// settings don't contain.
#[derive(Clone, Debug, Default)]
pub struct Transport {
    /// Number of shards (key `family_info.slabs`).
    pub shards: Option<u32>,
    /// Maximum number of parts in flight on one connection (key `permissions.streams_per_conn`).
    pub max_parts_per_connection: Option<u32>,
    /// Time without traffic after which an index server closes a connection (key `permissions.conn_idle`).
    pub server_idle_timeout: Option<Micros>,
    /// Maximum time for establishing a connection (key `permissions.connect_timeout`).
    pub connect_timeout: Option<Micros>,
}

impl Deployment {
    /// Returns the index in `settings.classes` of the class with this name, or `None` if there is none.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|known| known == name)
    }

    /// Returns the index in `settings.tenants` of the tenant with this name, or `None` if there is none.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|known| known == name)
    }
}
