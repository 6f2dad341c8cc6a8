//! Configuration reload while the program serves: SIGHUP with valid, invalid and missing files.

use pinetrestle_standins::{
    config_json, endpoint_list, entries, entry, eventually, query, Discovery, FrontNode, ReservedAddress,
    Server, ServerBehavior,
};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

struct Deployment {
    servers: Vec<Server>,
    discovery: Discovery,
    config: Value,
    program: FrontNode,
}

impl Deployment {
    fn new() -> Deployment {
        let servers: Vec<Server> = (0..6).map(|_| Server::start(ServerBehavior::Serving)).collect();
        let discovery = Discovery::start(entries(&servers));
        let known = endpoint_list(1, &entries(&servers));
        let config = config_json("127.0.0.1:0", &discovery.address.to_string(), &known);
        let program = FrontNode::start_ready(NODE, &config);
        let deployment = Deployment { servers, discovery, config, program };
        eventually("a watch is established", || {
            deployment.program.stats()["discovery"]["lists"].as_u64() >= Some(1)
        });
        deployment
    }

    /// The text of the configuration file with a change.
    fn config_with(&self, change: impl FnOnce(&mut Value)) -> String {
        let mut config = self.config.clone();
        change(&mut config);
        config.to_string()
    }

    fn assert_serves(&self) {
        let answer = pinetrestle_standins::Client::connect(self.program.address)
            .send(&query("all", &[0, 1, 2], 2000).1);
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    fn counter(&self, group: &str, name: &str) -> u64 {
        self.program.stats()[group][name].as_u64().expect("a count")
    }
}

#[test]
fn a_new_discovery_is_watched_before_the_old_watch_is_closed() {
    let deployment = Deployment::new();
    // The version there is lower than the one already known; its list lacks a server and has a new one.
    for _ in 0..3 {
        deployment.discovery.set_entries(entries(&deployment.servers));
    }
    eventually("the old watch has received them", || deployment.counter("discovery", "lists") >= 2);
    let fresh = Server::start(ServerBehavior::Serving);
    let mut lines = entries(&deployment.servers);
    lines[0] = entry("s9", &fresh.address.to_string(), 0);
    lines.remove(3);
    let other = Discovery::start(lines);
    deployment
        .program
        .reload(Some(&deployment.config_with(|file| file["discovery"] = json!(other.address.to_string()))));
    eventually("it is watched", || other.watch_count() == 1);
    eventually("the old watch is closed", || {
        let peer = format!("peer={}", deployment.discovery.address);
        deployment.program.count_log_lines(&["side=discovery", &peer, "reason=asked_anew"]) == 1
    });
    eventually("its list is in force", || {
        deployment.assert_serves();
        !fresh.received().is_empty()
    });
    let before = deployment.servers[0].received().len() + deployment.servers[3].received().len();
    for _ in 0..4 {
        deployment.assert_serves();
    }
    assert_eq!(
        deployment.servers[0].received().len() + deployment.servers[3].received().len(),
        before,
        "no longer listed"
    );
    assert_eq!(deployment.counter("discovery", "lost"), 0, "no moment without a watch");
    assert_eq!(deployment.counter("own", "reloads"), 1);
}

#[test]
fn the_old_watch_stays_in_use_while_the_new_discovery_is_down() {
    let deployment = Deployment::new();
    let reserved = ReservedAddress::reserve();
    let address = reserved.address;
    deployment
        .program
        .reload(Some(&deployment.config_with(|file| file["discovery"] = json!(address.to_string()))));
    eventually("it is called and refuses", || {
        deployment.program.count_log_lines(&[
            "side=discovery",
            &format!("peer={address}"),
            "reason=connect_refused",
        ]) > 0
    });
    // A change at the old address still takes effect.
    let lists = deployment.counter("discovery", "lists");
    let fresh = Server::start(ServerBehavior::Serving);
    let mut lines = entries(&deployment.servers);
    lines[0] = entry("s9", &fresh.address.to_string(), 0);
    lines.remove(3);
    deployment.discovery.set_entries(lines.clone());
    eventually("the old watch has received it", || deployment.counter("discovery", "lists") > lists);
    eventually("its list is in force", || {
        deployment.assert_serves();
        !fresh.received().is_empty()
    });
    let other = reserved.start_discovery(lines);
    eventually("the new one is watched once it is up", || other.watch_count() > 0);
    deployment.assert_serves();
}

#[test]
fn an_invalid_file_changes_nothing() {
    let deployment = Deployment::new();
    let other = Discovery::start(entries(&deployment.servers));
    let elsewhere = json!(other.address.to_string());
    let invalid = [
        (Some("{\"name\":".to_owned()), "key=RELAY_CONFIG"),
        (Some("[]".to_owned()), "key=RELAY_CONFIG"),
        (Some(deployment.config_with(|file| file["discovery"] = json!("nowhere"))), "key=discovery"),
        (
            Some(deployment.config_with(|file| file["settings"]["rules"]["fall"] = json!("long"))),
            "key=settings.rules.fall",
        ),
        (
            Some(deployment.config_with(|file| file["transport"] = json!({"linger": 1}))),
            "key=transport.linger",
        ),
        (Some(deployment.config_with(|file| file["listen"] = json!("127.0.0.1:9"))), "key=listen"),
        (Some(deployment.config_with(|file| file["name"] = json!("n9"))), "key=name"),
        (None, "key=RELAY_CONFIG"),
    ];
    for (index, (text, key)) in invalid.into_iter().enumerate() {
        // Each of them would send it elsewhere if it were taken.
        let text = text.map(|text| match serde_json::from_str::<Value>(&text) {
            Ok(mut file) if file.is_object() && file["discovery"] != "nowhere" => {
                file["discovery"] = elsewhere.clone();
                file.to_string()
            }
            _ => text,
        });
        deployment.program.reload(text.as_deref());
        eventually("it is refused", || deployment.counter("own", "reloads_refused") == index as u64 + 1);
        eventually("the log names the key", || {
            deployment.program.count_log_lines(&["configuration rejected", key]) > 0
        });
        deployment.assert_serves();
    }
    assert_eq!((other.watch_count(), deployment.counter("own", "reloads")), (0, 0));
    assert_eq!(deployment.discovery.watch_count(), 1, "the old watch is open");
    // A valid file is taken after all of them.
    deployment.program.reload(Some(&deployment.config_with(|file| file["discovery"] = elsewhere.clone())));
    eventually("it is watched", || other.watch_count() == 1);
}

#[test]
fn keys_that_need_a_restart_are_logged_and_the_rest_takes_effect() {
    let deployment = Deployment::new();
    let mut idle_client = pinetrestle_standins::Client::connect(deployment.program.address);
    assert_eq!(idle_client.send("GET /health/live HTTP/1.1\r\n\r\n").status, 200);
    deployment.program.reload(Some(&deployment.config_with(|file| {
        file["transport"] = json!({"client_idle_ms": 50});
        file["settings"]["permissions"]["try_limit"] = json!(1);
    })));
    eventually("it is taken, the settings wait", || {
        deployment.program.count_log_lines(&["configuration reloaded", "needs_restart=settings"]) == 1
    });
    assert_eq!(idle_client.send("GET /health/live HTTP/1.1\r\n\r\n").status, 200);
    let begun = Instant::now();
    assert!(idle_client.is_closed(), "the new idle timeout applies to open connections");
    assert!(begun.elapsed() < Duration::from_secs(5));
    deployment.assert_serves();
}

#[test]
fn sighup_is_harmless_when_repeated_and_during_shutdown() {
    let mut deployment = Deployment::new();
    let text = deployment.config_with(|_| {});
    for _ in 0..5 {
        deployment.program.reload(Some(&text));
    }
    eventually("taken", || deployment.counter("own", "reloads") >= 1);
    deployment.program.terminate();
    deployment.program.reload(Some(&text));
    assert_eq!(deployment.program.wait_for_exit(), Some(0), "a graceful shutdown by SIGTERM");
}
