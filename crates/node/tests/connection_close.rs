//! Bytes and signals that arrive while the front node closes a connection.
//!
//! The races are forced: the test pauses the front node (SIGSTOP), causes both events, and resumes it, so
//! that it finds both at once.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/logged_closes.rs"]
mod logged_closes;

use deployment::start_deployment_with;
use logged_closes::wait_for_logged_close;
use pinetrestle_standins::{eventually, query, Client, Server, ServerBehavior, SmallDeployment};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read};
use std::thread;
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn start_with_transport(transport: Value) -> SmallDeployment {
    start_deployment_with(&ServerBehavior::Serving, |config| config["transport"] = transport)
}

/// Returns a client whose connection is idle after one answered query.
fn idle_client(deployment: &SmallDeployment) -> Client {
    let mut client = deployment.client();
    assert_eq!(client.send(&query("all", &[0], 2000).text).status, 200);
    client
}

/// Asserts that the front node closes the connection without a reset, also when more bytes arrive after its
/// close.
///
/// A reset could discard a response that the client has not read yet.
fn assert_closed_without_reset(client: &mut Client) {
    let mut byte = [0];
    let read = loop {
        match client.stream.read(&mut byte).map_err(|error| error.kind()) {
            Err(ErrorKind::Interrupted) => {}
            read => break read,
        }
    };
    assert_eq!(read, Ok(0), "the connection is closed, not reset");
    client.write(query("all", &[1], 2000).text.as_bytes());
    thread::sleep(ms(30));
    let error = client.stream.get_ref().take_error().expect("the socket error can be read");
    assert!(error.is_none(), "bytes that arrive after the close are discarded without a reset: {error:?}");
}

#[test]
fn sigterm_serves_connections_and_requests_queued_in_the_kernel() {
    let mut deployment = start_with_transport(json!({"hand_over_ms": 200, "stop_within_ms": 3000}));
    let mut incomplete = deployment.client();
    let text = query("all", &[0, 1], 2000).text;
    incomplete.write(&text.as_bytes()[..60]);
    eventually("the first bytes of its request are read", || {
        deployment.front_node.stats()["connections"]["client_bytes_in"].as_u64() > Some(60)
    });
    deployment.front_node.pause();
    // While the front node is paused only the kernel accepts: one connection without a byte, one with a
    // complete request.
    let mut without_bytes = deployment.client();
    let mut complete = deployment.client();
    complete.write(query("all", &[0, 1], 2000).text.as_bytes());
    deployment.front_node.terminate();
    thread::sleep(ms(400)); // the hand-over period is over when the front node resumes
    deployment.front_node.resume();
    assert_eq!(complete.read().status, 200);
    // The remaining bytes of the request arrive while the front node closes its connections.
    incomplete.write(&text.as_bytes()[60..]);
    assert_eq!(incomplete.read().status, 200);
    assert_eq!(without_bytes.send(&query("all", &[2], 2000).text).status, 200);
    for client in [&mut incomplete, &mut without_bytes, &mut complete] {
        assert!(client.is_closed());
    }
    assert_eq!(deployment.front_node.wait_for_exit(), Some(0));
}

#[test]
fn an_incomplete_request_is_answered_before_shutdown_ends() {
    let mut deployment = start_with_transport(json!({"hand_over_ms": 100, "stop_within_ms": 600}));
    let mut incomplete = deployment.client();
    incomplete.write(&query("all", &[0, 1], 2000).text.as_bytes()[..60]);
    let started = Instant::now();
    deployment.front_node.terminate();
    let answer = incomplete.read();
    assert_eq!((answer.status, answer.json()["reason"].as_str()), (503, Some("stopping")));
    assert!(incomplete.is_closed() && started.elapsed() < ms(1500), "{:?}", started.elapsed());
    assert_eq!(deployment.front_node.wait_for_exit(), Some(0));
    assert_eq!(deployment.parts_received(), 0);
}

#[test]
fn a_request_that_arrives_with_sigterm_or_at_the_end_of_the_hand_over_period_is_answered() {
    // The front node finds the request at the same wake-up as the signal in the first case, and as the end of
    // the hand-over period in the second.
    for (hand_over, paused) in [(2000, 50), (200, 500)] {
        let mut deployment = start_with_transport(json!({"hand_over_ms": hand_over, "stop_within_ms": 3000}));
        let mut client = idle_client(&deployment);
        if hand_over < paused {
            deployment.front_node.terminate();
            eventually("the shutdown has begun", || {
                deployment.front_node.count_log_lines(&["msg=\"stopping\""]) == 1
            });
        }
        deployment.front_node.pause();
        client.write(query("all", &[0, 1], 2000).text.as_bytes());
        if hand_over > paused {
            deployment.front_node.terminate();
        }
        thread::sleep(ms(paused));
        deployment.front_node.resume();
        assert_eq!(client.read().status, 200);
        assert!(client.is_closed());
        assert_eq!(deployment.front_node.wait_for_exit(), Some(0));
    }
}

#[test]
fn pipelined_requests_are_all_answered_at_shutdown() {
    let mut deployment = start_with_transport(json!({"hand_over_ms": 100, "stop_within_ms": 3000}));
    let mut client = idle_client(&deployment);
    deployment.front_node.terminate();
    eventually("the shutdown has begun", || {
        deployment.front_node.count_log_lines(&["msg=\"stopping\""]) == 1
    });
    deployment.front_node.pause();
    let text: String = (0..5).map(|_| query("all", &[0], 2000).text).collect();
    client.write(text.as_bytes());
    thread::sleep(ms(300));
    deployment.front_node.resume();
    let answers: Vec<_> = (0..5).map(|_| client.read()).collect();
    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    let announces_close: Vec<bool> =
        answers.iter().map(|answer| answer.headers.contains_key("connection")).collect();
    assert_eq!(announces_close, [false, false, false, false, true]);
    assert!(client.is_closed());
    assert_eq!(deployment.front_node.wait_for_exit(), Some(0));
}

#[test]
fn partly_written_responses_are_completed_at_shutdown() {
    let mut deployment = start_with_transport(json!({"hand_over_ms": 100, "stop_within_ms": 4000}));
    let mut client = deployment.client();
    socket2::SockRef::from(client.stream.get_ref()).set_recv_buffer_size(64 * 1024).expect("set");
    // The responses exceed the socket buffers on both sides, and the client reads none of them yet.
    let requests = 3000;
    let mut writer = client.stream.get_ref().try_clone().expect("a second handle");
    let sender = thread::spawn(move || {
        let batch = "GET /stats HTTP/1.1\r\nHost: x\r\n\r\n".repeat(10);
        // The front node closes the connection after some request; later writes fail or are discarded.
        (0..requests / 10).all(|_| std::io::Write::write_all(&mut writer, batch.as_bytes()).is_ok())
    });
    let bytes_written = || deployment.front_node.stats()["connections"]["client_bytes_out"].as_u64();
    let mut before = bytes_written();
    eventually("the front node's writes are blocked", || {
        thread::sleep(ms(100));
        let now = bytes_written();
        let blocked = now < before.map(|bytes| bytes + 20_000);
        before = now;
        blocked
    });
    deployment.front_node.terminate();
    eventually("the shutdown has begun", || {
        deployment.front_node.count_log_lines(&["reason=shutdown"])
            + deployment.front_node.count_log_lines(&["msg=\"stopping\""])
            >= 1
    });
    thread::sleep(ms(200));
    let mut complete = 0;
    let mut connection_header = None;
    while let Some(answer) = client.try_read() {
        assert_eq!(answer.status, 200);
        assert!(answer.json().is_object(), "the body is complete");
        connection_header = answer.headers.get("connection").cloned();
        complete += 1;
        if connection_header.is_some() {
            break;
        }
    }
    assert!(complete > 1);
    assert_eq!(
        connection_header.as_deref(),
        Some("close"),
        "the last of {complete} responses announces the close"
    );
    assert!(client.is_closed());
    drop(client);
    sender.join().expect("the sender did not panic");
    assert_eq!(deployment.front_node.wait_for_exit(), Some(0));
}

#[test]
fn a_connection_closed_as_idle_answers_earlier_requests_and_discards_later_ones() {
    let deployment = start_with_transport(json!({"client_idle_ms": 300}));
    let mut client = idle_client(&deployment);
    deployment.front_node.pause();
    client.write(query("all", &[0], 2000).text.as_bytes());
    thread::sleep(ms(400)); // the request arrives and the idle timeout passes before the front node resumes
    deployment.front_node.resume();
    assert_eq!(client.read().status, 200);
    let before = deployment.parts_received();
    assert_closed_without_reset(&mut client);
    assert_eq!(
        deployment.parts_received(),
        before,
        "a request that arrives after the half-close is never forwarded"
    );
    wait_for_logged_close(&deployment.front_node, "client", "idle");
}

#[test]
fn a_connection_without_a_request_is_closed_without_reset() {
    let deployment = start_with_transport(json!({"first_ms": 300}));
    let mut client = deployment.client();
    assert_closed_without_reset(&mut client);
    assert_eq!(deployment.parts_received(), 0);
}

#[test]
fn an_evicted_connection_is_closed_without_reset() {
    let deployment = start_with_transport(json!({"client_connections": 4}));
    let mut oldest = idle_client(&deployment);
    let others: Vec<Client> = (0..3).map(|_| idle_client(&deployment)).collect();
    let new_client = thread::spawn({
        let address = deployment.address();
        move || Client::connect(address).send(&query("all", &[0], 2000).text).status
    });
    let before = deployment.parts_received();
    assert_closed_without_reset(&mut oldest);
    assert_eq!(new_client.join().expect("the new client is answered"), 200);
    assert!(
        deployment.parts_received() <= before + 1,
        "a request that arrives after the half-close is never forwarded"
    );
    drop(others);
}

#[test]
fn the_longest_idle_connections_are_evicted_before_the_limit_is_reached() {
    // A sixteenth of the limit of 32 client connections is kept free, so that a new connection in a flood is
    // accepted without waiting for another one to close.
    let deployment = start_with_transport(json!({"client_connections": 32}));
    let mut oldest = idle_client(&deployment);
    let mut others: Vec<Client> = (0..28).map(|_| idle_client(&deployment)).collect();
    let open = || deployment.front_node.stats()["connections"]["clients_open"].as_u64().expect("a count");
    // Each request for the counters uses a connection of its own, which is counted too.
    eventually("29 idle connections are open", || open() == 30);
    assert!(!deployment.front_node.close_reasons("client").iter().any(|reason| reason == "made_room"));
    others.push(idle_client(&deployment));
    assert_closed_without_reset(&mut oldest);
    eventually("the number of connections is below the limit", || open() <= 31);
}

#[test]
fn an_idle_connection_at_shutdown_is_closed_without_reset() {
    let mut deployment = start_with_transport(json!({"hand_over_ms": 100, "stop_within_ms": 2000}));
    let mut client = idle_client(&deployment);
    let before = deployment.parts_received();
    deployment.front_node.terminate();
    assert_closed_without_reset(&mut client);
    drop(client);
    assert_eq!(deployment.front_node.wait_for_exit(), Some(0));
    assert_eq!(deployment.parts_received(), before);
}

#[test]
fn a_response_with_connection_close_is_delivered_while_more_bytes_arrive() {
    let deployment = start_with_transport(json!({}));
    // On each connection the first request asks for shard 0 and the second one for shard 1.
    for _ in 0..20 {
        let mut client = deployment.client();
        let text = query("all", &[0], 2000).text.replace("Host: app.svc", "Connection: close");
        deployment.front_node.pause();
        client.write(text.as_bytes());
        client.write(query("all", &[1], 2000).text.as_bytes());
        client.write(&vec![b'x'; 100_000]);
        deployment.front_node.resume();
        assert_eq!(client.read().status, 200);
        let mut rest = Vec::new();
        let read = client.stream.read_to_end(&mut rest).map_err(|error| error.kind());
        assert_eq!(read, Ok(0), "no reset and no further response");
    }
    // Counted once no query or attempt is in flight. The number of parts is not checked, because a first
    // request may also have a hedged request.
    let stats = deployment.checked_stats();
    assert_eq!(stats["queries"]["all"]["taken"], 20, "the second request is never taken: {stats}");
    let shards: Vec<u32> =
        deployment.servers.iter().flat_map(Server::received).map(|part| part.shard).collect();
    assert!(shards.len() >= 20, "each first request has been forwarded: {shards:?}");
    assert!(shards.iter().all(|shard| *shard == 0), "the second request is never forwarded: {shards:?}");
}

#[test]
fn a_second_sigterm_and_a_concurrent_sighup_change_nothing() {
    for order in [["-TERM", "-TERM", "-HUP"], ["-HUP", "-TERM", "-TERM"], ["-TERM", "-HUP", "-INT"]] {
        let mut deployment = start_deployment_with(&ServerBehavior::ServingAfter(ms(300)), |config| {
            config["transport"] = json!({"hand_over_ms": 100, "stop_within_ms": 3000});
        });
        let mut client = deployment.client();
        client.write(query("all", &[0, 1], 2000).text.as_bytes());
        eventually("the parts are in flight", || deployment.parts_received() >= 2);
        deployment.front_node.pause();
        order.iter().for_each(|signal| deployment.front_node.signal(signal));
        deployment.front_node.resume();
        thread::sleep(ms(30));
        deployment.front_node.terminate();
        assert_eq!(client.read().status, 200, "{order:?}");
        assert_eq!(deployment.front_node.wait_for_exit(), Some(0), "{order:?}");
        assert_eq!(deployment.front_node.count_log_lines(&["msg=\"stopping\""]), 1, "{order:?}");
    }
    // The watch on discovery stays open: it is not reopened repeatedly.
    let deployment = start_with_transport(json!({}));
    assert!(deployment.discovery.watch_count() <= 2);
}

#[test]
fn connections_are_refused_after_the_exit() {
    let mut deployment = start_with_transport(json!({"hand_over_ms": 50, "stop_within_ms": 500}));
    deployment.front_node.terminate();
    assert_eq!(deployment.front_node.wait_for_exit(), Some(0));
    let refused = std::net::TcpStream::connect(deployment.address()).map_err(|error| error.kind());
    assert_eq!(refused.err(), Some(ErrorKind::ConnectionRefused));
}
