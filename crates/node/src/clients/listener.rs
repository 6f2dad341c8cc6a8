//! The accept loop for client connections. It accepts connections while fewer than the limit are open. At a
//! graceful shutdown it ends once the kernel's accept queue is empty.

use super::connection::Connection;
use super::ClientContext;
use crate::shutdown::{wait_for_phase, PhaseReceiver, ShutdownPhase};
use pinetrestle_system_calls::is_accept_resource_error;
use slog::warn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

/// Delay before the next `accept` after a failure for lack of local resources, such as file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The delay of [`ACCEPT_BACKOFF`] is also applied after every run of this many consecutive failures with any
/// error, because the listening socket itself may be broken.
const MAX_FAILURES_WITHOUT_BACKOFF: u32 = 64;
/// Minimum interval between two log lines about failures of `accept`. All failures are counted.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// In [`ShutdownPhase::Closing`], the accept loop ends once no connection has arrived for this long.
/// Connections that the kernel has queued are accepted first.
const CLOSING_ACCEPT_TIMEOUT: Duration = Duration::from_millis(50);

/// Accepts connections until [`ShutdownPhase::Closing`] begins, then those that are already in the accept
/// queue.
pub(crate) async fn accept_connections(
    context: Rc<ClientContext>,
    listener: TcpListener,
    phases: PhaseReceiver,
) {
    Listener { context, listener, phases, is_closing: false, failures: AcceptFailures::default() }
        .run()
        .await;
}

/// The state of the accept loop.
struct Listener {
    context: Rc<ClientContext>,
    listener: TcpListener,
    phases: PhaseReceiver,
    /// [`ShutdownPhase::Closing`] has begun: only connections already in the accept queue are accepted.
    is_closing: bool,
    failures: AcceptFailures,
}

/// The state of the handling of failed `accept(2)` calls.
#[derive(Default)]
struct AcceptFailures {
    /// Failures since the last accepted connection.
    consecutive: u32,
    last_logged_at: Option<Instant>,
}

/// The result of waiting for the next connection.
enum AcceptEvent {
    Accepted(TcpStream, SocketAddr),
    Failed(io::Error),
    /// [`ShutdownPhase::Closing`] has begun.
    ClosingBegan,
    /// The accept queue is empty while the front node is closing.
    QueueEmpty,
}

impl From<io::Result<(TcpStream, SocketAddr)>> for AcceptEvent {
    fn from(accepted: io::Result<(TcpStream, SocketAddr)>) -> AcceptEvent {
        match accepted {
            Ok((stream, peer)) => AcceptEvent::Accepted(stream, peer),
            Err(error) => AcceptEvent::Failed(error),
        }
    }
}

impl Listener {
    async fn run(mut self) {
        loop {
            let admission = &self.context.admission;
            admission.evict_if_near_limit();
            if admission.is_at_limit() {
                admission.wait_for_capacity().await;
                continue;
            }
            match self.next_event().await {
                AcceptEvent::Accepted(stream, peer) => self.spawn_connection(stream, peer),
                AcceptEvent::Failed(error) => self.handle_failure(&error).await,
                AcceptEvent::ClosingBegan => self.is_closing = true,
                AcceptEvent::QueueEmpty => return,
            }
        }
    }

    async fn next_event(&mut self) -> AcceptEvent {
        if self.is_closing {
            // The kernel has completed the handshake of every queued connection, so its client may have sent
            // a request already and is served.
            match timeout(CLOSING_ACCEPT_TIMEOUT, self.listener.accept()).await {
                Ok(accepted) => accepted.into(),
                Err(_) => AcceptEvent::QueueEmpty,
            }
        } else {
            tokio::select! {
                accepted = self.listener.accept() => accepted.into(),
                () = wait_for_phase(&mut self.phases, ShutdownPhase::Closing) => AcceptEvent::ClosingBegan,
            }
        }
    }

    fn spawn_connection(&mut self, stream: TcpStream, peer: SocketAddr) {
        self.failures.consecutive = 0;
        self.context.admission.record_open();
        tokio::task::spawn_local(Connection::run(self.context.clone(), stream, peer, self.phases.clone()));
    }

    /// Counts and logs a failure, and waits for [`ACCEPT_BACKOFF`] if the next `accept` would probably fail
    /// too.
    async fn handle_failure(&mut self, error: &io::Error) {
        let failed = &self.context.services.counters.connections.accept_failed;
        failed.increment();
        if self.failures.last_logged_at.is_none_or(|at| at.elapsed() >= ACCEPT_LOG_INTERVAL) {
            self.failures.last_logged_at = Some(Instant::now());
            warn!(self.context.services.log, "accepting failed"; "error" => %error, "all" => failed.get());
        }
        self.failures.consecutive += 1;
        // Any other error, such as `ECONNABORTED`, concerns only the connection at the front of the queue,
        // which the failed `accept` has removed. The connections behind it are accepted without delay.
        let needs_backoff = is_accept_resource_error(error)
            || self.failures.consecutive.is_multiple_of(MAX_FAILURES_WITHOUT_BACKOFF);
        if needs_backoff {
            sleep(ACCEPT_BACKOFF).await;
        }
    }
}
