//! Replay: seeded runs of random events through `FrontNode`, each reduced to a digest of all its action
//! batches.
//!
//! The expected digests were recorded before the decision core was split into modules and its types were
//! renamed, to show that this changed no decision. A refactoring that keeps all decisions keeps all digests.
//! Any change of a choice, of the order of random numbers or of a floating-point result changes a digest.

#[path = "../common/mod.rs"]
mod common;
mod digest;
mod driver;
mod recorded_form;

use common::*;
use digest::Digest;
use driver::{replay, Scenario, STEPS};
use pinetrestle::interface::*;

/// Returns the varied settings with clients that mark their retries.
fn marked_retries_settings() -> Settings {
    Settings { clients_mark_retries: true, ..varied_settings() }
}

/// Returns settings with few attempts, no hedging, no cancellation, a low limit in flight, small quotas and
/// short objectives.
fn tight_settings() -> Settings {
    let mut settings = base_settings();
    settings.fleet_size = 6;
    settings.limits = Limits {
        max_attempts: 2,
        allow_hedging: false,
        allow_cancel: false,
        max_in_flight: 40,
        max_batch: 3,
        ..settings.limits
    };
    settings.rules.retry_budget = Some(RetryBudget { window: ms(1000), min_retries: 1.0, retry_ratio: 0.05 });
    settings.tenants = vec![Tenant { quota_per_s: 2.0 }, Tenant { quota_per_s: 0.5 }];
    settings.classes[0].latency_objective = ms(120);
    settings.classes[1].latency_objective = ms(200);
    settings
}

/// Asserts that a digest has the recorded hash and the recorded number of actions of each kind.
fn assert_replay(digest: Digest, hash: u64, counts: &[(&'static str, u64)]) {
    // The first batch delivers the endpoint list.
    let batches = u64::from(STEPS) + 1;
    let expected = Digest { hash, batches, counts: counts.iter().copied().collect() };
    assert_eq!(digest, expected, "decisions must equal the recorded ones");
}

#[test]
fn plain_settings_replay_as_recorded() {
    let digest = replay(base_settings(), Scenario { replicas: 8, seed: 11, surge_at: 700 });
    let counts = [
        ("answer", 394),
        ("attempt", 1280),
        ("cancel", 47),
        ("reject", 99),
        ("log", 145),
        ("set_timer", 1154),
    ];
    assert_replay(digest, 16551164423822290301, &counts);
}

#[test]
fn varied_settings_with_a_retry_budget_replay_as_recorded() {
    let digest = replay(marked_retries_settings(), Scenario { replicas: 12, seed: 23, surge_at: 500 });
    let counts = [
        ("answer", 439),
        ("attempt", 1344),
        ("cancel", 53),
        ("fail", 32),
        ("reject", 144),
        ("log", 104),
        ("set_timer", 1085),
        ("watch_endpoint_list", 32),
    ];
    assert_replay(digest, 4561580144593792724, &counts);
}

#[test]
fn tight_limits_under_a_surge_replay_as_recorded() {
    let digest = replay(tight_settings(), Scenario { replicas: 6, seed: 37, surge_at: 300 });
    let counts = [("answer", 338), ("attempt", 1016), ("reject", 198), ("log", 100), ("set_timer", 852)];
    assert_replay(digest, 5540318393936806118, &counts);
}
