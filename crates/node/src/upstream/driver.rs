//! The task that takes one connection to an index server from its connect to its end.

use super::connection::Connection;
use super::transfer::Transfer;
use super::Shared;
use crate::close_reason::CloseReason;
use crate::deadline::before_deadline;
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

/// The shortest sleep before the idle timeout is checked again.
const MIN_IDLE_SLEEP: Duration = Duration::from_millis(1);

/// Drives one connection.
pub(super) struct Driver {
    /// The connection, shared with the pool.
    pub(super) connection: Rc<Connection>,
    /// What all connections share.
    pub(super) shared: Rc<Shared>,
    /// The index server's address.
    pub(super) address: SocketAddr,
}

impl Driver {
    /// Connects, serves until the connection ends, and tells the event loop.
    pub(super) async fn run(self) {
        let begun = Instant::now();
        let mut transfer = Transfer::new(self.connection.clone(), self.shared.clone(), begun);
        let reason = match self.connect(begun).await {
            Ok(stream) => self.serve(&stream, &mut transfer).await,
            Err(reason) => reason,
        };
        self.connection.close_to_calls();
        self.count_end(reason);
        self.log_end(reason, begun, &transfer);
        let closed = Message::ConnectionClosed {
            replica: self.connection.replica,
            connection: self.connection.number,
            local_fault: reason == CloseReason::NoLocalSocket,
        };
        self.shared.send(closed).await;
    }

    async fn connect(&self, begun: Instant) -> Result<TcpStream, CloseReason> {
        let deadline = begun + self.shared.live_config.get().transport.connect_timeout;
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

    /// Reads and writes until the connection ends; returns why it did.
    async fn serve(&self, stream: &TcpStream, transfer: &mut Transfer) -> CloseReason {
        // Without it frames would wait for acknowledgements; the connection works all the same.
        let _ = stream.set_nodelay(true);
        self.shared
            .instruments
            .recorder
            .record(|| Record::for_query(EventKind::ConnectionUp, 0).on_connection(self.connection.number));
        transfer.established(Instant::now());
        loop {
            // Read before anything is written: a connection that the index server has ended takes no more calls.
            if let Some(reason) = transfer.read_available(stream).await {
                return reason;
            }
            let now = self.shared.now_micros();
            self.withdraw_expired(now).await;
            if self.connection.link.borrow().has_expired_partial_write(now) {
                return CloseReason::WriteStalled;
            }
            self.connection.link.borrow_mut().refresh_times_left(now);
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

    /// Withdraws parts that have waited here for too long, for the connection to be established or for capacity on it;
    /// after a pause of the machine also those whose deadline has passed while the end of their query is still to be
    /// decided.
    async fn withdraw_expired(&self, now: u64) {
        let is_expired =
            |part: &OutgoingPart| part.deadline_us <= now || part.start_before_us.is_some_and(|by| by <= now);
        let expired = self.connection.link.borrow_mut().withdraw_unstarted(is_expired);
        if !expired.is_empty() {
            self.shared.send(Message::AttemptsUnsent(expired)).await;
        }
    }

    /// Waits until there is something to read or to write, or a timeout has passed. Returns why the connection has
    /// to end, if it has.
    async fn wait(&self, stream: &TcpStream, transfer: &Transfer) -> Option<CloseReason> {
        let timeouts = self.timeouts();
        if transfer.frame_age().is_some_and(|age| age >= timeouts.frame) {
            return Some(CloseReason::StalledMidFrame);
        }
        let next_write = self.connection.link.borrow().next_write_us();
        let write_due = next_write.is_some_and(|at| at <= self.shared.now_micros());
        let interest = if write_due { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
        let write_at = self.shared.start + Duration::from_micros(next_write.unwrap_or_default());
        let frame_deadline = transfer.frame_begun_at().map(|begun| begun + timeouts.frame);
        let idle_left = timeouts.idle.saturating_sub(transfer.idle_time());
        tokio::select! {
            ready = stream.ready(interest) => ready.err().map(|error: io::Error| CloseReason::from(&error)),
            () = self.connection.woken() => None,
            () = sleep_until(write_at), if next_write.is_some() && !write_due => None,
            // What has come meanwhile is read before the timeout counts.
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
        // Before any other task runs, so that no call is added.
        self.connection.close_to_calls();
        Some(CloseReason::IdleTimeout)
    }

    fn count_end(&self, reason: CloseReason) {
        let counters = &self.shared.instruments.counters;
        if self.connection.is_evicted() {
            self.shared.evicting.set(self.shared.evicting.get() - 1);
        } else {
            counters.connections.servers_open.decrement();
        }
        counters.connections.servers_failed.add(u64::from(reason.is_connect_failure()));
        counters.closes.increment("index_server", reason.code());
    }

    fn log_end(&self, reason: CloseReason, begun: Instant, transfer: &Transfer) {
        let connection = &self.connection;
        let late = connection.link.borrow().late_answers;
        let in_flight = connection.link.borrow().in_flight();
        info!(self.shared.instruments.log, "connection ended"; "side" => "index_server",
            "peer" => %self.address, "name" => &connection.endpoint.name,
            "age_ms" => begun.elapsed().as_millis() as u64, "calls" => connection.calls.get(),
            "parts" => connection.parts.get(), "lost" => in_flight, "late" => late,
            "in" => transfer.bytes_in(), "out" => transfer.bytes_out(), "reason" => %reason);
        let record = || {
            Record::for_query(EventKind::ConnectionClosed, 0)
                .on_connection(connection.number)
                .with_value(in_flight as u64)
        };
        self.shared.instruments.recorder.record(record);
    }
}

/// The timeouts of an established connection, as the configuration in force has them.
struct Timeouts {
    /// How long it may be without traffic.
    idle: Duration,
    /// How long a frame may take from its first byte to its last.
    frame: Duration,
}
