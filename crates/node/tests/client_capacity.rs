//! Connection floods, slow senders and slow readers: the front node bounds the resources that they take and
//! goes on serving other clients.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/logged_closes.rs"]
mod logged_closes;

use deployment::{start_deployment, start_deployment_with};
use logged_closes::wait_for_logged_close;
use pinetrestle_standins::{
    config_json, endpoint_list, entries, eventually, query, Client, Discovery, FrontNode, Server,
    ServerBehavior,
};
use serde_json::json;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

#[test]
fn other_clients_are_answered_during_a_connection_flood() {
    let mut deployment =
        start_deployment_with(&ServerBehavior::Serving, |config| config["limits"]["sockets"] = json!(64));
    // 64 descriptors, less 24 for other uses and 13 for connections to index servers. The front node's own
    // limit is lower still, because descriptors are also set aside for evicted connections that linger.
    let max_clients = 64 - 24 - 13;
    let mut flood: Vec<Client> = (0..max_clients * 3).map(|_| deployment.client()).collect();
    let mut client = deployment.client();
    for _ in 0..3 {
        assert_eq!(client.send(&query("all", &[0, 1, 2], 2000).text).status, 200);
    }
    assert!(deployment.front_node.stats()["connections"]["clients_open"].as_u64() <= Some(max_clients));
    // The longest idle connections were evicted.
    wait_for_logged_close(&deployment.front_node, "client", "made_room");
    assert!(flood.first_mut().expect("one").is_closed());
    assert!(deployment.front_node.is_running());
    assert_eq!(deployment.front_node.stats()["connections"]["accept_failed"], 0);
}

#[test]
fn other_clients_are_answered_during_a_flood_under_a_low_descriptor_limit() {
    let servers: Vec<Server> = (0..3).map(|_| Server::start(ServerBehavior::Serving)).collect();
    let discovery = Discovery::start(entries(&servers));
    let config =
        config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(1, &entries(&servers)));
    let front_node = FrontNode::start_with_shell_setup("ulimit -n 72", NODE, &config);
    let _flood: Vec<Client> = (0..100).map(|_| Client::connect(front_node.address)).collect();
    let answer = Client::connect(front_node.address).send(&query("all", &[0, 1, 2], 2000).text);
    assert_eq!(answer.status, 200, "{answer:?}");
    let stats = front_node.stats();
    assert_eq!(
        (&stats["connections"]["accept_failed"], &stats["connections"]["servers_failed"]),
        (&json!(0), &json!(0))
    );
}

#[test]
fn slow_senders_time_out_and_delay_no_other_client() {
    let deployment = start_deployment_with(&ServerBehavior::Serving, |config| {
        config["transport"] = json!({"request_ms": 300})
    });
    let mut slow_client = deployment.client();
    slow_client.write(b"POST /all HTTP/1.1\r\nContent-Le");
    assert_eq!(deployment.client().send(&query("all", &[0], 2000).text).status, 200);
    assert_eq!(slow_client.read().status, 408);
    assert!(slow_client.is_closed());
    wait_for_logged_close(&deployment.front_node, "client", "request_timeout");
}

#[test]
fn many_slow_bodies_stay_within_bounded_memory() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    // Each body stays 5000 bytes short of the announced length.
    let incomplete_request =
        format!("POST /all HTTP/1.1\r\nContent-Length: 65000\r\n\r\n{}", " ".repeat(60_000));
    let mut slow_clients: Vec<Client> = (0..300).map(|_| deployment.client()).collect();
    for client in &mut slow_clients {
        client.write(incomplete_request.as_bytes());
    }
    eventually("all bodies are read", || {
        deployment.front_node.stats()["connections"]["client_bytes_in"].as_u64() >= Some(300 * 60_000)
    });
    assert_eq!(deployment.client().send(&query("all", &[0, 1, 2], 2000).text).status, 200);
    let peak = deployment.front_node.peak_memory_kb();
    assert!(peak < 64 * 1024, "peak memory of {peak} kB for 18 MB of bodies");
}

#[test]
fn a_client_that_reads_no_responses_is_closed() {
    let deployment = start_deployment_with(&ServerBehavior::Serving, |config| {
        config["transport"] = json!({"answer_write_ms": 200})
    });
    let mut client = deployment.client();
    // The responses to these requests exceed the socket buffers of the kernel, so writing them blocks.
    client.write("GET /stats HTTP/1.1\r\n\r\n".repeat(8000).as_bytes());
    wait_for_logged_close(&deployment.front_node, "client", "write_stalled");
    assert_eq!(deployment.client().send(&query("all", &[0], 2000).text).status, 200);
}

#[test]
fn an_unread_log_does_not_stall_the_node() {
    // The log goes to a pipe. The test reads the line that names the listen address and nothing after it.
    let servers: Vec<Server> = (0..3).map(|_| Server::start(ServerBehavior::Serving)).collect();
    let discovery = Discovery::start(entries(&servers));
    let config =
        config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(1, &entries(&servers)));
    let front_node = pinetrestle_standins::FrontNodeWithUnreadLog::start(NODE, &config);
    // Each connection logs a line of more than 100 bytes, and the pipe holds 64 KiB: 2500 connections
    // overfill it.
    for _ in 0..2500 {
        Client::connect(front_node.address).send("GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n");
    }
    let answer = Client::connect(front_node.address).send(&query("all", &[0, 1, 2], 2000).text);
    assert_eq!(answer.status, 200);
    let stats = Client::connect(front_node.address).send("GET /stats HTTP/1.1\r\n\r\n").json();
    assert_eq!(stats["connections"]["requests"].as_u64(), Some(2502));
}
