//! A fleet for tests: member processes that each run a front node process, stand-ins for the index servers
//! and discovery, and optional fault proxies between the members.

use super::{front_node_program, reserve_ports, send_signal, ProxyMesh};
use pinetrestle_member::client;
use pinetrestle_member::status::{RolloutView, Status};
use pinetrestle_member::wire::{Request, Response};
use pinetrestle_standins::{config_json, endpoint_list, entries, Discovery, Server, ServerBehavior};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The parameters of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSetup {
    /// Number of members; their ids start at 1.
    pub members: u64,
    /// Number of front nodes that may be unavailable (not in service) at the same time. The status report
    /// calls them "away".
    pub budget: usize,
    /// Whether the members connect to each other through fault proxies or directly.
    pub use_proxies: bool,
    /// Duration of a Raft tick, in milliseconds.
    pub tick_ms: u64,
    /// Minimum duration of a wave, in milliseconds: after a power loss, front nodes are admitted in waves. If
    /// `None`, there are no waves, and each front node is admitted as soon as it is up.
    pub wave_ms: Option<u64>,
    /// The lowest port that the fleet may use.
    pub first_port: u64,
    /// Seed of the fault proxies.
    pub seed: u64,
}

/// How long tests wait for a condition before they fail.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Number of index servers in a fleet.
const INDEX_SERVERS: usize = 6;
/// The front node versions in the configuration file of each member. The configuration of `broken` is
/// invalid, so that its front node fails to start.
const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "broken"];

/// A running fleet. Dropping it kills its processes.
///
/// The element at index `i` of `front_node_addrs` and `relay_addrs` belongs to member `i + 1`.
pub struct Fleet {
    /// Directory of the configuration files, logs and data directories.
    pub dir: PathBuf,
    /// The address of each member, by its id.
    pub member_addrs: BTreeMap<u64, SocketAddr>,
    /// The address of each front node.
    pub front_node_addrs: Vec<SocketAddr>,
    /// The address of each member's relay, which serves discovery's endpoint list, with the fleet's drains
    /// applied, to its front node.
    pub relay_addrs: Vec<SocketAddr>,
    /// The running member processes, by id.
    pub members: BTreeMap<u64, Child>,
    /// The fault proxies between the members.
    pub mesh: ProxyMesh,
    /// The stand-in for discovery.
    pub discovery: Discovery,
    /// The stand-ins for the index servers.
    pub servers: Vec<Server>,
}

impl Fleet {
    /// Starts a fleet whose files are kept in `dir`. Returns without waiting until its members are ready.
    pub async fn start(dir: &Path, setup: FleetSetup) -> Fleet {
        let count = setup.members;
        let servers: Vec<Server> =
            (0..INDEX_SERVERS).map(|_| Server::start(ServerBehavior::Serving)).collect();
        let discovery = Discovery::start(entries(&servers));
        let reserved = reserve_ports(setup.first_port, 3 * count as usize);
        // The ports of the members (block 0), of the front nodes (block 1) and of the relays (block 2).
        let addr = |block: u64, id: u64| reserved[(block * count + id - 1) as usize].1;
        let member_addrs: BTreeMap<u64, SocketAddr> = (1..=count).map(|id| (id, addr(0, id))).collect();
        let front_node_addrs: Vec<SocketAddr> = (1..=count).map(|id| addr(1, id)).collect();
        let relay_addrs: Vec<SocketAddr> = (1..=count).map(|id| addr(2, id)).collect();
        let mesh = if setup.use_proxies {
            ProxyMesh::start(&member_addrs, setup.seed).await
        } else {
            ProxyMesh::none()
        };
        let mut fleet = Fleet {
            dir: dir.to_path_buf(),
            member_addrs,
            front_node_addrs,
            relay_addrs,
            members: BTreeMap::new(),
            mesh,
            discovery,
            servers,
        };
        for id in 1..=count {
            fleet.write_member_config(id, setup);
        }
        drop(reserved);
        for id in 1..=count {
            fleet.start_member(id);
        }
        fleet
    }

    /// Writes the configuration files of member `id` and of each version of its front node.
    fn write_member_config(&self, id: u64, setup: FleetSetup) {
        let FleetSetup { budget, tick_ms, wave_ms, .. } = setup;
        let waves = wave_ms.is_some();
        let warm_ms = wave_ms.unwrap_or(0);
        let versions: Vec<String> =
            VERSIONS.iter().map(|version| self.write_front_node_config(id, version)).collect();
        let text = format!(
            "{{ id: {id}, {}, data_dir: \"{}\", tick_ms: {tick_ms}, election_ticks: 10, heartbeat_ticks: 2,\n\
             lease_ms: {}, snapshot_every: 100,\n\
             recovery: {{ waves: {waves}, warm_ms: {warm_ms}, alone_ms: 8000 }},\n\
             rollout: {{ revision: 1, nodes: {{ most: {budget} }}, servers: {{ most: 1 }}, canary: 1, \
             failures: 1,\n\
             step_ms: 8000, settle_ms: 300, lost_ms: {}, ramp_stages: 2, ramp_ms: 500 }},\n\
             front: {{ listen: \"{}\", version: \"v1\", stop_ms: 4000, start_ms: 4000, look_ms: 40,\n\
             versions: {{ {} }}, relay: {{ listen: \"{}\", upstream: \"{}\" }} }} }}",
            self.mesh.peer_keys(&self.member_addrs, id),
            self.dir.join(format!("data-{id}")).display(),
            50 * tick_ms,
            75 * tick_ms,
            self.front_node_addrs[id as usize - 1],
            versions.join(", "),
            self.relay_addrs[id as usize - 1],
            self.discovery.address
        );
        std::fs::write(self.dir.join(format!("m{id}.json5")), text).unwrap();
    }

    /// Writes the configuration of one version of the front node of member `id`. Returns the entry for this
    /// version in the member's configuration file.
    fn write_front_node_config(&self, id: u64, version: &str) -> String {
        let index_servers = entries(&self.servers);
        let listen = self.front_node_addrs[id as usize - 1].to_string();
        let relay = self.relay_addrs[id as usize - 1].to_string();
        let mut config = config_json(&listen, &relay, &endpoint_list(1, &index_servers));
        config["name"] = format!("n{id}").into();
        config["transport"] = serde_json::json!({ "hand_over_ms": 200 });
        if version == "broken" {
            // The value must be a number, so the front node rejects this configuration.
            config["transport"]["hand_over_ms"] = "soon".into();
        }
        let path = self.dir.join(format!("n{id}-{version}.json"));
        std::fs::write(&path, config.to_string()).unwrap();
        format!(
            "{version}: {{ program: \"{}\", env: {{ RELAY_CONFIG: \"{}\" }} }}",
            front_node_program().display(),
            path.display()
        )
    }

    /// Starts the process of member `id`, which appends to its log if it has run before.
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

    /// Kills the process of member `id` if it runs, and waits for its end. Its front node keeps running.
    pub fn kill_member(&mut self, id: u64) {
        if let Some(mut child) = self.members.remove(&id) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks member `id` for its status. Returns `None` if it doesn't answer in time.
    pub async fn status(&self, id: u64) -> Option<Status> {
        let response =
            client::request(self.member_addrs[&id], Request::Status, Duration::from_millis(500)).await;
        match response {
            Ok(Response::Status(status)) => Some(*status),
            _ => None,
        }
    }

    /// Returns the status and the rollout view of the member that has applied the most log entries, or `None`
    /// if no member answers with a view.
    pub async fn most_advanced(&self) -> Option<(Status, RolloutView)> {
        let mut newest: Option<(Status, RolloutView)> = None;
        for id in self.member_addrs.keys() {
            if let Some(status) = self.status(*id).await {
                let Some(view) = status.rollout.clone() else { continue };
                if newest.as_ref().is_none_or(|(best, _)| best.applied_index < status.applied_index) {
                    newest = Some((status, view));
                }
            }
        }
        newest
    }

    /// Waits until the rollout view of the most advanced member (the one that has applied the most log
    /// entries) meets `condition`. Returns how long that took; panics after `limit`, naming the condition as
    /// `what`.
    pub async fn wait_until(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&RolloutView) -> bool,
    ) -> Duration {
        let started = Instant::now();
        loop {
            let newest = self.most_advanced().await;
            if newest.as_ref().is_some_and(|(_, view)| condition(view)) {
                return started.elapsed();
            }
            if started.elapsed() > limit {
                let newest = newest.map(|(_, view)| view);
                panic!("timed out waiting until {what}: {newest:#?}\n{}", self.log_tails());
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    /// Returns the last 12 lines of each member's log, for the message of a failed test. Lines about
    /// connections are left out.
    pub fn log_tails(&self) -> String {
        let mut text = String::new();
        for id in self.member_addrs.keys() {
            let log = std::fs::read_to_string(self.dir.join(format!("m{id}.log"))).unwrap_or_default();
            let lines: Vec<&str> = log.lines().filter(|l| !l.contains("connection")).collect();
            text += &format!("member {id}:\n{}\n", lines[lines.len().saturating_sub(12)..].join("\n"));
        }
        text
    }

    /// Runs a subcommand of `pinetrestle fleet` against member `member`. Returns its exit code and its
    /// output.
    pub fn run_command(&self, arguments: &[&str], member: u64) -> (Option<i32>, String) {
        let finished = Command::new(env!("CARGO_BIN_EXE_pinetrestle"))
            .arg("fleet")
            .args(arguments)
            .args(["--at", &self.member_addrs[&member].to_string()])
            .output()
            .unwrap();
        let output = [finished.stdout, finished.stderr].concat();
        (finished.status.code(), String::from_utf8_lossy(&output).trim().to_owned())
    }

    /// Runs a subcommand of `pinetrestle fleet` against member `first_member`. If a member doesn't answer
    /// (exit code 1), the command is retried at the next member under the same command id, as an operator
    /// would do.
    ///
    /// Panics if the command ends with another exit code, or if it still fails after three attempts for each
    /// member.
    pub fn run_command_with_retries(&self, arguments: &[&str], first_member: u64) {
        let members = self.member_addrs.len() as u64;
        let mut last_output = None;
        for attempt in 0..3 * members {
            let (code, output) = self.run_command(arguments, (first_member - 1 + attempt) % members + 1);
            if code == Some(0) {
                return;
            }
            assert_eq!(code, Some(1), "{arguments:?}: {output}\n{}", self.log_tails());
            last_output = Some(output);
        }
        panic!("{arguments:?}: {last_output:?}\n{}", self.log_tails());
    }

    /// Returns how many times each member has started its front node with `version`, according to the
    /// member's log.
    pub fn start_counts(&self, version: &str) -> BTreeMap<u64, usize> {
        let count = |id: &u64| {
            let log = std::fs::read_to_string(self.dir.join(format!("m{id}.log"))).unwrap_or_default();
            log.lines()
                .filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok())
                .filter(|l| l["msg"] == "front node started" && l["version"] == version)
                .count()
        };
        self.member_addrs.keys().map(|id| (*id, count(id))).collect()
    }

    /// Returns the beginning of the environment variable that marks the front nodes of this fleet. The member
    /// sets it to its data directory, a colon and the version.
    fn front_node_marker(&self) -> String {
        let dir = self.dir.canonicalize().unwrap();
        format!("PINETRESTLE_FRONT={}/data-", dir.display())
    }

    /// Returns the versions of the running front nodes, according to the environments of their processes.
    pub fn running_versions(&self) -> Vec<String> {
        let prefix = self.front_node_marker();
        let mut versions = Vec::new();
        for entry in std::fs::read_dir("/proc").unwrap().flatten() {
            let Ok(environ) = std::fs::read(entry.path().join("environ")) else { continue };
            for variable in environ.split(|b| *b == 0) {
                if let Some(rest) = String::from_utf8_lossy(variable).strip_prefix(&prefix) {
                    versions.push(rest.split(':').nth(1).unwrap_or_default().to_owned());
                }
            }
        }
        versions
    }

    /// Returns the process ids of the running front nodes, found by the environments of all processes.
    pub fn front_node_pids(&self) -> Vec<u32> {
        let prefix = self.front_node_marker();
        std::fs::read_dir("/proc")
            .unwrap()
            .flatten()
            .filter(|entry| {
                let environ = std::fs::read(entry.path().join("environ")).unwrap_or_default();
                environ.split(|b| *b == 0).any(|v| String::from_utf8_lossy(v).starts_with(&prefix))
            })
            .filter_map(|entry| entry.file_name().to_str()?.parse().ok())
            .collect()
    }

    /// Returns the member that holds the release lease, if any.
    pub async fn release_lease_holder(&self) -> Option<u64> {
        let (status, _) = self.most_advanced().await?;
        status.leases.iter().find(|l| l.task == "release").map(|l| l.holder)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let ids: Vec<u64> = self.members.keys().copied().collect();
        for id in ids {
            // A test may have stopped the member with SIGSTOP.
            send_signal(self.members[&id].id(), "-CONT");
            self.kill_member(id);
        }
        // Front nodes keep running when their member is killed.
        for pid in self.front_node_pids() {
            send_signal(pid, "-KILL");
        }
    }
}
