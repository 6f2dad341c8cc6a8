//! 200 clients send hundreds of requests at once, each with a body just under 64 KiB, and read what comes. The
//! platform's stand-in kills the front node once it holds more memory than `memory_mb`.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::process::{Command, ExitCode};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SOCKETS: u32 = 384;
const MEMORY_MB: u32 = 48;
const BAD_CLIENTS: u32 = 200;
/// Requests that a bad client sends at once.
const AT_ONCE: u32 = 300;
const FILTER_BYTES: usize = 65_000;
const CHUNK_BYTES: usize = 1_000;
const USUAL_CLIENTS: u32 = 4;
const EXPIRES: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(100);
const DAY: Duration = Duration::from_secs(20);
const BAD_FROM: Duration = Duration::from_secs(5);
const BAD_UNTIL: Duration = Duration::from_secs(15);

fn main() -> ExitCode {
    let case = case();
    let record = Record::open(&case.folder);
    let servers = start_servers(&record, Duration::from_millis(100), Arc::new(sound));
    let list = endpoint_list(&servers);
    let discovery = start_discovery(&list);
    let Some(mut node) = start_node(&case.root, &list, discovery, SOCKETS, MEMORY_MB, "retryable") else {
        return could_not_run(&record, "the front node did not become ready");
    };
    let (address, pid) = (node.address, node.pid());
    let started = Instant::now();
    let platform = {
        let record = record.clone();
        thread::spawn(move || watch_memory(pid, started, &record))
    };
    if case.trouble {
        for number in 0..BAD_CLIENTS {
            thread::spawn(move || send_many_at_once(number, address, started));
        }
    }
    let totals = Arc::new(Mutex::new((0_usize, 0_usize)));
    let usual = (0..USUAL_CLIENTS).map(|number| {
        let (record, totals) = (record.clone(), totals.clone());
        thread::spawn(move || {
            let mut client = None;
            while started.elapsed() < DAY {
                let first = random() as u32 % SHARDS;
                let query = query("free-courier", &[first, (first + 1) % SHARDS], EXPIRES);
                let ended = ask(address, &mut client, &query);
                let answer = match &ended.result {
                    Ok(answer) => format!("answer {}", answer.status),
                    Err(error) => format!("no answer ({error:?})"),
                };
                let took = ended.took.as_millis();
                record.line(format!("usual client {number} {} after {took} ms: {answer}", query.id));
                let mut totals = totals.lock().unwrap();
                totals.0 += 1;
                totals.1 += usize::from(ended.result.is_err());
                drop(totals);
                thread::sleep(PAUSE);
            }
        })
    });
    for thread in usual.collect::<Vec<_>>() {
        let _ = thread.join();
    }
    let (peak, killed) = platform.join().unwrap_or((0, false));
    let (sent, unanswered) = *totals.lock().unwrap();
    let crashed = killed || !node.runs();
    let what = format!(
        "at most {peak} kB of {} kB, killed by the platform: {killed}; {unanswered} of {sent} requests of usual clients got no answer",
        MEMORY_MB * 1024
    );
    verdict(&record, usize::from(crashed), &what)
}

/// The platform: over `memory_mb` the front node is killed. Returns the most memory seen and whether it was.
fn watch_memory(pid: u32, started: Instant, record: &Record) -> (u64, bool) {
    let limit = u64::from(MEMORY_MB) * 1024;
    let (mut peak, mut said) = (0, 0);
    while started.elapsed() < DAY {
        let Some(now) = Node::memory_kb(pid) else { break };
        peak = peak.max(now);
        if peak >= said + 4096 {
            said = peak;
            record.line(format!("the front node holds {now} kB"));
        }
        if now > limit {
            record.say(format!("the front node holds {now} kB, over its {limit} kB: killed"));
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
            return (peak, true);
        }
        thread::sleep(Duration::from_millis(10));
    }
    (peak, false)
}

/// Sends hundreds of sound requests at once, in chunks, and reads whatever comes; then the same again.
fn send_many_at_once(number: u32, address: SocketAddr, started: Instant) {
    thread::sleep(BAD_FROM.saturating_sub(started.elapsed()));
    while started.elapsed() < BAD_UNTIL {
        let Ok(mut client) = Client::connect(address) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let Ok(mut reader) = client.stream.try_clone() else { continue };
        thread::spawn(move || {
            let mut buffer = [0; 65536];
            while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        for request in 0..AT_ONCE {
            let shard = (number * 7 + request) % SHARDS;
            let text = in_chunks(&query("branch-report", &[shard], Duration::from_secs(6)).text);
            if started.elapsed() > BAD_UNTIL || client.stream.write_all(text.as_bytes()).is_err() {
                break;
            }
        }
    }
}

/// Returns the request with a long filter and a body in chunks.
fn in_chunks(text: &str) -> String {
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let mut text = String::new();
    for line in head.lines().filter(|line| !line.starts_with("Content-Length")) {
        text.push_str(&format!("{line}\r\n"));
    }
    text.push_str("Transfer-Encoding: chunked\r\n\r\n");
    let body = body.replace("c41e77d0", &"c".repeat(FILTER_BYTES));
    for chunk in body.as_bytes().chunks(CHUNK_BYTES) {
        text.push_str(&format!("{:x}\r\n{}\r\n", chunk.len(), String::from_utf8_lossy(chunk)));
    }
    text.push_str("0\r\n\r\n");
    text
}
