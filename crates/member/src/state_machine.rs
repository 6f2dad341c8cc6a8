//! The replicated state machine of a fleet: leases, drains and releases, and the recovery from a power loss.
//! Every member applies the same entries in log order, and so reaches the same state.
//!
//! Log entries and the state are stored with postcard: the order of fields and of enum variants is part of
//! the format.

use pinetrestle_fleet::{Command, LeaseTable, Outcome, Task, Token};
use pinetrestle_recovery::RecoveryState;
use pinetrestle_rollout::{RolloutState, RELEASE_TASK};
use serde::{Deserialize, Serialize};

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogEntry {
    /// A command on leases.
    Lease(Command),
    /// A command on drains and releases.
    Rollout(pinetrestle_rollout::Command),
    /// A command on the recovery from a power loss.
    Recovery(pinetrestle_recovery::Command),
}

/// The outcome of applying a [`LogEntry`].
#[derive(Debug, Clone, PartialEq)]
pub enum EntryOutcome {
    /// The outcome of a command on leases.
    Lease(Outcome),
    /// The outcome of a command on drains and releases.
    Rollout(pinetrestle_rollout::Outcome),
    /// The outcome of a command on the recovery from a power loss.
    Recovery(pinetrestle_recovery::Outcome),
}

/// The replicated state. The data of a snapshot is this type encoded with postcard.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StateMachine {
    /// The lease of each task.
    pub leases: LeaseTable,
    /// The plan, the release, drains, and the state of each front node and index server.
    pub rollout: RolloutState,
    /// The stage of the recovery from a power loss, and the front nodes that are admitted.
    pub recovery: RecoveryState,
    /// The log index of the last applied entry.
    applied_index: u64,
}

impl StateMachine {
    /// Returns the log index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the fencing token of the release lease. A coordinator's command on releases, ramps or recovery
    /// is refused or ignored if it carries another token.
    pub fn release_token(&self) -> Option<Token> {
        self.leases.lease(&release_task()).map(|lease| lease.token)
    }

    /// Applies the entry at log index `index`, which must be higher than that of every entry applied before.
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

/// Returns the task whose lease holder coordinates releases; its lease is called the release lease.
pub fn release_task() -> Task {
    Task(RELEASE_TASK.to_owned())
}
