//! The flight recorder of a front node process: its operator file, when the ring buffer is written to the
//! log, and which events it contains.

use pinetrestle_recorder::{log_lines, query_key, timeline, EventKind, Record};
use pinetrestle_standins::{
    config_json, endpoint_list, entries, entry, eventually, query, Client, Discovery, FrontNode, Query,
    Server, ServerBehavior,
};
use std::io::Write;
use std::process::Command;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

/// A running front node with a flight recorder, a discovery service and three index servers.
struct Fixture {
    servers: Vec<Server>,
    front_node: FrontNode,
    _discovery: Discovery,
    _file: tempfile::TempPath,
}

/// Writes an operator file with this text; the file is removed when the path is dropped.
fn operator_file(text: &str) -> tempfile::TempPath {
    let mut file = tempfile::Builder::new().suffix(".json5").tempfile().expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    file.into_temp_path()
}

impl Fixture {
    /// Starts a front node whose flight recorder is configured by an operator file with this text.
    fn new(recorder: &str) -> Fixture {
        let servers: Vec<Server> = (0..3).map(|_| Server::start(ServerBehavior::Serving)).collect();
        let discovery = Discovery::start(entries(&servers));
        let config = config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(0, &[]));
        let file = operator_file(recorder);
        let front_node = FrontNode::start_ready(&format!("{NODE} --recorder {}", file.display()), &config);
        Fixture { servers, front_node, _discovery: discovery, _file: file }
    }

    /// Returns the records that the log contains.
    fn records(&self) -> Vec<Record> {
        log_lines::decode_lines(self.front_node.log_lines().iter().map(String::as_str)).records
    }

    /// Returns whether records have been written to the log at this occasion: `signal` or `exit`.
    fn written(&self, at: &str) -> bool {
        self.front_node.count_log_lines(&["flight records written", &format!("at={at}")]) > 0
    }
}

/// Returns the kinds of the events that were recorded for a query, in order.
fn events_of_query(records: &[Record], id: &str) -> Vec<EventKind> {
    records.iter().filter(|record| record.query == query_key(id)).map(|record| record.kind).collect()
}

#[test]
fn sigusr1_writes_every_event_of_each_query_to_the_log() {
    let fixture = Fixture::new("{ records: 4096 }");
    let Query { id, text } = query("all", &[0, 1], 2000);
    assert_eq!(Client::connect(fixture.front_node.address).send(&text).status, 200);
    fixture.front_node.signal("-USR1");
    eventually("the records are written", || fixture.written("signal"));
    let records = fixture.records();
    let events = events_of_query(&records, &id);
    let count = |kind| events.iter().filter(|event| **event == kind).count();
    let per_part = [
        EventKind::AttemptDecided,
        EventKind::PartQueued,
        EventKind::FirstByteWritten,
        EventKind::LastByteWritten,
        EventKind::AnswerRead,
    ];
    assert_eq!(per_part.map(count), [2; 5], "{events:?}");
    let per_query =
        [EventKind::RequestRead, EventKind::QueryAccepted, EventKind::ReplyDecided, EventKind::ReplyWritten];
    assert_eq!(per_query.map(count), [1; 4], "{events:?}");
    assert_eq!(
        (events.first(), events.last()),
        (Some(&EventKind::RequestRead), Some(&EventKind::ReplyWritten))
    );
    let timeline = timeline::render(&timeline::records_for_query(&records, query_key(&id)), query_key(&id));
    assert!(
        timeline.contains("reply written  status 200") && timeline.contains("connection up"),
        "{timeline}"
    );
}

#[test]
fn a_client_disconnect_and_the_cancelled_attempts_are_recorded() {
    let fixture = Fixture::new("{ records: 4096 }");
    fixture.servers.iter().for_each(|server| server.set_behavior(ServerBehavior::Silent));
    let Query { id, text } = query("all", &[0, 1, 2], 2000);
    let mut client = Client::connect(fixture.front_node.address);
    client.write(text.as_bytes());
    eventually("the parts are sent", || fixture.servers.iter().all(|server| server.received().len() == 1));
    drop(client);
    eventually("the attempts are cancelled", || {
        fixture.servers.iter().all(|server| server.cancelled_parts().len() == 1)
    });
    fixture.front_node.signal("-USR1");
    eventually("the records are written", || fixture.written("signal"));
    let events = events_of_query(&fixture.records(), &id);
    let count = |kind| events.iter().filter(|event| **event == kind).count();
    assert_eq!(
        [EventKind::ClientDisconnected, EventKind::AttemptCancelled, EventKind::CancelWritten].map(count),
        [1, 3, 3],
        "{events:?}"
    );
    assert_eq!(count(EventKind::ReplyWritten), 0);
}

#[test]
fn records_are_written_periodically_and_at_exit_if_configured() {
    let mut fixture = Fixture::new("{ records: 64, at_exit: true, follow_ms: 50 }");
    let mut client = Client::connect(fixture.front_node.address);
    let ids: Vec<String> = (0..20)
        .map(|_| {
            let Query { id, text } = query("all", &[0], 2000);
            assert_eq!(client.send(&text).status, 200);
            // The queries make more records than the ring holds; each is written to the log before it is
            // overwritten.
            std::thread::sleep(std::time::Duration::from_millis(70));
            id
        })
        .collect();
    fixture.front_node.terminate();
    assert_eq!(fixture.front_node.wait_for_exit(), Some(0));
    eventually("the records at exit are written", || fixture.written("exit"));
    let records = fixture.records();
    for id in &ids {
        assert_eq!(events_of_query(&records, id).last(), Some(&EventKind::ReplyWritten), "{id}");
    }
}

#[test]
fn without_a_recorder_sigusr1_has_no_effect() {
    let server = Server::start(ServerBehavior::Serving);
    let discovery = Discovery::start(vec![entry("s0", &server.address.to_string(), 0)]);
    let config = config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(0, &[]));
    let mut front_node = FrontNode::start_ready(NODE, &config);
    front_node.signal("-USR1");
    assert_eq!(front_node.get("/health/live").0, 200);
    assert!(front_node.is_running());
    assert_eq!(front_node.count_log_lines(&["flight"]), 0);
}

#[test]
fn an_invalid_operator_file_ends_the_program_with_an_error_that_names_the_fix() {
    let config = config_json("127.0.0.1:0", "127.0.0.1:1", &endpoint_list(0, &[]));
    let config_file = operator_file(&config.to_string());
    for (text, expected) in [
        ("{\n  recrods: 10,\n}", ":2: "),
        ("{\n  recrods: 10,\n}", "write `records`"),
        ("{\n  records: 'many',\n}", ":2: records"),
        ("{\n  records: 99999999,\n}", "write 2097152 or less"),
        ("{\n  records: 0,\n  at_exit: true }", "while other keys are set"),
        ("{\n  records: 10,\n  follow_ms: 3 }", ":3: follow_ms is 3"),
        ("{\n  records: 10\n  at_exit: true }", "put a comma"),
    ] {
        let file = operator_file(text);
        let mut command = Command::new(NODE);
        command.arg("--recorder").arg(&file).env("RELAY_CONFIG", &config_file);
        let output = command.output().expect("the program runs");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{errors}");
        assert!(
            errors.contains(&file.display().to_string()) && errors.contains(expected),
            "{text}: {errors}"
        );
    }
}
