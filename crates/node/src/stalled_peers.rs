//! Peers that hold a resource while the front node waits for their bytes, and the revocation of what they hold.
//!
//! A peer that stops in the middle of a message keeps what was given to it for that message, such as memory or
//! the slot of a connection. A message from a well-behaved peer is complete soon after its first byte. When a
//! resource is used up, it is therefore revoked from the peers whose messages have been incomplete longest.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time for which the front node waits for the rest of a message before it may revoke what the peer holds. It
/// leaves room for the packets of a message that are still in transit.
const STALL_GRACE: Duration = Duration::from_millis(100);

/// Position of a holder in the order of revocation: the time since which its message has been incomplete, and
/// a number that tells holders with the same time apart.
type HolderKey = (Instant, u64);

/// A task that waits for the bytes of its peer.
struct Holder {
    /// What the peer holds, in the unit of the resource.
    amount: usize,
    /// Notified when the resource is revoked.
    revoked: Rc<Notify>,
}

/// The peers that hold a resource while the front node waits for their bytes.
#[derive(Default)]
pub(crate) struct StalledPeers {
    holders: RefCell<BTreeMap<HolderKey, Holder>>,
    next_number: Cell<u64>,
}

/// Removes a holder when its wait ends.
struct Registration<'a> {
    peers: &'a StalledPeers,
    key: HolderKey,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.peers.holders.borrow_mut().remove(&self.key);
    }
}

impl StalledPeers {
    /// Waits until the resource is revoked from the calling task, which holds `amount` of it and has waited for
    /// the rest of its peer's message since `since`. Holds the place in the order of revocation until it is
    /// dropped.
    pub(crate) async fn revoked(&self, since: Instant, amount: usize) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let registration = Registration { peers: self, key: (since, number) };
        let revoked = Rc::new(Notify::new());
        self.holders.borrow_mut().insert(registration.key, Holder { amount, revoked: revoked.clone() });
        revoked.notified().await;
    }

    /// Returns the number of peers whose bytes are waited for.
    pub(crate) fn len(&self) -> usize {
        self.holders.borrow().len()
    }

    /// Revokes at least `amount` from the peers that have stalled longest, as far as there are any whose
    /// message has been incomplete for [`STALL_GRACE`]. Returns the amount revoked. It is released
    /// when the tasks of these peers run.
    pub(crate) fn revoke(&self, now: Instant, amount: usize) -> usize {
        let mut holders = self.holders.borrow_mut();
        let mut revoked = 0;
        while revoked < amount {
            let has_stalled = |since: Instant| now.duration_since(since) >= STALL_GRACE;
            let Some(oldest) = holders.first_entry().filter(|entry| has_stalled(entry.key().0)) else {
                break;
            };
            let holder = oldest.remove();
            holder.revoked.notify_one();
            revoked += holder.amount;
        }
        revoked
    }
}

#[cfg(test)]
#[path = "../tests/inside/stalled_peers.rs"]
mod tests;
