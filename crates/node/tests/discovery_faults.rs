//! A discovery service that fails, does not answer or sends malformed endpoint lists.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/logged_closes.rs"]
mod logged_closes;

use deployment::start_deployment;
use logged_closes::wait_for_logged_close;
use pinetrestle_standins::{
    config_json, endpoint_list, entries, eventually, query, Client, Discovery, DiscoveryBehavior, FrontNode,
    Server, ServerBehavior,
};
use serde_json::json;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

#[test]
fn a_lost_watch_is_reopened_and_malformed_lists_change_nothing() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    eventually("a watch is open", || deployment.front_node.stats()["discovery"]["lists"].as_u64() >= Some(1));
    for behavior in [DiscoveryBehavior::Unavailable, DiscoveryBehavior::InvalidLines] {
        let before = deployment.discovery.watch_count();
        deployment.discovery.set_behavior(behavior);
        deployment.discovery.close_watches();
        eventually("the watch is opened again", || deployment.discovery.watch_count() > before + 1);
        assert_eq!(
            deployment.client().send(&query("all", &[0], 2000).text).status,
            200,
            "the endpoint list is unchanged"
        );
    }
    deployment.discovery.set_behavior(DiscoveryBehavior::Serving);
    let lists = deployment.front_node.stats()["discovery"]["lists"].as_u64();
    eventually("a watch receives a list again", || {
        deployment.front_node.stats()["discovery"]["lists"].as_u64() > lists
    });
    for reason in ["ended_by_peer", "status", "bad_list"] {
        wait_for_logged_close(&deployment.front_node, "discovery", reason);
    }
}

#[test]
fn a_watch_without_an_answer_times_out() {
    let servers = [Server::start(ServerBehavior::Serving)];
    let discovery = Discovery::start(entries(&servers));
    discovery.set_behavior(DiscoveryBehavior::Silent);
    let mut config =
        config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(1, &entries(&servers)));
    config["transport"] = json!({"discovery_answer_ms": 150});
    let front_node = FrontNode::start_ready(NODE, &config);
    // A second call is opened beside the first, and a third when both have timed out.
    eventually("the watch times out and is opened again", || discovery.watch_count() >= 3);
    wait_for_logged_close(&front_node, "discovery", "no_answer");
}

#[test]
fn without_an_endpoint_list_the_node_is_live_but_not_ready() {
    let servers: Vec<Server> = (0..3).map(|_| Server::start(ServerBehavior::Serving)).collect();
    let discovery = Discovery::start(entries(&servers));
    discovery.set_behavior(DiscoveryBehavior::Unavailable);
    let front_node = FrontNode::start(
        NODE,
        &config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(0, &[])),
    );
    assert_eq!(front_node.get("/health/live").0, 200);
    assert_eq!(front_node.get("/health/ready").0, 503);
    discovery.set_behavior(DiscoveryBehavior::Serving);
    eventually("the front node is ready", || front_node.get("/health/ready").0 == 200);
    assert_eq!(Client::connect(front_node.address).send(&query("all", &[0, 1, 2], 2000).text).status, 200);
}
