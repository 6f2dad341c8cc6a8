//! Index servers that all stop reading at once under load and later resume: the front node must not send
//! retries during the stall.
//!
//! The servers accept few parts per connection, and a cancel does not stop a part that runs. Retries sent
//! during a stall would therefore wait behind running parts and be read long after the stall.

use pinetrestle_standins::{
    config_json, endpoint_list, entries_at, eventually, query, Client, Discovery, FrontNode,
    TimestampingServer, WorkProfile,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A front node with a discovery service and six index servers, two in each of three cells.
struct Deployment {
    servers: Vec<TimestampingServer>,
    front_node: FrontNode,
    _discovery: Discovery,
}

impl Deployment {
    fn new(work: &WorkProfile) -> Deployment {
        let servers: Vec<TimestampingServer> =
            (0..6).map(|_| TimestampingServer::start(work.clone())).collect();
        let discovery = Discovery::start(entries_at(servers.iter().map(|server| server.address)));
        let mut config = config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(0, &[]));
        config["settings"]["permissions"]["most_held"] = 1000.into();
        config["settings"]["permissions"]["streams_per_conn"] = work.max_parts_per_connection.into();
        let front_node = FrontNode::start_ready(NODE, &config);
        Deployment { servers, front_node, _discovery: discovery }
    }

    /// Starts clients that each send one query after another until `stop` is set.
    fn start_clients(
        &self,
        clients: usize,
        pause: Duration,
        stop: &Arc<AtomicBool>,
    ) -> Vec<thread::JoinHandle<()>> {
        let threads = (0..clients).map(|_| {
            let (address, stop) = (self.front_node.address, stop.clone());
            thread::spawn(move || {
                let mut client = Client::connect(address);
                while !stop.load(Ordering::Relaxed) {
                    assert_eq!(client.send(&query("any", &[0, 1, 2], 2000).text).status, 200);
                    thread::sleep(pause);
                }
            })
        });
        threads.collect()
    }

    /// Returns a counter of attempts from `/stats`.
    fn attempts(&self, kind: &str) -> u64 {
        self.front_node.stats()["attempts"][kind].as_u64().expect("a count")
    }
}

#[test]
fn no_retries_are_sent_while_all_servers_stall() {
    let service_times = [2, 3, 2, 4, 2, 3, 2, 30].map(ms).to_vec();
    let work = WorkProfile {
        max_parts_per_connection: 8,
        cancel_stops_work: false,
        service_times,
        ..WorkProfile::default()
    };
    let deployment = Deployment::new(&work);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = deployment.start_clients(12, ms(40), &stop);
    eventually("the front node has measured typical latencies", || deployment.attempts("ok") > 400);
    let before = deployment.attempts("further");
    for _ in 0..12 {
        deployment.servers.iter().for_each(TimestampingServer::stop_reading);
        thread::sleep(ms(250));
        deployment.servers.iter().for_each(TimestampingServer::resume_reading);
        thread::sleep(ms(150));
    }
    let retries = deployment.attempts("further") - before;
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("every query was served"));
    assert!(retries <= 20, "{retries} retries in twelve stalls");
}
