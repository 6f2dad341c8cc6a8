//! Fencing for a resource that lease holders act on: actions whose token is lower than one already admitted
//! are rejected.

use crate::types::{Task, Token, MAX_TASKS};
use std::collections::BTreeMap;

/// The error for an action that is rejected because of its fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("stale fencing token: an action with token {} has already been admitted", .highest.0)]
pub struct StaleToken {
    /// The highest token that the fence has admitted for the task, or `u64::MAX` if the fence holds no more
    /// tasks.
    pub highest: Token,
}

/// Keeps the highest token admitted for each task, for at most [`MAX_TASKS`] tasks, and rejects lower tokens.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<Task, Token>,
}

impl Fence {
    /// Creates a fence that has admitted no token.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits an action on `task` with the fencing token `token`, unless an action with a higher token was
    /// admitted before.
    ///
    /// # Errors
    /// [`StaleToken`] with the highest token admitted for `task`, or with `u64::MAX` if `task` is new and the
    /// fence already holds [`MAX_TASKS`] tasks.
    pub fn admit(&mut self, task: &Task, token: Token) -> Result<(), StaleToken> {
        if let Some(highest) = self.highest.get_mut(task) {
            if token < *highest {
                return Err(StaleToken { highest: *highest });
            }
            *highest = token;
            return Ok(());
        }
        if self.highest.len() >= MAX_TASKS {
            return Err(StaleToken { highest: Token(u64::MAX) });
        }
        self.highest.insert(task.clone(), token);
        Ok(())
    }

    /// Returns the highest token admitted for `task`, or `None` if no action on it was admitted.
    pub fn highest_token(&self, task: &Task) -> Option<Token> {
        self.highest.get(task).copied()
    }
}
