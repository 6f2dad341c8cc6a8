//! The leases that this member requests for itself: one [`LeaseHolder`] for each task, and the actions that
//! the member takes under the leases it holds.

use crate::config::FleetConfig;
use crate::error::MemberError;
use crate::state_machine::release_task;
use crate::status::OwnTaskView;
use crate::wire::{self, Action};
use pinetrestle_fleet::{
    Command, LeaseHolder, LeaseHolderState, MemberId, Outcome, RequestId, Task, Token, MAX_TASKS,
};
use slog::{info, Logger};
use std::collections::BTreeMap;

/// The leases that this member wants or holds. Times are milliseconds of the member's monotonic clock.
pub(super) struct OwnLeases {
    member: MemberId,
    /// The time to live of each lease, in milliseconds.
    lease_ms: u64,
    /// The time between two actions on a task, in milliseconds.
    action_interval_ms: u64,
    /// Request ids of this incarnation start above this value, and so above those of earlier incarnations.
    request_id_base: RequestId,
    holders: BTreeMap<Task, LeaseHolder>,
    /// The token under which this member may act on each task, as of the last tick. Kept to log when the
    /// member starts and stops acting.
    acting_tokens: BTreeMap<Task, Token>,
    last_action_ms: u64,
    last_action_seq: u64,
    log: Logger,
}

impl OwnLeases {
    /// Creates a lease holder for each task in the configuration, and one for the release lease if
    /// `can_coordinate` is true, that is, if this member may coordinate releases.
    pub(super) fn new(config: &FleetConfig, incarnation: u64, can_coordinate: bool, log: Logger) -> Self {
        let mut leases = Self {
            member: MemberId(config.id),
            lease_ms: config.lease_ms,
            action_interval_ms: config.action_interval_ms,
            request_id_base: RequestId(incarnation << 32),
            holders: BTreeMap::new(),
            acting_tokens: BTreeMap::new(),
            last_action_ms: 0,
            last_action_seq: 0,
            log,
        };
        let release = can_coordinate.then(release_task);
        for task in config.tasks.iter().cloned().map(Task).chain(release) {
            leases.holder_or_insert(task).set_wanted(true);
        }
        leases
    }

    /// Returns the lease holder of `task`, inserting a new one if there is none.
    fn holder_or_insert(&mut self, task: Task) -> &mut LeaseHolder {
        let new = LeaseHolder::new(task.clone(), self.member, self.lease_ms, Some(self.request_id_base));
        self.holders.entry(task).or_insert(new)
    }

    /// Sets whether this member wants the lease of `task`: if so, it acquires and renews the lease from now
    /// on, otherwise it releases it.
    ///
    /// # Errors
    /// [`MemberError::InvalidTaskName`] and [`MemberError::TooManyTasks`].
    pub(super) fn set_wanted(&mut self, task: &str, wanted: bool) -> Result<(), MemberError> {
        if !Task::is_valid_name(task) {
            return Err(MemberError::InvalidTaskName { length: task.len() });
        }
        let task = Task(task.to_owned());
        if !self.holders.contains_key(&task) && self.holders.len() >= MAX_TASKS {
            return Err(MemberError::TooManyTasks);
        }
        self.holder_or_insert(task.clone()).set_wanted(wanted);
        info!(self.log, "lease wanted"; "task" => &task.0, "wanted" => wanted);
        Ok(())
    }

    /// Returns the lease requests, renewals and releases to propose at `now`.
    pub(super) fn poll(&mut self, now: u64) -> Vec<Command> {
        self.holders.values_mut().filter_map(|holder| holder.poll(now)).collect()
    }

    /// Returns the token of the release lease if this member may act under that lease at `now`.
    pub(super) fn release_token(&mut self, now: u64) -> Option<Token> {
        self.holders.get_mut(&release_task())?.valid_token(now)
    }

    /// Appends the actions that are due at `now` under the leases held to `actions`. The release lease has no
    /// actions for the task sink; its holder coordinates releases instead.
    pub(super) fn collect_due_actions(&mut self, now: u64, actions: &mut Vec<Action>) {
        let due = now.saturating_sub(self.last_action_ms) >= self.action_interval_ms;
        let release = release_task();
        for (task, holder) in &mut self.holders {
            let token = holder.valid_token(now);
            log_acting_change(&mut self.acting_tokens, task, token, holder.is_wanted(), &self.log);
            let Some(token) = token.filter(|_| due && *task != release) else { continue };
            self.last_action_seq += 1;
            actions.push(Action {
                task: task.0.clone(),
                token: token.0,
                seq: self.last_action_seq,
                sent_us: wire::wall_clock_us(),
            });
        }
        if due {
            self.last_action_ms = now;
        }
    }

    /// Passes an applied lease command to this member's holder of the task: the outcome of a request that
    /// this member made, and the end of any member's lease, after which the task is free.
    pub(super) fn on_applied(&mut self, now: u64, command: &Command, outcome: &Outcome) {
        let Some(holder) = self.holders.get_mut(command.task()) else { return };
        if let Command::Acquire { member, request, .. } | Command::Release { member, request, .. } = command {
            if *member == self.member {
                holder.handle_outcome(now, *request, outcome);
            }
        }
        if matches!(outcome, Outcome::Released | Outcome::Expired) {
            holder.lease_ended(now);
        }
    }

    /// Returns the status of each task at `now`, for the status report.
    pub(super) fn status(&mut self, now: u64) -> Vec<OwnTaskView> {
        self.holders.iter_mut().map(|(task, holder)| holder_status(task, holder, now)).collect()
    }
}

/// Logs when this member starts or stops acting on `task`, or acts under a new token, and records the token
/// in `acting_tokens`.
fn log_acting_change(
    acting_tokens: &mut BTreeMap<Task, Token>,
    task: &Task,
    token: Option<Token>,
    wanted: bool,
    log: &Logger,
) {
    let last = acting_tokens.get(task).copied();
    if token == last {
        return;
    }
    if let Some(token) = token {
        info!(log, "acting"; "task" => &task.0, "token" => token.0);
        acting_tokens.insert(task.clone(), token);
    } else if let Some(last) = last {
        let reason = if wanted { "lease_ran_out" } else { "released" };
        info!(log, "acting stopped"; "task" => &task.0, "token" => last.0, "reason" => reason);
        acting_tokens.remove(task);
    }
}

fn holder_status(task: &Task, holder: &mut LeaseHolder, now: u64) -> OwnTaskView {
    // This call makes the holder of an expired lease idle, so it precedes the reads of the state.
    let may_act = holder.valid_token(now).is_some();
    let state = match holder.state() {
        LeaseHolderState::Idle { .. } => "idle".to_owned(),
        LeaseHolderState::Acquiring { .. } => "asking".to_owned(),
        LeaseHolderState::Holding { token, .. } => format!("holding under token {}", token.0),
    };
    let may_act_ms = match holder.state() {
        LeaseHolderState::Holding { expires_at_ms, .. } if may_act => Some(expires_at_ms - now),
        _ => None,
    };
    OwnTaskView { task: task.0.clone(), wanted: holder.is_wanted(), state, may_act_ms }
}
