//! The replicated lease table: every member applies the same commands in the log's order and so holds the same
//! table.

use crate::types::{Command, Lease, MemberId, Outcome, Refusal, RequestId, Task, Token};
use crate::types::{MAX_MEMBERS, MAX_TASKS, TTL_MS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Who holds which task, and each member's last answer. Serializable whole, as a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    /// Every task ever asked for (at most [`MAX_TASKS`]), with its lease if one stands.
    tasks: BTreeMap<Task, Option<Lease>>,
    /// Each member's last request for each task and what it was answered (at most [`MAX_MEMBERS`] members of
    /// [`MAX_TASKS`] tasks). A member counts its requests for each task apart.
    answers: BTreeMap<(MemberId, Task), (RequestId, Outcome)>,
    /// The index of the last command applied.
    applied: u64,
}

impl LeaseTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The lease that stands on `task`, if any.
    pub fn lease(&self, task: &Task) -> Option<&Lease> {
        self.tasks.get(task).and_then(Option::as_ref)
    }

    /// Every task that has a lease standing.
    pub fn leases(&self) -> impl Iterator<Item = (&Task, &Lease)> {
        self.tasks.iter().filter_map(|(task, lease)| lease.as_ref().map(|l| (task, l)))
    }

    /// The last request id of `member` for `task` that was applied: a member that restarts goes on above it.
    pub fn last_request(&self, member: MemberId, task: &Task) -> Option<RequestId> {
        self.answers.get(&(member, task.clone())).map(|a| a.0)
    }

    /// The index of the last command applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Applies the command at log `index`, which is above every index applied before, and says what it decided.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        debug_assert!(index > self.applied, "index {index} applied after {}", self.applied);
        self.applied = index;
        match command {
            Command::Acquire { task, member, request, ttl_ms, holding } => {
                self.answered(*member, task, *request, |table| {
                    table.acquire(index, task, *member, *ttl_ms, *holding)
                })
            }
            Command::Release { task, member, request, token } => {
                self.answered(*member, task, *request, |table| table.release(task, *member, *token))
            }
            Command::Expire { task, token, renewal } => self.expire(task, *token, *renewal),
        }
    }

    /// Answers a request once: a copy of the last one gets the same answer, an older one is refused.
    fn answered(
        &mut self,
        member: MemberId,
        task: &Task,
        request: RequestId,
        act: impl FnOnce(&mut Self) -> Outcome,
    ) -> Outcome {
        let key = (member, task.clone());
        match self.answers.get(&key) {
            Some((last, outcome)) if *last == request => return outcome.clone(),
            Some((last, _)) if *last > request => return Outcome::Refused(Refusal::OldRequest),
            None if !self.answers.keys().any(|(m, _)| *m == member) && self.members() >= MAX_MEMBERS => {
                return Outcome::Refused(Refusal::TooManyMembers)
            }
            _ => {}
        }
        let outcome = act(self);
        // Only tasks the table knows are remembered, so answers stay within members times tasks.
        if self.tasks.contains_key(task) {
            self.answers.insert(key, (request, outcome.clone()));
        }
        outcome
    }

    /// Members that have asked.
    fn members(&self) -> usize {
        let mut last = None;
        self.answers.keys().filter(|(m, _)| last.replace(*m) != Some(*m)).count()
    }

    fn acquire(
        &mut self,
        index: u64,
        task: &Task,
        member: MemberId,
        ttl_ms: u64,
        holding: Option<Token>,
    ) -> Outcome {
        if !TTL_MS.contains(&ttl_ms) {
            return Outcome::Refused(Refusal::BadTtl);
        }
        if !Task::fits(&task.0) {
            return Outcome::Refused(Refusal::BadTask);
        }
        if !self.tasks.contains_key(task) && self.tasks.len() >= MAX_TASKS {
            return Outcome::Refused(Refusal::TooManyTasks);
        }
        let slot = self.tasks.entry(task.clone()).or_default();
        match slot {
            Some(lease) if lease.holder == member && holding == Some(lease.token) => {
                lease.renewal += 1;
                lease.ttl_ms = ttl_ms;
                Outcome::Renewed(lease.token)
            }
            Some(lease) if lease.holder != member => {
                Outcome::Busy { holder: lease.holder, token: lease.token }
            }
            // Free, or held by this member under a token it no longer names (it restarted): a new lease, a new
            // token, so that whatever the earlier one still sends is fenced off.
            _ => {
                let token = Token(index);
                *slot = Some(Lease { holder: member, token, ttl_ms, renewal: 0 });
                Outcome::Granted(token)
            }
        }
    }

    fn release(&mut self, task: &Task, member: MemberId, token: Token) -> Outcome {
        match self.tasks.get_mut(task) {
            Some(slot @ Some(_)) if slot.as_ref().is_some_and(|l| l.holder == member && l.token == token) => {
                *slot = None;
                Outcome::Released
            }
            _ => Outcome::Refused(Refusal::NotHolder),
        }
    }

    fn expire(&mut self, task: &Task, token: Token, renewal: u64) -> Outcome {
        match self.tasks.get_mut(task) {
            Some(slot @ Some(_))
                if slot.as_ref().is_some_and(|l| l.token == token && l.renewal == renewal) =>
            {
                *slot = None;
                Outcome::Expired
            }
            _ => Outcome::Refused(Refusal::Stale),
        }
    }
}
