//! Releases and drains under faults: seven members, each with its own front node, under steady load from clients that
//! check every query for exactly one final answer. A release rolls over all of them while links drop, the holder of the
//! release lease is killed halfway, a member stalls, and a halt is ordered and resumed; then a release that can't start
//! halts itself and is rolled back, and one is rolled back halfway.
//!
//! Checked on each seed, from outside: never more front nodes away than the budget, no query unanswered or answered
//! twice, no step begun under the halt, none done twice or skipped, all on the new version, or all on the old.

mod common;

use common::fleet::{Fleet, FleetSetup, WAIT_LIMIT};
use common::{multi_thread_runtime, run_seeds, send_signal};
use pinetrestle_faultnet::Fault;
use pinetrestle_member::status::RolloutView;
use pinetrestle_standins::{entries, p99_ms, wall_us, Client, Load};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const MEMBERS: u64 = 7;
/// Front nodes that may be away at once.
const BUDGET: usize = 2;
/// Seeds run, unless `PINETRESTLE_ROLLOUT_SEEDS` says how many; an odd seed has a budget of 1.
const SEEDS: u64 = 3;

fn fleet_setup(seed: u64, budget: usize) -> FleetSetup {
    let base = 16_000 + (u64::from(std::process::id()) % 20) * 200 + (seed % 8) * 24;
    FleetSetup { members: MEMBERS, budget, mesh: true, tick_ms: 20, wave_ms: Some(200), base, seed }
}

/// What one seed measured.
#[derive(Debug, Default, serde::Serialize)]
struct Report {
    release_ms: u128,
    halt_to_still_ms: u128,
    rollback_ms: u128,
    asked: usize,
    not_200: usize,
    most_away: usize,
    quiet_p99_ms: f64,
    release_p99_ms: f64,
    nowhere: u64,
}

fn passed(view: &RolloutView) -> u32 {
    view.release.as_ref().map_or(0, |release| release.passed)
}

fn has_stage(view: &RolloutView, id: &str, stage: &str) -> bool {
    view.release.as_ref().is_some_and(|release| release.id == id && release.stage == stage)
}

fn all_serve(view: &RolloutView) -> bool {
    view.nodes.len() == 7 && view.nodes.iter().all(|node| !node.unavailable)
}

fn no_slots(view: &RolloutView) -> bool {
    view.nodes.iter().all(|node| node.slot.is_none())
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Orders release r1 twice under one id, and a second one, which is rejected; drops or stalls links meanwhile.
async fn release_with_link_faults(fleet: &Fleet, random: &mut StdRng) {
    fleet.run_command_until_done(&["release", "v2", "--id", "r1"], 1);
    fleet.run_command_until_done(&["release", "v2", "--id", "r1"], 2);
    let (code, output) = fleet.run_command(&["release", "v3", "--id", "r2"], 3);
    assert_eq!(code, Some(3), "a second release beside one that runs: {output}");
    let running = "release r1 is running: wait until it ends, or roll it back";
    assert!(output.contains(running), "{output}");
    let cut: Vec<(u64, u64)> =
        (0..5).map(|_| (random.random_range(1..=MEMBERS), random.random_range(1..=MEMBERS))).collect();
    let is_cut = |a: u64, b: u64| cut.contains(&(a, b)) || cut.contains(&(b, a));
    let fault = if random.random_range(0..2) == 0 { Fault::Drop } else { Fault::Stall };
    fleet.mesh.set_fault(is_cut, fault);
    sleep_ms(1_000).await;
    fleet.mesh.set_fault(|_, _| true, Fault::Heal);
    fleet.wait_until("two passed", WAIT_LIMIT, |view| passed(view) >= 2).await;
}

/// Kills the holder of the release lease, and stalls another member; the release goes on from the replicated state.
async fn kill_lease_holder_and_stall_another(fleet: &mut Fleet, random: &mut StdRng) {
    let holder = fleet.release_lease_holder().await.unwrap_or(1);
    fleet.kill_member(holder);
    let drawn = (holder + random.random_range(0..MEMBERS - 1)) % MEMBERS + 1;
    let stalled = if drawn == holder { holder % MEMBERS + 1 } else { drawn };
    send_signal(fleet.members[&stalled].id(), "-STOP");
    sleep_ms(1_200).await;
    send_signal(fleet.members[&stalled].id(), "-CONT");
    fleet.start_member(holder);
    fleet.wait_until("three passed", WAIT_LIMIT, |view| passed(view) >= 3).await;
}

/// Halts: no step begins, those that have begun end. Resumes. Returns the time from the halt to no step in progress.
async fn halt_and_resume(fleet: &Fleet, through: u64) -> Duration {
    let halted = Instant::now();
    fleet.run_command_until_done(&["halt", "--id", "h1", "--why", "a look at the new version"], through);
    let answered = halted.elapsed();
    let still = fleet.wait_until("no step is in progress", WAIT_LIMIT, no_slots).await;
    let passed_at_halt = fleet.most_advanced().await.map(|(_, view)| passed(&view)).unwrap();
    sleep_ms(1_500).await;
    let (_, view) = fleet.most_advanced().await.unwrap();
    assert!(view.halt.is_some() && passed(&view) == passed_at_halt, "it went on under a halt: {view:#?}");
    assert!(no_slots(&view), "a slot under a halt: {view:#?}");
    fleet.run_command_until_done(&["resume", "--id", "g1"], through);
    answered + still
}

/// Every front node runs v2, and each was started with it once.
fn assert_released_once_everywhere(fleet: &Fleet) {
    assert_eq!(fleet.running_versions(), vec!["v2"; 7], "every front node runs the new version");
    let starts = fleet.start_counts("v2");
    let logs = fleet.log_tails();
    assert!(starts.values().all(|n| *n == 1), "each step once, none skipped: {starts:?}\n{logs}");
}

/// A version that can't start: the canary fails and is set back by its agent, the release halts itself. Rolls it back.
/// Returns when the rollback was ordered.
async fn release_that_cannot_start(fleet: &Fleet, through: u64) -> Instant {
    fleet.run_command_until_done(&["release", "broken", "--id", "r3"], through);
    fleet.wait_until("it halts itself", WAIT_LIMIT, |view| view.halt.is_some()).await;
    let rollback = Instant::now();
    fleet.run_command_until_done(&["rollback", "--id", "b1"], through);
    fleet.wait_until("it is rolled back", WAIT_LIMIT, |view| has_stage(view, "r3", "rolled back")).await;
    let starts = fleet.start_counts("broken");
    assert_eq!(starts.values().sum::<usize>(), 1, "only the canary tried it: {starts:?}");
    assert_eq!(fleet.running_versions(), vec!["v2"; 7], "all on the old version again");
    rollback
}

async fn release_rolled_back_halfway(fleet: &Fleet, through: u64) {
    let halfway = |view: &RolloutView| has_stage(view, "r4", "running") && passed(view) >= 3;
    fleet.run_command_until_done(&["release", "v3", "--id", "r4"], through);
    fleet.wait_until("half of it", WAIT_LIMIT, halfway).await;
    fleet.run_command_until_done(&["rollback", "--id", "b2"], through);
    fleet.wait_until("it is rolled back", WAIT_LIMIT, |view| has_stage(view, "r4", "rolled back")).await;
    assert_eq!(fleet.running_versions(), vec!["v2"; 7], "all on the old version again");
}

async fn run_seed(seed: u64) -> Report {
    let dir = tempfile::tempdir().unwrap();
    let budget = if seed % 2 == 1 { 1 } else { BUDGET };
    let mut fleet = Fleet::start(dir.path(), fleet_setup(seed, budget)).await;
    let mut random = StdRng::seed_from_u64(seed);
    let mut load = Load::start(&fleet.front_nodes, 4, Duration::from_millis(10));
    fleet.wait_until("all serve", WAIT_LIMIT, all_serve).await;
    while load.ready_count() < 7 {
        sleep_ms(20).await;
    }
    let quiet_us = wall_us();
    let nowhere_before = load.rounds_without_ready_node();
    sleep_ms(1_500).await;
    let release_us = wall_us();

    let release = Instant::now();
    release_with_link_faults(&fleet, &mut random).await;
    kill_lease_holder_and_stall_another(&mut fleet, &mut random).await;
    let through = random.random_range(1..=MEMBERS);
    let halt_to_still = halt_and_resume(&fleet, through).await;
    fleet.wait_until("the release is done", WAIT_LIMIT, |view| has_stage(view, "r1", "done")).await;
    let release_ms = release.elapsed().as_millis();
    let release_end_us = wall_us();
    assert_released_once_everywhere(&fleet);

    let rollback = release_that_cannot_start(&fleet, through).await;
    release_rolled_back_halfway(&fleet, through).await;
    let rollback_ms = rollback.elapsed().as_millis();

    sleep_ms(300).await;
    load.stop();
    let asked = load.queries();
    let bad: Vec<_> = asked.iter().filter(|a| a.status == 0 || a.excess_bytes > 0).collect();
    assert!(bad.is_empty(), "seed {seed}: unanswered or answered twice: {bad:?}");
    let most_away = load.most_unready(release_us);
    assert!(most_away <= budget, "seed {seed}: {most_away} front nodes away, {budget} allowed");
    Report {
        release_ms,
        halt_to_still_ms: halt_to_still.as_millis(),
        rollback_ms,
        asked: asked.len(),
        not_200: asked.iter().filter(|a| a.status != 200).count(),
        most_away,
        quiet_p99_ms: p99_ms(&asked, quiet_us, release_us),
        release_p99_ms: p99_ms(&asked, release_us, release_end_us),
        nowhere: load.rounds_without_ready_node() - nowhere_before,
    }
}

#[test]
fn release_under_faults_stays_within_the_budget_and_steps_each_front_node_once() {
    for (seed, report) in run_seeds("PINETRESTLE_ROLLOUT_SEEDS", SEEDS, 3, run_seed) {
        eprintln!("seed {seed}: {}", serde_json::to_string(&report).unwrap());
        assert!(report.asked > 500, "hardly any load: {report:?}");
        assert!(report.not_200 * 100 <= report.asked, "over 1 % not answered whole: {report:?}");
    }
}

/// The number of front nodes whose relay lists the first index server as up.
fn nodes_listing_first_server_up(fleet: &Fleet) -> usize {
    let up = |relay: &SocketAddr| {
        let list = Client::connect(*relay)
            .send("GET /registry/instances HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .json();
        let is_up = |entry: &&serde_json::Value| entry["name"] == "s0" && entry["status"] == "up";
        list["endpoints"].as_array().unwrap().iter().filter(is_up).count()
    };
    fleet.relays.iter().map(up).sum()
}

fn first_server_has_phase(view: &RolloutView, phase: &str) -> bool {
    view.servers.iter().any(|server| server.name == "s0" && server.phase.starts_with(phase))
}

/// A second server can't be drained: the budget is one.
fn assert_budget_is_used(fleet: &Fleet, server: &str, id: &str, through: u64) {
    let (code, output) = fleet.run_command(&["drain", server, "--id", id], through);
    assert!(code == Some(3) && output.contains("1 away of 1 allowed"), "{output}");
}

/// Drains the first server while member 3 stalls: its front node may still send, so the drain is not done without it.
async fn drain_while_a_member_stalls(fleet: &Fleet) {
    let stalled = fleet.members[&3].id();
    send_signal(stalled, "-STOP");
    fleet.run_command_until_done(&["drain", "s0", "--id", "d1"], 1);
    let six_notified = |view: &RolloutView| view.servers.iter().any(|server| server.notified == 6);
    fleet.wait_until("six are notified", WAIT_LIMIT, six_notified).await;
    sleep_ms(1_000).await;
    let (_, view) = fleet.most_advanced().await.unwrap();
    assert!(first_server_has_phase(&view, "draining"), "drained without member 3: {:?}", view.servers);
    send_signal(stalled, "-CONT");
    fleet.wait_until("all are notified", WAIT_LIMIT, |view| first_server_has_phase(view, "drained")).await;
}

/// Within the grace of the settings (1 s) the last parts leave; then none, as long as the drain lasts. Returns the
/// parts that the drained server has had.
async fn assert_drained_server_gets_nothing(fleet: &Fleet) -> usize {
    sleep_ms(1_050).await;
    let seen = fleet.servers[0].received().len();
    assert_budget_is_used(fleet, "s4", "d2", 2);
    sleep_ms(1_000).await;
    assert_eq!(fleet.servers[0].received().len(), seen, "parts to a drained index server");
    assert_eq!(nodes_listing_first_server_up(fleet), 0);
    seen
}

/// Returns the server by the ramp: half of the front nodes first, all in the end.
async fn return_by_ramp(fleet: &Fleet) {
    fleet.run_command_until_done(&["return", "s0", "--id", "d3"], 5);
    let begun = Instant::now();
    let mut first_up: Option<Instant> = None;
    let mut at_most_half = Duration::ZERO;
    loop {
        let up = nodes_listing_first_server_up(fleet);
        if up > 0 && first_up.is_none() {
            first_up = Some(Instant::now());
        }
        if up <= 4 {
            at_most_half = first_up.map_or(at_most_half, |first_up| first_up.elapsed());
        }
        if up == 7 {
            break;
        }
        assert!(begun.elapsed() < WAIT_LIMIT, "{up} of seven front nodes send to it at last");
        sleep_ms(20).await;
    }
    // A stage lasts 500 ms; changes reach the members some 40 ms apart.
    assert!(
        at_most_half > Duration::from_millis(350),
        "no more than half of the front nodes for {at_most_half:?} only"
    );
    fleet.wait_until("it serves", WAIT_LIMIT, |view| view.servers.is_empty()).await;
}

async fn run_drain() {
    let dir = tempfile::tempdir().unwrap();
    let fleet = Fleet::start(dir.path(), fleet_setup(7, 1)).await;
    let mut load = Load::start(&fleet.front_nodes, 4, Duration::from_millis(5));
    fleet.wait_until("all serve", WAIT_LIMIT, all_serve).await;
    sleep_ms(500).await;
    assert!(!fleet.servers[0].received().is_empty(), "it has traffic");
    assert_eq!(nodes_listing_first_server_up(&fleet), 7);

    drain_while_a_member_stalls(&fleet).await;
    let seen = assert_drained_server_gets_nothing(&fleet).await;
    return_by_ramp(&fleet).await;
    let returned = Instant::now();
    while fleet.servers[0].received().len() == seen && returned.elapsed() < WAIT_LIMIT {
        sleep_ms(20).await;
    }
    assert!(fleet.servers[0].received().len() > seen, "it has traffic again");

    // A server that leaves by itself uses the budget.
    let mut rest = entries(&fleet.servers);
    rest.remove(5);
    fleet.discovery.set_entries(rest);
    let one_out = |view: &RolloutView| view.servers.iter().any(|server| !server.up);
    fleet.wait_until("it is seen to be out", WAIT_LIMIT, one_out).await;
    assert_budget_is_used(&fleet, "s0", "d4", 6);
    load.stop();
    let bad: Vec<_> = load.queries().into_iter().filter(|a| a.status != 200 || a.excess_bytes > 0).collect();
    assert!(bad.is_empty(), "not answered whole and once: {bad:?}");
}

#[test]
fn index_server_drain_waits_for_every_front_node_and_the_return_ramps_up() {
    multi_thread_runtime().block_on(run_drain());
}
