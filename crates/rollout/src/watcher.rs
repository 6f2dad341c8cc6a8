//! The leader's watch over members: one that is not heard for long is called lost.

use crate::state::Rollout;
use crate::types::Command;
use pinetrestle_fleet::MemberId;
use std::collections::BTreeMap;

/// When the leader last heard each member, on its own clock.
#[derive(Debug, Default, Clone)]
pub struct Watcher {
    heard: BTreeMap<MemberId, u64>,
    proposed: BTreeMap<MemberId, u64>,
}

impl Watcher {
    /// A member that has just become leader: it has heard everybody just now, so that nobody is called lost for
    /// what an earlier leader did not hear.
    pub fn elected(now_ms: u64, state: &Rollout) -> Watcher {
        let nodes = state.plan().into_iter().flat_map(|p| p.nodes.keys());
        Watcher { heard: nodes.map(|n| (*n, now_ms)).collect(), proposed: BTreeMap::new() }
    }

    /// A message came from `node`.
    pub fn heard(&mut self, now_ms: u64, node: MemberId) {
        self.heard.insert(node, now_ms);
    }

    /// Members to call lost now; `me` is the leader itself, which hears itself.
    pub fn due(&mut self, now_ms: u64, me: MemberId, state: &Rollout) -> Vec<Command> {
        let Some(plan) = state.plan() else { return Vec::new() };
        let mut due = Vec::new();
        for node in plan.nodes.keys().filter(|n| **n != me) {
            let since = *self.heard.entry(*node).or_insert(now_ms);
            let Some(known) = state.node(*node) else { continue };
            let asked = self.proposed.get(node).copied().unwrap_or(0);
            if !known.lost && now_ms >= since + plan.lost_ms && now_ms >= asked + plan.lost_ms / 4 {
                self.proposed.insert(*node, now_ms);
                due.push(Command::Lost { node: *node, seq: known.seq });
            }
        }
        due
    }
}
