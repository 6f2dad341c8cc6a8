//! Front nodes seen from outside: their health as a load balancer sees it, and a steady load that checks each query for
//! exactly one final answer.

use crate::clients::query;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Pause between two health checks of a front node that is ready.
const CHECK_INTERVAL_READY: Duration = Duration::from_millis(15);
/// Pause between two health checks of one that is not.
const CHECK_INTERVAL_AWAY: Duration = Duration::from_millis(120);
/// Longest wait for a connection, and for bytes, of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);
/// The same of a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Microseconds of the wall clock since 1970.
pub fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// A health check as a load balancer sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    Ready,
    /// The connection is refused, or the answer is a status of 503.
    Away,
}

/// The outcome of one query.
#[derive(Debug, Clone)]
pub struct QueryRecord {
    /// When it was begun, by the wall clock.
    pub started_at_us: u64,
    /// From the begin of its connection to the end, in microseconds.
    pub duration_us: u64,
    /// The status of its answer; 0: none came.
    pub status: u16,
    /// Bytes that came after its answer.
    pub excess_bytes: usize,
    /// The front node that it was sent to, by its place in the list.
    pub node: usize,
}

#[derive(Default)]
struct Shared {
    ready: Vec<bool>,
    /// When each front node changed between ready and away.
    changes: Vec<(u64, usize, Health)>,
    queries: Vec<QueryRecord>,
    /// Rounds in which no front node was ready.
    nowhere: u64,
}

/// Health checks of all front nodes, and clients that send to those that are ready, until stopped.
pub struct Load {
    shared: Arc<Mutex<Shared>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// What came on a connection until its end.
struct Response {
    /// The status; 0 where no complete answer came.
    status: u16,
    /// Bytes after the answer.
    excess_bytes: usize,
}

/// One query to one front node: the status of its answer, 0 if none came.
pub fn query_once(address: SocketAddr) -> u16 {
    request(address, &closing_query("all"), QUERY_TIMEOUT).map_or(0, |response| response.status)
}

/// Sends a request and reads to the end of the connection, so that whatever follows the answer is seen; none where the
/// connection does not come up.
fn request(address: SocketAddr, text: &str, timeout: Duration) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut bytes = Vec::new();
    if stream.write_all(text.as_bytes()).is_ok() {
        // What has come before an error counts.
        let _ = stream.read_to_end(&mut bytes);
    }
    Some(parse_response(&String::from_utf8_lossy(&bytes)))
}

fn parse_response(text: &str) -> Response {
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or(("", ""));
    let length = head.lines().find_map(content_length).unwrap_or(0);
    if body.len() < length {
        return Response { status: 0, excess_bytes: 0 };
    }
    Response { status, excess_bytes: body.len() - length }
}

fn content_length(line: &str) -> Option<usize> {
    line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok()
}

fn probe(address: SocketAddr) -> Option<Health> {
    let text = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    match request(address, text, HEALTH_TIMEOUT).map(|response| response.status) {
        Some(200) => Some(Health::Ready),
        Some(503) | None => Some(Health::Away),
        // No answer in time: a slow machine, not a statement of the front node.
        Some(_) => None,
    }
}

/// One thread of a load.
struct Worker {
    shared: Arc<Mutex<Shared>>,
    stop: Arc<AtomicBool>,
}

impl Worker {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no panic")
    }

    /// Checks the health of one front node until stopped.
    fn check_health(&self, node: usize, address: SocketAddr) {
        while !self.is_stopped() {
            if let Some(health) = probe(address) {
                self.shared().record_health(node, health);
            }
            // A draining front node waits for its last client connection: it is checked less often.
            let ready = self.shared().ready[node];
            std::thread::sleep(if ready { CHECK_INTERVAL_READY } else { CHECK_INTERVAL_AWAY });
        }
    }

    /// Sends one query after another until stopped, in turn to the front nodes that are ready.
    fn send_queries(&self, nodes: &[SocketAddr], client: usize, pause: Duration) {
        let mut turn = client;
        while !self.is_stopped() {
            std::thread::sleep(pause);
            turn += 1;
            let Some(node) = self.choose_node(turn) else {
                self.shared().nowhere += 1;
                continue;
            };
            let class = if turn.is_multiple_of(2) { "any" } else { "all" };
            // A connection that does not come up carried no query: the balancer goes on to another.
            if let Some(record) = send_recorded(nodes[node], node, class) {
                self.shared().queries.push(record);
            }
        }
    }

    fn choose_node(&self, turn: usize) -> Option<usize> {
        let shared = self.shared();
        let ready: Vec<usize> = (0..shared.ready.len()).filter(|node| shared.ready[*node]).collect();
        ready.get(turn % ready.len().max(1)).copied()
    }
}

impl Shared {
    fn record_health(&mut self, node: usize, health: Health) {
        let ready = health == Health::Ready;
        if self.ready[node] != ready {
            self.ready[node] = ready;
            self.changes.push((wall_us(), node, health));
        }
    }
}

/// Sends a query of a class to a front node; none where the connection does not come up.
fn send_recorded(address: SocketAddr, node: usize, class: &str) -> Option<QueryRecord> {
    let text = closing_query(class);
    let at_us = wall_us();
    let begun = Instant::now();
    let response = request(address, &text, QUERY_TIMEOUT)?;
    let took_us = begun.elapsed().as_micros() as u64;
    Some(QueryRecord {
        started_at_us: at_us,
        duration_us: took_us,
        status: response.status,
        excess_bytes: response.excess_bytes,
        node,
    })
}

/// A query of a class for three shards that asks for the connection's close after the answer.
fn closing_query(class: &str) -> String {
    query(class, &[0, 1, 2], 2_000).1.replacen("\r\n", "\r\nConnection: close\r\n", 1)
}

impl Load {
    /// Starts health checks of every front node and this many clients that send one query after another, with a pause
    /// before each.
    pub fn start(nodes: &[SocketAddr], clients: usize, pause: Duration) -> Load {
        let shared = Shared { ready: vec![false; nodes.len()], ..Shared::default() };
        let shared = Arc::new(Mutex::new(shared));
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for (node, &address) in nodes.iter().enumerate() {
            let worker = Worker { shared: shared.clone(), stop: stop.clone() };
            threads.push(std::thread::spawn(move || worker.check_health(node, address)));
        }
        for client in 0..clients {
            let worker = Worker { shared: shared.clone(), stop: stop.clone() };
            let nodes = nodes.to_vec();
            threads.push(std::thread::spawn(move || worker.send_queries(&nodes, client, pause)));
        }
        Load { shared, stop, threads }
    }

    /// How many front nodes are ready now.
    pub fn ready_count(&self) -> usize {
        self.shared.lock().expect("no panic").ready.iter().filter(|r| **r).count()
    }

    /// Whether a front node is ready now.
    pub fn is_ready(&self, node: usize) -> bool {
        self.shared.lock().expect("no panic").ready[node]
    }

    /// All queries sent so far.
    pub fn queries(&self) -> Vec<QueryRecord> {
        self.shared.lock().expect("no panic").queries.clone()
    }

    /// Rounds in which no front node was ready.
    pub fn rounds_without_ready_node(&self) -> u64 {
        self.shared.lock().expect("no panic").nowhere
    }

    /// When how many front nodes were ready, from a moment on.
    pub fn ready_counts(&self, from_us: u64) -> Vec<(u64, usize)> {
        let shared = self.shared.lock().expect("no panic");
        let mut ready = BTreeSet::new();
        let mut counts = Vec::new();
        for (at, node, health) in &shared.changes {
            match health {
                Health::Ready => ready.insert(*node),
                Health::Away => ready.remove(node),
            };
            if *at >= from_us {
                counts.push((*at, ready.len()));
            }
        }
        counts
    }

    /// Most front nodes away at once since `from_us`, at which all were ready.
    pub fn most_unready(&self, from_us: u64) -> usize {
        let shared = self.shared.lock().expect("no panic");
        let mut away = BTreeSet::new();
        let mut most = 0;
        for (at, node, health) in &shared.changes {
            match health {
                Health::Ready => away.remove(node),
                Health::Away => away.insert(*node),
            };
            if *at >= from_us {
                most = most.max(away.len());
            }
        }
        most
    }

    /// Ends the load; everything asked was answered or not by then.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The 99th percentile of the time that queries begun in a span took, in milliseconds.
pub fn p99_ms(asked: &[QueryRecord], from_us: u64, to_us: u64) -> f64 {
    let mut took: Vec<u64> =
        asked.iter().filter(|a| (from_us..to_us).contains(&a.started_at_us)).map(|a| a.duration_us).collect();
    took.sort_unstable();
    took.get(took.len().saturating_sub(1) * 99 / 100).map_or(0.0, |us| *us as f64 / 1_000.0)
}
