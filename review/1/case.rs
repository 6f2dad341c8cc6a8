//! One client sends nothing but empty lines, at full speed. The usual clients must still get their answers.
//!
//! Two further peers that keep a socket readable are played with `PEER=pipeline` (one client sends health checks
//! without a pause and reads the answers) and `PEER=server` (one index server repeats an answer without an end).

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const USUAL_CLIENTS: u32 = 4;
const EXPIRES: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(250);
const DAY: Duration = Duration::from_secs(25);
const BAD_FROM: Duration = Duration::from_secs(5);
const BAD_FOR: Duration = Duration::from_secs(10);

fn main() -> ExitCode {
    let case = case();
    let record = Record::open(&case.folder);
    let peer = std::env::var("PEER").unwrap_or_else(|_| "lines".to_owned());
    let (started, repeats, notes) = (Instant::now(), case.trouble && peer == "server", record.clone());
    let answer = move |server: &str, part: &Part, frame: Vec<u8>| {
        let bad = repeats && server == "s0" && started.elapsed() > BAD_FROM;
        if !bad || started.elapsed() > BAD_FROM + BAD_FOR {
            return (frame, Afterwards::GoOn);
        }
        notes.line(format!("the answer to {} does not end", part.id));
        (frame, Afterwards::RepeatFor(BAD_FOR))
    };
    let servers = start_servers(&record, Duration::from_millis(20), Arc::new(answer));
    let list = endpoint_list(&servers);
    let discovery = start_discovery(&list);
    let Some(mut node) = start_node(&case.root, &list, discovery, 1024, 192, "retryable") else {
        return could_not_run(&record, "the front node did not become ready");
    };
    let address = node.address;
    let totals = Arc::new(Mutex::new((0_usize, 0_usize)));
    let mut threads = Vec::new();
    for number in 0..USUAL_CLIENTS {
        let (record, totals) = (record.clone(), totals.clone());
        threads.push(thread::spawn(move || {
            let mut client = None;
            while started.elapsed() < DAY {
                let shards: Vec<u32> = (0..3).map(|n| (number * 3 + n) % SHARDS).collect();
                let query = query("branch-report", &shards, EXPIRES);
                record.line(format!("client {number} sends {}", query.id));
                let ended = ask(address, &mut client, &query);
                let took = ended.took.as_millis();
                let answer = match &ended.result {
                    Ok(answer) => format!("answer {}", answer.status),
                    Err(error) => format!("LOST, no final answer ({error:?})"),
                };
                record.line(format!("client {number} {} after {took} ms: {answer}", query.id));
                let mut totals = totals.lock().unwrap();
                totals.0 += 1;
                totals.1 += usize::from(ended.result.is_err());
                drop(totals);
                thread::sleep(PAUSE);
            }
        }));
    }
    let sends = match peer.as_str() {
        "lines" => b"\r\n".repeat(16 * 1024),
        _ => b"GET /health/live HTTP/1.1\r\nHost: app.svc\r\n\r\n".repeat(500),
    };
    if case.trouble && peer != "server" {
        thread::sleep(BAD_FROM);
        let record = record.clone();
        threads.push(thread::spawn(move || send_without_pause(address, &sends, &record)));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let (sent, lost) = *totals.lock().unwrap();
    let crashed = usize::from(!node.runs());
    verdict(
        &record,
        lost + crashed,
        &format!("{lost} of {sent} requests of usual clients lost, {crashed} crashed"),
    )
}

/// Sends these bytes again and again and reads whatever comes, until the front node ends the connection.
fn send_without_pause(address: SocketAddr, bytes: &[u8], record: &Record) {
    let Ok(mut client) = Client::connect(address) else { return };
    let began = Instant::now();
    let mut reader = client.stream.try_clone().expect("a second handle");
    thread::spawn(move || {
        let mut buffer = [0; 65536];
        while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    let _ = client.stream.set_write_timeout(Some(Duration::from_secs(1)));
    record.line("the bad client connects and sends");
    let (mut sent, mut at) = (0, 0);
    let mut end = "is still open";
    while began.elapsed() < BAD_FOR {
        match client.stream.write(&bytes[at..]) {
            Ok(count) => {
                sent += count;
                at = (at + count) % bytes.len();
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => {
                end = "was ended by the front node";
                break;
            }
        }
    }
    let after = began.elapsed().as_millis();
    record.say(format!("the bad client's connection {end} after {after} ms, {sent} bytes sent; it leaves"));
}
