//! State of one connection to an index server, shared by the connection pools and the task of the connection.

use crate::close_reason::CloseReason;
use crate::host::Endpoint;
use pinetrestle::interface::ReplicaId;
use pinetrestle_protocol::connection::{ConnectionState, OutgoingPart};
use pinetrestle_protocol::names::FrameFormat;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection to an index server.
pub(super) struct Connection {
    /// Number of the connection, unique among all connections to index servers.
    pub(super) number: u64,
    /// Replica that the connection was opened to.
    pub(super) replica: ReplicaId,
    /// Endpoint of the replica at the time the connection was opened.
    pub(super) endpoint: Endpoint,
    /// Protocol state: parts in flight and frames that have not been written yet.
    pub(super) state: RefCell<ConnectionState>,
    /// Time of the last call, or of creation if there has been none.
    pub(super) last_call_at: Cell<Instant>,
    /// Number of calls sent on this connection.
    pub(super) calls: Cell<u64>,
    /// Number of parts in these calls.
    pub(super) parts: Cell<u64>,
    /// Whether the connection accepts no more calls. It then ends once no parts are in flight.
    closed_to_calls: Cell<bool>,
    /// Whether the connection was closed to calls because too many parts in a row were cancelled without
    /// any bytes being received in between.
    unresponsive: Cell<bool>,
    /// Whether the connection was closed while idle to make room for a new one. It no longer counts towards
    /// the maximum number of connections.
    evicted: Cell<bool>,
    /// Notified when there may be frames to write, or when the connection was closed to calls.
    wake: Notify,
}

impl Connection {
    /// Creates the state of a connection that is not established yet.
    pub(super) fn new(
        number: u64,
        replica: ReplicaId,
        endpoint: Endpoint,
        frame_format: Rc<FrameFormat>,
    ) -> Connection {
        Connection {
            number,
            replica,
            endpoint,
            state: RefCell::new(ConnectionState::new(frame_format)),
            last_call_at: Cell::new(Instant::now()),
            calls: Cell::new(0),
            parts: Cell::new(0),
            closed_to_calls: Cell::new(false),
            unresponsive: Cell::new(false),
            evicted: Cell::new(false),
            wake: Notify::new(),
        }
    }

    /// Counts a call with `parts` parts and records its time.
    pub(super) fn record_call(&self, parts: usize) {
        self.calls.set(self.calls.get() + 1);
        self.last_call_at.set(Instant::now());
        self.parts.set(self.parts.get() + parts as u64);
    }

    /// Returns whether a call with these parts may be sent on this connection.
    ///
    /// The connection must accept calls and have fewer than `max_unwritten_bytes` bytes queued for writing,
    /// and each part id must be [available](ConnectionState::is_id_available). With the new parts, at most
    /// `max_parts` parts may be in flight; a connection with no parts in flight accepts a call of any
    /// size.
    pub(super) fn has_capacity(
        &self,
        parts: &[OutgoingPart],
        max_parts: usize,
        max_unwritten_bytes: usize,
    ) -> bool {
        let state = self.state.borrow();
        let has_room_for_parts = state.in_flight() == 0 || state.in_flight() + parts.len() <= max_parts;
        !self.closed_to_calls.get()
            && has_room_for_parts
            && state.unwritten_bytes() < max_unwritten_bytes
            && parts.iter().all(|part| state.is_id_available(&part.id))
    }

    /// Returns whether no parts are in flight and no bytes are queued for writing.
    pub(super) fn is_idle(&self) -> bool {
        let state = self.state.borrow();
        state.in_flight() == 0 && state.unwritten_bytes() == 0
    }

    /// Wakes the task of the connection, so that it writes pending frames or closes the connection.
    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits for a call of [`Connection::wake`]. Returns at once if there was one since the previous wait.
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Stops accepting calls.
    pub(super) fn close_to_calls(&self) {
        self.closed_to_calls.set(true);
    }

    /// Stops accepting calls because the index server no longer sends any bytes on this connection.
    pub(super) fn close_as_unresponsive(&self) {
        self.unresponsive.set(true);
        self.closed_to_calls.set(true);
    }

    /// Stops accepting calls because another connection is opened in place of this one.
    pub(super) fn evict(&self) {
        self.evicted.set(true);
        self.closed_to_calls.set(true);
    }

    /// Returns whether the connection accepts no more calls.
    pub(super) fn is_closed_to_calls(&self) -> bool {
        self.closed_to_calls.get()
    }

    /// Returns whether another connection was opened in place of this one.
    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Returns the close reason of a connection that was closed to calls and has no more parts in flight.
    pub(super) fn close_reason(&self) -> CloseReason {
        if self.unresponsive.get() {
            CloseReason::Unresponsive
        } else if self.evicted.get() {
            CloseReason::Evicted
        } else {
            CloseReason::EndpointChanged
        }
    }
}
