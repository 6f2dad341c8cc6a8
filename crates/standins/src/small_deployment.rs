//! Six index servers, two in each of three cells, with discovery and a front node.

use crate::{config_json, endpoint_list, entries, Client, Discovery, FrontNode, Server, ServerBehavior};
use serde_json::Value;
use std::net::SocketAddr;

/// All of them, on loopback.
pub struct SmallDeployment {
    /// The index servers.
    pub servers: Vec<Server>,
    /// Discovery, which tells them.
    pub discovery: Discovery,
    /// The front node, ready.
    pub program: FrontNode,
}

impl SmallDeployment {
    /// Index servers that do this, and a front node with something changed in its configuration.
    pub fn start(program: &str, doing: &ServerBehavior, change: impl FnOnce(&mut Value)) -> SmallDeployment {
        let servers: Vec<Server> = (0..6).map(|_| Server::start(doing.clone())).collect();
        let discovery = Discovery::start(entries(&servers));
        let known = endpoint_list(1, &entries(&servers));
        let mut config = config_json("127.0.0.1:0", &discovery.address.to_string(), &known);
        change(&mut config);
        let program = FrontNode::start_ready(program, &config);
        SmallDeployment { servers, discovery, program }
    }

    /// Where the front node listens.
    pub fn address(&self) -> SocketAddr {
        self.program.address
    }

    /// A client of it.
    pub fn client(&self) -> Client {
        Client::connect(self.address())
    }

    /// Parts that index servers were sent.
    pub fn received(&self) -> usize {
        self.servers.iter().map(|server| server.received().len()).sum()
    }
}
