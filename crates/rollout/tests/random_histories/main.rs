//! Releases under random sequences of events: proposals are lost, duplicated and reordered, members apply the
//! log late, agents restart, the release lease moves to another member, front nodes crash, and operators
//! halt, resume and roll back.
//!
//! Checked after each event: agents have stopped no more front nodes than the budget allows, no step begins
//! during a halt, no grant of a coordinator that has lost the lease is applied, and no step is done twice. At
//! the end of each sequence, the fleet runs without faults until every step has ended and no slot is held.

mod event;
mod fleet;
mod process;

use event::{event, Event, NODES};
use fleet::Fleet;
use pinetrestle_rollout::{Command, Outcome, ReleaseStage, StepState};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns the settings for the random sequences. The seed is fixed, so each run plays the same sequences;
/// `PINETRESTLE_ROLLOUT_CASES` sets how many, `PINETRESTLE_ROLLOUT_SEED` another seed.
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
        fleet.run_without_faults();
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
fn a_release_without_faults_updates_every_front_node_within_the_budget() {
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
    fleet.run_without_faults();
    assert_eq!(fleet.state.release().unwrap().stage, ReleaseStage::Completed);
    assert_eq!(fleet.state.last_good_version(), "v2");
    assert_eq!(fleet.max_slots_held, 2, "the number of slots held at once differs from the budget");
    let all_run_v2 =
        fleet.members.values().all(|member| member.process.running_version.as_deref() == Some("v2"));
    assert!(all_run_v2);
}
