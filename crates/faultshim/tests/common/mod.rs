//! Helpers for tests in which a front node process is run with the fault shim loaded.
#![allow(dead_code)] // each test file uses only some of the helpers

use pinetrestle_standins::{
    config_json, endpoint_list, entries, entries_at, eventually, query, Client, Discovery, FrontNode, Server,
    ServerBehavior,
};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns a duration in milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the directory of this test's executable: `target/PROFILE/deps`.
fn test_directory() -> PathBuf {
    let test = std::env::current_exe().expect("path of this test");
    test.parent().expect("directory of this test").to_owned()
}

/// Returns the path as text. Panics if the file does not exist; `hint` explains how to build it.
fn existing(path: PathBuf, hint: &str) -> String {
    assert!(path.exists(), "{} does not exist: {hint}", path.display());
    path.display().to_string()
}

/// Returns the path of the front node's executable. Cargo builds it with `cargo test --workspace` or `cargo
/// build --workspace`, in the directory above this test's.
pub fn node_program() -> String {
    let directory = test_directory().parent().expect("target/PROFILE").to_owned();
    existing(directory.join("pinetrestle-node"), "cargo build --workspace")
}

/// Returns the path of the fault shim. Cargo builds it for the tests of this crate, in the same directory.
pub fn shim_library() -> String {
    existing(
        test_directory().join("libpinetrestle_faultshim.so"),
        "the crate-type of this crate must contain cdylib and rlib",
    )
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// A fault plan for the shim, and the file to which the shim reports each fault.
pub struct Faults {
    plan: String,
    report: tempfile::TempPath,
}

impl Faults {
    /// Creates the report file for a plan.
    pub fn new(plan: &str) -> Faults {
        let report = tempfile::NamedTempFile::new().expect("create the report file").into_temp_path();
        Faults { plan: plan.to_owned(), report }
    }

    /// Returns a shell command that makes the next program load the shim with this plan.
    pub fn shell_setup(&self) -> String {
        format!(
            "export FAULTSHIM='{}' FAULTSHIM_REPORT='{}' LD_PRELOAD='{}'",
            self.plan,
            self.report.display(),
            shim_library()
        )
    }

    /// Returns the number of faults injected so far.
    pub fn count(&self) -> usize {
        std::fs::read_to_string(&self.report).expect("read the report file").lines().count()
    }
}

/// Six index servers, discovery, and a front node with the shim loaded.
pub struct FaultyDeployment {
    /// The index servers.
    pub servers: Vec<Server>,
    /// The discovery service.
    pub discovery: Discovery,
    /// The front node, ready to serve.
    pub front_node: FrontNode,
    /// The faults of the front node.
    pub faults: Faults,
    /// Time just before the front node was started.
    pub started_at: Instant,
}

impl FaultyDeployment {
    /// Starts a deployment and waits until the front node is ready.
    pub fn start(plan: &str) -> FaultyDeployment {
        // `true` is a shell command that does nothing.
        FaultyDeployment::start_with_shell_setup("true", plan)
    }

    /// Like [`FaultyDeployment::start`], with the front node started from a shell that runs `command` first.
    pub fn start_with_shell_setup(command: &str, plan: &str) -> FaultyDeployment {
        let servers: Vec<Server> = (0..6).map(|_| Server::start(ServerBehavior::Serving)).collect();
        let entries = entries(&servers);
        let discovery = Discovery::start(entries.clone());
        let known = endpoint_list(1, &entries);
        let config = config_json("127.0.0.1:0", &discovery.address.to_string(), &known);
        let faults = Faults::new(plan);
        let started_at = Instant::now();
        let setup = format!("{command}; {}", faults.shell_setup());
        let front_node = FrontNode::start_with_shell_setup(&setup, &node_program(), &config);
        let deployment = FaultyDeployment { servers, discovery, front_node, faults, started_at };
        eventually("the front node is ready", || {
            status(deployment.front_node.address, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200
        });
        deployment
    }
}

/// Sends a request on a new connection; returns the status of the answer, or 0 if the connection ended
/// without one.
pub fn status(address: SocketAddr, text: &str) -> u16 {
    let mut client = Client::connect(address);
    if !client.try_write(text.as_bytes()) {
        return 0;
    }
    client.try_read().map_or(0, |answer| answer.status)
}

/// Sends queries one after the other and returns the statuses of their answers; 0 stands for a missing
/// answer. The queries share a connection until it ends; the next query then opens a new one.
pub fn send_queries(address: SocketAddr, class: &str, shards: &[u32], query_count: usize) -> Vec<u16> {
    let mut client = Client::connect(address);
    let mut statuses = Vec::with_capacity(query_count);
    for _ in 0..query_count {
        let text = query(class, shards, 2000).text;
        let answer = if client.try_write(text.as_bytes()) { client.try_read() } else { None };
        statuses.push(answer.as_ref().map_or(0, |answer| answer.status));
        if answer.is_none() {
            client = Client::connect(address);
        }
    }
    statuses
}

/// Counts the statuses that are equal to `status`.
pub fn count(statuses: &[u16], status: u16) -> usize {
    statuses.iter().filter(|other| **other == status).count()
}

/// Returns list entries of index servers that are all in cell 0 and so hold the same shards, with the time of
/// their start in milliseconds since the Unix epoch.
pub fn entries_in_one_cell(servers: &[SocketAddr], since_ms: u64) -> Vec<Value> {
    let mut entries = entries_at(servers.iter().copied());
    for entry in &mut entries {
        (entry["group"], entry["since_ms"]) = (json!(0), json!(since_ms));
    }
    entries
}
