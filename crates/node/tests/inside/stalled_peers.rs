//! Order of revocation among stalled peers.

use super::{StalledPeers, STALL_GRACE};
use std::future::Future;
use std::pin::{pin, Pin};
use std::task::{Context, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// Polls a wait for revocation once. Returns whether the resource has been revoked.
fn is_revoked(wait: Pin<&mut impl Future<Output = ()>>) -> bool {
    wait.poll(&mut Context::from_waker(Waker::noop())).is_ready()
}

/// Guards against a stalled peer that keeps what it holds while others wait for it.
#[test]
fn the_peers_that_stalled_longest_lose_what_they_hold() {
    let peers = StalledPeers::default();
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let (mut first, mut second, mut third) =
        (pin!(peers.revoked(at(1), 60)), pin!(peers.revoked(at(0), 60)), pin!(peers.revoked(at(200), 60)));
    assert!(!is_revoked(first.as_mut()) && !is_revoked(second.as_mut()) && !is_revoked(third.as_mut()));
    assert_eq!(peers.revoke(at(50), 10), 0, "a message may be in transit for {STALL_GRACE:?}");
    let later = at(2) + STALL_GRACE;
    assert_eq!(peers.revoke(later, 10), 60);
    assert!(is_revoked(second.as_mut()) && !is_revoked(first.as_mut()) && !is_revoked(third.as_mut()));
    assert_eq!(peers.revoke(later, 1000), 60, "the third peer has not stalled yet");
    assert!(is_revoked(first.as_mut()) && !is_revoked(third.as_mut()));
}

#[test]
fn a_peer_that_goes_on_loses_nothing() {
    let peers = StalledPeers::default();
    let start = Instant::now();
    {
        let mut wait = pin!(peers.revoked(start, 60));
        assert!(!is_revoked(wait.as_mut()));
    }
    assert_eq!(peers.revoke(start + STALL_GRACE * 2, 60), 0);
}
