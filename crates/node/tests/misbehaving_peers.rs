//! Clients and index servers that misbehave, while the front node goes on serving well-behaved clients.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/logged_closes.rs"]
mod logged_closes;

use deployment::{start_deployment, start_deployment_with};
use logged_closes::wait_for_logged_close;
use pinetrestle_standins::{entries, eventually, query, Client, Query, ServerBehavior};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// A misbehaving client gets an error response, or its connection is closed, within this time of connecting.
const CLOSE_WITHIN: Duration = Duration::from_secs(3);

#[test]
fn silent_and_trickling_clients_are_closed_in_time() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    let started = Instant::now();
    let mut silent = deployment.client();
    let mut incomplete = deployment.client();
    incomplete.write(b"POST /all HTTP/1.1\r\nContent-Length: 100\r\n\r\n{");
    let mut trickling = deployment.client();
    // No 2 s pass without a byte, but the request is never complete.
    while trickling.try_write(b"P") && started.elapsed() < CLOSE_WITHIN {
        thread::sleep(Duration::from_millis(50));
        deployment.assert_serves();
    }
    assert!(started.elapsed() < CLOSE_WITHIN, "trickled bytes do not keep a connection open");
    assert!(silent.is_closed());
    assert_eq!(incomplete.read().status, 408);
    assert!(incomplete.is_closed() && started.elapsed() < CLOSE_WITHIN, "{:?}", started.elapsed());
    for reason in ["never_asked", "request_timeout"] {
        wait_for_logged_close(&deployment.front_node, "client", reason);
    }
}

#[test]
fn a_connection_may_stay_idle_after_its_first_request() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    let mut client = deployment.client();
    assert_eq!(client.send(&query("all", &[0], 2000).text).status, 200);
    thread::sleep(Duration::from_millis(2300));
    assert_eq!(client.send(&query("all", &[0], 2000).text).status, 200);
}

#[test]
fn a_body_of_sixty_megabytes_is_rejected_without_buffering() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    for head in ["Content-Length: 60000000", "Transfer-Encoding: chunked"] {
        let started = Instant::now();
        let mut client = deployment.client();
        client.write(format!("POST /all HTTP/1.1\r\n{head}\r\n\r\n").as_bytes());
        let chunked = head.starts_with('T');
        let block = [&b"10000\r\n"[..], &[b' '; 0x10000], b"\r\n"].concat();
        let piece = if chunked { &block[..] } else { &block[7..0x10000] };
        let written = (0..900).take_while(|_| client.try_write(piece)).count();
        assert!(written < 900, "the front node does not read the whole body");
        assert!(client.try_read().is_none_or(|answer| answer.status == 413));
        assert!(started.elapsed() < CLOSE_WITHIN, "{:?}", started.elapsed());
    }
    eventually("the close is logged", || {
        deployment
            .front_node
            .close_reasons("client")
            .iter()
            .filter(|reason| *reason == "body_too_long")
            .count()
            == 2
    });
    assert!(
        deployment.front_node.peak_memory_kb() < 32 * 1024,
        "{} kB",
        deployment.front_node.peak_memory_kb()
    );
    deployment.assert_serves();
}

#[test]
fn a_smuggled_request_is_never_processed() {
    // Each of these heads leaves open where the body ends, so a second request could hide behind it.
    let deployment = start_deployment(&ServerBehavior::Serving);
    let smuggled = query("all", &[0], 2000).text;
    for fields in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked", 5 + smuggled.len()),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}", 5 + smuggled.len()),
        "Content-Length: 5\r\nContent-Length: 6".to_owned(),
        "Transfer-Encoding: xchunked".to_owned(),
    ] {
        let mut client = deployment.client();
        client.write(format!("POST /all HTTP/1.1\r\n{fields}\r\n\r\n0\r\n\r\n{smuggled}").as_bytes());
        let answer = client.read();
        assert!((400..600).contains(&answer.status), "{answer:?}");
        assert!(client.is_closed());
    }
    assert_eq!(deployment.parts_received(), 0);
    deployment.assert_serves();
}

#[test]
fn ambiguous_requests_are_rejected_and_the_sixteenth_closes_the_connection() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    let good = query("all", &[0], 2000).text;
    let cases = [
        ("X-Qos: all", "X-Qos: all\r\nX-Qos: any"),
        ("X-Trace-Id: ", "X-Trace-Id: 0\r\nX-Trace-Id: "),
        ("X-Trace-Id: ", "X-Trace-Id: q.3.phase2"),
        ("X-Expires-In-Ms: 2000", "X-Expires-In-Ms: 2000\r\nX-Expires-In-Ms: 9"),
        ("X-Expires-In-Ms: 2000", "X-Expires-In-Ms: -1"),
        ("X-Customer: north", "X-Customer: north\r\nX-Customer: south"),
        ("POST /all", "POST /elsewhere"),
        ("POST /all", "POST /any"),
    ];
    let mut client = deployment.client();
    for (from, to) in cases.iter().chain(&cases) {
        assert!(good.contains(from));
        let answer = client.send(&good.replacen(from, to, 1));
        assert!((400..500).contains(&answer.status), "{to}: {answer:?}");
    }
    assert!(client.is_closed(), "the front node closes the connection after sixteen rejected requests");
    assert_eq!(deployment.parts_received(), 0);
    wait_for_logged_close(&deployment.front_node, "client", "too_many_bad");
}

#[test]
fn a_flood_of_silent_connections_is_evicted_before_active_ones() {
    let deployment = start_deployment_with(&ServerBehavior::Serving, |config| {
        config["transport"] = json!({"client_connections": 40})
    });
    let mut active = deployment.client();
    assert_eq!(active.send(&query("all", &[0], 2000).text).status, 200);
    let mut silent = Vec::new();
    for round in 0..200 {
        silent.push(deployment.client());
        if round % 10 == 0 {
            assert_eq!(active.send(&query("all", &[1], 2000).text).status, 200, "round {round}");
            deployment.assert_serves();
        }
    }
    let stats = deployment.front_node.stats();
    assert!(stats["connections"]["clients_open"].as_u64() <= Some(40), "{stats}");
    assert_eq!(
        active.send(&query("all", &[2], 2000).text).status,
        200,
        "the active connection was never evicted"
    );
}

#[test]
fn a_new_connection_is_not_evicted_before_its_request_is_read() {
    let deployment = start_deployment_with(&ServerBehavior::Serving, |config| {
        config["transport"] = json!({"client_connections": 20})
    });
    for _ in 0..50 {
        let texts: Vec<String> = (0..60).map(|_| query("all", &[0], 2000).text).collect();
        // Three times as many clients connect as the limit allows, and send their requests 5 ms later.
        let started = Instant::now();
        let mut clients: Vec<Client> = texts.iter().map(|_| deployment.client()).collect();
        thread::sleep(Duration::from_millis(5));
        let all_written =
            clients.iter_mut().zip(&texts).all(|(client, text)| client.try_write(text.as_bytes()));
        let took = started.elapsed();
        // Every client is served or rejected; no connection is closed without a response.
        let answered = clients.iter_mut().filter_map(Client::try_read).count();
        if took < Duration::from_millis(30) {
            assert!(all_written);
            assert_eq!(answered, 60);
            return;
        }
        // Connecting and sending took 30 ms or longer, so this round proves nothing: try again.
    }
    panic!("the machine was too slow in all 50 rounds");
}

#[test]
fn a_request_deadline_runs_while_the_process_is_paused() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    deployment.set_all_behaviors(&ServerBehavior::Silent);
    let mut client = deployment.client();
    assert_eq!(client.send("GET /health/live HTTP/1.1\r\n\r\n").status, 200);
    deployment.front_node.pause();
    let started = Instant::now();
    client.write(query("all", &[0], 1500).text.as_bytes());
    thread::sleep(Duration::from_millis(700));
    deployment.front_node.resume();
    assert_eq!(client.read().status, 503);
    assert!(started.elapsed() < Duration::from_millis(1900), "{:?}", started.elapsed());
}

#[test]
fn an_id_reused_just_after_its_answer_is_rejected() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    let text = query("all", &[0, 1], 2000).text;
    assert_eq!(deployment.client().send(&text).status, 200);
    let before = deployment.parts_received();
    assert_eq!(deployment.client().send(&text).status, 409);
    assert_eq!(deployment.parts_received(), before);
}

#[test]
fn a_server_that_stalls_within_a_frame_is_disconnected_before_the_query_deadline() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    deployment.servers[0].set_behavior(ServerBehavior::StallingWithinAnswer);
    let mut client = deployment.client();
    eventually("the stalled connection is closed", || {
        let started = Instant::now();
        let answer = client.send(&query("all", &[0], 3000).text);
        assert_eq!(answer.status, 200, "another replica answers: {answer:?}");
        assert!(started.elapsed() < Duration::from_millis(1500), "{:?}", started.elapsed());
        deployment.front_node.close_reasons("index_server").contains(&"stalled_within_frame".to_owned())
    });
    assert!(deployment.front_node.stats()["attempts"]["reset"].as_u64() >= Some(1), "the part may have run");
}

/// Guards against an answer whose frame length is too small, and whose value would be served cut.
#[test]
fn an_answer_with_a_frame_length_that_is_too_small_is_not_served() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    let mut client = deployment.client();
    let mut served = 0;
    for missing in 1..=12 {
        for server in &deployment.servers[..3] {
            server.set_behavior(ServerBehavior::UnderstatingLength(missing));
        }
        for _ in 0..5 {
            let Query { id, text } = query("all", &[0, 1, 2], 2000);
            let answer = client.send(&text);
            // Half of the replicas fail, so that some queries are refused.
            assert!([200, 503].contains(&answer.status), "{answer:?}");
            if answer.status == 503 {
                continue;
            }
            served += 1;
            for item in answer.json()["items"].as_array().expect("items") {
                assert_eq!(item["body"], format!("value of {id}.{}", item["slice"]), "missing {missing}");
            }
        }
    }
    assert!(served > 10, "other replicas answer: {served} of 60 queries served");
    wait_for_logged_close(&deployment.front_node, "index_server", "short_frame_length");
}

#[test]
fn extra_frames_or_a_close_after_an_answer_affect_no_other_query() {
    for behavior in
        [ServerBehavior::AnsweringTwice, ServerBehavior::AppendingGarbage, ServerBehavior::ClosingAfterAnswer]
    {
        let deployment = start_deployment(&ServerBehavior::Serving);
        deployment.set_all_behaviors(&behavior);
        let mut client = deployment.client();
        for _ in 0..30 {
            let Query { id, text } = query("all", &[0, 1, 2], 2000);
            let answer = client.send(&text);
            assert_eq!(answer.status, 200, "{behavior:?}: {answer:?}");
            for item in answer.json()["items"].as_array().expect("items") {
                assert_eq!(item["body"], format!("value of {id}.{}", item["slice"]), "{behavior:?}");
            }
        }
        if behavior == ServerBehavior::AnsweringTwice {
            let stats = deployment.front_node.stats();
            assert!(stats["attempts"]["late_answers"].as_u64() >= Some(80), "{stats}");
            assert!(
                stats["connections"]["servers_begun"].as_u64() <= Some(6),
                "no connection was closed for a second answer: {stats}"
            );
        }
    }
}

#[test]
fn connections_that_fall_silent_are_replaced() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    for _ in 0..20 {
        deployment.assert_serves();
    }
    deployment
        .servers
        .iter()
        .for_each(|server| server.set_behavior(ServerBehavior::SilentOnFirst(server.accepted_connections())));
    let mut client = deployment.client();
    let mut served_in_a_row = 0;
    eventually("ten queries in a row are served", || {
        let served = client.send(&query("all", &[0, 1, 2], 400).text).status == 200;
        served_in_a_row = if served { served_in_a_row + 1 } else { 0 };
        served_in_a_row == 10
    });
    // A silent connection was closed.
    wait_for_logged_close(&deployment.front_node, "index_server", "unheard");
}

#[test]
fn connections_to_a_server_removed_from_the_endpoint_list_are_closed() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    for _ in 0..10 {
        deployment.assert_serves();
    }
    let open = || deployment.front_node.stats()["connections"]["servers_open"].as_u64();
    assert!(open() > Some(3));
    deployment.discovery.set_entries(entries(&deployment.servers[..3]));
    eventually("only connections to listed servers stay open", || open() <= Some(3));
    deployment.assert_serves();
}
