//! How a fault affects one direction of a connection, decided without I/O.

use crate::Fault;

/// A direction of a connection through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the client of the proxy to the target.
    Forward,
    /// From the target to the client of the proxy.
    Backward,
}

/// What the proxy does with the next chunk of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// Read the chunk and forward it after this many milliseconds.
    Pass(u64),
    /// Read nothing until the fault changes.
    Hold,
    /// Close the connection.
    Close,
}

impl Flow {
    /// Returns what to do with the next chunk in `direction` under `fault`. `jitter_ms` is the random part of
    /// the delay; it is used for [`Fault::Delay`] only and must be at most its `jitter_ms`.
    pub fn of(fault: Fault, direction: Direction, jitter_ms: u64) -> Flow {
        match (fault, direction) {
            (Fault::Heal, _) | (Fault::OneWay, Direction::Forward) => Flow::Pass(0),
            (Fault::Drop, _) => Flow::Close,
            (Fault::Stall, _) | (Fault::OneWay, Direction::Backward) => Flow::Hold,
            (Fault::Delay { ms, .. }, _) => Flow::Pass(ms + jitter_ms),
        }
    }
}
