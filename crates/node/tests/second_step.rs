//! A second step on the wire: its first part goes ahead of the others, whose index servers would answer them as errors
//! if they came in the same moment.

use pinetrestle_standins::{
    config_json, entries_at, list, query, Client, Discovery, Program, Stamping, Work,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

#[test]
fn the_first_part_of_a_second_step_goes_ahead_of_the_others() {
    let servers: Vec<Stamping> = (0..6).map(|_| Stamping::start(Work::default())).collect();
    let lines = entries_at(servers.iter().map(|server| server.address));
    let discovery = Discovery::start(lines.clone());
    let config = config_json("127.0.0.1:0", &discovery.address.to_string(), &list(1, &lines));
    let program = Program::started(NODE, &config);
    let mut client = Client::to(program.address);
    for _ in 0..40 {
        assert_eq!(client.send(&query("steps", &[0, 1, 2], 2000).1).status, 200);
    }
    let mut read: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for seen in servers.iter().flat_map(Stamping::seen) {
        for part in seen.parts.iter().filter(|part| part.id.ends_with(".phase2")) {
            let query = part.id.split('.').next().unwrap_or_default().to_owned();
            read.entry(query).or_default().push(seen.at);
        }
    }
    assert_eq!(read.len(), 40);
    // Each is read a little after it was written, the first later than the second now and then.
    let ahead = |moments: &Vec<Instant>| {
        let mut moments = moments.clone();
        moments.sort();
        moments.len() >= 2 && moments[1] - moments[0] >= Duration::from_micros(700)
    };
    let well = read.values().filter(|moments| ahead(moments)).count();
    assert!(well >= 30, "{well} of 40");
}
