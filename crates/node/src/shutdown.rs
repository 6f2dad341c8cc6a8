//! What the program goes through when it is told to stop.

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// The states of a front node, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It has been told to stop; the front in front of it does not know yet, so it goes on serving.
    HandingOver,
    /// Nothing new is taken; connections end between requests.
    Closing,
}

/// Everybody's view of the phase.
pub type Phases = watch::Receiver<Phase>;

/// Waits until the phase is at least this one; for ever if it never will be.
pub async fn reached(phases: &mut Phases, least: Phase) {
    if phases.wait_for(|phase| *phase >= least).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits for the signal to stop: SIGTERM, or an interrupt from a terminal.
pub async fn told_to_stop() -> std::io::Result<&'static str> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => Ok("SIGTERM"),
        _ = interrupt.recv() => Ok("SIGINT"),
    }
}
