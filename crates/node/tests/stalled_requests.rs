//! Hundreds of clients that stop in the middle of a request, and index servers that stop in the middle of an answer,
//! while the front node goes on serving others.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/stalling_clients.rs"]
mod stalling_clients;

use deployment::start_deployment_with;
use pinetrestle_standins::{eventually, log_field, query, Answer, Client, ServerBehavior, SmallDeployment};
use serde_json::json;
use stalling_clients::{StallingClients, StallingRequest};
use std::thread;
use std::time::{Duration, Instant};

/// The smallest memory limit that a front node is given in service, in megabytes.
const MEMORY_MB: u64 = 32;
/// Number of file descriptors of the front node.
const DESCRIPTORS: u64 = 1024;
/// The smallest number of file descriptors that a front node is given in service.
const FEW_DESCRIPTORS: u64 = 256;
/// Number of clients that stall.
const STALLING_CLIENTS: usize = 400;
/// Time for which they do.
const STALL_TIME: Duration = Duration::from_secs(3);
/// Time that a query of a well-behaved client has left, in milliseconds.
const QUERY_MS: u64 = 1000;
/// Length of the text of a long query in bytes.
const LONG_TEXT_BYTES: usize = 12_000;
/// Length of the text of a query whose body is nearly as long as is allowed, in bytes.
const LONGEST_TEXT_BYTES: usize = 65_000;
/// Pause of a well-behaved client after each answer.
const PAUSE: Duration = Duration::from_millis(40);

/// Time until a line is certain to be in the log.
const LOG_DELAY: Duration = Duration::from_millis(300);

fn start_small_node(descriptors: u64) -> SmallDeployment {
    start_deployment_with(&ServerBehavior::ServingAfter(Duration::from_millis(10)), |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": descriptors});
    })
}

/// Returns a query with a text of `text_bytes` bytes.
fn long_query(shards: &[u32], text_bytes: usize, expires_ms: u64) -> String {
    let text = query("all", shards, expires_ms).text;
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let body = body.replace("c41e77d0", &"c".repeat(text_bytes));
    let head: Vec<&str> = head.lines().filter(|line| !line.starts_with("Content-Length")).collect();
    format!("{}\r\nContent-Length: {}\r\n\r\n{body}", head.join("\r\n"), body.len())
}

/// Sends short and long queries in turn for [`STALL_TIME`], on a kept connection and on new ones, and asserts
/// that each one is served in time. Returns the longest time.
fn assert_all_served(deployment: &SmallDeployment) -> Duration {
    let began = Instant::now();
    let mut kept = deployment.client();
    let mut longest = Duration::ZERO;
    while began.elapsed() < STALL_TIME {
        for text in
            [query("all", &[0, 1, 2], QUERY_MS).text, long_query(&[0, 1, 2], LONG_TEXT_BYTES, QUERY_MS)]
        {
            longest = longest.max(assert_served_on_kept(deployment, &mut kept, &text));
            longest = longest
                .max(assert_served(&mut deployment.client(), &text.replace("Trace-Id: 0", "Trace-Id: f")));
        }
        thread::sleep(PAUSE);
    }
    longest
}

/// Sends a query on a kept connection. The front node may close it between two requests; the client then sends the
/// query once more on a new connection. Asserts that it was closed for no other reason.
fn assert_served_on_kept(deployment: &SmallDeployment, kept: &mut Client, text: &str) -> Duration {
    let sent_at = Instant::now();
    let answer = if kept.try_write(text.as_bytes()) { kept.try_read() } else { None };
    if let Some(answer) = answer {
        return assert_in_time(sent_at, &answer);
    }
    let address = kept.stream.get_ref().local_addr().expect("local address").to_string();
    *kept = deployment.client();
    let served_in = assert_served(kept, text);
    eventually("the close of the kept connection is logged", || {
        let lines = deployment.front_node.log_lines();
        let closed = lines.iter().find(|line| log_field(line, "peer").as_ref() == Some(&address));
        let reason = closed.map(|line| log_field(line, "reason").expect("a reason"));
        assert!(reason.is_none() || reason.as_deref() == Some("made_room"), "{closed:?}");
        reason.is_some()
    });
    served_in
}

fn assert_served(client: &mut Client, text: &str) -> Duration {
    let sent_at = Instant::now();
    let answer = client.send(text);
    assert_in_time(sent_at, &answer)
}

fn assert_in_time(sent_at: Instant, answer: &Answer) -> Duration {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(sent_at.elapsed() < Duration::from_millis(QUERY_MS), "{:?}", sent_at.elapsed());
    sent_at.elapsed()
}

fn assert_served_beside(deployment: &SmallDeployment, count: usize, request: &StallingRequest, name: &str) {
    let clients = StallingClients::start(deployment.address(), count, request);
    thread::sleep(Duration::from_millis(300));
    let longest = assert_all_served(deployment);
    let closed = clients.stop();
    let peak = deployment.front_node.peak_memory_kb();
    println!("{name}: longest {longest:?}, {closed} closed, peak memory {peak} kB");
    assert!(peak < MEMORY_MB * 1024, "{peak} kB");
    assert_eq!(deployment.front_node.stats()["violations"]["closed_unanswered"], 0);
}

/// Guards against clients that announce long bodies, stop, and keep the memory that long queries of others need.
#[test]
fn long_queries_are_served_while_others_stop_at_the_beginning_of_a_long_body() {
    let deployment = start_small_node(DESCRIPTORS);
    assert_served_beside(&deployment, STALLING_CLIENTS, &StallingRequest::with_body(60_000, 30), "beginning");
}

/// Guards against clients that send most of a long body, stop, and keep the memory that long queries of others
/// need.
#[test]
fn long_queries_are_served_while_others_stop_near_the_end_of_a_long_body() {
    let deployment = start_small_node(DESCRIPTORS);
    assert_served_beside(&deployment, STALLING_CLIENTS, &StallingRequest::with_body(60_000, 50_000), "end");
    let stats = deployment.front_node.stats();
    assert!(stats["connections"]["memory_revoked"].as_u64() > Some(0), "{stats}");
}

/// Guards against clients that keep memory because they go on with single bytes.
#[test]
fn long_queries_are_served_while_others_send_a_long_body_slowly() {
    let deployment = start_small_node(DESCRIPTORS);
    let request = StallingRequest::with_body(60_000, 50_000).going_on_slowly();
    assert_served_beside(&deployment, STALLING_CLIENTS, &request, "slow body");
}

/// Guards against clients that stop in a head of very many short fields and keep the memory that long queries of
/// others need.
#[test]
fn long_queries_are_served_while_others_stop_in_a_head_of_short_fields() {
    let deployment = start_small_node(DESCRIPTORS);
    assert_served_beside(&deployment, STALLING_CLIENTS, &StallingRequest::with_short_fields(12_000), "head");
}

/// Guards against clients that stop in half a head and keep every place, so that others wait unread.
#[test]
fn queries_are_served_while_stopped_requests_hold_every_place() {
    let deployment = start_small_node(FEW_DESCRIPTORS);
    let half_a_head =
        StallingRequest { beginning: b"POST /all HTTP/1.1\r\nX-Qos: a".to_vec(), goes_on_slowly: false };
    assert_served_beside(&deployment, STALLING_CLIENTS, &half_a_head, "half a head");
    assert_served_beside(
        &deployment,
        STALLING_CLIENTS,
        &StallingRequest::with_body(60_000, 50_000),
        "end, few",
    );
    assert_served_beside(&deployment, STALLING_CLIENTS, &half_a_head.going_on_slowly(), "slow head");
}

/// Guards against a long query that waits for memory until after its client's time.
#[test]
fn a_long_query_without_memory_is_rejected_before_its_time_is_up() {
    let deployment = start_deployment_with(&ServerBehavior::Silent, |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": 8, "sockets": DESCRIPTORS});
        config["settings"]["classes"][1]["aim"] = 2_900_000.into();
        config["settings"]["permissions"]["most_held"] = 300.into();
    });
    // A quarter of 8 MiB is for 32 of these queries.
    let mut holders: Vec<Client> = (0..32).map(|_| deployment.client()).collect();
    for (id, client) in holders.iter_mut().enumerate() {
        client.write(long_query(&[id as u32 % 9], LONGEST_TEXT_BYTES, 2900).as_bytes());
    }
    eventually("all memory is in use", || deployment.front_node.stats()["queries"]["all"]["held"] == 32);
    let sent_at = Instant::now();
    let answer = deployment.client().send(&long_query(&[0, 1, 2], LONGEST_TEXT_BYTES, QUERY_MS));
    assert_eq!((answer.status, &*answer.body), (503, "{\"reason\":\"no_request_memory\"}"));
    assert!(sent_at.elapsed() < Duration::from_millis(QUERY_MS), "{:?}", sent_at.elapsed());
}

/// Guards against index servers that stop in long answers and keep the memory that the answers of others need: the
/// connections of those were closed.
#[test]
fn long_answers_are_read_while_other_index_servers_stop_in_theirs() {
    let deployment = start_deployment_with(&ServerBehavior::ServingLongAnswers, |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": 8, "sockets": DESCRIPTORS});
        config["transport"] = json!({"streams": 1, "frame_ms": 900});
    });
    let stalling = &deployment.servers[..3];
    stalling.iter().for_each(|server| server.set_behavior(ServerBehavior::StallingWithinLongAnswer));
    for _ in 0..5 {
        let mut clients: Vec<Client> = (0..6).map(|_| deployment.client()).collect();
        for client in &mut clients {
            client.write(query("all", &(0..9).collect::<Vec<u32>>(), QUERY_MS).text.as_bytes());
        }
        clients.iter_mut().for_each(|client| drop(client.read()));
    }
    thread::sleep(LOG_DELAY);
    let is_stalling = |line: &str| {
        let peer = log_field(line, "peer");
        stalling.iter().any(|server| peer == Some(server.address.to_string()))
    };
    let lines = deployment.front_node.log_lines();
    let closed = lines.iter().filter(|line| line.contains("reason=no_frame_memory"));
    let (bad, sound): (Vec<&String>, Vec<&String>) = closed.partition(|line| is_stalling(line));
    assert!(!bad.is_empty(), "{}", deployment.front_node.stats());
    assert_eq!(sound, Vec::<&String>::new());
}
