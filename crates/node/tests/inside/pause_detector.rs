//! Detection of pauses, with times set by the test.

use super::PauseDetector;
use std::time::Duration;
use tokio::time::Instant;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn bytes_read_just_after_a_pause_may_have_arrived_at_its_start() {
    let start = Instant::now();
    let detector = PauseDetector::new(start);
    for tick in 1..=5 {
        detector.tick(after(start, tick * 11));
    }
    let now = after(start, 60);
    assert_eq!(detector.earliest_arrival_at(now), now, "no pause has been detected yet");
    // The process is paused from 55 ms to 300 ms. The reader may run before the next tick or after it.
    assert_eq!(detector.earliest_arrival_at(after(start, 300)), after(start, 55));
    detector.tick(after(start, 300));
    assert_eq!(detector.earliest_arrival_at(after(start, 303)), after(start, 55));
    detector.tick(after(start, 311));
    let later = after(start, 312);
    assert_eq!(
        detector.earliest_arrival_at(later),
        later,
        "bytes that arrived during the pause were read before this time"
    );
}
