//! Arrival times of bytes: each byte has the time of its read or an earlier one, never a later one.

use super::{ReceiveTimes, MAX_READS};
use std::time::Duration;
use tokio::time::Instant;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn each_byte_has_the_time_of_its_own_read() {
    let start = Instant::now();
    let mut times = ReceiveTimes::default();
    assert_eq!(times.received_by(1), None);
    times.record_read(100, start, true);
    times.record_read(250, after(start, 40), true);
    assert_eq!(times.received_by(80), Some(start));
    assert_eq!(times.received_by(100), Some(start));
    assert_eq!(times.received_by(101), Some(after(start, 40)));
    assert_eq!(times.received_by(250), Some(after(start, 40)));
    assert_eq!(times.received_by(251), None);
}

#[test]
fn bytes_that_waited_unread_have_the_time_at_which_reading_was_suspended() {
    let start = Instant::now();
    let mut times = ReceiveTimes::default();
    times.suspend_reading(start);
    times.suspend_reading(after(start, 10));
    times.record_read(100, after(start, 50), false);
    times.record_read(150, after(start, 51), true);
    times.record_read(200, after(start, 60), true);
    assert_eq!(times.received_by(100), Some(start));
    assert_eq!(times.received_by(150), Some(start));
    assert_eq!(times.received_by(200), Some(after(start, 60)));
}

#[test]
fn reads_beyond_the_limit_have_earlier_times_and_take_no_more_memory() {
    let start = Instant::now();
    let mut times = ReceiveTimes::default();
    for read in 1..=1000_u64 {
        times.record_read(read, after(start, read), true);
    }
    assert_eq!(times.reads.len(), MAX_READS);
    for read in 1..=1000_u64 {
        assert!(times.received_by(read) <= Some(after(start, read)));
    }
    assert_eq!(times.received_by(1000), Some(after(start, 1000)));
}
