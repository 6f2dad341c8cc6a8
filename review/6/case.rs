//! Clients that stop in the middle of a head and stay: usual requests wait unread until their time is over.

#[path = "../common-2/mod.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

/// Number of clients that stop in the middle of a head.
const STOPPED_CLIENTS: usize = 200;
/// Time of a usual request.
const EXPIRES: u64 = 800;
/// Half a second after its time a request is lost; every time limit is extended by 50 ms.
const LOST_AFTER: f64 = EXPIRES as f64 + 500.0 + 50.0;

fn main() {
    let run = Run::begin("case 6: clients stop in the middle of a head and stay");
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
    let address = free_address();
    let known = list_json(1, &entries);
    let config = config(address, discovery.address, &known, &settings(&[]))
        .replace("\"sockets\":1024", "\"sockets\":256");
    let mut node = Node::start(&run, &config, address);
    node.wait_until_ready(&run);
    let usual = Clients::start(&run, address, 6, ms(150), |_| ("all", vec![0, 1, 2], EXPIRES, "c41e".into()));
    thread::sleep(ms(2000));
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    let stopped: Vec<_> = (0..if run.trouble { STOPPED_CLIENTS } else { 0 })
        .map(|_| {
            let (run, stop, answered) = (run.clone(), stop.clone(), answered.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    stop_in_the_middle(&run, address, &answered);
                }
            })
        })
        .collect();
    thread::sleep(ms(10_000));
    stop.store(true, Ordering::SeqCst);
    for client in stopped {
        let _ = client.join();
    }
    thread::sleep(ms(3000));
    let outcomes = usual.stop();
    let crashed = node.has_ended();
    node.end();
    let lost = outcomes
        .iter()
        .filter(|outcome| outcome.answered_at.is_none_or(|at| at - outcome.sent_at > LOST_AFTER))
        .count();
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    let text = format!(
        "usual requests without an answer {LOST_AFTER} ms after they were sent: {lost} of {} (served {served}); \
         stopped requests answered or closed: {}; front node ended: {crashed}",
        outcomes.len(),
        answered.load(Ordering::SeqCst)
    );
    run.verdict(if lost > 0 || crashed { BROKEN } else { HELD }, &text);
}

/// Sends half of a head, and stays until the front node answers or closes.
fn stop_in_the_middle(run: &Run, address: std::net::SocketAddr, answered: &AtomicU64) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        thread::sleep(ms(50));
        return;
    };
    let id = fresh_id();
    let sent = write!(stream, "POST /all HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {id}\r\nX-Qos: al");
    run.note(&format!("a client stops in the middle of the head of {id}"));
    if sent.is_ok() {
        let answer = read_answer(&mut stream, ms(8000));
        answered.fetch_add(1, Ordering::SeqCst);
        run.note(&format!("the stopped request {id} got {:?}", answer.map(|answer| answer.status)));
    }
}
