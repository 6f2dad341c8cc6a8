//! Operators' commands that wait for their outcome at one member.

use crate::wire::Response;
use pinetrestle_fleet::RetryTimer;
use pinetrestle_rollout::{Command, RolloutState};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Commands that wait at one member, at most.
const MAX_PENDING: usize = 64;
/// Milliseconds after which a command without an outcome is rejected.
const OUTCOME_TIMEOUT_MS: u64 = 10_000;

/// One command that waits.
struct PendingCommand {
    command: Command,
    response: oneshot::Sender<Response>,
    submitted_ms: u64,
    /// When it was last proposed: a proposal may be lost.
    proposed: RetryTimer,
}

/// The commands that wait, by their id, which makes proposing them again idempotent.
#[derive(Default)]
pub(super) struct PendingCommands {
    by_id: BTreeMap<String, PendingCommand>,
}

impl PendingCommands {
    /// Takes a command at `now`, or rejects it at once.
    pub(super) fn submit(
        &mut self,
        now: u64,
        command: Command,
        response: oneshot::Sender<Response>,
        takes_part: bool,
    ) {
        let reject = |response: oneshot::Sender<Response>, reason: &str| {
            let _ = response.send(Response::Rejected(reason.to_owned()));
        };
        let Some(id) = command.id().map(str::to_owned) else {
            return reject(response, "not an operators' command");
        };
        if !takes_part {
            return reject(response, "this member's file has no rollout part");
        }
        if self.by_id.len() >= MAX_PENDING {
            return reject(response, &format!("{MAX_PENDING} commands wait already"));
        }
        let pending =
            PendingCommand { command, response, submitted_ms: now, proposed: RetryTimer::default() };
        self.by_id.insert(id, pending);
    }

    /// Responds to the commands that have an outcome in `state` or have waited too long, and returns those to propose
    /// at `now`.
    pub(super) fn poll(&mut self, now: u64, state: &RolloutState) -> Vec<Command> {
        let mut commands = Vec::new();
        let waiting = std::mem::take(&mut self.by_id);
        for (id, mut pending) in waiting {
            if let Some(outcome) = state.command_outcome(&id) {
                let _ = pending.response.send(Response::Applied(outcome.clone()));
                continue;
            }
            if now >= pending.submitted_ms + OUTCOME_TIMEOUT_MS {
                let reason = "nothing was decided in time (no majority?); the same --id asks again safely";
                let _ = pending.response.send(Response::Rejected(reason.to_owned()));
                continue;
            }
            if pending.proposed.fire_if_due(now) {
                commands.push(pending.command.clone());
            }
            self.by_id.insert(id, pending);
        }
        commands
    }
}
