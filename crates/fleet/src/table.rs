//! The replicated lease table. Every member applies the same commands in log order and therefore has the same
//! table.

use crate::types::{Command, Lease, MemberId, Outcome, Refusal, RequestId, Task, Token};
use crate::types::{MAX_MEMBERS, MAX_TASKS, TTL_RANGE_MS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The last request of a member for a task, with its outcome.
///
/// Stored in snapshots with postcard: the order and types of the fields are the format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct LastRequest {
    id: RequestId,
    outcome: Outcome,
}

/// The lease of each task, and the outcome of each member's last request for each task.
///
/// Stored in snapshots with postcard: the order and types of the fields are the format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    /// Every task for which a lease was ever requested, at most [`MAX_TASKS`], with its current lease if
    /// there is one.
    tasks: BTreeMap<Task, Option<Lease>>,
    /// Each member's last request for each task, for at most [`MAX_MEMBERS`] members and [`MAX_TASKS`] tasks.
    /// Request ids count separately for each task.
    last_requests: BTreeMap<(MemberId, Task), LastRequest>,
    /// The log index of the last command applied; 0 before the first.
    applied_index: u64,
}

impl LeaseTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current lease of `task`, if there is one.
    pub fn lease(&self, task: &Task) -> Option<&Lease> {
        self.tasks.get(task).and_then(Option::as_ref)
    }

    /// Iterates over all tasks that have a lease, with their leases, in the order of the task names.
    pub fn leases(&self) -> impl Iterator<Item = (&Task, &Lease)> {
        self.tasks.iter().filter_map(|(task, lease)| lease.as_ref().map(|lease| (task, lease)))
    }

    /// Returns the id of the last applied request of `member` for `task`. A member that restarts has to use
    /// higher ids.
    pub fn last_request(&self, member: MemberId, task: &Task) -> Option<RequestId> {
        self.last_requests.get(&(member, task.clone())).map(|last| last.id)
    }

    /// Returns the log index of the last command applied, or 0 before the first.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Applies the command at log index `index` and returns its outcome. `index` has to be higher than every
    /// index applied before.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        debug_assert!(index > self.applied_index, "index {index} applied after {}", self.applied_index);
        self.applied_index = index;
        match command {
            Command::Acquire { task, member, request, ttl_ms, held_token } => {
                self.apply_once(*member, task, *request, |table| {
                    table.acquire(index, task, *member, *ttl_ms, *held_token)
                })
            }
            Command::Release { task, member, request, token } => {
                self.apply_once(*member, task, *request, |table| table.release(task, *member, *token))
            }
            Command::Expire { task, token, renewals } => self.expire(task, *token, *renewals),
        }
    }

    /// Applies a member's request at most once. A copy of the member's last request gets the outcome of that
    /// request; a request with a lower id is refused.
    fn apply_once(
        &mut self,
        member: MemberId,
        task: &Task,
        id: RequestId,
        apply: impl FnOnce(&mut Self) -> Outcome,
    ) -> Outcome {
        let key = (member, task.clone());
        match self.last_requests.get(&key) {
            Some(last) if last.id == id => return last.outcome.clone(),
            Some(last) if last.id > id => return Outcome::Refused(Refusal::StaleRequest),
            None if !self.has_request_of(member) && self.member_count() >= MAX_MEMBERS => {
                return Outcome::Refused(Refusal::TooManyMembers);
            }
            _ => {}
        }
        let outcome = apply(self);
        // Requests for tasks that are not in the table are not stored, so that at most MAX_MEMBERS *
        // MAX_TASKS requests are.
        if self.tasks.contains_key(task) {
            self.last_requests.insert(key, LastRequest { id, outcome: outcome.clone() });
        }
        outcome
    }

    /// Returns whether the table stores a request of `member`.
    fn has_request_of(&self, member: MemberId) -> bool {
        self.last_requests.keys().any(|(other, _)| *other == member)
    }

    /// Returns the number of members of which the table stores a request.
    fn member_count(&self) -> usize {
        let mut previous = None;
        // The map is ordered by member first, so all keys of one member are adjacent.
        self.last_requests.keys().filter(|(member, _)| previous.replace(*member) != Some(*member)).count()
    }

    fn acquire(
        &mut self,
        index: u64,
        task: &Task,
        member: MemberId,
        ttl_ms: u64,
        held_token: Option<Token>,
    ) -> Outcome {
        if !TTL_RANGE_MS.contains(&ttl_ms) {
            return Outcome::Refused(Refusal::InvalidTtl);
        }
        if !Task::is_valid_name(&task.0) {
            return Outcome::Refused(Refusal::InvalidTaskName);
        }
        if !self.tasks.contains_key(task) && self.tasks.len() >= MAX_TASKS {
            return Outcome::Refused(Refusal::TooManyTasks);
        }
        let current = self.tasks.entry(task.clone()).or_default();
        match current {
            Some(lease) if lease.holder == member && held_token == Some(lease.token) => {
                lease.renewals += 1;
                lease.ttl_ms = ttl_ms;
                Outcome::Renewed(lease.token)
            }
            Some(lease) if lease.holder != member => {
                Outcome::Busy { holder: lease.holder, token: lease.token }
            }
            // No lease, or a lease that this member holds but whose token it did not send because it has
            // restarted. Grant a new lease with a new token, so that the fence rejects late actions of the
            // earlier incarnation.
            _ => {
                let token = Token(index);
                *current = Some(Lease { holder: member, token, ttl_ms, renewals: 0 });
                Outcome::Granted(token)
            }
        }
    }

    fn release(&mut self, task: &Task, member: MemberId, token: Token) -> Outcome {
        if self.end_lease_if(task, |lease| lease.holder == member && lease.token == token) {
            Outcome::Released
        } else {
            Outcome::Refused(Refusal::NotHolder)
        }
    }

    fn expire(&mut self, task: &Task, token: Token, renewals: u64) -> Outcome {
        if self.end_lease_if(task, |lease| lease.token == token && lease.renewals == renewals) {
            Outcome::Expired
        } else {
            Outcome::Refused(Refusal::StaleExpiry)
        }
    }

    /// Ends the lease of `task` if there is one and `matches` accepts it. Returns whether a lease was ended.
    fn end_lease_if(&mut self, task: &Task, matches: impl FnOnce(&Lease) -> bool) -> bool {
        let Some(current) = self.tasks.get_mut(task) else { return false };
        let ends = current.as_ref().is_some_and(matches);
        if ends {
            *current = None;
        }
        ends
    }
}
