//! Commands on slots: a slot is granted to a front node, its step begins, and the slot ends with the result
//! of the step.

use super::RolloutState;
use crate::limits::{truncated, MAX_FAILURE_REASON_CHARS};
use crate::node::Slot;
use crate::outcome::{Outcome, Refusal};
use crate::plan::HealthCounters;
use crate::release::StepState;
use pinetrestle_fleet::MemberId;

/// The reason of a failed step that takes longer than the plan allows.
const OVERDUE_REASON: &str = "its step takes too long";

impl RolloutState {
    /// Checks whether `node` may be granted a slot now.
    ///
    /// A front node that does not serve may get a slot beyond the node budget, as long as the front nodes
    /// that hold slots are within that budget.
    ///
    /// # Errors
    /// The reason for which a slot would be refused.
    pub fn check_slot_grant(&self, node: MemberId) -> Result<(), Refusal> {
        let plan = self.plan.as_ref().ok_or(Refusal::NoPlan)?;
        self.require_no_halt()?;
        let release = self.running_release().ok_or(Refusal::NoRelease)?;
        let state = self.nodes.get(&node).ok_or(Refusal::UnknownUnit)?;
        // A failed step is retried only after a resume or a rollback has set it back to waiting.
        if release.steps.get(&node) != Some(&StepState::Waiting) || state.slot.is_some() {
            return Err(Refusal::NotEligible);
        }
        if state.unreachable || state.version.is_empty() {
            return Err(Refusal::Unreachable);
        }
        if release.awaits_canaries(plan) {
            return Err(Refusal::AwaitingCanaries);
        }
        let Err(exceeded) = self.check_budget(plan, node) else { return Ok(()) };
        // A step takes no capacity away from a front node that does not serve anyway, and the release may be
        // what repairs it, so only the front nodes that hold slots count. The coordinator proposes such a
        // slot only after the front node had time to recover by itself.
        if !state.ready && self.check_slot_budget(plan, node).is_ok() {
            return Ok(());
        }
        Err(exceeded.into())
    }

    pub(crate) fn grant_slot(&mut self, index: u64, node: MemberId) -> Result<Outcome, Refusal> {
        self.check_slot_grant(node)?;
        let release = self.running_release_mut().ok_or(Refusal::NoRelease)?;
        let target_version = release.target_version().to_owned();
        release.steps.insert(node, StepState::InProgress);
        if let Some(state) = self.nodes.get_mut(&node) {
            let previous_version = state.version.clone();
            state.slot = Some(Slot { index, target_version, previous_version, begun: false });
        }
        Ok(Outcome::Applied)
    }

    pub(super) fn begin_step(&mut self, node: MemberId, slot_index: u64) -> Result<Outcome, Refusal> {
        let slot = self.nodes.get_mut(&node).and_then(|state| state.slot.as_mut());
        let slot = slot.filter(|slot| slot.index == slot_index).ok_or(Refusal::Stale)?;
        if slot.begun {
            return Ok(Outcome::Unchanged);
        }
        slot.begun = true;
        Ok(Outcome::Applied)
    }

    pub(super) fn step_finished(
        &mut self,
        node: MemberId,
        slot_index: u64,
        health: &HealthCounters,
    ) -> Result<Outcome, Refusal> {
        let fault = self.plan.as_ref().map(|plan| health.fault(plan)).ok_or(Refusal::NoPlan)?;
        let slot = self.end_slot(node, slot_index).ok_or(Refusal::Stale)?;
        self.record_version(node, &slot.target_version);
        let step = match fault {
            None => StepState::Passed,
            Some(fault) => StepState::Failed(fault.to_string()),
        };
        self.record_step(node, &slot, step);
        Ok(Outcome::Applied)
    }

    pub(super) fn step_failed(
        &mut self,
        node: MemberId,
        slot_index: u64,
        reason: &str,
    ) -> Result<Outcome, Refusal> {
        let slot = self.end_slot(node, slot_index).ok_or(Refusal::Stale)?;
        self.record_version(node, &slot.previous_version);
        let reason = truncated(reason, MAX_FAILURE_REASON_CHARS);
        self.record_step(node, &slot, StepState::Failed(reason));
        Ok(Outcome::Applied)
    }

    pub(super) fn step_overdue(&mut self, node: MemberId, slot_index: u64) -> Result<Outcome, Refusal> {
        let state = self.nodes.get(&node).ok_or(Refusal::UnknownUnit)?;
        let slot = state.slot.as_ref().filter(|slot| slot.index == slot_index).ok_or(Refusal::Stale)?;
        if slot.begun {
            return Ok(self.count_overdue_step(node));
        }
        // The agent has not begun the step, so the slot is revoked and the step waits again.
        if let Some(slot) = self.end_slot(node, slot_index) {
            self.record_step(node, &slot, StepState::Waiting);
        }
        Ok(Outcome::Applied)
    }

    /// Counts an overdue step that has begun as a failed step. The front node keeps its slot until its agent
    /// ends the step.
    fn count_overdue_step(&mut self, node: MemberId) -> Outcome {
        if self.running_release().is_none() || self.halt.is_some() {
            return Outcome::Unchanged;
        }
        self.count_failed_step(node, OVERDUE_REASON);
        Outcome::Applied
    }

    /// Removes the slot with the index `slot_index` from `node` and returns it, or `None` if `node` does not
    /// hold it.
    fn end_slot(&mut self, node: MemberId, slot_index: u64) -> Option<Slot> {
        self.nodes.get_mut(&node)?.slot.take_if(|slot| slot.index == slot_index)
    }

    /// Records the version that runs on `node`, which follows from the result of its step. The agent also
    /// reports the version, but that report may be lost and the front node may end before the next one.
    fn record_version(&mut self, node: MemberId, version: &str) {
        if let Some(state) = self.nodes.get_mut(&node) {
            state.version = version.to_owned();
        }
    }

    /// Records the result of the step that was done under `slot`. If the release has been rolled back since
    /// the slot was granted, the step went to the wrong version and is set back to waiting instead.
    fn record_step(&mut self, node: MemberId, slot: &Slot, step: StepState) {
        let Some(release) = self.running_release_mut() else { return };
        if slot.target_version != release.target_version() {
            release.steps.insert(node, StepState::Waiting);
            return;
        }
        release.steps.insert(node, step.clone());
        if let StepState::Failed(reason) = step {
            self.count_failed_step(node, &reason);
        }
        self.complete_release_if_all_passed();
        self.halt_if_stuck();
    }
}
