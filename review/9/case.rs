//! Drains where the list is pushed: a watch ends instead of telling that an index server drains.

#[path = "../common-2/mod.rs"]
mod common;

use common::*;
use std::thread;

/// Grace of the settings and the page's extension of every time limit, in milliseconds.
const GRACE: f64 = 250.0;
const SLACK: f64 = 50.0;

fn main() {
    let run = Run::begin("case 9: a watch ends instead of telling that an index server drains");
    let traffic = Traffic::default();
    let servers: Vec<Server> = (0..6).map(|number| start_server(&run, number, &traffic, ms(10))).collect();
    let entries: Vec<Entry> = servers
        .iter()
        .map(|server| Entry {
            name: format!("s{}", server.number),
            address: server.address,
            group: server.number as u32 % 3,
            status: "up",
        })
        .collect();
    let discovery = Discovery::start(&run, entries.clone());
    let settings = settings(&[
        ("\"discovery\":\"ask\"", "\"discovery\":\"push\""),
        ("\"drain_grace\":1000000", "\"drain_grace\":250000"),
    ]);
    let address = free_address();
    let known = list_json(1, &entries);
    let node = Node::start(&run, &config(address, discovery.address, &known, &settings), address);
    node.wait_until_ready(&run);
    for _ in 0..500 {
        if discovery.open_watches() == 1 {
            break;
        }
        thread::sleep(ms(10));
    }
    if discovery.open_watches() != 1 {
        run.verdict(COULD_NOT_RUN, "could not run: the front node opened no watch within 5 s");
    }
    let clients = Clients::start(&run, address, 4, ms(20), |number| {
        let first = (number % 3) as u32 * 3;
        ("all", vec![first, first + 1, first + 2], 1000, "c41e77d0".into())
    });
    // Each server drains once: s0 and s3 hold the same shards, so do s1 and s4; one of each stays up.
    let mut late = 0;
    let mut after = 0;
    for drained in [0, 1, 2] {
        thread::sleep(ms(3000));
        let told = discovery.change(!run.trouble, |entries| entries[drained].status = "draining");
        run.note(&format!("s{drained} drains from {told:.1}"));
        thread::sleep(ms(2000));
        for part in traffic.parts.lock().unwrap().iter().filter(|part| part.server == drained) {
            after += usize::from(part.first_at > told);
            if part.first_at > told + GRACE + SLACK {
                late += 1;
                run.note(&format!(
                    "late: part {} to s{drained}, {:.1} ms after it was told",
                    part.id,
                    part.first_at - told
                ));
            }
        }
    }
    let outcomes = clients.stop();
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    node.end();
    if served * 10 < outcomes.len() * 9 {
        run.verdict(COULD_NOT_RUN, &format!("could not run: served {served} of {}", outcomes.len()));
    }
    let text = format!(
        "{late} parts went to a draining index server later than {} ms after the front node was told \
         ({after} after it was told at all; served {served} of {})",
        GRACE + SLACK,
        outcomes.len()
    );
    run.verdict(if late > 0 { BROKEN } else { HELD }, &text);
}
