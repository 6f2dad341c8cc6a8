//! Clients that pipeline more requests than the front node stores: each one is answered in its turn.

#[path = "common/deployment.rs"]
mod deployment;

use deployment::start_deployment;
use pinetrestle_standins::{query, Answer, ServerBehavior, SmallDeployment};
use std::time::Duration;

/// Number of requests that a client sends at once.
const REQUESTS: usize = 300;

/// Returns a query with a header field of 2,000 bytes, which makes the front node store fewer than 40 of them.
fn long_query(shard: u32) -> String {
    let filler = format!("X-Filler: {}\r\nX-Qos", "x".repeat(2000));
    query("all", &[shard], 2900).text.replacen("X-Qos", &filler, 1)
}

fn start() -> SmallDeployment {
    start_deployment(&ServerBehavior::ServingAfter(Duration::from_millis(20)))
}

fn is_rejection(answer: &Answer) -> bool {
    answer.status == 503 && answer.body.contains("pipeline_full")
}

/// Guards against pipelined requests that get no answer or one out of turn because they are not stored.
#[test]
fn each_pipelined_request_is_answered_and_later_ones_are_served() {
    let deployment = start();
    let mut client = deployment.client();
    for _ in 0..2 {
        let requests: Vec<String> = (0..REQUESTS).map(|number| long_query(number as u32 % 3)).collect();
        client.write(requests.concat().as_bytes());
        let answers: Vec<Answer> = (0..REQUESTS).map(|_| client.read()).collect();
        let served = answers.iter().take_while(|answer| answer.status == 200).count();
        assert!(served > 20, "{served}");
        assert!(answers[served..].iter().all(is_rejection), "{served}");
        for (number, answer) in answers[..served].iter().enumerate() {
            let shard = format!("\"slice\":{}", number % 3);
            assert!(answer.body.contains(&shard), "{number}: {answer:?}");
        }
        assert_eq!(client.send(&long_query(0)).status, 200);
    }
    let stats = deployment.front_node.stats();
    assert!(stats["connections"]["pipeline_refused"].as_u64() > Some(0), "{stats}");
    assert_eq!(stats["violations"]["closed_unanswered"], 0);
}

/// Guards against a request that is lost or served twice because it arrives in pieces behind skipped ones.
#[test]
fn a_request_that_arrives_in_pieces_behind_skipped_ones_is_answered() {
    let request = long_query(0);
    for split in [1, 30, 2100, request.len() - 10] {
        let deployment = start();
        let mut client = deployment.client();
        let requests: Vec<String> = (0..REQUESTS).map(|_| long_query(0)).collect();
        client.write(requests.concat().as_bytes());
        let last = long_query(1);
        client.write(&last.as_bytes()[..split]);
        (0..REQUESTS).for_each(|_| assert!([200, 503].contains(&client.read().status)));
        client.write(&last.as_bytes()[split..]);
        let answer = client.read();
        assert!(answer.status == 200 || is_rejection(&answer), "{split}: {answer:?}");
        assert_eq!(client.send(&long_query(2)).status, 200, "{split}");
    }
}

#[test]
fn a_connection_is_closed_after_a_skipped_request_that_asks_for_it() {
    let deployment = start();
    let mut client = deployment.client();
    let requests: Vec<String> = (0..REQUESTS).map(|_| long_query(0)).collect();
    let last = long_query(0).replacen("X-Qos", "Connection: close\r\nX-Qos", 1);
    client.write(format!("{}{last}", requests.concat()).as_bytes());
    (0..REQUESTS).for_each(|_| assert!([200, 503].contains(&client.read().status)));
    let answer = client.read();
    assert!(is_rejection(&answer), "{answer:?}");
    assert!(client.is_closed());
}

#[test]
fn bytes_behind_skipped_requests_that_are_no_request_are_rejected() {
    let deployment = start();
    let mut client = deployment.client();
    let requests: Vec<String> = (0..REQUESTS).map(|_| long_query(0)).collect();
    client.write(format!("{}no request\r\n\r\n", requests.concat()).as_bytes());
    (0..REQUESTS).for_each(|_| assert!([200, 503].contains(&client.read().status)));
    assert_eq!(client.read().status, 400);
    assert!(client.is_closed());
}
