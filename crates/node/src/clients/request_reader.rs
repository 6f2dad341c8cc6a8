//! Waits on a connection for its next request: idle and partial requests with their timeouts, eviction and shutdown.

use super::connection::Connection;
use super::response::Response;
use super::ClientContext;
use crate::close_reason::CloseReason;
use crate::config::Transport;
use crate::deadline::before_deadline;
use crate::shutdown::{wait_for_phase, PhaseReceiver, ShutdownPhase};
use pinetrestle_protocol::head::HttpError;
use pinetrestle_protocol::requests::RequestProgress;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// A connection's wait for its next request.
#[derive(Clone, Copy)]
struct RequestWait {
    began_at: Instant,
    /// When the connection was accepted.
    accepted_at: Instant,
    /// No request has come on the connection yet.
    is_first: bool,
}

impl RequestWait {
    /// By when the connection's first request has to be complete, however slowly it comes.
    fn first_request_deadline(self, transport: &Transport) -> Option<Instant> {
        self.is_first.then(|| self.accepted_at + transport.first_request_timeout)
    }

    /// By when a request that began to arrive at `request_began_at` has to be complete.
    fn request_deadline(self, transport: &Transport, request_began_at: Instant) -> Instant {
        let deadline = request_began_at + transport.request_timeout;
        self.first_request_deadline(transport).map_or(deadline, |first| first.min(deadline))
    }

    /// Waits until the connection, on which nothing arrives, is to be closed, and returns why.
    async fn idle_end(
        self,
        context: &ClientContext,
        phases: &mut PhaseReceiver,
        transport: &Transport,
    ) -> CloseReason {
        let shutdown = async {
            wait_for_phase(phases, ShutdownPhase::Closing).await;
            // A connection that was just accepted may have its first request on the way.
            let grace = if self.is_first { transport.linger } else { Duration::ZERO };
            sleep_until(self.began_at + grace).await;
        };
        let eviction = async {
            if self.is_first {
                context.admission.evicted_while_unused(self.accepted_at).await;
            } else {
                context.admission.evicted_while_idle().await;
            }
        };
        let idle_deadline = self.began_at + transport.client_idle_timeout;
        let deadline = self.first_request_deadline(transport).unwrap_or(idle_deadline);
        tokio::select! {
            () = shutdown => CloseReason::ShutdownIdle,
            () = eviction => CloseReason::Evicted,
            () = sleep_until(deadline) => if self.is_first { CloseReason::NoRequest } else { CloseReason::IdleTimeout },
        }
    }
}

impl Connection {
    /// Reads until a request is complete, and returns when it began to arrive.
    pub(super) async fn read_request(&mut self) -> Result<Instant, CloseReason> {
        let config = self.context.services.live.get();
        let transport = &config.transport;
        // What was sent ahead of the last response counts as begun now.
        let mut request_began_at = (!self.socket.requests.is_empty()).then(Instant::now);
        let wait = RequestWait {
            began_at: Instant::now(),
            accepted_at: self.accepted_at,
            is_first: self.requests_read == 0,
        };
        loop {
            match self.socket.requests.parse() {
                Ok(RequestProgress::Complete) => return Ok(request_began_at.unwrap_or_else(Instant::now)),
                Ok(RequestProgress::Partial) => {
                    let began_at = *request_began_at.get_or_insert_with(Instant::now);
                    self.read_rest(wait.request_deadline(transport, began_at)).await?;
                }
                Ok(RequestProgress::Idle) => {
                    self.wait_for_first_bytes(transport, wait).await?;
                    request_began_at = Some(self.context.services.pause_detector.earliest_arrival());
                }
                Err(error) => return self.reject_unparsable(error).await,
            }
        }
    }

    /// Reads more of a request that has begun to arrive. Past the deadline, or at the end of a shutdown, it is
    /// answered with an error.
    async fn read_rest(&mut self, deadline: Instant) -> Result<(), CloseReason> {
        let context = self.context.clone();
        let mut phases = self.phases.clone();
        let shutdown = async {
            wait_for_phase(&mut phases, ShutdownPhase::Closing).await;
            sleep_until(context.shutdown_deadline.get().unwrap_or(deadline)).await;
        };
        let reason = tokio::select! {
            biased;
            read = before_deadline(deadline, self.socket.read()) => match read {
                Some(result) => return result,
                None => CloseReason::RequestTimeout,
            },
            () = shutdown => CloseReason::Shutdown,
        };
        let response = match reason {
            CloseReason::RequestTimeout => Response::reason(408, "request_timeout"),
            _ => Response::reason(503, "stopping"),
        };
        self.socket.write(&response, true).await?;
        Err(reason)
    }

    /// Waits on an idle connection for the first bytes of a request; an error is the reason to close it instead.
    async fn wait_for_first_bytes(
        &mut self,
        transport: &Transport,
        wait: RequestWait,
    ) -> Result<(), CloseReason> {
        let context = self.context.clone();
        let mut phases = self.phases.clone();
        let reason = tokio::select! {
            biased;
            read = self.socket.read() => return read,
            reason = wait.idle_end(&context, &mut phases, transport) => reason,
        };
        // A request may have arrived by now, and may not have been seen yet: it is served.
        match before_deadline(Instant::now(), self.socket.read()).await {
            Some(read) => read,
            None => Err(reason),
        }
    }

    /// Answers bytes that are no request, and ends the connection for them.
    async fn reject_unparsable(&mut self, error: HttpError) -> Result<Instant, CloseReason> {
        self.context.services.counters.connections.bad_requests.increment();
        self.socket.write(&Response::reason(error.status(), error.code()), true).await?;
        Err(error.into())
    }
}
