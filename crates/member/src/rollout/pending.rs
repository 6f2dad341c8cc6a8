//! Operators' commands that were sent to this member and whose outcome is not known yet.

use crate::wire::Response;
use pinetrestle_fleet::RetryTimer;
use pinetrestle_rollout::{Command, RolloutState};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The maximum number of pending commands at one member.
const MAX_PENDING: usize = 64;
/// The time in milliseconds after which a command without an outcome is rejected.
const OUTCOME_TIMEOUT_MS: u64 = 10_000;

/// A command that waits for its outcome.
struct PendingCommand {
    command: Command,
    /// Receives the outcome.
    response: oneshot::Sender<Response>,
    submitted_ms: u64,
    /// Times when the command is proposed again, since a proposal may be lost.
    proposal_timer: RetryTimer,
}

/// The commands that wait for their outcome, by command id. A command takes effect once per id, so it is safe
/// to propose it again.
#[derive(Default)]
pub(super) struct PendingCommands {
    by_id: BTreeMap<String, PendingCommand>,
}

impl PendingCommands {
    /// Accepts a command at `now`, or rejects it immediately.
    pub(super) fn submit(
        &mut self,
        now: u64,
        command: Command,
        response: oneshot::Sender<Response>,
        rollout_enabled: bool,
    ) {
        let reject = |response: oneshot::Sender<Response>, reason: &str| {
            let _ = response.send(Response::Rejected(reason.to_owned()));
        };
        let Some(id) = command.id().map(str::to_owned) else {
            return reject(response, "not an operator command");
        };
        if !rollout_enabled {
            return reject(response, "this member's configuration file has no rollout section");
        }
        if self.by_id.len() >= MAX_PENDING {
            return reject(response, &format!("{MAX_PENDING} commands are already pending at this member"));
        }
        let pending =
            PendingCommand { command, response, submitted_ms: now, proposal_timer: RetryTimer::default() };
        self.by_id.insert(id, pending);
    }

    /// Responds to the commands that have an outcome in `state` or have timed out, and returns the commands
    /// to propose at `now`.
    pub(super) fn poll(&mut self, now: u64, state: &RolloutState) -> Vec<Command> {
        let mut commands = Vec::new();
        let all_pending = std::mem::take(&mut self.by_id);
        for (id, mut pending) in all_pending {
            if let Some(outcome) = state.command_outcome(&id) {
                let _ = pending.response.send(Response::Applied(outcome.clone()));
                continue;
            }
            if now >= pending.submitted_ms + OUTCOME_TIMEOUT_MS {
                let reason = "the command was not applied in time; a majority of the members may be \
                              unavailable; it is safe to retry with the same --id";
                let _ = pending.response.send(Response::Rejected(reason.to_owned()));
                continue;
            }
            if pending.proposal_timer.fire_if_due(now) {
                commands.push(pending.command.clone());
            }
            self.by_id.insert(id, pending);
        }
        commands
    }
}
