//! Client connections of the front node: HTTP/1.1 connections that carry queries and their answers.
//!
//! - `listener`: the accept loop.
//! - `admission`: the limit on open connections, and the eviction of waiting connections near that limit.
//! - `connection`: the lifecycle of one connection, from accept to close.
//! - `request_reader`: reads the next request of a connection and enforces the read timeouts.
//! - `socket`: reads, writes and the lingering close on the socket of one connection.
//! - `pipeline_overflow`, `pipeline_rejection`: requests that a client pipelines beyond the read-ahead limit.
//! - `receive_times`: the times at which the bytes of a connection were received.
//! - `routes`: dispatch of a request by method and path, and validation of a query.
//! - `response`: the HTTP response to a request.
//!
//! Each connection is served by a task of its own. All these tasks share one [`ClientContext`].

mod admission;
mod connection;
mod listener;
mod pipeline_overflow;
mod pipeline_rejection;
mod receive_times;
mod request_reader;
mod response;
mod routes;
mod socket;

pub(crate) use listener::accept_connections;

use crate::config::LiveConfig;
use crate::counters::Counters;
use crate::invariants::Invariants;
use crate::memory_budget::MemoryBudget;
use crate::messages::Message;
use crate::pause_detector::PauseDetector;
use admission::Admission;
use pinetrestle_recorder::Recorder;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Size in bytes of the shared read buffer, and therefore the maximum size of one read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The shared services of the front node that client connections use.
pub(crate) struct ClientServices {
    /// The current configuration.
    pub(crate) live_config: Rc<LiveConfig>,
    /// The counters reported at `/stats`.
    pub(crate) counters: Rc<Counters>,
    /// Sends queries and disconnects of clients to the event loop.
    pub(crate) to_event_loop: mpsc::Sender<Message>,
    /// Logs one line per closed connection, and failures of `accept`.
    pub(crate) log: Logger,
    /// Whether the front node is ready: it knows index servers and is not shutting down.
    pub(crate) ready: Rc<Cell<bool>>,
    /// The flight recorder, which records the stages of each query.
    pub(crate) recorder: Rc<Recorder>,
    /// Checks that every request that was read gets a response.
    pub(crate) invariants: Rc<Invariants>,
    /// Limits the memory of large requests.
    pub(crate) memory_budget: MemoryBudget,
    /// Detects pauses of this process, during which received bytes wait unread in the kernel.
    pub(crate) pause_detector: Rc<PauseDetector>,
}

/// The state shared by all client connections.
pub(crate) struct ClientContext {
    services: ClientServices,
    admission: Admission,
    /// The read buffer of all connections, so that an idle connection holds no buffer of its own.
    read_buffer: RefCell<Vec<u8>>,
    /// The number of the next query. Query numbers are unique across all client connections.
    next_query_number: Cell<u64>,
    /// The time by which pending requests have to be answered; `None` until a shutdown begins.
    shutdown_deadline: Cell<Option<Instant>>,
}

impl ClientContext {
    /// Creates a context without connections.
    pub(crate) fn new(services: ClientServices) -> ClientContext {
        let admission = Admission::new(services.live_config.clone(), services.counters.clone());
        ClientContext {
            services,
            admission,
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            next_query_number: Cell::new(0),
            shutdown_deadline: Cell::new(None),
        }
    }

    /// Sets the deadline of a shutdown. Requests whose first bytes have been received are answered before it.
    pub(crate) fn begin_shutdown(&self, deadline: Instant) {
        self.shutdown_deadline.set(Some(deadline));
    }

    /// Waits until any client connection is closed.
    pub(crate) async fn connection_closed(&self) {
        self.admission.connection_closed().await;
    }

    /// Allocates the number of a query, by which messages to the event loop refer to the query.
    fn allocate_query_number(&self) -> u64 {
        let query_number = self.next_query_number.get();
        self.next_query_number.set(query_number + 1);
        query_number
    }
}
