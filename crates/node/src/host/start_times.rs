//! Conversion of index server start times from Unix time to the host's monotonic clock.
//!
//! The endpoint list contains the start time of an index server as the Unix time of the server's wall clock
//! (key `since_ms`). The conversion does not use the wall clock of this machine, because it may have been
//! stepped by seconds or by an hour. Instead, it estimates the *epoch*: the Unix time at which the host's
//! clock was at 0.
//!
//! A start is never listed before it happens, so each listed start gives a lower bound for the epoch: its
//! Unix time minus the time on the host's clock at which it was listed. The estimate is the maximum of these
//! bounds. It is never above the true epoch, so converted start times are never too early. They are too late
//! by the shortest delay so far between a start and its notification; until the first watch event, by the age
//! of the youngest server in the first list.
//!
//! The wall clocks of the index servers may be stepped as well. A start time that is an hour ahead would keep
//! the estimate an hour too high permanently, and all later starts would appear an hour too old. So a start
//! that was not in the first list is not converted to a time earlier than [`MAX_NOTIFICATION_DELAY`] before
//! the list in which it was missing.

use pinetrestle::interface::Micros;

/// Maximum time between a start and its notification while discovery is reachable (6 s in the protocol
/// specification).
const MAX_NOTIFICATION_DELAY: Micros = Micros(6_000_000);

/// Microseconds per millisecond.
const MICROS_PER_MS: i64 = 1000;

/// Converts Unix start times to the host's clock.
#[derive(Default)]
pub(super) struct StartTimes {
    /// Highest lower bound for the epoch so far, in microseconds of Unix time; `None` until a start has been
    /// listed.
    epoch_lower_bound: Option<i64>,
    /// Earliest time of the starts that the current update lists for the first time; `None` up to and
    /// including the first update from discovery.
    earliest_new_start: Option<Micros>,
    /// Time of the latest update from discovery.
    last_update: Option<Micros>,
    /// Whether the watch has been lost since the latest update. The next update then contains all changes
    /// since the latest one.
    watch_lost: bool,
}

impl StartTimes {
    /// Processes the start times of an update, before the update is applied. `starts_unix_ms` are in
    /// milliseconds of Unix time, 0 if unknown. `complete` states whether the update is a complete list,
    /// `cached` whether it was stored before this process started.
    pub(super) fn observe_update(
        &mut self,
        now: Micros,
        complete: bool,
        cached: bool,
        starts_unix_ms: impl Iterator<Item = i64>,
    ) {
        if let Some(latest) = starts_unix_ms.filter(|start| *start > 0).max() {
            let bound = latest.saturating_mul(MICROS_PER_MS).saturating_sub(now.0);
            self.epoch_lower_bound = Some(self.epoch_lower_bound.map_or(bound, |known| known.max(bound)));
        }
        // A watch event arrives as the change happens. A complete list, and the first update after a lost
        // watch, may contain any change since the previous update.
        let covers_time_since_last = complete || std::mem::take(&mut self.watch_lost);
        self.earliest_new_start = self.last_update.map(|last| {
            let last_missing = if covers_time_since_last { last } else { now };
            last_missing - MAX_NOTIFICATION_DELAY
        });
        if !cached {
            self.last_update = Some(now);
        }
    }

    /// Handles the loss of the watch on the endpoint list.
    pub(super) fn watch_lost(&mut self) {
        self.watch_lost = true;
    }

    /// Converts a start time of the current update that has not been listed before, in milliseconds of Unix
    /// time, to the host's clock. Returns `None` if the start time is 0 (unknown).
    pub(super) fn to_host_clock(&self, started_unix_ms: i64) -> Option<Micros> {
        let epoch = self.epoch_lower_bound.filter(|_| started_unix_ms > 0)?;
        let by_epoch = Micros(started_unix_ms.saturating_mul(MICROS_PER_MS).saturating_sub(epoch));
        Some(self.earliest_new_start.map_or(by_epoch, |earliest| by_epoch.max(earliest)))
    }
}
