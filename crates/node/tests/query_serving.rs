//! Queries sent to a front node process: answered, rejected, cancelled, and ended by their deadline.

#[path = "common/deployment.rs"]
mod deployment;
#[path = "common/logged_closes.rs"]
mod logged_closes;

use deployment::{start_deployment, start_deployment_with};
use logged_closes::wait_for_logged_close;
use pinetrestle_standins::{eventually, query, Query, Server, ServerBehavior};
use serde_json::json;
use std::time::{Duration, Instant};

#[test]
fn a_query_is_served_with_the_values_of_the_index_servers() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    let mut client = deployment.client();
    let Query { id, text } = query("all", &[0, 1, 5], 2000);
    let answer = client.send(&text);
    assert_eq!(answer.status, 200, "{answer:?}");
    let body = answer.json();
    assert_eq!(body["entire"], true);
    let mut items: Vec<(u64, String)> = body["items"]
        .as_array()
        .expect("items")
        .iter()
        .map(|item| {
            (item["slice"].as_u64().expect("a shard"), item["body"].as_str().expect("a value").to_owned())
        })
        .collect();
    items.sort();
    let expected: Vec<(u64, String)> =
        [0, 1, 5].map(|shard| (shard, format!("value of {id}.{shard}"))).to_vec();
    assert_eq!(items, expected);
    for (n, server) in deployment.servers.iter().enumerate() {
        for part in server.received() {
            assert_eq!(part.shard as usize % 3, n % 3, "each part is sent to a replica of its shard");
            assert_eq!(part.text, "c41e77d0", "the text is forwarded unchanged");
            assert!(part.attributes.starts_with("d="), "{}", part.attributes);
        }
    }
    // The connection is kept alive and also accepts a chunked body that arrives byte by byte.
    let text = query("all", &[2], 2000).text;
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let head = head.rsplit_once("\r\n").expect("the last field is the length").0;
    let (start, end) = body.split_at(20);
    let text = format!(
        "{head}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{start}\r\n{:x}\r\n{end}\r\n0\r\n\r\n",
        start.len(),
        end.len()
    );
    for byte in text.as_bytes() {
        client.write(&[*byte]);
    }
    assert_eq!(client.read().status, 200);
    let stats = deployment.checked_stats();
    assert_eq!(stats["queries"]["all"]["whole"], 2);
    assert_eq!(stats["attempts"]["ok"], 4);
}

#[test]
fn any_two_of_three_parts_make_a_complete_answer() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    // Both servers of one cell are silent; the parts of the other two cells suffice.
    deployment.servers[0].set_behavior(ServerBehavior::Silent);
    deployment.servers[3].set_behavior(ServerBehavior::Silent);
    let mut client = deployment.client();
    for _ in 0..5 {
        let answer = client.send(&query("any", &[0, 1, 2], 2000).text);
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.json()["entire"], true);
        assert!(answer.json()["items"].as_array().expect("items").len() >= 2);
    }
    deployment.checked_stats();
}

#[test]
fn the_second_step_queries_the_best_shards_and_provides_the_answer() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    let Query { id, text } = query("steps", &[0, 1, 2, 3], 2000);
    let answer = deployment.client().send(&text);
    assert_eq!(answer.status, 200, "{answer:?}");
    let mut values: Vec<String> = answer.json()["items"]
        .as_array()
        .expect("items")
        .iter()
        .map(|item| item["body"].as_str().expect("a value").to_owned())
        .collect();
    values.sort();
    // The stand-ins score each shard by its number, so shards 2 and 3 are the best two.
    assert_eq!(values, [format!("value of {id}.2.phase2"), format!("value of {id}.3.phase2")]);
    let second_step_parts: Vec<_> = deployment
        .servers
        .iter()
        .flat_map(Server::received)
        .filter(|part| part.id.ends_with(".phase2"))
        .collect();
    assert_eq!(second_step_parts.len(), 2);
    for part in second_step_parts {
        assert!(part.attributes.ends_with(",from=0+1+2+3,whole=1"), "{}", part.attributes);
    }
}

#[test]
fn errors_and_rejections_of_index_servers_are_distinguished() {
    for (behavior, outcome) in [(ServerBehavior::Failing, "error"), (ServerBehavior::Rejecting, "full")] {
        let deployment = start_deployment(&behavior);
        let answer = deployment.client().send(&query("all", &[0], 1500).text);
        assert_eq!(answer.status, 503, "{answer:?}");
        let wait: f64 = answer.headers["retry-after"].parse().expect("seconds");
        assert!(wait > 0.0 && wait <= 0.5, "{wait}");
        let stats = deployment.checked_stats();
        assert!(stats["attempts"][outcome].as_u64() >= Some(1), "{stats}");
        assert_eq!(stats["queries"]["all"]["refused"], 1);
    }
}

#[test]
fn parts_of_a_disconnected_client_are_cancelled() {
    let deployment = start_deployment(&ServerBehavior::Silent);
    let mut client = deployment.client();
    let Query { id, text } = query("all", &[0, 1], 2500);
    client.write(text.as_bytes());
    eventually("the parts are in flight", || deployment.parts_received() >= 2);
    drop(client);
    eventually("the parts are cancelled", || {
        let cancelled = deployment.parts_cancelled();
        [0, 1].iter().all(|shard| cancelled.contains(&format!("{id}.{shard}")))
    });
    let stats = deployment.checked_stats();
    assert_eq!(stats["queries"]["all"]["gone"], 1);
    wait_for_logged_close(&deployment.front_node, "client", "client_gone");
}

#[test]
fn a_silent_server_delays_no_other_query_and_its_own_query_ends_by_the_deadline() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    deployment.servers[0].set_behavior(ServerBehavior::Silent);
    deployment.servers[3].set_behavior(ServerBehavior::Silent);
    let mut waiting = deployment.client();
    let started = Instant::now();
    waiting.write(query("all", &[0], 900).text.as_bytes());
    eventually("the part is in flight", || deployment.parts_received() >= 1);
    assert_eq!(deployment.client().send(&query("all", &[1, 2], 2000).text).status, 200);
    let answer = waiting.read();
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(started.elapsed() < Duration::from_millis(1400), "{:?}", started.elapsed());
    deployment.checked_stats();
}

#[test]
fn a_query_deadline_counts_from_the_first_byte_of_the_request() {
    let deployment = start_deployment(&ServerBehavior::Silent);
    let text = query("all", &[0], 1500).text;
    let mut client = deployment.client();
    let started = Instant::now();
    client.write(&text.as_bytes()[..20]);
    std::thread::sleep(Duration::from_millis(1000)); // a slow sender
    client.write(&text.as_bytes()[20..]);
    assert_eq!(client.read().status, 503);
    let took = started.elapsed();
    assert!(took >= Duration::from_millis(1400) && took < Duration::from_millis(2200), "{took:?}");
}

#[test]
fn malformed_requests_get_a_4xx_and_no_part_is_sent() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    let good = query("all", &[0], 2000).text;
    let replaced = |from: &str, to: &str| {
        assert!(good.contains(from), "{from}");
        good.replace(from, to)
    };
    let body = good.split_once("\r\n\r\n").expect("a body").1;
    let with_body = |body: &str| {
        let head = good.split_once("Content-Length").expect("a length").0;
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    let cases = [
        (replaced("X-Qos: all", "X-Qos: none"), 404, "unknown_class"),
        (replaced("X-Qos: all", "X-Qos: any"), 400, "two_classes"),
        (replaced("X-Customer: north", "X-Customer: south"), 400, "unknown_tenant"),
        (replaced("X-Expires-In-Ms: 2000", "X-Expires-In-Ms: soon"), 400, "bad_expiry"),
        (replaced("X-Expires-In-Ms: 2000", "X-Other: 1"), 400, "bad_expiry"),
        (replaced("X-Trace-Id: ", "X-Trace-Id: a b"), 400, "bad_id"),
        (replaced("POST ", "PUT "), 405, "unknown_method"),
        ("GET /nowhere HTTP/1.1\r\n\r\n".to_owned(), 404, "unknown_path"),
        (with_body("{"), 400, "bad_json"),
        (with_body(&body.replace("\"slice\":0", "\"slice\":99")), 400, "bad_shard"),
        (with_body(r#"{"slices":[{"slice":1,"mass":0.5},{"slice":1,"mass":0.5}]}"#), 400, "shard_twice"),
    ];
    let mut client = deployment.client();
    for (text, status, code) in &cases {
        let answer = client.send(text);
        assert_eq!((answer.status, answer.json()["reason"].as_str()), (*status, Some(*code)), "{text}");
    }
    assert_eq!(
        client.send(&good).status,
        200,
        "the connection is kept alive, because every request was read to its end"
    );
    for (text, status) in [
        ("what is this\r\n\r\n".to_owned(), 400),
        ("POST /all HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".to_owned(), 413),
        (format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(20_000)), 431),
    ] {
        let mut client = deployment.client();
        assert_eq!(client.send(&text).status, status);
        assert!(client.is_closed(), "the end of the request is unknown");
    }
    assert_eq!(deployment.parts_received(), 1, "only the well-formed query sent its part");
    let stats = deployment.checked_stats();
    assert_eq!(stats["connections"]["bad_requests"], cases.len() + 3);
}

#[test]
fn two_open_queries_cannot_share_an_id() {
    let deployment = start_deployment(&ServerBehavior::Silent);
    let text = query("all", &[0], 2500).text;
    let mut first = deployment.client();
    first.write(text.as_bytes());
    eventually("the part is in flight", || deployment.parts_received() >= 1);
    assert_eq!(deployment.client().send(&text).status, 409);
    assert_eq!(first.read().status, 503);
}

#[test]
fn a_query_over_the_in_flight_limit_is_rejected_with_retry_after() {
    let deployment = start_deployment_with(&ServerBehavior::Serving, |config| {
        config["settings"]["permissions"]["most_held"] = json!(8)
    });
    let mut client = deployment.client();
    let shards: Vec<u32> = (0..9).collect();
    let answer = client.send(&query("all", &shards, 1500).text);
    assert_eq!((answer.status, answer.json()["reason"].as_str()), (503, Some("over_held")));
    assert_eq!(answer.headers["retry-after"], "0.500");
    assert_eq!(
        client.send(&query("all", &shards[..7], 1500).text).status,
        200,
        "a query within the limit is served"
    );
    let stats = deployment.checked_stats();
    assert_eq!(
        (&stats["queries"]["all"]["over_held"], &stats["queries"]["all"]["taken"]),
        (&json!(1), &json!(1))
    );
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let deployment = start_deployment(&ServerBehavior::Serving);
    let mut client = deployment.client();
    let first = query("all", &[0], 2000);
    let second = query("all", &[1], 2000);
    client.write(format!("{}GET /health/live HTTP/1.1\r\n\r\n{}", first.text, second.text).as_bytes());
    assert!(client.read().body.contains(&format!("value of {}.0", first.id)));
    assert!(client.read().body.contains("live"));
    assert!(client.read().body.contains(&format!("value of {}.1", second.id)));
}

#[test]
fn a_late_answer_is_discarded_and_counted() {
    let deployment = start_deployment(&ServerBehavior::ServingAfter(Duration::from_millis(900)));
    let mut client = deployment.client();
    assert_eq!(client.send(&query("all", &[0], 400).text).status, 503);
    eventually("the late answer is counted", || {
        deployment.front_node.stats()["attempts"]["late_answers"].as_u64() >= Some(1)
    });
    deployment.set_all_behaviors(&ServerBehavior::Serving);
    let Query { id, text } = query("all", &[0], 2000);
    assert!(
        client.send(&text).body.contains(&format!("value of {id}.0")),
        "the answer has the value of this query, not of the earlier one"
    );
}
