//! A front node whose endpoint list may be out of date, as discovery does not deliver the current one, where
//! discovery pushes the list: it keeps drains, and goes on serving while discovery does not respond.
//!
//! The tests run in real time. The exact times are tested on a simulated clock by `tests/list_currency`.

#[path = "common/deployment.rs"]
mod deployment;

use deployment::start_deployment_with;
use pinetrestle_standins::{
    config_json, endpoint_list, entries, eventually, query, Client, Discovery, DiscoveryBehavior, FrontNode,
    ReservedAddress, Server, ServerBehavior, SmallDeployment, WatchFault,
};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");
/// Grace of the settings, in microseconds.
const DRAIN_GRACE: u64 = 250_000;
/// Time after which a draining server must receive nothing: the grace, with time for a busy machine to read
/// what was written before.
const DRAIN_LIMIT: Duration = Duration::from_millis(800);
/// Time for which an overloaded discovery service lets a call wait.
const CALL_DELAY: Duration = Duration::from_millis(1500);
/// Time for which queries are sent.
const LOAD_DURATION: Duration = Duration::from_secs(3);

fn with_pushed_list(config: &mut Value) {
    config["settings"]["discovery"] = json!("push");
    config["settings"]["rules"]["drain_grace"] = json!(DRAIN_GRACE);
}

/// Starts a deployment with a pushed list and waits until the front node has a watch.
fn start() -> SmallDeployment {
    let deployment = start_deployment_with(&ServerBehavior::Serving, with_pushed_list);
    eventually("a watch is established", || lists_received(&deployment.front_node) >= 1);
    deployment
}

fn lists_received(front_node: &FrontNode) -> u64 {
    front_node.stats()["discovery"]["lists"].as_u64().expect("a count")
}

fn with_first_draining(servers: &[Server]) -> Vec<Value> {
    let mut list = entries(servers);
    list[0]["status"] = json!("draining");
    list
}

/// Sends queries for all cells one after the other, and returns how many were served and how many were not.
fn send_queries(address: SocketAddr, duration: Duration) -> (u32, u32) {
    let end = Instant::now() + duration;
    let (mut served, mut unserved) = (0, 0);
    let mut client = Client::connect(address);
    while Instant::now() < end {
        match client.send(&query("all", &[0, 1, 2], 2500).text).status {
            200 => served += 1,
            _ => unserved += 1,
        }
        thread::sleep(Duration::from_millis(10));
    }
    (served, unserved)
}

/// Asserts that a server has received nothing later than [`DRAIN_LIMIT`] after `notified_at`.
fn assert_drain_kept(server: &Server, notified_at: Instant) {
    let late = server.received().iter().filter(|part| part.read_at > notified_at + DRAIN_LIMIT).count();
    assert_eq!(late, 0, "parts at the draining server");
}

#[test]
fn a_drain_is_kept_if_a_watch_ends_instead_of_delivering_it_and_the_next_call_waits() {
    let deployment = start();
    deployment.discovery.set_behavior(DiscoveryBehavior::OneAtATime(CALL_DELAY));
    let changed_at = Instant::now();
    deployment.discovery.set_entries_and_close_watches(with_first_draining(&deployment.servers));
    let (served, unserved) = send_queries(deployment.address(), LOAD_DURATION);
    assert_drain_kept(&deployment.servers[0], changed_at);
    // Queries wait for the list, and none is lost.
    assert!(served > 20 && unserved == 0, "{served} served, {unserved} not");
}

#[test]
fn a_new_front_node_keeps_a_drain_that_its_stored_list_lacks() {
    let servers: Vec<Server> = (0..6).map(|_| Server::start(ServerBehavior::Serving)).collect();
    let discovery = Discovery::start(with_first_draining(&servers));
    discovery.set_behavior(DiscoveryBehavior::OneAtATime(CALL_DELAY));
    let known = endpoint_list(1, &entries(&servers));
    let mut config = config_json("127.0.0.1:0", &discovery.address.to_string(), &known);
    with_pushed_list(&mut config);
    let started_at = Instant::now();
    let front_node = FrontNode::start_ready(NODE, &config);
    let (served, unserved) = send_queries(front_node.address, LOAD_DURATION);
    assert!(servers[0].received().is_empty(), "ready only with the list of discovery");
    assert_drain_kept(&servers[0], started_at);
    assert!(served > 20 && unserved == 0, "{served} served, {unserved} not");
}

#[test]
fn a_drain_at_a_new_discovery_service_is_kept_though_its_first_calls_are_not_answered() {
    let deployment = start();
    let new_discovery = Discovery::start(with_first_draining(&deployment.servers));
    new_discovery.set_behavior(DiscoveryBehavior::Silent);
    let text = std::fs::read_to_string(deployment.front_node.config_file()).expect("the configuration file");
    let mut file: Value = serde_json::from_str(&text).expect("JSON");
    file["discovery"] = json!(new_discovery.address.to_string());
    deployment.front_node.reload(Some(&file.to_string()));
    eventually("the new service is called", || new_discovery.watch_count() >= 1);
    let reloaded_at = Instant::now();
    let address = deployment.address();
    let load = thread::spawn(move || send_queries(address, Duration::from_secs(7)));
    thread::sleep(Duration::from_millis(4500));
    new_discovery.set_behavior(DiscoveryBehavior::Serving);
    load.join().expect("the client ends");
    // The new service's list counts from 4 s after the reload.
    assert_drain_kept(&deployment.servers[0], reloaded_at + Duration::from_secs(4));
}

#[test]
fn a_front_node_is_ready_in_time_and_serves_by_its_stored_list_while_discovery_is_down_or_hangs() {
    let servers: Vec<Server> = (0..6).map(|_| Server::start(ServerBehavior::Serving)).collect();
    let reserved = ReservedAddress::reserve();
    let hanging = Discovery::start(Vec::new());
    hanging.set_behavior(DiscoveryBehavior::Silent);
    thread::scope(|scope| {
        for (discovery, ready_within) in [(reserved.address, 3), (hanging.address, 10)] {
            let servers = &servers;
            scope.spawn(move || {
                let known = endpoint_list(1, &entries(servers));
                let mut config = config_json("127.0.0.1:0", &discovery.to_string(), &known);
                with_pushed_list(&mut config);
                let started_at = Instant::now();
                let front_node = FrontNode::start_ready(NODE, &config);
                assert!(started_at.elapsed() < Duration::from_secs(ready_within));
                let (served, unserved) = send_queries(front_node.address, LOAD_DURATION);
                assert!(served > 20 && unserved == 0, "{served} served, {unserved} not");
            });
        }
    });
}

#[test]
fn a_running_front_node_serves_by_the_known_list_while_discovery_hangs() {
    let deployment = start();
    deployment.discovery.set_behavior(DiscoveryBehavior::Silent);
    deployment.discovery.fail_watches(WatchFault::Reset);
    let hanging_from = Instant::now();
    thread::sleep(DRAIN_LIMIT);
    // The first query waits until discovery is taken for hanging, 2.5 s after sends were held, or is rejected.
    deployment.client().send(&query("all", &[0, 1, 2], 5000).text);
    assert!(hanging_from.elapsed() < Duration::from_secs(5), "{:?}", hanging_from.elapsed());
    let (served, unserved) = send_queries(deployment.address(), Duration::from_secs(6));
    assert!(served > 100 && unserved == 0, "{served} served, {unserved} not");
}

#[test]
fn a_discovery_that_ends_each_watch_meets_a_backoff_and_queries_are_served() {
    let deployment = start();
    let calls_before = deployment.discovery.watch_count();
    let address = deployment.address();
    let load = thread::spawn(move || send_queries(address, Duration::from_secs(4)));
    while !load.is_finished() {
        deployment.discovery.close_watches();
        thread::sleep(Duration::from_millis(5));
    }
    let (served, unserved) = load.join().expect("the client ends");
    let calls = deployment.discovery.watch_count() - calls_before;
    assert!(calls <= 16, "{calls} calls in 4 s");
    assert!(served > 20 && unserved == 0, "{served} served, {unserved} not");
}
