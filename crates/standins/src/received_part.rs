//! The parts of a call as read by an index server.
//!
//! A call is one frame with one or more parts. Each part is a line of id, shard, attributes and length,
//! separated by spaces, followed by a text of that length in bytes.

use std::time::{Duration, Instant};

/// A part as read by an index server.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedPart {
    /// Id of the part: the query's id, a dot and the shard, and a suffix if the part belongs to a second
    /// step.
    pub id: String,
    /// Shard that the part queries.
    pub shard: u32,
    /// Attributes as written in the part's line: `d=500,k=...`. `d` is the time left in milliseconds.
    pub attributes: String,
    /// Payload of the part: the text that follows its line.
    pub text: String,
    /// When the part was read.
    pub read_at: Instant,
}

impl ReceivedPart {
    /// Returns the time left until the part's deadline, as stated by the front node.
    ///
    /// # Panics
    /// If the attributes don't begin with the time left.
    pub fn time_left(&self) -> Duration {
        let milliseconds = self.attributes.strip_prefix("d=").and_then(|rest| rest.split(',').next());
        Duration::from_millis(milliseconds.expect("a time left").parse().expect("milliseconds"))
    }
}

/// Parses the content of a call's frame.
///
/// # Panics
/// If the content is malformed.
pub(crate) fn parse_parts(mut rest: &[u8]) -> Vec<ReceivedPart> {
    let read_at = Instant::now();
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let line_end = rest.iter().position(|byte| *byte == b'\n').expect("a line end");
        let line = std::str::from_utf8(&rest[..line_end]).expect("a UTF-8 line");
        let fields: Vec<&str> = line.split(' ').collect();
        assert_eq!(fields.len(), 4, "{line}");
        let length: usize = fields[3].parse().expect("a length");
        let text_end = line_end + 1 + length;
        let text = &rest[line_end + 1..text_end];
        parts.push(ReceivedPart {
            id: fields[0].into(),
            shard: fields[1].parse().expect("a shard"),
            attributes: fields[2].into(),
            text: String::from_utf8(text.to_vec()).expect("a UTF-8 text"),
            read_at,
        });
        rest = &rest[text_end..];
    }
    parts
}
