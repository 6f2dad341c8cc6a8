//! Detects pauses of this process (SIGSTOP, a suspended machine, a starved CPU).
//!
//! A timer task ticks every [`TICK_INTERVAL`]. A tick that comes late shows that nothing ran since the tick before it,
//! so what is read just after it may have waited in the kernel's buffers since then.

use pinetrestle_recorder::{EventKind, Record, Recorder};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Ticks at least this far apart count as a pause.
const PAUSE_THRESHOLD: Duration = TICK_INTERVAL.saturating_mul(2);

/// A stretch of time in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Pause {
    began_at: Instant,
    ended_at: Instant,
}

/// Keeps the latest tick and the latest pause.
#[derive(Debug)]
pub struct PauseDetector {
    last_tick: Cell<Instant>,
    /// Empty (it ends when it begins) until there has been one.
    latest_pause: Cell<Pause>,
}

impl PauseDetector {
    /// Starts with a tick at `now` and no pause.
    pub fn new(now: Instant) -> PauseDetector {
        let no_pause = Pause { began_at: now, ended_at: now };
        PauseDetector { last_tick: Cell::new(now), latest_pause: Cell::new(no_pause) }
    }

    fn tick(&self, now: Instant) {
        let last_tick = self.last_tick.replace(now);
        if now - last_tick >= PAUSE_THRESHOLD {
            self.latest_pause.set(Pause { began_at: last_tick, ended_at: now });
        }
    }

    /// The earliest moment at which bytes read at `now` may have arrived: `now` itself, or the start of a pause
    /// that has just ended, whether or not a tick has seen it yet.
    fn earliest_arrival_at(&self, now: Instant) -> Instant {
        let last_tick = self.last_tick.get();
        let pause = self.latest_pause.get();
        let unseen_pause = now - last_tick >= PAUSE_THRESHOLD;
        let pause_just_seen = pause.ended_at > pause.began_at && now - pause.ended_at < TICK_INTERVAL;
        if unseen_pause {
            last_tick
        } else if pause_just_seen {
            pause.began_at
        } else {
            now
        }
    }

    /// The earliest moment at which bytes read right now may have arrived.
    pub fn earliest_arrival(&self) -> Instant {
        self.earliest_arrival_at(Instant::now())
    }

    /// Whether a pause has just ended.
    pub fn has_just_paused(&self) -> bool {
        let now = Instant::now();
        self.earliest_arrival_at(now) < now
    }

    /// Ticks as long as the process runs; each pause is noted by the flight recorder.
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
