//! Which front nodes may send to an index server, and the commands on index servers that depend on the plan
//! or a halt.

use super::RolloutState;
use crate::outcome::{Outcome, Refusal};
use crate::plan::Plan;
use crate::servers::ServerPhase;
use pinetrestle_fleet::MemberId;

/// The initial value and the multiplier of [`ramp_hash`].
const RAMP_HASH_SEED: u64 = 7;
const RAMP_HASH_MULTIPLIER: u64 = 31;

impl RolloutState {
    /// Returns whether `node` may send to `server` now. The fleet does not restrict servers that it does not
    /// know, so they are left to discovery.
    pub fn may_send(&self, node: MemberId, server: &str) -> bool {
        let Some(state) = self.servers.get(server) else { return true };
        match state.phase {
            ServerPhase::Serving => true,
            ServerPhase::Draining | ServerPhase::Drained => false,
            ServerPhase::Ramping(stage) => {
                self.plan.as_ref().is_none_or(|plan| ramp_includes(plan, node, server, stage))
            }
        }
    }

    pub(super) fn drain_server(&mut self, index: u64, server: &str) -> Result<Outcome, Refusal> {
        let plan = self.plan.as_ref().ok_or(Refusal::NoPlan)?;
        self.require_no_halt()?;
        self.servers.drain(index, server, plan)
    }

    pub(super) fn acknowledge_drain(
        &mut self,
        node: MemberId,
        server: &str,
        change_index: u64,
    ) -> Result<Outcome, Refusal> {
        if !self.nodes.contains_key(&node) {
            return Err(Refusal::UnknownUnit);
        }
        let outcome = self.servers.acknowledge(node, server, change_index)?;
        if let Some(plan) = &self.plan {
            self.servers.finish_acknowledged_drains(plan);
        }
        Ok(outcome)
    }

    pub(super) fn advance_ramp(
        &mut self,
        index: u64,
        server: &str,
        change_index: u64,
    ) -> Result<Outcome, Refusal> {
        let ramp_stages = self.plan.as_ref().ok_or(Refusal::NoPlan)?.ramp_stages;
        self.require_no_halt()?;
        self.servers.advance_ramp(index, server, change_index, ramp_stages)
    }
}

/// Returns whether `node` may send to `server` in stage `stage` of the server's ramp.
///
/// Stage i of n is open to i/n of the front nodes. The name of the server determines which front node is the
/// first, so that the ramps of all servers do not begin at the same front node.
fn ramp_includes(plan: &Plan, node: MemberId, server: &str, stage: u32) -> bool {
    let total = plan.nodes.len() as u64;
    let open_count = (total * u64::from(stage)).div_ceil(u64::from(plan.ramp_stages.max(1)));
    let offset = ramp_hash(server) % total.max(1);
    let position = plan.nodes.keys().position(|id| *id == node).unwrap_or(0) as u64;
    (position + offset) % total.max(1) < open_count
}

/// Hashes the name of an index server to spread the ramps of the servers over the front nodes.
fn ramp_hash(server: &str) -> u64 {
    server.bytes().fold(RAMP_HASH_SEED, |hash, byte| {
        hash.wrapping_mul(RAMP_HASH_MULTIPLIER).wrapping_add(u64::from(byte))
    })
}
