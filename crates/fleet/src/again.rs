//! When to say the same thing again: a proposal may be lost, and one said each tick would flood the log.

/// Milliseconds between two tries of the same thing.
pub const AGAIN_MS: u64 = 250;

/// When something was last said, in milliseconds of the caller's own monotonic clock.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Again(Option<u64>);

impl Again {
    /// Whether it is to be said at `now_ms`: the first time, and each [`AGAIN_MS`]. One that is counts as said.
    pub fn due(&mut self, now_ms: u64) -> bool {
        let due = self.0.is_none_or(|at| now_ms >= at + AGAIN_MS);
        if due {
            self.0 = Some(now_ms);
        }
        due
    }

    /// Whether it was said at all.
    pub fn said(&self) -> bool {
        self.0.is_some()
    }
}
