//! Reload of the configuration on SIGHUP while the front node serves: valid, invalid and missing files.

#[path = "common/deployment.rs"]
mod deployment;

use deployment::start_deployment_with;
use pinetrestle_standins::{
    entries, entry, eventually, Discovery, ReservedAddress, Server, ServerBehavior, SmallDeployment,
};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Starts a deployment whose front node has a watch; returns it with the content of its configuration file.
fn start_with_watch() -> (SmallDeployment, Value) {
    let mut config = Value::Null;
    let deployment = start_deployment_with(&ServerBehavior::Serving, |file| config = file.clone());
    eventually("a watch is established", || {
        deployment.front_node.stats()["discovery"]["lists"].as_u64() >= Some(1)
    });
    (deployment, config)
}

/// Returns the text of the configuration file as edited by `change`.
fn config_with(config: &Value, change: impl FnOnce(&mut Value)) -> String {
    let mut config = config.clone();
    change(&mut config);
    config.to_string()
}

/// Returns the value of a counter of `/stats`.
fn counter(deployment: &SmallDeployment, group: &str, name: &str) -> u64 {
    deployment.front_node.stats()[group][name].as_u64().expect("a count")
}

#[test]
fn a_new_discovery_is_watched_before_the_old_watch_is_closed() {
    let (deployment, config) = start_with_watch();
    // The new discovery service starts at a lower list version than the old one has reached. Its list lacks
    // the two servers of cell 0 and has a new one instead.
    for _ in 0..3 {
        deployment.discovery.set_entries(entries(&deployment.servers));
    }
    eventually("the old watch has received the changes", || counter(&deployment, "discovery", "lists") >= 2);
    let new_server = Server::start(ServerBehavior::Serving);
    let mut list = entries(&deployment.servers);
    list[0] = entry("s9", &new_server.address.to_string(), 0);
    list.remove(3);
    let other = Discovery::start(list);
    deployment
        .front_node
        .reload(Some(&config_with(&config, |file| file["discovery"] = json!(other.address.to_string()))));
    eventually("the new discovery is watched", || other.watch_count() == 1);
    eventually("the old watch is closed", || {
        let peer = format!("peer={}", deployment.discovery.address);
        deployment.front_node.count_log_lines(&["side=discovery", &peer, "reason=asked_anew"]) == 1
    });
    eventually("the changed list is applied", || {
        deployment.assert_serves();
        !new_server.received().is_empty()
    });
    let before = deployment.servers[0].received().len() + deployment.servers[3].received().len();
    for _ in 0..4 {
        deployment.assert_serves();
    }
    assert_eq!(
        deployment.servers[0].received().len() + deployment.servers[3].received().len(),
        before,
        "servers that are no longer listed get no parts"
    );
    assert_eq!(counter(&deployment, "discovery", "lost"), 0, "a watch was open at all times");
    assert_eq!(counter(&deployment, "own", "reloads"), 1);
}

#[test]
fn the_old_watch_stays_in_use_while_the_new_discovery_is_down() {
    let (deployment, config) = start_with_watch();
    let reserved = ReservedAddress::reserve();
    let address = reserved.address;
    deployment
        .front_node
        .reload(Some(&config_with(&config, |file| file["discovery"] = json!(address.to_string()))));
    eventually("a call to the new address is refused", || {
        deployment.front_node.count_log_lines(&[
            "side=discovery",
            &format!("peer={address}"),
            "reason=connect_refused",
        ]) > 0
    });
    // A change of the list at the old address still takes effect.
    let lists_before = counter(&deployment, "discovery", "lists");
    let new_server = Server::start(ServerBehavior::Serving);
    let mut list = entries(&deployment.servers);
    list[0] = entry("s9", &new_server.address.to_string(), 0);
    list.remove(3);
    deployment.discovery.set_entries(list.clone());
    eventually("the old watch has received it", || counter(&deployment, "discovery", "lists") > lists_before);
    eventually("the changed list is applied", || {
        deployment.assert_serves();
        !new_server.received().is_empty()
    });
    let other = reserved.start_discovery(list);
    eventually("the new discovery is watched once it is up", || other.watch_count() > 0);
    deployment.assert_serves();
}

#[test]
fn an_invalid_file_changes_nothing() {
    let (deployment, config) = start_with_watch();
    let other = Discovery::start(entries(&deployment.servers));
    let other_address = json!(other.address.to_string());
    let invalid = [
        (Some("{\"name\":".to_owned()), "key=RELAY_CONFIG"),
        (Some("[]".to_owned()), "key=RELAY_CONFIG"),
        (Some(config_with(&config, |file| file["discovery"] = json!("nowhere"))), "key=discovery"),
        (
            Some(config_with(&config, |file| file["settings"]["rules"]["fall"] = json!("long"))),
            "key=settings.rules.fall",
        ),
        (Some(config_with(&config, |file| file["transport"] = json!({"linger": 1}))), "key=transport.linger"),
        (Some(config_with(&config, |file| file["listen"] = json!("127.0.0.1:9"))), "key=listen"),
        (Some(config_with(&config, |file| file["name"] = json!("n9"))), "key=name"),
        (None, "key=RELAY_CONFIG"),
    ];
    for (index, (text, key)) in invalid.into_iter().enumerate() {
        // A file whose error lies in another key also names another discovery service, which would be watched
        // if the file were applied.
        let text = text.map(|text| match serde_json::from_str::<Value>(&text) {
            Ok(mut file) if file.is_object() && file["discovery"] != "nowhere" => {
                file["discovery"] = other_address.clone();
                file.to_string()
            }
            _ => text,
        });
        deployment.front_node.reload(text.as_deref());
        eventually("the file is rejected", || {
            counter(&deployment, "own", "reloads_refused") == index as u64 + 1
        });
        eventually("the log names the key", || {
            deployment.front_node.count_log_lines(&["configuration rejected", key]) > 0
        });
        deployment.assert_serves();
    }
    assert_eq!((other.watch_count(), counter(&deployment, "own", "reloads")), (0, 0));
    assert_eq!(deployment.discovery.watch_count(), 1, "the old watch is still the only one");
    // A valid file still takes effect after all of these.
    deployment
        .front_node
        .reload(Some(&config_with(&config, |file| file["discovery"] = other_address.clone())));
    eventually("the other discovery is watched", || other.watch_count() == 1);
}

#[test]
fn keys_that_need_a_restart_are_logged_and_the_rest_takes_effect() {
    let (deployment, config) = start_with_watch();
    let mut idle_client = deployment.client();
    assert_eq!(idle_client.send("GET /health/live HTTP/1.1\r\n\r\n").status, 200);
    deployment.front_node.reload(Some(&config_with(&config, |file| {
        file["transport"] = json!({"client_idle_ms": 50});
        file["settings"]["permissions"]["try_limit"] = json!(1);
    })));
    eventually("the file is applied except for its settings", || {
        deployment.front_node.count_log_lines(&["configuration reloaded", "needs_restart=settings"]) == 1
    });
    assert_eq!(idle_client.send("GET /health/live HTTP/1.1\r\n\r\n").status, 200);
    let started = Instant::now();
    assert!(idle_client.is_closed(), "the new idle timeout applies to open connections");
    assert!(started.elapsed() < Duration::from_secs(5));
    deployment.assert_serves();
}

#[test]
fn sighup_is_harmless_when_repeated_and_during_shutdown() {
    let (mut deployment, config) = start_with_watch();
    let text = config_with(&config, |_| {});
    for _ in 0..5 {
        deployment.front_node.reload(Some(&text));
    }
    eventually("a reload has taken effect", || counter(&deployment, "own", "reloads") >= 1);
    deployment.front_node.terminate();
    deployment.front_node.reload(Some(&text));
    assert_eq!(deployment.front_node.wait_for_exit(), Some(0), "SIGTERM still causes a graceful shutdown");
}
