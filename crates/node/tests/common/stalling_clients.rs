//! Clients that stop in the middle of a request, by hundreds, and come again as soon as they are closed.
#![allow(dead_code)] // each test file uses only some of these items

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Number of clients that one thread plays.
const CLIENTS_PER_THREAD: usize = 50;
/// Interval at which a thread looks after each of its clients.
const INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait of a write, so that a client ends although the front node does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// Where the clients stop.
#[derive(Clone, Debug)]
pub struct StallingRequest {
    /// The bytes that a client sends at once.
    pub beginning: Vec<u8>,
    /// Whether a client goes on with one byte each [`INTERVAL`].
    pub goes_on_slowly: bool,
}

impl StallingRequest {
    /// Returns a request that stops after `sent` bytes of a body of `announced` bytes.
    pub fn with_body(announced: usize, sent: usize) -> StallingRequest {
        let head = format!(
            "POST /all HTTP/1.1\r\nHost: app.svc\r\nX-Qos: all\r\nX-Customer: north\r\n\
             X-Expires-In-Ms: 800\r\nContent-Length: {announced}\r\n\r\n"
        );
        let beginning = [head.into_bytes(), vec![b' '; sent]].concat();
        StallingRequest { beginning, goes_on_slowly: false }
    }

    /// Returns a request that stops after `bytes` bytes of a head with very short fields.
    pub fn with_short_fields(bytes: usize) -> StallingRequest {
        let fields = b"a:\r\n".repeat(bytes / 4);
        StallingRequest {
            beginning: [b"POST /all HTTP/1.1\r\n", &fields[..]].concat(),
            goes_on_slowly: false,
        }
    }

    /// Returns the same request, continued with single bytes.
    pub fn going_on_slowly(self) -> StallingRequest {
        StallingRequest { goes_on_slowly: true, ..self }
    }
}

/// The running clients.
pub struct StallingClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<usize>>,
}

impl StallingClients {
    /// Starts `count` clients, rounded up to a multiple of [`CLIENTS_PER_THREAD`].
    pub fn start(address: SocketAddr, count: usize, request: &StallingRequest) -> StallingClients {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count.div_ceil(CLIENTS_PER_THREAD))
            .map(|_| {
                let (stop, request) = (stop.clone(), request.clone());
                thread::spawn(move || play_clients(address, &stop, &request))
            })
            .collect();
        StallingClients { stop, threads }
    }

    /// Ends the clients. Returns how often one of them was closed by the front node.
    pub fn stop(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().map(|thread| thread.join().expect("the clients end")).sum()
    }
}

fn play_clients(address: SocketAddr, stop: &AtomicBool, request: &StallingRequest) -> usize {
    let mut clients: Vec<Option<TcpStream>> = (0..CLIENTS_PER_THREAD).map(|_| None).collect();
    let mut closed = 0;
    while !stop.load(Ordering::Relaxed) {
        for client in &mut clients {
            let Some(stream) = client else {
                *client = begin_request(address, request);
                continue;
            };
            if has_ended(stream, request) {
                closed += 1;
                *client = None;
            }
        }
        thread::sleep(INTERVAL);
    }
    closed
}

/// Connects and sends the beginning of a request. Returns `None` if the front node does not accept it.
fn begin_request(address: SocketAddr, request: &StallingRequest) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, WRITE_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    stream.write_all(&request.beginning).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

/// Reads what the front node has sent, and goes on with the request. Returns whether the connection has ended.
fn has_ended(stream: &mut TcpStream, request: &StallingRequest) -> bool {
    let mut buffer = [0; 1024];
    match stream.read(&mut buffer) {
        Ok(0) => return true,
        Err(error) if error.kind() != ErrorKind::WouldBlock => return true,
        _ => {}
    }
    request.goes_on_slowly
        && matches!(stream.write(b" "), Err(error) if error.kind() != ErrorKind::WouldBlock)
}
