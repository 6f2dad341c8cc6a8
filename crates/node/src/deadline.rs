//! Timeouts for socket operations that don't lose data that arrived before the deadline.

use std::future::Future;
use std::pin::pin;
use tokio::task::yield_now;
use tokio::time::{timeout_at, Instant};

/// Waits for the future until the deadline. Returns its output, or `None` if the deadline passes first.
///
/// After a pause of this process, or a signal, the runtime may check its timers before it polls the
/// sockets. The deadline has then passed, although data that arrived before it has not been read. The
/// future is therefore polled once more after the deadline, after the runtime has polled the sockets.
pub(crate) async fn before_deadline<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    if let Ok(output) = timeout_at(deadline, &mut future).await {
        return Some(output);
    }
    // Lets the runtime run the other tasks and poll the I/O driver.
    yield_now().await;
    tokio::select! {
        biased;
        output = &mut future => Some(output),
        () = std::future::ready(()) => None,
    }
}
