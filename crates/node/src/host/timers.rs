//! The host's timers, stored in a timing wheel.

use super::clock_micros;
use super::interface::TableSize;
use pinetrestle::interface::{Id, Micros};
use pinetrestle_protocol::connection::AttemptId;
use pinetrestle_wheel::{TimerKey, TimingWheel};

/// Purpose of a timer. Timers that are due at the same time fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer set by the decision core.
    Core,
    /// Timeout of an attempt.
    AttemptTimeout(AttemptId),
    /// Deadline of a query.
    QueryDeadline(Id),
}

/// A timer that is due. Ordered by time, then by purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueTimer {
    /// Time at which the timer is due, in microseconds of the host's clock.
    at: u64,
    timer: Timer,
}

/// The timers that are set.
pub(super) struct Timers {
    wheel: TimingWheel<Timer>,
}

impl Timers {
    /// Creates an empty set of timers.
    pub(super) fn new() -> Timers {
        Timers { wheel: TimingWheel::new(0) }
    }

    /// Sets a timer that is due at the given time. Returns the key by which it can be cancelled.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) -> TimerKey {
        self.wheel.insert(clock_micros(at), timer)
    }

    /// Cancels a timer. Does nothing for `None` or if the timer has already fired.
    pub(super) fn cancel(&mut self, timer: Option<TimerKey>) {
        if let Some(key) = timer {
            self.wheel.cancel(key);
        }
    }

    /// Removes and returns the due timers, in the order in which they fire.
    pub(super) fn take_due(&mut self, now: Micros) -> Vec<Timer> {
        let mut due: Vec<DueTimer> = Vec::new();
        while let Some((at, timer)) = self.wheel.pop(clock_micros(now)) {
            due.push(DueTimer { at, timer });
        }
        due.sort_unstable();
        due.into_iter().map(|due| due.timer).collect()
    }

    /// Returns the time by which [`Timers::take_due`] has to be called, or `None` if no timer is set. It may
    /// be earlier than the next timer is due, but never later.
    pub(super) fn next_wakeup(&self) -> Option<Micros> {
        self.wheel.next_wakeup().map(|at| Micros(i64::try_from(at).unwrap_or(i64::MAX)))
    }

    /// Returns the size of the table of timers.
    pub(super) fn size(&self) -> TableSize {
        TableSize { table: "timers", entries: self.wheel.len() }
    }
}
