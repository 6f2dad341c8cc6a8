//! The parts of a call as an index server has read them.

use std::time::{Duration, Instant};

/// A part as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedPart {
    /// Its id.
    pub id: String,
    /// Its shard.
    pub shard: u32,
    /// Its list of settings (`d=500,k=...`), as it stands in the part's line.
    pub attributes: String,
    /// The text it carries.
    pub text: String,
    /// When it was read.
    pub read_at: Instant,
}

impl ReceivedPart {
    /// The time that the front node states as left for the part.
    ///
    /// # Panics
    /// Where its list does not begin with that time.
    pub fn time_left(&self) -> Duration {
        let milliseconds = self.attributes.strip_prefix("d=").and_then(|list| list.split(',').next());
        Duration::from_millis(milliseconds.expect("a time left").parse().expect("milliseconds"))
    }
}

/// Parses the parts of a call: for each a line of id, shard, list and length, then so many bytes of text.
pub(crate) fn parse_parts(mut rest: &[u8]) -> Vec<ReceivedPart> {
    let at = Instant::now();
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let line_end = rest.iter().position(|byte| *byte == b'\n').expect("a line");
        let line = std::str::from_utf8(&rest[..line_end]).expect("text");
        let fields: Vec<&str> = line.split(' ').collect();
        assert_eq!(fields.len(), 4, "{line}");
        let length: usize = fields[3].parse().expect("a length");
        let text_end = line_end + 1 + length;
        let text = &rest[line_end + 1..text_end];
        parts.push(ReceivedPart {
            id: fields[0].into(),
            shard: fields[1].parse().expect("a shard"),
            attributes: fields[2].into(),
            text: String::from_utf8(text.to_vec()).expect("text"),
            read_at: at,
        });
        rest = &rest[text_end..];
    }
    parts
}
