//! Runs the binary on handwritten lines of the simulator, including invalid ones.

use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Output, Stdio};

const OPTIONS: &str = r#"{"azs":["hall"],"classes":[
 {"aim":1000000,"dedup_window":2000000,"effect":"retryable","gain":1.0,"group":"all","hard_limit":3000000,
  "late_worth":0.1,"name":"lookup","stream":false}],
 "discovery":"ask","family_info":{"batch":1,"call":0,"class_floor":[0.5],"need_by_class":[0.5],
 "partial_earns":[0.9],"positions":2,"second_step":[0],"slabs":2,"span":2},"fleet_size":1,
 "fees":{"waste":0.1},"over_share_worth":0.1,"projects":[{"name":"one","quota_per_s":5.0,"share":1.0}],
 "permissions":{"cancel":true,"may_duplicate":true,"most_held":100,"probing":false,"retry_after":true,
 "max_retry_after":500000,"try_limit":3},"quantum":5000,
 "rules":{"cold_share":0.2,"drain_grace":1000000,"fall":1000000,"grace_to_answer":20000,
 "must_ask_in":10000000,"tip_multiple":3.0,"warm_within":9000000},"zone":"hall","something_new":[1,2]}"#;

/// Runs the binary with these lines as its standard input.
fn run(lines: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pinetrestle-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut input = child.stdin.take().expect("a pipe");
    let text = lines.to_owned();
    let writer = std::thread::spawn(move || {
        // Fails if the binary exits before it has read all lines.
        let _ = input.write_all(text.as_bytes());
    });
    let output = child.wait_with_output().expect("the binary ends");
    writer.join().expect("the writer ends");
    output
}

/// Parses the output into one list of actions per batch.
fn replies(output: &Output) -> Vec<Vec<Value>> {
    let mut all = vec![Vec::new()];
    for line in String::from_utf8_lossy(&output.stdout).lines() {
        let line: Value = serde_json::from_str(line).expect("JSON on every line");
        if line["what"] == "NEXT" {
            all.push(Vec::new());
        } else {
            all.last_mut().expect("at least one list").push(line);
        }
    }
    assert_eq!(all.pop(), Some(Vec::new()), "the last reply does not end with NEXT");
    all
}

/// Returns a batch with these lines at the time `wall`, in microseconds.
fn batch(wall: i64, lines: &[String]) -> String {
    let body: String = lines.iter().map(|line| format!("{}\n", line.replace('\n', " "))).collect();
    format!("{{\"what\":\"SYNC\",\"wall\":{wall}}}\n{body}{{\"what\":\"OVER_TO_YOU\"}}\n")
}

/// Returns the lines that start an instance and send it an endpoint list with two servers.
fn start_instance(who: u32) -> Vec<String> {
    let item = |server: &str, cell| {
        json!({"az": "hall", "server": server, "scale": 1, "shape": "x", "lifecycle": "on", "launched": null,
               "cell": cell})
    };
    vec![
        format!(r#"{{"what":"INIT","who":{who},"nonce64":17,"options":{OPTIONS}}}"#),
        json!({"what": "TABLE", "ref": 3, "items": [item("10.0.0.1:7", 0), item("10.0.0.2:7", 1)]})
            .to_string(),
        json!({"what": "PEERS_KNOWN", "who": who, "ref": 3, "mode": "disk", "index": 1}).to_string(),
    ]
}

/// Returns the lines of a query with two parts, which have the ids 11 and 12.
fn query(who: u32) -> Vec<String> {
    let line = |id: u32, range: i32, amount: f64| {
        json!({"what": "QUERY", "who": who, "id": id, "lane": "lookup", "customer": "one", "route_key": null,
               "expires_in": 2000000, "expected": null, "query": 1, "range_no": range, "amount": amount,
               "repeat": false, "update": false})
        .to_string()
    };
    vec![line(4000000000, -1, 2.0), line(11, 0, 0.5), line(12, 1, 0.5)]
}

fn actions_of_kind<'a>(actions: &'a [Value], what: &str) -> Vec<&'a Value> {
    actions.iter().filter(|action| action["what"] == what).collect()
}

#[test]
fn empty_batches_get_empty_replies_and_end_of_input_exits_with_success() {
    let output = run(&(batch(5, &[]) + &batch(6, &[])));
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), "{\"what\":\"NEXT\"}\n{\"what\":\"NEXT\"}\n");
}

#[test]
fn a_query_is_attempted_and_answered() {
    let output = run(&(batch(1000, &start_instance(4)) + &batch(6000, &query(4))));
    let actions = replies(&output).remove(1);
    let attempt = actions_of_kind(&actions, "ATTEMPT")[0].clone();
    assert_eq!(
        actions_of_kind(&actions, "ATTEMPT").len(),
        1,
        "a complete answer needs half of the two parts: {actions:?}"
    );
    assert!(["10.0.0.1:7", "10.0.0.2:7"].contains(&attempt["server"].as_str().expect("a string")));
    let closed = json!({"what": "CLOSED_ATTEMPT", "who": 4, "id": attempt["id"], "try": 0,
                        "server": attempt["server"], "state_code": "ok", "lag": 90000, "settled": true,
                        "telemetry": {"unknown_key": 1.0}})
    .to_string();
    let text = batch(1000, &start_instance(4)) + &batch(6000, &query(4)) + &batch(96000, &[closed]);
    let last = replies(&run(&text)).remove(2);
    let answer = actions_of_kind(&last, "SETTLE_QUERY");
    assert_eq!(answer, [&json!({"what": "SETTLE_QUERY", "who": 4, "id": 4000000000u32, "full": true})]);
}

#[test]
fn an_unknown_outcome_counts_as_an_error_and_is_retried() {
    let closed = |part: u32| {
        json!({"what": "CLOSED_ATTEMPT", "who": 4, "id": part, "try": 0, "server": "10.0.0.1:7",
               "state_code": "unknown_outcome", "lag": 90000, "settled": false, "telemetry": null})
        .to_string()
    };
    let text =
        batch(1000, &start_instance(4)) + &batch(6000, &query(4)) + &batch(96000, &[closed(11), closed(12)]);
    let last = replies(&run(&text)).remove(2);
    assert!(actions_of_kind(&last, "SETTLE_QUERY").is_empty());
    assert_eq!(actions_of_kind(&last, "ATTEMPT").len(), 1, "the query is not retried exactly once: {last:?}");
}

#[test]
fn a_replica_in_an_unknown_lifecycle_state_gets_no_attempts() {
    let mut lines = start_instance(4);
    lines[1] = lines[1].replace("\"lifecycle\":\"on\"", "\"lifecycle\":\"unknown_state\"");
    let actions = replies(&run(&(batch(1000, &lines) + &batch(6000, &query(4))))).remove(1);
    assert!(actions_of_kind(&actions, "ATTEMPT").is_empty(), "{actions:?}");
}

#[test]
fn a_list_of_an_unknown_mode_counts_as_a_failed_poll() {
    let mut lines = start_instance(4);
    lines[2] = lines[2].replace("\"disk\"", "\"unknown_mode\"");
    let actions = replies(&run(&(batch(1000, &lines) + &batch(6000, &query(4))))).remove(1);
    assert!(actions_of_kind(&actions, "ATTEMPT").is_empty());
}

#[test]
fn tables_are_resolved_in_the_order_of_events() {
    let mut lines = start_instance(4);
    let empty = json!({"what": "TABLE", "ref": 3, "items": []}).to_string();
    // Replaces table 3 after the endpoint list that refers to it.
    lines.push(empty);
    let actions = replies(&run(&(batch(1000, &lines) + &batch(6000, &query(4))))).remove(1);
    assert_eq!(actions_of_kind(&actions, "ATTEMPT").len(), 1);
}

#[test]
fn an_instance_stopped_and_started_in_one_batch_starts_empty() {
    let mut second = vec![json!({"what": "POWER_OFF", "who": 4}).to_string()];
    second.extend(start_instance(4));
    // Cancels a query of the stopped instance, which the new one doesn't know.
    second.push(json!({"what": "CANCELLED_BY_CLIENT", "who": 4, "id": 4000000000u32}).to_string());
    second.extend(query(4));
    let text = batch(1000, &start_instance(4)) + &batch(6000, &query(4)) + &batch(9000, &second);
    let last = replies(&run(&text)).remove(2);
    assert_eq!(actions_of_kind(&last, "ATTEMPT").len(), 1);
}

#[test]
fn only_instances_with_events_act_and_each_on_its_own_events() {
    let mut lines = start_instance(4);
    lines.extend(start_instance(9));
    let all = replies(&run(&(batch(1000, &lines) + &batch(6000, &query(9)))));
    assert!(all[1].iter().all(|action| action["who"] == 9));
    assert_eq!(actions_of_kind(&all[1], "ATTEMPT").len(), 1);
}

#[test]
fn unknown_events_and_events_of_unknown_instances_are_skipped() {
    let ignored = vec![
        json!({"what": "UNKNOWN_EVENT", "who": 4, "key": "value"}).to_string(),
        json!({"what": "MEMO", "who": 4, "src": 2, "blob": "aGkgNw=="}).to_string(),
        json!({"what": "RING", "who": 77, "mark": "wake"}).to_string(),
    ];
    let output = run(&(batch(1000, &start_instance(4)) + &batch(6000, &ignored)));
    assert!(output.status.success());
    assert_eq!(replies(&output).len(), 2);
}

#[test]
fn a_batch_of_several_megabytes_is_processed() {
    let mut lines = start_instance(4);
    let filler = "x".repeat(200);
    lines.extend((0..30_000).map(|n| json!({"what": "NOISE", "who": 4, "n": n, "fill": filler}).to_string()));
    let output = run(&batch(1000, &lines));
    assert!(output.status.success());
    assert_eq!(replies(&output).len(), 1);
}

#[test]
fn a_malformed_line_exits_with_one_message_naming_line_and_field() {
    let missing = r#"{"what":"CLOSED_ATTEMPT","who":4,"id":11,"server":"s","state_code":"ok","lag":3}"#;
    let cases = [
        ("this is no JSON", "line 5: invalid JSON"),
        (missing, "line 5: field 'try' is missing"),
        (r#"{"who":4}"#, "line 5: field 'what' is missing"),
        (
            r#"{"what":"CANCELLED_BY_CLIENT","who":4,"id":"x"}"#,
            "line 5: field 'id' is not a non-negative integer",
        ),
        (r#"{"what":"CANCELLED_BY_CLIENT","who":4,"id":99999999999}"#, "line 5: field 'id' is out of range"),
        (
            r#"{"what":"PEERS_KNOWN","who":4,"ref":9,"mode":"diff","index":2}"#,
            "line 5: field 'ref' refers to unknown table 9",
        ),
    ];
    for (line, message) in cases {
        let mut lines = start_instance(4);
        lines.push(line.to_owned());
        let output = run(&batch(1000, &lines));
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{line}");
        assert!(errors.contains(message), "{line}: {errors}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
    }
}
