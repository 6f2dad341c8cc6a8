//! The form of the fleet file.

use super::defaults;
use pinetrestle_fleet::MemberId;
use pinetrestle_rollout::{Budget, NodePlan, Plan};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Thousandths of a share of 1: budgets and judgements are agreed on in whole numbers.
const PER_MILLE: f64 = 1_000.0;

/// The complete file, for one member (`id`) of the fleet (`peers`).
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Which of `peers` this member is.
    pub id: u64,
    /// Every member of the fleet, this one too; the same list in every member's file.
    pub peers: Vec<Peer>,
    /// The directory in which this member keeps its log and snapshot.
    pub data_dir: PathBuf,
    /// Addresses to connect to instead of a peer's own, for example through a proxy.
    #[serde(default)]
    pub dial: Vec<Peer>,
    /// Milliseconds of one tick of Raft.
    #[serde(default = "defaults::tick_ms")]
    pub tick_ms: u64,
    /// Ticks without a message from a leader before a member stands for election.
    #[serde(default = "defaults::election_ticks")]
    pub election_ticks: usize,
    /// Ticks between a leader's heartbeats.
    #[serde(default = "defaults::heartbeat_ticks")]
    pub heartbeat_ticks: usize,
    /// Milliseconds of a lease, as this member requests it.
    #[serde(default = "defaults::lease_ms")]
    pub lease_ms: u64,
    /// Tasks whose leases this member requests from its start.
    #[serde(default)]
    pub tasks: Vec<String>,
    /// The task sink to which actions under a lease are sent; none: actions are only logged.
    #[serde(default)]
    pub sink: Option<SocketAddr>,
    /// Milliseconds between two actions under a lease.
    #[serde(rename = "act_ms", default = "defaults::action_interval_ms")]
    pub action_interval_ms: u64,
    /// Applied entries after which a snapshot is taken and the log truncated.
    #[serde(rename = "snapshot_every", default = "defaults::snapshot_interval")]
    pub snapshot_interval: u64,
    /// Drains and releases; none: this member takes part in leases only.
    #[serde(default)]
    pub rollout: Option<RolloutConfig>,
    /// The return from a power loss; it needs `rollout`.
    #[serde(default)]
    pub recovery: RecoveryConfig,
    /// This member's own front node; none: it runs none.
    #[serde(rename = "front", default)]
    pub front_node: Option<FrontNodeConfig>,
}

/// One member of the fleet.
#[derive(Debug, Clone, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its number, from 1, unique in the fleet.
    pub id: u64,
    /// The address it listens on for peers and commands.
    #[serde(rename = "addr")]
    pub address: SocketAddr,
    /// Its zone, for budgets by zone.
    #[serde(default)]
    pub zone: Option<String>,
}

/// Drains and releases, the same in every member's file; of different files the highest `revision` is agreed on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutConfig {
    /// Grows with each change of this part or of `peers`.
    pub revision: u64,
    /// Front nodes that may be away at once.
    pub nodes: BudgetConfig,
    /// Index servers that may be away at once.
    pub servers: BudgetConfig,
    /// Front nodes that go first, alone.
    #[serde(rename = "canary", default = "defaults::canary_nodes")]
    pub canary_nodes: u32,
    /// Steps that may fail before a release halts itself.
    #[serde(rename = "failures", default = "defaults::max_failed_steps")]
    pub max_failed_steps: u32,
    /// Share of failed queries a front node may show after its step, 0 to 1.
    #[serde(rename = "failed_share", default = "defaults::max_failed_query_share")]
    pub max_failed_query_share: f64,
    /// Milliseconds a step may take.
    #[serde(rename = "step_ms", default = "defaults::step_timeout_ms")]
    pub step_timeout_ms: u64,
    /// Milliseconds a front node serves after its step before it is judged.
    #[serde(default = "defaults::settle_ms")]
    pub settle_ms: u64,
    /// Milliseconds without a message after which a member counts as unreachable.
    #[serde(rename = "lost_ms", default = "defaults::unreachable_after_ms")]
    pub unreachable_after_ms: u64,
    /// Stages in which front nodes send to a returning index server.
    #[serde(default = "defaults::ramp_stages")]
    pub ramp_stages: u32,
    /// Milliseconds of one such stage.
    #[serde(rename = "ramp_ms", default = "defaults::ramp_stage_ms")]
    pub ramp_stage_ms: u64,
}

/// How many units (front nodes or index servers) may be away at once.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetConfig {
    /// Units away at once.
    #[serde(rename = "most")]
    pub max_unavailable: u32,
    /// Units away at once, as a share of all, 0 to 1; one may always go.
    #[serde(rename = "share", default = "defaults::max_unavailable_share")]
    pub max_unavailable_share: f64,
    /// Units away at once in one zone; none: no bound by zone.
    #[serde(rename = "zone_most", default)]
    pub max_unavailable_per_zone: Option<u32>,
}

/// The return from a power loss.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoveryConfig {
    /// Whether front nodes are admitted by waves after a power loss; false: each as soon as it is up, as a baseline.
    #[serde(default = "defaults::waves")]
    pub waves: bool,
    /// Milliseconds a wave lasts at least, for index servers to warm up.
    #[serde(rename = "warm_ms", default = "defaults::min_wave_ms")]
    pub min_wave_ms: u64,
    /// Milliseconds without a leader after which a front node is admitted by itself, in safe mode.
    #[serde(rename = "alone_ms", default = "defaults::standalone_after_ms")]
    pub standalone_after_ms: u64,
}

impl Default for RecoveryConfig {
    fn default() -> Self {
        Self {
            waves: defaults::waves(),
            min_wave_ms: defaults::min_wave_ms(),
            standalone_after_ms: defaults::standalone_after_ms(),
        }
    }
}

/// This member's own front node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontNodeConfig {
    /// The address it listens on; it is polled there for its health and counters.
    pub listen: SocketAddr,
    /// The version to start where neither a running process nor the fleet names one.
    #[serde(rename = "version")]
    pub initial_version: String,
    /// How to start each version.
    pub versions: BTreeMap<String, LaunchConfig>,
    /// Milliseconds it may take to shut down gracefully; then it is killed.
    #[serde(rename = "stop_ms", default = "defaults::stop_timeout_ms")]
    pub stop_timeout_ms: u64,
    /// Milliseconds it may take to be ready.
    #[serde(rename = "start_ms", default = "defaults::start_timeout_ms")]
    pub start_timeout_ms: u64,
    /// Milliseconds between two polls of its health and counters.
    #[serde(rename = "look_ms", default = "defaults::poll_interval_ms")]
    pub poll_interval_ms: u64,
    /// The relay of the endpoint list, with the fleet's drains; none: the fleet drains no index servers for it.
    #[serde(default)]
    pub relay: Option<RelayConfig>,
}

/// How to start one version of the front node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LaunchConfig {
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    #[serde(default)]
    pub args: Vec<String>,
    /// Variables added to its environment, such as `RELAY_CONFIG`.
    #[serde(default)]
    pub env: BTreeMap<String, String>,
    /// Variables set in addition in safe mode, such as a `RELAY_CONFIG` with a lower `most_held`.
    #[serde(rename = "safe_env", default)]
    pub safe_mode_env: BTreeMap<String, String>,
}

/// The relay of the endpoint list to this member's front node: discovery's list, with the fleet's drains applied.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayConfig {
    /// The address the relay listens on; `discovery` in the front node's file.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub upstream: SocketAddr,
}

impl FleetConfig {
    /// The address of member `id`; none where the fleet has no such member.
    pub fn address_of(&self, id: u64) -> Option<SocketAddr> {
        self.peers.iter().find(|peer| peer.id == id).map(|peer| peer.address)
    }

    /// Where to connect to reach member `id`: its `dial` entry, else its own address.
    pub fn dial_address_of(&self, id: u64) -> Option<SocketAddr> {
        let dial = self.dial.iter().find(|peer| peer.id == id).map(|peer| peer.address);
        dial.or_else(|| self.address_of(id))
    }

    /// Milliseconds after which a follower that heard no leader stands for election.
    pub fn election_timeout_ms(&self) -> u64 {
        self.tick_ms * self.election_ticks as u64
    }

    /// The plan of drains and releases that this file proposes, if it has a `rollout` part.
    pub fn rollout_plan(&self) -> Option<Plan> {
        let rollout = self.rollout.as_ref()?;
        let nodes = self.peers.iter().map(|peer| (MemberId(peer.id), NodePlan { zone: peer.zone.clone() }));
        Some(Plan {
            revision: rollout.revision,
            nodes: nodes.collect(),
            node_budget: rollout.nodes.budget(),
            server_budget: rollout.servers.budget(),
            canary_nodes: rollout.canary_nodes,
            max_failed_steps: rollout.max_failed_steps,
            max_failed_queries_per_mille: (rollout.max_failed_query_share * PER_MILLE) as u32,
            step_timeout_ms: rollout.step_timeout_ms,
            settle_ms: rollout.settle_ms,
            unreachable_after_ms: rollout.unreachable_after_ms,
            ramp_stages: rollout.ramp_stages,
            ramp_stage_ms: rollout.ramp_stage_ms,
        })
    }
}

impl BudgetConfig {
    fn budget(&self) -> Budget {
        Budget {
            max_unavailable: self.max_unavailable,
            max_unavailable_per_mille: (self.max_unavailable_share * PER_MILLE) as u32,
            max_unavailable_per_zone: self.max_unavailable_per_zone,
        }
    }
}
