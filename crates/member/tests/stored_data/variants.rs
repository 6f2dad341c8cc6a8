//! Checks the encoding of every variant of the stored enums, including those that no recorded state contains,
//! and of the stored structs. Postcard's format depends on the number of a variant and the order of the
//! fields.

use pinetrestle_fleet::{Lease, LeaseTable, MemberId, Outcome as LeaseOutcome, Refusal as LeaseRefusal};
use pinetrestle_fleet::{RequestId, Task, Token};
use pinetrestle_member::wire;
use pinetrestle_recovery::{Outcome as RecoveryOutcome, Presence, RecoveryStage, RecoveryState};
use pinetrestle_rollout::{
    Budget, BudgetExceeded, Direction, Halt, HealthCounters, NodePlan, NodeState, Outcome, Refusal,
};
use pinetrestle_rollout::{Release, ReleaseStage, RolloutState, ServerPhase, ServerState, Slot, StepState};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

/// Checks that `value` encodes to `bytes` and `bytes` decode to `value`.
#[track_caller]
fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, bytes: &[u8]) {
    assert_eq!(wire::encode(&value), bytes, "{value:?}");
    assert_eq!(wire::decode::<T>(bytes), Some(value));
}

#[test]
fn lease_outcomes_keep_their_encoding() {
    assert_encoding(LeaseOutcome::Granted(Token(7)), &[0, 7]);
    assert_encoding(LeaseOutcome::Renewed(Token(7)), &[1, 7]);
    assert_encoding(LeaseOutcome::Busy { holder: MemberId(1), token: Token(7) }, &[2, 1, 7]);
    assert_encoding(LeaseOutcome::Released, &[3]);
    assert_encoding(LeaseOutcome::Expired, &[4]);
    assert_encoding(LeaseOutcome::Refused(LeaseRefusal::InvalidTtl), &[5, 0]);
    assert_encoding(LeaseOutcome::Refused(LeaseRefusal::InvalidTaskName), &[5, 1]);
    assert_encoding(LeaseOutcome::Refused(LeaseRefusal::TooManyTasks), &[5, 2]);
    assert_encoding(LeaseOutcome::Refused(LeaseRefusal::TooManyMembers), &[5, 3]);
    assert_encoding(LeaseOutcome::Refused(LeaseRefusal::StaleRequest), &[5, 4]);
    assert_encoding(LeaseOutcome::Refused(LeaseRefusal::NotHolder), &[5, 5]);
    assert_encoding(LeaseOutcome::Refused(LeaseRefusal::StaleExpiry), &[5, 6]);
}

#[test]
fn leases_and_ids_keep_their_encoding() {
    assert_encoding(MemberId(300), &[0xac, 2]);
    assert_encoding(Token(1), &[1]);
    assert_encoding(RequestId(1 << 32), &[0x80, 0x80, 0x80, 0x80, 0x10]);
    assert_encoding(Task("t".to_owned()), &[1, b't']);
    let lease = Lease { holder: MemberId(1), token: Token(2), ttl_ms: 3, renewals: 4 };
    assert_encoding(lease, &[1, 2, 3, 4]);
    assert_encoding(LeaseTable::new(), &[0, 0, 0]);
}

#[test]
fn rollout_outcomes_keep_their_encoding() {
    assert_encoding(Outcome::Applied, &[0]);
    assert_encoding(Outcome::Unchanged, &[1]);
    assert_encoding(Outcome::Refused(Refusal::NoPlan), &[2, 0]);
    assert_encoding(Outcome::Refused(Refusal::InvalidName), &[2, 1]);
    assert_encoding(Outcome::Refused(Refusal::StaleToken), &[2, 2]);
    assert_encoding(Outcome::Refused(Refusal::Halted), &[2, 3]);
    assert_encoding(Outcome::Refused(Refusal::ReleaseInProgress { id: "r".to_owned() }), &[2, 4, 1, b'r']);
    assert_encoding(Outcome::Refused(Refusal::NoRelease), &[2, 5]);
    let over = BudgetExceeded { unavailable: 1, limit: 2, zone: Some("z".to_owned()) };
    assert_encoding(Outcome::Refused(Refusal::BudgetExceeded(over)), &[2, 6, 1, 2, 1, 1, b'z']);
    assert_encoding(Outcome::Refused(Refusal::NotEligible), &[2, 7]);
    assert_encoding(Outcome::Refused(Refusal::AwaitingCanaries), &[2, 8]);
    assert_encoding(Outcome::Refused(Refusal::Unreachable), &[2, 9]);
    assert_encoding(Outcome::Refused(Refusal::UnknownUnit), &[2, 10]);
    assert_encoding(Outcome::Refused(Refusal::Stale), &[2, 11]);
}

#[test]
fn releases_steps_halts_and_slots_keep_their_encoding() {
    assert_encoding(StepState::Waiting, &[0]);
    assert_encoding(StepState::InProgress, &[1]);
    assert_encoding(StepState::Passed, &[2]);
    assert_encoding(StepState::Failed("w".to_owned()), &[3, 1, b'w']);
    assert_encoding([Direction::Forward, Direction::Backward], &[0, 1]);
    assert_encoding([ReleaseStage::Running, ReleaseStage::Completed, ReleaseStage::RolledBack], &[0, 1, 2]);
    let release = Release {
        id: "i".to_owned(),
        from_version: "f".to_owned(),
        to_version: "t".to_owned(),
        direction: Direction::Backward,
        stage: ReleaseStage::RolledBack,
        steps: BTreeMap::from([(MemberId(9), StepState::Passed)]),
        failed_steps: 5,
    };
    assert_encoding(release, &[1, b'i', 1, b'f', 1, b't', 1, 2, 1, 9, 2, 5]);
    assert_encoding(Halt { id: "i".to_owned(), reason: "w".to_owned() }, &[1, b'i', 1, b'w']);
    let slot =
        Slot { index: 7, target_version: "g".to_owned(), previous_version: "l".to_owned(), begun: true };
    assert_encoding(slot.clone(), &[7, 1, b'g', 1, b'l', 1]);
    let node = NodeState {
        report_seq: 3,
        version: "v".to_owned(),
        ready: true,
        unreachable: false,
        slot: Some(slot),
    };
    assert_encoding(node, &[3, 1, b'v', 1, 0, 1, 7, 1, b'g', 1, b'l', 1]);
    assert_encoding(RolloutState::new(), &[0, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn plans_and_index_servers_keep_their_encoding() {
    let budget =
        Budget { max_unavailable: 1, max_unavailable_per_mille: 2, max_unavailable_per_zone: Some(3) };
    assert_encoding(budget, &[1, 2, 1, 3]);
    assert_encoding(NodePlan { zone: Some("z".to_owned()) }, &[1, 1, b'z']);
    assert_encoding(HealthCounters { answered: 1, failed: 2, defects: 3 }, &[1, 2, 3]);
    assert_encoding([ServerPhase::Serving, ServerPhase::Draining, ServerPhase::Drained], &[0, 1, 2]);
    assert_encoding(ServerPhase::Ramping(4), &[3, 4]);
    let server = ServerState {
        zone: "z".to_owned(),
        up: true,
        phase: ServerPhase::Drained,
        change_index: 7,
        acknowledged_by: BTreeSet::from([MemberId(1), MemberId(2)]),
    };
    assert_encoding(server, &[1, b'z', 1, 2, 7, 2, 1, 2]);
    let plan = crate::entries::plan(5);
    let nodes = [5, 4, 1, 1, 1, b'a', 2, 1, 1, b'a', 3, 1, 1, b'b', 4, 0];
    let budgets = [1, 0xf4, 3, 0, 2, 0xe8, 7, 1, 1];
    let limits = [1, 0, 10, 0xe0, 0xd4, 3, 0x88, 0x27, 0xb8, 0x17, 2, 0xa0, 0x1f];
    assert_encoding(plan, &[&nodes[..], &budgets[..], &limits[..]].concat());
}

#[test]
fn recovery_types_keep_their_encoding() {
    assert_encoding([RecoveryStage::CountingMembers, RecoveryStage::AwaitingEndpointLists], &[0, 1]);
    assert_encoding(RecoveryStage::Waves(4), &[2, 4]);
    assert_encoding(RecoveryStage::Normal, &[3]);
    assert_encoding(Presence { incarnation: 5, serving: true, has_endpoint_list: false }, &[5, 1, 0]);
    assert_encoding([RecoveryOutcome::Applied, RecoveryOutcome::Ignored], &[0, 1]);
    assert_encoding(RecoveryState::new(), &[0, 0, 0, 0, 0, 0, 0]);
}
