//! One query's life, in words.

use crate::record::{Key, Record, Step};
use std::collections::BTreeSet;
use std::fmt::Write;

/// The records of a query's life: its own, and those of the connections that carried its parts, from when they
/// were begun on.
pub fn of_query(records: &[Record], query: Key) -> Vec<Record> {
    let mine = |record: &Record| record.query == query;
    let conns: BTreeSet<u32> =
        records.iter().filter(|record| mine(record) && record.conn > 0).map(|record| record.conn).collect();
    let first = records.iter().find(|record| mine(record)).map_or(0, |record| record.at);
    let last = records.iter().rev().find(|record| mine(record)).map_or(0, |record| record.at);
    let beside = |record: &Record| {
        let whole = matches!(record.step, Step::Connecting | Step::Up | Step::Shut | Step::Ended);
        let heard = record.step == Step::BytesRead && (first..=last).contains(&record.at);
        let pause = record.step == Step::Paused && (first..=last).contains(&record.at);
        (conns.contains(&record.conn) && (whole || heard)) || pause
    };
    records.iter().filter(|record| mine(record) || beside(record)).copied().collect()
}

/// What a record says, without its moment.
pub fn words(record: &Record) -> String {
    let mut line = record.step.word().to_owned();
    let (shard, second) = record.shard();
    let of_part = matches!(
        record.step,
        Step::Decided
            | Step::InLine
            | Step::NoConnection
            | Step::FirstByte
            | Step::LastByte
            | Step::Cancelled
            | Step::CancelWritten
            | Step::Heard
    );
    // Writing to a string does not fail.
    if of_part {
        let _ = write!(line, "  shard {shard}{}", if second { " (second step)" } else { "" });
    }
    if record.conn > 0 {
        let _ = write!(line, "  connection {}", record.conn);
    }
    let told = match record.step {
        Step::Read => format!("aged {} us", record.number),
        Step::Taken => format!("{} parts", record.number),
        Step::Decided | Step::InLine | Step::NoConnection | Step::Connecting => {
            format!("replica {}", record.number)
        }
        Step::LastByte => format!("one of {} in its frame", record.number),
        Step::Cancelled if record.detail == 1 => "taken back unwritten".to_owned(),
        Step::Heard => ["served", "error", "turned away", "too late"]
            .get(usize::from(record.detail))
            .map_or(String::new(), |word| (*word).to_owned()),
        Step::Reply => ["served", "refused", "failed"]
            .get(usize::from(record.detail))
            .map_or(String::new(), |word| (*word).to_owned()),
        Step::ReplyWritten | Step::ReplyFailed => format!("status {}", record.number),
        Step::BytesRead => format!("{} bytes", record.number),
        Step::Shut if record.detail == 1 => "nothing was heard on it".to_owned(),
        Step::Ended => format!("{} parts out", record.number),
        Step::Broken => format!("number {}", record.detail),
        Step::Paused => format!("{} us", record.number),
        _ => String::new(),
    };
    if !told.is_empty() {
        let _ = write!(line, "  {told}");
    }
    line
}

/// Prints records, their moments in milliseconds from the first step of the query.
pub fn print(records: &[Record], query: Key) -> String {
    let start = records.iter().find(|record| record.query == query).map_or(0, |record| record.at);
    let mut text = String::new();
    for record in records {
        let from = (record.at as f64 - start as f64) / 1000.0;
        let at = record.at as f64 / 1e6;
        // Writing to a string does not fail.
        let _ = writeln!(text, "{at:12.6} s {from:+11.3} ms  {}", words(record));
    }
    text
}

/// The queries that have a record, by their first one.
pub fn queries(records: &[Record]) -> Vec<(Key, u64, usize)> {
    let mut seen: std::collections::HashMap<Key, usize> = std::collections::HashMap::new();
    let mut all: Vec<(Key, u64, usize)> = Vec::new();
    for record in records.iter().filter(|record| record.query != 0) {
        let place = *seen.entry(record.query).or_insert_with(|| {
            all.push((record.query, record.at, 0));
            all.len() - 1
        });
        all[place].2 += 1;
    }
    all
}
