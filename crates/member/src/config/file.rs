//! The keys of a member's configuration file.

use super::defaults;
use pinetrestle_fleet::MemberId;
use pinetrestle_rollout::{Budget, NodePlan, Plan};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Factor from a share (0 to 1) in the file to thousandths. The fleet agrees on whole numbers only.
const PER_MILLE: f64 = 1_000.0;

/// The configuration of one member of the fleet: the whole file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// The id of this member, which is one of those in `peers`.
    pub id: u64,
    /// All members of the fleet, including this one. The list has to be the same in every member's file.
    pub peers: Vec<Peer>,
    /// The directory for this member's Raft log and snapshot, and for its front node's output.
    pub data_dir: PathBuf,
    /// Addresses to connect to instead of those in `peers`, for example the addresses of a proxy.
    #[serde(default)]
    pub dial: Vec<Peer>,
    /// Duration of one Raft tick, in milliseconds.
    #[serde(default = "defaults::tick_ms")]
    pub tick_ms: u64,
    /// Raft ticks without a message from a leader after which this member starts an election.
    #[serde(default = "defaults::election_ticks")]
    pub election_ticks: usize,
    /// Raft ticks between two heartbeats while this member is the leader.
    #[serde(default = "defaults::heartbeat_ticks")]
    pub heartbeat_ticks: usize,
    /// Duration of the leases that this member requests, in milliseconds.
    #[serde(default = "defaults::lease_ms")]
    pub lease_ms: u64,
    /// The tasks whose leases this member requests as soon as it has started.
    #[serde(default)]
    pub tasks: Vec<String>,
    /// The address of the task sink, which receives the actions that this member takes under leases. Without
    /// one, actions are only logged.
    #[serde(default)]
    pub sink: Option<SocketAddr>,
    /// Interval between two actions under a lease, in milliseconds.
    #[serde(rename = "act_ms", default = "defaults::action_interval_ms")]
    pub action_interval_ms: u64,
    /// Number of applied log entries after which a snapshot is taken and the log is truncated.
    #[serde(rename = "snapshot_every", default = "defaults::snapshot_interval")]
    pub snapshot_interval: u64,
    /// Settings for drains and releases. Without them, this member takes part in leases only.
    #[serde(default)]
    pub rollout: Option<RolloutConfig>,
    /// Settings for the recovery from a power loss. They are used only together with `rollout`.
    #[serde(default)]
    pub recovery: RecoveryConfig,
    /// The front node that this member runs, if any.
    #[serde(rename = "front", default)]
    pub front_node: Option<FrontNodeConfig>,
}

/// One member of the fleet.
#[derive(Debug, Clone, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The id of the member: unique in the fleet, and at least 1.
    pub id: u64,
    /// The address on which the member accepts connections of its peers and of the `fleet` program.
    #[serde(rename = "addr")]
    pub address: SocketAddr,
    /// The zone of the member's front node, for the limit per zone.
    #[serde(default)]
    pub zone: Option<String>,
}

/// Settings for drains and releases, which have to be the same in every member's file. While the files
/// differ, the fleet uses the settings with the highest `revision` that a leader has proposed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutConfig {
    /// The revision of these settings. It has to be increased with each change of them or of `peers`.
    pub revision: u64,
    /// Limits on the front nodes that are unavailable at the same time.
    pub nodes: BudgetConfig,
    /// Limits on the index servers that are unavailable at the same time.
    pub servers: BudgetConfig,
    /// Number of canaries: front nodes that a release updates before all others.
    #[serde(rename = "canary", default = "defaults::canary_nodes")]
    pub canary_nodes: u32,
    /// Number of failed steps that a release tolerates before it is halted.
    #[serde(rename = "failures", default = "defaults::max_failed_steps")]
    pub max_failed_steps: u32,
    /// Maximum share of failed queries of a front node after its update, from 0 to 1.
    #[serde(rename = "failed_share", default = "defaults::max_failed_query_share")]
    pub max_failed_query_share: f64,
    /// Maximum duration of a step, which updates one front node, in milliseconds.
    #[serde(rename = "step_ms", default = "defaults::step_timeout_ms")]
    pub step_timeout_ms: u64,
    /// Milliseconds for which an updated front node serves before its health is checked.
    #[serde(default = "defaults::settle_ms")]
    pub settle_ms: u64,
    /// Milliseconds without a message from a member after which it counts as unreachable.
    #[serde(rename = "lost_ms", default = "defaults::unreachable_after_ms")]
    pub unreachable_after_ms: u64,
    /// Number of stages of the return of an index server: in stage i of n, i/n of the front nodes send to it.
    #[serde(default = "defaults::ramp_stages")]
    pub ramp_stages: u32,
    /// Duration of one stage of the return of an index server, in milliseconds.
    #[serde(rename = "ramp_ms", default = "defaults::ramp_stage_ms")]
    pub ramp_stage_ms: u64,
}

/// Limits on the units (front nodes or index servers) that are unavailable at the same time. All of them
/// apply.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetConfig {
    /// Maximum number of unavailable units.
    #[serde(rename = "most")]
    pub max_unavailable: u32,
    /// Maximum share of all units that are unavailable, from 0 to 1. Any share allows at least one unit.
    #[serde(rename = "share", default = "defaults::max_unavailable_share")]
    pub max_unavailable_share: f64,
    /// Maximum number of unavailable units in one zone, if it is limited.
    #[serde(rename = "zone_most", default)]
    pub max_unavailable_per_zone: Option<u32>,
}

/// Settings for the recovery of the fleet from a power loss.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoveryConfig {
    /// Whether front nodes are admitted in waves after a power loss. `false` admits each as soon as it is up,
    /// which serves as a baseline for comparisons.
    #[serde(default = "defaults::waves")]
    pub waves: bool,
    /// Minimum duration of a wave, in which index servers warm up, in milliseconds.
    #[serde(rename = "warm_ms", default = "defaults::min_wave_ms")]
    pub min_wave_ms: u64,
    /// Milliseconds without a leader after which this member starts its front node without a decision of the
    /// fleet, in safe mode.
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

/// The front node that a member runs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontNodeConfig {
    /// The address on which the front node listens, and on which it is polled for its readiness and counters.
    pub listen: SocketAddr,
    /// The version to start if neither a running process nor the replicated state determines one.
    #[serde(rename = "version")]
    pub initial_version: String,
    /// How to start the front node, by version.
    pub versions: BTreeMap<String, LaunchConfig>,
    /// Maximum duration of a graceful shutdown, in milliseconds. After that, the front node is killed.
    #[serde(rename = "stop_ms", default = "defaults::stop_timeout_ms")]
    pub stop_timeout_ms: u64,
    /// Maximum time from a start until the front node is ready, in milliseconds.
    #[serde(rename = "start_ms", default = "defaults::start_timeout_ms")]
    pub start_timeout_ms: u64,
    /// Interval between two polls of the readiness and counters, in milliseconds.
    #[serde(rename = "look_ms", default = "defaults::poll_interval_ms")]
    pub poll_interval_ms: u64,
    /// The relay from which the front node receives its endpoint list. Without one, drains that the fleet
    /// decides do not reach the front node.
    #[serde(default)]
    pub relay: Option<RelayConfig>,
}

/// How to start one version of the front node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LaunchConfig {
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments of the program.
    #[serde(default)]
    pub args: Vec<String>,
    /// Environment variables that are set in addition to those of the member, such as `RELAY_CONFIG`.
    #[serde(default)]
    pub env: BTreeMap<String, String>,
    /// Environment variables that are set on top of `env` in safe mode, such as a `RELAY_CONFIG` whose file
    /// has a lower `most_held`.
    #[serde(rename = "safe_env", default)]
    pub safe_mode_env: BTreeMap<String, String>,
}

/// The relay that serves discovery's endpoint list, with the fleet's drains applied, to this member's front
/// node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayConfig {
    /// The address on which the relay listens. The front node's configuration has it as the address of
    /// discovery.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub upstream: SocketAddr,
}

impl FleetConfig {
    /// Returns the address of the member `id`, or `None` if it is not one of `peers`.
    pub fn address_of(&self, id: u64) -> Option<SocketAddr> {
        self.peers.iter().find(|peer| peer.id == id).map(|peer| peer.address)
    }

    /// Returns the address to connect to for the member `id`: that in `dial`, or else that in `peers`.
    pub fn dial_address_of(&self, id: u64) -> Option<SocketAddr> {
        let dial = self.dial.iter().find(|peer| peer.id == id).map(|peer| peer.address);
        dial.or_else(|| self.address_of(id))
    }

    /// Returns the election timeout: the milliseconds without a message from a leader after which a follower
    /// starts an election.
    pub fn election_timeout_ms(&self) -> u64 {
        self.tick_ms * self.election_ticks as u64
    }

    /// Returns the plan for drains and releases that this member proposes when it is the leader. `None`
    /// without `rollout`.
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
    /// Converts the limits to the form in which the fleet agrees on them.
    fn budget(&self) -> Budget {
        Budget {
            max_unavailable: self.max_unavailable,
            max_unavailable_per_mille: (self.max_unavailable_share * PER_MILLE) as u32,
            max_unavailable_per_zone: self.max_unavailable_per_zone,
        }
    }
}
