//! Connections to index servers.
//!
//! [`ConnectionPools`] (`pool`) chooses the connection that carries a call, opening or evicting one where needed. A
//! [`Connection`](connection::Connection) is the state that the pool shares with the task that drives it: `driver`
//! takes one connection from its connect to its end, and `transfer` reads and writes its frames.

mod connection;
mod driver;
mod pool;
mod transfer;

pub(crate) use pool::ConnectionPools;

use crate::config::LiveConfig;
use crate::counters::Counters;
use crate::invariants::Invariants;
use crate::messages::Message;
use pinetrestle_recorder::Recorder;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Where connections count, log, record and check what they do.
pub(crate) struct Instruments {
    /// The counters of `/stats`.
    pub(crate) counters: Rc<Counters>,
    /// Logs one line a connection.
    pub(crate) log: Logger,
    /// Records each event of a part.
    pub(crate) recorder: Rc<Recorder>,
    /// Checks each part as its first byte is written.
    pub(crate) invariants: Rc<Invariants>,
}

/// What the pools share with the drivers of all connections.
struct Shared {
    live_config: Rc<LiveConfig>,
    to_event_loop: mpsc::Sender<Message>,
    instruments: Instruments,
    /// The buffer that every connection reads into: an idle connection holds none of its own.
    read_buffer: RefCell<Vec<u8>>,
    /// Connections that were evicted and have not ended yet. They hold descriptors but no place in the pool.
    evicting: Cell<usize>,
    /// When the host's clock stood at 0.
    start: Instant,
}

impl Shared {
    /// The host's clock in microseconds.
    fn now_micros(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    async fn send(&self, message: Message) {
        // The receiver is there as long as the program serves.
        let _ = self.to_event_loop.send(message).await;
    }
}
