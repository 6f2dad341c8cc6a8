//! Slow start over a whole fleet: the parts that 2, 20 or 30 front nodes, which share no state, send to a
//! warming-up replica in total.

#[path = "../common/mod.rs"]
mod common;
mod fleet;

use common::{base_settings, list_entry, ms, sent_attempts, Harness};
use fleet::{run, Scenario, MEAN_WORK_MS, REPLICAS, WARM_UP_MS};
use pinetrestle::interface::*;

/// Returns the number of parts of mean work that a replica can take without failing in a window that begins
/// `at_ms` after its start.
fn parts_within_capacity(at_ms: i64, window_ms: i64) -> f64 {
    let capacity_share = (0.2 + 0.8 * at_ms as f64 / WARM_UP_MS as f64).min(1.0);
    2.0 * capacity_share * window_ms as f64 / MEAN_WORK_MS as f64
}

/// Returns the upper bound for a count with this mean: two standard deviations of a Poisson distribution
/// above the mean, plus two.
fn bound(mean: f64) -> f64 {
    mean + 2.0 * mean.sqrt() + 2.0
}

/// Asserts that no window that begins with a send to the replica has more parts than the replica can take.
fn assert_within_capacity(scenario: Scenario, replica: ReplicaId, send_times: &[i64]) {
    let window_ms = scenario.overload_window_ms;
    for (index, from) in send_times.iter().enumerate() {
        let in_window = send_times[index..].iter().take_while(|at| **at < from + window_ms).count() as f64;
        let mean = parts_within_capacity(*from, window_ms);
        assert!(
            in_window <= bound(mean),
            "{scenario:?}: replica {replica} got {in_window} parts from {from} ms, can take {mean}"
        );
    }
}

/// Asserts that the replica gets parts while it warms up: at least one in the first half of the warm-up, and
/// in its last third at least 15 % of what a warm replica gets.
fn assert_used(scenario: Scenario, replica: ReplicaId, send_times: &[i64]) {
    let sent = |from: i64, to: i64| send_times.iter().filter(|at| (from..to).contains(*at)).count() as f64;
    let warm = scenario.utilization * (WARM_UP_MS / 3) as f64 / MEAN_WORK_MS as f64;
    let late = sent(WARM_UP_MS * 2 / 3, WARM_UP_MS);
    assert!(
        late > 0.15 * warm,
        "{scenario:?}: replica {replica} got {late} parts in the last third, a warm one gets {warm}"
    );
    let early = sent(0, WARM_UP_MS / 2);
    assert!(early >= 1.0, "{scenario:?}: replica {replica} got no part in the first half of its warm-up");
}

#[test]
fn any_number_of_front_nodes_stays_within_the_capacity_of_a_warming_up_replica() {
    for (front_nodes, seeds) in [(2, 30), (20, 30), (30, 30)] {
        for seed in 0..seeds {
            let scenario = Scenario {
                front_nodes,
                utilization: [0.15, 0.6, 0.9][seed as usize % 3],
                cold_replicas: 1,
                restart_rate: if seed % 2 == 0 { 0.0 } else { 0.1 },
                overload_window_ms: if seed % 4 < 2 { 250 } else { 1000 },
                seed,
            };
            let sent = run(scenario);
            for replica in 0..scenario.cold_replicas {
                let send_times = sent.get(&replica).map_or(&[][..], Vec::as_slice);
                assert_within_capacity(scenario, replica, send_times);
                assert_used(scenario, replica, send_times);
            }
        }
    }
}

#[test]
fn front_nodes_stay_within_the_capacity_of_each_replica_if_all_replicas_start_at_once() {
    for front_nodes in [2, 20, 30] {
        for seed in 0..10 {
            let scenario = Scenario {
                front_nodes,
                utilization: 0.12,
                cold_replicas: REPLICAS,
                restart_rate: 0.0,
                overload_window_ms: 1000,
                seed,
            };
            for (replica, send_times) in run(scenario) {
                assert_within_capacity(scenario, replica, &send_times);
                assert!(
                    send_times.len() > 3,
                    "{scenario:?}: replica {replica} got {} parts",
                    send_times.len()
                );
            }
        }
    }
}

#[test]
fn front_nodes_without_measurements_do_not_each_send_a_part_to_a_warming_up_replica() {
    // Thirty front nodes start together. Each has its first part for a replica that has just started.
    let mut settings = base_settings();
    settings.fleet_size = 30;
    settings.rules.overload_multiple = 2.0;
    let mut sent = 0_usize;
    for seed in 0..30 {
        let mut harness = Harness::with_seed(settings.clone(), 0, seed);
        let started = harness.now + ms(2_000);
        let warm = list_entry(0, Lifecycle::InService, None);
        harness.deliver(vec![Event::EndpointList { replicas: vec![warm], cached: false }]);
        harness.now = started;
        let restarted = list_entry(0, Lifecycle::InService, Some(started));
        harness.deliver(vec![Event::EndpointListChanged(vec![restarted])]);
        for _ in 0..10 {
            let (_, actions) = harness.query(0, &[0]);
            sent += sent_attempts(&actions).len();
            harness.now = harness.now + ms(100);
        }
    }
    // The work of a part is unknown, so an eighth of the objective is assumed. About four such parts fit into
    // a window.
    let mean: f64 = 2.0 * 0.28 * 1000.0 / 125.0;
    assert!(sent as f64 <= bound(mean), "{sent} parts sent, the replica can take {mean}");
}
