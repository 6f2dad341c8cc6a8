//! A budget of operations after which a task lets the other tasks of its thread run.

use std::cell::Cell;
use std::io;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Number of operations in a row after which a task yields. One operation is a read of at most 16 KiB, or a
/// request that was already buffered.
const OPERATIONS_PER_TURN: u32 = 4;

/// Limits how long a task that serves one peer occupies its thread.
///
/// While a socket has unread bytes, [`TcpStream::readable`] returns without suspending the task, and
/// [`TcpStream::try_read`] does not count toward the cooperative budget of the runtime. A peer that sends
/// faster than its bytes are processed would therefore keep all other tasks of the thread from running. Each
/// operation on the bytes of a peer has to [`spend`](TaskBudget::spend) from a budget.
#[derive(Debug, Default)]
pub struct TaskBudget {
    /// Operations since the other tasks last ran.
    spent: Cell<u32>,
    yields: Cell<u64>,
}

impl TaskBudget {
    /// Accounts for one operation, which the caller performs afterwards. If the budget is used up, lets the
    /// other tasks run first. Returns whether it did.
    pub async fn spend(&self) -> bool {
        let is_used_up = self.spent.get() >= OPERATIONS_PER_TURN;
        if is_used_up {
            yield_now().await;
            self.yields.set(self.yields.get() + 1);
            self.replenish();
        }
        self.spent.set(self.spent.get() + 1);
        is_used_up
    }

    /// Resets the budget, because the socket has no unread bytes and the caller is about to wait for more.
    pub fn replenish(&self) {
        self.spent.set(0);
    }

    /// Returns how often the budget was used up.
    pub fn yields(&self) -> u64 {
        self.yields.get()
    }

    /// Waits until `stream` can be read, at the cost of one operation. Returns whether the other tasks were
    /// let run first because the budget was used up.
    ///
    /// # Errors
    /// The errors of [`TcpStream::readable`].
    pub async fn readable(&self, stream: &TcpStream) -> io::Result<bool> {
        let has_yielded = self.spend().await;
        stream.readable().await?;
        Ok(has_yielded)
    }
}
