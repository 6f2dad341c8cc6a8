//! Six index servers, two in each of three cells, with discovery and a front node.

use crate::{
    config_json, endpoint_list, entries, eventually, query, Client, Discovery, FrontNode, Server,
    ServerBehavior,
};
use serde_json::Value;
use std::net::SocketAddr;

/// A front node process with a discovery service and six index servers, two in each of three cells, connected
/// over loopback sockets.
///
/// Server `n` is in cell `n % 3` and is a replica of every shard whose number has the same remainder.
///
/// The front node has three classes of queries: an answer is complete with any two of three parts in the
/// class `any` and with all parts in the class `all`; queries of the class `steps` have a second step.
pub struct SmallDeployment {
    /// The index servers.
    pub servers: Vec<Server>,
    /// The discovery service, which lists all index servers.
    pub discovery: Discovery,
    /// The front node, ready to serve.
    pub front_node: FrontNode,
}

impl SmallDeployment {
    /// Starts index servers with this behavior, and a front node with the configuration as edited by
    /// `edit_config`. Returns once the front node is ready.
    ///
    /// `program` is the path of the front node's executable.
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

    /// Sets the behavior of every index server from now on.
    pub fn set_all_behaviors(&self, behavior: &ServerBehavior) {
        self.servers.iter().for_each(|server| server.set_behavior(behavior.clone()));
    }

    /// Changes the endpoint list and waits until the front node has applied it.
    pub fn change_endpoint_list(&self, entries: Vec<Value>) {
        let lists_received = || self.front_node.stats()["discovery"]["lists"].as_u64();
        eventually("a watch is open", || lists_received() >= Some(1));
        let before = lists_received();
        self.discovery.set_entries(entries);
        eventually("the changed list is applied", || lists_received() > before);
    }

    /// Asserts that a query of the class `all` for one shard of each cell gets status 200.
    pub fn assert_serves(&self) {
        let answer = self.client().send(&query("all", &[0, 1, 2], 2000).text);
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    /// Returns the number of parts that the index servers have received so far, all together.
    pub fn parts_received(&self) -> usize {
        self.servers.iter().map(|server| server.received().len()).sum()
    }

    /// Returns the ids of the parts that the index servers have been told to cancel.
    pub fn parts_cancelled(&self) -> Vec<String> {
        self.servers.iter().flat_map(Server::cancelled_parts).collect()
    }

    /// Returns the counters once no query or attempt is in flight, and asserts that their totals agree.
    ///
    /// In each class, the number of queries taken must equal the sum of their outcomes. The number of
    /// attempts sent must equal the sum of the outcomes of attempts. The counters of queries and attempts in
    /// flight are `held` and `out`.
    pub fn checked_stats(&self) -> Value {
        eventually("no query or attempt is in flight", || {
            let stats = self.front_node.stats();
            let mut classes = stats["queries"].as_object().expect("classes").values();
            classes.all(|class| class["held"] == 0) && stats["attempts"]["out"] == 0
        });
        let stats = self.front_node.stats();
        let sum = |counters: &Value, keys: &[&str]| {
            keys.iter().map(|key| counters[key].as_u64().expect("a count")).sum::<u64>()
        };
        for (name, class) in stats["queries"].as_object().expect("classes") {
            let ended = sum(class, &["whole", "partial", "refused", "failed", "gone"]);
            assert_eq!(sum(class, &["taken"]), ended, "class {name}: {class}");
        }
        let attempts = &stats["attempts"];
        let outcomes = ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"];
        assert_eq!(sum(attempts, &["sent"]), sum(attempts, &outcomes), "{attempts}");
        stats
    }
}
