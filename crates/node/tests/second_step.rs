//! The order of the parts of a query's second step: the first one is sent before the others, because index
//! servers would answer the others with errors if all arrived at the same moment.

use pinetrestle_standins::{
    config_json, endpoint_list, entries_at, query, Client, Discovery, FrontNode, TimestampingServer,
    WorkProfile,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

#[test]
fn the_first_part_of_a_second_step_is_sent_before_the_others() {
    let servers: Vec<TimestampingServer> =
        (0..6).map(|_| TimestampingServer::start(WorkProfile::default())).collect();
    let entries = entries_at(servers.iter().map(|server| server.address));
    let discovery = Discovery::start(entries.clone());
    let config = config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(1, &entries));
    let front_node = FrontNode::start_ready(NODE, &config);
    let mut client = Client::connect(front_node.address);
    for _ in 0..40 {
        assert_eq!(client.send(&query("steps", &[0, 1, 2], 2000).text).status, 200);
    }
    // When the index servers read the second-step parts of each query, by query id.
    let mut read_at: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for frame in servers.iter().flat_map(TimestampingServer::received) {
        for part in frame.parts.iter().filter(|part| part.id.ends_with(".phase2")) {
            let query = part.id.split('.').next().unwrap_or_default().to_owned();
            read_at.entry(query).or_default().push(frame.read_at);
        }
    }
    assert_eq!(read_at.len(), 40);
    // Parts are read some time after they are written, and sometimes the first is read after the second.
    // Therefore only 30 of the 40 queries have to show the expected gap of 700 µs.
    let has_gap = |times: &Vec<Instant>| {
        let mut times = times.clone();
        times.sort();
        times.len() >= 2 && times[1] - times[0] >= Duration::from_micros(700)
    };
    let with_gap = read_at.values().filter(|times| has_gap(times)).count();
    assert!(with_gap >= 30, "{with_gap} of 40 queries");
}
