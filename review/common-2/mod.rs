//! Stand-ins for the cases 6 to 10: clients, index servers and discovery, written from the protocol pages. They use the
//! standard library only, and the address 127.0.0.1 only.
#![allow(dead_code)] // each case uses a part of it

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The clock and the record of one run. `record.txt` stands in the folder of the case.
#[derive(Clone)]
pub struct Run {
    pub start: Instant,
    pub trouble: bool,
    record: Arc<Mutex<File>>,
}

impl Run {
    /// Reads `CASE_DIR` (the folder of the case) and `TROUBLE` (0: without the disruption).
    pub fn begin(title: &str) -> Run {
        // A panic of any thread means that the case could not run.
        let default_hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            default_hook(info);
            std::process::exit(COULD_NOT_RUN);
        }));
        let folder = std::env::var("CASE_DIR").expect("CASE_DIR");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = File::create(format!("{folder}/record.txt")).expect("record.txt");
        let run = Run { start: Instant::now(), trouble, record: Arc::new(Mutex::new(record)) };
        run.note(&format!("{title}; disruption: {}", if trouble { "on" } else { "off" }));
        run
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn note(&self, line: &str) {
        let mut file = self.record.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {line}", self.now());
    }

    /// Prints and records the verdict, and ends the program.
    pub fn verdict(&self, code: i32, text: &str) -> ! {
        self.note(text);
        println!("{text}");
        let _ = self.record.lock().unwrap().flush();
        std::process::exit(code)
    }
}

/// A part that an index server has read completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the first byte of its frame was read, in milliseconds.
    pub first_at: f64,
    pub server: usize,
    pub id: String,
    pub shard: u32,
    /// The time that the front node says it will wait, in milliseconds.
    pub wait_ms: u64,
}

#[derive(Clone)]
pub struct Server {
    pub number: usize,
    pub address: SocketAddr,
}

/// All parts that the index servers have read.
#[derive(Clone, Default)]
pub struct Traffic {
    pub parts: Arc<Mutex<Vec<Arrival>>>,
}

/// Starts an index server, which serves each part after `service`. What is given up is served all the same.
pub fn start_server(run: &Run, number: usize, traffic: &Traffic, service: Duration) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let server = Server { number, address: listener.local_addr().unwrap() };
    let (run, traffic) = (run.clone(), traffic.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let (run, traffic) = (run.clone(), traffic.clone());
            thread::spawn(move || serve_frames(&run, number, stream, &traffic, service));
        }
    });
    server
}

fn serve_frames(run: &Run, number: usize, mut stream: TcpStream, traffic: &Traffic, service: Duration) {
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("clone")));
    loop {
        let mut length = [0; 4];
        if stream.read_exact(&mut length[..1]).is_err() {
            return;
        }
        let first_at = run.now();
        let mut frame = Vec::new();
        let is_read = stream.read_exact(&mut length[1..]).and_then(|()| {
            frame.resize(u32::from_be_bytes(length) as usize, 0);
            stream.read_exact(&mut frame)
        });
        if is_read.is_err() {
            run.note(&format!("s{number} connection ended within a frame"));
            return;
        }
        if frame[0] == b'2' {
            run.note(&format!("s{number} given up: {}", String::from_utf8_lossy(&frame[1..])));
            continue;
        }
        assert_eq!(frame[0], b'1', "letter of a frame");
        for mut part in parse_call(&frame[1..]) {
            (part.first_at, part.server) = (first_at, number);
            run.note(&format!("s{number} read part {} d={} first byte {first_at:.1}", part.id, part.wait_ms));
            traffic.parts.lock().unwrap().push(part.clone());
            let (run, writer) = (run.clone(), writer.clone());
            thread::spawn(move || {
                thread::sleep(service);
                let is_written = writer.lock().unwrap().write_all(&answer_frame(&part)).is_ok();
                run.note(&format!("s{number} served {}, written: {is_written}", part.id));
            });
        }
    }
}

/// The value that index servers make for a part.
fn value_of(id: &str) -> String {
    let hash = id
        .bytes()
        .fold(0xcbf29ce484222325_u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100000001b3));
    format!("{hash:016x}")
}

fn answer_frame(part: &Arrival) -> Vec<u8> {
    let rest = format!("5{} S {} -\n{}", part.id, part.shard, value_of(&part.id));
    [&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat()
}

fn parse_call(mut bytes: &[u8]) -> Vec<Arrival> {
    let mut parts = Vec::new();
    while !bytes.is_empty() {
        let end = bytes.iter().position(|byte| *byte == b'\n').expect("a line");
        let line = std::str::from_utf8(&bytes[..end]).expect("text").to_owned();
        let fields: Vec<&str> = line.split(' ').collect();
        let text_bytes: usize = fields[3].parse().expect("a length");
        let wait = fields[2].split(',').find_map(|item| item.strip_prefix("d=")).expect("d");
        parts.push(Arrival {
            first_at: 0.0,
            server: 0,
            id: fields[0].to_owned(),
            shard: fields[1].parse().expect("a shard"),
            wait_ms: wait.parse().expect("a time"),
        });
        bytes = &bytes[end + 1 + text_bytes..];
    }
    parts
}

/// One index server in the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"m2\",\"group\":{},\
             \"status\":\"{}\",\"weight\":1.0,\"since_ms\":0}}",
            self.name, self.address, self.group, self.status
        )
    }
}

pub fn list_json(index: u64, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","))
}

/// Discovery: answers a watch with the whole list, then an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
    run: Run,
}

struct DiscoveryState {
    index: u64,
    entries: Vec<Entry>,
    watches: Vec<TcpStream>,
    calls: u64,
    /// Time that a call waits before its answer.
    delay: Duration,
}

impl Discovery {
    pub fn start(run: &Run, entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let state =
            DiscoveryState { index: 1, entries, watches: Vec::new(), calls: 0, delay: Duration::ZERO };
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(state)),
            run: run.clone(),
        };
        let accepting = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        let beating = discovery.clone();
        thread::spawn(move || loop {
            thread::sleep(ms(2000));
            beating.state.lock().unwrap().watches.retain_mut(|watch| send_chunk(watch, "\n"));
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => head.push(byte[0]),
                _ => return,
            }
        }
        let delay = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            state.delay
        };
        let line = String::from_utf8_lossy(&head).lines().next().unwrap_or_default().to_owned();
        self.run.note(&format!("discovery is called: {line}"));
        thread::sleep(delay);
        let mut state = self.state.lock().unwrap();
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let list = format!("{}\n", list_json(state.index, &state.entries));
        if stream.write_all(head.as_bytes()).is_ok() && send_chunk(&mut stream, &list) {
            self.run.note(&format!("discovery tells list {}", state.index));
            state.watches.push(stream);
        }
    }

    pub fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }

    pub fn open_watches(&self) -> usize {
        self.state.lock().unwrap().watches.len()
    }

    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    /// Changes the list. If `tell` is set, open watches are told; otherwise they end instead of telling.
    pub fn change(&self, tell: bool, change: impl FnOnce(&mut Vec<Entry>)) -> f64 {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        change(&mut state.entries);
        let at = self.run.now();
        let list = format!("{}\n", list_json(state.index, &state.entries));
        if tell {
            state.watches.retain_mut(|watch| send_chunk(watch, &list));
            self.run.note(&format!("discovery tells list {} on the open watches", state.index));
        } else {
            for mut watch in state.watches.drain(..) {
                let _ = watch.write_all(b"0\r\n\r\n");
                let _ = watch.shutdown(Shutdown::Both);
            }
            self.run.note(&format!("list {}; the watches end instead of telling", state.index));
        }
        at
    }
}

fn send_chunk(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
}

/// Returns an address on which nobody listens at present.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("bind").local_addr().unwrap()
}

/// A front node, started by the `run` command of the deploy file (`RUN_COMMAND`) from the root (`ROOT`).
pub struct Node {
    pub address: SocketAddr,
    child: Child,
    folder: String,
}

impl Node {
    pub fn start(run: &Run, config: &str, address: SocketAddr) -> Node {
        let folder = std::env::var("WORK_DIR").expect("WORK_DIR");
        let path = format!("{folder}/config.json");
        std::fs::write(&path, config).expect("configuration");
        let log = File::options().create(true).append(true).open(format!("{folder}/node.log")).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(std::env::var("RUN_COMMAND").expect("RUN_COMMAND"))
            .current_dir(std::env::var("ROOT").expect("ROOT"))
            .env("RELAY_CONFIG", &path)
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", address.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("front node");
        run.note(&format!("front node started, process {}", child.id()));
        // For run.sh, which ends the process whatever happens.
        let mut pids = File::options().create(true).append(true).open(format!("{folder}/pids")).unwrap();
        writeln!(pids, "{}", child.id()).unwrap();
        Node { address, child, folder }
    }

    /// Waits until `GET /health/ready` answers 200.
    pub fn wait_until_ready(&self, run: &Run) {
        for _ in 0..3000 {
            if get(self.address, "/health/ready") == Some(200) {
                run.note("front node is ready");
                return;
            }
            thread::sleep(ms(10));
        }
        run.verdict(COULD_NOT_RUN, "could not run: the front node did not become ready within 30 s");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, signal: &str) {
        let command = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("/bin/sh").arg("-c").arg(command).status();
    }

    /// Ends the front node, and returns the last lines of its log.
    pub fn end(mut self) -> String {
        let _ = self.child.kill();
        let _ = self.child.wait();
        // run.sh must not end another process that got this number.
        let pids = format!("{}/pids", self.folder);
        let kept: String = std::fs::read_to_string(&pids)
            .unwrap_or_default()
            .lines()
            .filter(|line| *line != self.child.id().to_string())
            .map(|line| format!("{line}\n"))
            .collect();
        let _ = std::fs::write(&pids, kept);
        std::fs::read_to_string(format!("{}/node.log", self.folder)).unwrap_or_default()
    }
}

fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ms(1000))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.split(' ').nth(1)?.parse().ok()
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A fresh X-Trace-Id.
pub fn fresh_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst) | 0x5a00_0000_0000_0000)
}

/// A request as the protocol page shows it. The weights of the parts are equal.
pub fn request(id: &str, class: &str, shards: &[u32], expires_ms: u64, filter: &str) -> Vec<u8> {
    let mass = 1.0 / shards.len() as f64;
    let slices: Vec<String> =
        shards.iter().map(|shard| format!("{{\"slice\":{shard},\"mass\":{mass}}}")).collect();
    let body = format!("{{\"slices\":[{}],\"filter\":\"{filter}\"}}", slices.join(","));
    format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
         X-Customer: north\r\nCookie: key={id}\r\nX-Expires-In-Ms: {expires_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Reads one response. `None` if the connection ends or nothing comes within the time limit.
pub fn read_answer(stream: &mut TcpStream, limit: Duration) -> Option<Answer> {
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length: usize =
        head.lines().find_map(|line| line.strip_prefix("content-length:"))?.trim().parse().ok()?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, body: String::from_utf8_lossy(&body).into_owned() })
}

/// One request of a usual client and how it ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_at: f64,
    /// When the last byte of the answer was read; `None` if there was no answer.
    pub answered_at: Option<f64>,
    pub status: u16,
}

/// Settings of a small deployment. `replace` changes single texts of it.
pub fn settings(replace: &[(&str, &str)]) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            "{{\"name\":\"{name}\",\"aim\":1000000,\"hard_limit\":3000000,\"gain\":1.0,\"late_worth\":0.3,\
             \"effect\":\"{effect}\",\"dedup_window\":1500000,\"stream\":false,\"group\":\"all\"}}"
        )
    };
    let text = format!(
        "{{\"fleet_size\":1,\"discovery\":\"ask\",\"quantum\":5000,\"over_share_worth\":0.05,\
         \"classes\":[{},{},{}],\
         \"projects\":[{{\"name\":\"north\",\"quota_per_s\":500.0,\"share\":1.0}}],\
         \"clients\":{{\"marks_retry\":true}},\"fees\":{{\"waste\":0.03}},\
         \"family_info\":{{\"batch\":4,\"positions\":3,\"span\":1,\"slabs\":9,\"call\":0,\
         \"need_by_class\":[0.66,1.0,1.0],\"class_floor\":[0.66,1.0,1.0],\
         \"partial_earns\":[0.9,0.9,0.9],\"second_step\":[0,0,2],\"warm_keys\":false}},\
         \"permissions\":{{\"cancel\":true,\"may_duplicate\":true,\"retry_after\":true,\
         \"max_retry_after\":500000,\"try_limit\":3,\"most_held\":300,\"conn_idle\":15000000,\
         \"connect_timeout\":250000,\"streams_per_conn\":32}},\
         \"rules\":{{\"cold_share\":0.3,\"warm_within\":5000000,\"tip_multiple\":3.0,\"fall\":1000000,\
         \"must_ask_in\":10000000,\"drain_grace\":1000000,\"grace_to_answer\":20000}}}}",
        class("any", "retryable"),
        class("all", "retryable"),
        class("steps", "retryable")
    );
    replace.iter().fold(text, |text, (from, to)| {
        assert!(text.contains(from), "no {from} in the settings");
        text.replace(from, to)
    })
}

/// The configuration file of a front node.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str, settings: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{known},\
         \"settings\":{settings}}}"
    )
}

/// Usual clients: each sends one request at a time on a connection that it keeps.
pub struct Clients {
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients that wait `pause` after each answer. `make` returns class, shards, time and text.
    pub fn start(
        run: &Run,
        address: SocketAddr,
        count: usize,
        pause: Duration,
        make: impl Fn(u64) -> (&'static str, Vec<u32>, u64, String) + Send + Sync + 'static,
    ) -> Clients {
        let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        let make = Arc::new(make);
        let counter = Arc::new(AtomicU64::new(0));
        let threads = (0..count)
            .map(|_| {
                let (run, outcomes, stop) = (run.clone(), outcomes.clone(), stop.clone());
                let (make, counter) = (make.clone(), counter.clone());
                thread::spawn(move || {
                    let mut stream: Option<TcpStream> = None;
                    while !stop.load(Ordering::SeqCst) {
                        let (class, shards, expires, filter) = make(counter.fetch_add(1, Ordering::SeqCst));
                        let outcome = ask(&run, address, &mut stream, class, &shards, expires, &filter);
                        outcomes.lock().unwrap().push(outcome);
                        thread::sleep(pause);
                    }
                })
            })
            .collect();
        Clients { outcomes, stop, threads }
    }

    pub fn stop(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let outcomes = self.outcomes.lock().unwrap().clone();
        outcomes
    }
}

/// Sends one request on the kept connection (or a new one), and waits for its answer. If the kept connection ends
/// without an answer, the request is sent once more on a new connection, as the protocol page has it; its time then
/// counts from there.
pub fn ask(
    run: &Run,
    address: SocketAddr,
    stream: &mut Option<TcpStream>,
    class: &str,
    shards: &[u32],
    expires_ms: u64,
    filter: &str,
) -> Outcome {
    let id = fresh_id();
    let bytes = request(&id, class, shards, expires_ms, filter);
    let mut outcome = Outcome { id: id.clone(), sent_at: run.now(), answered_at: None, status: 0 };
    let mut kept = stream.take();
    loop {
        let is_kept = kept.is_some();
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => match TcpStream::connect(address) {
                Ok(connection) => connection,
                Err(error) => {
                    run.note(&format!("client could not connect for {id}: {error}"));
                    return outcome;
                }
            },
        };
        let _ = connection.set_nodelay(true);
        let written = connection.write_all(&bytes).is_ok();
        outcome.sent_at = run.now();
        run.note(&format!("client sent {id} class {class} shards {shards:?} time {expires_ms}"));
        let limit = ms(expires_ms + 2000);
        let answer = if written { read_answer(&mut connection, limit) } else { None };
        if let Some(answer) = answer {
            outcome.answered_at = Some(run.now());
            outcome.status = answer.status;
            run.note(&format!("client got {} for {id}: {}", answer.status, answer.body));
            // A front node that closes says so, or the next request finds the connection closed.
            *stream = Some(connection);
            return outcome;
        }
        let has_ended = run.now() - outcome.sent_at < limit.as_secs_f64() * 1000.0 - 50.0;
        if !(is_kept && has_ended) {
            run.note(&format!("client got nothing for {id}"));
            return outcome;
        }
        run.note(&format!("the kept connection has ended, client sends {id} once more"));
    }
}

/// The query's id in the id of a part.
pub fn query_of(part_id: &str) -> &str {
    part_id.split('.').next().unwrap_or_default()
}
