//! The status report of a member, which `fleet status`, `fleet explain` and `fleet recover` print.
//!
//! These types are sent with postcard, whose format is given by the order and types of the fields, and
//! printed as JSON by `--json`, whose keys are given by the field names. A field that was renamed has a serde
//! attribute that keeps its JSON key.
//!
//! A front node or index server is *unavailable*, which the program prints as "away", if it counts against
//! the budget of units that may be unavailable at the same time.

use serde::{Deserialize, Serialize};

/// A member's report of its own state and of the replicated state that it has applied.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Status {
    /// The id of this member.
    pub id: u64,
    /// The Raft role of this member: `leader`, `follower` or `candidate`.
    pub role: String,
    /// The id of the leader that this member knows, or 0 if it knows none.
    pub leader: u64,
    /// The current Raft term of this member.
    pub term: u64,
    /// The highest log index known to be committed.
    #[serde(rename = "commit")]
    pub commit_index: u64,
    /// The highest log index applied to the state machine.
    #[serde(rename = "applied")]
    pub applied_index: u64,
    /// The incarnation of this member: the count of its starts, kept on its disk.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The ids of the members of the fleet.
    pub members: Vec<u64>,
    /// All leases of the replicated state.
    pub leases: Vec<LeaseView>,
    /// The tasks whose leases this member wants, holds, or has wanted since its start.
    #[serde(rename = "mine")]
    pub own_tasks: Vec<OwnTaskView>,
    /// The state of drains and releases; `None` if there is no current plan yet.
    pub rollout: Option<RolloutView>,
    /// The state of the fleet's recovery from a power loss; `None` if this member's configuration file has no
    /// `rollout` section.
    pub recovery: Option<RecoveryView>,
}

/// The state of the fleet's recovery from a power loss.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RecoveryView {
    /// The number of power losses of the fleet, including one from which it is still recovering.
    pub epoch: u64,
    /// The stage, in words.
    pub stage: String,
    /// The reports of the members that have reported since the last election.
    #[serde(rename = "present")]
    pub reports: Vec<PresenceView>,
    /// The number of members of the fleet.
    #[serde(rename = "members")]
    pub fleet_size: u32,
    /// Whether this member's front node is admitted, in words.
    #[serde(rename = "gate")]
    pub admission: String,
}

/// The state of a front node that its member has reported since the last election. In JSON, an array of the
/// three fields.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(u64, bool, bool)", into = "(u64, bool, bool)")]
pub struct PresenceView {
    /// The id of the member.
    pub member: u64,
    /// Whether the front node of the member serves.
    pub serving: bool,
    /// Whether discovery's endpoint list has been received there.
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

/// The state of drains and releases.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RolloutView {
    /// The revision of the plan.
    pub revision: u64,
    /// The number of front nodes that may be unavailable at the same time.
    pub node_limit: u32,
    /// The number of index servers that may be unavailable at the same time.
    pub server_limit: u32,
    /// The version on which the last completed or rolled back release ended; empty before the first release
    /// has ended.
    #[serde(rename = "good")]
    pub last_good_version: String,
    /// The current halt, if any.
    #[serde(rename = "halted")]
    pub halt: Option<HaltView>,
    /// The running release, or the last one.
    pub release: Option<ReleaseView>,
    /// All front nodes.
    pub nodes: Vec<NodeView>,
    /// The unavailable index servers: those that are down, drained or returning from a drain.
    pub servers: Vec<ServerView>,
    /// The activity of this member's agent, in words; `None` if the member has no front node.
    pub agent: Option<String>,
}

/// A halt. In JSON, an array of the two fields.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct HaltView {
    /// The id of the command that began the halt, or `failures` if the fleet halted itself after failed
    /// steps.
    pub id: String,
    /// The reason for the halt.
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
    /// The id of the release.
    pub id: String,
    /// The version that the release replaces.
    pub from: String,
    /// The version to which the release updates the front nodes.
    pub to: String,
    /// The direction: `forward`, or `back` during a rollback.
    #[serde(rename = "way")]
    pub direction: String,
    /// The stage: `running`, `done` or `rolled back`.
    pub stage: String,
    /// The number of front nodes whose step has passed.
    pub passed: u32,
    /// The number of steps that have failed since the release began, was resumed or was rolled back.
    pub failures: u32,
}

/// A front node.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct NodeView {
    /// The id of the member that runs the front node.
    pub id: u64,
    /// The version that the member has reported.
    pub version: String,
    /// Whether the front node serves, as the member has reported it.
    pub ready: bool,
    /// Whether the member is unreachable: the leader has received no message from it for too long.
    #[serde(rename = "lost")]
    pub unreachable: bool,
    /// Whether the front node counts against the budget of unavailable front nodes.
    #[serde(rename = "away")]
    pub unavailable: bool,
    /// The slot that the front node holds for its step, if any.
    pub slot: Option<SlotView>,
    /// The state of the front node's step in the release, in words.
    pub step: String,
    /// Why the front node can't be granted a slot now; `None` if it does not wait for one, or could be
    /// granted one.
    #[serde(rename = "waits")]
    pub blocked_by: Option<String>,
}

/// A slot: the permission for the step of one front node. In JSON, an array of the two fields.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(u64, bool)", into = "(u64, bool)")]
pub struct SlotView {
    /// The log index of the command that granted the slot.
    pub index: u64,
    /// Whether the agent has begun the step.
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

/// An index server.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ServerView {
    /// The name of the index server in discovery.
    pub name: String,
    /// The zone of the index server.
    pub zone: String,
    /// Whether discovery lists the index server as up.
    pub up: bool,
    /// The phase of the index server, in words.
    pub phase: String,
    /// The number of front nodes that have acknowledged the drain: their endpoint lists show it.
    #[serde(rename = "told")]
    pub notified: u32,
}

/// A lease of the replicated state.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct LeaseView {
    /// The name of the task.
    pub task: String,
    /// The id of the member that holds the lease.
    pub holder: u64,
    /// The fencing token of the lease.
    pub token: u64,
    /// The number of renewals since the lease was granted.
    #[serde(rename = "renewal")]
    pub renewals: u64,
    /// The time until the leader may expire the lease, in milliseconds. Only the leader reports it.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Option<u64>,
}

/// This member's own view of a task: whether it wants the lease, and whether it may act under it.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct OwnTaskView {
    /// The name of the task.
    pub task: String,
    /// Whether this member wants the lease of the task.
    #[serde(rename = "want")]
    pub wanted: bool,
    /// The state of this member's lease holder, in words.
    pub state: String,
    /// The time for which this member may still act under the lease without a renewal, in milliseconds;
    /// `None` if it may not act.
    #[serde(rename = "acting_ms")]
    pub may_act_ms: Option<u64>,
}
