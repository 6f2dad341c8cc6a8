//! The plan on which all members agree, and the health check of front nodes under that plan.

use crate::budget::{Budget, BudgetExceeded};
use pinetrestle_fleet::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The settings for releases and drains, on which all members have to agree before anything is drained or
/// released.
///
/// The current plan is the one with the highest revision that a leader has proposed from its configuration
/// file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The revision of the plan, which increases with each change. A plan whose revision is not higher than
    /// that of the current plan changes nothing.
    pub revision: u64,
    /// The front nodes, one per member.
    pub nodes: BTreeMap<MemberId, NodePlan>,
    /// Limits on the front nodes that may be unavailable at the same time.
    pub node_budget: Budget,
    /// Limits on the index servers that may be unavailable at the same time.
    pub server_budget: Budget,
    /// Number of canaries: front nodes that are updated first, while the others wait until all canaries have
    /// passed.
    pub canary_nodes: u32,
    /// Maximum number of failed steps before a release is halted; with 0, the first failed step halts it.
    pub max_failed_steps: u32,
    /// Maximum share of failed queries, in thousandths, that a front node may show while it is observed after
    /// its update.
    pub max_failed_queries_per_mille: u32,
    /// Milliseconds that a step may take from the grant of its slot to its end, on the coordinator's clock.
    pub step_timeout_ms: u64,
    /// Milliseconds for which an updated front node serves and is observed before its step ends, on its
    /// agent's clock.
    pub settle_ms: u64,
    /// Milliseconds without a message after which the leader declares a member unreachable.
    pub unreachable_after_ms: u64,
    /// Number of stages of the ramp of a returning index server. In stage i of n, i/n of the front nodes send
    /// to it.
    pub ramp_stages: u32,
    /// Milliseconds that each stage of a ramp lasts, on the coordinator's clock.
    pub ramp_stage_ms: u64,
}

impl Plan {
    /// Checks whether `node` may become unavailable while the front nodes in `unavailable` are unavailable
    /// already.
    ///
    /// # Errors
    /// [`BudgetExceeded`] with the limit that is used up.
    pub fn check_node_budget(
        &self,
        node: MemberId,
        unavailable: impl Iterator<Item = MemberId>,
    ) -> Result<(), BudgetExceeded> {
        let zone_of = |member: MemberId| self.nodes.get(&member).and_then(|plan| plan.zone.as_deref());
        self.node_budget.check(self.nodes.len(), zone_of(node), unavailable.map(zone_of))
    }
}

/// The settings of one front node in the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodePlan {
    /// The zone of the front node; `None` if it is in no zone.
    pub zone: Option<String>,
}

/// Counters of a front node by which its health is checked after an update.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthCounters {
    /// Number of queries answered, completely or partially.
    pub answered: u64,
    /// Number of queries that failed.
    pub failed: u64,
    /// Number of internal errors that the front node counted: attempts still in flight after the end of their
    /// query, and restarts of its decision core.
    pub defects: u64,
}

impl HealthCounters {
    /// Returns the queries counted since `baseline` was read from the same counters. The defects are still
    /// those counted since the process started.
    pub(crate) fn since(&self, baseline: HealthCounters) -> HealthCounters {
        HealthCounters {
            answered: self.answered.saturating_sub(baseline.answered),
            failed: self.failed.saturating_sub(baseline.failed),
            defects: self.defects,
        }
    }

    /// Returns the fault that these counters show by the limits of `plan`, if any.
    pub fn fault(&self, plan: &Plan) -> Option<HealthFault> {
        let queries = self.answered + self.failed;
        let max_failed_per_mille = u64::from(plan.max_failed_queries_per_mille);
        if self.defects > 0 {
            Some(HealthFault::Defect)
        } else if self.failed * 1_000 > max_failed_per_mille * queries {
            Some(HealthFault::TooManyFailedQueries)
        } else {
            None
        }
    }
}

/// A fault of a front node, shown by its counters, that makes its step fail. The text is stored as the reason
/// of the failed step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HealthFault {
    /// The front node counted an internal error.
    #[error("its counters show a defect")]
    Defect,
    /// The share of failed queries is higher than the plan allows.
    #[error("too many failed queries")]
    TooManyFailedQueries,
}
