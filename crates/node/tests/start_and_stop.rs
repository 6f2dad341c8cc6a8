//! Start and end of the front node process: configuration errors, SIGTERM, and a restart after a kill.

#[path = "common/deployment.rs"]
mod deployment;

use deployment::{start_deployment, start_deployment_with};
use pinetrestle_standins::{
    config_json, endpoint_list, entries, eventually, failed_start, failed_start_with_env, query, FrontNode,
    ServerBehavior,
};
use serde_json::{json, Value};
use std::net::TcpListener;
use std::time::Duration;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

#[test]
fn an_invalid_configuration_key_ends_the_start_with_an_error_that_names_it() {
    let valid = || config_json("127.0.0.1:0", "127.0.0.1:1", &endpoint_list(0, &[]));
    let cases: [(&str, Value, &str); 13] = [
        ("/listen", json!("nowhere"), "listen"),
        ("/discovery", json!(7), "discovery"),
        ("/seed", json!("zz"), "seed"),
        ("/limits/sockets", json!(10), "limits.sockets"),
        ("/settings/rules/fall", json!("long"), "settings.rules.fall"),
        ("/settings/classes/1/aim", Value::Null, "settings.classes[1].aim"),
        ("/settings/family_info/slabs", Value::Null, "settings.family_info.slabs"),
        ("/settings/permissions/most_held", json!(-1), "settings.permissions.most_held"),
        ("/settings/permissions/most_held", json!(0), "settings.permissions.most_held"),
        ("/settings/classes/0/hard_limit", json!(0), "settings.classes[0].hard_limit"),
        ("/settings/classes/2/aim", json!(-3), "settings.classes[2].aim"),
        ("/settings/family_info/positions", json!(0), "settings.family_info.positions"),
        ("/known/index", json!("x"), "known.index"),
    ];
    for (pointer, value, key) in cases {
        let mut config = valid();
        *config.pointer_mut(pointer).expect("the key exists") = value;
        let (code, message) = failed_start(NODE, &config);
        assert_eq!(code, Some(2), "{message}");
        assert!(message.contains(&format!("'{key}'")), "{key}: {message}");
    }
    let mut config = valid();
    config["transport"] = json!({"requst_ms": 5});
    assert!(failed_start(NODE, &config).1.contains("'transport.requst_ms' is not known"));
    config["transport"] = json!({"request_ms": 0});
    assert!(failed_start(NODE, &config).1.contains("'transport.request_ms'"));
}

#[test]
fn environment_variables_fill_only_missing_keys() {
    let mut config = config_json("127.0.0.1:0", "127.0.0.1:1", &endpoint_list(0, &[]));
    config["seed"] = json!("zz");
    let (_, message) = failed_start_with_env(NODE, &config, &[("RELAY_LISTEN", "nowhere")]);
    assert!(message.contains("'seed'"), "the address in the file takes precedence: {message}");
    config.as_object_mut().expect("an object").remove("listen");
    let (code, message) = failed_start_with_env(NODE, &config, &[("RELAY_LISTEN", "nowhere")]);
    assert_eq!(code, Some(2));
    assert!(message.contains("'listen'"), "{message}");
    let (_, message) = failed_start_with_env(NODE, &config, &[("RELAY_LISTEN", "127.0.0.1:0")]);
    assert!(message.contains("'seed'"), "{message}");
}

#[test]
fn an_address_in_use_ends_the_start_with_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let (code, message) = failed_start(NODE, &config_json(&address, "127.0.0.1:1", &endpoint_list(0, &[])));
    assert_eq!(code, Some(1));
    assert!(message.contains(&address), "{message}");
}

#[test]
fn on_sigterm_open_queries_are_answered_before_the_exit() {
    let mut deployment =
        start_deployment_with(&ServerBehavior::ServingAfter(Duration::from_millis(400)), |config| {
            config["transport"] = json!({"hand_over_ms": 2000, "stop_within_ms": 8000});
        });
    let mut idle = deployment.client();
    assert_eq!(idle.send("GET /health/live HTTP/1.1\r\n\r\n").status, 200);
    let mut open = deployment.client();
    open.write(query("all", &[0, 1], 2000).text.as_bytes());
    eventually("the parts are in flight", || deployment.parts_received() >= 2);
    deployment.front_node.terminate();
    eventually("the front node is no longer ready", || deployment.front_node.get("/health/ready").0 == 503);
    // Until the load balancer notices, open connections and new ones are still served.
    deployment.set_all_behaviors(&ServerBehavior::Serving);
    assert_eq!(idle.send(&query("all", &[2], 2000).text).status, 200);
    assert_eq!(deployment.client().send(&query("all", &[2], 2000).text).status, 200);
    let answer = open.read();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(idle.is_closed(), "an idle connection is closed");
    assert_eq!(deployment.front_node.wait_for_exit(), Some(0));
    let lines = deployment.front_node.log_lines();
    let counters = lines.iter().find(|line| line.contains("msg=\"counters\"")).expect("counters at exit");
    assert!(counters.contains("\\\"whole\\\":3"), "{counters}");
}

#[test]
fn on_sigterm_queries_that_cannot_be_answered_are_failed_before_the_exit() {
    let mut deployment = start_deployment_with(&ServerBehavior::Silent, |config| {
        config["transport"] = json!({"stop_within_ms": 900})
    });
    let mut open = deployment.client();
    open.write(query("all", &[0, 1], 3000).text.as_bytes());
    eventually("the parts are in flight", || deployment.parts_received() >= 2);
    deployment.front_node.terminate();
    let answer = open.read();
    assert!(answer.status == 500 || answer.status == 503, "{answer:?}");
    assert_eq!(deployment.front_node.wait_for_exit(), Some(0));
}

#[test]
fn a_killed_node_restarts_under_its_name_and_address() {
    let mut deployment = start_deployment(&ServerBehavior::Serving);
    assert_eq!(deployment.client().send(&query("all", &[0], 2000).text).status, 200);
    let address = deployment.front_node.address;
    deployment.front_node.kill();
    let known = endpoint_list(1, &entries(&deployment.servers));
    let config = config_json(&address.to_string(), &deployment.discovery.address.to_string(), &known);
    deployment.front_node = FrontNode::start_ready(NODE, &config);
    assert_eq!(deployment.front_node.address, address);
    assert_eq!(deployment.client().send(&query("all", &[0, 1, 2], 2000).text).status, 200);
}
