//! Applies committed entries to the state machine and logs their outcomes.

use super::Member;
use crate::rollout::log_reason;
use crate::state_machine::{EntryOutcome, LogEntry};
use crate::wire;
use pinetrestle_fleet::{Command, Lease, Outcome};
use raft::eraftpb::{Entry, EntryType};
use slog::{info, warn};

impl Member {
    /// Applies committed entries in log order. Entries that the state machine already contains, because its
    /// snapshot covers them, are skipped.
    pub(super) fn apply_committed(&mut self, entries: Vec<Entry>) {
        let now = self.now_ms();
        for entry in entries {
            let new = entry.index > self.state.applied_index();
            // An entry without data is the one that a new leader appends at the start of its term.
            if !new || entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
                continue;
            }
            match wire::decode::<LogEntry>(&entry.data) {
                Some(decoded) => self.apply(now, entry.index, &decoded),
                None => warn!(self.log, "failed to decode a committed entry"; "index" => entry.index),
            }
        }
        self.expiry.observe(now, &self.state.leases);
    }

    fn apply(&mut self, now: u64, index: u64, entry: &LogEntry) {
        let previous = match entry {
            LogEntry::Lease(command) => self.state.leases.lease(command.task()).cloned(),
            LogEntry::Rollout(_) | LogEntry::Recovery(_) => None,
        };
        match (entry, self.state.apply(index, entry)) {
            (LogEntry::Lease(command), EntryOutcome::Lease(outcome)) => {
                self.log_lease(command, &outcome, previous.as_ref());
                self.leases.on_applied(now, command, &outcome);
            }
            (LogEntry::Rollout(command), EntryOutcome::Rollout(outcome)) => {
                if let Some(reason) = log_reason(&outcome) {
                    info!(self.log, "rollout"; "index" => index, "command" => ?command, "reason" => reason);
                }
            }
            (LogEntry::Recovery(command), EntryOutcome::Recovery(pinetrestle_recovery::Outcome::Applied)) => {
                let recovery = &self.state.recovery;
                info!(self.log, "recovery"; "index" => index, "command" => ?command,
                    "stage" => ?recovery.stage(), "epoch" => recovery.epoch());
            }
            _ => {}
        }
    }

    /// Logs each lease that begins, and each lease that ends with the reason. `previous` is the lease of the
    /// task before `command` was applied.
    fn log_lease(&self, command: &Command, outcome: &Outcome, previous: Option<&Lease>) {
        let task = &command.task().0;
        match outcome {
            Outcome::Granted(token) if previous.map(|lease| lease.token) != Some(*token) => {
                self.log_lease_end(task, previous, "replaced_after_restart");
                let holder = match command {
                    Command::Acquire { member, .. } => member.0,
                    _ => 0,
                };
                info!(self.log, "lease granted"; "task" => task, "holder" => holder, "token" => token.0);
            }
            Outcome::Released => self.log_lease_end(task, previous, "released"),
            Outcome::Expired => self.log_lease_end(task, previous, "expired"),
            _ => {}
        }
    }

    fn log_lease_end(&self, task: &str, lease: Option<&Lease>, reason: &str) {
        if let Some(lease) = lease {
            info!(self.log, "lease ended"; "task" => task, "holder" => lease.holder.0,
                "token" => lease.token.0, "reason" => reason);
        }
    }
}
