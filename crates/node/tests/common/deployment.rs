//! Six index servers, discovery and the front node's program on sockets.
#![allow(dead_code)] // each test file uses its own part of it

use pinetrestle_standins::{eventually, query, Client, Discovery, FrontNode, Server, ServerBehavior};
use serde_json::Value;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

/// Six index servers, two in each of three cells, with discovery and a front node.
pub struct Deployment {
    pub servers: Vec<Server>,
    pub discovery: Discovery,
    pub program: FrontNode,
}

impl Deployment {
    /// With something changed in the front node's configuration.
    pub fn with(behavior: &ServerBehavior, change: impl FnOnce(&mut Value)) -> Deployment {
        let pinetrestle_standins::SmallDeployment { servers, discovery, program } =
            pinetrestle_standins::SmallDeployment::start(NODE, behavior, change);
        Deployment { servers, discovery, program }
    }

    pub fn new(behavior: &ServerBehavior) -> Deployment {
        Deployment::with(behavior, |_| {})
    }

    pub fn client(&self) -> Client {
        Client::connect(self.program.address)
    }

    /// What all index servers do from now on.
    pub fn all_servers(&self, behavior: &ServerBehavior) {
        self.servers.iter().for_each(|server| server.set_behavior(behavior.clone()));
    }

    /// Changes the endpoint list and waits until the front node has applied it.
    pub fn change_endpoint_list(&self, lines: Vec<Value>) {
        let lists = || self.program.stats()["discovery"]["lists"].as_u64();
        eventually("a watch is open", || lists() >= Some(1));
        let before = lists();
        self.discovery.set_entries(lines);
        eventually("the change is applied", || lists() > before);
    }

    /// A query to three shards is answered.
    pub fn assert_serves(&self) {
        let answer = self.client().send(&query("all", &[0, 1, 2], 2000).1);
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    /// Parts that the index servers have received.
    pub fn parts_received(&self) -> usize {
        self.servers.iter().map(|server| server.received().len()).sum()
    }

    /// Ids of parts whose cancels the index servers have received.
    pub fn parts_cancelled(&self) -> Vec<String> {
        self.servers.iter().flat_map(Server::cancelled_parts).collect()
    }

    /// Waits until nothing is in flight, checks that the counters agree with one another, and returns them.
    pub fn balanced_stats(&self) -> Value {
        eventually("nothing is in flight", || {
            let stats = self.program.stats();
            let held = stats["queries"].as_object().expect("classes").values().map(|class| &class["held"]);
            held.clone().all(|held| *held == 0) && stats["attempts"]["out"] == 0
        });
        let stats = self.program.stats();
        let sum = |of: &Value, keys: &[&str]| {
            keys.iter().map(|key| of[key].as_u64().expect("a count")).sum::<u64>()
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
