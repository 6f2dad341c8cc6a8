//! A fleet of processes: members, each with its own front node, index servers, discovery, and proxies between members.

use super::{node_program, reserve_ports, send_signal, ProxyMesh};
use pinetrestle_member::client;
use pinetrestle_member::status::{RolloutView, Status};
use pinetrestle_member::wire::{Request, Response};
use pinetrestle_standins::{config_json, endpoint_list, entries, Discovery, Server, ServerBehavior};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How a fleet is set up.
#[derive(Debug, Clone, Copy)]
pub struct FleetSetup {
    pub members: u64,
    /// Front nodes that may be away at once.
    pub budget: usize,
    /// Fault proxies between the members; without, they connect directly.
    pub mesh: bool,
    pub tick_ms: u64,
    /// The least duration of a wave of front nodes after a power loss, in milliseconds; without, each starts at once.
    pub wave_ms: Option<u64>,
    /// The first port it may use.
    pub base: u64,
    pub seed: u64,
}

/// The longest wait for a condition.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Index servers of a fleet.
const INDEX_SERVERS: usize = 6;
/// The versions that each member's file names; `broken` can't start.
const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "broken"];

/// A running fleet; its processes are killed when it is dropped.
pub struct Fleet {
    pub dir: PathBuf,
    pub addrs: BTreeMap<u64, SocketAddr>,
    pub front_nodes: Vec<SocketAddr>,
    pub relays: Vec<SocketAddr>,
    pub members: BTreeMap<u64, Child>,
    pub mesh: ProxyMesh,
    pub discovery: Discovery,
    pub servers: Vec<Server>,
}

impl Fleet {
    pub async fn start(dir: &Path, setup: FleetSetup) -> Fleet {
        let count = setup.members;
        let servers: Vec<Server> =
            (0..INDEX_SERVERS).map(|_| Server::start(ServerBehavior::Serving)).collect();
        let discovery = Discovery::start(entries(&servers));
        let reserved = reserve_ports(setup.base, 3 * count as usize);
        let port = |block: u64, id: u64| reserved[(block * count + id - 1) as usize].1;
        let addrs: BTreeMap<u64, SocketAddr> = (1..=count).map(|id| (id, port(0, id))).collect();
        let front_nodes: Vec<SocketAddr> = (1..=count).map(|id| port(1, id)).collect();
        let relays: Vec<SocketAddr> = (1..=count).map(|id| port(2, id)).collect();
        let mesh = if setup.mesh { ProxyMesh::start(&addrs, setup.seed).await } else { ProxyMesh::none() };
        let mut fleet = Fleet {
            dir: dir.to_path_buf(),
            addrs,
            front_nodes,
            relays,
            members: BTreeMap::new(),
            mesh,
            discovery,
            servers,
        };
        for id in 1..=count {
            fleet.write_member_file(id, setup);
        }
        drop(reserved);
        for id in 1..=count {
            fleet.start_member(id);
        }
        fleet
    }

    /// Writes the file of member `id`, and the configuration of each version of its front node.
    fn write_member_file(&self, id: u64, setup: FleetSetup) {
        let FleetSetup { budget, tick_ms, wave_ms, .. } = setup;
        let waves = wave_ms.is_some();
        let warm_ms = wave_ms.unwrap_or(0);
        let versions: Vec<String> =
            VERSIONS.iter().map(|version| self.write_front_node_file(id, version)).collect();
        let text = format!(
            "{{ id: {id}, {}, data_dir: \"{}\", tick_ms: {tick_ms}, election_ticks: 10, heartbeat_ticks: 2,\n\
             lease_ms: {}, snapshot_every: 100,\n\
             recovery: {{ waves: {waves}, warm_ms: {warm_ms}, alone_ms: 8000 }},\n\
             rollout: {{ revision: 1, nodes: {{ most: {budget} }}, servers: {{ most: 1 }}, canary: 1, failures: 1,\n\
             step_ms: 8000, settle_ms: 300, lost_ms: {}, ramp_stages: 2, ramp_ms: 500 }},\n\
             front: {{ listen: \"{}\", version: \"v1\", stop_ms: 4000, start_ms: 4000, look_ms: 40,\n\
             versions: {{ {} }}, relay: {{ listen: \"{}\", upstream: \"{}\" }} }} }}",
            self.mesh.peer_keys(&self.addrs, id),
            self.dir.join(format!("data-{id}")).display(),
            50 * tick_ms,
            75 * tick_ms,
            self.front_nodes[id as usize - 1],
            versions.join(", "),
            self.relays[id as usize - 1],
            self.discovery.address
        );
        std::fs::write(self.dir.join(format!("m{id}.json5")), text).unwrap();
    }

    /// Writes the configuration of a version of member `id`'s front node; its entry in the member's file.
    fn write_front_node_file(&self, id: u64, version: &str) -> String {
        let known = entries(&self.servers);
        let listen = self.front_nodes[id as usize - 1].to_string();
        let relay = self.relays[id as usize - 1].to_string();
        let mut file = config_json(&listen, &relay, &endpoint_list(1, &known));
        file["name"] = format!("n{id}").into();
        file["transport"] = serde_json::json!({ "hand_over_ms": 200 });
        if version == "broken" {
            file["transport"]["hand_over_ms"] = "soon".into();
        }
        let path = self.dir.join(format!("n{id}-{version}.json"));
        std::fs::write(&path, file.to_string()).unwrap();
        format!(
            "{version}: {{ program: \"{}\", env: {{ RELAY_CONFIG: \"{}\" }} }}",
            node_program().display(),
            path.display()
        )
    }

    pub fn start_member(&mut self, id: u64) {
        let log = self.dir.join(format!("m{id}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_pinetrestle"))
            .args(["fleet", "up", "--config"])
            .arg(self.dir.join(format!("m{id}.json5")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.members.insert(id, child);
    }

    pub fn kill_member(&mut self, id: u64) {
        if let Some(mut child) = self.members.remove(&id) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub async fn status(&self, id: u64) -> Option<Status> {
        let response = client::request(self.addrs[&id], Request::Status, Duration::from_millis(500)).await;
        match response {
            Ok(Response::Status(status)) => Some(*status),
            _ => None,
        }
    }

    /// The status and view of the member that has applied the most entries.
    pub async fn most_advanced(&self) -> Option<(Status, RolloutView)> {
        let mut newest: Option<(Status, RolloutView)> = None;
        for id in self.addrs.keys() {
            if let Some(status) = self.status(*id).await {
                let Some(view) = status.rollout.clone() else { continue };
                if newest.as_ref().is_none_or(|(s, _)| s.applied_index < status.applied_index) {
                    newest = Some((status, view));
                }
            }
        }
        newest
    }

    /// Waits until the view of the most advanced member meets the condition; how long that took.
    pub async fn wait_until(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&RolloutView) -> bool,
    ) -> Duration {
        let begun = Instant::now();
        loop {
            let newest = self.most_advanced().await;
            if newest.as_ref().is_some_and(|(_, view)| condition(view)) {
                return begun.elapsed();
            }
            if begun.elapsed() > limit {
                let newest = newest.map(|(_, view)| view);
                panic!("never came about: {what}: {newest:#?}\n{}", self.log_tails());
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    /// The end of each member's log, for a test that fails.
    pub fn log_tails(&self) -> String {
        let mut text = String::new();
        for id in self.addrs.keys() {
            let log = std::fs::read_to_string(self.dir.join(format!("m{id}.log"))).unwrap_or_default();
            let lines: Vec<&str> = log.lines().filter(|l| !l.contains("connection")).collect();
            text += &format!("member {id}:\n{}\n", lines[lines.len().saturating_sub(12)..].join("\n"));
        }
        text
    }

    /// Runs a command of the `fleet` program through a member: its exit code and output.
    pub fn run_command(&self, arguments: &[&str], through: u64) -> (Option<i32>, String) {
        let finished = Command::new(env!("CARGO_BIN_EXE_pinetrestle"))
            .arg("fleet")
            .args(arguments)
            .args(["--at", &self.addrs[&through].to_string()])
            .output()
            .unwrap();
        let output = [finished.stdout, finished.stderr].concat();
        (finished.status.code(), String::from_utf8_lossy(&output).trim().to_owned())
    }

    /// Runs a command until it is done: retried under its id through the next member where one does not answer, as an
    /// operator would.
    pub fn run_command_until_done(&self, arguments: &[&str], first: u64) {
        let members = self.addrs.len() as u64;
        let mut last_output = None;
        for attempt in 0..3 * members {
            let (code, output) = self.run_command(arguments, (first - 1 + attempt) % members + 1);
            if code == Some(0) {
                return;
            }
            assert_eq!(code, Some(1), "{arguments:?}: {output}\n{}", self.log_tails());
            last_output = Some(output);
        }
        panic!("{arguments:?}: {last_output:?}\n{}", self.log_tails());
    }

    /// How often each member started a version, from its log.
    pub fn start_counts(&self, version: &str) -> BTreeMap<u64, usize> {
        let count = |id: &u64| {
            let log = std::fs::read_to_string(self.dir.join(format!("m{id}.log"))).unwrap_or_default();
            log.lines()
                .filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok())
                .filter(|l| l["msg"] == "front node started" && l["version"] == version)
                .count()
        };
        self.addrs.keys().map(|id| (*id, count(id))).collect()
    }

    /// The versions of the running front nodes, from the environments of their processes.
    pub fn running_versions(&self) -> Vec<String> {
        let dir = self.dir.canonicalize().unwrap();
        let mark = format!("PINETRESTLE_FRONT={}/data-", dir.display());
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

    /// The processes of the running front nodes.
    pub fn front_node_pids(&self) -> Vec<u32> {
        let dir = self.dir.canonicalize().unwrap();
        let mark = format!("PINETRESTLE_FRONT={}/data-", dir.display());
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

    /// The member that holds the release lease.
    pub async fn release_lease_holder(&self) -> Option<u64> {
        let (status, _) = self.most_advanced().await?;
        status.leases.iter().find(|l| l.task == "release").map(|l| l.holder)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let ids: Vec<u64> = self.members.keys().copied().collect();
        for id in ids {
            send_signal(self.members[&id].id(), "-CONT");
            self.kill_member(id);
        }
        // The front nodes outlive their members.
        for pid in self.front_node_pids() {
            send_signal(pid, "-KILL");
        }
    }
}
