//! Restart and drain together where the list is pushed: discovery answers the first call of the new process late.

#[path = "../common-2/mod.rs"]
mod common;

use common::*;
use std::thread;

/// Grace of the settings and the page's extension of every time limit, in milliseconds.
const GRACE: f64 = 250.0;
const SLACK: f64 = 50.0;
/// Time that a call waits at a crowded discovery, in milliseconds.
const CROWDED: u64 = 1000;

fn main() {
    let run = Run::begin("case 10: an index server drains during a restart, and discovery is crowded");
    let traffic = Traffic::default();
    let servers: Vec<Server> = (0..6).map(|number| start_server(&run, number, &traffic, ms(10))).collect();
    let mut entries: Vec<Entry> = servers
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
    let start = |known: &[Entry], index: u64| {
        let known = list_json(index, known);
        Node::start(&run, &config(address, discovery.address, &known, &settings), address)
    };
    let mut node = start(&entries, 1);
    let (mut late, mut after, mut all, mut served) = (0, 0, 0, 0);
    for drained in [0, 1, 2] {
        node.wait_until_ready(&run);
        thread::sleep(ms(1500));
        // A planned restart. The index server begins to drain while the front node is down, so that `known` is the
        // list that the front node last had.
        node.signal("TERM");
        while !node.has_ended() {
            thread::sleep(ms(5));
        }
        node.end();
        run.note("front node has ended after SIGTERM");
        let known = entries.clone();
        discovery.change(true, |entries| entries[drained].status = "draining");
        entries[drained].status = "draining";
        run.note(&format!("s{drained} drains"));
        thread::sleep(ms(500));
        discovery.set_delay(ms(if run.trouble { CROWDED } else { 0 }));
        let told = run.now();
        node = start(&known, drained as u64 + 1);
        node.wait_until_ready(&run);
        let clients = Clients::start(&run, address, 4, ms(20), |number| {
            let first = (number % 3) as u32 * 3;
            ("all", vec![first, first + 1, first + 2], 1000, "c41e77d0".into())
        });
        thread::sleep(ms(2500));
        let outcomes = clients.stop();
        discovery.set_delay(ms(0));
        all += outcomes.len();
        served += outcomes.iter().filter(|outcome| outcome.status == 200).count();
        for part in traffic.parts.lock().unwrap().iter().filter(|part| part.server == drained) {
            after += usize::from(part.first_at > told);
            if part.first_at > told + GRACE + SLACK {
                late += 1;
                run.note(&format!(
                    "late: part {} to s{drained}, {:.1} ms after the new process began",
                    part.id,
                    part.first_at - told
                ));
            }
        }
    }
    node.end();
    if served * 10 < all * 9 {
        run.verdict(COULD_NOT_RUN, &format!("could not run: served {served} of {all}"));
    }
    let text = format!(
        "{late} parts went to a draining index server later than {} ms after the first moment of the new process \
         ({after} after it at all; served {served} of {all})",
        GRACE + SLACK
    );
    run.verdict(if late > 0 { BROKEN } else { HELD }, &text);
}
