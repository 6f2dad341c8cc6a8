//! The output of a tick of [`Member`](super::Member): messages to send and actions to carry out.

use crate::relay::DrainView;
use crate::wire::Action;
use pinetrestle_rollout::ProcessAction;
use protobuf::Message as _;
use raft::eraftpb::Message;

/// A Raft message to send to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundMessage {
    /// The id of the peer.
    pub to: u64,
    /// The message in Raft's protobuf encoding.
    pub bytes: Vec<u8>,
}

/// The output of one tick of a member, which the main loop carries out.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Raft messages to send to peers.
    pub messages: Vec<OutboundMessage>,
    /// Actions under leases that this member holds, to send to the task sink.
    pub actions: Vec<Action>,
    /// The action for the process of this member's front node: whether to start, stop or kill it.
    pub front_node_action: Option<ProcessAction>,
    /// The index servers that the fleet has drained, for the relay; `None` if nothing has changed since the
    /// last output.
    pub drain_view: Option<DrainView>,
}

impl StepOutput {
    /// Encodes Raft messages and adds them to the output.
    pub(super) fn add_messages(&mut self, messages: Vec<Message>) {
        for message in messages {
            let bytes = message.write_to_bytes().unwrap_or_default();
            self.messages.push(OutboundMessage { to: message.to, bytes });
        }
    }
}
