//! Reads the next request of a client connection. Waiting ends with a timeout, an eviction or a shutdown if
//! no complete request is received.

use super::connection::Connection;
use super::response::Response;
use super::ClientContext;
use crate::close_reason::CloseReason;
use crate::config::Transport;
use crate::deadline::before_deadline;
use crate::shutdown::{wait_for_phase, PhaseReceiver, ShutdownPhase};
use pinetrestle_protocol::head::HttpError;
use pinetrestle_protocol::query::parse_expiry;
use pinetrestle_protocol::requests::RequestProgress;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Maximum time that a request waits for memory whose head is not complete or states no expiry.
const DEFAULT_MEMORY_WAIT: Duration = Duration::from_millis(250);

/// A connection's wait for its next request, with the times that determine the deadlines of this wait.
#[derive(Clone, Copy)]
struct RequestWait {
    /// The time at which the wait began: after the accept, or after the previous response.
    began_at: Instant,
    /// The time at which the connection was accepted.
    accepted_at: Instant,
    /// The connection has not received a complete request yet.
    is_first: bool,
}

impl RequestWait {
    /// Returns the time by which the first request of the connection has to be complete, even if bytes of it
    /// keep arriving. Returns `None` for later requests.
    fn first_request_deadline(self, transport: &Transport) -> Option<Instant> {
        self.is_first.then(|| self.accepted_at + transport.first_request_timeout)
    }

    /// Returns the time by which a request whose first byte was received at `request_began_at` has to be
    /// complete.
    fn request_deadline(self, transport: &Transport, request_began_at: Instant) -> Instant {
        let deadline = request_began_at + transport.request_timeout;
        self.first_request_deadline(transport).map_or(deadline, |first| first.min(deadline))
    }

    /// Waits until an idle connection has to be closed, and returns the reason.
    async fn wait_for_idle_close(
        self,
        context: &ClientContext,
        phases: &mut PhaseReceiver,
        transport: &Transport,
    ) -> CloseReason {
        let shutdown = async {
            wait_for_phase(phases, ShutdownPhase::Closing).await;
            // The first request of a newly accepted connection may still be in transit.
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
        let timeout_reason = if self.is_first { CloseReason::NoRequest } else { CloseReason::IdleTimeout };
        tokio::select! {
            () = shutdown => CloseReason::ShutdownIdle,
            () = eviction => CloseReason::Evicted,
            () = sleep_until(deadline) => timeout_reason,
        }
    }
}

impl Connection {
    /// Reads until a request is complete. Returns the time at which its first byte was received.
    ///
    /// If bytes of a pipelined request were buffered already, returns instead the time at which reading of
    /// this request began, which is just after the previous response was written.
    ///
    /// # Errors
    /// The reason to close the connection. An error response has been written to the client if the request
    /// was partial or malformed and the connection still works.
    pub(super) async fn read_request(&mut self) -> Result<Instant, CloseReason> {
        let config = self.context.services.live_config.get();
        let transport = &config.transport;
        // If bytes of a pipelined request are already buffered, its timeout runs from the previous response,
        // which was written just now.
        let is_pipelined = !self.socket.requests.is_empty();
        let mut request_began_at = is_pipelined.then(Instant::now);
        if is_pipelined {
            self.socket.begin_pipelined_request().await;
        }
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
                    self.read_more(began_at, wait.request_deadline(transport, began_at)).await?;
                }
                Ok(RequestProgress::Idle) => {
                    self.wait_for_first_bytes(transport, wait).await?;
                    request_began_at = Some(self.context.services.pause_detector.earliest_arrival());
                }
                Err(error) => return self.reject_unparsable(error).await,
            }
        }
    }

    /// Reads more bytes of a partial request, of which the first byte was received at `began_at`.
    ///
    /// # Errors
    /// The reason to close the connection, if no bytes are received by `deadline` or by the deadline of a shutdown,
    /// if there is no memory for the request, or if the client has closed the connection. Otherwise an error
    /// response has been written.
    async fn read_more(&mut self, began_at: Instant, deadline: Instant) -> Result<(), CloseReason> {
        let context = self.context.clone();
        let mut phases = self.phases.clone();
        let shutdown = async {
            wait_for_phase(&mut phases, ShutdownPhase::Closing).await;
            sleep_until(context.shutdown_deadline.get().unwrap_or(deadline)).await;
        };
        let reason = tokio::select! {
            biased;
            read = self.read_with_reservation(began_at, deadline) => match read {
                Ok(()) => return Ok(()),
                Err(reason) => reason,
            },
            () = shutdown => CloseReason::Shutdown,
        };
        let response = match reason {
            CloseReason::RequestTimeout => Response::with_reason(408, "request_timeout"),
            CloseReason::NoRequestMemory => Response::with_reason(503, "no_request_memory"),
            CloseReason::Evicted => Response::with_reason(503, "made_room"),
            CloseReason::Shutdown => Response::with_reason(503, "stopping"),
            _ => return Err(reason),
        };
        // The client may be slow to receive the response. Its request must not hold memory meanwhile.
        self.discard_requests();
        let write = self.socket.write(&response, true);
        if reason == CloseReason::Evicted {
            // The place is needed now, so the response is only written if the socket accepts it at once.
            before_deadline(Instant::now(), write).await;
        } else {
            write.await?;
        }
        Err(reason)
    }

    /// Reads more bytes of a partial request. Reserves memory first if the request is large. The memory may be
    /// revoked while the client sends nothing.
    async fn read_with_reservation(
        &mut self,
        began_at: Instant,
        deadline: Instant,
    ) -> Result<(), CloseReason> {
        self.reserve_memory(deadline).await?;
        let context = self.context.clone();
        let held = self.reservation.as_ref().or(self.socket.read_ahead());
        let (held_since, bytes) =
            held.map_or((began_at, 0), |held| (held.granted_at().max(began_at), held.bytes()));
        tokio::select! {
            biased;
            read = before_deadline(deadline, self.socket.read()) => {
                read.unwrap_or(Err(CloseReason::RequestTimeout))
            }
            () = context.admission.evicted_while_stalled(held_since) => Err(CloseReason::Evicted),
            () = context.services.memory_budget.revoked(held_since, bytes), if bytes > 0 => {
                Err(CloseReason::NoRequestMemory)
            }
        }
    }

    /// Reserves memory for the current request if it is large and has no reservation yet.
    async fn reserve_memory(&mut self, deadline: Instant) -> Result<(), CloseReason> {
        let bytes = self.socket.requests.reservation();
        if bytes == 0 || self.reservation.is_some() {
            return Ok(());
        }
        let give_up_at = deadline.min(Instant::now() + self.max_memory_wait());
        let memory_budget = &self.context.services.memory_budget;
        let reservation = before_deadline(give_up_at, memory_budget.reserve(bytes)).await.flatten();
        self.reservation = Some(reservation.ok_or(CloseReason::NoRequestMemory)?);
        Ok(())
    }

    /// Returns how long the current request may wait for memory: half of the time that its client allows, so that
    /// the client can try again elsewhere, or [`DEFAULT_MEMORY_WAIT`] if its head is not complete.
    fn max_memory_wait(&self) -> Duration {
        let config = self.context.services.live_config.get();
        let expiry = self.socket.requests.head_field(&config.names.wire.header_names.expires);
        parse_expiry(expiry).map_or(DEFAULT_MEMORY_WAIT, |micros| Duration::from_micros(micros as u64) / 2)
    }

    /// Waits on an idle connection for the first bytes of a request.
    ///
    /// # Errors
    /// The reason to close the connection, if no bytes are received before the connection has to be closed.
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
            reason = wait.wait_for_idle_close(&context, &mut phases, transport) => reason,
        };
        // The kernel may have received a request although the runtime has not reported the socket as readable
        // yet. Such a request is still served.
        match before_deadline(Instant::now(), self.socket.read()).await {
            Some(read) => read,
            None => Err(reason),
        }
    }

    /// Responds with an error to bytes that are not a valid HTTP request, and returns the reason to close the
    /// connection.
    pub(super) async fn reject_unparsable<T>(&mut self, error: HttpError) -> Result<T, CloseReason> {
        self.context.services.counters.connections.bad_requests.increment();
        self.socket.write(&Response::with_reason(error.status(), error.code()), true).await?;
        Err(error.into())
    }
}
