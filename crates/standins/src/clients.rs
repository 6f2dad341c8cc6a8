//! Clients: queries, a connection, and answers.

use crate::shared::{read_head, WAIT_LIMIT};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};

/// An answer of the front node.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its header fields by their names in lower case.
    pub headers: HashMap<String, String>,
    /// Its body.
    pub body: String,
}

impl Answer {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("JSON")
    }
}

/// A client with one connection.
pub struct Client {
    /// The connection.
    pub stream: BufReader<TcpStream>,
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A query with a fresh id.
pub fn query(class: &str, shards: &[u32], expires_ms: u64) -> (String, String) {
    let id = format!("{:016x}", IDS.fetch_add(1, Ordering::Relaxed));
    let mass = 1.0 / shards.len() as f64;
    let slices: Vec<Value> = shards.iter().map(|shard| json!({"slice": shard, "mass": mass})).collect();
    let body = json!({"slices": slices, "filter": "c41e77d0"}).to_string();
    let text = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Customer: north\r\n\
         X-Expires-In-Ms: {expires_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (id, text)
}

impl Client {
    /// Connects to a front node.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(WAIT_LIMIT)).expect("a time-out");
        Client { stream: BufReader::new(stream) }
    }

    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).expect("written");
    }

    /// Reads an answer; none where the connection ends before it.
    pub fn try_read(&mut self) -> Option<Answer> {
        let head = read_head(&mut self.stream)?;
        let status = head[0].split(' ').nth(1).and_then(|word| word.parse().ok()).expect("a status");
        let headers: HashMap<String, String> = head[1..]
            .iter()
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
            .collect();
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).ok()?;
        Some(Answer { status, headers, body: String::from_utf8(body).expect("text") })
    }

    /// Reads an answer.
    pub fn read(&mut self) -> Answer {
        self.try_read().expect("an answer")
    }

    /// Writes a request and reads its answer.
    pub fn send(&mut self, text: &str) -> Answer {
        self.write(text.as_bytes());
        self.read()
    }

    /// Writes bytes; false where the connection has ended or a write timeout passes.
    pub fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.stream.get_mut().write_all(bytes).is_ok()
    }

    /// Waits for a byte or the end of the connection; whether it is the end.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        matches!(self.stream.read(&mut byte), Ok(0) | Err(_))
    }
}
