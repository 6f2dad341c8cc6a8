//! An instance of the simulation: a front node, and its mapping between server names and replica numbers.

use crate::error::WireError;
use pinetrestle::interface::{Event, Micros, ReplicaId};
use pinetrestle::FrontNode;
use pinetrestle_settings::Deployment;
use serde_json::Value;
use std::collections::HashMap;

/// An instance of the simulation.
pub struct Instance {
    /// The decision core of the instance.
    pub node: FrontNode,
    /// Settings of the instance, including the names of classes and tenants.
    pub deployment: Deployment,
    /// Events of the instance in the current batch.
    pub events: Vec<Event>,
    /// Replica numbers of the index servers.
    pub servers: ServerNumbers,
}

impl Instance {
    /// Creates an instance that starts at `now`. `options` are its settings, as
    /// [`pinetrestle_settings::read`] reads them.
    ///
    /// # Errors
    ///
    /// [`WireError::Field`] if the settings are invalid.
    pub fn new(seed: u64, options: &Value, now: Micros) -> Result<Instance, WireError> {
        let deployment = pinetrestle_settings::read(options)?;
        Ok(Instance {
            node: FrontNode::new(deployment.settings.clone(), seed, now),
            deployment,
            events: Vec::new(),
            servers: ServerNumbers::default(),
        })
    }
}

/// The replica numbers of one instance, assigned to servers in the order in which its endpoint lists name
/// them.
#[derive(Default)]
pub struct ServerNumbers {
    /// Server names, by replica number.
    names: Vec<String>,
    /// Replica numbers, by server name.
    numbers: HashMap<String, ReplicaId>,
}

impl ServerNumbers {
    /// Returns the replica number of a server. Assigns the next number to a server that has none.
    pub fn number_of(&mut self, server: &str) -> ReplicaId {
        if let Some(number) = self.numbers.get(server) {
            return *number;
        }
        let number = self.names.len() as ReplicaId;
        self.names.push(server.to_owned());
        self.numbers.insert(server.to_owned(), number);
        number
    }

    /// Returns the name of the server with this replica number.
    ///
    /// # Panics
    ///
    /// If the number has not been assigned.
    pub fn name_of(&self, number: ReplicaId) -> &str {
        &self.names[number as usize]
    }
}
