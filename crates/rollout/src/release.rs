//! A release, which updates all front nodes to a new version: its direction, its stage, and the step of each
//! front node.

use crate::plan::Plan;
use pinetrestle_fleet::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of one front node's step in a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepState {
    /// The front node has not been granted a slot for the step yet.
    Waiting,
    /// The front node holds a slot for the step.
    InProgress,
    /// The front node serves the release's version and its counters showed no fault.
    Passed,
    /// The step failed for the given reason. The front node counts as unavailable until its step passes.
    Failed(String),
}

impl StepState {
    pub(crate) fn is_failed(&self) -> bool {
        matches!(self, StepState::Failed(_))
    }
}

/// The direction of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Direction {
    /// The front nodes are updated to the new version.
    Forward,
    /// The front nodes are rolled back to the version that the release replaces.
    Backward,
}

/// The stage of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseStage {
    /// Not every front node has passed yet. The release proceeds unless it is halted.
    Running,
    /// Every front node has passed.
    Completed,
    /// Every front node is back on the version that the release replaces.
    RolledBack,
}

/// A release that is running or has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The id of the release: that of the command that began it.
    pub id: String,
    /// The version that the release replaces.
    pub from_version: String,
    /// The version that the release introduces.
    pub to_version: String,
    /// The current direction: forward, or backward once a rollback was commanded.
    pub direction: Direction,
    /// The current stage.
    pub stage: ReleaseStage,
    /// The state of each front node's step.
    pub steps: BTreeMap<MemberId, StepState>,
    /// Number of failed steps since the release began, was last resumed, or was rolled back.
    pub failed_steps: u32,
}

impl Release {
    /// Returns the version to which the steps update the front nodes in the current direction.
    pub fn target_version(&self) -> &str {
        match self.direction {
            Direction::Forward => &self.to_version,
            Direction::Backward => &self.from_version,
        }
    }

    /// Returns the front nodes whose step state `matches` accepts, in the order of their ids.
    pub(crate) fn nodes_with<'a>(
        &'a self,
        matches: impl Fn(&StepState) -> bool + 'a,
    ) -> impl Iterator<Item = MemberId> + 'a {
        self.steps.iter().filter(move |(_, step)| matches(step)).map(|(node, _)| *node)
    }

    /// Returns whether further front nodes have to wait until the canaries have passed.
    ///
    /// The canaries are the first [`Plan::canary_nodes`] front nodes that get a slot. A rollback has no
    /// canaries, because it returns to a version that is known to be good.
    pub(crate) fn awaits_canaries(&self, plan: &Plan) -> bool {
        let canaries = (plan.canary_nodes as usize).min(plan.nodes.len());
        let passed = self.nodes_with(|step| *step == StepState::Passed).count();
        let tried = self.nodes_with(|step| *step == StepState::InProgress || step.is_failed()).count();
        self.direction == Direction::Forward && passed < canaries && passed + tried >= canaries
    }
}

/// A halt of releases and drains: no release, step or drain begins and no ramp advances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    /// The id of the operator's command, or `failures` for a halt that was caused by failed steps.
    pub id: String,
    /// The reason of the halt, shown in the status.
    pub reason: String,
}
