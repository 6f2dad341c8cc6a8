//! Connections to index servers: pooling, eviction, replacement and close, and whether a part may have run
//! when its connection fails.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/logged_closes.rs"]
mod logged_closes;

use deployment::{start_deployment, start_deployment_with};
use logged_closes::wait_for_logged_close;
use pinetrestle_standins::{entries, eventually, query, ReservedAddress, Server, ServerBehavior};
use serde_json::json;

#[test]
fn a_part_never_ran_on_a_refused_connection_and_may_have_run_on_a_closed_one() {
    let refusing = ReservedAddress::reserve();
    let deployment = start_deployment(&ServerBehavior::Serving);
    let mut list = entries(&deployment.servers);
    list[0]["address"] = json!(refusing.address.to_string());
    list[3]["address"] = json!(refusing.address.to_string());
    deployment.change_endpoint_list(list);
    let answer = deployment.client().send(&query("all", &[0], 600).text);
    assert_eq!(answer.status, 503, "{answer:?}");
    let stats = deployment.checked_stats();
    assert!(stats["attempts"]["connect_failed"].as_u64() >= Some(1));
    assert_eq!(stats["attempts"]["reset"], 0);
    wait_for_logged_close(&deployment.front_node, "index_server", "connect_refused");

    deployment.servers[1].set_behavior(ServerBehavior::ClosingAfterFrame);
    deployment.servers[4].set_behavior(ServerBehavior::ClosingAfterFrame);
    let answer = deployment.client().send(&query("all", &[1], 600).text);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(deployment.checked_stats()["attempts"]["reset"].as_u64() >= Some(1));
    wait_for_logged_close(&deployment.front_node, "index_server", "ended_by_peer");
}

#[test]
fn a_bad_frame_closes_only_its_connection() {
    for (behavior, reason) in [
        (ServerBehavior::SendingInvalidFrame, "bad_frame_length"),
        (ServerBehavior::AnsweringUnknownPart, "unknown_part"),
        (ServerBehavior::ClosingWithinAnswer, "ended_within_frame"),
    ] {
        let deployment = start_deployment(&ServerBehavior::Serving);
        deployment.servers[0].set_behavior(behavior.clone());
        deployment.servers[3].set_behavior(behavior);
        let mut client = deployment.client();
        let answer = client.send(&query("all", &[0], 600).text);
        assert_eq!(answer.status, 503, "{answer:?}");
        wait_for_logged_close(&deployment.front_node, "index_server", reason);
        assert!(deployment.checked_stats()["attempts"]["reset"].as_u64() >= Some(1));
        assert_eq!(
            client.send(&query("all", &[1, 2], 2000).text).status,
            200,
            "other servers are still used"
        );
    }
}

#[test]
fn parts_of_one_batch_for_one_server_are_sent_in_one_call() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    // The three shards are in one cell, which has two servers: at least one call carries two parts.
    assert_eq!(deployment.client().send(&query("all", &[0, 3, 6], 2000).text).status, 200);
    let stats = deployment.checked_stats();
    assert_eq!(stats["attempts"]["sent"], 3);
    assert!(stats["connections"]["calls"].as_u64() <= Some(2), "{stats}");
}

#[test]
fn an_attempt_without_a_free_connection_counts_as_never_run() {
    // The only connection has an unanswered part in flight throughout the test.
    let deployment = start_deployment_with(&ServerBehavior::Silent, |config| {
        config["transport"] = json!({"server_connections": 1})
    });
    let mut client = deployment.client();
    let answer = client.send(&query("all", &[0, 1], 600).text);
    assert_eq!(answer.status, 503, "two cells need two connections: {answer:?}");
    let stats = deployment.checked_stats();
    assert!(stats["connections"]["servers_none_left"].as_u64() >= Some(1));
    assert!(stats["attempts"]["connect_failed"].as_u64() >= Some(1));
    assert_eq!(stats["connections"]["servers_begun"], 1);
}

#[test]
fn an_idle_server_connection_is_evicted_for_a_needed_one() {
    let deployment = start_deployment_with(&ServerBehavior::Serving, |config| {
        config["transport"] = json!({"server_connections": 1})
    });
    let mut client = deployment.client();
    // Queries alternate between two cells, each of which needs a connection of its own.
    for _ in 0..3 {
        for shard in [0, 1] {
            assert_eq!(client.send(&query("all", &[shard], 600).text).status, 200);
        }
    }
    let stats = deployment.checked_stats();
    assert_eq!(stats["connections"]["servers_none_left"], 0);
    assert_eq!(stats["connections"]["servers_begun"], 6);
    assert_eq!(stats["connections"]["servers_open"], 1);
    let evicted = || {
        deployment
            .front_node
            .close_reasons("index_server")
            .iter()
            .filter(|reason| *reason == "made_room")
            .count()
    };
    eventually("five connections were evicted", || evicted() == 5);
}

#[test]
fn a_server_restarted_under_its_name_is_reached_at_its_new_address() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    let mut client = deployment.client();
    assert_eq!(client.send(&query("all", &[0, 3], 2000).text).status, 200);
    let restarted: Vec<Server> = (0..2).map(|_| Server::start(ServerBehavior::Serving)).collect();
    let mut list = entries(&deployment.servers);
    for (index, server) in [0, 3].into_iter().zip(&restarted) {
        list[index]["address"] = json!(server.address.to_string());
    }
    deployment.change_endpoint_list(list);
    let before = deployment.servers[0].received().len() + deployment.servers[3].received().len();
    for _ in 0..4 {
        assert_eq!(client.send(&query("all", &[0, 3], 2000).text).status, 200);
    }
    assert_eq!(deployment.servers[0].received().len() + deployment.servers[3].received().len(), before);
    assert!(restarted.iter().map(|server| server.received().len()).sum::<usize>() >= 8);
    // Connections to the old address are closed.
    wait_for_logged_close(&deployment.front_node, "index_server", "replaced");
}

#[test]
fn a_draining_server_gets_no_new_parts() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    let mut list = entries(&deployment.servers);
    list[0]["status"] = json!("draining");
    deployment.change_endpoint_list(list);
    let mut client = deployment.client();
    for _ in 0..6 {
        assert_eq!(client.send(&query("all", &[0, 3, 6], 2000).text).status, 200);
    }
    assert_eq!(deployment.servers[0].received().len(), 0);
    assert_eq!(deployment.servers[3].received().len(), 18);
}

#[test]
fn idle_server_connections_are_closed_by_the_node_first() {
    let deployment = start_deployment_with(&ServerBehavior::Serving, |config| {
        config["settings"]["permissions"]["conn_idle"] = json!(400_000);
    });
    let mut client = deployment.client();
    assert_eq!(client.send(&query("all", &[0, 1, 2], 2000).text).status, 200);
    eventually("three connections are closed as idle", || {
        deployment.front_node.close_reasons("index_server").iter().filter(|reason| *reason == "idle").count()
            >= 3
    });
    assert_eq!(deployment.front_node.stats()["connections"]["servers_open"], 0);
    assert_eq!(client.send(&query("all", &[0, 1, 2], 2000).text).status, 200);
    assert!(
        deployment.servers.iter().map(Server::accepted_connections).sum::<u64>() >= 6,
        "new connections are opened"
    );
}
