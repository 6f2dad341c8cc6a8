//! Clients that send many requests at once and go: the front node goes on sending parts for them.

#[path = "../common-2/mod.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;

/// Number of requests that such a client sends at once.
const REQUESTS: usize = 400;
/// Time after a client's close from which on no attempt for it may begin: 0.1 s, and every time limit is extended by
/// 50 ms.
const ALLOWED: f64 = 100.0 + 50.0;

fn main() {
    let run = Run::begin("case 8: clients send many requests at once and go");
    let traffic = Traffic::default();
    let servers: Vec<Server> = (0..6).map(|number| start_server(&run, number, &traffic, ms(200))).collect();
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
    let address = free_address();
    let known = list_json(1, &entries);
    let config = config(address, discovery.address, &known, &settings(&[]));
    let node = Node::start(&run, &config, address);
    node.wait_until_ready(&run);
    let clients =
        Clients::start(&run, address, 2, ms(100), |_| ("steps", vec![0, 1, 2], 2000, "c41e".into()));
    thread::sleep(ms(1500));
    let text = "x".repeat(3000);
    let mut left = Vec::new();
    for _ in 0..10 {
        let ids: Vec<String> = (0..if run.trouble { REQUESTS } else { 1 }).map(|_| fresh_id()).collect();
        let bytes: Vec<u8> =
            ids.iter().flat_map(|id| request(id, "steps", &[0, 1, 2], 2000, &text)).collect();
        let mut stream = TcpStream::connect(address).expect("connect");
        stream.set_write_timeout(Some(ms(100))).unwrap();
        let sent = stream.write_all(&bytes).is_ok();
        drop(stream);
        let closed_at = run.now();
        run.note(&format!(
            "a client sent {} requests from {} ({} bytes, all: {sent}) and closed",
            ids.len(),
            ids[0],
            bytes.len()
        ));
        left.push((ids, closed_at));
        thread::sleep(ms(1200));
    }
    let outcomes = clients.stop();
    let (mut late, mut clients_late) = (0, 0);
    for (ids, closed_at) in &left {
        let before = late;
        for part in
            traffic.parts.lock().unwrap().iter().filter(|part| ids.iter().any(|id| *id == query_of(&part.id)))
        {
            if part.first_at > closed_at + ALLOWED {
                late += 1;
                run.note(&format!(
                    "late: part {} began {:.1} ms after its client had closed",
                    part.id,
                    part.first_at - closed_at
                ));
            }
        }
        clients_late += usize::from(late > before);
    }
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    node.end();
    let text = format!(
        "{late} parts began more than {ALLOWED} ms after their client had closed, for {clients_late} of {} clients \
         (usual requests served: {served} of {})",
        left.len(), outcomes.len()
    );
    run.verdict(if late > 0 { BROKEN } else { HELD }, &text);
}
