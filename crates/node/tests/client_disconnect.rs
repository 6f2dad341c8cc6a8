//! Clients that disconnect at each stage of their query, by close, by reset and by half-close: the front node
//! sends no further part for the query.
//!
//! Most tests pause the front node (SIGSTOP) while the client disconnects and the next event of the query
//! occurs. On resume the front node finds both at once and must not start what the other event would have
//! triggered.

#[path = "common/deployment.rs"]
mod deployment;

use deployment::{start_deployment, start_deployment_with};
use pinetrestle_standins::{
    config_json, endpoint_list, entries_at, eventually, query, Client, Discovery, FrontNode, PendingAddress,
    Server, ServerBehavior, SmallDeployment,
};
use serde_json::Value;
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How a client disconnects.
///
/// A half-close looks the same as a close on the wire, so the front node treats both as a disconnect.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    HalfClose,
}

const ALL_DISCONNECTS: [Disconnect; 3] = [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose];

/// Disconnects the client. Returns a half-closed connection, because dropping the client would close it.
fn disconnect(client: Client, kind: Disconnect) -> Option<Client> {
    let stream = client.stream.get_ref();
    match kind {
        Disconnect::Close => None,
        Disconnect::Reset => {
            socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("set");
            None
        }
        Disconnect::HalfClose => {
            stream.shutdown(Shutdown::Write).expect("half closed");
            Some(client)
        }
    }
}

/// Asserts that the front node ends the query, and that the index servers have received exactly this many
/// parts 150 ms later. An unwanted further attempt would have been sent in that time.
fn assert_ended_after_parts(deployment: &SmallDeployment, parts_sent: usize) {
    eventually("no query is in flight", || {
        let stats = deployment.front_node.stats();
        let classes = stats["queries"].as_object().expect("classes").values();
        classes.map(|class| class["held"].as_u64().expect("a count")).sum::<u64>() == 0
    });
    thread::sleep(ms(150));
    assert_eq!(deployment.parts_received(), parts_sent, "no part is sent after the client has disconnected");
}

#[test]
fn disconnect_before_the_first_attempt_prevents_it() {
    for kind in ALL_DISCONNECTS {
        let deployment = start_deployment(&ServerBehavior::Serving);
        deployment.front_node.pause();
        let mut client = deployment.client();
        client.write(query("all", &[0, 1], 2000).text.as_bytes());
        let half_closed = disconnect(client, kind);
        deployment.front_node.resume();
        assert_ended_after_parts(&deployment, 0);
        drop(half_closed);
    }
}

#[test]
fn disconnect_between_a_failure_and_its_retry_prevents_the_retry() {
    for kind in ALL_DISCONNECTS {
        let deployment = start_deployment(&ServerBehavior::FailingAfter(ms(200)));
        let mut client = deployment.client();
        client.write(query("all", &[0], 2000).text.as_bytes());
        eventually("the part is in flight", || deployment.parts_received() == 1);
        deployment.front_node.pause();
        let half_closed = disconnect(client, kind);
        thread::sleep(ms(300)); // the error arrives before the front node resumes
        deployment.front_node.resume();
        assert_ended_after_parts(&deployment, 1);
        drop(half_closed);
    }
}

#[test]
fn disconnect_before_the_second_step_prevents_it() {
    for kind in ALL_DISCONNECTS {
        let deployment = start_deployment(&ServerBehavior::ServingAfter(ms(200)));
        let mut client = deployment.client();
        client.write(query("steps", &[0, 1, 2], 2000).text.as_bytes());
        eventually("the parts are in flight", || deployment.parts_received() == 3);
        deployment.front_node.pause();
        let half_closed = disconnect(client, kind);
        thread::sleep(ms(300)); // all answers arrive before the front node resumes
        deployment.front_node.resume();
        assert_ended_after_parts(&deployment, 3);
        drop(half_closed);
    }
}

#[test]
fn disconnect_before_a_hedge_of_an_overdue_part_prevents_it() {
    for kind in ALL_DISCONNECTS {
        let deployment = start_deployment(&ServerBehavior::Silent);
        let mut client = deployment.client();
        client.write(query("all", &[0], 2900).text.as_bytes());
        eventually("the part is in flight", || deployment.parts_received() == 1);
        deployment.front_node.pause();
        let half_closed = disconnect(client, kind);
        // Far longer than half the latency objective: a hedged request is due when the front node resumes.
        thread::sleep(ms(700));
        deployment.front_node.resume();
        assert_ended_after_parts(&deployment, 1);
        drop(half_closed);
    }
}

#[test]
fn disconnect_withdraws_parts_queued_for_a_slow_connection() {
    for kind in ALL_DISCONNECTS {
        for may_cancel in [true, false] {
            // Connects to these addresses complete only once a server is started there.
            let pending: Vec<PendingAddress> = (0..3).map(|_| PendingAddress::reserve()).collect();
            let known = endpoint_list(1, &entries_at(pending.iter().map(|pending| pending.address)));
            let discovery = Discovery::start(known["endpoints"].as_array().expect("entries").clone());
            let mut config = config_json("127.0.0.1:0", &discovery.address.to_string(), &known);
            config["transport"] = serde_json::json!({"connect_ms": 5000});
            config["settings"]["permissions"]["cancel"] = may_cancel.into();
            config["settings"]["classes"][1]["aim"] = 2_900_000.into();
            let front_node = FrontNode::start_ready(NODE, &config);
            let mut client = Client::connect(front_node.address);
            client.write(query("all", &[0, 1, 2], 2900).text.as_bytes());
            eventually("the query is admitted", || front_node.stats()["attempts"]["out"] == 3);
            let half_closed = disconnect(client, kind);
            eventually("the query is counted as ended by a disconnect", || {
                front_node.stats()["queries"]["all"]["gone"] == 1
            });
            let servers: Vec<Server> =
                pending.into_iter().map(|pending| pending.start_server(ServerBehavior::Serving)).collect();
            // The first accepted connection is the one with which the stand-in filled the listen queue.
            let connected = || servers.iter().all(|server| server.accepted_connections() >= 2);
            eventually("the connections are established", connected);
            thread::sleep(ms(150));
            let received: usize = servers.iter().map(|server| server.received().len()).sum();
            assert_eq!(received, 0, "{kind:?}, may cancel: {may_cancel}");
            eventually("no attempt is in flight", || front_node.stats()["attempts"]["out"] == 0);
            drop(half_closed);
        }
    }
}

#[test]
fn disconnect_is_detected_behind_unread_pipelined_bytes() {
    for kind in ALL_DISCONNECTS {
        // With a latency objective of 2.9 s no hedged request is due before the end of this test.
        let change = |config: &mut Value| config["settings"]["classes"][1]["aim"] = 2_900_000.into();
        let deployment = start_deployment_with(&ServerBehavior::Silent, change);
        let mut client = deployment.client();
        client.write(query("all", &[0], 2900).text.as_bytes());
        eventually("the part is in flight", || deployment.parts_received() == 1);
        // More bytes than the front node reads while a response is outstanding, and fewer than the kernel
        // buffers: the disconnect arrives behind bytes that the front node has not read.
        let request = query("all", &[1], 2900).text.into_bytes();
        let pipelined = request.repeat(140 * 1024 / request.len());
        client.write(&pipelined);
        let bytes_read = || deployment.front_node.stats()["connections"]["client_bytes_in"].as_u64();
        eventually("reading is suspended", || bytes_read() > Some(80 * 1024));
        thread::sleep(ms(50));
        let half_closed = disconnect(client, kind);
        eventually("the query is counted as ended by a disconnect", || {
            deployment.front_node.stats()["queries"]["all"]["gone"] == 1
        });
        assert_ended_after_parts(&deployment, 1);
        drop(half_closed);
    }
}

/// Guards against parts that are sent for a client that has sent more requests than are stored, and gone.
#[test]
fn disconnect_is_detected_behind_more_requests_than_are_stored() {
    for memory_mb in [8, 192] {
        for kind in ALL_DISCONNECTS {
            let deployment = start_deployment_with(&ServerBehavior::ServingAfter(ms(200)), |config| {
                config["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024});
            });
            let mut client = deployment.client();
            let filler = format!("X-Filler: {}\r\nX-Qos", "x".repeat(3000));
            let request = |_| query("steps", &[0, 1, 2], 2000).text.replacen("X-Qos", &filler, 1);
            let requests: String = (0..400).map(request).collect();
            client.write(requests.as_bytes());
            let half_closed = disconnect(client, kind);
            // The first step of the first query has been sent when the end of the connection is read.
            assert_ended_after_parts(&deployment, 3);
            drop(half_closed);
        }
    }
}
