//! When bytes came: each by its own read, never later than it was.

use super::{Arrivals, MOST_READS};
use std::time::Duration;
use tokio::time::Instant;

fn after(begin: Instant, ms: u64) -> Instant {
    begin + Duration::from_millis(ms)
}

#[test]
fn each_byte_came_with_its_own_read() {
    let (begin, mut arrivals) = (Instant::now(), Arrivals::default());
    assert_eq!(arrivals.arrived(1), None);
    arrivals.read(100, begin, true);
    arrivals.read(250, after(begin, 40), true);
    assert_eq!(arrivals.arrived(80), Some(begin));
    assert_eq!(arrivals.arrived(100), Some(begin));
    assert_eq!(arrivals.arrived(101), Some(after(begin, 40)));
    assert_eq!(arrivals.arrived(250), Some(after(begin, 40)));
    assert_eq!(arrivals.arrived(251), None);
}

#[test]
fn what_waited_unread_may_have_come_when_reading_stopped() {
    let (begin, mut arrivals) = (Instant::now(), Arrivals::default());
    arrivals.stop_reading(begin);
    arrivals.stop_reading(after(begin, 10));
    arrivals.read(100, after(begin, 50), false);
    arrivals.read(150, after(begin, 51), true);
    arrivals.read(200, after(begin, 60), true);
    assert_eq!(arrivals.arrived(100), Some(begin));
    assert_eq!(arrivals.arrived(150), Some(begin));
    assert_eq!(arrivals.arrived(200), Some(after(begin, 60)));
}

#[test]
fn reads_too_many_to_keep_apart_are_told_too_early_and_take_no_room() {
    let (begin, mut arrivals) = (Instant::now(), Arrivals::default());
    for read in 1..=1000_u64 {
        arrivals.read(read, after(begin, read), true);
    }
    assert_eq!(arrivals.reads.len(), MOST_READS);
    for read in 1..=1000_u64 {
        assert!(arrivals.arrived(read) <= Some(after(begin, read)));
    }
    assert_eq!(arrivals.arrived(1000), Some(after(begin, 1000)));
}
