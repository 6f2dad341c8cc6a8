//! Records as lines of text that can stand among the lines of a log.
//!
//! A line holds the word [`MARK`] and then, in base64, whole records. Whatever stands before the mark or after
//! the records is passed over, so that a log is read as it is.

use crate::record::{Record, BYTES};
use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;

/// What the records of a line follow.
pub const MARK: &str = "flight=";
/// Records of one line.
pub const PER_LINE: usize = 96;

/// One line, without its end.
pub fn line(records: &[Record]) -> String {
    let bytes: Vec<u8> = records.iter().flat_map(Record::to_bytes).collect();
    format!("{MARK}{}", STANDARD_NO_PAD.encode(bytes))
}

/// What was read from a text.
#[derive(Debug, Default, PartialEq)]
pub struct Found {
    /// The records, in their order of time; one written out twice is there once.
    pub records: Vec<Record>,
    /// Lines with a mark that could not be read, by their numbers from 1.
    pub unreadable: Vec<usize>,
    /// Records of steps that are not known here.
    pub unknown: u64,
}

/// Reads the records from lines that hold some.
pub fn read<'a>(lines: impl Iterator<Item = &'a str>) -> Found {
    let mut found = Found::default();
    for (number, line) in lines.enumerate() {
        let Some((_, rest)) = line.split_once(MARK) else { continue };
        let word = rest.split_whitespace().next().unwrap_or_default();
        match STANDARD_NO_PAD.decode(word) {
            Ok(bytes) if bytes.len() % BYTES == 0 => {
                for bytes in bytes.chunks_exact(BYTES) {
                    match bytes.first_chunk().and_then(Record::from_bytes) {
                        Some(record) => found.records.push(record),
                        None => found.unknown += 1,
                    }
                }
            }
            _ => found.unreadable.push(number + 1),
        }
    }
    // The ring may have been written out several times; within one moment its order stays.
    found.records.sort_by_key(|record| record.at);
    let mut kept: Vec<Record> = Vec::with_capacity(found.records.len());
    let mut moment = 0;
    for record in found.records.drain(..) {
        if kept.get(moment).is_none_or(|first: &Record| first.at != record.at) {
            moment = kept.len();
        }
        if !kept[moment..].contains(&record) {
            kept.push(record);
        }
    }
    found.records = kept;
    found
}
