//! The fleet's operator file: who the members are, where each keeps its data, the times of Raft and leases.

use pinetrestle_fleet::{Task, MAX_MEMBERS, MAX_TASKS, MAX_TASK_NAME, TTL_MS};
use pinetrestle_operator::{Checked, Wrong};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// One member as the file names it.
#[derive(Debug, Clone, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its number, from 1, unique in the fleet.
    pub id: u64,
    /// The address it listens on for peers and commands.
    pub addr: SocketAddr,
}

/// The whole file, for one member (`id`) of the fleet (`peers`).
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Which of `peers` this member is.
    pub id: u64,
    /// Every member of the fleet, this one too; the same list in every member's file.
    pub peers: Vec<Peer>,
    /// Where this member keeps its log and snapshot.
    pub data_dir: PathBuf,
    /// Addresses to connect to instead of a peer's own, as through a proxy.
    #[serde(default)]
    pub dial: Vec<Peer>,
    /// Milliseconds of one tick of Raft.
    #[serde(default = "defaults::tick_ms")]
    pub tick_ms: u64,
    /// Ticks without a word from a leader before a member stands for election.
    #[serde(default = "defaults::election_ticks")]
    pub election_ticks: usize,
    /// Ticks between a leader's heartbeats.
    #[serde(default = "defaults::heartbeat_ticks")]
    pub heartbeat_ticks: usize,
    /// Milliseconds of a lease, as this member asks for it.
    #[serde(default = "defaults::lease_ms")]
    pub lease_ms: u64,
    /// Tasks this member asks for from its start.
    #[serde(default)]
    pub tasks: Vec<String>,
    /// Where actions under a lease are sent (a task sink); none: actions are only logged.
    #[serde(default)]
    pub sink: Option<SocketAddr>,
    /// Milliseconds between two actions under a lease held.
    #[serde(default = "defaults::act_ms")]
    pub act_ms: u64,
    /// Applied entries after which a snapshot is taken and the log cut.
    #[serde(default = "defaults::snapshot_every")]
    pub snapshot_every: u64,
}

mod defaults {
    pub fn tick_ms() -> u64 {
        50
    }
    pub fn election_ticks() -> usize {
        10
    }
    pub fn heartbeat_ticks() -> usize {
        2
    }
    pub fn lease_ms() -> u64 {
        2_000
    }
    pub fn act_ms() -> u64 {
        50
    }
    pub fn snapshot_every() -> u64 {
        1_000
    }
}

impl FleetFile {
    /// The address of member `id`.
    pub fn addr_of(&self, id: u64) -> Option<SocketAddr> {
        self.peers.iter().find(|p| p.id == id).map(|p| p.addr)
    }

    /// Where to connect to reach member `id`: its `dial` entry, else its own address.
    pub fn dial_of(&self, id: u64) -> Option<SocketAddr> {
        self.dial.iter().find(|p| p.id == id).map(|p| p.addr).or_else(|| self.addr_of(id))
    }

    /// Milliseconds after which a follower that heard no leader stands for election.
    pub fn election_ms(&self) -> u64 {
        self.tick_ms * self.election_ticks as u64
    }
}

impl Checked for FleetFile {
    fn check(&self) -> Result<(), Wrong> {
        if self.peers.is_empty() || self.peers.len() > MAX_MEMBERS {
            return Err(Wrong::new(
                "peers",
                "names no member or too many",
                format!("name 1 to {MAX_MEMBERS}"),
            ));
        }
        for (i, peer) in self.peers.iter().enumerate() {
            if peer.id == 0 {
                return Err(Wrong::new(format!("peers[{i}].id"), "is 0", "number members from 1"));
            }
            if let Some(j) = self.peers[..i].iter().position(|p| p.id == peer.id || p.addr == peer.addr) {
                return Err(Wrong::new(
                    format!("peers[{i}]"),
                    format!("has the id or address of peers[{j}]"),
                    "give each member its own id and address",
                ));
            }
        }
        if self.addr_of(self.id).is_none() {
            return Err(Wrong::new(
                "id",
                format!("{} is not among the peers", self.id),
                "name one of peers[].id",
            ));
        }
        if let Some(i) = self.dial.iter().position(|d| self.addr_of(d.id).is_none() || d.id == self.id) {
            return Err(Wrong::new(
                format!("dial[{i}].id"),
                "names no other peer",
                "name one of peers[].id but id",
            ));
        }
        if !(10..=1_000).contains(&self.tick_ms) {
            return Err(Wrong::new("tick_ms", "is outside 10 to 1000", "write 50"));
        }
        if self.heartbeat_ticks == 0 || self.election_ticks <= 2 * self.heartbeat_ticks {
            return Err(Wrong::new(
                "election_ticks",
                "is not over twice heartbeat_ticks",
                "write election_ticks 10 and heartbeat_ticks 2",
            ));
        }
        if !TTL_MS.contains(&self.lease_ms) || self.lease_ms < 2 * self.election_ms() {
            return Err(Wrong::new(
                "lease_ms",
                format!("is outside {}..={} ms or under two election times", TTL_MS.start(), TTL_MS.end()),
                format!("write at least {}", (2 * self.election_ms()).max(*TTL_MS.start())),
            ));
        }
        if self.tasks.len() > MAX_TASKS {
            return Err(Wrong::new("tasks", "names too many", format!("name at most {MAX_TASKS}")));
        }
        if let Some(i) = self.tasks.iter().position(|t| !Task::fits(t)) {
            return Err(Wrong::new(
                format!("tasks[{i}]"),
                "is empty or too long",
                format!("use 1 to {MAX_TASK_NAME} bytes"),
            ));
        }
        if !(10..=10_000).contains(&self.act_ms) {
            return Err(Wrong::new("act_ms", "is outside 10 to 10000", "write 50"));
        }
        if !(10..=1_000_000).contains(&self.snapshot_every) {
            return Err(Wrong::new("snapshot_every", "is outside 10 to 1000000", "write 1000"));
        }
        Ok(())
    }
}
