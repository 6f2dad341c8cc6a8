//! Now and then an index server's answer comes with a length that does not fit: too small by 1 to 8 bytes.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const USUAL_CLIENTS: u32 = 4;
const EXPIRES: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(50);
const DAY: Duration = Duration::from_secs(20);
/// One answer in this many is spoilt.
const SPOILT: u64 = 20;

fn main() -> ExitCode {
    let case = case();
    let record = Record::open(&case.folder);
    let (trouble, spoils) = (case.trouble, record.clone());
    let answer = move |_: &str, part: &Part, mut frame: Vec<u8>| {
        if !trouble || random() % SPOILT != 0 {
            return (frame, Afterwards::GoOn);
        }
        let missing = 1 + (random() % 8) as u32;
        let length = u32::from_be_bytes(frame[..4].try_into().unwrap());
        frame[..4].copy_from_slice(&(length - missing).to_be_bytes());
        spoils.line(format!("spoilt answer to {}: length {} instead of {length}", part.id, length - missing));
        // The connection is of no more use but stays open.
        (frame, Afterwards::Silence)
    };
    let servers = start_servers(&record, Duration::from_millis(20), Arc::new(answer));
    let list = endpoint_list(&servers);
    let discovery = start_discovery(&list);
    let Some(mut node) = start_node(&case.root, &list, discovery, 1024, 192, "retryable") else {
        return could_not_run(&record, "the front node did not become ready");
    };
    let address = node.address;
    let started = Instant::now();
    let totals = Arc::new(Mutex::new((0_usize, 0_usize)));
    let mut threads = Vec::new();
    for number in 0..USUAL_CLIENTS {
        let (record, totals) = (record.clone(), totals.clone());
        threads.push(thread::spawn(move || {
            let mut client = None;
            while started.elapsed() < DAY {
                let first = random() as u32 % SHARDS;
                let shards: Vec<u32> = (0..4).map(|n| (first + n) % SHARDS).collect();
                let query = query("branch-report", &shards, EXPIRES);
                record.line(format!("client {number} sends {}", query.id));
                let ended = ask(address, &mut client, &query);
                let mut foreign = 0;
                match &ended.result {
                    Ok(answer) => {
                        record.line(format!("client {number} {} answer {} {}", query.id, answer.status, answer.body));
                        if answer.status == 200 {
                            for (shard, value) in items(&answer.body) {
                                let made = made_value(&format!("{}.{shard}", query.id));
                                if value != made {
                                    foreign = 1;
                                    record.line(format!(
                                        "WRONG VALUE: {}.{shard} served as {value:?}, the index server made {made:?}",
                                        query.id
                                    ));
                                }
                            }
                        }
                    }
                    Err(error) => record.line(format!("client {number} {} no answer {error:?}", query.id)),
                }
                let mut totals = totals.lock().unwrap();
                totals.0 += 1;
                totals.1 += foreign;
                drop(totals);
                thread::sleep(PAUSE);
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let (sent, wrong) = *totals.lock().unwrap();
    if !node.runs() {
        record.say("the front node has ended");
    }
    verdict(
        &record,
        wrong,
        &format!("{wrong} of {sent} requests were served a value that no index server made"),
    )
}

/// Returns the shard and the value of each item of an answer's body.
fn items(body: &str) -> Vec<(u32, String)> {
    body.split("{\"slice\":")
        .skip(1)
        .filter_map(|item| {
            let (shard, rest) = item.split_once(",\"body\":\"")?;
            Some((shard.parse().ok()?, rest.split('"').next()?.to_owned()))
        })
        .collect()
}
