//! When index servers started, by the host's own monotonic clock.
//!
//! The list names a start by the wall clock of the index servers (`since_ms`, Unix time). Our own wall clock is never asked:
//! it may have been stepped, by seconds or by an hour. Between the two clocks lies the epoch: the Unix time at which the
//! host's clock stood at 0. Every start that is told bounds it from below, since no start is told before it happened, and
//! by the greatest of these bounds a server looks colder than it is, never warmer, by the time that the quickest news took.
//! Before any change was told, that is the age of the youngest server of the first list.
//!
//! Those clocks may be stepped as well, and a start that was named an hour too late makes that bound too great for ever. So
//! a start that is told later than the first list is not dated long before the list in which it was missing.

use pinetrestle::interface::Micros;

/// A start may be told so long after it happened although discovery could be reached (protocol page: 6 s).
const TOLD_WITHIN: Micros = Micros(6_000_000);

/// Dates starts.
#[derive(Default)]
pub(super) struct StartTimes {
    /// The epoch is this or later, in microseconds of Unix time; none before any start was told.
    least_epoch: Option<i64>,
    /// A start that has not been told before happened at this moment or later; none where that may be any.
    not_before: Option<Micros>,
    /// When news was last taken in.
    last_news: Option<Micros>,
    /// The watch was lost since: the next news may tell of all that has happened meanwhile.
    watch_lost: bool,
}

impl StartTimes {
    /// News is about to be taken in: the whole list, or what has changed; it came from discovery, or from what was
    /// stored before this process began. Its starts are these, in milliseconds of Unix time; 0 tells none.
    pub(super) fn news(&mut self, now: Micros, whole: bool, stored: bool, starts: impl Iterator<Item = i64>) {
        if let Some(latest) = starts.filter(|start| *start > 0).max() {
            let bound = latest.saturating_mul(1000).saturating_sub(now.0);
            self.least_epoch = Some(self.least_epoch.map_or(bound, |known| known.max(bound)));
        }
        // A change is told as it happens; a whole list, or what comes after a watch was lost, tells what has happened
        // since the news before.
        let catches_up = whole || std::mem::take(&mut self.watch_lost);
        self.not_before = self.last_news.map(|last| (if catches_up { last } else { now }) - TOLD_WITHIN);
        if !stored {
            self.last_news = Some(now);
        }
    }

    /// The watch is lost.
    pub(super) fn watch_lost(&mut self) {
        self.watch_lost = true;
    }

    /// When a start happened that is told for the first time, by the host's clock; none where the list tells none.
    pub(super) fn date(&self, since_ms: i64) -> Option<Micros> {
        let epoch = self.least_epoch.filter(|_| since_ms > 0)?;
        let by_epoch = Micros(since_ms.saturating_mul(1000).saturating_sub(epoch));
        Some(self.not_before.map_or(by_epoch, |bound| by_epoch.max(bound)))
    }
}
