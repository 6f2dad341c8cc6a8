//! Client side of a front node: queries as HTTP requests, a blocking connection, and the front node's
//! answers.

use crate::shared::{read_head, WAIT_LIMIT};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};

/// An HTTP response of a front node.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, keyed by their names in lower case.
    pub headers: HashMap<String, String>,
    /// Body of the response.
    pub body: String,
}

impl Answer {
    /// Parses the body as JSON.
    ///
    /// # Panics
    /// If the body is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("JSON")
    }
}

/// A client with one connection to a front node.
pub struct Client {
    /// The connection, with a buffer for reads.
    pub stream: BufReader<TcpStream>,
}

/// A query as a client sends it.
pub struct Query {
    /// The id of the query.
    pub id: String,
    /// The text of the HTTP request.
    pub text: String,
}

static NEXT_QUERY_ID: AtomicU64 = AtomicU64::new(1);

/// Builds a query with a new id, one part of equal weight per shard, and `expires_ms` milliseconds until its
/// deadline.
pub fn query(class: &str, shards: &[u32], expires_ms: u64) -> Query {
    let id = format!("{:016x}", NEXT_QUERY_ID.fetch_add(1, Ordering::Relaxed));
    let weight = 1.0 / shards.len() as f64;
    let parts: Vec<Value> = shards.iter().map(|shard| json!({"slice": shard, "mass": weight})).collect();
    let body = json!({"slices": parts, "filter": "c41e77d0"}).to_string();
    let text = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
         X-Customer: north\r\nX-Expires-In-Ms: {expires_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    Query { id, text }
}

impl Client {
    /// Connects to a front node; reads time out after [`WAIT_LIMIT`].
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("connect to the front node");
        stream.set_read_timeout(Some(WAIT_LIMIT)).expect("set the read timeout");
        Client { stream: BufReader::new(stream) }
    }

    /// Writes the bytes unchanged.
    ///
    /// # Panics
    /// If the bytes can't be written.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).expect("write to the front node");
    }

    /// Reads an answer; returns `None` if the connection ends or a read times out before the answer is
    /// complete.
    pub fn try_read(&mut self) -> Option<Answer> {
        let head = read_head(&mut self.stream)?;
        let status = head[0].split(' ').nth(1).and_then(|word| word.parse().ok()).expect("a status code");
        let headers: HashMap<String, String> = head[1..]
            .iter()
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
            .collect();
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).ok()?;
        Some(Answer { status, headers, body: String::from_utf8(body).expect("a UTF-8 body") })
    }

    /// Reads an answer.
    ///
    /// # Panics
    /// If the connection ends or a read times out before the answer is complete.
    pub fn read(&mut self) -> Answer {
        self.try_read().expect("a complete answer")
    }

    /// Writes a request and reads its answer.
    pub fn send(&mut self, text: &str) -> Answer {
        self.write(text.as_bytes());
        self.read()
    }

    /// Writes the bytes unchanged; returns false if the connection is closed or a write timeout expires.
    pub fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.stream.get_mut().write_all(bytes).is_ok()
    }

    /// Returns true if the connection has ended, and false if a byte can be read; that byte is lost. Any read
    /// error counts as the end of the connection, including the read timeout of [`WAIT_LIMIT`].
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        matches!(self.stream.read(&mut byte), Ok(0) | Err(_))
    }
}
