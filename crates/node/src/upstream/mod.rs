//! Connections to index servers.
//!
//! The decision core knows an index server as a replica, identified by its number ([`ReplicaId`]). An
//! attempt sends one part of a query to one replica. A call is a frame that carries the parts of one or
//! more attempts to the same replica.
//!
//! - `pool`: [`ConnectionPools`] chooses the connection for each call, and opens or evicts connections as
//!   needed.
//! - `connection`: a [`Connection`](connection::Connection) is the state that the pools share with the task
//!   of the connection.
//! - `driver`: the task of one connection, which opens it, serves it until it ends, and reports its end.
//! - `transfer`: reads and writes the frames of one connection.
//!
//! [`ReplicaId`]: pinetrestle::interface::ReplicaId

mod connection;
mod driver;
mod pool;
mod transfer;

pub(crate) use pool::ConnectionPools;

use crate::config::LiveConfig;
use crate::counters::Counters;
use crate::invariants::Invariants;
use crate::memory_budget::MemoryBudget;
use crate::messages::Message;
use pinetrestle_recorder::Recorder;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Counters, log, flight recorder and invariant checks of the connections.
pub(crate) struct Instruments {
    /// Counters reported by `GET /stats`.
    pub(crate) counters: Rc<Counters>,
    /// Log that receives one line when a connection ends.
    pub(crate) log: Logger,
    /// Flight recorder for the events of parts and connections.
    pub(crate) recorder: Rc<Recorder>,
    /// Invariants, checked when the write of a part starts.
    pub(crate) invariants: Rc<Invariants>,
}

/// State shared by the pools and the tasks of all connections.
struct Shared {
    live_config: Rc<LiveConfig>,
    to_event_loop: mpsc::Sender<Message>,
    instruments: Instruments,
    /// Buffer for the bytes of a read, shared by all connections so that idle connections need no buffer.
    read_buffer: RefCell<Vec<u8>>,
    /// Limits the memory of large frames that are received partially.
    memory_budget: MemoryBudget,
    /// Number of evicted connections that have not ended yet. Each still holds a file descriptor, but does
    /// not count towards `max_server_connections`.
    evicting: Cell<usize>,
    /// Instant at which the host's clock was at 0.
    clock_origin: Instant,
}

impl Shared {
    /// Returns the time of the host's clock in microseconds.
    fn now_micros(&self) -> u64 {
        self.clock_origin.elapsed().as_micros() as u64
    }

    async fn send(&self, message: Message) {
        // Sending fails only if the event loop has ended, when messages are no longer needed.
        let _ = self.to_event_loop.send(message).await;
    }
}
