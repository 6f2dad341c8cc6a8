//! Stand-ins for discovery, index servers and clients, and the start of a front node by the run line of the
//! deploy file. Standard library only.
#![allow(dead_code)] // each case uses only some of these items

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SHARDS: u32 = 18;
pub const CELLS: u32 = 6;
pub const SERVERS: u32 = 12;
/// Slack of every time limit on sockets, and the time after a request's own in which an answer only earns
/// nothing.
pub const SLACK: Duration = Duration::from_millis(50);
pub const LATE: Duration = Duration::from_millis(500);

/// Writes record.txt, with the time in milliseconds since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open(folder: &Path) -> Arc<Record> {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Arc::new(Record { started: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>7} {}", text.as_ref());
    }

    /// Writes a line to record.txt and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Numbers that differ from run to run.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed) ^ clock;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The value that index servers make for a part: 16 hex digits that depend on the part's id.
pub fn made_value(part_id: &str) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in part_id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}")
}

/// One part of a call, as an index server read it.
#[derive(Clone, Debug)]
pub struct Part {
    pub id: String,
    pub shard: u32,
}

/// What an index server does on a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Afterwards {
    /// Goes on as usual.
    GoOn,
    /// Keeps the connection open and sends nothing more.
    Silence,
    /// Sends the same bytes again and again, for this long or until the connection ends.
    RepeatFor(Duration),
}

/// Returns the bytes that an index server sends for a part, given its own name and its sound answer frame, and
/// what it does afterwards.
pub type Answer = dyn Fn(&str, &Part, Vec<u8>) -> (Vec<u8>, Afterwards) + Send + Sync;

/// An index server of one cell. It works `work` on each part, any number at a time, and then answers.
pub struct Server {
    pub name: String,
    pub cell: u32,
    pub address: SocketAddr,
}

pub fn sound(_: &str, _: &Part, frame: Vec<u8>) -> (Vec<u8>, Afterwards) {
    (frame, Afterwards::GoOn)
}

pub fn start_servers(record: &Arc<Record>, work: Duration, answer: Arc<Answer>) -> Vec<Server> {
    (0..SERVERS)
        .map(|n| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().unwrap();
            let (name, cell) = (format!("s{n}"), n % CELLS);
            let (record, answer, of) = (record.clone(), answer.clone(), name.clone());
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (record, answer, of) = (record.clone(), answer.clone(), of.clone());
                    thread::spawn(move || serve_frames(stream, cell, work, &record, &answer, &of));
                }
            });
            Server { name, cell, address }
        })
        .collect()
}

fn serve_frames(
    stream: TcpStream,
    cell: u32,
    work: Duration,
    record: &Arc<Record>,
    answer: &Arc<Answer>,
    name: &str,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let writer = Arc::new(Mutex::new(Some(stream.try_clone().ok()?)));
    let mut reader = BufReader::new(stream);
    loop {
        let mut length = [0; 4];
        reader.read_exact(&mut length).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        reader.read_exact(&mut frame).ok()?;
        if frame[0] != b'1' {
            continue;
        }
        let mut rest = &frame[1..];
        while !rest.is_empty() {
            let mut line = String::new();
            rest.read_line(&mut line).ok()?;
            let words: Vec<&str> = line.split_whitespace().collect();
            let part = Part { id: words[0].to_owned(), shard: words[1].parse().ok()? };
            let text: usize = words[3].parse().ok()?;
            rest = &rest[text..];
            if part.shard % CELLS != cell {
                record.say(format!("VOID: {} sent to {name}, which does not hold its shard", part.id));
            }
            let (writer, record, answer) = (writer.clone(), record.clone(), answer.clone());
            let name = name.to_owned();
            thread::spawn(move || {
                thread::sleep(work);
                let content = format!("5{} S 1 -\n{}", part.id, made_value(&part.id));
                let mut bytes = (content.len() as u32).to_be_bytes().to_vec();
                bytes.extend_from_slice(content.as_bytes());
                let (bytes, afterwards) = answer(&name, &part, bytes);
                let mut writer = writer.lock().unwrap();
                let Some(stream) = writer.as_mut() else { return };
                let sent = stream.write_all(&bytes).is_ok();
                record.line(format!("{name} ran {} answer_written={sent}", part.id));
                match afterwards {
                    Afterwards::GoOn => {}
                    Afterwards::Silence => std::mem::forget(writer.take()),
                    Afterwards::RepeatFor(time) => {
                        let (began, copies) = (Instant::now(), bytes.repeat(200));
                        let mut sent = 0;
                        while began.elapsed() < time && stream.write_all(&copies).is_ok() {
                            sent += copies.len();
                        }
                        let took = began.elapsed().as_millis();
                        record.line(format!("{name} sent {sent} bytes of further copies in {took} ms"));
                    }
                }
            });
        }
    }
}

/// Returns the endpoint list in discovery's form.
pub fn endpoint_list(servers: &[Server]) -> String {
    let entries: Vec<String> = servers
        .iter()
        .map(|server| {
            format!(
                r#"{{"name":"{}","address":"{}","zone":"holesovice","type":"std-2c","group":{},"status":"up","weight":1.0,"since_ms":0}}"#,
                server.name, server.address, server.cell
            )
        })
        .collect();
    format!(r#"{{"index":41,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

/// Starts discovery: a list that never changes, with an empty line every 2 s on each watch.
pub fn start_discovery(list: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let list = list.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || serve_list(stream, &list));
        }
    });
    address
}

fn serve_list(mut stream: TcpStream, list: &str) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    while reader.read_line(&mut line)? > 0 && !line.ends_with("\r\n\r\n") {}
    if !line.contains("watch=1") {
        return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
    loop {
        thread::sleep(Duration::from_secs(2));
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}

/// A front node, started by the run line of the deploy file. Killed when dropped.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(std::env::temp_dir().join("node.pid"));
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Node {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The memory of the process in kB, without the pages of files; `None` once it has ended.
    pub fn memory_kb(pid: u32) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// Starts a front node and waits until it is ready. `root` is the repository's root.
pub fn start_node(
    root: &Path,
    list: &str,
    discovery: SocketAddr,
    sockets: u32,
    memory_mb: u32,
    effect: &str,
) -> Option<Node> {
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let run =
        deploy.lines().find_map(|line| line.strip_prefix("run = \"")).and_then(|r| r.split('"').next())?;
    let folder = std::env::temp_dir().join(format!("review-{}-{:x}", std::process::id(), random()));
    fs::create_dir_all(folder.join("tmp")).ok()?;
    // A port that was free a moment ago.
    let address = TcpListener::bind("127.0.0.1:0").ok()?.local_addr().ok()?;
    let config = format!(
        r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{list},"settings":{}}}"#,
        random(),
        settings(effect)
    );
    let path = folder.join("config.json");
    fs::write(&path, config).ok()?;
    let log = File::create(folder.join("log")).ok()?;
    let child = Command::new("/bin/sh")
        .args(["-c", run])
        .current_dir(root)
        .env("RELAY_CONFIG", &path)
        .env("RELAY_NAME", "n0")
        .env("RELAY_LISTEN", address.to_string())
        .env("RELAY_DISCOVERY", discovery.to_string())
        .env("TMPDIR", folder.join("tmp"))
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
        .ok()?;
    let node = Node { child, address, folder };
    // For run.sh, should this program be ended first.
    let _ = fs::write(std::env::temp_dir().join("node.pid"), node.pid().to_string());
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end {
        let ready = Client::connect(address).ok().and_then(|mut client| {
            client.stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n").ok()?;
            client.read_answer(Instant::now() + Duration::from_secs(1)).ok()
        });
        if ready.is_some_and(|answer| answer.status == 200) {
            return Some(node);
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

/// The settings of a small deployment: 12 index servers in 6 cells, 18 shards, one part a call.
fn settings(effect: &str) -> String {
    let class = |name: &str, aim: u64, limit: u64, gain: f64| {
        format!(
            r#"{{"name":"{name}","aim":{aim},"hard_limit":{limit},"gain":{gain:.1},"late_worth":0.1,"effect":"{effect}","dedup_window":5000000,"stream":false,"group":"all"}}"#
        )
    };
    format!(
        r#"{{"azs":["holesovice"],"zone":"holesovice","me":0,"fleet_size":1,"discovery":"ask","quantum":5000,"over_share_worth":0.05,
"classes":[{},{}],
"projects":[{{"name":"praha-vychod","quota_per_s":500.0,"share":1.0}}],"clients":{{"marks_retry":true}},
"fees":{{"waste":0.03}},"weight_kind":"nominal","counted_by":"request","family":"fanout",
"family_info":{{"batch":1,"call":0,"positions":{CELLS},"span":1,"slabs":{SHARDS},"need_by_class":[0.75,1.0],"class_floor":[0.75,1.0],
"partial_earns":[0.9,0.9],"second_step":[0,0]}},"feedback":{{"fields":[],"how":"none"}},
"permissions":{{"cancel":true,"may_duplicate":true,"retry_after":true,"max_retry_after":500000,"try_limit":4,"most_held":303,
"conn_idle":15000000,"connect_timeout":250000,"streams_per_conn":32,"peers":false,"probing":false}},
"rules":{{"cold_share":0.29,"warm_within":17000000,"tip_multiple":3.0,"fall":2000000,"must_ask_in":10000000,"drain_grace":2000000,
"grace_to_answer":20000}}}}"#,
        class("free-courier", 1_500_000, 5_000_000, 2.0),
        class("branch-report", 3_000_000, 6_000_000, 1.0)
    )
}

/// A query as a client sends it.
pub struct Query {
    pub id: String,
    pub text: String,
    pub expires: Duration,
}

/// Returns a query with a fresh id for these shards.
pub fn query(class: &str, shards: &[u32], expires: Duration) -> Query {
    let id = format!("{:016x}", random());
    let mass = 1.0 / shards.len() as f64;
    let slices: Vec<String> =
        shards.iter().map(|shard| format!(r#"{{"slice":{shard},"mass":{mass}}}"#)).collect();
    let body = format!(r#"{{"slices":[{}],"filter":"c41e77d0"}}"#, slices.join(","));
    let text = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Customer: praha-vychod\r\n\
         X-Expires-In-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        expires.as_millis(),
        body.len()
    );
    Query { id, text, expires }
}

pub struct HttpAnswer {
    pub status: u16,
    pub body: String,
}

/// Why a client got no answer.
#[derive(Debug, PartialEq)]
pub enum NoAnswer {
    /// Nothing until the time given.
    Silence,
    /// The front node ended the connection.
    Ended,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream })
    }

    /// Reads one answer that carries a length.
    pub fn read_answer(&mut self, until: Instant) -> Result<HttpAnswer, NoAnswer> {
        let mut bytes = Vec::new();
        loop {
            if let Some(answer) = whole_answer(&bytes) {
                return Ok(answer);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(NoAnswer::Silence);
            }
            self.stream.set_read_timeout(Some(left)).map_err(|_| NoAnswer::Ended)?;
            let mut buffer = [0; 16384];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(NoAnswer::Ended),
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(NoAnswer::Ended),
            }
        }
    }
}

fn whole_answer(bytes: &[u8]) -> Option<HttpAnswer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length:").map(str::to_owned))?
        .trim()
        .parse()
        .ok()?;
    (body.len() >= length).then(|| HttpAnswer { status, body: body[..length].to_owned() })
}

/// How a request ended for its client.
pub struct Ended {
    pub result: Result<HttpAnswer, NoAnswer>,
    pub took: Duration,
}

/// Sends a query on `client` (a new connection if there is none) and waits for its final answer until half a
/// second after its time, with the slack of sockets. If the front node ends the connection without an answer,
/// the client sends the request once more on a new connection, as the protocol page says.
pub fn ask(address: SocketAddr, client: &mut Option<Client>, query: &Query) -> Ended {
    let sent_at = Instant::now();
    let until = sent_at + query.expires + LATE + SLACK;
    let mut result = Err(NoAnswer::Ended);
    for _ in 0..2 {
        if client.is_none() {
            *client = Client::connect(address).ok();
        }
        let Some(connection) = client.as_mut() else { continue };
        let written = connection.stream.write_all(query.text.as_bytes()).is_ok();
        result = if written { connection.read_answer(until) } else { Err(NoAnswer::Ended) };
        match result {
            Ok(_) => break,
            Err(NoAnswer::Silence) => {
                *client = None;
                break;
            }
            Err(NoAnswer::Ended) => *client = None,
        }
    }
    Ended { result, took: sent_at.elapsed() }
}

/// The folder of the case, the repository's root, and whether the disruption is played.
pub struct Case {
    pub folder: PathBuf,
    pub root: PathBuf,
    pub trouble: bool,
}

pub fn case() -> Case {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    Case { folder: arguments[1].clone().into(), root: arguments[2].clone().into(), trouble }
}

pub fn could_not_run(record: &Record, why: &str) -> ExitCode {
    record.say(format!("the case could not run: {why}"));
    ExitCode::from(2)
}

/// Says the verdict: 1 if the rule was broken, else 0.
pub fn verdict(record: &Record, broken: usize, what: &str) -> ExitCode {
    if broken > 0 {
        record.say(format!("BROKEN: {what}"));
        ExitCode::from(1)
    } else {
        record.say(format!("held: {what}"));
        ExitCode::SUCCESS
    }
}
