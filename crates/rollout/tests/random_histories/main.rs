//! Drains and releases under random orders of events: a log that loses, duplicates and reorders proposals, members that
//! apply it late, agents that restart, coordinators that change, front nodes that end by themselves, halts.
//!
//! Checked after each event: no more front nodes are stopped by their agents than the budget allows, no step begins
//! under a halt, no grant of a stale coordinator is applied, no step is done twice. At the end the disturbances stop:
//! every step ends and no slot is left.

mod event;
mod fleet;
mod process;

use event::{event, Event, NODES};
use fleet::Fleet;
use pinetrestle_rollout::{Command, Outcome, ReleaseStage, StepState};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The same histories each time; `PINETRESTLE_ROLLOUT_CASES` plays more of them, `PINETRESTLE_ROLLOUT_SEED` others.
fn settings() -> ProptestConfig {
    let number = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    ProptestConfig {
        cases: number("PINETRESTLE_ROLLOUT_CASES", 400) as u32,
        rng_seed: RngSeed::Fixed(number("PINETRESTLE_ROLLOUT_SEED", 1)),
        max_shrink_iters: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn release(id: &str) -> Command {
    Command::Release { id: id.into(), to_version: "v2".into() }
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn the_budget_is_never_exceeded_and_every_step_ends(
        max_unavailable in 1u32..3,
        events in prop::collection::vec(event(), 50..900),
    ) {
        let mut fleet = Fleet::new(max_unavailable);
        fleet.commit(release("first"));
        for event in &events {
            fleet.play(event);
        }
        fleet.run_to_rest();
        if let Some(release) = fleet.state.release() {
            let target_version = release.target_version();
            prop_assert!(release.steps.values().all(|step| *step == StepState::Passed));
            for member in fleet.members.values() {
                prop_assert_eq!(member.process.running_version.as_deref(), Some(target_version));
            }
        }
    }
}

#[test]
fn an_undisturbed_release_takes_every_front_node_through_within_the_budget() {
    let mut fleet = Fleet::new(2);
    for _ in 0..20 {
        fleet.play(&Event::AdvanceTime { ms: 20 });
        for member in 1..=NODES {
            fleet.apply(member, usize::MAX);
            fleet.poll_agent(member);
        }
        fleet.commit_in_flight();
    }
    fleet.commit(release("r"));
    assert_eq!(fleet.state.command_outcome("r"), Some(&Outcome::Applied));
    fleet.run_to_rest();
    assert_eq!(fleet.state.release().unwrap().stage, ReleaseStage::Completed);
    assert_eq!(fleet.state.last_good_version(), "v2");
    assert_eq!(fleet.max_slots_held, 2, "the budget of two was used, and no more");
    let all_run_v2 =
        fleet.members.values().all(|member| member.process.running_version.as_deref() == Some("v2"));
    assert!(all_run_v2);
}
