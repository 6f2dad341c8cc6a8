//! 200 clients stop in the middle of a request and stay; as soon as they get their error they do so again.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const EXPIRES: Duration = Duration::from_millis(480);
const PAUSE: Duration = Duration::from_millis(200);
const DAY: Duration = Duration::from_secs(25);
const BAD_CLIENTS: u32 = 200;
const BAD_FROM: Duration = Duration::from_secs(5);
const BAD_UNTIL: Duration = Duration::from_secs(20);
const SOCKETS: u32 = 256;

fn main() -> ExitCode {
    let case = case();
    let record = Record::open(&case.folder);
    let servers = start_servers(&record, Duration::from_millis(20), Arc::new(sound));
    let list = endpoint_list(&servers);
    let discovery = start_discovery(&list);
    let Some(mut node) = start_node(&case.root, &list, discovery, SOCKETS, 192, "retryable") else {
        return could_not_run(&record, "the front node did not become ready");
    };
    let address = node.address;
    let started = Instant::now();
    if case.trouble {
        for number in 0..BAD_CLIENTS {
            let record = record.clone();
            thread::spawn(move || stop_in_the_middle(number, address, started, &record));
        }
    }
    let totals = Arc::new(Mutex::new((0_usize, 0_usize, 0_usize)));
    let mut threads = Vec::new();
    while started.elapsed() < DAY {
        let (record, totals) = (record.clone(), totals.clone());
        // Each usual client asks once, on a connection of its own.
        threads.push(thread::spawn(move || {
            let first = random() as u32 % SHARDS;
            let query = query("branch-report", &[first, (first + 1) % SHARDS], EXPIRES);
            record.line(format!("client sends {}", query.id));
            let ended = ask(address, &mut None, &query);
            let took = ended.took.as_millis();
            let answer = match &ended.result {
                Ok(answer) => format!("answer {}", answer.status),
                Err(NoAnswer::Ended) => {
                    "connection ended without an answer (excused: shut unread)".to_owned()
                }
                Err(NoAnswer::Silence) => "LOST, no final answer half a second after its time".to_owned(),
            };
            record.line(format!("client {} after {took} ms: {answer}", query.id));
            let mut totals = totals.lock().unwrap();
            totals.0 += 1;
            match ended.result {
                Err(NoAnswer::Silence) => totals.1 += 1,
                Err(NoAnswer::Ended) => totals.2 += 1,
                Ok(_) => {}
            }
        }));
        thread::sleep(PAUSE);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let (sent, lost, shut) = *totals.lock().unwrap();
    let crashed = usize::from(!node.runs());
    let what =
        format!("{lost} of {sent} requests of usual clients lost, {shut} shut unread, {crashed} crashed");
    verdict(&record, lost + crashed, &what)
}

/// Sends the head and a part of the body of a request, and waits for the error or the close. Then once more.
fn stop_in_the_middle(number: u32, address: SocketAddr, started: Instant, record: &Record) {
    thread::sleep(BAD_FROM);
    while started.elapsed() < BAD_UNTIL {
        let began = Instant::now();
        let Ok(mut client) = Client::connect(address) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let text = query("branch-report", &[0, 1], Duration::from_secs(6)).text;
        let half = &text.as_bytes()[..text.len() - 20];
        let _ = client.stream.write_all(half);
        let _ = client.stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut buffer = [0; 4096];
        let mut read = 0;
        while let Ok(count @ 1..) = client.stream.read(&mut buffer) {
            read += count;
        }
        let _ = client.stream.shutdown(Shutdown::Both);
        if number < 5 {
            let after = began.elapsed().as_millis();
            record.line(format!("bad client {number}: {read} bytes and a close after {after} ms"));
        }
    }
}
