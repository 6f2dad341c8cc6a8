//! Recovery from a power loss: seven members and their front nodes are killed at once under load. The members
//! are started again in random order and after random delays, one of them with its log truncated at a random
//! byte. Meanwhile some links between members are down.
//!
//! For each seed the test checks that
//! - front nodes become ready in waves, with 1, 2, 4 and then all of them ready, and with time between the
//!   waves,
//! - no query is answered twice,
//! - all front nodes serve again within the time bound.

mod common;

use common::fleet::{Fleet, FleetSetup, WAIT_LIMIT};
use common::{disk_stalls, run_seeds, send_signal};
use pinetrestle_faultnet::Fault;
use pinetrestle_member::status::RolloutView;
use pinetrestle_standins::{wall_us, Load};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ffi::OsStr;
use std::path::Path;
use std::time::{Duration, Instant};

const MEMBERS: u64 = 7;
/// The minimum duration of a wave, in milliseconds.
const WAVE_MS: u64 = 600;
/// The longest time from the return of power until all front nodes serve. Covers the start of the last member
/// (after 2 s), two elections, endpoint lists, three waves of 600 ms, the start of a front node, and a slow
/// machine.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Number of seeds, unless the environment variable `PINETRESTLE_DARK_SEEDS` sets it.
const SEEDS: u64 = 6;
/// Number of seeds that run at the same time.
const SEEDS_AT_ONCE: u64 = 3;
/// How late the load clients may see the start or the end of a wave, in microseconds.
const OBSERVATION_SLACK_US: u64 = 150_000;

/// The measurements of one seed. Times are counted from the return of power.
#[derive(Debug, serde::Serialize)]
struct Report {
    /// Time until all front nodes serve.
    all_serve_ms: u128,
    /// Time until the first front node is ready.
    first_ready_ms: u64,
    /// Number of queries sent after the power loss.
    queries_after_loss: usize,
    /// Number of the queries sent after the power loss whose status was not 200.
    not_200_after_loss: usize,
    /// Number of bytes truncated from the log of one member.
    truncated_bytes: u64,
}

/// Returns true if no front node of the seven members is unavailable.
fn all_serve(view: &RolloutView) -> bool {
    view.nodes.len() == 7 && view.nodes.iter().all(|node| !node.unavailable)
}

/// Waits until the load clients see all seven front nodes as ready.
async fn wait_until_all_ready(load: &Load) {
    while load.ready_count() < 7 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Truncates the log of the store in `dir` by up to 40 bytes, and returns by how many. Returns `None` if
/// there is no log.
fn truncate_log(dir: &Path, random: &mut StdRng) -> Option<u64> {
    let mut files: Vec<_> = std::fs::read_dir(dir).ok()?.flatten().map(|entry| entry.path()).collect();
    let is_log = |name: &OsStr| name.to_string_lossy().contains("log") && name != "front.log";
    files.retain(|path| path.file_name().is_some_and(is_log));
    let path = files.first()?;
    let length = std::fs::metadata(path).ok()?.len();
    let kept = length - random.random_range(0..=length.min(40));
    std::fs::OpenOptions::new().write(true).open(path).ok()?.set_len(kept).ok()?;
    Some(length - kept)
}

/// Kills all members and front nodes, as a power loss does.
fn kill_all_processes(fleet: &mut Fleet) {
    for id in 1..=MEMBERS {
        fleet.kill_member(id);
    }
    for pid in fleet.front_node_pids() {
        send_signal(pid, "-KILL");
    }
}

/// Starts each member again after a random delay from `power_restored` on. Drops up to four random links
/// until 500 ms after the last start.
async fn start_in_random_order(fleet: &mut Fleet, power_restored: Instant, random: &mut StdRng) {
    let mut order: Vec<(u64, u64)> = (1..=MEMBERS).map(|id| (random.random_range(0..2_000), id)).collect();
    order.sort_unstable();
    let affected: Vec<(u64, u64)> =
        (0..4).map(|_| (random.random_range(1..=MEMBERS), random.random_range(1..=MEMBERS))).collect();
    let is_affected = |from, to| affected.contains(&(from, to)) || affected.contains(&(to, from));
    fleet.mesh.set_fault(is_affected, Fault::Drop);
    for (delay_ms, id) in order {
        let wait = Duration::from_millis(delay_ms).saturating_sub(power_restored.elapsed());
        tokio::time::sleep(wait).await;
        fleet.start_member(id);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.mesh.set_fault(|_, _| true, Fault::Heal);
}

/// Returns the first time at which at least `count` front nodes were ready, in wall-clock microseconds.
fn first_time_ready(ready_counts: &[(u64, usize)], count: usize) -> u64 {
    ready_counts.iter().find(|(_, ready)| *ready >= count).map(|(at_us, _)| *at_us).unwrap()
}

/// Checks that front nodes became ready in waves. After the first three waves 1, 2 and 4 front nodes are
/// ready, so the second, third and fifth front node each have to wait until a wave has ended. Each time at
/// least half of [`WAVE_MS`], less the slack, has to pass. `ready_counts` has the number of ready front nodes
/// after each change, with the time of the change.
///
/// If the machine's disk stalls, the front nodes of one wave may become ready late, together with those of
/// the next wave, so the time of stalls is added to the slack.
fn check_waves(seed: u64, ready_counts: &[(u64, usize)], power_restored_us: u64, fleet: &Fleet) {
    for (fewer, more) in [(1, 2), (2, 3), (4, 5)] {
        let more_ready_us = first_time_ready(ready_counts, more);
        let gap_us = more_ready_us - first_time_ready(ready_counts, fewer);
        let slack_us =
            OBSERVATION_SLACK_US + 1_000 * disk_stalls::stalled_ms(power_restored_us, more_ready_us);
        assert!(
            gap_us + slack_us >= WAVE_MS * 1_000 / 2,
            "seed {seed}: {more} front nodes ready {gap_us} µs after {fewer}: {ready_counts:?}\n{}",
            fleet.log_tails()
        );
    }
}

async fn run_seed(seed: u64) -> Report {
    disk_stalls::start_recording();
    let dir = tempfile::tempdir().unwrap();
    let first_port = 16_000 + (u64::from(std::process::id()) % 20) * 200 + (seed % 8) * 24;
    let setup = FleetSetup {
        members: MEMBERS,
        budget: 2,
        use_proxies: true,
        tick_ms: 20,
        wave_ms: Some(WAVE_MS),
        first_port,
        seed,
    };
    let mut fleet = Fleet::start(dir.path(), setup).await;
    let mut random = StdRng::seed_from_u64(seed);
    let mut load = Load::start(&fleet.front_node_addrs, 4, Duration::from_millis(10));
    fleet.wait_until("all front nodes serve", WAIT_LIMIT, all_serve).await;
    wait_until_all_ready(&load).await;

    kill_all_processes(&mut fleet);
    let power_lost_us = wall_us();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        load.ready_count(),
        0,
        "seed {seed}: a front node is ready although all processes were killed"
    );
    let truncated_member = random.random_range(1..=MEMBERS);
    let data_dir = dir.path().join(format!("data-{truncated_member}"));
    let truncated_bytes = truncate_log(&data_dir, &mut random).unwrap_or(0);

    let power_restored = Instant::now();
    let power_restored_us = wall_us();
    start_in_random_order(&mut fleet, power_restored, &mut random).await;
    fleet.wait_until("all front nodes serve again", WAIT_LIMIT, all_serve).await;
    wait_until_all_ready(&load).await;
    let all_serve_ms = power_restored.elapsed().as_millis();
    let stalled = Duration::from_millis(disk_stalls::stalled_ms(power_restored_us, wall_us()));
    assert!(
        power_restored.elapsed() <= RECOVERY_LIMIT + stalled,
        "seed {seed}: recovery took {all_serve_ms} ms; the disk stalled for {stalled:?} of them\n{}",
        fleet.log_tails()
    );
    let (status, _) = fleet.most_advanced().await.unwrap();
    let recovery = status.recovery.unwrap();
    assert!(recovery.epoch >= 2 && recovery.stage == "normal", "seed {seed}: {recovery:?}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    load.stop();

    let ready_counts = load.ready_counts(power_restored_us);
    check_waves(seed, &ready_counts, power_restored_us, &fleet);
    let queries = load.queries();
    let answered_twice: Vec<_> = queries.iter().filter(|query| query.excess_bytes > 0).collect();
    assert!(answered_twice.is_empty(), "seed {seed}: queries answered twice: {answered_twice:?}");
    // Queries that were in flight when the power was lost get no answer. All that were sent 100 ms after the
    // loss or later get one.
    let after_loss: Vec<_> =
        queries.iter().filter(|query| query.started_at_us > power_lost_us + 100_000).collect();
    let unanswered: Vec<_> = after_loss.iter().filter(|query| query.status == 0).collect();
    assert!(unanswered.is_empty(), "seed {seed}: queries unanswered: {unanswered:?}");
    Report {
        all_serve_ms,
        first_ready_ms: (first_time_ready(&ready_counts, 1) - power_restored_us) / 1_000,
        queries_after_loss: after_loss.len(),
        not_200_after_loss: after_loss.iter().filter(|query| query.status != 200).count(),
        truncated_bytes,
    }
}

#[test]
fn front_nodes_recover_from_a_power_loss_in_waves() {
    for (seed, report) in run_seeds("PINETRESTLE_DARK_SEEDS", SEEDS, SEEDS_AT_ONCE, run_seed) {
        eprintln!("seed {seed}: {}", serde_json::to_string(&report).unwrap());
    }
}
