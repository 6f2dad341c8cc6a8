//! Clients that stop in the middle of a long request and stay: usual requests with long bodies get no answer in time.

#[path = "../common-2/mod.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

/// Number of clients that stop in the middle of a request.
const STOPPED_CLIENTS: usize = 160;
/// Body that they announce, in bytes; the page allows 64 KiB.
const ANNOUNCED: usize = 60_000;
/// Time of a usual request.
const EXPIRES: u64 = 800;
/// Half a second after its time a request is lost; every time limit is extended by 50 ms.
const LOST_AFTER: f64 = EXPIRES as f64 + 500.0 + 50.0;

fn main() {
    let run = Run::begin("case 7: clients stop in the middle of a long request and stay");
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
        .replace("\"memory_mb\":192", "\"memory_mb\":32");
    let mut node = Node::start(&run, &config, address);
    node.wait_until_ready(&run);
    // Requests of 12 kB and of 0.3 kB.
    let long_text = "x".repeat(12_000);
    let long = Clients::start(&run, address, 3, ms(150), move |_| {
        ("all", vec![0, 1, 2], EXPIRES, long_text.clone())
    });
    let short = Clients::start(&run, address, 3, ms(150), |_| ("all", vec![0, 1, 2], EXPIRES, "c41e".into()));
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
    let (long, short) = (long.stop(), short.stop());
    let crashed = node.has_ended();
    node.end();
    let count = |outcomes: &[Outcome]| {
        let lost = outcomes
            .iter()
            .filter(|outcome| outcome.answered_at.is_none_or(|at| at - outcome.sent_at > LOST_AFTER));
        lost.count()
    };
    let served = |outcomes: &[Outcome]| outcomes.iter().filter(|outcome| outcome.status == 200).count();
    let (lost_long, lost_short) = (count(&long), count(&short));
    let text = format!(
        "usual requests without an answer {LOST_AFTER} ms after they were sent: {lost_long} of {} with long bodies \
         (served {}), {lost_short} of {} with short ones (served {}); stopped requests answered or closed: {}; \
         front node ended: {crashed}",
        long.len(),
        served(&long),
        short.len(),
        served(&short),
        answered.load(Ordering::SeqCst)
    );
    run.verdict(if lost_long + lost_short > 0 || crashed { BROKEN } else { HELD }, &text);
}

/// Sends a head and the first part of its body, and stays until the front node answers or closes.
fn stop_in_the_middle(run: &Run, address: std::net::SocketAddr, answered: &AtomicU64) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        thread::sleep(ms(50));
        return;
    };
    let id = fresh_id();
    let sent = write!(
        stream,
        "POST /all HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {id}\r\nX-Qos: all\r\nX-Customer: north\r\n\
         X-Expires-In-Ms: 800\r\nContent-Length: {ANNOUNCED}\r\n\r\n{{\"slices\":[{{\"slice\":0,\"mass\":0.5}},"
    );
    run.note(&format!("a client stops in the middle of {id}"));
    if sent.is_ok() {
        let answer = read_answer(&mut stream, ms(5000));
        answered.fetch_add(1, Ordering::SeqCst);
        run.note(&format!("the stopped request {id} got {:?}", answer.map(|answer| answer.status)));
    }
}
