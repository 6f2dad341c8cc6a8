//! The replicated state machine of a fleet: leases, drains and releases, and the recovery from a power loss. Every member
//! applies the same entries in the log's order.
//!
//! Entries and the state are stored with postcard: the order of fields and of enum variants is the format.

use pinetrestle_fleet::{Command, LeaseTable, Outcome, Task, Token};
use pinetrestle_recovery::RecoveryState;
use pinetrestle_rollout::{RolloutState, RELEASE_TASK};
use serde::{Deserialize, Serialize};

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogEntry {
    /// On leases.
    Lease(Command),
    /// On drains and releases.
    Rollout(pinetrestle_rollout::Command),
    /// On the recovery from a power loss.
    Recovery(pinetrestle_recovery::Command),
}

/// The outcome of an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryOutcome {
    /// On leases.
    Lease(Outcome),
    /// On drains and releases.
    Rollout(pinetrestle_rollout::Outcome),
    /// On the recovery from a power loss.
    Recovery(pinetrestle_recovery::Outcome),
}

/// The replicated state; a snapshot is its serialized form.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StateMachine {
    /// The lease of each task.
    pub leases: LeaseTable,
    /// The plan, releases, drains, and what is away.
    pub rollout: RolloutState,
    /// Whether the fleet lost its power, and which front nodes are admitted.
    pub recovery: RecoveryState,
    /// The index of the last entry applied.
    applied_index: u64,
}

impl StateMachine {
    /// The index of the last entry applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The token of the release lease, which entries of drains and releases are compared with.
    pub fn release_token(&self) -> Option<Token> {
        self.leases.lease(&release_task()).map(|lease| lease.token)
    }

    /// Applies the entry at log `index`, above every index applied before.
    pub fn apply(&mut self, index: u64, entry: &LogEntry) -> EntryOutcome {
        self.applied_index = index;
        match entry {
            LogEntry::Lease(command) => EntryOutcome::Lease(self.leases.apply(index, command)),
            LogEntry::Rollout(command) => {
                let token = self.release_token();
                EntryOutcome::Rollout(self.rollout.apply(index, command, token))
            }
            LogEntry::Recovery(command) => {
                let token = self.release_token();
                EntryOutcome::Recovery(self.recovery.apply(command, token))
            }
        }
    }
}

/// The task whose lease gives the right to conduct releases.
pub fn release_task() -> Task {
    Task(RELEASE_TASK.to_owned())
}
