//! Watches on discovery that fail while the endpoint list changes: the front node must act on the change
//! within 6 s.
//!
//! These tests run in real time against a front node process; `list_change_latency` tests the same bound on a
//! simulated clock.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/logged_closes.rs"]
mod logged_closes;

use deployment::start_deployment_with;
use logged_closes::wait_for_logged_close;
use pinetrestle_standins::{
    config_json, endpoint_list, entries, eventually, query, DiscoveryBehavior, FrontNode, ReservedAddress,
    Server, ServerBehavior, SmallDeployment, WatchFault,
};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");
/// Longest time from a change of the endpoint list, at a reachable discovery service, until the front node
/// acts on it.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);

/// Starts a deployment whose front node polls for the endpoint list (mode `ask`) or has it pushed (mode
/// `push`), and waits until the front node has a watch.
fn start_with_list_mode(mode: &str) -> SmallDeployment {
    let deployment = start_deployment_with(&ServerBehavior::Serving, |config| {
        config["settings"]["discovery"] = json!(mode);
    });
    eventually("a watch is established", || lists_received(&deployment) >= 1);
    deployment
}

/// Returns the number of endpoint lists received so far.
fn lists_received(deployment: &SmallDeployment) -> u64 {
    deployment.front_node.stats()["discovery"]["lists"].as_u64().expect("a count")
}

/// Lists the first server as draining and returns how long the front node took to receive that change.
/// Asserts that the server gets no part after it.
fn time_to_act_on_a_drain(deployment: &SmallDeployment) -> Duration {
    let changed_at = Instant::now();
    let lists_before = lists_received(deployment);
    let mut list = entries(&deployment.servers);
    list[0]["status"] = json!("draining");
    deployment.discovery.set_entries(list);
    eventually("the change is received", || lists_received(deployment) > lists_before);
    let latency = changed_at.elapsed();
    let parts_before = deployment.servers[0].received().len();
    let mut client = deployment.client();
    for _ in 0..20 {
        assert_eq!(client.send(&query("all", &[0, 3], 2000).text).status, 200);
    }
    assert_eq!(deployment.servers[0].received().len(), parts_before, "a draining server gets no part");
    latency
}

/// Runs the test concurrently on a front node that polls for the endpoint list and on one that has it pushed.
fn in_both_list_modes(test: impl Fn(SmallDeployment) + Sync) {
    thread::scope(|scope| {
        for mode in ["ask", "push"] {
            let test = &test;
            scope.spawn(move || test(start_with_list_mode(mode)));
        }
    });
}

/// Makes every established watch fail in this way, then changes the list. Asserts that the front node acts on
/// the change in time and closes a failed watch with this reason.
fn assert_change_in_time_while(fault: WatchFault, close_reason: &str) {
    in_both_list_modes(|deployment| {
        deployment.discovery.fail_watches(fault);
        let latency = time_to_act_on_a_drain(&deployment);
        assert!(latency < CHANGE_DEADLINE, "{fault:?}: {latency:?}");
        wait_for_logged_close(&deployment.front_node, "discovery", close_reason);
    });
}

#[test]
fn a_change_is_acted_on_after_a_watch_falls_silent() {
    assert_change_in_time_while(WatchFault::Silent, "silent");
}

#[test]
fn a_change_is_acted_on_after_a_watch_sends_half_a_line() {
    assert_change_in_time_while(WatchFault::HalfLine, "silent");
}

#[test]
fn a_change_is_acted_on_after_a_watch_trickles_bytes() {
    assert_change_in_time_while(WatchFault::Trickling, "silent");
}

#[test]
fn a_change_is_acted_on_after_a_watch_is_reset() {
    assert_change_in_time_while(WatchFault::Reset, "reset");
}

#[test]
fn a_change_is_acted_on_after_a_silent_watch_and_an_unanswered_call() {
    in_both_list_modes(|deployment| {
        let watches_before = deployment.discovery.watch_count();
        deployment.discovery.set_behavior(DiscoveryBehavior::Silent);
        deployment.discovery.fail_watches(WatchFault::Silent);
        let silent_from = Instant::now();
        eventually("a new watch is opened", || deployment.discovery.watch_count() > watches_before);
        deployment.discovery.set_behavior(DiscoveryBehavior::Serving);
        time_to_act_on_a_drain(&deployment);
        assert!(silent_from.elapsed() < CHANGE_DEADLINE, "{:?}", silent_from.elapsed());
    });
}

#[test]
fn a_change_in_an_indented_list_is_acted_on_after_failed_calls() {
    in_both_list_modes(|deployment| {
        for behavior in [DiscoveryBehavior::Unavailable, DiscoveryBehavior::ClosingWithinHead] {
            let watches_before = deployment.discovery.watch_count();
            deployment.discovery.set_behavior(behavior);
            deployment.discovery.close_watches();
            eventually("watches are reopened at least three times", || {
                deployment.discovery.watch_count() >= watches_before + 3
            });
        }
        deployment.discovery.set_behavior(DiscoveryBehavior::Indented);
        let latency = time_to_act_on_a_drain(&deployment);
        assert!(latency < CHANGE_DEADLINE, "{latency:?}");
    });
}

#[test]
fn a_new_address_that_is_down_is_watched_once_it_is_up_while_the_old_watch_is_healthy() {
    in_both_list_modes(|deployment| {
        let reserved = ReservedAddress::reserve();
        let text =
            std::fs::read_to_string(deployment.front_node.config_file()).expect("the configuration file");
        let mut file: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        file["discovery"] = json!(reserved.address.to_string());
        deployment.front_node.reload(Some(&file.to_string()));
        eventually("the new address is tried", || {
            deployment.front_node.count_log_lines(&["side=discovery", "reason=connect_refused"]) >= 2
        });
        // While the old address delivers changes, the decision core has a current list and does not poll.
        time_to_act_on_a_drain(&deployment);
        let new_discovery = reserved.start_discovery(entries(&deployment.servers));
        let up_from = Instant::now();
        eventually("the new address is watched", || new_discovery.watch_count() >= 1);
        assert!(up_from.elapsed() < CHANGE_DEADLINE, "{:?}", up_from.elapsed());
        // The old watch is closed.
        wait_for_logged_close(&deployment.front_node, "discovery", "asked_anew");
    });
}

#[test]
fn discovery_that_is_down_at_the_start_is_watched_once_it_is_up() {
    thread::scope(|scope| {
        for mode in ["ask", "push"] {
            scope.spawn(move || {
                let servers: Vec<Server> = (0..3).map(|_| Server::start(ServerBehavior::Serving)).collect();
                let reserved = ReservedAddress::reserve();
                let mut config =
                    config_json("127.0.0.1:0", &reserved.address.to_string(), &endpoint_list(0, &[]));
                config["settings"]["discovery"] = json!(mode);
                let front_node = FrontNode::start(NODE, &config);
                // Discovery stays down until the backoff between calls has grown.
                eventually("five calls have failed", || {
                    front_node.count_log_lines(&["side=discovery", "reason=connect_refused"]) >= 5
                });
                assert_eq!(front_node.get("/health/ready").0, 503, "not ready without a list");
                let _discovery = reserved.start_discovery(entries(&servers));
                let up_from = Instant::now();
                eventually("the front node is ready", || front_node.get("/health/ready").0 == 200);
                assert!(up_from.elapsed() < CHANGE_DEADLINE, "{mode}: {:?}", up_from.elapsed());
            });
        }
    });
}
