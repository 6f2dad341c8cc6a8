//! Endpoint list: updates, removals, returning index servers and a lost watch.

use crate::common::CLASS_ALL;
use crate::harness::{entry, Harness, MS};
use pinetrestle::interface::ReplicaId;
use pinetrestle_protocol::endpoint_list::{EndpointEntry, Status};
use pinetrestle_protocol::watch_supervisor::WatchEnd;

#[test]
fn an_update_changes_an_endpoint_and_a_complete_list_removes_unlisted_ones() {
    let mut harness = Harness::new();
    let entry = |name: &str, address: &str, status, start_time_ms| EndpointEntry {
        name: name.into(),
        address: address.into(),
        cell: 0,
        status,
        weight: 1.0,
        start_time_ms,
    };
    harness.update_endpoints(false, vec![entry("s0", "127.0.0.1:9999", Status::Up, 77)]);
    let endpoint = harness.host.endpoint(0).expect("s0");
    assert_eq!(endpoint.address, "127.0.0.1:9999");
    assert_eq!(endpoint.started_unix_ms, 77);
    assert_eq!(endpoint.name, "s0");
    // The entry of a removed server may have no address; the last one is kept for attempts in flight.
    harness.update_endpoints(false, vec![entry("s3", "", Status::Removed, 0)]);
    assert_eq!(harness.host.endpoint(3).expect("s3").address, "127.0.0.1:7003");
    assert!(harness.host.is_ready());
    harness.update_endpoints(true, vec![entry("s0", "127.0.0.1:9999", Status::Draining, 77)]);
    assert!(!harness.host.is_ready(), "the only listed server is draining");
}

#[test]
fn a_lost_watch_is_reopened() {
    let mut harness = Harness::new();
    harness.advance(1000 * MS);
    let before = harness.watches;
    assert!(before >= 1, "a watch is requested at the start");
    harness.host.endpoint_watch_lost(WatchEnd::ByPeer);
    harness.run_batches();
    harness.advance(2000 * MS);
    assert!(harness.watches > before);
}

#[test]
fn a_returning_server_keeps_its_replica_number_and_removing_an_unknown_server_is_ignored() {
    let mut harness = Harness::new();
    let replica_of_new_attempt = |harness: &mut Harness| -> ReplicaId {
        harness.submit(CLASS_ALL, &[0]).expect("admitted");
        let (_, sent) = harness.in_flight.pop_last().expect("an attempt is in flight");
        sent.replica
    };
    let server_0 = |status| vec![EndpointEntry { cell: 0, ..entry(0, status) }];
    harness.update_endpoints(true, server_0(Status::Up));
    let first = replica_of_new_attempt(&mut harness);
    harness.update_endpoints(false, vec![entry(0, Status::Removed), entry(77, Status::Removed)]);
    assert!(harness.host.endpoint_in_service(first).is_none());
    harness.update_endpoints(false, server_0(Status::Up));
    assert_eq!(replica_of_new_attempt(&mut harness), first);
}
