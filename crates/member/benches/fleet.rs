//! Benchmarks of a fleet of member processes, run by
//! `cargo bench -p pinetrestle-member --bench fleet -- [roll] [grants] [power]`:
//!
//! - `roll`: the duration of a release of all front nodes, and its effect on queries;
//! - `grants`: the rate at which leases are granted, and the resources that the members use;
//! - `power`: the recovery after a power loss, with and without waves.
//!
//! Without a name, all of them run, which takes some minutes. The results are recorded in `docs/results.md`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::fleet::{Fleet, FleetSetup, WAIT_LIMIT};
use common::{reserve_ports, ProxyMesh};
use pinetrestle_member::client;
use pinetrestle_member::status::{RolloutView, Status};
use pinetrestle_member::wire::{Request, Response};
use pinetrestle_standins::{p99_ms, query_once, wall_us, Load, Server};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Returns the lowest port that the fleet of this process uses. It depends on the process id, so that
/// benchmarks that run at the same time rarely collide.
fn first_port() -> u64 {
    16_000 + (u64::from(std::process::id()) % 20) * 200
}

/// Returns the duration of a Raft tick in milliseconds: longer in large fleets.
fn tick_ms(members: u64) -> u64 {
    if members > 10 {
        50
    } else {
        20
    }
}

/// Returns true if no front node of the `members` members is unavailable.
fn all_serve(view: &RolloutView, members: u64) -> bool {
    view.nodes.len() as u64 == members && view.nodes.iter().all(|node| !node.unavailable)
}

/// Waits until the load generator sees the front nodes of all members as ready.
async fn wait_until_ready(load: &Load, members: u64) {
    while load.ready_count() < members as usize {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Measures one release of all front nodes under load: its duration and its effect on queries.
async fn measure_release(members: u64, budget: usize) {
    let dir = tempfile::tempdir().unwrap();
    let setup = FleetSetup {
        members,
        budget,
        use_proxies: false,
        tick_ms: tick_ms(members),
        wave_ms: Some(200),
        first_port: first_port(),
        seed: 1,
    };
    let fleet = Fleet::start(dir.path(), setup).await;
    let mut load = Load::start(&fleet.front_node_addrs, 4, Duration::from_millis(10));
    fleet.wait_until("all front nodes serve", WAIT_LIMIT, |view| all_serve(view, members)).await;
    wait_until_ready(&load, members).await;
    let baseline_us = wall_us();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let release_us = wall_us();
    let started = Instant::now();
    fleet.run_command_with_retries(&["release", "v2", "--id", "r1"], 1);
    let done = |view: &RolloutView| {
        view.release.as_ref().is_some_and(|release| release.id == "r1" && release.stage == "done")
    };
    fleet.wait_until("the release is done", Duration::from_secs(900), done).await;
    let duration = started.elapsed();
    let end_us = wall_us();
    load.stop();
    let queries = load.queries();
    let during_release = queries.iter().filter(|query| query.started_at_us >= release_us).count();
    let not_200 = queries.iter().filter(|query| query.status != 200).count();
    println!(
        "{members} members, budget {budget}: {:.1} s; at most {} front nodes unavailable; {during_release} \
         queries during the release, {not_200} of all {} not 200; p99 {:.1} ms before, {:.1} ms during the \
         release",
        duration.as_secs_f64(),
        load.max_unready(release_us),
        queries.len(),
        p99_ms(&queries, baseline_us, release_us),
        p99_ms(&queries, release_us, end_us)
    );
    if std::env::var("PINETRESTLE_SHOW_STEPS").is_ok() {
        println!("{}", fleet.log_tails());
    }
}

async fn measure_releases() {
    for (members, budget) in [(7, 1), (7, 2), (50, 1), (50, 10)] {
        measure_release(members, budget).await;
    }
}

/// The resources that a process has used since its start: processor time, memory now in use, and bytes
/// written to disk.
#[derive(Debug, Clone, Copy)]
struct ProcessUsage {
    cpu_seconds: f64,
    resident_kb: u64,
    written_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage from `/proc`. A value that can't be read counts as 0.
    fn of(pid: u32) -> ProcessUsage {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
        let number = |text: &str, key: &str| {
            let line = text.lines().find(|line| line.starts_with(key)).unwrap_or_default();
            line.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok()).unwrap_or(0)
        };
        let stat = read("stat");
        // The process name may contain spaces, so fields are counted from the one after it: fields 11 and
        // 12 are the user time and the system time, in clock ticks of 10 ms.
        let fields = stat.rsplit(") ").next().unwrap_or_default().to_owned();
        let ticks = |n: usize| fields.split(' ').nth(n).and_then(|w| w.parse::<f64>().ok()).unwrap_or(0.0);
        ProcessUsage {
            cpu_seconds: (ticks(11) + ticks(12)) / 100.0,
            resident_kb: number(&read("status"), "VmRSS:"),
            written_bytes: number(&read("io"), "write_bytes:"),
        }
    }
}

/// Returns the status of a member, asking until it answers.
async fn status(addr: SocketAddr) -> Status {
    loop {
        let response = client::request(addr, Request::Status, Duration::from_secs(2)).await;
        if let Ok(Response::Status(status)) = response {
            return *status;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Five members without front nodes. Dropping it kills their processes.
struct LeaseFleet {
    addrs: BTreeMap<u64, SocketAddr>,
    children: Vec<Child>,
}

impl LeaseFleet {
    const MEMBERS: u64 = 5;

    fn start(dir: &Path) -> LeaseFleet {
        let reserved = reserve_ports(first_port(), Self::MEMBERS as usize);
        let addrs: BTreeMap<u64, SocketAddr> =
            (1..=Self::MEMBERS).map(|id| (id, reserved[id as usize - 1].1)).collect();
        drop(reserved);
        let children = (1..=Self::MEMBERS).map(|id| Self::start_member(dir, &addrs, id)).collect();
        LeaseFleet { addrs, children }
    }

    fn start_member(dir: &Path, addrs: &BTreeMap<u64, SocketAddr>, id: u64) -> Child {
        let path = dir.join(format!("m{id}.json5"));
        let text = format!(
            "{{ id: {id}, {}, data_dir: \"{}\", tick_ms: 20, lease_ms: 1000 }}",
            ProxyMesh::none().peer_keys(addrs, id),
            dir.join(format!("data-{id}")).display()
        );
        std::fs::write(&path, text).unwrap();
        Command::new(env!("CARGO_BIN_EXE_pinetrestle"))
            .args(["fleet", "up", "--config"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(dir.join(format!("m{id}.log"))).unwrap())
            .spawn()
            .unwrap()
    }

    /// Returns the usage of each member, in the order of their ids.
    fn usage(&self) -> Vec<ProcessUsage> {
        self.children.iter().map(|child| ProcessUsage::of(child.id())).collect()
    }

    /// Prints the resources that each member has used since the usage in `before` was read, `seconds` ago.
    /// Returns the current usage.
    fn print_usage(
        &self,
        phase: &str,
        before: &[ProcessUsage],
        seconds: f64,
        leader: u64,
    ) -> Vec<ProcessUsage> {
        let now = self.usage();
        for (id, (now, before)) in (1..).zip(now.iter().zip(before)) {
            println!(
                "  {phase}: member {id} ({}): {:.1} % of a core, {:.1} MB, {:.0} kB/s written",
                if id == leader { "leader" } else { "follower" },
                (now.cpu_seconds - before.cpu_seconds) / seconds * 100.0,
                now.resident_kb as f64 / 1_024.0,
                (now.written_bytes - before.written_bytes) as f64 / seconds / 1_024.0
            );
        }
        now
    }

    /// Makes each task wanted or unwanted at one member, spread over the members, and waits until the
    /// leader's table has a lease for every task or none.
    async fn set_all_wanted(&self, tasks: usize, wanted: bool, leader: u64) {
        for number in 0..tasks {
            let request = Request::SetWanted { task: format!("task-{number}"), wanted };
            let to = self.addrs[&(number as u64 % Self::MEMBERS + 1)];
            let _ = client::request(to, request, Duration::from_secs(2)).await;
        }
        let expected = if wanted { tasks } else { 0 };
        while status(self.addrs[&leader]).await.leases.len() != expected {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Drop for LeaseFleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Measures the rate of lease grants while the leases of all tasks are repeatedly acquired and released. Also
/// measures the resources that the members use, while idle and during the grants.
async fn measure_grants() {
    const TASKS: usize = 64;
    let dir = tempfile::tempdir().unwrap();
    let fleet = LeaseFleet::start(dir.path());
    while status(fleet.addrs[&1]).await.leader == 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let at_start = fleet.usage();
    tokio::time::sleep(Duration::from_secs(10)).await;
    let leader = status(fleet.addrs[&1]).await.leader;
    let after_idle = fleet.print_usage("idle", &at_start, 10.0, leader);
    let started = Instant::now();
    let mut grants = 0;
    while started.elapsed() < Duration::from_secs(20) {
        for wanted in [true, false] {
            fleet.set_all_wanted(TASKS, wanted, leader).await;
        }
        grants += TASKS;
    }
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "five members, {TASKS} tasks: {:.0} grants and as many releases per second",
        grants as f64 / seconds
    );
    fleet.print_usage("granting", &after_idle, seconds, leader);
}

/// Counts the queries that the clients send after a power loss, by outcome.
#[derive(Default)]
struct QueryCounts {
    answered: AtomicU64,
    failed: AtomicU64,
}

/// Starts a thread that generates 20 queries per second for one front node. While the front node is not
/// ready, it keeps up to 60 queries, and sends them all at once when the front node is ready.
fn start_client(
    load: Arc<Load>,
    node: usize,
    addr: SocketAddr,
    counts: Arc<QueryCounts>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    const MAX_QUEUED: u64 = 60;
    std::thread::spawn(move || {
        let mut queued = MAX_QUEUED;
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(50));
            queued = (queued + 1).min(MAX_QUEUED);
            if !load.is_ready(node) {
                continue;
            }
            for _ in 0..std::mem::take(&mut queued) {
                let counts = counts.clone();
                std::thread::spawn(move || {
                    let count = if query_once(addr) == 200 { &counts.answered } else { &counts.failed };
                    count.fetch_add(1, Ordering::Relaxed);
                });
            }
        }
    })
}

/// Starts a thread that records in `peak` the largest number of parts that any one index server received
/// within 100 ms. Front nodes send each query to the index servers as several requests, its parts.
fn start_peak_recorder(servers: Vec<Server>, peak: Arc<AtomicU64>, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut last_counts: Vec<usize> = servers.iter().map(|server| server.received().len()).collect();
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(100));
            for (server, last) in servers.iter().zip(&mut last_counts) {
                let now = server.received().len();
                peak.fetch_max((now - *last) as u64, Ordering::Relaxed);
                *last = now;
            }
        }
    })
}

/// Kills all members and front nodes at once and starts all members again at once, with one client for each
/// front node. Measures how long the recovery takes and the peak of parts at one index server.
async fn measure_recovery(members: u64, wave_ms: Option<u64>) {
    let dir = tempfile::tempdir().unwrap();
    let setup = FleetSetup {
        members,
        budget: 1,
        use_proxies: false,
        tick_ms: tick_ms(members),
        wave_ms,
        first_port: first_port(),
        seed: 1,
    };
    let mut fleet = Fleet::start(dir.path(), setup).await;
    fleet.wait_until("all front nodes serve", WAIT_LIMIT, |view| all_serve(view, members)).await;
    let load = Arc::new(Load::start(&fleet.front_node_addrs, 0, Duration::from_millis(10)));
    wait_until_ready(&load, members).await;
    kill_all_processes(&mut fleet, members);
    while load.ready_count() > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(QueryCounts::default());
    let peak = Arc::new(AtomicU64::new(0));
    let mut threads: Vec<JoinHandle<()>> = (0..)
        .zip(&fleet.front_node_addrs)
        .map(|(node, &addr)| start_client(load.clone(), node, addr, counts.clone(), stop.clone()))
        .collect();
    threads.push(start_peak_recorder(fleet.servers.clone(), peak.clone(), stop.clone()));
    let started = Instant::now();
    for id in 1..=members {
        fleet.start_member(id);
    }
    while load.ready_count() < members as usize && started.elapsed() < 2 * WAIT_LIMIT {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let duration = started.elapsed();
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    println!(
        "{members} members, {}: all front nodes ready after {:.1} s; most parts at one index server in \
         100 ms: {}; {} queries answered, {} rejected or not answered",
        wave_ms.map_or("without waves".to_owned(), |ms| format!("waves of {ms} ms")),
        duration.as_secs_f64(),
        peak.load(Ordering::Relaxed),
        counts.answered.load(Ordering::Relaxed),
        counts.failed.load(Ordering::Relaxed)
    );
}

/// Kills all members and front nodes, as a power loss does.
fn kill_all_processes(fleet: &mut Fleet, members: u64) {
    for id in 1..=members {
        fleet.kill_member(id);
    }
    for pid in fleet.front_node_pids() {
        common::send_signal(pid, "-KILL");
    }
}

async fn measure_recoveries() {
    for (members, wave_ms) in [(7, None), (7, Some(1_000)), (50, None), (50, Some(1_000))] {
        for _ in 0..if members == 7 { 3 } else { 1 } {
            measure_recovery(members, wave_ms).await;
        }
    }
}

fn main() {
    let names: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let wanted = |name: &str| names.is_empty() || names.iter().any(|a| a == name);
    common::multi_thread_runtime().block_on(async {
        if wanted("roll") {
            measure_releases().await;
        }
        if wanted("grants") {
            measure_grants().await;
        }
        if wanted("power") {
            measure_recoveries().await;
        }
    });
}
