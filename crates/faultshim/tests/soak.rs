//! A soak of real processes: two dozen front nodes, each with system calls that fail and a wall clock that is off, six
//! index servers, two discoveries and clients of all kinds, while two or three troubles at a time come over them:
//! stops, kills and restarts, reloads, processes that stand still, index servers that hang, fail, cut or drain,
//! discoveries that fall silent, refuse or drip.
//!
//! Judged by the rules: each request gets one final answer in time, no part that may have run is sent again in a class
//! where that does harm, nothing goes to an index server that drains, none is told more time than the client has left or
//! gets a part whose client has gone, every process ends in order, the counters agree and the processes' own invariants
//! (`violations`) stay at zero.
//!
//! `SOAK_SEEDS=20..40 SOAK_NODES=30 SOAK_SECONDS=20 cargo test -p pinetrestle-faultshim --test soak` plays more.

mod common;

use common::{ms, node, wall_ms, Faults};
use pinetrestle_standins::{
    config_json, endpoint_list, entries, log_field, query, Answer, Client, Discovery, DiscoveryBehavior,
    FrontNode, Server, ServerBehavior, WatchFault,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a query may take at the most: its own 2 s, half a second, and what a busy machine adds.
const ANSWERED_WITHIN: Duration = Duration::from_millis(4000);
/// What the time of a query is.
const EXPIRES_MS: u64 = 2000;

/// By how much later than it was written a part may be read here: what a busy machine adds, and the spans for which
/// processes are stopped.
const READ_WITHIN: Duration = Duration::from_millis(850);
/// What the deadline told to an index server may be over (standing terms).
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// How long after its client has gone a part may still be begun (standing terms).
const GONE_SLACK: Duration = Duration::from_millis(100);
/// Queries that a client sends at once, ahead of their answers.
const SENT_AHEAD: usize = 3;

/// A query as its client knows it.
struct Sent {
    /// When it was about to be written.
    at: Instant,
    /// When its client had gone, if it did.
    gone: Option<Instant>,
}

/// One place for a front node and the process that holds it now.
struct Place {
    program: FrontNode,
    faults: Faults,
    /// It is killed without a word: what it held may be lost.
    killed: Arc<AtomicBool>,
}

/// A client's connection to the front node at a place.
struct Connection {
    place: usize,
    client: Client,
    /// Its front node was killed without a word.
    killed: Arc<AtomicBool>,
    /// A query was answered on it before.
    rested: bool,
}

/// Everything on the stage.
struct Soak {
    servers: Vec<Server>,
    discoveries: [Discovery; 2],
    places: Vec<Mutex<Place>>,
    over: AtomicBool,
    asked: AtomicU64,
    statuses: Mutex<HashMap<u16, u64>>,
    /// What broke a rule, in words.
    broken: Mutex<Vec<String>>,
    faults_met: AtomicU64,
    /// All queries, by their ids.
    sent: Mutex<HashMap<String, Sent>>,
    /// Processes that were told to end, until they have.
    ending: Mutex<Vec<Place>>,
}

/// A number from the environment.
fn number(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or)
}

/// Faults of a process: mostly mild, as the machine of one front node has them.
fn plan(random: &mut StdRng) -> String {
    let mut plan = vec![format!("seed={}", random.random_range(0..1_000_000))];
    for call in ["recv", "writev", "send", "epoll_wait"] {
        plan.push(format!("{call}=EINTR/{}", random.random_range(20..200)));
    }
    for call in ["recv", "writev", "send"] {
        plan.push(format!("{call}=short/{}", random.random_range(10..100)));
    }
    plan.push(format!("recv=ENOMEM/{}", random.random_range(100..400)));
    plan.push(format!("writev=ENOBUFS/{}", random.random_range(100..400)));
    let gone = ["ECONNABORTED", "EPROTO", "EINTR", "ENFILE", "ENOBUFS"];
    plan.push(format!("accept4={}/{}", gone[random.random_range(0..5)], random.random_range(5..50)));
    let here = ["EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EAGAIN"];
    // Connections come up late: parts wait in line for them, and whatever happens then crosses them.
    for from in (500..20_000).step_by(700) {
        let from = from + random.random_range(0..400);
        plan.push(format!("connect={}/1/{from}/180", here[random.random_range(0..4)]));
    }
    plan.push(format!("socket=ENFILE/1/{}/60", random.random_range(500..4000)));
    let off = [0, 0, -3_600_000, -5_000, 5_000, 3_600_000][random.random_range(0..6)];
    plan.push(format!("realtime={off}/{}", random.random_range(0..3000)));
    plan.join(",")
}

impl Soak {
    fn config(&self, place: usize) -> Value {
        let known = endpoint_list(1, &entries(&self.servers));
        let discovery = self.discoveries[place % 2].address.to_string();
        let mut config = config_json("127.0.0.1:0", &discovery, &known);
        config["name"] = json!(format!("n{place}"));
        config["seed"] = json!(format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(place as u64 + 1)));
        config["settings"]["fleet_size"] = json!(self.places.len().max(1));
        config["settings"]["classes"][1]["effect"] = json!("fragile");
        config["settings"]["permissions"]["most_held"] = json!(400);
        config
    }

    fn begin(&self, place: usize, random: &mut StdRng) -> Place {
        let faults = Faults::planned(&plan(random));
        let recorder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/recorder.json5");
        let program = format!("{} --recorder {recorder}", node());
        let program = FrontNode::start_with_shell_setup(&faults.shell(), &program, &self.config(place));
        Place { program, faults, killed: Arc::default() }
    }

    fn breaks(&self, what: String) {
        self.broken.lock().expect("no panic").push(what);
    }

    /// A query, noted as sent now.
    fn query(&self, class: &str) -> (String, String) {
        let (id, text) = query(class, &[0, 1, 2], EXPIRES_MS);
        if class == "all" {
            UNSAFE.lock().expect("no panic").insert(id.clone());
        }
        self.sent.lock().expect("no panic").insert(id.clone(), Sent { at: Instant::now(), gone: None });
        (id, text)
    }

    /// Asks queries at one place after the other until it is over.
    fn ask(&self, mut random: StdRng) {
        let mut resting: Option<Connection> = None;
        while !self.over.load(Ordering::Relaxed) {
            thread::sleep(ms(random.random_range(0..30)));
            let reused = resting.take().filter(|_| random.random_bool(0.7));
            let Some(connection) = reused.or_else(|| self.connect(&mut random)) else {
                continue;
            };
            let class = ["any", "all", "steps"][random.random_range(0..3)];
            if random.random_bool(0.1) {
                self.misbehave(connection, class, &mut random);
                continue;
            }
            let many = if random.random_bool(0.1) { SENT_AHEAD } else { 1 };
            resting = self.exchange(connection, class, many);
        }
    }

    /// Sends so many queries at once and reads their answers; the connection, if it still stands.
    fn exchange(&self, mut connection: Connection, class: &str, many: usize) -> Option<Connection> {
        let queries: Vec<(String, String)> = (0..many).map(|_| self.query(class)).collect();
        let text: String = queries.iter().map(|(_, text)| text.as_str()).collect();
        let begun = Instant::now();
        let written = connection.client.try_write(text.as_bytes());
        for (place, (id, _)) in queries.iter().enumerate() {
            self.asked.fetch_add(1, Ordering::Relaxed);
            let answer = if written { connection.client.try_read() } else { None };
            let Some(answer) = answer else {
                // A resting connection may be ended in the moment in which a request comes: it was not read then.
                let was_resting = connection.rested && place == 0;
                if !(was_resting || connection.killed.load(Ordering::Relaxed)) {
                    let (at, took) = (connection.place, begun.elapsed());
                    self.breaks(format!("{id} at place {at}, {place} sent ahead: no answer ({took:?})"));
                }
                return None;
            };
            self.take_answer(id, connection.place, begun.elapsed(), &answer);
        }
        connection.rested = true;
        Some(connection)
    }

    /// Counts an answer, and judges it.
    fn take_answer(&self, id: &str, place: usize, took: Duration, answer: &Answer) {
        *self.statuses.lock().expect("no panic").entry(answer.status).or_default() += 1;
        if took > ANSWERED_WITHIN {
            self.breaks(format!("{id} at place {place} was answered after {took:?}"));
        }
        if !matches!(answer.status, 200 | 503 | 500) {
            self.breaks(format!("{id} at place {place}: {} {}", answer.status, answer.body));
        }
    }

    fn connect(&self, random: &mut StdRng) -> Option<Connection> {
        let place = random.random_range(0..self.places.len());
        let (address, killed) = {
            let place = self.places[place].lock().expect("no panic");
            (place.program.address, place.killed.clone())
        };
        let stream = std::net::TcpStream::connect_timeout(&address, ms(500)).ok()?;
        stream.set_read_timeout(Some(ms(8000))).ok()?;
        let client = Client { stream: std::io::BufReader::new(stream) };
        Some(Connection { place, client, killed, rested: false })
    }

    /// A client that leaves, sends half, rubbish, the same much at once, or nothing.
    fn misbehave(&self, connection: Connection, class: &str, random: &mut StdRng) {
        let mut client = connection.client;
        let (id, text) = self.query(class);
        match random.random_range(0..5) {
            0 => {
                client.try_write(text.as_bytes());
                thread::sleep(ms(random.random_range(0..20)));
                drop(client);
                if let Some(sent) = self.sent.lock().expect("no panic").get_mut(&id) {
                    sent.gone = Some(Instant::now());
                }
            }
            1 => drop(client.try_write(&text.as_bytes()[..text.len() / 2])),
            2 => drop(client.try_write(b"\x16\x03\x01 rubbish \r\n\r\n")),
            3 => drop(client.try_write(text.repeat(5).as_bytes())),
            _ => thread::sleep(ms(50)),
        }
    }

    /// One trouble, begun; what undoes it is returned.
    fn trouble<'a>(&'a self, random: &mut StdRng) -> Box<dyn FnOnce() + Send + 'a> {
        let place = random.random_range(0..self.places.len());
        let server = random.random_range(0..self.servers.len());
        let discovery = &self.discoveries[random.random_range(0..2)];
        match random.random_range(0..14) {
            0 | 1 => {
                let fresh = self.begin(place, random);
                let old = std::mem::replace(&mut *self.places[place].lock().expect("no panic"), fresh);
                old.program.terminate();
                self.ending.lock().expect("no panic").push(old);
                Box::new(|| {})
            }
            2 => {
                let mut fresh = self.begin(place, random);
                let mut held = self.places[place].lock().expect("no panic");
                held.killed.store(true, Ordering::Relaxed);
                self.faults_met.fetch_add(held.faults.met() as u64, Ordering::Relaxed);
                held.program.kill();
                std::mem::swap(&mut *held, &mut fresh);
                Box::new(|| {})
            }
            3 | 4 => {
                let mut config = self.config(place);
                config["discovery"] = json!(discovery.address.to_string());
                config["transport"] = json!({"client_idle_ms": random.random_range(300..3000)});
                let held = self.places[place].lock().expect("no panic");
                held.program.reload(Some(&config.to_string()));
                Box::new(|| {})
            }
            5 => {
                let held = self.places[place].lock().expect("no panic");
                held.program.pause();
                thread::sleep(ms(random.random_range(20..150)));
                held.program.resume();
                Box::new(|| {})
            }
            6 | 7 => {
                let doings = [
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
                server.set_behavior(doings[random.random_range(0..doings.len())].clone());
                Box::new(|| server.set_behavior(ServerBehavior::Serving))
            }
            8 | 9 => {
                self.servers.iter().for_each(Server::close_connections);
                Box::new(|| {})
            }
            10 => {
                discovery.fail_watches(
                    [WatchFault::Silent, WatchFault::HalfLine, WatchFault::Trickling, WatchFault::Reset]
                        [place % 4],
                );
                let telling = [
                    DiscoveryBehavior::Unavailable,
                    DiscoveryBehavior::ClosingWithinHead,
                    DiscoveryBehavior::InvalidLines,
                    DiscoveryBehavior::Indented,
                ];
                discovery.set_behavior(telling[random.random_range(0..4)]);
                Box::new(|| discovery.set_behavior(DiscoveryBehavior::Serving))
            }
            _ => {
                // It drains, and is up again as a new process.
                let tell = move |status: &str, since_ms: u64| {
                    let mut lines = entries(&self.servers);
                    lines[server]["status"] = json!(status);
                    lines[server]["since_ms"] = json!(since_ms);
                    self.discoveries.iter().for_each(|discovery| discovery.set_entries(lines.clone()));
                };
                tell("draining", 0);
                Box::new(move || tell("up", wall_ms()))
            }
        }
    }

    /// What the counters of a process say against it; its log, with the flight recorder's records, is kept then.
    fn judge(&self, name: &str, stats: &Value, program: &FrontNode) {
        let before = self.broken.lock().expect("no panic").len();
        self.judge_counters(name, stats);
        if self.broken.lock().expect("no panic").len() > before {
            let path =
                std::env::temp_dir().join(format!("soak-{}-{}.log", program.pid(), name.replace(", ", "-")));
            let kept =
                std::fs::write(&path, program.log_lines().join("\n")).map(|()| path.display().to_string());
            self.breaks(format!("{name}: its log and records: {kept:?}"));
        }
    }

    fn judge_counters(&self, name: &str, stats: &Value) {
        let count = |group: &Value, key: &str| group[key].as_u64().unwrap_or(0);
        let violations = stats["violations"].as_object().expect("violations");
        for (rule, _) in violations.iter().filter(|(_, many)| many.as_u64() != Some(0)) {
            self.breaks(format!("{name}: {rule} {}", violations[rule]));
        }
        for key in ["stray_attempts", "module_restarts"] {
            if count(&stats["own"], key) > 0 {
                self.breaks(format!("{name}: {key} {}", stats["own"][key]));
            }
        }
        for (class, queries) in stats["queries"].as_object().expect("queries") {
            let ended = ["whole", "partial", "refused", "failed", "gone", "held"];
            let ended: u64 = ended.iter().map(|key| count(queries, key)).sum();
            if ended != count(queries, "taken") {
                self.breaks(format!("{name}: {class}: {queries}"));
            }
        }
    }

    /// Waits for a process that was told to end.
    fn bury(&self, mut place: Place) {
        let code = place.program.wait_for_exit();
        if code != Some(0) {
            self.breaks(format!("a process that was told to end ended with {code:?}"));
        }
        self.faults_met.fetch_add(place.faults.met() as u64, Ordering::Relaxed);
        let lines = place.program.log_lines();
        let counters = lines.iter().rev().find(|line| line.contains("msg=\"counters\""));
        let Some(text) = counters.and_then(|line| line.split_once(" all=")) else {
            return self.breaks("a process ended in order and said no counters".to_owned());
        };
        let text: String = serde_json::from_str(text.1).expect("a quoted word");
        let name = log_field(&lines[0], "node").unwrap_or_default();
        let stats = serde_json::from_str(&text).expect("JSON");
        self.judge(&format!("{name}, ended"), &stats, &place.program);
    }

    /// What index servers read: no part of the class whose effect must not come twice is there twice, none has more time
    /// than its client has left, and none was begun after its client had gone.
    fn judge_parts(&self) {
        let mut seen: HashMap<String, u64> = HashMap::new();
        let sent = self.sent.lock().expect("no panic");
        let mut left = 0;
        for part in self.servers.iter().flat_map(Server::received) {
            let query = part.id.split('.').next().and_then(|id| sent.get(id)).expect("a query that was sent");
            let ends = query.at + ms(EXPIRES_MS) + TOLD_SLACK + READ_WITHIN;
            if part.read_at + part.time_left() > ends {
                let over = part.read_at + part.time_left() - ends;
                self.breaks(format!(
                    "{} is told {:?}, {over:?} over what is left",
                    part.id,
                    part.time_left()
                ));
            }
            if let Some(gone) = query.gone {
                left += 1;
                if part.read_at > gone + GONE_SLACK + READ_WITHIN {
                    self.breaks(format!(
                        "{} was read {:?} after its client had gone",
                        part.id,
                        part.read_at - gone
                    ));
                }
            }
            *seen.entry(part.id).or_default() += 1;
        }
        println!("{} parts read, {left} of clients that left", seen.values().sum::<u64>());
        let unsafe_ids = UNSAFE.lock().expect("no panic");
        for (id, times) in seen.iter().filter(|(_, times)| **times > 1) {
            if id.split('.').next().is_some_and(|query| unsafe_ids.contains(query)) {
                self.breaks(format!("{id} was read {times} times"));
            }
        }
    }
}

/// Ids of queries whose parts may run once only.
static UNSAFE: Mutex<std::collections::BTreeSet<String>> = Mutex::new(std::collections::BTreeSet::new());

fn play(seed: u64, nodes: usize, lasts: Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    let servers: Vec<Server> = (0..6).map(|_| Server::start(ServerBehavior::Serving)).collect();
    let discoveries = [Discovery::start(entries(&servers)), Discovery::start(entries(&servers))];
    let mut soak = Soak {
        servers,
        discoveries,
        places: Vec::new(),
        over: AtomicBool::new(false),
        asked: AtomicU64::new(0),
        statuses: Mutex::default(),
        broken: Mutex::default(),
        faults_met: AtomicU64::new(0),
        sent: Mutex::default(),
        ending: Mutex::default(),
    };
    let places: Vec<Place> = (0..nodes).map(|place| soak.begin(place, &mut random)).collect();
    soak.places = places.into_iter().map(Mutex::new).collect();
    let soak = &soak;
    let mut troubles = 0;
    thread::scope(|scope| {
        for client in 0..nodes * 2 {
            let random = StdRng::seed_from_u64(seed.wrapping_mul(1000) + client as u64);
            scope.spawn(move || soak.ask(random));
        }
        let end = Instant::now() + lasts;
        let mut undo: Vec<(Instant, Box<dyn FnOnce() + Send + '_>)> = Vec::new();
        while Instant::now() < end {
            thread::sleep(ms(random.random_range(20..120)));
            let now = Instant::now();
            let (due, rest): (Vec<_>, Vec<_>) = undo.into_iter().partition(|(at, _)| *at <= now);
            undo = rest;
            due.into_iter().for_each(|(_, undo)| undo());
            if undo.len() < 3 {
                let at = now + ms(random.random_range(100..1200));
                undo.push((at, soak.trouble(&mut random)));
                troubles += 1;
            }
        }
        undo.into_iter().for_each(|(_, undo)| undo());
        thread::sleep(ms(500));
        soak.over.store(true, Ordering::Relaxed);
    });
    let ended: Vec<Place> = soak.ending.lock().expect("no panic").drain(..).collect();
    ended.into_iter().for_each(|place| soak.bury(place));
    let all = soak.places.iter().enumerate();
    for (number, place) in all {
        let mut place = place.lock().expect("no panic");
        if place.program.is_running() {
            let stats = place.program.stats();
            soak.judge(&format!("n{number}"), &stats, &place.program);
        } else {
            soak.breaks(format!("n{number} has ended by itself"));
        }
        soak.faults_met.fetch_add(place.faults.met() as u64, Ordering::Relaxed);
    }
    soak.judge_parts();
    let (asked, met) = (soak.asked.load(Ordering::Relaxed), soak.faults_met.load(Ordering::Relaxed));
    let statuses = soak.statuses.lock().expect("no panic").clone();
    println!("seed {seed}: {nodes} front nodes, {asked} queries, {statuses:?}, {troubles} troubles, {met} faults of calls");
    let broken = soak.broken.lock().expect("no panic");
    assert!(
        broken.is_empty(),
        "seed {seed}: {} broken: {:#?}",
        broken.len(),
        &broken[..broken.len().min(12)]
    );
    assert!(met > 100, "seed {seed}: {met} faults");
    let served = statuses.get(&200).copied().unwrap_or(0);
    assert!(served * 2 > asked, "seed {seed}: {served} of {asked} served");
}

#[test]
fn rules_hold_while_troubles_overlap() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..3".to_owned());
    let (from, to) = seeds.split_once("..").expect("SOAK_SEEDS=from..to");
    let nodes = number("SOAK_NODES", 8) as usize;
    let lasts = Duration::from_secs(number("SOAK_SECONDS", 6));
    for seed in from.parse().expect("a number")..to.parse().expect("a number") {
        play(seed, nodes, lasts);
    }
}
