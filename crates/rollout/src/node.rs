//! The replicated state of one front node, and the slot that permits its update.

use serde::{Deserialize, Serialize};

/// The permission for one front node to be unavailable while it is updated by its step of a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The log index of the command that granted the slot. It identifies the slot and is higher than that of
    /// any earlier slot.
    pub index: u64,
    /// The version that the step updates to.
    pub target_version: String,
    /// The version that the step replaces, and that is started again if the target version does not serve.
    pub previous_version: String,
    /// Whether the agent has begun the step. From then on only a command of the agent ends the slot.
    pub begun: bool,
}

/// The replicated state of one front node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeState {
    /// The sequence number of the last status report; 0 before the first.
    pub report_seq: u64,
    /// The version that the front node runs or ran last, by its last report or the result of a later step;
    /// empty before the first report.
    pub version: String,
    /// Whether the last report said that the front node serves.
    pub ready: bool,
    /// Whether the member was declared unreachable after its last report.
    pub unreachable: bool,
    /// The slot that the front node holds, if any.
    pub slot: Option<Slot>,
}
