//! The connections to all index servers: which one carries a call, and what was in flight on one that ends.

use super::connection::Connection;
use super::driver::Driver;
use super::{Instruments, Shared};
use crate::config::LiveConfig;
use crate::host::Endpoint;
use crate::messages::Message;
use pinetrestle::interface::ReplicaId;
use pinetrestle_protocol::connection::{AttemptId, ClosedConnection, OutgoingPart};
use pinetrestle_protocol::names::FrameFormat;
use pinetrestle_recorder::{EventKind, Record};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Bytes of one read.
const READ_SIZE: usize = 16 * 1024;
/// Connections that were evicted and have not ended yet, at most: they hold descriptors beside those within
/// `server_connections`.
const MAX_EVICTING: usize = 16;
/// The detail in the flight recorder of a connection that was closed as unresponsive.
const CLOSED_UNRESPONSIVE: u8 = 1;

/// The connections to all index servers.
pub(crate) struct ConnectionPools {
    shared: Rc<Shared>,
    by_replica: HashMap<ReplicaId, Vec<Rc<Connection>>>,
    /// The connection that carries each attempt in flight.
    by_attempt: HashMap<AttemptId, Rc<Connection>>,
    /// The deployment allows a cancel to be sent to an index server.
    sends_cancels: bool,
    /// The format of frames.
    frame_format: Rc<FrameFormat>,
    /// The number of the connection opened last.
    last_number: u64,
}

impl ConnectionPools {
    /// Pools without connections; the host's clock stood at 0 at `start`.
    pub(crate) fn new(
        live_config: Rc<LiveConfig>,
        to_event_loop: mpsc::Sender<Message>,
        instruments: Instruments,
        start: Instant,
    ) -> ConnectionPools {
        let config = live_config.get();
        let shared = Shared {
            live_config,
            to_event_loop,
            instruments,
            read_buffer: RefCell::new(vec![0; READ_SIZE]),
            evicting: Cell::new(0),
            start,
        };
        ConnectionPools {
            shared: Rc::new(shared),
            by_replica: HashMap::new(),
            by_attempt: HashMap::new(),
            sends_cancels: config.deployment.settings.limits.allow_cancel,
            frame_format: Rc::new(config.names.wire.frame_format.clone()),
            last_number: 0,
        }
    }

    /// Sends a call. Returns the attempts that found no connection, or whose part is in flight on it already.
    pub(crate) fn send(
        &mut self,
        replica: ReplicaId,
        endpoint: &Endpoint,
        parts: Vec<OutgoingPart>,
    ) -> Vec<AttemptId> {
        let Some(connection) = self.find_or_open(replica, endpoint, &parts) else {
            self.note_no_connection(replica, &parts);
            return parts.iter().map(|part| part.attempt_id).collect();
        };
        self.shared.instruments.counters.connections.calls.increment();
        connection.record_call(parts.len());
        for part in &parts {
            self.by_attempt.insert(part.attempt_id, connection.clone());
            let record = || {
                Record::for_part(EventKind::PartQueued, &part.id)
                    .on_connection(connection.number)
                    .with_value(replica as u64)
            };
            self.shared.instruments.recorder.record(record);
        }
        let unsent = connection.link.borrow_mut().queue_call(self.shared.now_micros(), parts);
        connection.wake();
        self.attempts_withdrawn(&unsent);
        unsent
    }

    fn note_no_connection(&self, replica: ReplicaId, parts: &[OutgoingPart]) {
        let instruments = &self.shared.instruments;
        instruments.counters.connections.servers_exhausted.increment();
        for part in parts {
            let record = || Record::for_part(EventKind::NoConnection, &part.id).with_value(replica as u64);
            instruments.recorder.record(record);
        }
    }

    /// A connection with capacity for the parts, opened if none has it.
    fn find_or_open(
        &mut self,
        replica: ReplicaId,
        endpoint: &Endpoint,
        parts: &[OutgoingPart],
    ) -> Option<Rc<Connection>> {
        self.close_outdated(replica, endpoint);
        let config = self.shared.live_config.get();
        let max_streams = config.transport.max_streams;
        let max_backlog = config.transport.max_write_backlog;
        let pool = self.by_replica.get(&replica).map_or(&[][..], Vec::as_slice);
        let found = pool.iter().find(|connection| connection.has_capacity(parts, max_streams, max_backlog));
        if let Some(connection) = found {
            return Some(connection.clone());
        }
        let address: SocketAddr = endpoint.address.parse().ok()?;
        let open = self.shared.instruments.counters.connections.servers_open.get();
        let is_full = open >= config.transport.max_server_connections as u64;
        if is_full && !self.evict_least_recently_used() {
            return None;
        }
        Some(self.open(replica, endpoint, address))
    }

    /// Closes connections to an endpoint that the replica has left, or to an earlier incarnation of its server: what is
    /// in flight may still be answered, nothing is added.
    fn close_outdated(&self, replica: ReplicaId, endpoint: &Endpoint) {
        for connection in self.by_replica.get(&replica).into_iter().flatten() {
            if connection.endpoint != *endpoint && !connection.is_closed_to_calls() {
                connection.close_to_calls();
                connection.wake();
            }
        }
    }

    fn open(&mut self, replica: ReplicaId, endpoint: &Endpoint, address: SocketAddr) -> Rc<Connection> {
        self.last_number += 1;
        let number = self.last_number;
        let connection =
            Rc::new(Connection::new(number, replica, endpoint.clone(), self.frame_format.clone()));
        self.by_replica.entry(replica).or_default().push(connection.clone());
        let instruments = &self.shared.instruments;
        instruments.counters.connections.servers_begun.increment();
        instruments.counters.connections.servers_open.increment();
        instruments.recorder.record(|| {
            Record::for_query(EventKind::ConnectionOpening, 0)
                .on_connection(number)
                .with_value(replica as u64)
        });
        let driver = Driver { connection: connection.clone(), shared: self.shared.clone(), address };
        spawn_local(driver.run());
        connection
    }

    /// Closes the idle connection whose last call is longest ago; its place is free at once. False where none is idle,
    /// or too many that were evicted have not ended yet.
    fn evict_least_recently_used(&self) -> bool {
        if self.shared.evicting.get() >= MAX_EVICTING {
            return false;
        }
        let all = self.by_replica.values().flatten();
        let idle = all.filter(|connection| !connection.is_closed_to_calls() && connection.is_idle());
        let oldest = idle.min_by_key(|connection| (connection.last_call_at.get(), connection.number));
        let Some(connection) = oldest else { return false };
        connection.evict();
        connection.wake();
        self.shared.evicting.set(self.shared.evicting.get() + 1);
        self.shared.instruments.counters.connections.servers_open.decrement();
        true
    }

    /// Cancels an attempt: a part that is not written yet is not sent, and for any other a cancel is sent where the
    /// deployment allows it.
    pub(crate) fn cancel(&mut self, attempt_id: AttemptId) {
        let Some(connection) = self.by_attempt.remove(&attempt_id) else { return };
        let recorder = &self.shared.instruments.recorder;
        let cancelled = connection.link.borrow_mut().cancel(attempt_id, self.sends_cancels);
        if let Some(part) = cancelled {
            recorder.record(|| {
                Record::for_part(EventKind::AttemptCancelled, &part.id)
                    .on_connection(connection.number)
                    .with_detail(part.withdrawn.into())
            });
        }
        let max_cancels = self.shared.live_config.get().transport.max_cancels_without_reply;
        if connection.link.borrow().cancels_without_reply() as usize >= max_cancels {
            // The index server may be gone without closing it: what is in flight may still be answered, and the next
            // call opens another connection.
            connection.close_as_unresponsive();
            recorder.record(|| {
                Record::for_query(EventKind::ConnectionDraining, 0)
                    .on_connection(connection.number)
                    .with_detail(CLOSED_UNRESPONSIVE)
            });
        }
        connection.wake();
    }

    /// An attempt was answered.
    pub(crate) fn attempt_answered(&mut self, attempt_id: AttemptId) {
        self.by_attempt.remove(&attempt_id);
    }

    /// Removes a connection that has ended and returns what was in flight on it.
    pub(crate) fn connection_closed(&mut self, replica: ReplicaId, number: u64) -> ClosedConnection {
        let Some(connection) = self.remove(replica, number) else { return ClosedConnection::default() };
        let closed = connection.link.take().close();
        for attempt in &closed.lost_attempts {
            self.by_attempt.remove(&attempt.attempt_id);
        }
        for part in closed.unsent_calls.iter().flatten() {
            self.by_attempt.remove(&part.attempt_id);
        }
        closed
    }

    fn remove(&mut self, replica: ReplicaId, number: u64) -> Option<Rc<Connection>> {
        let pool = self.by_replica.get_mut(&replica)?;
        let index = pool.iter().position(|connection| connection.number == number)?;
        let connection = pool.remove(index);
        if pool.is_empty() {
            self.by_replica.remove(&replica);
        }
        Some(connection)
    }

    /// Closes the connections to an index server that drains or has left the endpoint list: each ends as soon as
    /// nothing is in flight on it. Returns the attempts of which nothing was written yet.
    pub(crate) fn drain_replica(&mut self, replica: ReplicaId) -> Vec<AttemptId> {
        let mut unsent = Vec::new();
        for connection in self.by_replica.get(&replica).into_iter().flatten() {
            connection.close_to_calls();
            unsent.extend(connection.link.borrow_mut().withdraw_unstarted(|_| true));
            connection.wake();
        }
        self.attempts_withdrawn(&unsent);
        unsent
    }

    /// Withdraws an attempt if nothing of it is written yet; returns whether it was withdrawn.
    pub(crate) fn withdraw(&mut self, attempt_id: AttemptId) -> bool {
        let Some(connection) = self.by_attempt.get(&attempt_id) else { return false };
        let withdrawn = connection.link.borrow_mut().withdraw_unstarted(|part| part.attempt_id == attempt_id);
        connection.wake();
        self.attempts_withdrawn(&withdrawn);
        !withdrawn.is_empty()
    }

    /// Attempts were withdrawn before anything of them was written.
    pub(crate) fn attempts_withdrawn(&mut self, attempt_ids: &[AttemptId]) {
        for attempt_id in attempt_ids {
            self.by_attempt.remove(attempt_id);
        }
    }
}
