//! The outcomes of recent operator commands, kept so that a command that is applied twice takes effect once.

use crate::limits::MAX_STORED_OUTCOMES;
use crate::outcome::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The outcome of one operator command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredOutcome {
    command_id: String,
    outcome: Outcome,
}

/// The outcomes of the last [`MAX_STORED_OUTCOMES`] operator commands, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OutcomeLog {
    outcomes: VecDeque<StoredOutcome>,
}

impl OutcomeLog {
    /// Returns the outcome of the command with id `command_id`, or `None` if the log does not hold it.
    pub(crate) fn find(&self, command_id: &str) -> Option<&Outcome> {
        self.outcomes.iter().find(|stored| stored.command_id == command_id).map(|stored| &stored.outcome)
    }

    /// Appends an outcome, and drops the oldest one if the log is full.
    pub(crate) fn push(&mut self, command_id: &str, outcome: Outcome) {
        if self.outcomes.len() >= MAX_STORED_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(StoredOutcome { command_id: command_id.to_owned(), outcome });
    }
}
