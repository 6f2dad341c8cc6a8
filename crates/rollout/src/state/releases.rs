//! Commands that begin a release or roll it back, and the completion of a release.

use super::RolloutState;
use crate::limits::is_valid_name;
use crate::node::NodeState;
use crate::outcome::{Outcome, Refusal};
use crate::release::{Direction, Release, ReleaseStage, StepState};
use std::collections::BTreeSet;

impl RolloutState {
    pub(super) fn begin_release(&mut self, id: &str, to_version: &str) -> Result<Outcome, Refusal> {
        let plan = self.plan.as_ref().ok_or(Refusal::NoPlan)?;
        if !is_valid_name(to_version) {
            return Err(Refusal::InvalidName);
        }
        if let Some(running) = self.running_release() {
            return Err(Refusal::ReleaseInProgress { id: running.id.clone() });
        }
        self.require_no_halt()?;
        let from_version = self.version_to_replace().ok_or(Refusal::Unreachable)?;
        let steps = plan.nodes.keys().map(|node| (*node, StepState::Waiting)).collect();
        self.release = Some(Release {
            id: id.to_owned(),
            from_version,
            to_version: to_version.to_owned(),
            direction: Direction::Forward,
            stage: ReleaseStage::Running,
            steps,
            failed_steps: 0,
        });
        Ok(Outcome::Applied)
    }

    /// Returns the version that a new release replaces: the last good version or, before the first release,
    /// the version that all front nodes report. Returns `None` if they report different versions, since there
    /// would not be a single version to roll back to.
    fn version_to_replace(&self) -> Option<String> {
        if !self.last_good_version.is_empty() {
            return Some(self.last_good_version.clone());
        }
        let versions: BTreeSet<&str> = self.nodes.values().map(|node| node.version.as_str()).collect();
        let version = versions.first().filter(|version| versions.len() == 1 && !version.is_empty())?;
        Some((*version).to_owned())
    }

    /// Ends the running release if the steps of all front nodes have passed.
    pub(super) fn complete_release_if_all_passed(&mut self) {
        let Some(release) = self.running_release_mut() else { return };
        if release.steps.values().any(|step| *step != StepState::Passed) {
            return;
        }
        release.stage = match release.direction {
            Direction::Forward => ReleaseStage::Completed,
            Direction::Backward => ReleaseStage::RolledBack,
        };
        let version = release.target_version().to_owned();
        self.last_good_version = version;
    }

    /// Rolls the release back to the version that it replaces.
    ///
    /// A rollback is an operator's decision to proceed, so it ends a halt. Slots that were granted for steps
    /// to the new version and whose steps have not begun are revoked.
    pub(super) fn rollback(&mut self) -> Result<Outcome, Refusal> {
        let release = self.release.as_mut().ok_or(Refusal::NoRelease)?;
        let is_rolling_back =
            release.direction == Direction::Backward && release.stage == ReleaseStage::Running;
        if is_rolling_back || release.stage == ReleaseStage::RolledBack {
            return Ok(Outcome::Unchanged);
        }
        release.direction = Direction::Backward;
        release.stage = ReleaseStage::Running;
        release.failed_steps = 0;
        let from_version = release.from_version.as_str();
        release.steps =
            self.nodes.iter().map(|(id, node)| (*id, rollback_step(node, from_version))).collect();
        self.halt = None;
        self.revoke_slots_not_begun();
        self.complete_release_if_all_passed();
        Ok(Outcome::Applied)
    }
}

/// Returns the step state of a front node when a rollback to `version` begins. The step of a front node that
/// still serves `version` has passed.
fn rollback_step(node: &NodeState, version: &str) -> StepState {
    if node.slot.is_some() {
        StepState::InProgress
    } else if node.version == version && node.ready && !node.unreachable {
        StepState::Passed
    } else {
        StepState::Waiting
    }
}
