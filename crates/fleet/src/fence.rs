//! The fence before whatever acts on a lease's behalf: no token lower than one seen.

use crate::types::{Task, Token, MAX_TASKS};
use std::collections::BTreeMap;

/// An action refused for its token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stale {
    /// The highest token the fence had seen for the task.
    pub seen: Token,
}

/// The highest token seen for each task, at most [`MAX_TASKS`] tasks.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct Fence {
    seen: BTreeMap<Task, Token>,
}

impl Fence {
    /// A fence that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an action under `token` on `task`, or refuses it when a higher token was seen; a task beyond
    /// [`MAX_TASKS`] is refused as if a token above all were seen.
    ///
    /// # Errors
    /// [`Stale`] with the highest token seen.
    pub fn admit(&mut self, task: &Task, token: Token) -> Result<(), Stale> {
        let known = self.seen.len();
        match self.seen.get_mut(task) {
            Some(seen) if token < *seen => Err(Stale { seen: *seen }),
            Some(seen) => {
                *seen = token;
                Ok(())
            }
            None if known >= MAX_TASKS => Err(Stale { seen: Token(u64::MAX) }),
            None => {
                self.seen.insert(task.clone(), token);
                Ok(())
            }
        }
    }

    /// The highest token seen for `task`.
    pub fn seen(&self, task: &Task) -> Option<Token> {
        self.seen.get(task).copied()
    }
}
