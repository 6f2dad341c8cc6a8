//! Small stand-ins for the outside systems, and the program itself. They wait for conditions with a bound.
#![allow(dead_code)]

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for anything that has to happen.
pub const BOUND: Duration = Duration::from_secs(10);

/// Waits until something holds.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + BOUND;
    while !holds() {
        assert!(Instant::now() < end, "never came about: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn read_head(stream: &mut impl BufRead) -> Option<Vec<String>> {
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

// ---- discovery ----

#[derive(Clone, Copy, PartialEq)]
pub enum Telling {
    Well,
    Nothing,
    Refusing,
    Rubbish,
}

struct Told {
    telling: Telling,
    index: u64,
    entries: Vec<Value>,
    watches: u64,
    /// Watches begun before this number of drops are over.
    drops: u64,
}

pub struct Discovery {
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
}

impl Discovery {
    pub fn start(entries: Vec<Value>) -> Discovery {
        Discovery::start_at("127.0.0.1:0", entries)
    }

    pub fn start_at(address: &str, entries: Vec<Value>) -> Discovery {
        let listener = TcpListener::bind(address).expect("a port");
        let address = listener.local_addr().expect("an address");
        let told = Told { telling: Telling::Well, index: 1, entries, watches: 0, drops: 0 };
        let told = Arc::new(Mutex::new(told));
        let shared = told.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let told = shared.clone();
                thread::spawn(move || Discovery::watch(stream, &told));
            }
        });
        Discovery { address, told }
    }

    fn watch(stream: TcpStream, told: &Mutex<Told>) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let head = read_head(&mut reader)?;
        assert!(head[0].starts_with("GET /registry/instances?watch=1&after="), "{}", head[0]);
        let (telling, drops) = {
            let mut told = told.lock().expect("no panic");
            told.watches += 1;
            (told.telling, told.drops)
        };
        let mut stream = stream;
        match telling {
            Telling::Refusing => {
                stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").ok()?;
                return None;
            }
            Telling::Nothing => {
                thread::sleep(BOUND);
                return None;
            }
            Telling::Well | Telling::Rubbish => {}
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut sent = 0;
        let mut beat = Instant::now();
        loop {
            let (line, over) = {
                let told = told.lock().expect("no panic");
                let list = json!({"index": told.index, "snapshot": true, "endpoints": told.entries});
                let news = told.index != sent;
                sent = told.index;
                (news.then(|| list.to_string()), told.drops != drops)
            };
            if over {
                return None;
            }
            let line = match line {
                Some(_) if telling == Telling::Rubbish => "this is no list".to_owned(),
                Some(line) => line,
                None if beat.elapsed() > Duration::from_millis(500) => String::new(),
                None => {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
            };
            beat = Instant::now();
            // In two chunks, as it may come.
            let text = format!("{line}\n");
            let (a, b) = text.split_at(text.len() / 2);
            for part in [a, b].iter().filter(|part| !part.is_empty()) {
                write!(stream, "{:x}\r\n{part}\r\n", part.len()).ok()?;
            }
        }
    }

    pub fn telling(&self, telling: Telling) {
        self.told.lock().expect("no panic").telling = telling;
    }

    pub fn tell(&self, entries: Vec<Value>) {
        let mut told = self.told.lock().expect("no panic");
        told.entries = entries;
        told.index += 1;
    }

    /// Ends every watch there is.
    pub fn drop_watches(&self) {
        self.told.lock().expect("no panic").drops += 1;
    }

    pub fn watches(&self) -> u64 {
        self.told.lock().expect("no panic").watches
    }
}

// ---- index servers ----

#[derive(Clone, Debug, PartialEq)]
pub enum Doing {
    /// Answers with the shard as value and its number as score.
    Serving,
    /// The same, after a while.
    ServingAfter(Duration),
    /// Takes parts and says nothing.
    Silent,
    /// Says nothing more on the connections that it had by then, so many, and serves on others.
    SilentUpTo(u64),
    /// Answers with an error.
    Failing,
    /// Turns parts away.
    Full,
    /// Ends the connection once it has a frame.
    EndingAfterFrame,
    /// Says something that is no frame.
    Babbling,
    /// Answers for a part that nobody asked for.
    Confused,
    /// Ends the connection in the middle of an answer.
    EndingWithin,
    /// Stops in the middle of an answer and stays.
    Stalling,
    /// Says every answer twice.
    Doubling,
    /// Answers well and adds noise.
    AddingNoise,
    /// Answers well and ends the connection.
    EndingAfterAnswer,
}

#[derive(Clone, Debug, PartialEq)]
pub struct PartSeen {
    pub id: String,
    pub shard: u32,
    pub list: String,
    pub text: String,
}

struct Acts {
    doing: Doing,
    seen: Vec<PartSeen>,
    given_up: Vec<String>,
    connections: u64,
}

#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    acts: Arc<Mutex<Acts>>,
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

/// Reads a call's parts by hand, as the page has it.
fn parts(mut rest: &[u8]) -> Vec<PartSeen> {
    let mut all = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|byte| *byte == b'\n').expect("a line");
        let line = std::str::from_utf8(&rest[..end]).expect("text");
        let words: Vec<&str> = line.split(' ').collect();
        assert_eq!(words.len(), 4, "{line}");
        let length: usize = words[3].parse().expect("a length");
        let text = &rest[end + 1..end + 1 + length];
        all.push(PartSeen {
            id: words[0].into(),
            shard: words[1].parse().expect("a shard"),
            list: words[2].into(),
            text: String::from_utf8(text.to_vec()).expect("text"),
        });
        rest = &rest[end + 1 + length..];
    }
    all
}

impl Server {
    pub fn start(doing: Doing) -> Server {
        Server::start_at("127.0.0.1:0", doing)
    }

    pub fn start_at(address: &str, doing: Doing) -> Server {
        let listener = TcpListener::bind(address).expect("a port");
        let address = listener.local_addr().expect("an address");
        let acts = Acts { doing, seen: Vec::new(), given_up: Vec::new(), connections: 0 };
        let acts = Arc::new(Mutex::new(acts));
        let shared = acts.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let acts = shared.clone();
                let number = {
                    let mut acts = shared.lock().expect("no panic");
                    acts.connections += 1;
                    acts.connections
                };
                thread::spawn(move || Server::serve(stream, &acts, number));
            }
        });
        Server { address, acts }
    }

    fn serve(stream: TcpStream, acts: &Mutex<Acts>, number: u64) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let writer = Arc::new(Mutex::new(stream));
        loop {
            let mut length = [0; 4];
            reader.read_exact(&mut length).ok()?;
            let mut body = vec![0; u32::from_be_bytes(length) as usize];
            reader.read_exact(&mut body).ok()?;
            if body[0] == b'2' {
                let id = String::from_utf8(body[1..].to_vec()).expect("an id");
                acts.lock().expect("no panic").given_up.push(id);
                continue;
            }
            assert_eq!(body[0], b'1');
            let parts = parts(&body[1..]);
            let doing = {
                let mut acts = acts.lock().expect("no panic");
                acts.seen.extend(parts.clone());
                acts.doing.clone()
            };
            let say = |end: &str, value: bool| {
                let mut bytes = Vec::new();
                for part in &parts {
                    let value = if value { format!("value of {}", part.id) } else { String::new() };
                    bytes.extend(frame(
                        b'5',
                        format!("{} {end} {} -\n{value}", part.id, part.shard).as_bytes(),
                    ));
                }
                bytes
            };
            let bytes = match doing {
                Doing::Serving => say("S", true),
                Doing::ServingAfter(wait) => {
                    let (bytes, writer) = (say("S", true), writer.clone());
                    thread::spawn(move || {
                        thread::sleep(wait);
                        // The front node may have given up meanwhile.
                        let _ = writer.lock().expect("no panic").write_all(&bytes);
                    });
                    continue;
                }
                Doing::Silent => continue,
                Doing::SilentUpTo(old) if number <= old => continue,
                Doing::SilentUpTo(_) => say("S", true),
                Doing::Failing => say("E", false),
                Doing::Full => say("B", false),
                Doing::EndingAfterFrame => {
                    let writer = writer.lock().expect("no panic");
                    writer.shutdown(std::net::Shutdown::Both).ok()?;
                    return None;
                }
                Doing::Stalling => {
                    let mut bytes = say("S", true);
                    bytes.truncate(bytes.len() - 3);
                    bytes
                }
                Doing::Doubling => say("S", true).repeat(2),
                Doing::AddingNoise => [say("S", true), vec![0xff; 64]].concat(),
                Doing::EndingAfterAnswer => {
                    let mut writer = writer.lock().expect("no panic");
                    writer.write_all(&say("S", true)).ok()?;
                    writer.shutdown(std::net::Shutdown::Both).ok()?;
                    return None;
                }
                Doing::Babbling => b"HTTP/1.1 400 Bad Request\r\n\r\n".to_vec(),
                Doing::Confused => frame(b'5', b"nobody.1 S 1 -\nv"),
                Doing::EndingWithin => {
                    let bytes = say("S", true);
                    let mut writer = writer.lock().expect("no panic");
                    writer.write_all(&bytes[..bytes.len() - 3]).ok()?;
                    writer.shutdown(std::net::Shutdown::Both).ok()?;
                    return None;
                }
            };
            writer.lock().expect("no panic").write_all(&bytes).ok()?;
        }
    }

    pub fn doing(&self, doing: Doing) {
        self.acts.lock().expect("no panic").doing = doing;
    }

    pub fn seen(&self) -> Vec<PartSeen> {
        self.acts.lock().expect("no panic").seen.clone()
    }

    pub fn given_up(&self) -> Vec<String> {
        self.acts.lock().expect("no panic").given_up.clone()
    }

    pub fn connections(&self) -> u64 {
        self.acts.lock().expect("no panic").connections
    }
}

// ---- the program ----

pub struct Program {
    child: Child,
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    file: tempfile::TempPath,
}

/// A program that can't start: its exit code and what it said.
pub fn start_badly(config: &Value) -> (Option<i32>, String) {
    start_badly_with(config, &[])
}

/// The same with further variables in the environment.
pub fn start_badly_with(config: &Value, variables: &[(&str, &str)]) -> (Option<i32>, String) {
    let file = write_config(config);
    let mut child = Command::new(env!("CARGO_BIN_EXE_pinetrestle-node"))
        .env("RELAY_CONFIG", &file)
        .envs(variables.iter().copied())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let end = Instant::now() + BOUND;
    while child.try_wait().expect("it can be asked").is_none() && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    // One that serves all the same is ended here; it has no exit code then.
    let _ = child.kill();
    let output = child.wait_with_output().expect("it has ended");
    let said = [output.stderr, output.stdout].concat();
    (output.status.code(), String::from_utf8_lossy(&said).into_owned())
}

fn write_config(config: &Value) -> tempfile::TempPath {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(config.to_string().as_bytes()).expect("written");
    file.into_temp_path()
}

impl Program {
    pub fn start(config: &Value) -> Program {
        Program::start_under("true", config)
    }

    /// Starts it from a shell in which this was done before.
    pub fn start_under(first: &str, config: &Value) -> Program {
        let file = write_config(config);
        let mut child = Command::new("/bin/sh")
            .args(["-c", &format!("{first}; exec \"$0\""), env!("CARGO_BIN_EXE_pinetrestle-node")])
            .env("RELAY_CONFIG", &file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let output = child.stdout.take().expect("a pipe");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let shared = lines.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                shared.lock().expect("no panic").push(line);
            }
        });
        let mut address = None;
        eventually("the program says where it listens", || {
            let lines = lines.lock().expect("no panic");
            let line = lines.iter().find(|line| line.contains("msg=\"serving\""));
            address = line.and_then(|line| word(line, "listen")).and_then(|text| text.parse().ok());
            address.is_some()
        });
        Program { child, address: address.expect("an address"), lines, file }
    }

    pub fn started(config: &Value) -> Program {
        let program = Program::start(config);
        eventually("ready", || program.get("/health/ready").0 == 200);
        program
    }

    pub fn get(&self, path: &str) -> (u16, String) {
        let answer = Client::to(self.address).send(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
        (answer.status, answer.body)
    }

    pub fn stats(&self) -> Value {
        serde_json::from_str(&self.get("/stats").1).expect("JSON")
    }

    /// Reasons with which connections of a side have ended.
    pub fn reasons(&self, side: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("no panic");
        let ended = lines.iter().filter(|line| line.contains("msg=\"connection ended\""));
        ended
            .filter(|line| word(line, "side").as_deref() == Some(side))
            .filter_map(|line| word(line, "reason"))
            .collect()
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("no panic").clone()
    }

    /// The most memory it has held, in kilobytes.
    pub fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
        line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).expect("a number")
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    /// Stops it where it is, as a machine that stalls does.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Puts another text in the place of the configuration file, or nothing, and says so.
    pub fn reload(&self, text: Option<&str>) {
        match text {
            Some(text) => std::fs::write(&self.file, text).expect("written"),
            None => std::fs::remove_file(&self.file).expect("removed"),
        }
        self.signal("-HUP");
    }

    /// How many lines of the log hold all of these words.
    pub fn count(&self, words: &[&str]) -> usize {
        self.lines().iter().filter(|line| words.iter().all(|word| line.contains(word))).count()
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("ended");
    }

    /// The exit code, once it has ended.
    pub fn wait(&mut self) -> Option<i32> {
        let mut code = None;
        eventually("the program ends", || {
            code = self.child.try_wait().expect("it can be asked");
            code.is_some()
        });
        code.and_then(|code| code.code())
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("it can be asked").is_none()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The value of a key in a line of the log.
pub fn word(line: &str, key: &str) -> Option<String> {
    let from = line.find(&format!(" {key}="))? + key.len() + 2;
    let rest = &line[from..];
    Some(rest.split(' ').next().unwrap_or_default().to_owned())
}

// ---- clients ----

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub fields: HashMap<String, String>,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("JSON")
    }
}

pub struct Client {
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
    pub fn to(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(BOUND)).expect("a time-out");
        Client { stream: BufReader::new(stream) }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).expect("written");
    }

    pub fn try_read(&mut self) -> Option<Answer> {
        let head = read_head(&mut self.stream)?;
        let status = head[0].split(' ').nth(1).and_then(|word| word.parse().ok()).expect("a status");
        let fields: HashMap<String, String> = head[1..]
            .iter()
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
            .collect();
        let length = fields.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).ok()?;
        Some(Answer { status, fields, body: String::from_utf8(body).expect("text") })
    }

    pub fn read(&mut self) -> Answer {
        self.try_read().expect("an answer")
    }

    pub fn send(&mut self, text: &str) -> Answer {
        self.write(text.as_bytes());
        self.read()
    }

    /// Writes as far as the front node lets it.
    pub fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.stream.get_mut().write_all(bytes).is_ok()
    }

    /// Whether the front node has ended the connection, waiting for it.
    pub fn is_ended(&mut self) -> bool {
        let mut byte = [0];
        matches!(self.stream.read(&mut byte), Ok(0) | Err(_))
    }
}

/// A program whose log is read up to the line that names its address, and never again.
pub struct Unread {
    child: Child,
    pub address: SocketAddr,
    _output: BufReader<std::process::ChildStdout>,
    _file: tempfile::TempPath,
}

impl Unread {
    pub fn start(config: &Value) -> Unread {
        let file = write_config(config);
        let mut child = Command::new(env!("CARGO_BIN_EXE_pinetrestle-node"))
            .env("RELAY_CONFIG", &file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut output = BufReader::new(child.stdout.take().expect("a pipe"));
        let mut line = String::new();
        while !line.contains("msg=\"serving\"") {
            line.clear();
            assert!(output.read_line(&mut line).expect("text") > 0, "it ended");
        }
        let address = word(&line, "listen").and_then(|text| text.parse().ok()).expect("an address");
        Unread { child, address, _output: output, _file: file }
    }
}

impl Drop for Unread {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
