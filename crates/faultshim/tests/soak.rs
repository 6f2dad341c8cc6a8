//! A soak test with real processes: several front nodes, six index servers, two discovery services, and
//! clients, some of which misbehave. System calls of each front node fail, and the wall clock of most has an
//! offset. Meanwhile up to three disruptions overlap: front nodes are stopped, killed and restarted, reloaded
//! or suspended; index servers hang, fail, close connections within a frame, or drain; discovery services
//! stop sending, refuse watches or send lists byte by byte.
//!
//! The test checks these rules: each request gets one final answer in time. In a class whose queries must not
//! be executed twice, no part that may have been executed is sent again. Nothing is sent to an index server
//! that drains, no part states more time than its client has left, and no part is sent after its client has
//! disconnected. Every process that is asked to shut down exits with code 0, the counters agree with one
//! another, and the counts of the processes' own invariant checks (`violations`) stay at zero.
//!
//! A longer run: `SOAK_SEEDS=20..40 SOAK_NODES=30 SOAK_SECONDS=20 cargo test -p pinetrestle-faultshim --test
//! soak`. The defaults are `1..3`, 8 and 6.

mod common;

use common::{ms, node_program, wall_ms, Faults};
use pinetrestle_standins::{
    config_json, endpoint_list, entries, log_field, query, Answer, Client, Discovery, DiscoveryBehavior,
    FrontNode, Query, Server, ServerBehavior, WatchFault,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time until an answer: the query's deadline of 2 s, another half second, and a tolerance for a busy
/// machine.
const ANSWER_LIMIT: Duration = Duration::from_millis(4000);
/// Time until the deadline of each query, in milliseconds.
const EXPIRES_MS: u64 = 2000;

/// Longest time between the write of a part and its read by the index server: a tolerance for a busy machine,
/// and for the time during which processes are suspended.
const READ_DELAY: Duration = Duration::from_millis(850);
/// Limit by which the deadline sent to an index server may exceed the client's, according to the agreed
/// service terms.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);
/// Longest time after a client's disconnect at which its part may still be sent, according to the agreed
/// service terms.
const DISCONNECT_TOLERANCE: Duration = Duration::from_millis(100);
/// Number of queries that a pipelining client sends before it reads the answers.
const PIPELINED_QUERIES: usize = 3;

/// A query from its client's point of view.
struct SentQuery {
    /// Time just before the query was written.
    sent_at: Instant,
    /// When the client had disconnected, if it did before the answer.
    disconnected_at: Option<Instant>,
}

/// A front node process with its faults.
struct FaultyNode {
    process: FrontNode,
    faults: Faults,
    /// Whether the process was killed (SIGKILL); queries in flight may be lost then.
    killed: Arc<AtomicBool>,
}

/// A client's connection to a front node.
struct Connection {
    /// Index of the front node.
    node: usize,
    client: Client,
    /// Whether the front node's process was killed.
    killed: Arc<AtomicBool>,
    /// Whether a query has been answered on the connection.
    has_answered: bool,
}

/// State of a soak run, shared by its threads.
struct Soak {
    servers: Vec<Server>,
    discoveries: [Discovery; 2],
    /// The current process of each front node.
    nodes: Vec<Mutex<FaultyNode>>,
    /// Tells the clients to stop.
    finished: AtomicBool,
    /// Number of queries whose answers were awaited.
    query_count: AtomicU64,
    /// Number of answers per status.
    statuses: Mutex<HashMap<u16, u64>>,
    /// Descriptions of the rule violations found.
    violations: Mutex<Vec<String>>,
    /// Number of faults injected into processes that have ended.
    fault_count: AtomicU64,
    /// All queries sent, by id.
    sent: Mutex<HashMap<String, SentQuery>>,
    /// Processes that were asked to shut down.
    terminating: Mutex<Vec<FaultyNode>>,
}

/// Returns the number in an environment variable, or the default.
fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns a random fault plan for a process. The rates are low, as on the machine of a single front node.
fn random_plan(random: &mut StdRng) -> String {
    let mut plan = vec![format!("seed={}", random.random_range(0..1_000_000))];
    for call in ["recv", "writev", "send", "epoll_wait"] {
        plan.push(format!("{call}=EINTR/{}", random.random_range(20..200)));
    }
    for call in ["recv", "writev", "send"] {
        plan.push(format!("{call}=short/{}", random.random_range(10..100)));
    }
    plan.push(format!("recv=ENOMEM/{}", random.random_range(100..400)));
    plan.push(format!("writev=ENOBUFS/{}", random.random_range(100..400)));
    let accept_errors = ["ECONNABORTED", "EPROTO", "EINTR", "ENFILE", "ENOBUFS"];
    plan.push(format!("accept4={}/{}", accept_errors[random.random_range(0..5)], random.random_range(5..50)));
    let connect_errors = ["EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EAGAIN"];
    // Connections are established late: parts are queued meanwhile, and disruptions hit the queued parts.
    for from in (500..20_000).step_by(700) {
        let from = from + random.random_range(0..400);
        plan.push(format!("connect={}/1/{from}/180", connect_errors[random.random_range(0..4)]));
    }
    plan.push(format!("socket=ENFILE/1/{}/60", random.random_range(500..4000)));
    let offset_ms = [0, 0, -3_600_000, -5_000, 5_000, 3_600_000][random.random_range(0..6)];
    plan.push(format!("realtime={offset_ms}/{}", random.random_range(0..3000)));
    plan.join(",")
}

impl Soak {
    /// Returns the configuration of a front node.
    fn config(&self, node: usize) -> Value {
        let known = endpoint_list(1, &entries(&self.servers));
        let discovery = self.discoveries[node % 2].address.to_string();
        let mut config = config_json("127.0.0.1:0", &discovery, &known);
        config["name"] = json!(format!("n{node}"));
        config["seed"] = json!(format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(node as u64 + 1)));
        config["settings"]["fleet_size"] = json!(self.nodes.len().max(1));
        config["settings"]["classes"][1]["effect"] = json!("fragile");
        config["settings"]["permissions"]["most_held"] = json!(400);
        config
    }

    /// Starts a process for a front node.
    fn start_node(&self, node: usize, random: &mut StdRng) -> FaultyNode {
        let faults = Faults::new(&random_plan(random));
        let recorder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/recorder.json5");
        let program = format!("{} --recorder {recorder}", node_program());
        let setup = faults.shell_setup();
        let process = FrontNode::start_with_shell_setup(&setup, &program, &self.config(node));
        FaultyNode { process, faults, killed: Arc::default() }
    }

    fn record_violation(&self, description: String) {
        self.violations.lock().expect("lock not poisoned").push(description);
    }

    /// Builds a query and records it as sent now.
    fn new_query(&self, class: &str) -> (String, String) {
        let Query { id, text } = query(class, &[0, 1, 2], EXPIRES_MS);
        if class == "all" {
            NOT_REPEATABLE.lock().expect("lock not poisoned").insert(id.clone());
        }
        self.sent
            .lock()
            .expect("lock not poisoned")
            .insert(id.clone(), SentQuery { sent_at: Instant::now(), disconnected_at: None });
        (id, text)
    }

    /// Runs a client: sends queries to random front nodes until the run is finished, and reuses connections
    /// at random.
    fn run_client(&self, mut random: StdRng) {
        let mut idle: Option<Connection> = None;
        while !self.finished.load(Ordering::Relaxed) {
            thread::sleep(ms(random.random_range(0..30)));
            let reused = idle.take().filter(|_| random.random_bool(0.7));
            let Some(connection) = reused.or_else(|| self.connect(&mut random)) else {
                continue;
            };
            let class = ["any", "all", "steps"][random.random_range(0..3)];
            if random.random_bool(0.1) {
                self.misbehave(connection, class, &mut random);
                continue;
            }
            let count = if random.random_bool(0.1) { PIPELINED_QUERIES } else { 1 };
            idle = self.exchange(connection, class, count);
        }
    }

    /// Sends `count` queries at once and reads their answers; returns the connection if all were answered.
    fn exchange(&self, mut connection: Connection, class: &str, count: usize) -> Option<Connection> {
        let queries: Vec<(String, String)> = (0..count).map(|_| self.new_query(class)).collect();
        let text: String = queries.iter().map(|(_, text)| text.as_str()).collect();
        let start = Instant::now();
        let written = connection.client.try_write(text.as_bytes());
        for (index, (id, _)) in queries.iter().enumerate() {
            self.query_count.fetch_add(1, Ordering::Relaxed);
            let answer = if written { connection.client.try_read() } else { None };
            let Some(answer) = answer else {
                // A front node may close an idle connection just when a request arrives; it hasn't read the
                // request then.
                let was_idle = connection.has_answered && index == 0;
                if !(was_idle || connection.killed.load(Ordering::Relaxed)) {
                    let (node, elapsed) = (connection.node, start.elapsed());
                    self.record_violation(format!(
                        "{id} at front node {node}, query {index} of its batch: no answer after {elapsed:?}"
                    ));
                }
                return None;
            };
            self.check_answer(id, connection.node, start.elapsed(), &answer);
        }
        connection.has_answered = true;
        Some(connection)
    }

    /// Counts an answer, and checks its time and status.
    fn check_answer(&self, id: &str, node: usize, elapsed: Duration, answer: &Answer) {
        *self.statuses.lock().expect("lock not poisoned").entry(answer.status).or_default() += 1;
        if elapsed > ANSWER_LIMIT {
            self.record_violation(format!("{id} at front node {node} was answered after {elapsed:?}"));
        }
        if !matches!(answer.status, 200 | 503 | 500) {
            self.record_violation(format!("{id} at front node {node}: {} {}", answer.status, answer.body));
        }
    }

    /// Connects to a random front node; returns `None` if no connection is established.
    fn connect(&self, random: &mut StdRng) -> Option<Connection> {
        let node = random.random_range(0..self.nodes.len());
        let (address, killed) = {
            let current = self.nodes[node].lock().expect("lock not poisoned");
            (current.process.address, current.killed.clone())
        };
        let stream = std::net::TcpStream::connect_timeout(&address, ms(500)).ok()?;
        stream.set_read_timeout(Some(ms(8000))).ok()?;
        let client = Client { stream: std::io::BufReader::new(stream) };
        Some(Connection { node, client, killed, has_answered: false })
    }

    /// Behaves as a faulty client: disconnects after a request, sends half a request, invalid bytes, the same
    /// request five times, or nothing; then closes the connection.
    fn misbehave(&self, connection: Connection, class: &str, random: &mut StdRng) {
        let mut client = connection.client;
        let (id, text) = self.new_query(class);
        match random.random_range(0..5) {
            0 => {
                client.try_write(text.as_bytes());
                thread::sleep(ms(random.random_range(0..20)));
                drop(client);
                if let Some(sent) = self.sent.lock().expect("lock not poisoned").get_mut(&id) {
                    sent.disconnected_at = Some(Instant::now());
                }
            }
            1 => drop(client.try_write(&text.as_bytes()[..text.len() / 2])),
            2 => drop(client.try_write(b"\x16\x03\x01 rubbish \r\n\r\n")),
            3 => drop(client.try_write(text.repeat(5).as_bytes())),
            _ => thread::sleep(ms(50)),
        }
    }

    /// Begins a random disruption; returns a function that ends it.
    fn begin_disruption<'a>(&'a self, random: &mut StdRng) -> Box<dyn FnOnce() + Send + 'a> {
        let node = random.random_range(0..self.nodes.len());
        let server = random.random_range(0..self.servers.len());
        let discovery = &self.discoveries[random.random_range(0..2)];
        match random.random_range(0..14) {
            0 | 1 => {
                let replacement = self.start_node(node, random);
                let old =
                    std::mem::replace(&mut *self.nodes[node].lock().expect("lock not poisoned"), replacement);
                old.process.terminate();
                self.terminating.lock().expect("lock not poisoned").push(old);
                Box::new(|| {})
            }
            2 => {
                let mut replacement = self.start_node(node, random);
                let mut current = self.nodes[node].lock().expect("lock not poisoned");
                current.killed.store(true, Ordering::Relaxed);
                self.fault_count.fetch_add(current.faults.count() as u64, Ordering::Relaxed);
                current.process.kill();
                std::mem::swap(&mut *current, &mut replacement);
                Box::new(|| {})
            }
            3 | 4 => {
                let mut config = self.config(node);
                config["discovery"] = json!(discovery.address.to_string());
                config["transport"] = json!({"client_idle_ms": random.random_range(300..3000)});
                let current = self.nodes[node].lock().expect("lock not poisoned");
                current.process.reload(Some(&config.to_string()));
                Box::new(|| {})
            }
            5 => {
                let current = self.nodes[node].lock().expect("lock not poisoned");
                current.process.pause();
                thread::sleep(ms(random.random_range(20..150)));
                current.process.resume();
                Box::new(|| {})
            }
            6 | 7 => {
                let behaviors = [
                    ServerBehavior::Silent,
                    ServerBehavior::Failing,
                    ServerBehavior::ClosingAfterFrame,
                    ServerBehavior::StallingWithinAnswer,
                    ServerBehavior::ServingAfter(ms(300)),
                    ServerBehavior::ResettingAfter(ms(50)),
                    ServerBehavior::ClosingAfterAnswer,
                    ServerBehavior::AnsweringTwice,
                    ServerBehavior::ClosingAfterBytes(7),
                    ServerBehavior::AppendingGarbage,
                ];
                let server = &self.servers[server];
                server.set_behavior(behaviors[random.random_range(0..behaviors.len())].clone());
                Box::new(|| server.set_behavior(ServerBehavior::Serving))
            }
            8 | 9 => {
                self.servers.iter().for_each(Server::close_connections);
                Box::new(|| {})
            }
            10 => {
                discovery.fail_watches(
                    [WatchFault::Silent, WatchFault::HalfLine, WatchFault::Trickling, WatchFault::Reset]
                        [node % 4],
                );
                let behaviors = [
                    DiscoveryBehavior::Unavailable,
                    DiscoveryBehavior::ClosingWithinHead,
                    DiscoveryBehavior::InvalidLines,
                    DiscoveryBehavior::Indented,
                ];
                discovery.set_behavior(behaviors[random.random_range(0..4)]);
                Box::new(|| discovery.set_behavior(DiscoveryBehavior::Serving))
            }
            _ => {
                // The index server is listed as draining, and later as up with a new start time, as after a
                // restart.
                let list_as = move |status: &str, since_ms: u64| {
                    let mut entries = entries(&self.servers);
                    entries[server]["status"] = json!(status);
                    entries[server]["since_ms"] = json!(since_ms);
                    self.discoveries.iter().for_each(|discovery| discovery.set_entries(entries.clone()));
                };
                list_as("draining", 0);
                Box::new(move || list_as("up", wall_ms()))
            }
        }
    }

    /// Checks the counters of a process. If they violate a rule, saves its log, which contains the flight
    /// recorder's records.
    fn check_node(&self, name: &str, stats: &Value, process: &FrontNode) {
        let violations_before = self.violations.lock().expect("lock not poisoned").len();
        self.check_counters(name, stats);
        if self.violations.lock().expect("lock not poisoned").len() > violations_before {
            let path =
                std::env::temp_dir().join(format!("soak-{}-{}.log", process.pid(), name.replace(", ", "-")));
            let written = std::fs::write(&path, process.log_lines().join("\n"));
            let saved = written.map(|()| path.display().to_string());
            self.record_violation(format!("{name}: log with flight records: {saved:?}"));
        }
    }

    /// Checks that the counts of invariant violations are zero, and that each query accepted has ended or is
    /// in flight.
    fn check_counters(&self, name: &str, stats: &Value) {
        let count = |group: &Value, key: &str| group[key].as_u64().unwrap_or(0);
        let violations = stats["violations"].as_object().expect("violations");
        for (rule, _) in violations.iter().filter(|(_, count)| count.as_u64() != Some(0)) {
            self.record_violation(format!("{name}: {rule} {}", violations[rule]));
        }
        for key in ["stray_attempts", "module_restarts"] {
            if count(&stats["own"], key) > 0 {
                self.record_violation(format!("{name}: {key} {}", stats["own"][key]));
            }
        }
        for (class, queries) in stats["queries"].as_object().expect("queries") {
            let ended = ["whole", "partial", "refused", "failed", "gone", "held"];
            let ended: u64 = ended.iter().map(|key| count(queries, key)).sum();
            if ended != count(queries, "taken") {
                self.record_violation(format!("{name}: {class}: {queries}"));
            }
        }
    }

    /// Waits for the exit of a process that was asked to shut down; checks its exit code and its final
    /// counters.
    fn check_exit(&self, mut node: FaultyNode) {
        let code = node.process.wait_for_exit();
        if code != Some(0) {
            self.record_violation(format!("a process that was asked to shut down exited with {code:?}"));
        }
        self.fault_count.fetch_add(node.faults.count() as u64, Ordering::Relaxed);
        let lines = node.process.log_lines();
        let counters = lines.iter().rev().find(|line| line.contains("msg=\"counters\""));
        let Some(text) = counters.and_then(|line| line.split_once(" all=")) else {
            return self
                .record_violation("a process that was asked to shut down logged no counters".to_owned());
        };
        let text: String = serde_json::from_str(text.1).expect("a quoted string");
        let name = log_field(&lines[0], "node").unwrap_or_default();
        let stats = serde_json::from_str(&text).expect("JSON");
        self.check_node(&format!("{name}, ended"), &stats, &node.process);
    }

    /// Checks the parts that index servers read: no part of a query that must not be repeated was read twice,
    /// no part states more time than its client has left, and none was sent after its client had
    /// disconnected.
    fn check_received_parts(&self) {
        let mut read_counts: HashMap<String, u64> = HashMap::new();
        let sent = self.sent.lock().expect("lock not poisoned");
        let mut parts_of_disconnected = 0;
        for part in self.servers.iter().flat_map(Server::received) {
            let query = part.id.split('.').next().and_then(|id| sent.get(id)).expect("a query that was sent");
            let latest_deadline = query.sent_at + ms(EXPIRES_MS) + DEADLINE_TOLERANCE + READ_DELAY;
            if part.read_at + part.time_left() > latest_deadline {
                let excess = part.read_at + part.time_left() - latest_deadline;
                self.record_violation(format!(
                    "{} states {:?} left, {excess:?} more than allowed",
                    part.id,
                    part.time_left()
                ));
            }
            if let Some(disconnected_at) = query.disconnected_at {
                parts_of_disconnected += 1;
                if part.read_at > disconnected_at + DISCONNECT_TOLERANCE + READ_DELAY {
                    self.record_violation(format!(
                        "{} was read {:?} after its client had disconnected",
                        part.id,
                        part.read_at - disconnected_at
                    ));
                }
            }
            *read_counts.entry(part.id).or_default() += 1;
        }
        let part_count = read_counts.values().sum::<u64>();
        println!("{part_count} parts read, {parts_of_disconnected} of them of clients that disconnected");
        let not_repeatable = NOT_REPEATABLE.lock().expect("lock not poisoned");
        for (id, times) in read_counts.iter().filter(|(_, times)| **times > 1) {
            if id.split('.').next().is_some_and(|query| not_repeatable.contains(query)) {
                self.record_violation(format!("{id} was read {times} times"));
            }
        }
    }
}

/// Ids of the queries whose parts must not be executed twice.
static NOT_REPEATABLE: Mutex<std::collections::BTreeSet<String>> =
    Mutex::new(std::collections::BTreeSet::new());

/// Runs the soak test with one seed and panics if a rule was violated.
fn run_soak(seed: u64, node_count: usize, duration: Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    let servers: Vec<Server> = (0..6).map(|_| Server::start(ServerBehavior::Serving)).collect();
    let discoveries = [Discovery::start(entries(&servers)), Discovery::start(entries(&servers))];
    let mut soak = Soak {
        servers,
        discoveries,
        nodes: Vec::new(),
        finished: AtomicBool::new(false),
        query_count: AtomicU64::new(0),
        statuses: Mutex::default(),
        violations: Mutex::default(),
        fault_count: AtomicU64::new(0),
        sent: Mutex::default(),
        terminating: Mutex::default(),
    };
    let nodes: Vec<FaultyNode> = (0..node_count).map(|node| soak.start_node(node, &mut random)).collect();
    soak.nodes = nodes.into_iter().map(Mutex::new).collect();
    let soak = &soak;
    let mut disruption_count = 0;
    thread::scope(|scope| {
        for client in 0..node_count * 2 {
            let random = StdRng::seed_from_u64(seed.wrapping_mul(1000) + client as u64);
            scope.spawn(move || soak.run_client(random));
        }
        let end = Instant::now() + duration;
        // The functions that end the current disruptions, and when to call them.
        let mut active: Vec<(Instant, Box<dyn FnOnce() + Send + '_>)> = Vec::new();
        while Instant::now() < end {
            thread::sleep(ms(random.random_range(20..120)));
            let now = Instant::now();
            let (due, remaining): (Vec<_>, Vec<_>) = active.into_iter().partition(|(at, _)| *at <= now);
            active = remaining;
            due.into_iter().for_each(|(_, end_disruption)| end_disruption());
            if active.len() < 3 {
                let at = now + ms(random.random_range(100..1200));
                active.push((at, soak.begin_disruption(&mut random)));
                disruption_count += 1;
            }
        }
        active.into_iter().for_each(|(_, end_disruption)| end_disruption());
        thread::sleep(ms(500));
        soak.finished.store(true, Ordering::Relaxed);
    });
    let terminating: Vec<FaultyNode> =
        soak.terminating.lock().expect("lock not poisoned").drain(..).collect();
    terminating.into_iter().for_each(|node| soak.check_exit(node));
    for (index, node) in soak.nodes.iter().enumerate() {
        let mut node = node.lock().expect("lock not poisoned");
        if node.process.is_running() {
            let stats = node.process.stats();
            soak.check_node(&format!("n{index}"), &stats, &node.process);
        } else {
            soak.record_violation(format!("n{index} exited although it was not asked to shut down"));
        }
        soak.fault_count.fetch_add(node.faults.count() as u64, Ordering::Relaxed);
    }
    soak.check_received_parts();
    let query_count = soak.query_count.load(Ordering::Relaxed);
    let fault_count = soak.fault_count.load(Ordering::Relaxed);
    let statuses = soak.statuses.lock().expect("lock not poisoned").clone();
    println!(
        "seed {seed}: {node_count} front nodes, {query_count} queries, {statuses:?}, \
         {disruption_count} disruptions, {fault_count} faults injected"
    );
    let violations = soak.violations.lock().expect("lock not poisoned");
    assert!(
        violations.is_empty(),
        "seed {seed}: {} violations: {:#?}",
        violations.len(),
        &violations[..violations.len().min(12)]
    );
    assert!(fault_count > 100, "seed {seed}: only {fault_count} faults injected");
    let served = statuses.get(&200).copied().unwrap_or(0);
    assert!(served * 2 > query_count, "seed {seed}: {served} of {query_count} queries served");
}

#[test]
fn rules_hold_while_disruptions_overlap() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..3".to_owned());
    let (from, to) = seeds.split_once("..").expect("SOAK_SEEDS=from..to");
    let node_count = number_from_env("SOAK_NODES", 8) as usize;
    let duration = Duration::from_secs(number_from_env("SOAK_SECONDS", 6));
    for seed in from.parse().expect("a number")..to.parse().expect("a number") {
        run_soak(seed, node_count, duration);
    }
}
