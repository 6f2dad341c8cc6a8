//! This member's own side of leases: one holder for each task it wants, and the actions under the leases it holds.

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

/// The leases that this member wants, holds and acts under. Time is the member's monotonic milliseconds.
pub(super) struct OwnLeases {
    member: MemberId,
    lease_ms: u64,
    /// Milliseconds between two actions of a task.
    action_interval_ms: u64,
    /// Request ids of this incarnation lie above it.
    base_request: RequestId,
    holders: BTreeMap<Task, LeaseHolder>,
    /// The token under which this member last acted on each task, to log when that starts and ends.
    acting: BTreeMap<Task, Token>,
    last_action_ms: u64,
    last_action_seq: u64,
    log: Logger,
}

impl OwnLeases {
    /// The holders of the tasks that the file names, and of the release lease if the member can be the conductor.
    pub(super) fn new(config: &FleetConfig, incarnation: u64, can_conduct: bool, log: Logger) -> Self {
        let mut leases = Self {
            member: MemberId(config.id),
            lease_ms: config.lease_ms,
            action_interval_ms: config.action_interval_ms,
            base_request: RequestId(incarnation << 32),
            holders: BTreeMap::new(),
            acting: BTreeMap::new(),
            last_action_ms: 0,
            last_action_seq: 0,
            log,
        };
        let release = can_conduct.then(release_task);
        for task in config.tasks.iter().cloned().map(Task).chain(release) {
            leases.holder_of(task).set_wanted(true);
        }
        leases
    }

    /// The holder of `task`, a new one if there is none.
    fn holder_of(&mut self, task: Task) -> &mut LeaseHolder {
        let new = LeaseHolder::new(task.clone(), self.member, self.lease_ms, Some(self.base_request));
        self.holders.entry(task).or_insert(new)
    }

    /// Acquires the lease of a task from now on, or releases it.
    pub(super) fn set_wanted(&mut self, task: &str, wanted: bool) -> Result<(), MemberError> {
        if !Task::is_valid_name(task) {
            return Err(MemberError::InvalidTaskName { length: task.len() });
        }
        let task = Task(task.to_owned());
        if !self.holders.contains_key(&task) && self.holders.len() >= MAX_TASKS {
            return Err(MemberError::TooManyTasks);
        }
        self.holder_of(task.clone()).set_wanted(wanted);
        info!(self.log, "lease wanted"; "task" => &task.0, "wanted" => wanted);
        Ok(())
    }

    /// The commands of the holders to propose at `now`.
    pub(super) fn poll(&mut self, now: u64) -> Vec<Command> {
        self.holders.values_mut().filter_map(|holder| holder.poll(now)).collect()
    }

    /// The token of the release lease, if this member may act under it at `now`.
    pub(super) fn release_token(&mut self, now: u64) -> Option<Token> {
        self.holders.get_mut(&release_task())?.valid_token(now)
    }

    /// Adds the actions that are due at `now` under the leases held. The release lease has none: its holder conducts
    /// releases.
    pub(super) fn act(&mut self, now: u64, actions: &mut Vec<Action>) {
        let due = now.saturating_sub(self.last_action_ms) >= self.action_interval_ms;
        let release = release_task();
        for (task, holder) in &mut self.holders {
            let token = holder.valid_token(now);
            log_acting(&mut self.acting, task, token, holder.is_wanted(), &self.log);
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

    /// Notifies the holder of the outcome of its own request, or that its task has become free.
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

    /// The status of each holder at `now`.
    pub(super) fn status(&mut self, now: u64) -> Vec<OwnTaskView> {
        self.holders.iter_mut().map(|(task, holder)| holder_status(task, holder, now)).collect()
    }
}

/// Logs where acting on a task begins, changes its token or ends, and keeps the token in `acting`.
fn log_acting(
    acting: &mut BTreeMap<Task, Token>,
    task: &Task,
    token: Option<Token>,
    wanted: bool,
    log: &Logger,
) {
    let last = acting.get(task).copied();
    if token == last {
        return;
    }
    if let Some(token) = token {
        info!(log, "acting"; "task" => &task.0, "token" => token.0);
        acting.insert(task.clone(), token);
    } else if let Some(last) = last {
        let reason = if wanted { "lease_ran_out" } else { "released" };
        info!(log, "acting stopped"; "task" => &task.0, "token" => last.0, "reason" => reason);
        acting.remove(task);
    }
}

fn holder_status(task: &Task, holder: &mut LeaseHolder, now: u64) -> OwnTaskView {
    // A lease that has run out is dropped here, before its state is read.
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
