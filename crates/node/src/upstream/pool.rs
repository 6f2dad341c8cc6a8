//! Connection pools: choose the connection for each call, and keep track of which connection carries which
//! attempt.

use super::connection::Connection;
use super::driver::Driver;
use super::{Instruments, Shared};
use crate::config::LiveConfig;
use crate::host::Endpoint;
use crate::memory_budget::MemoryBudget;
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

/// Size of the read buffer that all connections share, in bytes.
const READ_SIZE: usize = 16 * 1024;
/// Maximum number of evicted connections that have not ended yet. They hold file descriptors in addition to
/// those of the connections limited by the configuration key `server_connections`.
const MAX_EVICTING: usize = 16;
/// Detail of [`EventKind::ConnectionDraining`] records for connections that were closed as unresponsive.
const CLOSED_UNRESPONSIVE: u8 = 1;

/// The connections to all index servers, in one pool per replica.
pub(crate) struct ConnectionPools {
    shared: Rc<Shared>,
    by_replica: HashMap<ReplicaId, Vec<Rc<Connection>>>,
    /// The connection that carries each attempt in flight.
    by_attempt: HashMap<AttemptId, Rc<Connection>>,
    /// Whether the settings of the deployment allow cancel frames to be sent to index servers.
    allow_cancel: bool,
    frame_format: Rc<FrameFormat>,
    /// Number of the connection opened last.
    last_number: u64,
}

impl ConnectionPools {
    /// Creates pools without connections. `clock_origin` is the instant at which the host's clock was at 0.
    pub(crate) fn new(
        live_config: Rc<LiveConfig>,
        to_event_loop: mpsc::Sender<Message>,
        instruments: Instruments,
        clock_origin: Instant,
    ) -> ConnectionPools {
        let config = live_config.get();
        let memory_budget = MemoryBudget::new(config.memory_limit, instruments.counters.clone());
        let shared = Shared {
            live_config,
            to_event_loop,
            instruments,
            read_buffer: RefCell::new(vec![0; READ_SIZE]),
            memory_budget,
            evicting: Cell::new(0),
            clock_origin,
        };
        ConnectionPools {
            shared: Rc::new(shared),
            by_replica: HashMap::new(),
            by_attempt: HashMap::new(),
            allow_cancel: config.deployment.settings.limits.allow_cancel,
            frame_format: Rc::new(config.names.wire.frame_format.clone()),
            last_number: 0,
        }
    }

    /// Queues a call with these parts on a connection to the replica, which is opened if needed.
    ///
    /// Returns the attempts that were not queued: all of them if no connection is available, otherwise
    /// those whose part id can't be used on the connection (see [`ConnectionState::queue_call`]).
    ///
    /// [`ConnectionState::queue_call`]: pinetrestle_protocol::connection::ConnectionState::queue_call
    pub(crate) fn send(
        &mut self,
        replica: ReplicaId,
        endpoint: &Endpoint,
        parts: Vec<OutgoingPart>,
    ) -> Vec<AttemptId> {
        let Some(connection) = self.find_or_open(replica, endpoint, &parts) else {
            self.record_no_connection(replica, &parts);
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
        let unsent = connection.state.borrow_mut().queue_call(self.shared.now_micros(), parts);
        connection.wake();
        self.attempts_withdrawn(&unsent);
        unsent
    }

    fn record_no_connection(&self, replica: ReplicaId, parts: &[OutgoingPart]) {
        let instruments = &self.shared.instruments;
        instruments.counters.connections.servers_exhausted.increment();
        for part in parts {
            let record = || Record::for_part(EventKind::NoConnection, &part.id).with_value(replica as u64);
            instruments.recorder.record(record);
        }
    }

    /// Returns a connection to the replica that has capacity for the parts, and opens one if there is none.
    ///
    /// Returns `None` if the address of the endpoint can't be parsed, or if the maximum number of
    /// connections is open and none of them can be evicted.
    fn find_or_open(
        &mut self,
        replica: ReplicaId,
        endpoint: &Endpoint,
        parts: &[OutgoingPart],
    ) -> Option<Rc<Connection>> {
        self.close_outdated(replica, endpoint);
        let config = self.shared.live_config.get();
        let max_parts = config.transport.max_parts_per_connection;
        let max_unwritten_bytes = config.transport.max_unwritten_bytes;
        let pool = self.by_replica.get(&replica).map_or(&[][..], Vec::as_slice);
        let with_capacity =
            pool.iter().find(|connection| connection.has_capacity(parts, max_parts, max_unwritten_bytes));
        if let Some(connection) = with_capacity {
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

    /// Closes the replica's connections to a previous address or an earlier incarnation of the index server
    /// to new calls. Parts in flight on them may still be answered.
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

    /// Closes the least recently used idle connection, so that another one can be opened immediately.
    /// Returns false if no connection is idle, or if [`MAX_EVICTING`] evicted connections have not ended
    /// yet.
    fn evict_least_recently_used(&self) -> bool {
        if self.shared.evicting.get() >= MAX_EVICTING {
            return false;
        }
        let all = self.by_replica.values().flatten();
        let idle = all.filter(|connection| !connection.is_closed_to_calls() && connection.is_idle());
        let least_recently_used =
            idle.min_by_key(|connection| (connection.last_call_at.get(), connection.number));
        let Some(connection) = least_recently_used else { return false };
        connection.evict();
        connection.wake();
        self.shared.evicting.set(self.shared.evicting.get() + 1);
        self.shared.instruments.counters.connections.servers_open.decrement();
        true
    }

    /// Cancels an attempt. If the write of its call has not started, its part is not sent. Otherwise a
    /// cancel frame is sent, if the settings of the deployment allow it.
    ///
    /// Closes the connection to new calls if too many parts were cancelled on it without any bytes being
    /// received.
    pub(crate) fn cancel(&mut self, attempt_id: AttemptId) {
        let Some(connection) = self.by_attempt.remove(&attempt_id) else { return };
        let recorder = &self.shared.instruments.recorder;
        let cancelled = connection.state.borrow_mut().cancel(attempt_id, self.allow_cancel);
        if let Some(part) = cancelled {
            recorder.record(|| {
                Record::for_part(EventKind::AttemptCancelled, &part.id)
                    .on_connection(connection.number)
                    .with_detail(part.withdrawn.into())
            });
        }
        let max_cancels = self.shared.live_config.get().transport.max_cancels_without_reply;
        if connection.state.borrow().cancels_without_reply() as usize >= max_cancels {
            // The index server may have failed without closing the connection. Parts in flight may still be
            // answered, but the next call is sent on another connection.
            connection.close_as_unresponsive();
            recorder.record(|| {
                Record::for_query(EventKind::ConnectionDraining, 0)
                    .on_connection(connection.number)
                    .with_detail(CLOSED_UNRESPONSIVE)
            });
        }
        connection.wake();
    }

    /// Removes an attempt that was answered.
    pub(crate) fn attempt_answered(&mut self, attempt_id: AttemptId) {
        self.by_attempt.remove(&attempt_id);
    }

    /// Removes a connection that has ended. Returns its attempts that were in flight and its calls that
    /// were not sent.
    pub(crate) fn connection_closed(&mut self, replica: ReplicaId, number: u64) -> ClosedConnection {
        let Some(connection) = self.remove(replica, number) else { return ClosedConnection::default() };
        let closed = connection.state.take().close();
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

    /// Closes the connections to a replica that is draining or was removed from the endpoint list. Each
    /// connection ends once no parts are in flight on it. Returns the attempts that were withdrawn because
    /// the write of their call had not started.
    pub(crate) fn drain_replica(&mut self, replica: ReplicaId) -> Vec<AttemptId> {
        let mut unsent = Vec::new();
        for connection in self.by_replica.get(&replica).into_iter().flatten() {
            connection.close_to_calls();
            unsent.extend(connection.state.borrow_mut().withdraw_unstarted(|_| true));
            connection.wake();
        }
        self.attempts_withdrawn(&unsent);
        unsent
    }

    /// Withdraws an attempt if the write of its call has not started. Returns whether it was withdrawn.
    pub(crate) fn withdraw(&mut self, attempt_id: AttemptId) -> bool {
        let Some(connection) = self.by_attempt.get(&attempt_id) else { return false };
        let withdrawn =
            connection.state.borrow_mut().withdraw_unstarted(|part| part.attempt_id == attempt_id);
        connection.wake();
        self.attempts_withdrawn(&withdrawn);
        !withdrawn.is_empty()
    }

    /// Removes attempts that were withdrawn before the write of their call started.
    pub(crate) fn attempts_withdrawn(&mut self, attempt_ids: &[AttemptId]) {
        for attempt_id in attempt_ids {
            self.by_attempt.remove(attempt_id);
        }
    }
}
