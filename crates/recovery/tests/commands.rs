//! Tests of single commands, of the admission of a front node, of the coordinator, and of what state from
//! disk may be used for.

use pinetrestle_fleet::{MemberId, Token};
use pinetrestle_recovery::stale_state::{permitted_use, PermittedUse, StateKind, StateSource};
use pinetrestle_recovery::{
    AdmissionController, AdmissionDecision, Command, Outcome, RecoveryCoordinator, RecoveryStage,
    RecoveryState, WaitReason,
};

const LEASE: Option<Token> = Some(Token(9));
/// The incarnation that the members report in these tests.
const INCARNATION: u64 = 2;

fn elected(term: u64) -> Command {
    Command::LeaderElected { term, members: (1..=5).map(MemberId).collect() }
}

fn presence(node: u64, term: u64, serving: bool, has_endpoint_list: bool) -> Command {
    Command::ReportPresence {
        node: MemberId(node),
        incarnation: INCARNATION,
        term,
        serving,
        has_endpoint_list,
    }
}

fn advance(token: u64, from_stage: RecoveryStage) -> Command {
    Command::AdvanceStage { token: Token(token), epoch: 1, from_stage }
}

/// A fleet of five members of which a majority has reported and no front node serves.
fn fleet_without_service() -> RecoveryState {
    let mut state = RecoveryState::new();
    state.apply(&elected(3), LEASE);
    for node in 1..=3 {
        assert_eq!(state.apply(&presence(node, 3, false, false), LEASE), Outcome::Applied);
    }
    assert_eq!((state.stage(), state.epoch()), (RecoveryStage::AwaitingEndpointLists, 1));
    state
}

#[test]
fn a_stage_begins_only_when_its_condition_holds_and_only_with_the_lease_token() {
    let mut state = fleet_without_service();
    let open_first_wave = |token: u64| advance(token, RecoveryStage::AwaitingEndpointLists);
    assert_eq!(
        state.apply(&open_first_wave(9), LEASE),
        Outcome::Ignored,
        "begun although no member has an endpoint list"
    );
    for node in 1..=3 {
        state.apply(&presence(node, 3, false, true), LEASE);
    }
    assert_eq!(
        state.apply(&open_first_wave(8), LEASE),
        Outcome::Ignored,
        "begun with a token other than that of the lease"
    );
    assert_eq!(state.apply(&open_first_wave(9), LEASE), Outcome::Applied);
    assert_eq!(state.stage(), RecoveryStage::Waves(1));
    assert_eq!(
        state.apply(&open_first_wave(9), LEASE),
        Outcome::Ignored,
        "ended a stage that had ended already"
    );
}

#[test]
fn a_report_of_another_term_or_an_earlier_incarnation_is_ignored() {
    let mut state = fleet_without_service();
    assert_eq!(state.apply(&presence(4, 2, true, true), LEASE), Outcome::Ignored);
    let earlier = Command::ReportPresence {
        node: MemberId(1),
        incarnation: INCARNATION - 1,
        term: 3,
        serving: true,
        has_endpoint_list: true,
    };
    assert_eq!(state.apply(&earlier, LEASE), Outcome::Ignored);
    assert_eq!(state.apply(&elected(3), LEASE), Outcome::Ignored, "the same election was applied twice");
}

#[test]
fn a_member_that_restarts_while_others_serve_waits_only_for_the_count() {
    let mut state = RecoveryState::new();
    state.apply(&elected(3), LEASE);
    state.apply(&presence(1, 3, false, false), LEASE);
    assert!(!state.is_admitted(MemberId(1), INCARNATION));
    state.apply(&presence(2, 3, true, true), LEASE);
    state.apply(&presence(3, 3, true, true), LEASE);
    assert_eq!((state.stage(), state.epoch()), (RecoveryStage::Normal, 0));
    assert!(state.is_admitted(MemberId(1), INCARNATION));
    assert!(!state.is_admitted(MemberId(1), INCARNATION + 1));
}

#[test]
fn without_a_leader_a_front_node_is_admitted_in_safe_mode_after_the_timeout_and_a_running_one_stays_admitted()
{
    let state = RecoveryState::new();
    let mut admission = AdmissionController::new(MemberId(1), INCARNATION, 1_000);
    assert!(matches!(admission.poll(0, false, false, &state), AdmissionDecision::Wait(_)));
    let with_leader = admission.poll(900, true, false, &state);
    assert_eq!(with_leader, AdmissionDecision::Wait(WaitReason::CountingMembers));
    assert!(WaitReason::CountingMembers.to_string().contains("counts"));
    let leaderless_again = admission.poll(1_000, false, false, &state);
    assert!(matches!(leaderless_again, AdmissionDecision::Wait(_)), "the timeout was not restarted");
    assert_eq!(admission.poll(2_000, false, false, &state), AdmissionDecision::AdmitInSafeMode);
    assert_eq!(admission.poll(2_001, false, true, &state), AdmissionDecision::Admit);
}

#[test]
fn no_state_from_disk_decides_before_the_log_has_caught_up() {
    let kinds = [
        StateKind::ServerDrain,
        StateKind::EndpointList,
        StateKind::ReplicaHealth,
        StateKind::FrontNodeVersion,
        StateKind::Lease,
    ];
    for kind in kinds {
        assert_ne!(permitted_use(kind, StateSource::DiskOnly), PermittedUse::Decide, "{kind:?}");
        assert_eq!(permitted_use(kind, StateSource::ThisIncarnation), PermittedUse::Decide, "{kind:?}");
    }
    assert_eq!(permitted_use(StateKind::ServerDrain, StateSource::DiskOnly), PermittedUse::CautionOnly);
    assert_eq!(permitted_use(StateKind::Lease, StateSource::DiskWithCurrentLog), PermittedUse::Ignore);
    assert_eq!(permitted_use(StateKind::ReplicaHealth, StateSource::DiskOnly), PermittedUse::Ignore);
}

#[test]
fn a_front_node_that_does_not_come_up_delays_the_next_wave_by_ten_wave_durations_at_most() {
    let mut state = fleet_without_service();
    for node in 1..=3 {
        state.apply(&presence(node, 3, false, true), LEASE);
    }
    let mut coordinator = RecoveryCoordinator::new();
    let mut opened = Vec::new();
    for now_ms in (0..30_000).step_by(100) {
        // Member 1 never serves; the others serve as soon as they are admitted.
        for node in 2..=3 {
            let serving = state.is_admitted(MemberId(node), INCARNATION);
            state.apply(&presence(node, 3, serving, true), LEASE);
        }
        if let Some(command) = coordinator.poll(now_ms, Token(9), &state, false, 1_000) {
            assert_eq!(state.apply(&command, LEASE), Outcome::Applied);
            opened.push((now_ms, state.stage()));
        }
    }
    assert_eq!(
        opened,
        [(0, RecoveryStage::Waves(1)), (10_100, RecoveryStage::Waves(2)), (20_200, RecoveryStage::Waves(4))],
        "a stage does not count from when the coordinator first sees it"
    );
    // No stage begins while the fleet is halted.
    assert_eq!(coordinator.poll(90_000, Token(9), &state, true, 1_000), None);
}
