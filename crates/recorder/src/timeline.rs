//! The timeline of a query: selects the records that belong to it and formats them as text.

use crate::record::{EventKind, QueryKey, Record};
use std::collections::{BTreeSet, HashMap};
use std::fmt::Write;

/// Selects the records for the timeline of a query.
///
/// These are the records of the query and its parts, and of events around them: changes of state, at any
/// time, of the connections that the parts were sent on; reads from these connections during the query; and
/// pauses of the process during the query.
pub fn records_for_query(records: &[Record], query: QueryKey) -> Vec<Record> {
    let is_own = |record: &Record| record.query == query;
    let connections: BTreeSet<u32> = records
        .iter()
        .filter(|record| is_own(record) && record.connection > 0)
        .map(|record| record.connection)
        .collect();
    let first_at_us = records.iter().find(|record| is_own(record)).map_or(0, |record| record.at_us);
    let last_at_us = records.iter().rev().find(|record| is_own(record)).map_or(0, |record| record.at_us);
    let is_related = |record: &Record| {
        let is_during_query = (first_at_us..=last_at_us).contains(&record.at_us);
        let is_of_connection = connections.contains(&record.connection);
        match record.kind {
            EventKind::ProcessPaused => is_during_query,
            EventKind::BytesRead => is_of_connection && is_during_query,
            kind => is_of_connection && is_connection_state_change(kind),
        }
    };
    records.iter().filter(|record| is_own(record) || is_related(record)).copied().collect()
}

/// Returns whether an event is a change of the state of a connection.
fn is_connection_state_change(kind: EventKind) -> bool {
    matches!(
        kind,
        EventKind::ConnectionOpening
            | EventKind::ConnectionUp
            | EventKind::ConnectionDraining
            | EventKind::ConnectionClosed
    )
}

/// Returns whether an event belongs to a part, so that its record has a shard number.
fn is_part_event(kind: EventKind) -> bool {
    matches!(
        kind,
        EventKind::AttemptDecided
            | EventKind::PartQueued
            | EventKind::NoConnection
            | EventKind::FirstByteWritten
            | EventKind::LastByteWritten
            | EventKind::AttemptCancelled
            | EventKind::CancelWritten
            | EventKind::AnswerRead
    )
}

/// Labels for the detail of [`EventKind::AnswerRead`], indexed by the detail.
const ANSWER_LABELS: [&str; 4] = ["served", "error", "rejected", "too late"];
/// Labels for the detail of [`EventKind::ReplyDecided`], indexed by the detail.
const REPLY_LABELS: [&str; 3] = ["served", "rejected", "failed"];

/// Formats a record without its time.
pub fn describe(record: &Record) -> String {
    let mut text = record.kind.label().to_owned();
    if is_part_event(record.kind) {
        let second_step = if record.is_second_step() { " (second step)" } else { "" };
        text.push_str(&format!("  shard {}{second_step}", record.shard_number()));
    }
    if record.connection > 0 {
        text.push_str(&format!("  connection {}", record.connection));
    }
    let details = describe_details(record);
    if !details.is_empty() {
        text.push_str("  ");
        text.push_str(&details);
    }
    text
}

/// Formats the value and the detail of a record. Returns an empty string if the event kind uses neither.
fn describe_details(record: &Record) -> String {
    let Record { value, detail, .. } = *record;
    let label = |labels: &[&str]| labels.get(usize::from(detail)).map_or("", |label| *label).to_owned();
    match record.kind {
        EventKind::RequestRead => format!("aged {value} us"),
        EventKind::QueryAccepted => format!("{value} parts"),
        EventKind::AttemptDecided
        | EventKind::PartQueued
        | EventKind::NoConnection
        | EventKind::ConnectionOpening => {
            format!("replica {value}")
        }
        EventKind::LastByteWritten => format!("one of {value} in its frame"),
        EventKind::AttemptCancelled if detail == 1 => "dequeued unwritten".to_owned(),
        EventKind::AnswerRead => label(&ANSWER_LABELS),
        EventKind::ReplyDecided => label(&REPLY_LABELS),
        EventKind::ReplyWritten | EventKind::ReplyNotWritten => format!("status {value}"),
        EventKind::BytesRead => format!("{value} bytes"),
        EventKind::ConnectionDraining if detail == 1 => "nothing was read from it".to_owned(),
        EventKind::ConnectionClosed => format!("{value} parts in flight"),
        EventKind::InvariantViolated => format!("number {detail}"),
        EventKind::ProcessPaused => format!("{value} us"),
        _ => String::new(),
    }
}

/// Formats a timeline, one line per record. A line has the time since the recorder was created in seconds,
/// the time since the first record of the query in milliseconds, and the description of the record.
pub fn render(records: &[Record], query: QueryKey) -> String {
    let query_start_us = records.iter().find(|record| record.query == query).map_or(0, |record| record.at_us);
    let mut text = String::new();
    for record in records {
        let since_query_ms = (record.at_us as f64 - query_start_us as f64) / 1000.0;
        let since_start_s = record.at_us as f64 / 1e6;
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "{since_start_s:12.6} s {since_query_ms:+11.3} ms  {}", describe(record));
    }
    text
}

/// The number of records of a query, and the time of the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuerySummary {
    /// The key of the query.
    pub query: QueryKey,
    /// Time of the first record of the query, in microseconds since the recorder was created.
    pub first_at_us: u64,
    /// Number of records of the query.
    pub records: usize,
}

/// Summarizes all queries that have records, in the order of their first records.
pub fn summarize_queries(records: &[Record]) -> Vec<QuerySummary> {
    let mut index_of: HashMap<QueryKey, usize> = HashMap::new();
    let mut summaries: Vec<QuerySummary> = Vec::new();
    for record in records.iter().filter(|record| record.query != 0) {
        let index = *index_of.entry(record.query).or_insert_with(|| {
            summaries.push(QuerySummary { query: record.query, first_at_us: record.at_us, records: 0 });
            summaries.len() - 1
        });
        summaries[index].records += 1;
    }
    summaries
}
