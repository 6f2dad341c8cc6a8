//! Unit tests of the relay: the drains and watch events that it applies to the endpoint list, and its watch
//! of discovery.

use super::discovery_watch::{self, ListPublisher, SILENCE_TIMEOUT};
use super::endpoint_list::{apply_watch_event, snapshot_line, with_drains};
use pinetrestle_standins::{Discovery, DiscoveryBehavior, WatchFault};
use serde_json::{json, Value};
use slog::Logger;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::LocalSet;

fn entry(name: &str, status: &str) -> Value {
    json!({"name": name, "address": "127.0.0.1:1", "zone": "a", "group": 0, "status": status})
}

#[test]
fn a_drain_changes_the_status_of_servers_that_are_up_only() {
    let list = [entry("s0", "up"), entry("s1", "draining"), entry("s2", "up")];
    let drained = ["s0", "s1"].map(String::from).into();
    let relayed: Vec<Value> = with_drains(&list, &drained);
    let statuses: Vec<&str> = relayed.iter().filter_map(|entry| entry["status"].as_str()).collect();
    assert_eq!(statuses, ["draining", "draining", "up"]);
}

#[test]
fn watch_events_are_applied_to_the_list_and_other_text_is_rejected() {
    let mut list = BTreeMap::new();
    let snapshot = snapshot_line(&[entry("s0", "up"), entry("s1", "up")], 1);
    assert!(apply_watch_event(snapshot.as_bytes(), &mut list).is_ok());
    let change = json!({"index": 2, "snapshot": false, "endpoints": [entry("s0", "removed")]}).to_string();
    assert!(apply_watch_event(change.as_bytes(), &mut list).is_ok());
    assert_eq!(list.keys().collect::<Vec<_>>(), ["s1"]);
    assert!(apply_watch_event(b"this is no list", &mut list).is_err());
    assert!(apply_watch_event(b"{\"index\": 1}", &mut list).is_err());
}

/// Watches discovery for `duration`. Returns the names in the list that is published at the end, or `None` if
/// no list is published then.
async fn names_after_watching(discovery: &Discovery, duration: Duration) -> Option<Vec<String>> {
    let (upstream, list) = watch::channel(None);
    let (discovered, _discovered) = watch::channel(None);
    let publisher = ListPublisher { upstream, discovered };
    let log = Logger::root(slog::Discard, slog::o!());
    // The watch task does not end, so the timeout always applies.
    let _ = tokio::time::timeout(duration, discovery_watch::run(discovery.address, publisher, log)).await;
    let names = |list: &Rc<Vec<Value>>| {
        list.iter().filter_map(|entry| entry["name"].as_str()).map(String::from).collect()
    };
    let list = list.borrow();
    list.as_ref().map(names)
}

#[tokio::test]
async fn a_list_that_spans_several_lines_is_accepted() {
    let discovery = Discovery::start(vec![entry("s0", "up"), entry("s1", "up")]);
    discovery.set_behavior(DiscoveryBehavior::Indented);
    let names = LocalSet::new().run_until(names_after_watching(&discovery, Duration::from_millis(500))).await;
    assert_eq!(names, Some(vec!["s0".to_owned(), "s1".to_owned()]));
}

#[tokio::test]
async fn the_list_is_withdrawn_if_the_watch_sends_only_single_bytes() {
    let discovery = Discovery::start(vec![entry("s0", "up")]);
    let fault = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        // The open watch sends single bytes only, and discovery answers no further request.
        discovery.set_behavior(DiscoveryBehavior::Silent);
        discovery.fail_watches(WatchFault::Trickling);
    };
    let watching = names_after_watching(&discovery, SILENCE_TIMEOUT + Duration::from_millis(1500));
    let (names, ()) = LocalSet::new().run_until(async { tokio::join!(watching, fault) }).await;
    assert_eq!(names, None);
}
