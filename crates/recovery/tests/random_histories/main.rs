//! Recoveries from a power loss under random sequences of events: members start late or restart, leaders are
//! elected during the recovery, and proposals are lost, duplicated or delayed.
//!
//! Checked throughout: during a recovery, no front node starts before its wave is open, no more front nodes
//! run than the waves admit, no admission is revoked, no wave opens before the previous one has lasted its
//! minimum time, and no stage begins because of a report of an old incarnation. At the end of each sequence,
//! every front node is admitted.

mod event;
mod fleet;

use event::event;
use fleet::Fleet;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns the settings for the random sequences. The seed is fixed, so each run plays the same sequences;
/// `PINETRESTLE_RECOVERY_CASES` sets how many, `PINETRESTLE_RECOVERY_SEED` another seed.
fn settings() -> ProptestConfig {
    let number = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    ProptestConfig {
        cases: number("PINETRESTLE_RECOVERY_CASES", 400) as u32,
        rng_seed: RngSeed::Fixed(number("PINETRESTLE_RECOVERY_SEED", 1)),
        max_shrink_iters: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn a_fleet_without_service_recovers_in_waves_until_every_front_node_runs(
        events in prop::collection::vec(event(), 20..400),
    ) {
        let mut fleet = Fleet::new();
        for event in &events {
            fleet.play(event);
        }
        fleet.run_to_completion();
    }
}
