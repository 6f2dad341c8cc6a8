//! The failure detector of the log's leader: a member that has sent the leader no message for too long is
//! declared unreachable.

use crate::command::Command;
use crate::state::RolloutState;
use pinetrestle_fleet::MemberId;
use std::collections::BTreeMap;

/// A declaration that has not been applied is proposed again after the plan's `unreachable_after_ms` divided
/// by this.
const RETRY_DIVISOR: u64 = 4;

/// Detects members that have sent the leader no message for longer than the plan allows.
///
/// Times are milliseconds of the leader's own monotonic clock.
#[derive(Debug, Default, Clone)]
pub struct FailureDetector {
    last_message_ms: BTreeMap<MemberId, u64>,
    last_proposal_ms: BTreeMap<MemberId, u64>,
}

impl FailureDetector {
    /// Creates the detector of a member that became leader at `now_ms`.
    ///
    /// The silence of every member is counted from `now_ms`, so that no member is declared unreachable for
    /// messages that it did not send to an earlier leader.
    pub fn new(now_ms: u64, state: &RolloutState) -> FailureDetector {
        let nodes = state.plan().into_iter().flat_map(|plan| plan.nodes.keys());
        FailureDetector {
            last_message_ms: nodes.map(|node| (*node, now_ms)).collect(),
            last_proposal_ms: BTreeMap::new(),
        }
    }

    /// Records that a message from `node` was received at `now_ms`.
    pub fn record_message(&mut self, now_ms: u64, node: MemberId) {
        self.last_message_ms.insert(node, now_ms);
    }

    /// Returns the [`Command::DeclareUnreachable`] commands to propose at `now_ms`. `leader` is this member,
    /// which never declares itself unreachable.
    pub fn poll(&mut self, now_ms: u64, leader: MemberId, state: &RolloutState) -> Vec<Command> {
        let Some(plan) = state.plan() else { return Vec::new() };
        let mut commands = Vec::new();
        for node in plan.nodes.keys().filter(|node| **node != leader) {
            let last_message_ms = *self.last_message_ms.entry(*node).or_insert(now_ms);
            let Some(node_state) = state.node(*node) else { continue };
            let proposed_ms = self.last_proposal_ms.get(node).copied().unwrap_or(0);
            let silent_too_long = now_ms >= last_message_ms + plan.unreachable_after_ms;
            let may_propose = now_ms >= proposed_ms + plan.unreachable_after_ms / RETRY_DIVISOR;
            if !node_state.unreachable && silent_too_long && may_propose {
                self.last_proposal_ms.insert(*node, now_ms);
                commands.push(Command::DeclareUnreachable { node: *node, report_seq: node_state.report_seq });
            }
        }
        commands
    }
}
