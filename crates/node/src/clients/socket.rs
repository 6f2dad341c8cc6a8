//! The socket of one client connection: reads into the request parser, writes with a timeout, and the
//! lingering close.

use super::pipeline_overflow::{PipelineOverflow, SkipAllowance};
use super::receive_times::ReceiveTimes;
use super::response::Response;
use super::{ClientContext, READ_BUFFER_BYTES};
use crate::close_reason::CloseReason;
use crate::deadline::before_deadline;
use crate::memory_budget::Reservation;
use pinetrestle_protocol::head::HttpError;
use pinetrestle_protocol::requests::{
    response_head, RequestParser, SkipEnd, RESERVED_READ_AHEAD_BYTES, UNRESERVED_READ_AHEAD_BYTES,
};
use pinetrestle_system_calls::{is_out_of_buffers, retry_interrupted, TaskBudget, BUFFER_RETRY_DELAY};
use std::io::{self, ErrorKind, IoSlice};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Maximum number of bytes that are read and discarded during a lingering close. A client that sends more
/// after the response has had time to receive the response.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Maximum number of consecutive reads in one check for a disconnect.
const MAX_READS_PER_CHECK: usize = 16;

/// What is known about a client while its request is processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// The client has not closed its side of the connection, as far as has been received.
    Connected,
    /// The client has disconnected.
    Disconnected,
    /// The client has sent so much behind its request that it may have disconnected behind that.
    Unknown,
}

/// The next of the requests that were skipped.
pub(super) enum SkippedRequest {
    /// One or more complete requests.
    Complete { requests: usize },
    /// The client asked for the connection to be closed after the request that was taken last.
    Close,
    /// A request that has been received partially.
    Partial,
    /// Bytes that are not a valid request.
    Malformed(HttpError),
}

/// The socket of a client connection, with the bytes read from it.
pub(super) struct ClientSocket {
    context: Rc<ClientContext>,
    stream: TcpStream,
    /// Parses the bytes read into requests.
    pub(super) requests: RequestParser,
    receive_times: ReceiveTimes,
    /// Number of bytes passed to the request parser, from which `receive_times` counts.
    parsed_bytes: u64,
    /// The requests behind those that the request parser stores, if there are too many to store.
    overflow: Option<Box<PipelineOverflow>>,
    skip_allowance: SkipAllowance,
    /// The memory reserved for bytes that were read ahead of the current request, if these are many.
    read_ahead: Option<Reservation>,
    /// Keeps a client that sends without a pause from occupying the thread.
    budget: TaskBudget,
    /// Number of bytes read.
    pub(super) bytes_in: u64,
    /// Number of bytes written.
    pub(super) bytes_out: u64,
}

impl ClientSocket {
    /// Wraps a newly accepted socket.
    pub(super) fn new(context: Rc<ClientContext>, stream: TcpStream) -> ClientSocket {
        // Nagle's algorithm would delay responses until earlier ones are acknowledged. The connection works
        // without the option too, so a failure to set it is ignored.
        let _ = stream.set_nodelay(true);
        ClientSocket {
            context,
            stream,
            requests: RequestParser::default(),
            receive_times: ReceiveTimes::default(),
            parsed_bytes: 0,
            overflow: None,
            skip_allowance: SkipAllowance::new(Instant::now()),
            read_ahead: None,
            budget: TaskBudget::default(),
            bytes_in: 0,
            bytes_out: 0,
        }
    }

    /// Returns the time from which the deadline of the current request runs: the time by which the request
    /// had been received completely, or `began_at` if that is earlier. `began_at` is the result of
    /// [`Connection::read_request`](super::connection::Connection::read_request).
    ///
    /// A pipelined request may have been received completely before `began_at`, while the previous response
    /// was still pending.
    pub(super) fn request_received_at(&mut self, began_at: Instant) -> Instant {
        let request_end = self.parsed_bytes - self.requests.buffered_after_request() as u64;
        self.receive_times.received_by(request_end).map_or(began_at, |received_at| received_at.min(began_at))
    }

    /// Waits until bytes can be read, and passes them to the request parser.
    ///
    /// # Errors
    /// The reason to close the connection, if the client has closed it or reading fails.
    pub(super) async fn read(&mut self) -> Result<(), CloseReason> {
        loop {
            if self.readable().await.is_err() {
                return Err(CloseReason::IoError);
            }
            match self.try_read() {
                Ok(0) if self.requests.is_empty() => return Err(CloseReason::ClientClosed),
                Ok(0) => return Err(CloseReason::ClientDisconnected),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.budget.replenish(),
                Err(error) if is_out_of_buffers(&error) => sleep(BUFFER_RETRY_DELAY).await,
                Err(_) => return Err(CloseReason::Reset),
            }
        }
    }

    /// Waits until bytes can be read, and lets the other tasks run first if this one has used up its budget.
    async fn readable(&self) -> io::Result<()> {
        let has_yielded = self.budget.readable(&self.stream).await?;
        self.count_yield(has_yielded);
        Ok(())
    }

    /// Lets the other tasks run if this one has used up its budget, before a request is processed that was
    /// buffered already and so is not waited for.
    pub(super) async fn begin_pipelined_request(&self) {
        let has_yielded = self.budget.spend().await;
        self.count_yield(has_yielded);
    }

    fn count_yield(&self, has_yielded: bool) {
        self.context.services.counters.connections.forced_yields.add(u64::from(has_yielded));
    }

    /// Returns how often the task of this connection has used up its budget.
    pub(super) fn forced_yields(&self) -> u64 {
        self.budget.yields()
    }

    /// Reads the available bytes into the request parser, or skips them if it stores too many, and returns their
    /// number. 0 means that the client has closed its side of the connection.
    fn try_read(&mut self) -> io::Result<usize> {
        let read_limit = if self.is_skipping() { usize::MAX } else { self.read_limit() };
        let services = &self.context.services;
        let mut buffer = self.context.read_buffer.borrow_mut();
        let limit = read_limit.min(buffer.len());
        let buffer = &mut buffer[..limit];
        let count = retry_interrupted(|| self.stream.try_read(buffer))?;
        self.bytes_in += count as u64;
        services.counters.connections.client_bytes_in.add(count as u64);
        let drained = count < buffer.len();
        if let Some(overflow) = &mut self.overflow {
            overflow.skip(&buffer[..count], Instant::now(), drained);
            self.skip_allowance.spend(count);
        } else {
            self.parsed_bytes += count as u64;
            let received_at = services.pause_detector.earliest_arrival();
            self.receive_times.record_read(self.parsed_bytes, received_at, drained);
            self.requests.feed(&buffer[..count]);
        }
        Ok(count)
    }

    /// Returns whether received bytes are skipped. Starts to skip if the request parser stores as much as it may.
    fn is_skipping(&mut self) -> bool {
        if self.overflow.is_none() && self.read_limit() == 0 {
            let stored_before = self.requests.buffered_after_request();
            let skipper = self.requests.skip_further_requests();
            self.parsed_bytes -= (stored_before - self.requests.buffered_after_request()) as u64;
            self.overflow = Some(Box::new(PipelineOverflow { skipper, unread_since: None }));
        }
        self.overflow.is_some()
    }

    /// Returns whether received bytes would be skipped and no more may be skipped now.
    fn is_over_skip_allowance(&mut self) -> bool {
        self.is_skipping() && !self.skip_allowance.covers(Instant::now(), READ_BUFFER_BYTES)
    }

    /// Waits until a read may be skipped.
    pub(super) async fn wait_for_skip_allowance(&mut self) {
        while self.is_over_skip_allowance() {
            sleep(self.skip_allowance.time_until(READ_BUFFER_BYTES)).await;
        }
    }

    /// Returns whether there are requests that have been received and not been processed.
    pub(super) fn has_buffered_requests(&self) -> bool {
        !self.requests.is_empty() || self.overflow.is_some()
    }

    /// Returns whether all requests have been processed except those that were skipped.
    pub(super) fn has_only_skipped_requests(&self) -> bool {
        self.requests.is_empty() && self.overflow.is_some()
    }

    /// Takes the next of the skipped requests, up to `max_requests` if they are complete. If there is none, ends
    /// the skipping and returns `None`.
    pub(super) fn take_skipped_requests(&mut self, max_requests: usize) -> Option<SkippedRequest> {
        let skipper = &mut self.overflow.as_mut()?.skipper;
        let requests = skipper.take_requests(max_requests);
        let next = match skipper.end() {
            _ if requests > 0 => Some(SkippedRequest::Complete { requests }),
            Some(SkipEnd::Close) => Some(SkippedRequest::Close),
            Some(SkipEnd::Malformed(error)) => Some(SkippedRequest::Malformed(error)),
            None => skipper.is_within_body().then_some(SkippedRequest::Partial),
        };
        if next.is_none() {
            self.end_overflow();
        }
        next
    }

    /// Returns whether the first of the skipped requests has been received partially.
    pub(super) fn is_within_skipped_body(&self) -> bool {
        let skipper = self.overflow.as_ref().map(|overflow| &overflow.skipper);
        skipper.is_some_and(|skipper| skipper.requests() == 0 && skipper.is_within_body())
    }

    /// Passes the bytes that are received from now on to the request parser again.
    fn end_overflow(&mut self) {
        let Some(overflow) = self.overflow.take() else { return };
        self.receive_times = ReceiveTimes::default();
        if let Some(since) = overflow.unread_since {
            self.receive_times.suspend_reading(since);
        }
        let partial_head = overflow.skipper.into_partial_head();
        self.parsed_bytes = partial_head.len() as u64;
        let is_drained = overflow.unread_since.is_none();
        self.receive_times.record_read(self.parsed_bytes, Instant::now(), is_drained);
        self.requests.feed(&partial_head);
    }

    /// Returns the maximum number of bytes that may be read now. Reserves memory to read far ahead of the current
    /// request, as long as memory is spare.
    fn read_limit(&mut self) -> usize {
        let limit = self.requests.read_limit(UNRESERVED_READ_AHEAD_BYTES);
        if limit > 0 {
            return limit;
        }
        if self.read_ahead.is_none() {
            let memory = &self.context.services.memory_budget;
            self.read_ahead = memory.try_reserve_spare(RESERVED_READ_AHEAD_BYTES);
        }
        self.read_ahead.as_ref().map_or(0, |_| self.requests.read_limit(RESERVED_READ_AHEAD_BYTES))
    }

    /// Ends the current request, and returns memory that was reserved for bytes after it if these are few.
    pub(super) fn finish_request(&mut self) {
        self.requests.finish_request();
        if !self.requests.needs_read_ahead_reservation() {
            self.read_ahead = None;
        }
    }

    /// Returns the memory reserved for bytes that were read ahead, if there is any.
    pub(super) fn read_ahead(&self) -> Option<&Reservation> {
        self.read_ahead.as_ref()
    }

    /// Drops all bytes that were read and not processed, and the memory reserved for them. No further request can
    /// be parsed.
    pub(super) fn discard_requests(&mut self) {
        self.requests = RequestParser::default();
        self.overflow = None;
        self.read_ahead = None;
    }

    /// Waits until the client sends more bytes or disconnects, and returns what is known about it then.
    pub(super) async fn wait_for_input(&mut self) -> ClientState {
        if self.is_over_skip_allowance() {
            return ClientState::Unknown;
        }
        match self.read().await {
            Ok(()) => ClientState::Connected,
            Err(_) => ClientState::Disconnected,
        }
    }

    /// Reads the available bytes and returns what is known about the client after its request.
    pub(super) fn check_client(&mut self) -> ClientState {
        for _ in 0..MAX_READS_PER_CHECK {
            if self.is_over_skip_allowance() {
                return ClientState::Unknown;
            }
            match self.try_read() {
                Ok(0) => return ClientState::Disconnected,
                Ok(_) if self.overflow.is_none() => return ClientState::Connected,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock || is_out_of_buffers(&error) => {
                    return ClientState::Connected;
                }
                Err(_) => return ClientState::Disconnected,
            }
        }
        ClientState::Connected
    }

    /// Writes a response, head and body with vectored writes. If `close` is true, the head announces that the
    /// connection will be closed.
    ///
    /// # Errors
    /// The reason to close the connection, if writing fails or takes longer than `answer_write_timeout`.
    pub(super) async fn write(&mut self, response: &Response, close: bool) -> Result<(), CloseReason> {
        let body = &response.body;
        let head = response_head(response.status, body.len(), response.retry_after, close);
        self.write_head_and_body(&head, body).await
    }

    /// Writes the same response to `count` requests at once. The connection stays open.
    ///
    /// # Errors
    /// As for [`ClientSocket::write`].
    pub(super) async fn write_repeatedly(
        &mut self,
        response: &Response,
        count: usize,
    ) -> Result<(), CloseReason> {
        let head = response_head(response.status, response.body.len(), response.retry_after, false);
        self.write_head_and_body(&[&head[..], &response.body].concat().repeat(count), &[]).await
    }

    async fn write_head_and_body(&mut self, head: &[u8], body: &[u8]) -> Result<(), CloseReason> {
        let deadline =
            Instant::now() + self.context.services.live_config.get().transport.answer_write_timeout;
        let total = head.len() + body.len();
        let mut written = 0;
        while written < total {
            let unsent_head = &head[written.min(head.len())..];
            let unsent_body = &body[written.saturating_sub(head.len())..];
            let slices = [IoSlice::new(unsent_head), IoSlice::new(unsent_body)];
            match retry_interrupted(|| self.stream.try_write_vectored(&slices)) {
                Ok(count) => {
                    written += count;
                    self.count_written(count);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.wait_until_writable(deadline).await?;
                }
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

    async fn wait_until_writable(&self, deadline: Instant) -> Result<(), CloseReason> {
        match before_deadline(deadline, self.stream.ready(Interest::WRITABLE)).await {
            Some(Ok(_)) => Ok(()),
            Some(Err(_)) => Err(CloseReason::WriteFailed),
            None => Err(CloseReason::WriteStalled),
        }
    }

    /// Performs a lingering close: shuts down the write side of the connection, then reads and discards input
    /// for up to `linger`.
    ///
    /// If bytes were left unread, the kernel would reset the connection and the client could lose a response
    /// that it has not read yet (RFC 9112 section 9.6). A request among the discarded bytes gets no response.
    /// Its client sees the connection close and can retry the request on another connection.
    pub(super) async fn close(&mut self, linger: Duration) {
        // An error means that the connection is already closed or broken.
        let _ = self.stream.shutdown().await;
        let _ = timeout(linger, self.discard_input()).await;
    }

    /// Reads and discards input until the client closes its side, an error occurs, or [`MAX_DISCARDED_BYTES`]
    /// have been read.
    async fn discard_input(&self) {
        let mut remaining = MAX_DISCARDED_BYTES;
        while remaining > 0 {
            if self.readable().await.is_err() {
                return;
            }
            let read = retry_interrupted(|| self.stream.try_read(&mut self.context.read_buffer.borrow_mut()));
            match read {
                Ok(0) => return,
                Ok(count) => remaining = remaining.saturating_sub(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.budget.replenish(),
                Err(error) if is_out_of_buffers(&error) => sleep(BUFFER_RETRY_DELAY).await,
                Err(_) => return,
            }
        }
    }
}
