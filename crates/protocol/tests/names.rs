//! Tests of the names file: names that differ from the defaults are used when encoding and decoding, and
//! errors contain the key of the invalid entry.

use pinetrestle_protocol::connection::{ConnectionState, OutgoingPart};
use pinetrestle_protocol::endpoint_list::{encode_watch_request, Status};
use pinetrestle_protocol::frames::{part_id, PartOutcome};
use pinetrestle_protocol::names::WireNames;
use pinetrestle_protocol::query::{encode_answer_body, parse_query_body};
use pinetrestle_protocol::watch::{WatchDecoder, WatchEvent};
use serde_json::{json, Value};
use std::rc::Rc;

/// Returns a names file that overrides most of the defaults.
fn custom_names_file() -> Value {
    json!({
        "family": "fanout", "proto": "http", "deadline_form": "ms", "class_in": "both", "discovery": "stream",
        "h": {"id": "Trip-Id", "class": "Trip-Kind", "load": "unused"},
        "paths": {"ready": "/ready", "list": "/directory"},
        "q": {"after": "from", "watch": "stream"},
        "f": {"version": "n", "full": "all", "list": "machines", "id": "machine", "addr": "socket", "cell": "unit",
              "state": "mode", "weight": "power", "started": "up_since"},
        "states": {"ready": "in", "draining": "closing", "gone": "out"},
        "fan": {"parts": "legs", "shard": "leg", "weight": "part", "hint": "us", "text": "ask", "whole": "complete",
                "hits": "found", "value": "answer", "second": ".b", "frames": "QGPHRZ", "little": true,
                "ends": ["ok", "err", "no"]},
    })
}

#[test]
fn names_missing_from_the_file_keep_their_defaults() {
    assert_eq!(WireNames::read(&json!({})), Ok(WireNames::default()));
    let names = WireNames::read(&custom_names_file()).expect("valid names");
    assert_eq!(
        (names.header_names.id.as_str(), names.header_names.tenant.as_str()),
        ("Trip-Id", "X-Customer")
    );
    assert_eq!((names.paths.ready.as_str(), names.paths.stats.as_str()), ("/ready", "/stats"));
}

#[test]
fn errors_contain_the_key_of_the_invalid_entry() {
    for (group, key, value, expected_key) in [
        ("h", "id", json!("two words"), "h.id"),
        ("h", "id", json!(7), "h.id"),
        ("q", "after", json!(""), "q.after"),
        ("fan", "frames", json!("12"), "fan.frames"),
        ("fan", "little", json!("no"), "fan.little"),
        ("fan", "ends", json!(["S", "E"]), "fan.ends"),
    ] {
        let mut file = custom_names_file();
        file[group][key] = value;
        assert_eq!(WireNames::read(&file).expect_err("a fault").key, expected_key);
    }
    for (key, value) in [
        ("h", json!(3)),
        ("proto", json!("grpc")),
        ("deadline_form", json!("s")),
        ("class_in", json!("path")),
        ("discovery", json!("poll")),
    ] {
        let mut file = custom_names_file();
        file[key] = value;
        assert_eq!(WireNames::read(&file).expect_err("a fault").key, key);
    }
    assert!(WireNames::read(&json!([])).is_err());
}

#[test]
fn queries_answers_lists_and_frames_use_the_names_of_the_file() {
    let names = Rc::new(WireNames::read(&custom_names_file()).expect("valid names"));
    let body = br#"{"legs":[{"leg":3,"part":0.5,"us":9},{"leg":4,"part":0.5}],"ask":"c4"}"#;
    let query = parse_query_body(body, &names.body_keys, 9).expect("a query");
    assert_eq!((query.parts.len(), query.text.as_str()), (2, "c4"));
    assert!(
        parse_query_body(body, &WireNames::default().body_keys, 9).is_err(),
        "the default names are not accepted"
    );
    let answer = encode_answer_body(&names.body_keys, true, [(3, "v\"")].into_iter());
    let answer: Value = serde_json::from_slice(&answer).expect("JSON");
    assert_eq!(answer, json!({"complete": true, "found": [{"leg": 3, "answer": "v\""}]}));

    let request = String::from_utf8(encode_watch_request(&names, "d:1", 4)).expect("text");
    assert!(request.starts_with("GET /directory?stream=1&from=4 HTTP/1.1\r\n"), "{request}");
    let mut watch = WatchDecoder::new(names.clone());
    watch.feed(b"HTTP/1.1 200 OK\r\n\r\n");
    watch.feed(br#"{"n":5,"all":false,"machines":[{"machine":"m","socket":"127.0.0.1:1","unit":2,"mode":"closing","power":2,"up_since":7}]}"#);
    let Ok(Some(WatchEvent::Update(update))) = watch.next_event() else { panic!("no update") };
    let entry = &update.entries[0];
    assert_eq!((update.version, entry.status, entry.cell, entry.start_time_ms), (5, Status::Draining, 2, 7));

    let mut connection = ConnectionState::new(Rc::new(names.frame_format.clone()));
    let id = part_id("q", 3, Some(&names.body_keys.second_step));
    assert_eq!(id, "q.3.b");
    connection.queue_call(
        0,
        vec![OutgoingPart {
            attempt_id: 1,
            query_key: 1,
            id,
            shard: 3,
            attributes: String::new(),
            text: "c4".into(),
            deadline_us: 5000,
            start_before_us: None,
            not_before_us: 0,
        }],
    );
    let mut slices = Vec::new();
    connection.pending_slices(u64::MAX, &mut slices, 8);
    let written: Vec<u8> = slices.iter().flat_map(|slice| slice.to_vec()).collect();
    assert_eq!(written, [&17u32.to_le_bytes()[..], b"Qq.3.b 3 d=5 2\nc4"].concat());
    connection.on_written(written.len(), |_| {});
    let answer = b"Rq.3.b ok 7 -\nvalue";
    connection.feed(&[&(answer.len() as u32).to_le_bytes()[..], answer].concat());
    let answered = connection.next_answer(|_| {}).expect("a frame").expect("an answer");
    assert_eq!((answered.outcome, answered.value.as_str()), (PartOutcome::Served, "value"));
}
