//! Builds a member's status report.

use super::Member;
use crate::status::{LeaseView, Status};
use raft::StateRole;

impl Member {
    /// Returns the current status report of this member.
    pub fn status(&mut self) -> Status {
        let now = self.now_ms();
        let own_tasks = self.leases.status(now);
        let raft = &self.raft.raft;
        Status {
            id: self.id,
            role: role_name(raft.state).to_owned(),
            leader: raft.leader_id,
            term: raft.term,
            commit_index: raft.raft_log.committed,
            applied_index: self.state.applied_index(),
            incarnation: self.incarnation,
            members: self.config.peers.iter().map(|peer| peer.id).collect(),
            leases: self.lease_views(now),
            own_tasks,
            rollout: self.rollout.status(&self.state.rollout),
            recovery: self.rollout.recovery_status(&self.state.recovery),
        }
    }

    fn lease_views(&self, now: u64) -> Vec<LeaseView> {
        let leases = self.state.leases.leases();
        leases
            .map(|(task, lease)| LeaseView {
                task: task.0.clone(),
                holder: lease.holder.0,
                token: lease.token.0,
                renewals: lease.renewals,
                remaining_ms: self.expiry.remaining_ms(task, now),
            })
            .collect()
    }
}

fn role_name(role: StateRole) -> &'static str {
    match role {
        StateRole::Leader => "leader",
        StateRole::Follower => "follower",
        StateRole::Candidate | StateRole::PreCandidate => "candidate",
    }
}
