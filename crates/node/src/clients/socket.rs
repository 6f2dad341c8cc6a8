//! One client connection's socket: reads into the request parser, bounded writes, and the orderly close.

use super::receive_times::ReceiveTimes;
use super::response::Response;
use super::ClientContext;
use crate::close_reason::CloseReason;
use crate::deadline::before_deadline;
use pinetrestle_protocol::requests::{response_head, RequestParser};
use pinetrestle_system_calls::{is_out_of_buffers, retry_interrupted, BUFFER_RETRY_DELAY};
use std::io::{self, ErrorKind, IoSlice};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Bytes that are read and discarded after our end of the connection is closed; a client that sends more has had its
/// response.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// How often a client whose bytes are not read, because it has sent too far ahead, is checked for a disconnect.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The socket with what was read from it.
pub(super) struct ClientSocket {
    context: Rc<ClientContext>,
    stream: TcpStream,
    /// The requests that were read.
    pub(super) requests: RequestParser,
    receive_times: ReceiveTimes,
    /// Bytes read.
    pub(super) bytes_in: u64,
    /// Bytes written.
    pub(super) bytes_out: u64,
}

impl ClientSocket {
    /// A socket that was just accepted.
    pub(super) fn new(context: Rc<ClientContext>, stream: TcpStream) -> ClientSocket {
        // Without it responses would wait for acknowledgements; the connection works all the same.
        let _ = stream.set_nodelay(true);
        ClientSocket {
            context,
            stream,
            requests: RequestParser::default(),
            receive_times: ReceiveTimes::default(),
            bytes_in: 0,
            bytes_out: 0,
        }
    }

    /// When the request at the front had arrived completely, `began_at` at the latest: a request that was sent ahead
    /// of the last response has waited its turn since then.
    pub(super) fn request_received_at(&mut self, began_at: Instant) -> Instant {
        let request_end = self.bytes_in - self.requests.buffered_after_request() as u64;
        self.receive_times.received_by(request_end).map_or(began_at, |received_at| received_at.min(began_at))
    }

    /// Waits for bytes and takes them.
    pub(super) async fn read(&mut self) -> Result<(), CloseReason> {
        loop {
            if self.stream.readable().await.is_err() {
                return Err(CloseReason::IoError);
            }
            match self.try_read() {
                Ok(0) if self.requests.is_empty() => return Err(CloseReason::ClientClosed),
                Ok(0) => return Err(CloseReason::ClientDisconnected),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) if is_out_of_buffers(&error) => sleep(BUFFER_RETRY_DELAY).await,
                Err(_) => return Err(CloseReason::Reset),
            }
        }
    }

    /// Takes the bytes that are there and returns how many; 0 is the client's end of the connection.
    fn try_read(&mut self) -> io::Result<usize> {
        let services = &self.context.services;
        let mut buffer = self.context.read_buffer.borrow_mut();
        let count = retry_interrupted(|| self.stream.try_read(&mut buffer))?;
        self.bytes_in += count as u64;
        services.counters.connections.client_bytes_in.add(count as u64);
        let drained = count < buffer.len();
        self.receive_times.record_read(self.bytes_in, services.pause_detector.earliest_arrival(), drained);
        self.requests.feed(&buffer[..count]);
        Ok(count)
    }

    /// Waits for the client to send something or to disconnect; `false` if it has disconnected.
    pub(super) async fn stays_connected(&mut self) -> bool {
        if self.requests.wants_read() {
            return self.read().await.is_ok();
        }
        self.receive_times.suspend_reading(Instant::now());
        self.disconnected().await;
        false
    }

    /// Waits until a client that is not read, since it has sent too far ahead, has disconnected.
    async fn disconnected(&self) {
        loop {
            match self.stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() && !ready.is_error() => {}
                _ => return,
            }
            // What it has sent stays unread and the socket readable, so readiness can't be awaited.
            sleep(DISCONNECT_CHECK_INTERVAL).await;
        }
    }

    /// Whether the client has disconnected already, just behind its request.
    pub(super) fn has_disconnected(&mut self) -> bool {
        if !self.requests.wants_read() {
            return false;
        }
        match self.try_read() {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock && !is_out_of_buffers(&error),
        }
    }

    /// Writes a response, head and body in one gathered write. `close` announces the end of the connection.
    pub(super) async fn write(&mut self, response: &Response, close: bool) -> Result<(), CloseReason> {
        let body = &response.body;
        let head = response_head(response.status, body.len(), response.retry_after, close);
        let deadline = Instant::now() + self.context.services.live.get().transport.answer_write_timeout;
        let total = head.len() + body.len();
        let mut written = 0;
        while written < total {
            let head_left = &head[written.min(head.len())..];
            let body_left = &body[written.saturating_sub(head.len())..];
            let slices = [IoSlice::new(head_left), IoSlice::new(body_left)];
            match retry_interrupted(|| self.stream.try_write_vectored(&slices)) {
                Ok(count) => {
                    written += count;
                    self.count_written(count);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.writable_by(deadline).await?,
                Err(error) if is_out_of_buffers(&error) && Instant::now() < deadline => {
                    sleep(BUFFER_RETRY_DELAY).await;
                }
                Err(_) => return Err(CloseReason::WriteFailed),
            }
        }
        Ok(())
    }

    fn count_written(&mut self, count: usize) {
        self.bytes_out += count as u64;
        self.context.services.counters.connections.client_bytes_out.add(count as u64);
    }

    async fn writable_by(&self, deadline: Instant) -> Result<(), CloseReason> {
        match before_deadline(deadline, self.stream.ready(Interest::WRITABLE)).await {
            Some(Ok(_)) => Ok(()),
            Some(Err(_)) => Err(CloseReason::WriteFailed),
            None => Err(CloseReason::WriteStalled),
        }
    }

    /// Closes our end of the connection, then reads on for the time of `linger`, since bytes left unread would make
    /// the kernel reset the connection and drop what the client has not read yet (RFC 9112 section 9.6). A request
    /// among those bytes is not taken: the client sees the end without a response and sends it again elsewhere.
    pub(super) async fn close(&mut self, linger: Duration) {
        // A connection that is gone already needs no orderly close.
        let _ = self.stream.shutdown().await;
        let _ = timeout(linger, self.discard_input()).await;
    }

    /// Reads and discards until the client's end of the connection, an error, or the bound.
    async fn discard_input(&self) {
        let mut left = MAX_DISCARDED_BYTES;
        while left > 0 {
            if self.stream.readable().await.is_err() {
                return;
            }
            let read = retry_interrupted(|| self.stream.try_read(&mut self.context.read_buffer.borrow_mut()));
            match read {
                Ok(0) => return,
                Ok(count) => left = left.saturating_sub(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) if is_out_of_buffers(&error) => sleep(BUFFER_RETRY_DELAY).await,
                Err(_) => return,
            }
        }
    }
}
