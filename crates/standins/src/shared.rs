//! Functions and constants used by several stand-ins and by tests: waiting for a condition, HTTP heads,
//! frames, list entries.

use serde_json::{json, Value};
use std::io::BufRead;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a condition, a read or the exit of a process.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Type of a frame with a call, as the first byte of its body.
pub(crate) const CALL_FRAME: u8 = b'1';
/// Type of a frame that cancels a part.
pub(crate) const CANCEL_FRAME: u8 = b'2';
/// Type of a frame with the answer to a part.
pub(crate) const ANSWER_FRAME: u8 = b'5';

/// Polls a condition until it holds.
///
/// # Panics
/// If the condition doesn't hold within [`WAIT_LIMIT`]; the message contains `what`.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Reads the head of an HTTP message and returns its lines; returns `None` if the stream ends or fails before
/// the empty line that terminates the head.
pub(crate) fn read_head(stream: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            return Some(lines);
        }
        lines.push(line);
    }
}

/// Returns an endpoint list entry for an index server that is up.
pub fn entry(name: &str, address: &str, cell: u32) -> Value {
    json!({"name": name, "address": address, "zone": "a", "type": "m", "group": cell, "status": "up",
           "weight": 1.0, "since_ms": 0})
}

/// Encodes a frame: the length of its body in 4 bytes, big-endian, then the body. The body is the letter of
/// the frame's type and the content.
pub(crate) fn frame(letter: u8, content: &[u8]) -> Vec<u8> {
    let mut bytes = (content.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(content);
    bytes
}
