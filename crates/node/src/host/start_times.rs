//! When index servers started, by the host's own clock.
//!
//! The list names a start by the wall clock of discovery and the index servers (`since_ms`, Unix time), and ours may
//! have been stepped, by seconds or by an hour. Between the two clocks lies the epoch: the Unix time at which the host's
//! clock stood at 0. Every start that is told bounds it from below, since no start is told before it happened; the bound
//! is as tight as the quickest news was. By the bound a start is dated too late, if anything: a server looks colder than
//! it is by the time that the quickest news took, never warmer.
//!
//! Before discovery itself has told anything, that bound may be far off, and our wall clock is believed as far as the
//! bound allows. A wall clock that is ahead as the process begins so makes a server that started shortly before look warm;
//! nothing in the lists tells that case (`docs/design.md` says what harm it does).

use pinetrestle::interface::Micros;

/// Dates starts.
pub(super) struct StartTimes {
    /// The epoch by our wall clock, in microseconds of Unix time: a hint.
    wall_epoch: i64,
    /// The epoch is this or later, by the starts that were told.
    least_epoch: i64,
    /// A list has come from discovery itself.
    heard: bool,
}

impl StartTimes {
    /// With our wall clock's epoch in microseconds of Unix time.
    pub(super) fn new(wall_epoch: i64) -> StartTimes {
        StartTimes { wall_epoch, least_epoch: i64::MIN, heard: false }
    }

    /// News is about to be taken in whose starts are these, in milliseconds of Unix time; 0 tells none.
    pub(super) fn news(&mut self, now: Micros, starts: impl Iterator<Item = i64>) {
        if let Some(latest) = starts.filter(|start| *start > 0).max() {
            self.least_epoch = self.least_epoch.max(latest.saturating_mul(1000).saturating_sub(now.0));
        }
    }

    /// The news is taken in; it came from discovery, or from what was stored before this process began.
    pub(super) fn taken(&mut self, stored: bool) {
        self.heard |= !stored;
    }

    /// When a start happened that is told for the first time, by the host's clock; none where the list tells none.
    pub(super) fn date(&self, since_ms: i64) -> Option<Micros> {
        let epoch = if self.heard { self.least_epoch } else { self.least_epoch.max(self.wall_epoch) };
        (since_ms > 0).then(|| Micros(since_ms.saturating_mul(1000).saturating_sub(epoch)))
    }
}
