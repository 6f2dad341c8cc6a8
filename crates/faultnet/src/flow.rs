//! What a fault does to one direction of one connection: a pure decision.

use crate::Fault;

/// A direction of a connection through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connected towards the target.
    Forward,
    /// From the target back.
    Backward,
}

/// What happens to the next chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// Read it and pass it after so many milliseconds (0: at once).
    Pass(u64),
    /// Read nothing until the fault changes.
    Hold,
    /// End the connection.
    Close,
}

impl Flow {
    /// The flow of `direction` under `fault`; `jitter` is a draw in `0..=jitter_ms`.
    pub fn of(fault: Fault, direction: Direction, jitter: u64) -> Flow {
        match (fault, direction) {
            (Fault::Heal, _) | (Fault::OneWay, Direction::Forward) => Flow::Pass(0),
            (Fault::Drop, _) => Flow::Close,
            (Fault::Stall, _) | (Fault::OneWay, Direction::Backward) => Flow::Hold,
            (Fault::Delay { ms, .. }, _) => Flow::Pass(ms + jitter),
        }
    }
}
