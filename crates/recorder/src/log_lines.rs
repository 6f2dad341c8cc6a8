//! Encoding of records as text lines that can be mixed with the lines of a log.
//!
//! A line consists of [`LINE_MARKER`] followed by one or more complete records in base64 without padding.
//! Text before the marker and after the base64 is ignored when decoding, so that a log file can be decoded
//! unmodified.

use crate::record::{Record, RECORD_BYTES};
use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;

/// The text that precedes the records of a line.
pub const LINE_MARKER: &str = "flight=";
/// The maximum number of records to encode on one line; [`decode_lines`] accepts any number.
pub const RECORDS_PER_LINE: usize = 96;

/// Encodes records as a line without the line feed.
pub fn encode_line(records: &[Record]) -> String {
    let bytes: Vec<u8> = records.iter().flat_map(Record::to_bytes).collect();
    format!("{LINE_MARKER}{}", STANDARD_NO_PAD.encode(bytes))
}

/// The records that were decoded from a text, and what could not be decoded.
#[derive(Debug, Default, PartialEq)]
pub struct DecodedLines {
    /// The records ordered by time. A record that was written out several times is included once.
    pub records: Vec<Record>,
    /// Numbers (from 1) of the lines that have a marker but could not be decoded.
    pub unreadable_lines: Vec<usize>,
    /// Number of records whose event kind is unknown to this version.
    pub unknown_kinds: u64,
}

/// Decodes the records of all lines that have a [`LINE_MARKER`].
pub fn decode_lines<'a>(lines: impl Iterator<Item = &'a str>) -> DecodedLines {
    let mut decoded = DecodedLines::default();
    for (index, line) in lines.enumerate() {
        let Some((_, rest)) = line.split_once(LINE_MARKER) else { continue };
        let encoded = rest.split_whitespace().next().unwrap_or_default();
        match STANDARD_NO_PAD.decode(encoded) {
            Ok(bytes) if bytes.len() % RECORD_BYTES == 0 => decoded.decode_records(&bytes),
            _ => decoded.unreadable_lines.push(index + 1),
        }
    }
    decoded.sort_and_deduplicate();
    decoded
}

impl DecodedLines {
    fn decode_records(&mut self, bytes: &[u8]) {
        for record_bytes in bytes.chunks_exact(RECORD_BYTES) {
            match record_bytes.first_chunk().and_then(Record::from_bytes) {
                Some(record) => self.records.push(record),
                None => self.unknown_kinds += 1,
            }
        }
    }

    /// Sorts the records by time and removes duplicates, which occur when the ring buffer was written out
    /// several times. Records of the same microsecond keep their order.
    fn sort_and_deduplicate(&mut self) {
        self.records.sort_by_key(|record| record.at_us);
        let mut unique: Vec<Record> = Vec::with_capacity(self.records.len());
        // Index in `unique` of the first record of the current microsecond.
        let mut microsecond_start = 0;
        for record in self.records.drain(..) {
            if unique.get(microsecond_start).is_none_or(|first: &Record| first.at_us != record.at_us) {
                microsecond_start = unique.len();
            }
            if !unique[microsecond_start..].contains(&record) {
                unique.push(record);
            }
        }
        self.records = unique;
    }
}
