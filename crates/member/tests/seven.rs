//! Seven members of the program, each with its own front node, under steady load from clients that check every query
//! for exactly one final answer. A release rolls over all of them while links drop, its conductor is killed halfway, a
//! member stalls, and a halt is called and resumed; then one that can't start halts itself and is rolled back.
//!
//! Checked on each seed, from outside: never more front nodes away than the budget, no query unanswered or answered
//! twice, no step begun under the halt, none done twice or skipped, all on the new version, or all on the old.

mod common;

use common::front::{node_program, p99_ms, Load};
use common::{ports, signal, wall_us, Mesh};
use pinetrestle_faultnet::Fault;
use pinetrestle_member::net;
use pinetrestle_member::wire::{Ask, Reply, RolloutView, Status};
use pinetrestle_standins::{config_json, entries, list, Client, Discovery, Doing, Server};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const MEMBERS: u64 = 7;
/// Front nodes that may be away at once.
const BUDGET: usize = 2;
/// Seeds played, unless `PINETRESTLE_ROLLOUT_SEEDS` says how many; the budget of the fleet of seed 1 and the like is 1.
const SEEDS: u64 = 3;

struct Fleet {
    dir: PathBuf,
    addrs: BTreeMap<u64, SocketAddr>,
    fronts: Vec<SocketAddr>,
    relays: Vec<SocketAddr>,
    members: BTreeMap<u64, Child>,
    mesh: Mesh,
    discovery: Discovery,
    servers: Vec<Server>,
}

impl Fleet {
    async fn start(dir: &Path, seed: u64, budget: usize) -> Fleet {
        let servers: Vec<Server> = (0..6).map(|_| Server::start(Doing::Serving)).collect();
        let discovery = Discovery::start(entries(&servers));
        let base = 16_000 + (u64::from(std::process::id()) % 20) * 200 + (seed % 8) * 24;
        let held = ports(base, 3 * MEMBERS as usize);
        let port = |block: u64, i: u64| held[(block * MEMBERS + i - 1) as usize].1;
        let addrs: BTreeMap<u64, SocketAddr> = (1..=MEMBERS).map(|i| (i, port(0, i))).collect();
        let fronts: Vec<SocketAddr> = (1..=MEMBERS).map(|i| port(1, i)).collect();
        let relays: Vec<SocketAddr> = (1..=MEMBERS).map(|i| port(2, i)).collect();
        let mesh = Mesh::start(&addrs, seed).await;
        let program = node_program();
        for id in 1..=MEMBERS {
            let relay = port(2, id);
            let mut versions = Vec::new();
            for version in ["v1", "v2", "v3", "broken"] {
                let known = list(1, &entries(&servers));
                let mut file = config_json(&port(1, id).to_string(), &relay.to_string(), &known);
                file["name"] = format!("n{id}").into();
                file["transport"] = serde_json::json!({ "hand_over_ms": 200 });
                if version == "broken" {
                    file["transport"]["hand_over_ms"] = "soon".into();
                }
                let path = dir.join(format!("n{id}-{version}.json"));
                std::fs::write(&path, file.to_string()).unwrap();
                versions.push(format!(
                    "{version}: {{ program: \"{}\", env: {{ RELAY_CONFIG: \"{}\" }} }}",
                    program.display(),
                    path.display()
                ));
            }
            let text = format!(
                "{{ id: {id}, {}, data_dir: \"{}\", tick_ms: 20, election_ticks: 10, heartbeat_ticks: 2,\n\
                 lease_ms: 1000, snapshot_every: 100,\n\
                 rollout: {{ revision: 1, nodes: {{ most: {budget} }}, servers: {{ most: 1 }}, canary: 1, failures: 1,\n\
                 step_ms: 8000, settle_ms: 300, lost_ms: 1500, ramp_stages: 2, ramp_ms: 500 }},\n\
                 front: {{ listen: \"{}\", version: \"v1\", stop_ms: 4000, start_ms: 4000, look_ms: 40,\n\
                 versions: {{ {} }}, relay: {{ listen: \"{relay}\", upstream: \"{}\" }} }} }}",
                mesh.keys(&addrs, id),
                dir.join(format!("data-{id}")).display(),
                port(1, id),
                versions.join(", "),
                discovery.address
            );
            std::fs::write(dir.join(format!("m{id}.json5")), text).unwrap();
        }
        drop(held);
        let members = BTreeMap::new();
        let mut fleet =
            Fleet { dir: dir.to_path_buf(), addrs, fronts, relays, members, mesh, discovery, servers };
        for id in 1..=MEMBERS {
            fleet.up(id);
        }
        fleet
    }

    fn up(&mut self, id: u64) {
        let log = self.dir.join(format!("m{id}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_pinetrestle"))
            .args(["fleet", "up", "--config"])
            .arg(self.dir.join(format!("m{id}.json5")))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.members.insert(id, child);
    }

    fn kill(&mut self, id: u64) {
        if let Some(mut child) = self.members.remove(&id) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    async fn status(&self, id: u64) -> Option<Status> {
        let asked = net::ask(self.addrs[&id], Ask::Status, Duration::from_millis(500)).await;
        match asked {
            Ok(Reply::Status(status)) => Some(*status),
            _ => None,
        }
    }

    /// The view of the member that has applied the most.
    async fn newest(&self) -> Option<(Status, RolloutView)> {
        let mut newest: Option<(Status, RolloutView)> = None;
        for id in self.addrs.keys() {
            if let Some(status) = self.status(*id).await {
                let Some(view) = status.rollout.clone() else { continue };
                if newest.as_ref().is_none_or(|(s, _)| s.applied < status.applied) {
                    newest = Some((status, view));
                }
            }
        }
        newest
    }

    /// Waits until the newest view holds something; how long that took.
    async fn until(&self, what: &str, bound: Duration, holds: impl Fn(&RolloutView) -> bool) -> Duration {
        let begun = Instant::now();
        loop {
            let newest = self.newest().await;
            if newest.as_ref().is_some_and(|(_, view)| holds(view)) {
                return begun.elapsed();
            }
            if begun.elapsed() > bound {
                let newest = newest.map(|(_, view)| view);
                panic!("never came about: {what}: {newest:#?}\n{}", self.logs());
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    /// The end of each member's log, for a test that fails.
    fn logs(&self) -> String {
        let mut text = String::new();
        for id in self.addrs.keys() {
            let log = std::fs::read_to_string(self.dir.join(format!("m{id}.log"))).unwrap_or_default();
            let lines: Vec<&str> = log.lines().filter(|l| !l.contains("connection")).collect();
            text += &format!("member {id}:\n{}\n", lines[lines.len().saturating_sub(12)..].join("\n"));
        }
        text
    }

    /// A command of the program, through any member that answers.
    fn order(&self, words: &[&str], through: u64) -> (Option<i32>, String) {
        let done = Command::new(env!("CARGO_BIN_EXE_pinetrestle"))
            .arg("fleet")
            .args(words)
            .args(["--at", &self.addrs[&through].to_string()])
            .output()
            .unwrap();
        let said = [done.stdout, done.stderr].concat();
        (done.status.code(), String::from_utf8_lossy(&said).trim().to_owned())
    }

    fn ordered(&self, words: &[&str], through: u64) {
        let (code, said) = self.order(words, through);
        assert_eq!(code, Some(0), "{words:?}: {said}\n{}", self.logs());
    }

    /// Starts of a version by members, from their logs.
    fn starts(&self, version: &str) -> BTreeMap<u64, usize> {
        let count = |id: &u64| {
            let log = std::fs::read_to_string(self.dir.join(format!("m{id}.log"))).unwrap_or_default();
            log.lines()
                .filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok())
                .filter(|l| l["msg"] == "front node started" && l["version"] == version)
                .count()
        };
        self.addrs.keys().map(|id| (*id, count(id))).collect()
    }

    /// The versions that really run, from the processes' own environments.
    fn running(&self) -> Vec<String> {
        let whose = self.dir.canonicalize().unwrap();
        let mark = format!("PINETRESTLE_FRONT={}/data-", whose.display());
        let mut versions = Vec::new();
        for entry in std::fs::read_dir("/proc").unwrap().flatten() {
            let Ok(environ) = std::fs::read(entry.path().join("environ")) else { continue };
            for variable in environ.split(|b| *b == 0) {
                if let Some(rest) = String::from_utf8_lossy(variable).strip_prefix(&mark) {
                    versions.push(rest.split(':').nth(1).unwrap_or_default().to_owned());
                }
            }
        }
        versions
    }

    fn front_pids(&self) -> Vec<u32> {
        let whose = self.dir.canonicalize().unwrap();
        let mark = format!("PINETRESTLE_FRONT={}/data-", whose.display());
        std::fs::read_dir("/proc")
            .unwrap()
            .flatten()
            .filter(|entry| {
                let environ = std::fs::read(entry.path().join("environ")).unwrap_or_default();
                environ.split(|b| *b == 0).any(|v| String::from_utf8_lossy(v).starts_with(&mark))
            })
            .filter_map(|entry| entry.file_name().to_str()?.parse().ok())
            .collect()
    }

    async fn conductor(&self) -> Option<u64> {
        let (status, _) = self.newest().await?;
        status.leases.iter().find(|l| l.task == "release").map(|l| l.holder)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let ids: Vec<u64> = self.members.keys().copied().collect();
        for id in ids {
            signal(self.members[&id].id(), "-CONT");
            self.kill(id);
        }
        // The front nodes outlive their members, as they should.
        for pid in self.front_pids() {
            signal(pid, "-KILL");
        }
    }
}

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
    view.release.as_ref().map_or(0, |r| r.passed)
}

fn stage(view: &RolloutView, id: &str, stage: &str) -> bool {
    view.release.as_ref().is_some_and(|r| r.id == id && r.stage == stage)
}

const LONG: Duration = Duration::from_secs(60);

async fn play(seed: u64) -> Report {
    let dir = tempfile::tempdir().unwrap();
    let budget = if seed % 2 == 1 { 1 } else { BUDGET };
    let mut fleet = Fleet::start(dir.path(), seed, budget).await;
    let mut random = StdRng::seed_from_u64(seed);
    let sleep = |ms: u64| tokio::time::sleep(Duration::from_millis(ms));
    let mut load = Load::start(&fleet.fronts, 4, Duration::from_millis(10));
    let all_serve = |view: &RolloutView| view.nodes.len() == 7 && view.nodes.iter().all(|n| !n.away);
    fleet.until("all serve", LONG, all_serve).await;
    while load.ready() < 7 {
        sleep(20).await;
    }
    let quiet = wall_us();
    sleep(1_500).await;
    let from = wall_us();

    // A release under faults.
    let begun = Instant::now();
    fleet.ordered(&["release", "v2", "--id", "r1"], 1);
    fleet.ordered(&["release", "v2", "--id", "r1"], 2);
    let (code, said) = fleet.order(&["release", "v3", "--id", "r2"], 3);
    assert_eq!(code, Some(3), "a second release beside one that runs: {said}");
    assert!(said.contains("release r1 runs"), "{said}");
    let cut: Vec<(u64, u64)> =
        (0..5).map(|_| (random.random_range(1..=MEMBERS), random.random_range(1..=MEMBERS))).collect();
    let cuts = |a: u64, b: u64| cut.contains(&(a, b)) || cut.contains(&(b, a));
    let fault = if random.random_range(0..2) == 0 { Fault::Drop } else { Fault::Stall };
    fleet.mesh.set(cuts, fault);
    sleep(1_000).await;
    fleet.mesh.set(|_, _| true, Fault::Heal);
    fleet.until("two passed", LONG, |view| passed(view) >= 2).await;

    // The conductor dies halfway; another goes on from the replicated state.
    let conductor = fleet.conductor().await.unwrap_or(1);
    fleet.kill(conductor);
    let stalled = (conductor + random.random_range(0..MEMBERS - 1)) % MEMBERS + 1;
    let stalled = if stalled == conductor { conductor % MEMBERS + 1 } else { stalled };
    signal(fleet.members[&stalled].id(), "-STOP");
    sleep(1_200).await;
    signal(fleet.members[&stalled].id(), "-CONT");
    fleet.up(conductor);
    fleet.until("three passed", LONG, |view| passed(view) >= 3).await;

    // A halt: nothing new begins, what has begun ends.
    let through = random.random_range(1..=MEMBERS);
    let halted = Instant::now();
    fleet.ordered(&["halt", "--id", "h1", "--why", "a look at the new version"], through);
    let answered = halted.elapsed();
    let still =
        fleet.until("nothing is on its way", LONG, |view| view.nodes.iter().all(|n| n.slot.is_none())).await;
    let stopped_at = fleet.newest().await.map(|(_, view)| passed(&view)).unwrap();
    sleep(1_500).await;
    let (_, view) = fleet.newest().await.unwrap();
    assert!(view.halted.is_some() && passed(&view) == stopped_at, "it went on under a halt: {view:#?}");
    assert!(view.nodes.iter().all(|n| n.slot.is_none()), "a slot under a halt: {view:#?}");
    fleet.ordered(&["resume", "--id", "g1"], through);
    fleet.until("the release is done", LONG, |view| stage(view, "r1", "done")).await;
    let release_ms = begun.elapsed().as_millis();
    let release_end = wall_us();
    assert_eq!(fleet.running(), vec!["v2"; 7], "every front node runs the new version");
    let starts = fleet.starts("v2");
    assert!(starts.values().all(|n| *n == 1), "each step once, none skipped: {starts:?}\n{}", fleet.logs());

    // One that can't start: the canary fails and comes back by itself, the release halts itself.
    fleet.ordered(&["release", "broken", "--id", "r3"], through);
    fleet.until("it halts itself", LONG, |view| view.halted.is_some()).await;
    let begun = Instant::now();
    fleet.ordered(&["rollback", "--id", "b1"], through);
    fleet.until("it is rolled back", LONG, |view| stage(view, "r3", "rolled back")).await;
    let broken = fleet.starts("broken");
    assert_eq!(broken.values().sum::<usize>(), 1, "only the canary tried it: {broken:?}");
    assert_eq!(fleet.running(), vec!["v2"; 7], "all on the old version again");

    // One that is turned back halfway.
    fleet.ordered(&["release", "v3", "--id", "r4"], through);
    fleet.until("half of it", LONG, |view| stage(view, "r4", "running") && passed(view) >= 3).await;
    fleet.ordered(&["rollback", "--id", "b2"], through);
    fleet.until("it is rolled back", LONG, |view| stage(view, "r4", "rolled back")).await;
    let rollback_ms = begun.elapsed().as_millis();
    assert_eq!(fleet.running(), vec!["v2"; 7], "all on the old version again");

    sleep(300).await;
    load.stop();
    let asked = load.asked();
    let bad: Vec<_> = asked.iter().filter(|a| a.status == 0 || a.more > 0).collect();
    assert!(bad.is_empty(), "seed {seed}: unanswered or answered twice: {bad:?}");
    let most_away = load.most_away(from);
    assert!(most_away <= budget, "seed {seed}: {most_away} front nodes away, {budget} allowed");
    Report {
        release_ms,
        halt_to_still_ms: (answered + still).as_millis(),
        rollback_ms,
        asked: asked.len(),
        not_200: asked.iter().filter(|a| a.status != 200).count(),
        most_away,
        quiet_p99_ms: p99_ms(&asked, quiet, from),
        release_p99_ms: p99_ms(&asked, from, release_end),
        nowhere: load.nowhere(),
    }
}

#[test]
fn a_release_rolls_over_seven_front_nodes_through_faults_within_the_budget() {
    let seeds = std::env::var("PINETRESTLE_ROLLOUT_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(SEEDS);
    let mut first = 0;
    while first < seeds {
        let threads: Vec<_> = (first..seeds.min(first + 3))
            .map(|seed| {
                std::thread::spawn(move || {
                    let runtime =
                        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
                    (seed, runtime.unwrap().block_on(play(seed)))
                })
            })
            .collect();
        first += 3;
        for thread in threads {
            match thread.join() {
                Ok((seed, report)) => {
                    eprintln!("seed {seed}: {}", serde_json::to_string(&report).unwrap());
                    assert!(report.asked > 500, "hardly any load: {report:?}");
                    assert!(report.not_200 * 100 <= report.asked, "over 1 % not answered whole: {report:?}");
                }
                Err(panic) => std::panic::resume_unwind(panic),
            }
        }
    }
}

/// How many front nodes are told that the first index server is up.
fn told_up(fleet: &Fleet) -> usize {
    let up = |relay: &SocketAddr| {
        let list = Client::to(*relay)
            .send("GET /registry/instances HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .json();
        let of = |e: &&serde_json::Value| e["name"] == "s0" && e["status"] == "up";
        list["endpoints"].as_array().unwrap().iter().filter(of).count()
    };
    fleet.relays.iter().map(up).sum()
}

fn phase(view: &RolloutView, phase: &str) -> bool {
    view.servers.iter().any(|s| s.name == "s0" && s.phase.starts_with(phase))
}

/// An index server is drained while a member stalls, stays without traffic, and returns by the ramp.
async fn play_drain() {
    let dir = tempfile::tempdir().unwrap();
    let fleet = Fleet::start(dir.path(), 7, 1).await;
    let sleep = |ms: u64| tokio::time::sleep(Duration::from_millis(ms));
    let mut load = Load::start(&fleet.fronts, 4, Duration::from_millis(5));
    let all_serve = |view: &RolloutView| view.nodes.len() == 7 && view.nodes.iter().all(|n| !n.away);
    fleet.until("all serve", LONG, all_serve).await;
    sleep(500).await;
    assert!(!fleet.servers[0].seen().is_empty(), "it has traffic");
    assert_eq!(told_up(&fleet), 7);

    // One member stands still: its front node may still send, so the drain is not done.
    let stalled = fleet.members[&3].id();
    signal(stalled, "-STOP");
    fleet.ordered(&["drain", "s0", "--id", "d1"], 1);
    fleet.until("six are told", LONG, |view| view.servers.iter().any(|s| s.told == 6)).await;
    sleep(1_000).await;
    let (_, view) = fleet.newest().await.unwrap();
    assert!(phase(&view, "draining"), "drained without member 3: {:?}", view.servers);
    signal(stalled, "-CONT");
    fleet.until("all are told", LONG, |view| phase(view, "drained")).await;

    // Within the grace of the settings (1 s) the last parts go; then none, as long as the drain lasts.
    sleep(1_050).await;
    let seen = fleet.servers[0].seen().len();
    let (code, said) = fleet.order(&["drain", "s4", "--id", "d2"], 2);
    assert!(code == Some(3) && said.contains("1 away of 1 allowed"), "{said}");
    sleep(1_000).await;
    assert_eq!(fleet.servers[0].seen().len(), seen, "parts to a drained index server");
    assert_eq!(told_up(&fleet), 0);

    // Back by the ramp: half of the front nodes first, all in the end.
    fleet.ordered(&["return", "s0", "--id", "d3"], 5);
    let mut steps = Vec::new();
    let begun = Instant::now();
    while steps.last() != Some(&7) && begun.elapsed() < LONG {
        let up = told_up(&fleet);
        if steps.last() != Some(&up) {
            steps.push(up);
        }
        sleep(20).await;
    }
    assert!(steps.iter().any(|up| *up <= 4 && *up > 0) && steps.last() == Some(&7), "{steps:?}");
    assert!(!steps.contains(&5), "five of seven are no stage of two: {steps:?}");
    fleet.until("it serves", LONG, |view| view.servers.is_empty()).await;
    let again = Instant::now();
    while fleet.servers[0].seen().len() == seen && again.elapsed() < LONG {
        sleep(20).await;
    }
    assert!(fleet.servers[0].seen().len() > seen, "it has traffic again");

    // One that leaves by itself takes the place in the budget.
    let mut rest = entries(&fleet.servers);
    rest.remove(5);
    fleet.discovery.tell(rest);
    fleet.until("it is seen to be out", LONG, |view| view.servers.iter().any(|s| !s.up)).await;
    let (code, said) = fleet.order(&["drain", "s0", "--id", "d4"], 6);
    assert!(code == Some(3) && said.contains("1 away of 1 allowed"), "{said}");
    load.stop();
    let bad: Vec<_> = load.asked().into_iter().filter(|a| a.status != 200 || a.more > 0).collect();
    assert!(bad.is_empty(), "not answered whole and once: {bad:?}");
}

#[test]
fn an_index_server_is_drained_once_every_front_node_knows_and_returns_by_the_ramp() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(play_drain());
}
