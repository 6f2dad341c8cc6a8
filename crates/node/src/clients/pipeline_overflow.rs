//! The requests that a client pipelines beyond the read-ahead limit.
//!
//! The close of a connection is received behind all bytes that the client sent before it. While a request is in
//! progress, the bytes behind the read-ahead limit are therefore read too, so that a disconnect is noticed, but
//! they are not stored: the requests are counted and each one is rejected in its turn. A client that sends more than
//! may be skipped can't be told from one that has disconnected, so the request in progress fails.

use pinetrestle_protocol::requests::RequestSkipper;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of bytes that are skipped at once on one connection.
const MAX_ALLOWANCE_BYTES: usize = 2 * 1024 * 1024;
/// Number of bytes that a connection may skip in a second once the allowance is used up.
const ALLOWANCE_BYTES_PER_SECOND: f64 = 256.0 * 1024.0;

/// The number of bytes that may be skipped on a connection. It bounds the processor time that a client takes by
/// sending without a pause.
#[derive(Debug)]
pub(super) struct SkipAllowance {
    bytes: usize,
    /// The time up to which the allowance has grown.
    updated_at: Instant,
}

impl SkipAllowance {
    /// Creates the full allowance of a new connection.
    pub(super) fn new(now: Instant) -> SkipAllowance {
        SkipAllowance { bytes: MAX_ALLOWANCE_BYTES, updated_at: now }
    }

    /// Returns whether `bytes` bytes may be skipped now.
    pub(super) fn covers(&mut self, now: Instant, bytes: usize) -> bool {
        if self.bytes < bytes {
            self.grow(now);
        }
        self.bytes >= bytes
    }

    /// Returns the time until `bytes` bytes may be skipped, if no others are.
    pub(super) fn time_until(&self, bytes: usize) -> Duration {
        let missing_bytes = bytes.saturating_sub(self.bytes);
        Duration::from_secs_f64(missing_bytes as f64 / ALLOWANCE_BYTES_PER_SECOND)
    }

    fn grow(&mut self, now: Instant) {
        let elapsed: Duration = now.duration_since(self.updated_at);
        let grown = (elapsed.as_secs_f64() * ALLOWANCE_BYTES_PER_SECOND) as usize;
        self.bytes = self.bytes.saturating_add(grown).min(MAX_ALLOWANCE_BYTES);
        self.updated_at = now;
    }

    /// Accounts for skipped bytes.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}

/// The requests behind the stored ones, which are skipped.
#[derive(Debug)]
pub(super) struct PipelineOverflow {
    /// Counts the requests.
    pub(super) skipper: RequestSkipper,
    /// The time since which received bytes may have waited in the kernel.
    pub(super) unread_since: Option<Instant>,
}

impl PipelineOverflow {
    /// Skips received bytes. `drained` is `true` if no bytes are left in the kernel's receive buffer.
    pub(super) fn skip(&mut self, bytes: &[u8], now: Instant, drained: bool) {
        self.skipper.skip(bytes);
        if drained {
            self.unread_since = None;
        } else {
            self.unread_since.get_or_insert(now);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/inside/pipeline_overflow.rs"]
mod tests;
