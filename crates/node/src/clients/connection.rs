//! One client connection's lifecycle: request and response in turn until a reason to close it, then the close.

use super::response::Response;
use super::routes::RequestAction;
use super::socket::ClientSocket;
use super::ClientContext;
use crate::close_reason::CloseReason;
use crate::host::QueryRequest;
use crate::invariants::PendingReply;
use crate::messages::Message;
use crate::shutdown::{PhaseReceiver, ShutdownPhase};
use pinetrestle_recorder::{EventKind, QueryKey, Record};
use slog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Malformed requests of one connection after which it is closed.
const MAX_MALFORMED_REQUESTS: u32 = 16;

/// One open connection of a client.
pub(super) struct Connection {
    /// What all connections share.
    pub(super) context: Rc<ClientContext>,
    /// Its socket.
    pub(super) socket: ClientSocket,
    /// The front node's shutdown phase.
    pub(super) phases: PhaseReceiver,
    /// When it was accepted.
    pub(super) accepted_at: Instant,
    /// Complete requests read.
    pub(super) requests_read: u64,
    /// Requests rejected as malformed.
    malformed_requests: u32,
}

impl Connection {
    /// Serves a connection from its accept to its close.
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
            requests_read: 0,
            malformed_requests: 0,
        };
        let reason = loop {
            if let Err(reason) = connection.exchange().await {
                break reason;
            }
        };
        connection.close(reason).await;
        connection.report_end(peer, reason);
    }

    /// Reads one request and responds to it; an error is the reason to close the connection.
    async fn exchange(&mut self) -> Result<(), CloseReason> {
        let began_at = self.read_request().await?;
        let received_at = self.socket.request_received_at(began_at);
        self.requests_read += 1;
        let services = &self.context.services;
        services.counters.connections.requests.increment();
        let Some(request) = self.socket.requests.request() else { return Err(CloseReason::IoError) };
        let keep_alive = request.keeps_alive();
        let action = self.context.route(&request, received_at);
        let query = action.query_key();
        let pending_reply = PendingReply::new(services.invariants.clone(), query.unwrap_or(0));
        let outcome = match self.perform(action, received_at).await {
            Ok(response) => self.respond(&response, query, keep_alive).await,
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

    /// The response to a request, from the core where it is a query.
    async fn perform(
        &mut self,
        action: RequestAction,
        received_at: Instant,
    ) -> Result<Response, CloseReason> {
        match action {
            RequestAction::Respond(response) => Ok(response),
            RequestAction::Query { key, request } => {
                let age = || {
                    Record::for_query(EventKind::RequestRead, key)
                        .with_value(received_at.elapsed().as_micros() as u64)
                };
                self.context.services.recorder.record(age);
                self.query_core(request, key).await
            }
        }
    }

    /// Hands a query to the core and waits for its reply, or for the client to disconnect.
    async fn query_core(
        &mut self,
        request: Box<QueryRequest>,
        query: QueryKey,
    ) -> Result<Response, CloseReason> {
        let context = self.context.clone();
        let services = &context.services;
        if self.socket.has_disconnected() {
            services.recorder.record(|| Record::for_query(EventKind::ClientDisconnected, query));
            return Err(CloseReason::ClientDisconnected);
        }
        let token = context.take_token();
        let (reply, mut answer) = oneshot::channel();
        // The receiver is there as long as the program serves.
        let _ = services.to_core.send(Message::Query { token, request, reply }).await;
        loop {
            tokio::select! {
                biased;
                reply = &mut answer => return Ok(Response::to_query(reply)),
                stays = self.socket.stays_connected() => if !stays { break },
            }
        }
        services.recorder.record(|| Record::for_query(EventKind::ClientDisconnected, query));
        let _ = services.to_core.send(Message::ClientDisconnected { token }).await;
        Err(CloseReason::ClientDisconnected)
    }

    /// Writes the response. Returns the reason to close the connection after it, if there is one.
    async fn respond(
        &mut self,
        response: &Response,
        query: Option<QueryKey>,
        keep_alive: bool,
    ) -> Result<Option<CloseReason>, CloseReason> {
        self.socket.requests.finish_request();
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

    /// Why the connection is to be closed after the response at hand, if it is.
    fn reason_to_close(&self, keep_alive: bool) -> Option<CloseReason> {
        // At a shutdown, requests that were read with this one are answered too, as long as there is time.
        let deadline = self.context.shutdown_deadline.get();
        let has_more = !self.socket.requests.is_empty() && deadline.is_some_and(|at| Instant::now() < at);
        let is_closing = *self.phases.borrow() >= ShutdownPhase::Closing && !has_more;
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

    /// Closes the socket and releases the connection's place: at once where it was evicted, after the close otherwise.
    async fn close(&mut self, reason: CloseReason) {
        let linger = self.context.services.live.get().transport.linger;
        let admission = &self.context.admission;
        if reason == CloseReason::Evicted {
            let may_linger = admission.begin_lingering();
            admission.release_place();
            self.socket.close(if may_linger { linger } else { Duration::ZERO }).await;
            admission.end_lingering();
        } else {
            // Where we close first, a response may still be on its way, and more bytes of the client too.
            if !reason.is_closed_by_peer() {
                self.socket.close(linger).await;
            }
            admission.release_place();
        }
    }

    /// Counts and logs the connection's end.
    fn report_end(&self, peer: SocketAddr, reason: CloseReason) {
        let services = &self.context.services;
        services.counters.closes.increment("client", reason.code());
        info!(services.log, "connection ended"; "side" => "client", "peer" => %peer,
            "age_ms" => self.accepted_at.elapsed().as_millis() as u64, "requests" => self.requests_read,
            "in" => self.socket.bytes_in, "out" => self.socket.bytes_out, "reason" => %reason);
    }
}
