//! Tests of the watch decoder: any split of the bytes gives the same events, and responses that are not a
//! valid watch give typed errors.

mod common;

use common::{byte_splits, RandomNumbers};
use pinetrestle_protocol::endpoint_list::{
    encode_watch_request, parse_list_update, EndpointEntry, EndpointListError, InvalidField, ListUpdate,
    Status,
};
use pinetrestle_protocol::head::HttpError;
use pinetrestle_protocol::names::WireNames;
use pinetrestle_protocol::watch::{WatchDecoder, WatchError, WatchEvent};

const ENTRY: &str = r#"{"name":"s-1","address":"127.0.0.1:8081","zone":"a","type":"m2","group":3,"status":"draining","weight":1.5,"since_ms":1700000000123}"#;

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Decodes a response. Returns its events, and either whether the body is complete or the error.
fn read(pieces: &[Vec<u8>]) -> (Vec<WatchEvent>, Result<bool, WatchError>) {
    let mut watch = WatchDecoder::default();
    let mut events = Vec::new();
    for piece in pieces {
        watch.feed(piece);
        loop {
            match watch.next_event() {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(error) => return (events, Err(error)),
            }
        }
    }
    (events, Ok(watch.is_complete()))
}

/// Decodes many splits of `text` and asserts that the result does not depend on the split.
fn read_in_many_splits(text: &str) -> (Vec<WatchEvent>, Result<bool, WatchError>) {
    let mut splits = byte_splits(text.as_bytes()).into_iter();
    let first = read(&splits.next().expect("the unsplit bytes"));
    for split in splits {
        assert_eq!(read(&split), first, "for {split:?}");
    }
    first
}

fn update(version: u64, complete: bool, entries: Vec<EndpointEntry>) -> WatchEvent {
    WatchEvent::Update(ListUpdate { version, complete, entries })
}

#[test]
fn events_do_not_depend_on_chunks_and_reads() {
    let entry = EndpointEntry {
        name: "s-1".into(),
        address: "127.0.0.1:8081".into(),
        cell: 3,
        status: Status::Draining,
        weight: 1.5,
        start_time_ms: 1_700_000_000_123,
    };
    let first = format!("{{\"index\":41,\"snapshot\":true,\"endpoints\":[\n{ENTRY}]}}\n").replace("[\n", "[");
    let (first_chunk, second_chunk) = first.split_at(30);
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}{}{}{}0\r\n\r\n",
        chunk(first_chunk),
        chunk(second_chunk),
        chunk("\r\n"),
        chunk("{\"index\":42,\"snapshot\":false,\"endpoints\":[]}\n\n"),
    );
    let expected = vec![
        update(41, true, vec![entry]),
        WatchEvent::KeepAlive,
        update(42, false, Vec::new()),
        WatchEvent::KeepAlive,
    ];
    assert_eq!(read_in_many_splits(&text), (expected, Ok(true)));
}

#[test]
fn body_of_known_length_may_lack_the_last_line_feed() {
    let body = "{\"index\":7,\"snapshot\":true,\"endpoints\":[]}";
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    assert_eq!(read_in_many_splits(&text), (vec![update(7, true, Vec::new())], Ok(true)));
}

#[test]
fn line_feeds_inside_an_indented_list_are_not_keep_alives() {
    let ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let value: serde_json::Value = serde_json::from_str(&format!(
        "{{\"index\":3,\"snapshot\":true,\"endpoints\":[{}]}}",
        ENTRY.replace("s-1", "s{\\\"}\\n{")
    ))
    .expect("JSON");
    let pretty = serde_json::to_string_pretty(&value).expect("JSON");
    assert!(pretty.lines().count() > 10);
    for eol in ["\n", "\r\n"] {
        let text = pretty.replace('\n', &format!("\n{eol}"));
        let body = format!("{text}{eol}{eol}{{\"index\":4,\"snapshot\":false,\n\"endpoints\":[]\n}}{eol}");
        let (events, end) = read_in_many_splits(&format!("{ok}{}", chunk(&body)));
        assert_eq!(end, Ok(false));
        assert_eq!(events.len(), 3, "{events:?}");
        let WatchEvent::Update(first) = &events[0] else { panic!("{events:?}") };
        assert_eq!((first.version, first.entries[0].name.as_str()), (3, "s{\"}\n{"));
        assert_eq!(events[1..], [WatchEvent::KeepAlive, update(4, false, Vec::new())]);
    }
}

#[test]
fn indented_list_of_the_largest_fleet_is_accepted_and_an_unterminated_one_rejected() {
    /// Number of index servers in the largest fleet.
    const MAX_SERVERS: usize = 3_200;
    let entry: serde_json::Value = serde_json::from_str(ENTRY).expect("JSON");
    let entries: Vec<serde_json::Value> = (0..MAX_SERVERS)
        .map(|number| {
            let mut entry = entry.clone();
            entry["name"] = format!("query-fleet-pool-{number:08x}").into();
            entry
        })
        .collect();
    let list = serde_json::json!({"index": 7, "snapshot": true, "endpoints": entries});
    let text = serde_json::to_string_pretty(&list).expect("JSON");
    let ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    // The list arrives as chunks of the chunked coding, and is read 16 KiB at a time.
    let response = format!("{ok}{}{}", chunk(&text), chunk("\n"));
    let pieces: Vec<Vec<u8>> = response.as_bytes().chunks(16 * 1024).map(<[u8]>::to_vec).collect();
    let (events, end) = read(&pieces);
    assert_eq!(end, Ok(false), "{} bytes", text.len());
    let [WatchEvent::Update(update)] = &events[..] else { panic!("{} events", events.len()) };
    assert_eq!(update.entries.len(), MAX_SERVERS);
    // A list without an end is rejected when it reaches the size limit.
    let unterminated =
        vec![chunk(&format!("{{\"index\":7,\"endpoints\":[{}", " ".repeat(64 * 1024))).into_bytes(); 100];
    let pieces: Vec<Vec<u8>> = std::iter::once(ok.as_bytes().to_vec()).chain(unterminated).collect();
    assert_eq!(read(&pieces).1, Err(WatchError::Http(HttpError::BodyTooLong)));
}

#[test]
fn list_is_delivered_when_its_closing_brace_is_received_and_not_before() {
    let ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let list = "{\"index\":7,\"snapshot\":true,\"endpoints\":[]}";
    let (without_closing_brace, _) = list.split_at(list.len() - 1);
    assert_eq!(
        read_in_many_splits(&format!("{ok}{}", chunk(list))),
        (vec![update(7, true, Vec::new())], Ok(false))
    );
    assert_eq!(
        read_in_many_splits(&format!("{ok}{}", chunk(without_closing_brace))),
        (Vec::new(), Ok(false))
    );
    // Text after the list on the same line is not a valid list, so the watch fails.
    let (events, end) = read_in_many_splits(&format!("{ok}{}", chunk(&format!("{list} and more\n"))));
    assert_eq!((events.len(), end), (1, Err(WatchError::EndpointList(EndpointListError::NotJson))));
}

#[test]
fn failed_watches_give_typed_errors() {
    let ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        ("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(), WatchError::Status(503)),
        ("SSH-2.0-x\r\n\r\n".to_owned(), WatchError::Http(HttpError::BadStartLine)),
        ("RTSP/1.0 200 OK\r\n\r\n".to_owned(), WatchError::Http(HttpError::BadVersion)),
        (format!("{ok}zz\r\n"), WatchError::Http(HttpError::BadChunkedCoding)),
        (format!("{ok}{}", chunk("no list\n")), WatchError::EndpointList(EndpointListError::NotJson)),
    ];
    for (text, expected) in cases {
        assert_eq!(read_in_many_splits(&text), (Vec::new(), Err(expected)), "for {text}");
    }
    let mut watch = WatchDecoder::default();
    watch.feed(b"HTTP/1.1 200 OK\r\n\r\n");
    watch.feed(&vec![b'a'; 4 * 1024 * 1024]);
    assert_eq!(watch.next_event(), Ok(None));
    watch.feed(b"aa");
    assert_eq!(watch.next_event(), Err(WatchError::Http(HttpError::BodyTooLong)));
}

#[test]
fn errors_contain_the_key_of_the_missing_or_invalid_field() {
    let line = |entry: &str| format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{entry}]}}");
    assert!(parse_list_update(line(ENTRY).as_bytes(), &WireNames::default()).is_ok());
    for (from, to, key) in [
        ("\"name\":\"s-1\",", "", "name"),
        ("127.0.0.1:8081", "", "address"),
        ("\"group\":3", "\"group\":-3", "group"),
        ("draining", "asleep", "status"),
        ("1.5", "\"heavy\"", "weight"),
        ("1700000000123", "-5", "since_ms"),
    ] {
        assert_eq!(
            parse_list_update(line(&ENTRY.replace(from, to)).as_bytes(), &WireNames::default()),
            Err(EndpointListError::InvalidField(InvalidField { key: key.into() })),
            "with {from} replaced by {to:?}"
        );
    }
    for (text, key) in [
        ("{\"snapshot\":true,\"endpoints\":[]}", "index"),
        ("{\"index\":1,\"endpoints\":[]}", "snapshot"),
        ("{\"index\":1,\"snapshot\":true}", "endpoints"),
    ] {
        assert_eq!(
            parse_list_update(text.as_bytes(), &WireNames::default()),
            Err(EndpointListError::InvalidField(InvalidField { key: key.into() }))
        );
    }
    let removed = parse_list_update(
        line("{\"name\":\"s-1\",\"status\":\"removed\"}").as_bytes(),
        &WireNames::default(),
    )
    .expect("a removed endpoint needs only a name and a status");
    assert_eq!(removed.entries[0].status, Status::Removed);
}

#[test]
fn mutated_responses_never_panic_in_any_split() {
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk("{\"index\":1}\n\n"));
    let mut numbers = RandomNumbers(11);
    for _ in 0..400 {
        let mut bytes = text.clone().into_bytes();
        let at = numbers.below(bytes.len());
        bytes[at] = numbers.below(256) as u8;
        let single: Vec<Vec<u8>> = bytes.chunks(1).map(<[u8]>::to_vec).collect();
        assert_eq!(read(&single), read(&[bytes]));
    }
}

#[test]
fn watch_request_contains_the_known_version() {
    let request =
        String::from_utf8(encode_watch_request(&WireNames::default(), "127.0.0.1:8500", 41)).expect("text");
    assert!(
        request.starts_with("GET /registry/instances?watch=1&after=41 HTTP/1.1\r\nHost: 127.0.0.1:8500\r\n")
    );
    assert!(request.ends_with("\r\n\r\n"));
}
