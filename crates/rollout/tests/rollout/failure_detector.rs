//! Tests of the failure detector of the log's leader.

use crate::fleet::Fleet;
use pinetrestle_fleet::MemberId;
use pinetrestle_rollout::{Command, FailureDetector};

#[test]
fn a_leader_declares_unreachable_only_members_silent_since_its_election() {
    let fleet = Fleet::new();
    let leader = MemberId(1);
    let mut detector = FailureDetector::new(1_000, &fleet.state);
    assert!(detector.poll(1_400, leader, &fleet.state).is_empty());
    for node in [2, 3] {
        detector.record_message(1_450, MemberId(node));
    }
    let commands = detector.poll(1_600, leader, &fleet.state);
    assert_eq!(commands, [Command::DeclareUnreachable { node: MemberId(4), report_seq: 1 }]);
    assert!(
        detector.poll(1_610, leader, &fleet.state).is_empty(),
        "proposed again before the retry interval had passed"
    );
}
