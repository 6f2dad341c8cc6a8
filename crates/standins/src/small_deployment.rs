//! Six index servers, two in each of three cells, with discovery and a front node.

use crate::{config_json, endpoint_list, entries, Client, Discovery, FrontNode, Server, ServerBehavior};
use serde_json::Value;
use std::net::SocketAddr;

/// Six index servers, discovery and a front node, all on loopback.
pub struct SmallDeployment {
    /// The index servers.
    pub servers: Vec<Server>,
    /// The discovery service, which lists all index servers.
    pub discovery: Discovery,
    /// The front node, ready to serve.
    pub front_node: FrontNode,
}

impl SmallDeployment {
    /// Starts a deployment and waits until the front node is ready. `program` is the path of the front node's
    /// executable; `edit_config` may edit the front node's
    /// configuration.
    pub fn start(
        program: &str,
        behavior: &ServerBehavior,
        edit_config: impl FnOnce(&mut Value),
    ) -> SmallDeployment {
        let servers: Vec<Server> = (0..6).map(|_| Server::start(behavior.clone())).collect();
        let discovery = Discovery::start(entries(&servers));
        let known = endpoint_list(1, &entries(&servers));
        let mut config = config_json("127.0.0.1:0", &discovery.address.to_string(), &known);
        edit_config(&mut config);
        let front_node = FrontNode::start_ready(program, &config);
        SmallDeployment { servers, discovery, front_node }
    }

    /// Returns the address at which the front node listens.
    pub fn address(&self) -> SocketAddr {
        self.front_node.address
    }

    /// Connects a client to the front node.
    pub fn client(&self) -> Client {
        Client::connect(self.address())
    }

    /// Counts the parts that the index servers have received so far.
    pub fn received(&self) -> usize {
        self.servers.iter().map(|server| server.received().len()).sum()
    }
}
