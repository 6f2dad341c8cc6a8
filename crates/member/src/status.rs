//! The status report of a member: what `fleet status`, `fleet explain` and `fleet recover` show.
//!
//! The types cross the wire as postcard (field order and types are the format) and are written as JSON by
//! `--json`; a serde name keeps the JSON key where the field's name is another.

use serde::{Deserialize, Serialize};

/// A member's report of itself and of the fleet as it has applied it.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Status {
    /// This member.
    pub id: u64,
    /// Its Raft role: leader, follower or candidate.
    pub role: String,
    /// The leader it knows, 0 if none.
    pub leader: u64,
    /// The Raft term.
    pub term: u64,
    /// The highest log index known to be committed.
    #[serde(rename = "commit")]
    pub commit_index: u64,
    /// The highest log index applied to the state machine.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// The count of this member's starts, kept on disk.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The ids of the fleet's members.
    pub members: Vec<u64>,
    /// Every lease in the replicated table.
    pub leases: Vec<LeaseView>,
    /// This member's own side of each task it wants or holds.
    #[serde(rename = "mine")]
    pub own_tasks: Vec<OwnTaskView>,
    /// Drains and releases, where a plan is agreed.
    pub rollout: Option<RolloutView>,
    /// The fleet's recovery from a power loss, where this member takes part in releases.
    pub recovery: Option<RecoveryView>,
}

/// The fleet's recovery from a power loss as this member has applied it.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RecoveryView {
    /// Power losses the fleet has recovered from.
    pub epoch: u64,
    /// The stage, in words: counting, lists, waves or normal.
    pub stage: String,
    /// Members that have reported since the last election.
    #[serde(rename = "present")]
    pub reports: Vec<PresenceView>,
    /// The number of members of the fleet.
    #[serde(rename = "members")]
    pub fleet_size: u32,
    /// Whether this member's front node is admitted, in words.
    #[serde(rename = "gate")]
    pub admission: String,
}

/// What one member has reported of its front node since the last election; a JSON array of three.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(u64, bool, bool)", into = "(u64, bool, bool)")]
pub struct PresenceView {
    /// The member.
    pub member: u64,
    /// Whether its front node serves.
    pub serving: bool,
    /// Whether it has discovery's endpoint list.
    pub has_endpoint_list: bool,
}

impl From<(u64, bool, bool)> for PresenceView {
    fn from((member, serving, has_endpoint_list): (u64, bool, bool)) -> Self {
        Self { member, serving, has_endpoint_list }
    }
}

impl From<PresenceView> for (u64, bool, bool) {
    fn from(view: PresenceView) -> Self {
        (view.member, view.serving, view.has_endpoint_list)
    }
}

/// Drains and releases as this member has applied them.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RolloutView {
    /// The plan's revision.
    pub revision: u64,
    /// Front nodes that may be away at once.
    pub node_limit: u32,
    /// Index servers that may be away at once.
    pub server_limit: u32,
    /// The version that every front node passed last; empty before the first release is done.
    #[serde(rename = "good")]
    pub last_good_version: String,
    /// The halt in force.
    #[serde(rename = "halted")]
    pub halt: Option<HaltView>,
    /// The running or last release.
    pub release: Option<ReleaseView>,
    /// Each front node.
    pub nodes: Vec<NodeView>,
    /// Index servers that are not up and serving.
    pub servers: Vec<ServerView>,
    /// What this member's agent is doing, in words.
    pub agent: Option<String>,
}

/// A halt; a JSON array of two.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct HaltView {
    /// The id of the command that halted.
    pub id: String,
    /// The reason it gave.
    pub reason: String,
}

impl From<(String, String)> for HaltView {
    fn from((id, reason): (String, String)) -> Self {
        Self { id, reason }
    }
}

impl From<HaltView> for (String, String) {
    fn from(view: HaltView) -> Self {
        (view.id, view.reason)
    }
}

/// A release.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ReleaseView {
    /// Its id.
    pub id: String,
    /// The version it replaces.
    pub from: String,
    /// The version it brings.
    pub to: String,
    /// The direction: `forward` or `back`.
    #[serde(rename = "way")]
    pub direction: String,
    /// The stage: `running`, `done` or `rolled back`.
    pub stage: String,
    /// Front nodes that passed.
    pub passed: u32,
    /// Steps that failed since it began, was resumed or was rolled back.
    pub failures: u32,
}

/// One front node.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct NodeView {
    /// The id of its member.
    pub id: u64,
    /// The version it reported.
    pub version: String,
    /// Whether it reported that it serves.
    pub ready: bool,
    /// Whether its member's heartbeats are missing.
    #[serde(rename = "lost")]
    pub unreachable: bool,
    /// Whether it counts as away.
    #[serde(rename = "away")]
    pub unavailable: bool,
    /// Its slot in the release.
    pub slot: Option<SlotView>,
    /// Its step in the release, in words.
    pub step: String,
    /// Why its step may not begin now, if it has not.
    #[serde(rename = "waits")]
    pub blocked_by: Option<String>,
}

/// A slot: the right of one front node to be away; a JSON array of two.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(u64, bool)", into = "(u64, bool)")]
pub struct SlotView {
    /// The log index that granted it.
    pub index: u64,
    /// Whether the agent has begun its step.
    pub begun: bool,
}

impl From<(u64, bool)> for SlotView {
    fn from((index, begun): (u64, bool)) -> Self {
        Self { index, begun }
    }
}

impl From<SlotView> for (u64, bool) {
    fn from(view: SlotView) -> Self {
        (view.index, view.begun)
    }
}

/// One index server.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ServerView {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether discovery lists it as up.
    pub up: bool,
    /// Its phase, in words.
    pub phase: String,
    /// The number of front nodes that have been notified of its drain.
    #[serde(rename = "told")]
    pub notified: u32,
}

/// One lease of the replicated table.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct LeaseView {
    /// The task.
    pub task: String,
    /// The member that holds it.
    pub holder: u64,
    /// Its fencing token.
    pub token: u64,
    /// The number of renewals since the grant.
    #[serde(rename = "renewal")]
    pub renewals: u64,
    /// Milliseconds until the leader may expire it; known to the leader only.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Option<u64>,
}

/// One task from this member's side.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct OwnTaskView {
    /// The task.
    pub task: String,
    /// Whether this member wants its lease.
    #[serde(rename = "want")]
    pub wanted: bool,
    /// The state of its lease holder, in words.
    pub state: String,
    /// Milliseconds for which it may still act, if it holds the lease.
    #[serde(rename = "acting_ms")]
    pub may_act_ms: Option<u64>,
}
