//! Releases and drains under faults, in a fleet of seven members that each run their own front node. Clients
//! send queries at a steady rate and check that each one gets exactly one final answer.
//!
//! The first test starts a release of all front nodes. Meanwhile links between members fail, the holder of
//! the release lease is killed, another member stalls, and the release is halted and resumed. It then starts
//! a release of a version that can't start, which halts itself and is rolled back, and a third release that
//! is rolled back halfway.
//!
//! For each seed the test checks from outside the processes that
//! - no more front nodes than the budget are unavailable (not in service) at the same time,
//! - no query is left unanswered or answered twice,
//! - no step (the replacement of one front node) begins during the halt, and none is repeated or skipped,
//! - in the end all front nodes run the new version, or all of them the old one.
//!
//! The second test drains one index server and returns it to service.

mod common;

use common::fleet::{Fleet, FleetSetup, WAIT_LIMIT};
use common::{multi_thread_runtime, run_seeds, send_signal};
use pinetrestle_faultnet::Fault;
use pinetrestle_member::status::RolloutView;
use pinetrestle_standins::{entries, p99_ms, wall_us, Client, Load, QueryRecord};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const MEMBERS: u64 = 7;
/// Number of front nodes that may be unavailable at the same time, for even seeds; for odd seeds it is 1.
const BUDGET: usize = 2;
/// Number of seeds, unless the environment variable `PINETRESTLE_ROLLOUT_SEEDS` sets it.
const SEEDS: u64 = 3;
/// Number of seeds that run at the same time.
const SEEDS_AT_ONCE: u64 = 3;
/// Name of the index server that the drain test drains.
const DRAINED_SERVER: &str = "s0";
/// Index of that server in [`Fleet::servers`].
const DRAINED_SERVER_INDEX: usize = 0;

fn fleet_setup(seed: u64, budget: usize) -> FleetSetup {
    let first_port = 16_000 + (u64::from(std::process::id()) % 20) * 200 + (seed % 8) * 24;
    FleetSetup {
        members: MEMBERS,
        budget,
        use_proxies: true,
        tick_ms: 20,
        wave_ms: Some(200),
        first_port,
        seed,
    }
}

/// The measurements of one seed.
#[derive(Debug, Default, serde::Serialize)]
struct Report {
    /// Duration of the first release, from its command to its end.
    release_ms: u128,
    /// Time from the halt command until no front node holds a slot.
    halt_to_idle_ms: u128,
    /// Time from the first rollback command to the end of the second rollback.
    rollback_ms: u128,
    /// Number of queries.
    queries: usize,
    /// Number of queries whose status was not 200.
    not_200: usize,
    /// The largest number of front nodes that were unavailable at the same time.
    // The printed report keeps its key.
    #[serde(rename = "max_away")]
    max_unavailable: usize,
    /// The 99th percentile of the latency before the release.
    baseline_p99_ms: f64,
    /// The 99th percentile of the latency during the release.
    release_p99_ms: f64,
    /// How many times a client sent no query because no front node was ready.
    rounds_without_ready_node: u64,
}

/// Returns how many front nodes have passed their step of the release.
fn passed_count(view: &RolloutView) -> u32 {
    view.release.as_ref().map_or(0, |release| release.passed)
}

/// Returns true if the running or last release has this id and this stage.
fn has_stage(view: &RolloutView, id: &str, stage: &str) -> bool {
    view.release.as_ref().is_some_and(|release| release.id == id && release.stage == stage)
}

/// Returns true if no front node of the seven members is unavailable.
fn all_serve(view: &RolloutView) -> bool {
    view.nodes.len() == 7 && view.nodes.iter().all(|node| !node.unavailable)
}

/// Returns true if no front node holds a slot, the right to be unavailable for its step.
fn no_slots(view: &RolloutView) -> bool {
    view.nodes.iter().all(|node| node.slot.is_none())
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Starts release r1 by two commands with the same id, and checks that a second release is rejected while r1
/// is running. Then drops or stalls some links for one second.
async fn release_with_link_faults(fleet: &Fleet, random: &mut StdRng) {
    fleet.run_command_with_retries(&["release", "v2", "--id", "r1"], 1);
    fleet.run_command_with_retries(&["release", "v2", "--id", "r1"], 2);
    let (code, output) = fleet.run_command(&["release", "v3", "--id", "r2"], 3);
    assert_eq!(code, Some(3), "the second release was not rejected as expected: {output}");
    let running = "release r1 is running: wait until it ends, or roll it back";
    assert!(output.contains(running), "{output}");
    let affected: Vec<(u64, u64)> =
        (0..5).map(|_| (random.random_range(1..=MEMBERS), random.random_range(1..=MEMBERS))).collect();
    let is_affected = |a: u64, b: u64| affected.contains(&(a, b)) || affected.contains(&(b, a));
    let fault = if random.random_range(0..2) == 0 { Fault::Drop } else { Fault::Stall };
    fleet.mesh.set_fault(is_affected, fault);
    sleep_ms(1_000).await;
    fleet.mesh.set_fault(|_, _| true, Fault::Heal);
    fleet.wait_until("two front nodes have passed", WAIT_LIMIT, |view| passed_count(view) >= 2).await;
}

/// Kills the holder of the release lease and stalls another member. The next holder has to continue the
/// release from the replicated state.
async fn kill_lease_holder_and_stall_another(fleet: &mut Fleet, random: &mut StdRng) {
    let holder = fleet.release_lease_holder().await.unwrap_or(1);
    fleet.kill_member(holder);
    let candidate = (holder + random.random_range(0..MEMBERS - 1)) % MEMBERS + 1;
    let stalled = if candidate == holder { holder % MEMBERS + 1 } else { candidate };
    send_signal(fleet.members[&stalled].id(), "-STOP");
    sleep_ms(1_200).await;
    send_signal(fleet.members[&stalled].id(), "-CONT");
    fleet.start_member(holder);
    fleet.wait_until("three front nodes have passed", WAIT_LIMIT, |view| passed_count(view) >= 3).await;
}

/// Halts the release through `member` and checks that steps that have begun end and that no further step
/// begins, then resumes it. Returns the time from the halt command until no step is in progress.
async fn halt_and_resume(fleet: &Fleet, member: u64) -> Duration {
    let started = Instant::now();
    fleet.run_command_with_retries(&["halt", "--id", "h1", "--why", "a look at the new version"], member);
    let command_time = started.elapsed();
    let wait_time = fleet.wait_until("no step is in progress", WAIT_LIMIT, no_slots).await;
    let passed_at_halt = fleet.most_advanced().await.map(|(_, view)| passed_count(&view)).unwrap();
    sleep_ms(1_500).await;
    let (_, view) = fleet.most_advanced().await.unwrap();
    assert!(
        view.halt.is_some() && passed_count(&view) == passed_at_halt,
        "the release continued during the halt: {view:#?}"
    );
    assert!(no_slots(&view), "a front node got a slot during the halt: {view:#?}");
    fleet.run_command_with_retries(&["resume", "--id", "g1"], member);
    command_time + wait_time
}

/// Checks that every front node runs v2, and that each was started with it exactly once.
fn assert_released_once_everywhere(fleet: &Fleet) {
    assert_eq!(fleet.running_versions(), vec!["v2"; 7], "not every front node runs the new version");
    let starts = fleet.start_counts("v2");
    let logs = fleet.log_tails();
    assert!(
        starts.values().all(|n| *n == 1),
        "a front node was not started exactly once with v2: {starts:?}\n{logs}"
    );
}

/// Releases a version that can't start and rolls it back: the canary (the first front node of a release)
/// fails, its agent restarts it with the old version, and the release halts itself. Returns the time of the
/// rollback command.
async fn release_that_cannot_start(fleet: &Fleet, member: u64) -> Instant {
    fleet.run_command_with_retries(&["release", "broken", "--id", "r3"], member);
    fleet.wait_until("the release has halted itself", WAIT_LIMIT, |view| view.halt.is_some()).await;
    let rollback_started = Instant::now();
    fleet.run_command_with_retries(&["rollback", "--id", "b1"], member);
    fleet
        .wait_until("the release is rolled back", WAIT_LIMIT, |view| has_stage(view, "r3", "rolled back"))
        .await;
    let starts = fleet.start_counts("broken");
    assert_eq!(
        starts.values().sum::<usize>(),
        1,
        "not exactly one front node, the canary, was started with it: {starts:?}"
    );
    assert_eq!(fleet.running_versions(), vec!["v2"; 7], "not every front node runs the old version again");
    rollback_started
}

/// Starts release r4 and rolls it back when at least three front nodes have passed.
async fn release_rolled_back_halfway(fleet: &Fleet, member: u64) {
    let halfway = |view: &RolloutView| has_stage(view, "r4", "running") && passed_count(view) >= 3;
    fleet.run_command_with_retries(&["release", "v3", "--id", "r4"], member);
    fleet.wait_until("three front nodes have passed", WAIT_LIMIT, halfway).await;
    fleet.run_command_with_retries(&["rollback", "--id", "b2"], member);
    fleet
        .wait_until("the release is rolled back", WAIT_LIMIT, |view| has_stage(view, "r4", "rolled back"))
        .await;
    assert_eq!(fleet.running_versions(), vec!["v2"; 7], "not every front node runs the old version again");
}

async fn run_seed(seed: u64) -> Report {
    let dir = tempfile::tempdir().unwrap();
    let budget = if seed % 2 == 1 { 1 } else { BUDGET };
    let mut fleet = Fleet::start(dir.path(), fleet_setup(seed, budget)).await;
    let mut random = StdRng::seed_from_u64(seed);
    let mut load = Load::start(&fleet.front_node_addrs, 4, Duration::from_millis(10));
    fleet.wait_until("all front nodes serve", WAIT_LIMIT, all_serve).await;
    while load.ready_count() < 7 {
        sleep_ms(20).await;
    }
    let baseline_us = wall_us();
    let rounds_before = load.rounds_without_ready_node();
    sleep_ms(1_500).await;
    let release_us = wall_us();

    let release_started = Instant::now();
    release_with_link_faults(&fleet, &mut random).await;
    kill_lease_holder_and_stall_another(&mut fleet, &mut random).await;
    let member = random.random_range(1..=MEMBERS);
    let halt_to_idle = halt_and_resume(&fleet, member).await;
    fleet.wait_until("the release is done", WAIT_LIMIT, |view| has_stage(view, "r1", "done")).await;
    let release_ms = release_started.elapsed().as_millis();
    let release_end_us = wall_us();
    assert_released_once_everywhere(&fleet);

    let rollback_started = release_that_cannot_start(&fleet, member).await;
    release_rolled_back_halfway(&fleet, member).await;
    let rollback_ms = rollback_started.elapsed().as_millis();

    sleep_ms(300).await;
    load.stop();
    let queries = load.queries();
    let bad: Vec<_> = queries.iter().filter(|query| query.status == 0 || query.excess_bytes > 0).collect();
    assert!(bad.is_empty(), "seed {seed}: queries unanswered or answered twice: {bad:?}");
    let max_unavailable = load.max_unready(release_us);
    assert!(
        max_unavailable <= budget,
        "seed {seed}: {max_unavailable} front nodes unavailable, {budget} allowed"
    );
    Report {
        release_ms,
        halt_to_idle_ms: halt_to_idle.as_millis(),
        rollback_ms,
        queries: queries.len(),
        not_200: queries.iter().filter(|query| query.status != 200).count(),
        max_unavailable,
        baseline_p99_ms: p99_ms(&queries, baseline_us, release_us),
        release_p99_ms: p99_ms(&queries, release_us, release_end_us),
        rounds_without_ready_node: load.rounds_without_ready_node() - rounds_before,
    }
}

#[test]
fn release_under_faults_stays_within_the_budget_and_steps_each_front_node_once() {
    for (seed, report) in run_seeds("PINETRESTLE_ROLLOUT_SEEDS", SEEDS, SEEDS_AT_ONCE, run_seed) {
        eprintln!("seed {seed}: {}", serde_json::to_string(&report).unwrap());
        assert!(report.queries > 500, "too few queries: {report:?}");
        assert!(
            report.not_200 * 100 <= report.queries,
            "over 1 % of the queries got no complete answer: {report:?}"
        );
    }
}

/// Returns the number of relays, one for each front node, whose endpoint list has the drained server with the
/// status `up`.
fn relays_listing_drained_server_up(fleet: &Fleet) -> usize {
    let count_up = |relay: &SocketAddr| {
        let list = Client::connect(*relay)
            .send("GET /registry/instances HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .json();
        let is_up = |entry: &&serde_json::Value| entry["name"] == DRAINED_SERVER && entry["status"] == "up";
        list["endpoints"].as_array().unwrap().iter().filter(is_up).count()
    };
    fleet.relay_addrs.iter().map(count_up).sum()
}

/// Returns true if the phase of the drained server starts with `phase`.
fn drained_server_has_phase(view: &RolloutView, phase: &str) -> bool {
    view.servers.iter().any(|server| server.name == DRAINED_SERVER && server.phase.starts_with(phase))
}

/// Checks that `server` can't be drained because another index server is already unavailable and the budget
/// is one.
fn assert_budget_is_used(fleet: &Fleet, server: &str, id: &str, member: u64) {
    let (code, output) = fleet.run_command(&["drain", server, "--id", id], member);
    assert!(code == Some(3) && output.contains("1 away of 1 allowed"), "{output}");
}

/// Drains an index server while member 3 is stalled. The front node of that member may still send parts to
/// the server, so the drain must not be done before member 3 has been notified.
async fn drain_while_a_member_stalls(fleet: &Fleet) {
    let stalled = fleet.members[&3].id();
    send_signal(stalled, "-STOP");
    fleet.run_command_with_retries(&["drain", DRAINED_SERVER, "--id", "d1"], 1);
    let six_notified = |view: &RolloutView| view.servers.iter().any(|server| server.notified == 6);
    fleet.wait_until("six front nodes are notified of the drain", WAIT_LIMIT, six_notified).await;
    sleep_ms(1_000).await;
    let (_, view) = fleet.most_advanced().await.unwrap();
    assert!(
        drained_server_has_phase(&view, "draining"),
        "the drain was done before member 3 was notified: {:?}",
        view.servers
    );
    send_signal(stalled, "-CONT");
    fleet
        .wait_until("all front nodes are notified of the drain", WAIT_LIMIT, |view| {
            drained_server_has_phase(view, "drained")
        })
        .await;
}

/// Checks that the drained server gets no more parts. The front nodes may send it the last parts within the
/// drain grace period of their settings (1 s), and none after that. Returns the number of parts it has
/// received.
async fn assert_drained_server_gets_nothing(fleet: &Fleet) -> usize {
    sleep_ms(1_050).await;
    let received = fleet.servers[DRAINED_SERVER_INDEX].received().len();
    assert_budget_is_used(fleet, "s4", "d2", 2);
    sleep_ms(1_000).await;
    assert_eq!(
        fleet.servers[DRAINED_SERVER_INDEX].received().len(),
        received,
        "the drained index server got parts"
    );
    assert_eq!(relays_listing_drained_server_up(fleet), 0);
    received
}

/// Returns the drained server to service and checks the ramp: in the first stage at most half of the front
/// nodes (rounded up: four of seven) send to it, in the end all of them.
async fn return_in_stages(fleet: &Fleet) {
    fleet.run_command_with_retries(&["return", DRAINED_SERVER, "--id", "d3"], 5);
    let started = Instant::now();
    let mut first_up: Option<Instant> = None;
    let mut at_most_half = Duration::ZERO;
    loop {
        let up = relays_listing_drained_server_up(fleet);
        if up > 0 && first_up.is_none() {
            first_up = Some(Instant::now());
        }
        if up <= 4 {
            at_most_half = first_up.map_or(at_most_half, |first_up| first_up.elapsed());
        }
        if up == 7 {
            break;
        }
        assert!(started.elapsed() < WAIT_LIMIT, "only {up} of seven front nodes list the server as up");
        sleep_ms(20).await;
    }
    // A stage lasts 500 ms, and a change reaches the members at times about 40 ms apart.
    assert!(
        at_most_half > Duration::from_millis(350),
        "the stage with at most half of the front nodes lasted only {at_most_half:?}"
    );
    fleet.wait_until("the index server serves", WAIT_LIMIT, |view| view.servers.is_empty()).await;
}

async fn run_drain_and_return() {
    let dir = tempfile::tempdir().unwrap();
    let fleet = Fleet::start(dir.path(), fleet_setup(7, 1)).await;
    let mut load = Load::start(&fleet.front_node_addrs, 4, Duration::from_millis(5));
    fleet.wait_until("all front nodes serve", WAIT_LIMIT, all_serve).await;
    sleep_ms(500).await;
    assert!(
        !fleet.servers[DRAINED_SERVER_INDEX].received().is_empty(),
        "the index server got no parts before the drain"
    );
    assert_eq!(relays_listing_drained_server_up(&fleet), 7);

    drain_while_a_member_stalls(&fleet).await;
    let received = assert_drained_server_gets_nothing(&fleet).await;
    return_in_stages(&fleet).await;
    let returned = Instant::now();
    while fleet.servers[DRAINED_SERVER_INDEX].received().len() == received && returned.elapsed() < WAIT_LIMIT
    {
        sleep_ms(20).await;
    }
    assert!(
        fleet.servers[DRAINED_SERVER_INDEX].received().len() > received,
        "the index server got no parts after its return"
    );

    // An index server that discovery no longer lists counts against the budget, even without a drain.
    let mut listed = entries(&fleet.servers);
    listed.remove(5);
    fleet.discovery.set_entries(listed);
    let one_down = |view: &RolloutView| view.servers.iter().any(|server| !server.up);
    fleet.wait_until("an index server is seen to be down", WAIT_LIMIT, one_down).await;
    assert_budget_is_used(&fleet, DRAINED_SERVER, "d4", 6);
    load.stop();
    let is_bad = |query: &QueryRecord| query.status != 200 || query.excess_bytes > 0;
    let bad: Vec<_> = load.queries().into_iter().filter(is_bad).collect();
    assert!(bad.is_empty(), "queries without exactly one complete answer: {bad:?}");
}

#[test]
fn index_server_drain_waits_for_every_front_node_and_the_return_ramps_up() {
    multi_thread_runtime().block_on(run_drain_and_return());
}
