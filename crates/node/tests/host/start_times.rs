//! Start times of index servers: conversion from Unix time in the endpoint list to the host's clock.

use crate::common::config;
use pinetrestle::interface::Micros;
use pinetrestle_node::counters::Counters;
use pinetrestle_node::host::Host;
use pinetrestle_protocol::endpoint_list::{EndpointEntry, ListUpdate, Status};
use pinetrestle_protocol::watch_supervisor::WatchEnd;
use std::rc::Rc;

/// Microseconds per second.
const SECOND: i64 = 1_000_000;
/// Unix time at which the host's clock was at 0, according to the wall clocks of discovery and the index
/// servers, in milliseconds.
const EPOCH_MS: i64 = 1_700_000_000_000;

/// A host that receives endpoint lists with start times at times that the test sets.
struct StartTimeHarness {
    host: Host,
    version: u64,
}

impl StartTimeHarness {
    fn new() -> StartTimeHarness {
        let config = config();
        let counters = Rc::new(Counters::new(&config.deployment.classes));
        let host = Host::new(Rc::new(config.deployment.clone()), counters, 5, Micros(0));
        StartTimeHarness { host, version: 0 }
    }

    /// Passes an endpoint list update to the host at the second `at` of its clock. `starts` has the name of
    /// each server and the second of the host's clock at which it states to have started.
    fn update(&mut self, at: f64, complete: bool, starts: &[(&str, i64)]) {
        let entries = starts.iter().map(|(name, start)| EndpointEntry {
            name: (*name).to_owned(),
            address: "127.0.0.1:7000".to_owned(),
            cell: 0,
            status: Status::Up,
            weight: 1.0,
            start_time_ms: EPOCH_MS + start * 1000,
        });
        self.version += 1;
        let update = ListUpdate { version: self.version, complete, entries: entries.collect() };
        self.host.endpoint_update(Micros((at * SECOND as f64) as i64), &update, false);
    }

    /// Returns the start time that the host assumes for a server, in seconds of its clock.
    fn started_second(&self, name: &str) -> Option<i64> {
        self.host.started_at(name).map(|at| at.0 / SECOND)
    }
}

#[test]
fn start_times_are_converted_relative_to_the_latest_listed_start() {
    let mut harness = StartTimeHarness::new();
    // The first list is received at 2 s. Its servers started 100 s and 3 s before the host. As far as the
    // host can tell, the younger one may have started just now; the older one started 97 s earlier.
    harness.update(2.0, true, &[("old", -100), ("young", -3)]);
    assert_eq!(harness.started_second("young"), Some(2));
    assert_eq!(harness.started_second("old"), Some(2 - 97));
    // A server that started at 10 s is listed at 10.5 s and again, unchanged, at 30 s. Another one is listed
    // 4 s after its start.
    harness.update(10.5, false, &[("new", 10)]);
    assert_eq!(harness.started_second("new"), Some(10));
    harness.update(30.0, false, &[("new", 10), ("late", 26)]);
    assert_eq!(harness.started_second("new"), Some(10));
    assert_eq!(harness.started_second("late"), Some(26));
}

#[test]
fn a_newly_listed_start_is_recent_even_if_the_wall_clocks_were_stepped() {
    let mut harness = StartTimeHarness::new();
    harness.update(1.0, true, &[("first", -50)]);
    // A server starts while the wall clocks of all machines are an hour ahead. Other servers start after the
    // clocks were corrected.
    harness.update(20.0, false, &[("ahead", 3600 + 20)]);
    assert_eq!(harness.started_second("ahead"), Some(20));
    harness.update(40.0, false, &[("behind", 40)]);
    let behind = harness.started_second("behind");
    assert!(behind >= Some(34), "{behind:?}");
    // If discovery sends complete lists, the new server was missing in the previous one.
    let all = [("first", -50), ("ahead", 3620), ("behind", 40), ("later", 60)];
    harness.update(58.0, true, &all[..3]);
    harness.update(60.0, true, &all);
    let later = harness.started_second("later");
    assert!(later >= Some(52), "{later:?}");
}

#[test]
fn a_start_that_a_lost_watch_missed_may_date_back_to_the_last_update() {
    let mut harness = StartTimeHarness::new();
    harness.update(1.0, true, &[("first", 0)]);
    harness.update(10.0, false, &[("second", 10)]);
    harness.host.endpoint_watch_lost(WatchEnd::ByPeer);
    harness.update(50.0, false, &[("third", 20)]);
    assert_eq!(harness.started_second("third"), Some(20));
}
