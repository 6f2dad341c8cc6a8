//! Floods of connections, slow senders and slow readers: capacity is bounded, and other clients are served.

#[path = "common/deployment.rs"]
mod deployment;

use deployment::Deployment;
use pinetrestle_standins::{
    config_json, endpoint_list, entries, eventually, query, Client, Discovery, FrontNode, Server,
    ServerBehavior,
};
use serde_json::json;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

#[test]
fn a_flood_of_connections_prevents_no_answer() {
    let mut deployment =
        Deployment::with(&ServerBehavior::Serving, |config| config["limits"]["sockets"] = json!(64));
    let max_clients = 64 - 24 - 13;
    let mut flood: Vec<Client> = (0..max_clients * 3).map(|_| deployment.client()).collect();
    let mut client = deployment.client();
    for _ in 0..3 {
        assert_eq!(client.send(&query("all", &[0, 1, 2], 2000).1).status, 200);
    }
    assert!(deployment.program.stats()["connections"]["clients_open"].as_u64() <= Some(max_clients));
    eventually("the longest idle connections were evicted", || {
        deployment.program.close_reasons("client").iter().any(|reason| reason == "made_room")
    });
    assert!(flood.first_mut().expect("one").is_closed());
    assert!(deployment.program.is_running());
    assert_eq!(deployment.program.stats()["connections"]["accept_failed"], 0);
}

#[test]
fn a_flood_under_a_lower_descriptor_limit_prevents_no_answer() {
    let servers: Vec<Server> = (0..3).map(|_| Server::start(ServerBehavior::Serving)).collect();
    let discovery = Discovery::start(entries(&servers));
    let config =
        config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(1, &entries(&servers)));
    let program = FrontNode::start_with_shell_setup("ulimit -n 72", NODE, &config);
    let _flood: Vec<Client> = (0..100).map(|_| Client::connect(program.address)).collect();
    let answer = Client::connect(program.address).send(&query("all", &[0, 1, 2], 2000).1);
    assert_eq!(answer.status, 200, "{answer:?}");
    let stats = program.stats();
    assert_eq!(
        (&stats["connections"]["accept_failed"], &stats["connections"]["servers_failed"]),
        (&json!(0), &json!(0))
    );
}

#[test]
fn slow_senders_time_out_and_delay_no_other_client() {
    let deployment =
        Deployment::with(&ServerBehavior::Serving, |config| config["transport"] = json!({"request_ms": 300}));
    let mut slow = deployment.client();
    slow.write(b"POST /all HTTP/1.1\r\nContent-Le");
    assert_eq!(deployment.client().send(&query("all", &[0], 2000).1).status, 200);
    assert_eq!(slow.read().status, 408);
    assert!(slow.is_closed());
    eventually("the close is logged", || {
        deployment.program.close_reasons("client").contains(&"request_timeout".to_owned())
    });
}

#[test]
fn many_slow_bodies_stay_within_bounded_memory() {
    let deployment = Deployment::new(&ServerBehavior::Serving);
    let part = format!("POST /all HTTP/1.1\r\nContent-Length: 65000\r\n\r\n{}", " ".repeat(60_000));
    let mut slow: Vec<Client> = (0..300).map(|_| deployment.client()).collect();
    for client in &mut slow {
        client.write(part.as_bytes());
    }
    eventually("all of it is read", || {
        deployment.program.stats()["connections"]["client_bytes_in"].as_u64() >= Some(300 * 60_000)
    });
    assert_eq!(deployment.client().send(&query("all", &[0, 1, 2], 2000).1).status, 200);
    let peak = deployment.program.peak_memory_kb();
    assert!(peak < 64 * 1024, "{peak} kB for 18 MB of bodies");
}

#[test]
fn a_client_that_reads_no_responses_is_closed() {
    let deployment = Deployment::with(&ServerBehavior::Serving, |config| {
        config["transport"] = json!({"answer_write_ms": 200})
    });
    let mut unread = deployment.client();
    // More answers than the kernel's buffers hold.
    unread.write("GET /stats HTTP/1.1\r\n\r\n".repeat(8000).as_bytes());
    eventually("it is closed", || {
        deployment.program.close_reasons("client").contains(&"write_stalled".to_owned())
    });
    assert_eq!(deployment.client().send(&query("all", &[0], 2000).1).status, 200);
}

#[test]
fn an_unread_log_does_not_stall_the_node() {
    // The program's output goes into a pipe that the test never reads.
    let servers: Vec<Server> = (0..3).map(|_| Server::start(ServerBehavior::Serving)).collect();
    let discovery = Discovery::start(entries(&servers));
    let config =
        config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(1, &entries(&servers)));
    let program = pinetrestle_standins::FrontNodeWithUnreadLog::start(NODE, &config);
    // Each connection logs a line of over a hundred bytes; the pipe holds 64 KiB.
    for _ in 0..2500 {
        Client::connect(program.address).send("GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n");
    }
    let answer = Client::connect(program.address).send(&query("all", &[0, 1, 2], 2000).1);
    assert_eq!(answer.status, 200);
    let stats = Client::connect(program.address).send("GET /stats HTTP/1.1\r\n\r\n").json();
    assert_eq!(stats["connections"]["requests"].as_u64(), Some(2502));
}
