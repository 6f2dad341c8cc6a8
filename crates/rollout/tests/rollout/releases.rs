//! Tests of the commands on releases: repeated and refused operator commands, canaries, the budget, failed
//! steps, halts, rollbacks and plans.

use crate::fleet::{plan, Fleet, LEASE};
use pinetrestle_fleet::MemberId;
use pinetrestle_rollout::{Command, HealthCounters, NodePlan, Outcome, Refusal, ReleaseStage, StepState};

#[test]
fn a_repeated_command_gets_the_first_outcome_and_has_no_second_effect() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.halt("h"), Outcome::Applied);
    assert_eq!(fleet.resume("r"), Outcome::Applied);
    assert_eq!(fleet.halt("h"), Outcome::Applied, "not the outcome of the first time");
    assert!(fleet.state.halt().is_none(), "the repeated command halted again");
}

#[test]
fn a_second_release_is_refused_with_the_id_of_the_running_one() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.release("a", "v2"), Outcome::Applied);
    let refused = fleet.release("b", "v3");
    assert_eq!(refused, Outcome::Refused(Refusal::ReleaseInProgress { id: "a".into() }));
}

#[test]
fn the_canary_is_updated_alone_and_the_others_follow_within_the_budget() {
    let mut fleet = Fleet::new();
    fleet.release("a", "v2");
    assert_eq!(fleet.grant(2), Outcome::Applied);
    assert_eq!(fleet.grant(3), Outcome::Refused(Refusal::AwaitingCanaries));
    let slot_index = fleet.slot_index(2);
    fleet.begin(2, slot_index);
    fleet.finish(2, slot_index);
    assert_eq!(fleet.grant(1), Outcome::Applied);
    assert_eq!(fleet.grant(3), Outcome::Applied);
    assert!(matches!(fleet.grant(4), Outcome::Refused(Refusal::BudgetExceeded(_))));
}

#[test]
fn an_unreachable_member_counts_as_unavailable_until_its_next_report() {
    let mut fleet = Fleet::new();
    fleet.release("a", "v2");
    fleet.pass_step(1);
    assert_eq!(fleet.declare_unreachable(4, 1), Outcome::Applied);
    assert_eq!(fleet.grant(2), Outcome::Applied);
    assert!(matches!(fleet.grant(3), Outcome::Refused(Refusal::BudgetExceeded(_))));
    assert_eq!(fleet.grant(4), Outcome::Refused(Refusal::Unreachable));
    assert_eq!(fleet.report(4, 2, "v1"), Outcome::Applied);
    assert_eq!(fleet.declare_unreachable(4, 1), Outcome::Refused(Refusal::Stale));
    assert_eq!(fleet.grant(3), Outcome::Applied);
}

#[test]
fn a_faulty_canary_halts_the_release_and_the_rollback_ends_on_the_previous_version() {
    let mut fleet = Fleet::new();
    fleet.release("a", "v2");
    assert_eq!(fleet.grant(1), Outcome::Applied);
    let slot_index = fleet.slot_index(1);
    fleet.begin(1, slot_index);
    fleet.finish_with(1, slot_index, HealthCounters { answered: 90, failed: 10, defects: 0 });
    let step = &fleet.state.release().unwrap().steps[&MemberId(1)];
    assert_eq!(*step, StepState::Failed("too many failed queries".into()));
    assert_eq!(fleet.state.halt().unwrap().id, "failures", "the failed canary did not halt the release");
    assert_eq!(fleet.grant(2), Outcome::Refused(Refusal::Halted));
    fleet.report(1, 2, "v2");
    assert_eq!(fleet.apply(Command::Rollback { id: "back".into() }), Outcome::Applied);
    assert_eq!(
        fleet.grant(2),
        Outcome::Refused(Refusal::NotEligible),
        "a front node that still serves the previous version was updated"
    );
    fleet.pass_step(1);
    assert_eq!(fleet.state.release().unwrap().stage, ReleaseStage::RolledBack);
    assert_eq!(fleet.state.last_good_version(), "v1");
}

#[test]
fn a_halt_revokes_slots_that_have_not_begun_and_keeps_the_others() {
    let mut fleet = Fleet::new();
    fleet.release("a", "v2");
    fleet.pass_step(1);
    fleet.grant(2);
    fleet.grant(3);
    let begun = fleet.slot_index(2);
    let not_begun = fleet.slot_index(3);
    fleet.begin(2, begun);
    fleet.halt("h");
    assert_eq!(fleet.begin(3, not_begun), Outcome::Refused(Refusal::Stale));
    assert!(fleet.state.is_unavailable(MemberId(2)));
    assert!(!fleet.state.is_unavailable(MemberId(3)));
    assert_eq!(fleet.drain("d", "s0"), Outcome::Refused(Refusal::Halted));
    fleet.resume("r");
    assert_eq!(fleet.grant(3), Outcome::Applied);
}

#[test]
fn a_plan_changes_the_state_only_with_a_higher_revision() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.apply(Command::Configure(plan(1))), Outcome::Unchanged);
    let mut next = plan(2);
    next.nodes.insert(MemberId(5), NodePlan { zone: None });
    assert_eq!(fleet.apply(Command::Configure(next)), Outcome::Applied);
    assert!(
        fleet.state.is_unavailable(MemberId(5)),
        "a front node that has not reported counts as available"
    );
}

#[test]
fn a_late_step_result_for_a_revoked_slot_does_not_end_a_later_slot() {
    let mut fleet = Fleet::new();
    fleet.release("a", "v2");
    fleet.grant(1);
    let revoked = fleet.slot_index(1);
    fleet.apply(Command::StepOverdue { token: LEASE, node: MemberId(1), slot_index: revoked });
    assert_eq!(fleet.grant(1), Outcome::Applied);
    assert_eq!(fleet.finish(1, revoked), Outcome::Refused(Refusal::Stale));
    assert!(fleet.slot_index(1) > revoked);
}
