//! The task of one connection to an index server: opens the connection, serves it and reports its end.

use super::connection::Connection;
use super::transfer::Transfer;
use super::Shared;
use crate::close_reason::CloseReason;
use crate::deadline::before_deadline;
use crate::memory_budget::Reservation;
use crate::messages::Message;
use pinetrestle_protocol::connection::OutgoingPart;
use pinetrestle_recorder::{EventKind, Record};
use pinetrestle_system_calls::{connect, is_out_of_buffers, is_transient_local_error, BUFFER_RETRY_DELAY};
use slog::info;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, Instant};

/// Minimum delay before the idle timeout is checked again.
const MIN_IDLE_SLEEP: Duration = Duration::from_millis(1);

/// The task of one connection.
pub(super) struct Driver {
    /// State of the connection, shared with the connection pools.
    pub(super) connection: Rc<Connection>,
    /// State shared by all connections.
    pub(super) shared: Rc<Shared>,
    /// Address of the index server.
    pub(super) address: SocketAddr,
}

impl Driver {
    /// Opens the connection, serves it until it ends, and then counts and logs its end and reports it to
    /// the event loop.
    pub(super) async fn run(self) {
        let started_at = Instant::now();
        let mut transfer = Transfer::new(self.connection.clone(), self.shared.clone(), started_at);
        let reason = match self.connect(started_at).await {
            Ok(stream) => self.serve(&stream, &mut transfer).await,
            Err(reason) => reason,
        };
        self.connection.close_to_calls();
        self.count_close(reason);
        self.log_close(reason, started_at, &transfer);
        let closed = Message::ConnectionClosed {
            replica: self.connection.replica,
            connection: self.connection.number,
            local_fault: reason == CloseReason::NoLocalSocket,
        };
        self.shared.send(closed).await;
    }

    async fn connect(&self, started_at: Instant) -> Result<TcpStream, CloseReason> {
        let deadline = started_at + self.shared.live_config.get().transport.connect_timeout;
        match before_deadline(deadline, connect(self.address, deadline)).await {
            None => Err(CloseReason::ConnectTimeout),
            Some(Ok(stream)) => Ok(stream),
            Some(Err(error)) if is_transient_local_error(&error) => Err(CloseReason::NoLocalSocket),
            Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                Err(CloseReason::ConnectRefused)
            }
            Some(Err(_)) => Err(CloseReason::ConnectFailed),
        }
    }

    /// Reads and writes frames until the connection ends. Returns the close reason.
    async fn serve(&self, stream: &TcpStream, transfer: &mut Transfer) -> CloseReason {
        // With Nagle's algorithm, small frames would wait for the acknowledgement of earlier ones. A
        // failure to disable it is ignored, because the connection works either way.
        let _ = stream.set_nodelay(true);
        self.shared
            .instruments
            .recorder
            .record(|| Record::for_query(EventKind::ConnectionUp, 0).on_connection(self.connection.number));
        transfer.established(Instant::now());
        loop {
            // Reads before writing, so that no call is written if the index server has already closed the
            // connection.
            if let Some(reason) = transfer.read_available(stream).await {
                return reason;
            }
            let now = self.shared.now_micros();
            self.withdraw_expired(now).await;
            if self.connection.state.borrow().has_expired_partial_write(now) {
                return CloseReason::WriteStalled;
            }
            self.connection.state.borrow_mut().refresh_times_left(now);
            match transfer.write_pending(stream) {
                Ok(()) => {}
                Err(error) if is_out_of_buffers(&error) => {
                    sleep(BUFFER_RETRY_DELAY).await;
                    continue;
                }
                Err(error) => return CloseReason::from(&error),
            }
            if self.connection.is_idle() && self.connection.is_closed_to_calls() {
                return self.connection.close_reason();
            }
            if let Some(reason) = self.wait(stream, transfer).await {
                return reason;
            }
        }
    }

    /// Withdraws the unwritten parts whose deadline or latest start time has passed, and reports them to
    /// the event loop.
    ///
    /// A part may wait for the connection to be established or for the socket to be writable. After a pause
    /// of the machine, the deadline of a part may also have passed before the decision core has ended its
    /// query.
    async fn withdraw_expired(&self, now: u64) {
        let is_expired =
            |part: &OutgoingPart| part.deadline_us <= now || part.start_before_us.is_some_and(|by| by <= now);
        let expired = self.connection.state.borrow_mut().withdraw_unstarted(is_expired);
        if !expired.is_empty() {
            self.shared.send(Message::AttemptsUnsent(expired)).await;
        }
    }

    /// Waits until the connection can be read, frames can be written, or a timeout passes. Returns the
    /// close reason if the connection has to be closed.
    async fn wait(&self, stream: &TcpStream, transfer: &Transfer) -> Option<CloseReason> {
        let timeouts = self.timeouts();
        if transfer.frame_age().is_some_and(|age| age >= timeouts.frame) {
            return Some(CloseReason::StalledMidFrame);
        }
        let next_write = self.connection.state.borrow().next_write_us();
        let write_due = next_write.is_some_and(|at| at <= self.shared.now_micros());
        let interest = if write_due { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
        let write_at = self.shared.clock_origin + Duration::from_micros(next_write.unwrap_or_default());
        let frame_deadline = transfer.frame_started_at().map(|started_at| started_at + timeouts.frame);
        let idle_left = timeouts.idle.saturating_sub(transfer.idle_time());
        let reserved_since = transfer.reservation().map(Reservation::granted_at);
        let reserved_bytes = transfer.reservation().map_or(0, Reservation::bytes);
        let revoked =
            self.shared.memory_budget.revoked(reserved_since.unwrap_or_else(Instant::now), reserved_bytes);
        tokio::select! {
            ready = stream.ready(interest) => ready.err().map(|error: io::Error| CloseReason::from(&error)),
            () = self.connection.woken() => None,
            () = revoked, if reserved_bytes > 0 => Some(CloseReason::NoFrameMemory),
            () = sleep_until(write_at), if next_write.is_some() && !write_due => None,
            // Yields, so that bytes that arrived before the deadline are read before the timeout is applied.
            () = sleep_until(frame_deadline.unwrap_or_else(Instant::now)), if frame_deadline.is_some() => {
                yield_now().await;
                None
            }
            () = sleep(idle_left.max(MIN_IDLE_SLEEP)), if self.connection.is_idle() => {
                self.close_if_idle(transfer, timeouts.idle)
            }
        }
    }

    fn timeouts(&self) -> Timeouts {
        let transport = &self.shared.live_config.get().transport;
        Timeouts { idle: transport.server_idle_timeout, frame: transport.frame_timeout }
    }

    fn close_if_idle(&self, transfer: &Transfer, idle_timeout: Duration) -> Option<CloseReason> {
        if !self.connection.is_idle() || transfer.idle_time() < idle_timeout {
            return None;
        }
        // Closed here, without an await in between, so that no other task can send a call on it first.
        self.connection.close_to_calls();
        Some(CloseReason::IdleTimeout)
    }

    fn count_close(&self, reason: CloseReason) {
        let counters = &self.shared.instruments.counters;
        if self.connection.is_evicted() {
            self.shared.evicting.set(self.shared.evicting.get() - 1);
        } else {
            counters.connections.servers_open.decrement();
        }
        counters.connections.servers_failed.add(u64::from(reason.is_connect_failure()));
        counters.closes.increment("index_server", reason.code());
    }

    fn log_close(&self, reason: CloseReason, started_at: Instant, transfer: &Transfer) {
        let connection = &self.connection;
        let late = connection.state.borrow().late_answers;
        let in_flight = connection.state.borrow().in_flight();
        info!(self.shared.instruments.log, "connection ended"; "side" => "index_server",
            "peer" => %self.address, "name" => &connection.endpoint.name,
            "age_ms" => started_at.elapsed().as_millis() as u64, "calls" => connection.calls.get(),
            "parts" => connection.parts.get(), "lost" => in_flight, "late" => late,
            "in" => transfer.bytes_in(), "out" => transfer.bytes_out(),
            "forced_yields" => transfer.forced_yields(), "reason" => %reason);
        let record = || {
            Record::for_query(EventKind::ConnectionClosed, 0)
                .on_connection(connection.number)
                .with_value(in_flight as u64)
        };
        self.shared.instruments.recorder.record(record);
    }
}

/// Timeouts of an established connection, from the current configuration.
struct Timeouts {
    /// Maximum time without traffic.
    idle: Duration,
    /// Maximum time between reading the first byte of a frame and its last.
    frame: Duration,
}
