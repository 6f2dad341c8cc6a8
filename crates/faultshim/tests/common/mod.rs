//! What the tests with a fault shim share.
#![allow(dead_code)] // each test file uses its own part of it

use pinetrestle_standins::{
    config_json, endpoint_list, entries_at, eventually, query, Client, Discovery, FrontNode, Server,
    ServerBehavior,
};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A span in milliseconds.
pub fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

/// The folder of this test's own program: `target/PROFILE/deps`.
fn own_folder() -> PathBuf {
    let test = std::env::current_exe().expect("the path of this test");
    test.parent().expect("a test in a folder").to_owned()
}

/// The path, if a file is there; `hint` tells how to get it.
fn existing(path: PathBuf, hint: &str) -> String {
    assert!(path.exists(), "{} is not there: {hint}", path.display());
    path.display().to_string()
}

/// The front node, which cargo puts above this test's folder (with `cargo test --workspace`).
pub fn node() -> String {
    let folder = own_folder().parent().expect("target/PROFILE").to_owned();
    existing(folder.join("pinetrestle-node"), "cargo build --workspace")
}

/// The fault shim, which cargo builds for the tests of this crate and leaves beside them.
pub fn shim() -> String {
    existing(
        own_folder().join("libpinetrestle_faultshim.so"),
        "crate-type of this crate lacks cdylib or rlib",
    )
}

/// The wall clock in milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// A plan for the shim and the report of what it did.
pub struct Faults {
    plan: String,
    report: tempfile::TempPath,
}

impl Faults {
    /// By this plan.
    pub fn planned(plan: &str) -> Faults {
        let report = tempfile::NamedTempFile::new().expect("a file").into_temp_path();
        Faults { plan: plan.to_owned(), report }
    }

    /// What a shell does so that the next program has them.
    pub fn shell(&self) -> String {
        format!(
            "export FAULTSHIM='{}' FAULTSHIM_REPORT='{}' LD_PRELOAD='{}'",
            self.plan,
            self.report.display(),
            shim()
        )
    }

    /// Faults met so far.
    pub fn met(&self) -> usize {
        std::fs::read_to_string(&self.report).expect("a report").lines().count()
    }
}

/// Six index servers, discovery, and a front node under faults.
pub struct Stage {
    /// The index servers.
    pub servers: Vec<Server>,
    /// Discovery.
    pub discovery: Discovery,
    /// The front node, ready.
    pub program: FrontNode,
    /// Its faults.
    pub faults: Faults,
    /// When it was about to be started.
    pub begun: Instant,
}

impl Stage {
    /// With this plan and something changed in the configuration.
    pub fn with(plan: &str, change: impl FnOnce(&mut Value)) -> Stage {
        Stage::under("true", plan, change)
    }

    /// The same from a shell in which this was done before.
    pub fn under(first: &str, plan: &str, change: impl FnOnce(&mut Value)) -> Stage {
        let servers: Vec<Server> = (0..6).map(|_| Server::start(ServerBehavior::Serving)).collect();
        let lines = entries_at(servers.iter().map(|server| server.address));
        let discovery = Discovery::start(lines.clone());
        let mut config =
            config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(1, &lines));
        change(&mut config);
        let faults = Faults::planned(plan);
        let begun = Instant::now();
        let program =
            FrontNode::start_with_shell_setup(&format!("{first}; {}", faults.shell()), &node(), &config);
        let stage = Stage { servers, discovery, program, faults, begun };
        eventually("ready", || {
            status(stage.program.address, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200
        });
        stage
    }
}

/// The status of the answer to a request on a connection of its own; 0 where the connection ended without one.
pub fn status(address: SocketAddr, text: &str) -> u16 {
    let mut client = Client::connect(address);
    if !client.try_write(text.as_bytes()) {
        return 0;
    }
    client.try_read().map_or(0, |answer| answer.status)
}

/// Statuses of so many queries, asked one after the other on one connection as long as that lasts.
pub fn ask(address: SocketAddr, class: &str, shards: &[u32], many: usize) -> Vec<u16> {
    let mut client = Client::connect(address);
    let mut statuses = Vec::with_capacity(many);
    for _ in 0..many {
        let text = query(class, shards, 2000).1;
        let answer = if client.try_write(text.as_bytes()) { client.try_read() } else { None };
        statuses.push(answer.as_ref().map_or(0, |answer| answer.status));
        if answer.is_none() {
            client = Client::connect(address);
        }
    }
    statuses
}

/// How many of the statuses are this one.
pub fn count(statuses: &[u16], status: u16) -> usize {
    statuses.iter().filter(|each| **each == status).count()
}

/// Lines of these servers, all of them holding every shard, with the time of their start.
pub fn holders(servers: &[SocketAddr], since_ms: u64) -> Vec<Value> {
    let mut lines = entries_at(servers.iter().copied());
    for line in &mut lines {
        (line["group"], line["since_ms"]) = (json!(0), json!(since_ms));
    }
    lines
}
