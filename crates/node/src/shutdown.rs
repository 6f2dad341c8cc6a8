//! The phases of a graceful shutdown, and the signals that request it.

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

/// The phases of a front node with regard to a graceful shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The front node serves. No shutdown has been requested.
    Serving,
    /// A shutdown has been requested. New connections are still accepted, because the clients and load
    /// balancers that open them may not know yet that this front node is no longer ready.
    HandingOver,
    /// The listener accepts only the connections that are already queued, and each connection is closed when
    /// it has no request in progress.
    Closing,
}

/// Receives the current phase.
pub type PhaseReceiver = watch::Receiver<ShutdownPhase>;

/// Waits until the current phase is `phase` or a later one. Waits forever if the sender is dropped before
/// that.
pub async fn wait_for_phase(phases: &mut PhaseReceiver, phase: ShutdownPhase) {
    if phases.wait_for(|current| *current >= phase).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Handlers of the signals that request a shutdown: SIGTERM, and SIGINT from a terminal.
///
/// From [`TerminationSignals::install`] on, neither signal terminates the process. Signals after the first
/// one have no effect.
pub struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignals {
    /// Installs the handlers of both signals.
    ///
    /// # Errors
    /// The operating system doesn't allow this process to handle the signals.
    pub fn install() -> std::io::Result<TerminationSignals> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(TerminationSignals { terminate, interrupt })
    }

    /// Waits for either signal. Returns immediately if one has been received since
    /// [`TerminationSignals::install`].
    pub async fn received(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
