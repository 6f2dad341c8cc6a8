//! Measurements of a fleet of processes: `cargo bench -p pinetrestle-member --bench fleet -- WHICH`, WHICH being `roll`,
//! `grants` or `power`; all of them without. Some minutes; figures go to `docs/results.md`.

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

/// The first port of a fleet, another one in each process.
fn base_port() -> u64 {
    16_000 + (u64::from(std::process::id()) % 20) * 200
}

fn tick_ms(members: u64) -> u64 {
    if members > 10 {
        50
    } else {
        20
    }
}

fn all_serve(view: &RolloutView, members: u64) -> bool {
    view.nodes.len() as u64 == members && view.nodes.iter().all(|node| !node.unavailable)
}

async fn wait_until_ready(load: &Load, members: u64) {
    while load.ready_count() < members as usize {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A release over all members under load: its duration, and what it did to the queries.
async fn roll(members: u64, budget: usize) {
    let dir = tempfile::tempdir().unwrap();
    let setup = FleetSetup {
        members,
        budget,
        mesh: false,
        tick_ms: tick_ms(members),
        wave_ms: Some(200),
        base: base_port(),
        seed: 1,
    };
    let fleet = Fleet::start(dir.path(), setup).await;
    let mut load = Load::start(&fleet.front_nodes, 4, Duration::from_millis(10));
    fleet.wait_until("all serve", WAIT_LIMIT, |view| all_serve(view, members)).await;
    wait_until_ready(&load, members).await;
    let quiet_us = wall_us();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let release_us = wall_us();
    let begun = Instant::now();
    fleet.run_command_until_done(&["release", "v2", "--id", "r1"], 1);
    let done = |view: &RolloutView| {
        view.release.as_ref().is_some_and(|release| release.id == "r1" && release.stage == "done")
    };
    fleet.wait_until("done", Duration::from_secs(900), done).await;
    let took = begun.elapsed();
    let end_us = wall_us();
    load.stop();
    let asked = load.queries();
    let during = asked.iter().filter(|a| a.started_at_us >= release_us).count();
    let bad = asked.iter().filter(|a| a.status != 200).count();
    println!(
        "{members} members, budget {budget}: {:.1} s; most away {}; queries {during} during, {bad} of {} not 200; \
         p99 {:.1} ms quiet, {:.1} ms during",
        took.as_secs_f64(),
        load.most_unready(release_us),
        asked.len(),
        p99_ms(&asked, quiet_us, release_us),
        p99_ms(&asked, release_us, end_us)
    );
    if std::env::var("PINETRESTLE_SHOW_STEPS").is_ok() {
        println!("{}", fleet.log_tails());
    }
}

async fn time_to_roll() {
    for (members, budget) in [(7, 1), (7, 2), (50, 1), (50, 10)] {
        roll(members, budget).await;
    }
}

/// What a process has used since its start.
#[derive(Debug, Clone, Copy)]
struct ProcessUsage {
    cpu_seconds: f64,
    resident_kb: u64,
    written_bytes: u64,
}

impl ProcessUsage {
    fn of(pid: u32) -> ProcessUsage {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
        let number = |text: &str, key: &str| {
            let line = text.lines().find(|line| line.starts_with(key)).unwrap_or_default();
            line.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok()).unwrap_or(0)
        };
        let stat = read("stat");
        // The fields after the process's name, which may contain spaces.
        let fields = stat.rsplit(") ").next().unwrap_or_default().to_owned();
        let ticks = |n: usize| fields.split(' ').nth(n).and_then(|w| w.parse::<f64>().ok()).unwrap_or(0.0);
        ProcessUsage {
            cpu_seconds: (ticks(11) + ticks(12)) / 100.0,
            resident_kb: number(&read("status"), "VmRSS:"),
            written_bytes: number(&read("io"), "write_bytes:"),
        }
    }
}

async fn status(addr: SocketAddr) -> Status {
    loop {
        let response = client::request(addr, Request::Status, Duration::from_secs(2)).await;
        if let Ok(Response::Status(status)) = response {
            return *status;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Five members without front nodes; killed when dropped.
struct LeaseFleet {
    addrs: BTreeMap<u64, SocketAddr>,
    children: Vec<Child>,
}

impl LeaseFleet {
    const MEMBERS: u64 = 5;

    fn start(dir: &Path) -> LeaseFleet {
        let reserved = reserve_ports(base_port(), Self::MEMBERS as usize);
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

    fn usage(&self) -> Vec<ProcessUsage> {
        self.children.iter().map(|child| ProcessUsage::of(child.id())).collect()
    }

    /// Prints what each member used in the last `seconds`, since `before`; what it has used now.
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

    /// Sets each task wanted, or not, at one member each, and waits until the leader has as many leases.
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

/// Every task's lease acquired by one member, held and released, over and over: grants a second.
async fn grants() {
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
    let begun = Instant::now();
    let mut granted = 0;
    while begun.elapsed() < Duration::from_secs(20) {
        for wanted in [true, false] {
            fleet.set_all_wanted(TASKS, wanted, leader).await;
        }
        granted += TASKS;
    }
    let seconds = begun.elapsed().as_secs_f64();
    println!(
        "five members, {TASKS} tasks: {:.0} grants and as many releases a second",
        granted as f64 / seconds
    );
    fleet.print_usage("granting", &after_idle, seconds, leader);
}

/// Queries of the clients after a power loss.
#[derive(Default)]
struct QueryCounts {
    answered: AtomicU64,
    failed: AtomicU64,
}

/// Starts a client thread: 20 queries a second, kept up to 60 while its front node is not ready, and sent at once when
/// it is.
fn start_client(
    load: Arc<Load>,
    node: usize,
    addr: SocketAddr,
    counts: Arc<QueryCounts>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    const MAX_WAITING: u64 = 60;
    std::thread::spawn(move || {
        let mut waiting = MAX_WAITING;
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(50));
            waiting = (waiting + 1).min(MAX_WAITING);
            if !load.is_ready(node) {
                continue;
            }
            for _ in 0..std::mem::take(&mut waiting) {
                let counts = counts.clone();
                std::thread::spawn(move || {
                    let count = if query_once(addr) == 200 { &counts.answered } else { &counts.failed };
                    count.fetch_add(1, Ordering::Relaxed);
                });
            }
        }
    })
}

/// Starts a thread that keeps the most parts any one index server got in 100 ms.
fn start_peak_watch(servers: Vec<Server>, peak: Arc<AtomicU64>, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut last: Vec<usize> = servers.iter().map(|server| server.received().len()).collect();
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(100));
            for (server, last) in servers.iter().zip(&mut last) {
                let now = server.received().len();
                peak.fetch_max((now - *last) as u64, Ordering::Relaxed);
                *last = now;
            }
        }
    })
}

/// All killed at once and started again at once, each front node with a client of its own: how long the recovery takes,
/// and how many parts it makes at one index server.
async fn power_back(members: u64, wave_ms: Option<u64>) {
    let dir = tempfile::tempdir().unwrap();
    let setup = FleetSetup {
        members,
        budget: 1,
        mesh: false,
        tick_ms: tick_ms(members),
        wave_ms,
        base: base_port(),
        seed: 1,
    };
    let mut fleet = Fleet::start(dir.path(), setup).await;
    fleet.wait_until("all serve", WAIT_LIMIT, |view| all_serve(view, members)).await;
    let load = Arc::new(Load::start(&fleet.front_nodes, 0, Duration::from_millis(10)));
    wait_until_ready(&load, members).await;
    kill_all(&mut fleet, members);
    while load.ready_count() > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(QueryCounts::default());
    let peak = Arc::new(AtomicU64::new(0));
    let mut threads: Vec<JoinHandle<()>> = (0..)
        .zip(&fleet.front_nodes)
        .map(|(node, &addr)| start_client(load.clone(), node, addr, counts.clone(), stop.clone()))
        .collect();
    threads.push(start_peak_watch(fleet.servers.clone(), peak.clone(), stop.clone()));
    let begun = Instant::now();
    for id in 1..=members {
        fleet.start_member(id);
    }
    while load.ready_count() < members as usize && begun.elapsed() < 2 * WAIT_LIMIT {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let took = begun.elapsed();
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    println!(
        "{members} members, {}: all serve after {:.1} s; most parts at one index server in 100 ms: {}; {} answered, {} \
         refused or not answered",
        wave_ms.map_or("naive".to_owned(), |ms| format!("waves of {ms} ms")),
        took.as_secs_f64(),
        peak.load(Ordering::Relaxed),
        counts.answered.load(Ordering::Relaxed),
        counts.failed.load(Ordering::Relaxed)
    );
}

fn kill_all(fleet: &mut Fleet, members: u64) {
    for id in 1..=members {
        fleet.kill_member(id);
    }
    for pid in fleet.front_node_pids() {
        common::send_signal(pid, "-KILL");
    }
}

async fn power_returns() {
    for (members, wave) in [(7, None), (7, Some(1_000)), (50, None), (50, Some(1_000))] {
        for _ in 0..if members == 7 { 3 } else { 1 } {
            power_back(members, wave).await;
        }
    }
}

fn main() {
    let asked: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let wanted = |name: &str| asked.is_empty() || asked.iter().any(|a| a == name);
    common::multi_thread_runtime().block_on(async {
        if wanted("roll") {
            time_to_roll().await;
        }
        if wanted("grants") {
            grants().await;
        }
        if wanted("power") {
            power_returns().await;
        }
    });
}
