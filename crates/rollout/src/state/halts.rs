//! Halts, which operators command or failed steps cause, and the resume after a halt.

use super::RolloutState;
use crate::limits::{truncated, MAX_HALT_REASON_CHARS};
use crate::outcome::Outcome;
use crate::release::{Halt, StepState};
use pinetrestle_fleet::MemberId;

/// The id of a halt that was caused by failed steps of a release.
const FAILURES_HALT_ID: &str = "failures";

impl RolloutState {
    pub(super) fn halt_by_operator(&mut self, id: &str, reason: &str) -> Outcome {
        if self.halt.is_some() {
            return Outcome::Unchanged;
        }
        self.begin_halt(id, truncated(reason, MAX_HALT_REASON_CHARS));
        Outcome::Applied
    }

    pub(super) fn resume(&mut self) -> Outcome {
        if self.halt.take().is_none() {
            return Outcome::Unchanged;
        }
        if let Some(release) = self.running_release_mut() {
            release.failed_steps = 0;
            for step in release.steps.values_mut().filter(|step| step.is_failed()) {
                *step = StepState::Waiting;
            }
        }
        Outcome::Applied
    }

    /// Counts a failed step of `node`, and halts if the release has had more failed steps than the plan
    /// allows.
    pub(super) fn count_failed_step(&mut self, node: MemberId, reason: &str) {
        let max_failed_steps = self.plan.as_ref().map_or(0, |plan| plan.max_failed_steps);
        let Some(release) = self.release.as_mut() else { return };
        release.failed_steps += 1;
        if release.failed_steps > max_failed_steps && self.halt.is_none() {
            let failed_steps = release.failed_steps;
            let reason = format!("{failed_steps} failed steps, the last of front node {}: {reason}", node.0);
            self.begin_halt(FAILURES_HALT_ID, reason);
        }
    }

    /// Halts a release in which failed steps prevent every further step: they use up the budget, count as
    /// canaries that have not passed, or are the only steps that have not passed. Without the halt, such a
    /// release would neither proceed nor show that it needs an operator.
    pub(super) fn halt_if_stuck(&mut self) {
        if self.halt.is_some() {
            return;
        }
        let Some(failed_steps) = self.failed_steps_if_stuck() else { return };
        let reason = format!("{failed_steps} failed steps leave no front node that may go");
        self.begin_halt(FAILURES_HALT_ID, reason);
    }

    /// Returns the number of failed steps if no other step of the running release can proceed because of
    /// them.
    fn failed_steps_if_stuck(&self) -> Option<usize> {
        let plan = self.plan.as_ref()?;
        let release = self.running_release()?;
        let failed: Vec<MemberId> = release.nodes_with(StepState::is_failed).collect();
        let in_progress = release.nodes_with(|step| *step == StepState::InProgress).next();
        if failed.is_empty() || in_progress.is_some() {
            return None;
        }
        let fits_budget = |node: MemberId| plan.check_node_budget(node, failed.iter().copied()).is_ok();
        let any_can_proceed = release.nodes_with(|step| *step == StepState::Waiting).any(fits_budget);
        let is_stuck = release.awaits_canaries(plan) || !any_can_proceed;
        is_stuck.then_some(failed.len())
    }

    /// Halts, and revokes the slots whose steps have not begun, so that no step begins after this log entry.
    fn begin_halt(&mut self, id: &str, reason: String) {
        self.halt = Some(Halt { id: id.to_owned(), reason });
        self.revoke_slots_not_begun();
    }

    /// Revokes the slots whose steps have not begun, and sets those steps back to waiting.
    pub(super) fn revoke_slots_not_begun(&mut self) {
        for (id, node) in &mut self.nodes {
            let revoked = node.slot.take_if(|slot| !slot.begun);
            if let (Some(_), Some(release)) = (revoked, self.release.as_mut()) {
                release.steps.insert(*id, StepState::Waiting);
            }
        }
    }
}
