//! The lifecycle of one client connection: requests and responses in turn until there is a [`CloseReason`],
//! then the close of the socket.

use super::response::Response;
use super::routes::RequestAction;
use super::socket::{ClientSocket, ClientState};
use super::ClientContext;
use crate::close_reason::CloseReason;
use crate::host::QueryRequest;
use crate::invariants::PendingReply;
use crate::memory_budget::Reservation;
use crate::messages::Message;
use crate::shutdown::{PhaseReceiver, ShutdownPhase};
use pinetrestle_recorder::{EventKind, QueryKey, Record};
use slog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};

/// Number of malformed requests after which a connection is closed.
const MAX_MALFORMED_REQUESTS: u32 = 16;

/// Delay before a request is rejected because its client sends without a pause behind it.
const PIPELINE_REJECTION_DELAY: Duration = Duration::from_millis(250);

/// An open client connection.
pub(super) struct Connection {
    /// The state shared by all client connections.
    pub(super) context: Rc<ClientContext>,
    /// The socket, with the requests read from it.
    pub(super) socket: ClientSocket,
    /// The shutdown phase of the front node.
    pub(super) phases: PhaseReceiver,
    /// The time at which the connection was accepted.
    pub(super) accepted_at: Instant,
    /// The memory reserved for the current request, if it is large.
    pub(super) reservation: Option<Reservation>,
    /// Number of complete requests read.
    pub(super) requests_read: u64,
    /// Number of requests rejected as malformed.
    malformed_requests: u32,
}

impl Connection {
    /// Serves a connection from accept to close.
    pub(super) async fn run(
        context: Rc<ClientContext>,
        stream: TcpStream,
        peer: SocketAddr,
        phases: PhaseReceiver,
    ) {
        let mut connection = Connection {
            socket: ClientSocket::new(context.clone(), stream),
            context,
            phases,
            accepted_at: Instant::now(),
            reservation: None,
            requests_read: 0,
            malformed_requests: 0,
        };
        let reason = loop {
            if let Err(reason) = connection.serve_request().await {
                break reason;
            }
        };
        connection.close(reason).await;
        connection.report_close(peer, reason);
    }

    /// Reads one request, handles it and writes its response.
    ///
    /// # Errors
    /// The reason to close the connection. If a request was read, its response has been written, unless the
    /// client disconnected or the socket failed.
    async fn serve_request(&mut self) -> Result<(), CloseReason> {
        if self.socket.has_only_skipped_requests() {
            return self.reject_skipped_requests().await;
        }
        let began_at = self.read_request().await?;
        let received_at = self.socket.request_received_at(began_at);
        self.requests_read += 1;
        let services = &self.context.services;
        services.counters.connections.requests.increment();
        let Some(request) = self.socket.requests.request() else { return Err(CloseReason::IoError) };
        let keep_alive = request.keeps_alive();
        let mut action = self.context.route(&request, received_at);
        let mut reservation = self.reservation.take();
        if let Some(reservation) = &mut reservation {
            reservation.shrink_to(self.socket.requests.complete_bytes());
        }
        self.socket.requests.release_body();
        action.attach_reservation(reservation);
        let query = action.query_key();
        let pending_reply = PendingReply::new(services.invariants.clone(), query.unwrap_or(0));
        let outcome = match self.handle(action, received_at).await {
            Ok(response) => self.write_response(&response, query, keep_alive).await,
            Err(reason) => Err(reason),
        };
        if outcome.err().is_none_or(CloseReason::is_closed_by_peer) {
            pending_reply.settle();
        }
        match outcome? {
            Some(reason) => Err(reason),
            None => Ok(()),
        }
    }

    /// Returns the response to a request. A query is passed to the event loop.
    async fn handle(&mut self, action: RequestAction, received_at: Instant) -> Result<Response, CloseReason> {
        match action {
            RequestAction::Respond(response) => Ok(response),
            RequestAction::Query { key, request } => {
                let age = || {
                    Record::for_query(EventKind::RequestRead, key)
                        .with_value(received_at.elapsed().as_micros() as u64)
                };
                self.context.services.recorder.record(age);
                self.submit_query(request, key).await
            }
        }
    }

    /// Sends a query to the event loop and waits for the reply, or for the client to disconnect.
    async fn submit_query(
        &mut self,
        request: Box<QueryRequest>,
        query: QueryKey,
    ) -> Result<Response, CloseReason> {
        let context = self.context.clone();
        let services = &context.services;
        match self.socket.check_client() {
            ClientState::Connected => {}
            ClientState::Unknown => {
                sleep(PIPELINE_REJECTION_DELAY).await;
                return Ok(self.pipeline_rejection(1));
            }
            ClientState::Disconnected => {
                services.recorder.record(|| Record::for_query(EventKind::ClientDisconnected, query));
                return Err(CloseReason::ClientDisconnected);
            }
        }
        let query_number = context.allocate_query_number();
        let (reply_sender, mut reply) = oneshot::channel();
        // Fails only if the event loop has ended, which ends the program. `reply` then fails too.
        let _ =
            services.to_event_loop.send(Message::Query { query_number, request, reply: reply_sender }).await;
        let state = loop {
            tokio::select! {
                biased;
                result = &mut reply => return Ok(Response::for_query(result)),
                state = self.socket.wait_for_input() => if state != ClientState::Connected { break state },
            }
        };
        services.recorder.record(|| Record::for_query(EventKind::ClientDisconnected, query));
        let _ = services.to_event_loop.send(Message::ClientDisconnected { query_number }).await;
        match state {
            ClientState::Unknown => Ok(Response::with_reason(500, "pipeline_full")),
            _ => Err(CloseReason::ClientDisconnected),
        }
    }

    /// Writes the response. Returns the reason to close the connection after the response, or `None` to keep
    /// it open.
    async fn write_response(
        &mut self,
        response: &Response,
        query: Option<QueryKey>,
        keep_alive: bool,
    ) -> Result<Option<CloseReason>, CloseReason> {
        self.socket.finish_request();
        self.malformed_requests += u32::from(response.is_malformed);
        let close_reason = self.reason_to_close(keep_alive);
        let written = self.socket.write(response, close_reason.is_some()).await;
        if let Some(query) = query {
            let kind = if written.is_ok() { EventKind::ReplyWritten } else { EventKind::ReplyNotWritten };
            self.context
                .services
                .recorder
                .record(|| Record::for_query(kind, query).with_value(response.status.into()));
        }
        written?;
        Ok(close_reason)
    }

    /// Returns the reason to close the connection after the current response, or `None` to keep it open.
    fn reason_to_close(&self, keep_alive: bool) -> Option<CloseReason> {
        // During a shutdown, pipelined requests that are already buffered are answered too, until the
        // deadline.
        let deadline = self.context.shutdown_deadline.get();
        let has_buffered_request =
            self.socket.has_buffered_requests() && deadline.is_some_and(|at| Instant::now() < at);
        let is_closing = *self.phases.borrow() >= ShutdownPhase::Closing && !has_buffered_request;
        if !keep_alive {
            Some(CloseReason::ConnectionClose)
        } else if self.malformed_requests >= MAX_MALFORMED_REQUESTS {
            Some(CloseReason::TooManyBadRequests)
        } else if is_closing {
            Some(CloseReason::Shutdown)
        } else {
            None
        }
    }

    /// Closes the socket. The connection stops counting toward the limit on open connections when the socket
    /// is closed, or immediately if it was evicted.
    async fn close(&mut self, reason: CloseReason) {
        self.discard_requests();
        let linger = self.context.services.live_config.get().transport.linger;
        let admission = &self.context.admission;
        if reason == CloseReason::Evicted {
            let may_linger = admission.begin_lingering();
            admission.record_closed();
            self.socket.close(if may_linger { linger } else { Duration::ZERO }).await;
            admission.end_lingering();
        } else {
            // If the front node closes first, its last response and further bytes from the client may still
            // be in transit, so the socket needs a lingering close.
            if !reason.is_closed_by_peer() {
                self.socket.close(linger).await;
            }
            admission.record_closed();
        }
    }

    /// Drops the current request and all bytes after it, so that no memory is held while the socket is closed.
    pub(super) fn discard_requests(&mut self) {
        self.socket.discard_requests();
        self.reservation = None;
    }

    /// Counts and logs the close of the connection.
    fn report_close(&self, peer: SocketAddr, reason: CloseReason) {
        let services = &self.context.services;
        services.counters.closes.increment("client", reason.code());
        info!(services.log, "connection ended"; "side" => "client", "peer" => %peer,
            "age_ms" => self.accepted_at.elapsed().as_millis() as u64, "requests" => self.requests_read,
            "in" => self.socket.bytes_in, "out" => self.socket.bytes_out,
            "forced_yields" => self.socket.forced_yields(), "reason" => %reason);
    }
}
