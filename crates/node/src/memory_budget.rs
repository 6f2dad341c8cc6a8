//! Limits on the memory that large requests of all clients take together, and large answers of all index servers.
//!
//! A large message reserves its memory before it is read on. While the budget is used up, the next message waits.
//! Its wait ends early if a peer has stalled in the middle of its own message: the memory of that message is
//! then revoked, see [`StalledPeers`].

use crate::counters::Counters;
use crate::stalled_peers::StalledPeers;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, Instant};

/// Divisor of the memory limit of the process. The quotient is the size of a budget. The rest is for everything
/// else: small requests and answers, the endpoint list, and what the allocator can't reuse.
const BUDGET_DIVISOR: usize = 4;
/// Interval at which the first waiting message tries to revoke memory from stalled peers.
const REVOKE_INTERVAL: Duration = Duration::from_millis(10);

/// Bytes reserved from a [`MemoryBudget`], which are returned when the reservation is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    permit: OwnedSemaphorePermit,
    granted_at: Instant,
}

impl Reservation {
    fn new(permit: OwnedSemaphorePermit) -> Reservation {
        Reservation { permit, granted_at: Instant::now() }
    }

    /// Returns the number of reserved bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.permit.num_permits()
    }

    /// Returns the bytes beyond `bytes` to the budget, because the size of the message turned out to be smaller.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        drop(self.permit.split(self.bytes().saturating_sub(bytes)));
    }

    /// Returns the time at which the bytes were reserved.
    pub(crate) fn granted_at(&self) -> Instant {
        self.granted_at
    }
}

/// The memory that may be reserved.
pub(crate) struct MemoryBudget {
    /// One permit for each byte that is not reserved.
    bytes: Arc<Semaphore>,
    total_bytes: usize,
    /// The only permit is held by the first of the messages that wait for memory, the others wait for it.
    first_in_queue: Semaphore,
    /// The peers that hold a reservation while the rest of their message is waited for.
    stalled_peers: StalledPeers,
    counters: Rc<Counters>,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `memory_limit` bytes.
    pub(crate) fn new(memory_limit: usize, counters: Rc<Counters>) -> MemoryBudget {
        let total_bytes = (memory_limit / BUDGET_DIVISOR).min(Semaphore::MAX_PERMITS);
        MemoryBudget {
            bytes: Arc::new(Semaphore::new(total_bytes)),
            total_bytes,
            first_in_queue: Semaphore::new(1),
            stalled_peers: StalledPeers::default(),
            counters,
        }
    }

    /// Reserves memory for `bytes` bytes. Returns `None` if that is not possible now.
    fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        self.bytes.clone().try_acquire_many_owned(self.permits(bytes)).ok().map(Reservation::new)
    }

    /// Reserves memory for `bytes` bytes that are not needed to make progress. Returns `None` if less than half of
    /// the budget would be left for requests.
    pub(crate) fn try_reserve_spare(&self, bytes: usize) -> Option<Reservation> {
        let is_spare = self.bytes.available_permits() >= self.total_bytes / 2 + bytes;
        is_spare.then(|| self.try_reserve(bytes)).flatten()
    }

    /// Returns the number of permits for `bytes` bytes, which is at most the whole budget.
    fn permits(&self, bytes: usize) -> u32 {
        u32::try_from(bytes.min(self.total_bytes)).unwrap_or(u32::MAX)
    }

    /// Reserves memory for a message of `bytes` bytes, and waits until that is possible, in the order of the
    /// calls. A message that is larger than the budget reserves all of it. Returns `None` if the budget is closed,
    /// which it never is while the front node runs.
    pub(crate) async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let is_queue_empty = self.first_in_queue.available_permits() > 0;
        if let Some(reservation) = is_queue_empty.then(|| self.try_reserve(bytes)).flatten() {
            return Some(reservation);
        }
        self.counters.connections.memory_waits.increment();
        let _first_in_queue = self.first_in_queue.acquire().await.ok()?;
        self.reserve_from_stalled_peers(bytes).await
    }

    /// Waits until memory for `bytes` bytes is available, and revokes reservations of stalled peers meanwhile.
    async fn reserve_from_stalled_peers(&self, bytes: usize) -> Option<Reservation> {
        let missing_bytes = bytes.min(self.total_bytes).saturating_sub(self.bytes.available_permits());
        let mut permit = pin!(self.bytes.clone().acquire_many_owned(self.permits(bytes)));
        loop {
            let revoked_bytes = self.stalled_peers.revoke(Instant::now(), missing_bytes);
            self.counters.connections.memory_revoked.add(revoked_bytes as u64);
            tokio::select! {
                biased;
                permit = &mut permit => return permit.ok().map(Reservation::new),
                () = sleep(REVOKE_INTERVAL) => {}
            }
        }
    }

    /// Waits until a reservation of `bytes` bytes is revoked. The calling task has to be waiting for the rest of its
    /// peer's message, as it has done since `since`, and has to drop the reservation at once when this function
    /// returns.
    pub(crate) async fn revoked(&self, since: Instant, bytes: usize) {
        self.stalled_peers.revoked(since, bytes).await;
    }
}
