//! The allowance of bytes that are skipped on a connection.

use super::{SkipAllowance, ALLOWANCE_BYTES_PER_SECOND, MAX_ALLOWANCE_BYTES};
use std::time::Duration;
use tokio::time::Instant;

/// Guards against a client that takes all processor time with requests that are skipped.
#[test]
fn the_allowance_is_used_up_and_grows_at_a_fixed_rate() {
    let start = Instant::now();
    let mut allowance = SkipAllowance::new(start);
    assert!(allowance.covers(start, MAX_ALLOWANCE_BYTES));
    allowance.spend(MAX_ALLOWANCE_BYTES);
    assert!(!allowance.covers(start, 1));
    let later = start + Duration::from_secs(1);
    assert!(allowance.covers(later, ALLOWANCE_BYTES_PER_SECOND as usize));
    assert!(!allowance.covers(later, ALLOWANCE_BYTES_PER_SECOND as usize + 1));
    let much_later = start + Duration::from_secs(3600);
    assert!(!allowance.covers(much_later, MAX_ALLOWANCE_BYTES + 1));
    assert!(allowance.covers(much_later, MAX_ALLOWANCE_BYTES));
}
