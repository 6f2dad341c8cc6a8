//! The second step on the wire: its first part is sent before the others, which their index servers would answer as
//! errors if they arrived at the same moment.

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
    let program = FrontNode::start_ready(NODE, &config);
    let mut client = Client::connect(program.address);
    for _ in 0..40 {
        assert_eq!(client.send(&query("steps", &[0, 1, 2], 2000).1).status, 200);
    }
    // When the parts of each query's second step were read.
    let mut read_at: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for seen in servers.iter().flat_map(TimestampingServer::received) {
        for part in seen.parts.iter().filter(|part| part.id.ends_with(".phase2")) {
            let query = part.id.split('.').next().unwrap_or_default().to_owned();
            read_at.entry(query).or_default().push(seen.read_at);
        }
    }
    assert_eq!(read_at.len(), 40);
    // Parts are read a little after they were written; now and then the first is read after the second.
    let has_lead = |moments: &Vec<Instant>| {
        let mut moments = moments.clone();
        moments.sort();
        moments.len() >= 2 && moments[1] - moments[0] >= Duration::from_micros(700)
    };
    let in_order = read_at.values().filter(|moments| has_lead(moments)).count();
    assert!(in_order >= 30, "{in_order} of 40");
}
