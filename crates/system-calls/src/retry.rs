//! Functions that retry a system call.

use crate::errors::is_transient_local_error;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

/// Backoff before the first retry after a transient local error. It doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(2);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(50);

/// Retries a call immediately while it is interrupted by a signal (`EINTR`).
///
/// # Errors
/// The errors of `call`, except [`Interrupted`](io::ErrorKind::Interrupted).
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Retries a call with exponential backoff while it fails with a transient local error, until `deadline`.
///
/// A transient local error is one for which [`is_transient_local_error`] returns true.
///
/// # Errors
/// The errors of `call`. A transient local error is returned only if the next retry would start after the
/// deadline, or if a retry has not ended by then: this machine has used up time that the call needed.
pub async fn retry_transient_errors<T, F: Future<Output = io::Result<T>>>(
    deadline: Instant,
    mut call: impl FnMut() -> F,
) -> io::Result<T> {
    let mut backoff = INITIAL_BACKOFF;
    let mut result = call().await;
    loop {
        let local_error = match result {
            Err(error) if is_transient_local_error(&error) && Instant::now() + backoff < deadline => error,
            result => return result,
        };
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        result = timeout_at(deadline, call()).await.unwrap_or(Err(local_error));
    }
}
