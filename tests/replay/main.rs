//! Replay: seeded runs of events through `FrontNode`, each summed up as a digest of every action batch.
//!
//! The expected digests were recorded from the code before the readers' sitting (issue 43) split and renamed
//! the decision core. A refactoring that keeps every decision keeps every digest; any changed choice, order
//! of random draws or floating-point result shows up as another digest.

#[path = "../common/mod.rs"]
mod common;
mod digest;
mod driver;
mod recorded_form;

use common::*;
use digest::Digest;
use driver::{replay, Scenario, STEPS};
use pinetrestle::interface::*;

/// The varied settings, with retries that clients mark.
fn marked_retries_settings() -> Settings {
    Settings { clients_mark_retries: true, ..varied_settings() }
}

/// Few attempts, no hedging, no cancelling, little room in flight, small quotas, short objectives.
fn tight_settings() -> Settings {
    let mut set = settings();
    set.fleet_size = 6;
    set.limits = Limits {
        max_attempts: 2,
        allow_hedging: false,
        allow_cancel: false,
        max_in_flight: 40,
        max_batch: 3,
        ..set.limits
    };
    set.rules.retry_budget = Some(RetryBudget { window: ms(1000), min_retries: 1.0, retry_ratio: 0.05 });
    set.tenants = vec![Tenant { quota_per_s: 2.0 }, Tenant { quota_per_s: 0.5 }];
    set.classes[0].latency_objective = ms(120);
    set.classes[1].latency_objective = ms(200);
    set
}

/// Compares a digest with the recorded one: its hash, and the count of each kind of action.
fn assert_replay(digest: Digest, hash: u64, counts: &[(&'static str, u64)]) {
    // The first batch delivers the list.
    let batches = u64::from(STEPS) + 1;
    let expected = Digest { hash, batches, counts: counts.iter().copied().collect() };
    assert_eq!(digest, expected, "the decisions differ from the recorded ones");
}

#[test]
fn plain_settings_replay_as_recorded() {
    let digest = replay(settings(), Scenario { replicas: 8, seed: 11, surge_at: 700 });
    let pairs = [
        ("answer", 394),
        ("attempt", 1280),
        ("cancel", 47),
        ("reject", 99),
        ("log", 145),
        ("set_timer", 1154),
    ];
    assert_replay(digest, 16551164423822290301, &pairs);
}

#[test]
fn varied_settings_with_a_retry_budget_replay_as_recorded() {
    let digest = replay(marked_retries_settings(), Scenario { replicas: 12, seed: 23, surge_at: 500 });
    let pairs = [
        ("answer", 439),
        ("attempt", 1344),
        ("cancel", 53),
        ("fail", 32),
        ("reject", 144),
        ("log", 104),
        ("set_timer", 1085),
        ("watch_endpoint_list", 32),
    ];
    assert_replay(digest, 4561580144593792724, &pairs);
}

#[test]
fn tight_limits_under_a_surge_replay_as_recorded() {
    let digest = replay(tight_settings(), Scenario { replicas: 6, seed: 37, surge_at: 300 });
    let pairs = [("answer", 338), ("attempt", 1016), ("reject", 198), ("log", 100), ("set_timer", 852)];
    assert_replay(digest, 5540318393936806118, &pairs);
}
