//! What one step of a member leaves for its drivers to carry out.

use crate::relay::DrainView;
use crate::wire::Action;
use pinetrestle_rollout::ProcessAction;
use protobuf::Message as _;
use raft::eraftpb::Message;

/// One Raft message for a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundMessage {
    /// The peer.
    pub to: u64,
    /// Raft's protobuf bytes.
    pub bytes: Vec<u8>,
}

/// What one step of the member leaves for its drivers to carry out.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Raft messages for peers.
    pub messages: Vec<OutboundMessage>,
    /// Actions under a lease, for the task sink.
    pub actions: Vec<Action>,
    /// What to do with the front node.
    pub front_node_action: Option<ProcessAction>,
    /// What the fleet has decided on index servers, where that may have changed.
    pub drain_view: Option<DrainView>,
}

impl StepOutput {
    /// Adds Raft's messages, encoded.
    pub(super) fn add_messages(&mut self, messages: Vec<Message>) {
        for message in messages {
            let bytes = message.write_to_bytes().unwrap_or_default();
            self.messages.push(OutboundMessage { to: message.to, bytes });
        }
    }
}
