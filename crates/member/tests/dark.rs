//! Recovery from a power loss: seven members and their front nodes killed at once under load, and started again in random
//! orders and delays, one of them with the tail of its store cut at a random byte, links dropped meanwhile.
//!
//! Checked on each seed: front nodes come back by waves of 1, 2, 4 and all, each wave as long as it has to be; nothing
//! is answered twice; all serve again within the bound.

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
/// The least duration of a wave, in milliseconds.
const WAVE_MS: u64 = 600;
/// From the return of power to all serving: the last member's start (2 s), two elections, endpoint lists, three waves of
/// 600 ms, the start of a front node, and a slow machine.
const BOUND: Duration = Duration::from_secs(15);
/// Seeds run, unless `PINETRESTLE_DARK_SEEDS` says how many.
const SEEDS: u64 = 6;
/// Seeds run at once.
const AT_ONCE: u64 = 3;
/// By how much the load's view of a wave may be late, at its start as at its end, in microseconds.
const OBSERVATION_SLACK_US: u64 = 150_000;

/// What one seed measured.
#[derive(Debug, serde::Serialize)]
struct Report {
    back_ms: u128,
    first_ms: u64,
    asked_after: usize,
    not_200_after: usize,
    cut: u64,
}

fn all_serve(view: &RolloutView) -> bool {
    view.nodes.len() == 7 && view.nodes.iter().all(|node| !node.unavailable)
}

async fn wait_until_all_ready(load: &Load) {
    while load.ready_count() < 7 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Cuts up to 40 bytes off the end of the log of the store in `dir`; the bytes cut.
fn cut_log_tail(dir: &Path, random: &mut StdRng) -> Option<u64> {
    let mut files: Vec<_> = std::fs::read_dir(dir).ok()?.flatten().map(|entry| entry.path()).collect();
    let is_log = |name: &OsStr| name.to_string_lossy().contains("log") && name != "front.log";
    files.retain(|path| path.file_name().is_some_and(is_log));
    let path = files.first()?;
    let length = std::fs::metadata(path).ok()?.len();
    let keep = length - random.random_range(0..=length.min(40));
    std::fs::OpenOptions::new().write(true).open(path).ok()?.set_len(keep).ok()?;
    Some(length - keep)
}

fn kill_everything(fleet: &mut Fleet) {
    for id in 1..=MEMBERS {
        fleet.kill_member(id);
    }
    for pid in fleet.front_node_pids() {
        send_signal(pid, "-KILL");
    }
}

/// Starts the members again, each after a delay of its own, with some links dropped meanwhile.
async fn start_in_random_order(fleet: &mut Fleet, power_back: Instant, random: &mut StdRng) {
    let mut order: Vec<(u64, u64)> = (1..=MEMBERS).map(|id| (random.random_range(0..2_000), id)).collect();
    order.sort_unstable();
    let links: Vec<(u64, u64)> =
        (0..4).map(|_| (random.random_range(1..=MEMBERS), random.random_range(1..=MEMBERS))).collect();
    let is_cut = |from, to| links.contains(&(from, to)) || links.contains(&(to, from));
    fleet.mesh.set_fault(is_cut, Fault::Drop);
    for (delay_ms, id) in order {
        let wait = Duration::from_millis(delay_ms).saturating_sub(power_back.elapsed());
        tokio::time::sleep(wait).await;
        fleet.start_member(id);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.mesh.set_fault(|_, _| true, Fault::Heal);
}

/// The first time at which at least so many front nodes were ready.
fn ready_since(counts: &[(u64, usize)], many: usize) -> u64 {
    counts.iter().find(|(_, ready)| *ready >= many).map(|(at_us, _)| *at_us).unwrap()
}

/// By waves: no second before the first had its time, no third before the second, no fifth before the third. Where the
/// machine's disk stalled, one wave's front nodes come up late, beside the next one's.
fn check_waves(seed: u64, counts: &[(u64, usize)], power_back_us: u64, fleet: &Fleet) {
    for (few, more) in [(1, 2), (2, 3), (4, 5)] {
        let more_since = ready_since(counts, more);
        let gap = more_since - ready_since(counts, few);
        let slack = OBSERVATION_SLACK_US + 1_000 * disk_stalls::stalled_ms(power_back_us, more_since);
        assert!(
            gap + slack >= WAVE_MS * 1_000 / 2,
            "seed {seed}: {more} ready {gap} µs after {few}: {counts:?}\n{}",
            fleet.log_tails()
        );
    }
}

async fn run_seed(seed: u64) -> Report {
    disk_stalls::start_watching();
    let dir = tempfile::tempdir().unwrap();
    let base = 16_000 + (u64::from(std::process::id()) % 20) * 200 + (seed % 8) * 24;
    let setup = FleetSetup {
        members: MEMBERS,
        budget: 2,
        mesh: true,
        tick_ms: 20,
        wave_ms: Some(WAVE_MS),
        base,
        seed,
    };
    let mut fleet = Fleet::start(dir.path(), setup).await;
    let mut random = StdRng::seed_from_u64(seed);
    let mut load = Load::start(&fleet.front_nodes, 4, Duration::from_millis(10));
    fleet.wait_until("all serve", WAIT_LIMIT, all_serve).await;
    wait_until_all_ready(&load).await;

    kill_everything(&mut fleet);
    let power_lost_us = wall_us();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(load.ready_count(), 0, "seed {seed}: something serves without power");
    let victim = random.random_range(1..=MEMBERS);
    let cut = cut_log_tail(&dir.path().join(format!("data-{victim}")), &mut random).unwrap_or(0);

    let power_back = Instant::now();
    let power_back_us = wall_us();
    start_in_random_order(&mut fleet, power_back, &mut random).await;
    fleet.wait_until("all serve again", WAIT_LIMIT, all_serve).await;
    wait_until_all_ready(&load).await;
    let back_ms = power_back.elapsed().as_millis();
    let stalled = Duration::from_millis(disk_stalls::stalled_ms(power_back_us, wall_us()));
    assert!(
        power_back.elapsed() <= BOUND + stalled,
        "seed {seed}: back after {back_ms} ms, {stalled:?} the machine's\n{}",
        fleet.log_tails()
    );
    let (status, _) = fleet.most_advanced().await.unwrap();
    let recovery = status.recovery.unwrap();
    assert!(recovery.epoch >= 2 && recovery.stage == "normal", "seed {seed}: {recovery:?}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    load.stop();

    let counts = load.ready_counts(power_back_us);
    check_waves(seed, &counts, power_back_us, &fleet);
    let asked = load.queries();
    let twice: Vec<_> = asked.iter().filter(|a| a.excess_bytes > 0).collect();
    assert!(twice.is_empty(), "seed {seed}: answered twice: {twice:?}");
    // Queries open when the power went have no answer; those asked after it have one.
    let after: Vec<_> = asked.iter().filter(|a| a.started_at_us > power_lost_us + 100_000).collect();
    let lost: Vec<_> = after.iter().filter(|a| a.status == 0).collect();
    assert!(lost.is_empty(), "seed {seed}: unanswered: {lost:?}");
    Report {
        back_ms,
        first_ms: (ready_since(&counts, 1) - power_back_us) / 1_000,
        asked_after: after.len(),
        not_200_after: after.iter().filter(|a| a.status != 200).count(),
        cut,
    }
}

#[test]
fn front_nodes_recover_from_a_power_loss_in_waves() {
    for (seed, report) in run_seeds("PINETRESTLE_DARK_SEEDS", SEEDS, AT_ONCE, run_seed) {
        eprintln!("seed {seed}: {}", serde_json::to_string(&report).unwrap());
    }
}
