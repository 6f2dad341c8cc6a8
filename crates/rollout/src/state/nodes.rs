//! Commands that change the plan or the reported state of front nodes, and the budget check for front nodes.

use super::RolloutState;
use crate::budget::BudgetExceeded;
use crate::limits::is_valid_name;
use crate::outcome::{Outcome, Refusal};
use crate::plan::Plan;
use crate::release::{ReleaseStage, StepState};
use pinetrestle_fleet::{MemberId, MAX_MEMBERS};

impl RolloutState {
    /// Returns whether a front node counts against the budget: it holds a slot, its member is unreachable, it
    /// does not serve, or its step of the running release failed. An unknown front node is unavailable.
    pub fn is_unavailable(&self, node: MemberId) -> bool {
        let step = self.running_release().and_then(|release| release.steps.get(&node));
        if step.is_some_and(StepState::is_failed) {
            return true;
        }
        self.nodes.get(&node).is_none_or(|state| state.slot.is_some() || state.unreachable || !state.ready)
    }

    /// Checks whether the budget allows `node` to be unavailable, in addition to all other front nodes that
    /// are.
    ///
    /// `node` itself is not counted twice: if it is unavailable already, a slot for it uses no further
    /// capacity.
    ///
    /// # Errors
    /// [`BudgetExceeded`] with the limit that is used up.
    pub fn check_budget(&self, plan: &Plan, node: MemberId) -> Result<(), BudgetExceeded> {
        let others = plan.nodes.keys().copied();
        let unavailable = others.filter(|other| *other != node && self.is_unavailable(*other));
        plan.check_node_budget(node, unavailable)
    }

    /// Checks whether the budget allows a slot for `node` if only front nodes that hold slots count as
    /// unavailable.
    ///
    /// # Errors
    /// [`BudgetExceeded`] with the limit that is used up.
    pub(super) fn check_slot_budget(&self, plan: &Plan, node: MemberId) -> Result<(), BudgetExceeded> {
        let others = self.nodes.iter().filter(|(other, state)| **other != node && state.slot.is_some());
        plan.check_node_budget(node, others.map(|(other, _)| *other))
    }

    pub(super) fn configure(&mut self, plan: &Plan) -> Result<Outcome, Refusal> {
        if plan.nodes.is_empty() || plan.nodes.len() > MAX_MEMBERS {
            return Err(Refusal::InvalidName);
        }
        if self.plan.as_ref().is_some_and(|current| current.revision >= plan.revision) {
            return Ok(Outcome::Unchanged);
        }
        // A front node can't be removed from the plan while it holds a slot: it may be down, but would no
        // longer count against the budget.
        if self.nodes.iter().any(|(id, node)| node.slot.is_some() && !plan.nodes.contains_key(id)) {
            return Err(Refusal::NotEligible);
        }
        self.replace_nodes(plan);
        self.plan = Some(plan.clone());
        self.servers.finish_acknowledged_drains(plan);
        self.complete_release_if_all_passed();
        Ok(Outcome::Applied)
    }

    /// Removes the front nodes that are not in `plan`, and adds those that are new in it, also in a running
    /// release.
    fn replace_nodes(&mut self, plan: &Plan) {
        self.nodes.retain(|id, _| plan.nodes.contains_key(id));
        for id in plan.nodes.keys() {
            self.nodes.entry(*id).or_default();
        }
        let Some(release) = self.running_release_mut() else { return };
        release.steps.retain(|id, _| plan.nodes.contains_key(id));
        for id in plan.nodes.keys() {
            release.steps.entry(*id).or_insert(StepState::Waiting);
        }
    }

    pub(super) fn report_status(
        &mut self,
        node: MemberId,
        report_seq: u64,
        version: &str,
        ready: bool,
    ) -> Result<Outcome, Refusal> {
        if !is_valid_name(version) {
            return Err(Refusal::InvalidName);
        }
        let state = self.nodes.get_mut(&node).ok_or(Refusal::UnknownUnit)?;
        if report_seq <= state.report_seq {
            return Err(Refusal::Stale);
        }
        state.report_seq = report_seq;
        state.version = version.to_owned();
        state.ready = ready;
        state.unreachable = false;
        self.reopen_step_if_version_differs(node, version);
        Ok(Outcome::Applied)
    }

    /// Sets the step of `node` back to waiting if the step had passed and the front node now reports a
    /// version other than the release's target, as happens if a restarted member starts the front node before
    /// it has applied the recent log entries. A release that had ended runs again.
    fn reopen_step_if_version_differs(&mut self, node: MemberId, version: &str) {
        let Some(release) = self.release.as_mut() else { return };
        if version == release.target_version() {
            return;
        }
        let Some(step) = release.steps.get_mut(&node) else { return };
        if *step == StepState::Passed {
            *step = StepState::Waiting;
            release.stage = ReleaseStage::Running;
        }
    }

    pub(super) fn declare_unreachable(
        &mut self,
        node: MemberId,
        report_seq: u64,
    ) -> Result<Outcome, Refusal> {
        let state = self.nodes.get_mut(&node).ok_or(Refusal::UnknownUnit)?;
        if state.report_seq != report_seq {
            return Err(Refusal::Stale);
        }
        state.unreachable = true;
        Ok(Outcome::Applied)
    }
}
