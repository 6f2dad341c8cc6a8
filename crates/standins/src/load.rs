//! A load balancer in front of several front nodes, with its clients: it checks the health of each front node
//! and sends a steady load of queries to those that are ready. Its records show whether each query got
//! exactly one answer.

use crate::clients::query;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Pause between two health checks of a front node that is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Pause between two health checks of a front node that is not ready.
const UNREADY_CHECK_INTERVAL: Duration = Duration::from_millis(120);
/// Connect timeout and read timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);
/// Connect timeout and read timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Result of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    Ready,
    /// No connection is established, or the status is 503.
    Unready,
}

/// The outcome of one query.
#[derive(Debug, Clone)]
pub struct QueryRecord {
    /// When the query was begun: wall-clock time in microseconds since the Unix epoch.
    pub started_at_us: u64,
    /// Microseconds from the start of the query's connection to its end.
    pub duration_us: u64,
    /// HTTP status of the answer; 0 if no complete answer was received.
    pub status: u16,
    /// Number of bytes received after the answer.
    pub excess_bytes: usize,
    /// Index of the front node that the query was sent to, in the list given to [`Load::start`].
    pub node: usize,
}

#[derive(Default)]
struct Shared {
    /// Whether each front node is ready.
    ready: Vec<bool>,
    /// Changes of health: wall-clock time in microseconds, index of the front node, its new health.
    changes: Vec<(u64, usize, Health)>,
    queries: Vec<QueryRecord>,
    /// How many times a client sent no query because no front node was ready.
    rounds_without_ready_node: u64,
}

/// A running load: health checks of all front nodes, and clients that send queries to those that are ready.
/// It ends when stopped or dropped.
pub struct Load {
    shared: Arc<Mutex<Shared>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// What was received on a connection until it ended.
struct Response {
    /// HTTP status; 0 if no complete answer was received.
    status: u16,
    /// Number of bytes after the answer.
    excess_bytes: usize,
}

/// Sends a query to a front node; returns the HTTP status, or 0 if no complete answer was received.
pub fn query_once(address: SocketAddr) -> u16 {
    request(address, &closing_query("all"), QUERY_TIMEOUT).map_or(0, |response| response.status)
}

/// Sends a request and reads until the connection ends, so that bytes after the answer are detected. Returns
/// `None` if no connection is established.
fn request(address: SocketAddr, text: &str, timeout: Duration) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut bytes = Vec::new();
    if stream.write_all(text.as_bytes()).is_ok() {
        // Bytes received before an error are kept and parsed.
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

/// Checks the health of a front node; returns `None` if the result is unknown.
fn check_health(address: SocketAddr) -> Option<Health> {
    let text = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    match request(address, text, HEALTH_TIMEOUT).map(|response| response.status) {
        Some(200) => Some(Health::Ready),
        Some(503) | None => Some(Health::Unready),
        // No answer within the timeout, as on a busy machine, says nothing about the front node's readiness.
        Some(_) => None,
    }
}

/// State of one thread of a load.
struct Worker {
    shared: Arc<Mutex<Shared>>,
    stop: Arc<AtomicBool>,
}

impl Worker {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("lock not poisoned")
    }

    /// Checks the health of one front node until the load is stopped.
    fn run_health_checks(&self, node: usize, address: SocketAddr) {
        while !self.is_stopped() {
            if let Some(health) = check_health(address) {
                self.shared().record_health(node, health);
            }
            // A draining front node exits once its last client connection is closed; frequent checks would
            // delay that.
            let ready = self.shared().ready[node];
            std::thread::sleep(if ready { READY_CHECK_INTERVAL } else { UNREADY_CHECK_INTERVAL });
        }
    }

    /// Sends one query after another until the load is stopped, each to the next front node that is ready.
    fn send_queries(&self, nodes: &[SocketAddr], client: usize, pause: Duration) {
        let mut round = client;
        while !self.is_stopped() {
            std::thread::sleep(pause);
            round += 1;
            let Some(node) = self.choose_node(round) else {
                self.shared().rounds_without_ready_node += 1;
                continue;
            };
            let class = if round.is_multiple_of(2) { "any" } else { "all" };
            // Without an established connection no query was sent: a balancer would try another front node.
            if let Some(record) = send_recorded(nodes[node], node, class) {
                self.shared().queries.push(record);
            }
        }
    }

    /// Chooses a front node that is ready by round robin; returns `None` if no front node is ready.
    fn choose_node(&self, round: usize) -> Option<usize> {
        let shared = self.shared();
        let ready: Vec<usize> = (0..shared.ready.len()).filter(|node| shared.ready[*node]).collect();
        ready.get(round % ready.len().max(1)).copied()
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

/// Sends a query to a front node and records its outcome; returns `None` if no connection is established.
fn send_recorded(address: SocketAddr, node: usize, class: &str) -> Option<QueryRecord> {
    let text = closing_query(class);
    let started_at_us = wall_us();
    let start = Instant::now();
    let Response { status, excess_bytes } = request(address, &text, QUERY_TIMEOUT)?;
    let duration_us = start.elapsed().as_micros() as u64;
    Some(QueryRecord { started_at_us, duration_us, status, excess_bytes, node })
}

/// Returns the request of a query for three shards; it asks the front node to close the connection after the
/// answer.
fn closing_query(class: &str) -> String {
    query(class, &[0, 1, 2], 2_000).text.replacen("\r\n", "\r\nConnection: close\r\n", 1)
}

impl Load {
    /// Starts health checks of all front nodes and `clients` clients, each of which sends one query after
    /// another with a pause before each.
    pub fn start(nodes: &[SocketAddr], clients: usize, pause: Duration) -> Load {
        let shared = Shared { ready: vec![false; nodes.len()], ..Shared::default() };
        let shared = Arc::new(Mutex::new(shared));
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for (node, &address) in nodes.iter().enumerate() {
            let worker = Worker { shared: shared.clone(), stop: stop.clone() };
            threads.push(std::thread::spawn(move || worker.run_health_checks(node, address)));
        }
        for client in 0..clients {
            let worker = Worker { shared: shared.clone(), stop: stop.clone() };
            let nodes = nodes.to_vec();
            threads.push(std::thread::spawn(move || worker.send_queries(&nodes, client, pause)));
        }
        Load { shared, stop, threads }
    }

    /// Returns the number of front nodes that are ready.
    pub fn ready_count(&self) -> usize {
        self.shared.lock().expect("lock not poisoned").ready.iter().filter(|is_ready| **is_ready).count()
    }

    /// Returns true if the front node with this index is ready.
    pub fn is_ready(&self, node: usize) -> bool {
        self.shared.lock().expect("lock not poisoned").ready[node]
    }

    /// Returns the records of the queries that have ended so far.
    pub fn queries(&self) -> Vec<QueryRecord> {
        self.shared.lock().expect("lock not poisoned").queries.clone()
    }

    /// Returns how many times a client sent no query because no front node was ready.
    pub fn rounds_without_ready_node(&self) -> u64 {
        self.shared.lock().expect("lock not poisoned").rounds_without_ready_node
    }

    /// Returns the number of ready front nodes after each change since `from_us`, with the time of the
    /// change. Times are wall-clock microseconds since the Unix epoch.
    pub fn ready_counts(&self, from_us: u64) -> Vec<(u64, usize)> {
        let shared = self.shared.lock().expect("lock not poisoned");
        let mut ready = BTreeSet::new();
        let mut counts = Vec::new();
        for (at, node, health) in &shared.changes {
            match health {
                Health::Ready => ready.insert(*node),
                Health::Unready => ready.remove(node),
            };
            if *at >= from_us {
                counts.push((*at, ready.len()));
            }
        }
        counts
    }

    /// Returns the largest number of front nodes that were not ready at the same time since `from_us`, a
    /// wall-clock time in microseconds since the Unix epoch. All front nodes must be ready at `from_us`. A
    /// front node that was never ready isn't counted.
    pub fn max_unready(&self, from_us: u64) -> usize {
        let shared = self.shared.lock().expect("lock not poisoned");
        let mut unready = BTreeSet::new();
        let mut max_unready = 0;
        for (at, node, health) in &shared.changes {
            match health {
                Health::Ready => unready.remove(node),
                Health::Unready => unready.insert(*node),
            };
            if *at >= from_us {
                max_unready = max_unready.max(unready.len());
            }
        }
        max_unready
    }

    /// Stops the load and waits for its threads; no query is in flight afterwards.
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

/// Returns the 99th percentile of the durations, in milliseconds, of queries begun from `from_us` until
/// before `to_us`; 0 if there are none.
pub fn p99_ms(queries: &[QueryRecord], from_us: u64, to_us: u64) -> f64 {
    let mut durations: Vec<u64> = queries
        .iter()
        .filter(|query| (from_us..to_us).contains(&query.started_at_us))
        .map(|query| query.duration_us)
        .collect();
    durations.sort_unstable();
    durations.get(durations.len().saturating_sub(1) * 99 / 100).map_or(0.0, |us| *us as f64 / 1_000.0)
}
