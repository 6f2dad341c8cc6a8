//! Detects pauses of this process, caused for example by SIGSTOP, suspension of the machine or CPU
//! starvation.
//!
//! A timer task ticks every [`TICK_INTERVAL`]. A late tick shows that the process did not run since the
//! previous tick. Bytes read just after it may then have waited in the kernel's socket buffers since the
//! previous tick.

use pinetrestle_recorder::{EventKind, Record, Recorder};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum time between two consecutive ticks that counts as a pause.
const PAUSE_THRESHOLD: Duration = TICK_INTERVAL.saturating_mul(2);

/// A period in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Pause {
    started_at: Instant,
    ended_at: Instant,
}

/// Records the times of the last tick and of the latest pause.
#[derive(Debug)]
pub struct PauseDetector {
    last_tick: Cell<Instant>,
    /// The latest detected pause. Its start and end are equal if there has been none.
    latest_pause: Cell<Pause>,
}

impl PauseDetector {
    /// Creates a detector with its last tick at `now` and no pause.
    pub fn new(now: Instant) -> PauseDetector {
        let no_pause = Pause { started_at: now, ended_at: now };
        PauseDetector { last_tick: Cell::new(now), latest_pause: Cell::new(no_pause) }
    }

    /// Records a tick, and a pause if the previous tick was at least [`PAUSE_THRESHOLD`] ago.
    fn tick(&self, now: Instant) {
        let last_tick = self.last_tick.replace(now);
        if now - last_tick >= PAUSE_THRESHOLD {
            self.latest_pause.set(Pause { started_at: last_tick, ended_at: now });
        }
    }

    /// Returns the earliest time at which bytes read at `now` may have arrived: the start of a pause that
    /// has just ended, or `now` if there was no such pause.
    ///
    /// The pause may not have been detected by a tick yet, if the caller runs before the timer task.
    fn earliest_arrival_at(&self, now: Instant) -> Instant {
        let last_tick = self.last_tick.get();
        let pause = self.latest_pause.get();
        let has_undetected_pause = now - last_tick >= PAUSE_THRESHOLD;
        let pause_just_ended = pause.ended_at > pause.started_at && now - pause.ended_at < TICK_INTERVAL;
        if has_undetected_pause {
            last_tick
        } else if pause_just_ended {
            pause.started_at
        } else {
            now
        }
    }

    /// Returns the earliest time at which bytes read now may have arrived in the socket buffer.
    pub fn earliest_arrival(&self) -> Instant {
        self.earliest_arrival_at(Instant::now())
    }

    /// Returns whether a pause has just ended.
    pub fn has_just_paused(&self) -> bool {
        let now = Instant::now();
        self.earliest_arrival_at(now) < now
    }

    /// Ticks every [`TICK_INTERVAL`], and records each pause in the flight recorder. Never returns.
    pub async fn run(self: Rc<PauseDetector>, recorder: Rc<Recorder>) {
        loop {
            sleep(TICK_INTERVAL).await;
            let now = Instant::now();
            let since_last_tick = now - self.last_tick.get();
            if since_last_tick >= PAUSE_THRESHOLD {
                recorder.record(|| {
                    Record::for_query(EventKind::ProcessPaused, 0)
                        .with_value(since_last_tick.as_micros() as u64)
                });
            }
            self.tick(now);
        }
    }
}

#[cfg(test)]
#[path = "../tests/inside/pause_detector.rs"]
mod tests;
