//! A timer that limits how often the same log entry is proposed: a proposal may be lost and has to be
//! repeated, but repeating it on every tick would flood the log.

/// Milliseconds between two proposals of the same log entry.
pub const RETRY_INTERVAL_MS: u64 = 250;

/// Limits the proposals of one log entry to one every [`RETRY_INTERVAL_MS`].
///
/// Holds the time of the last proposal in milliseconds of the caller's monotonic clock, or `None` before the
/// first.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RetryTimer(Option<u64>);

impl RetryTimer {
    /// Returns whether the entry is to be proposed at `now_ms`, and if so restarts the timer.
    ///
    /// The first call returns `true`; later ones do so once [`RETRY_INTERVAL_MS`] have passed since the last
    /// `true`.
    pub fn fire_if_due(&mut self, now_ms: u64) -> bool {
        let due = self.0.is_none_or(|last_ms| now_ms >= last_ms + RETRY_INTERVAL_MS);
        if due {
            self.0 = Some(now_ms);
        }
        due
    }

    /// Returns whether [`RetryTimer::fire_if_due`] has returned `true` before.
    pub fn has_fired(&self) -> bool {
        self.0.is_some()
    }
}
