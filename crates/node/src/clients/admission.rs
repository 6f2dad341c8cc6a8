//! Admission of client connections: the limit on open connections, and the eviction of waiting connections
//! when the number of open ones comes close to that limit.
//!
//! Only connections that wait for their client are evicted, in this order: connections that have sent no request
//! yet, longest waiting first; then connections that are idle between two requests, longest waiting first; then
//! connections that have stalled in the middle of a request ([`StalledPeers`]), longest incomplete first. If most
//! connections are in the middle of a request, only these are evicted. A connection whose request is complete is
//! never evicted. An evicted connection stops counting toward the
//! limit immediately. Its socket may still perform a lingering close, which has a limit of its own
//! ([`MAX_LINGERING_CLIENTS`]).

use crate::config::{LiveConfig, MAX_LINGERING_CLIENTS};
use crate::counters::Counters;
use crate::stalled_peers::StalledPeers;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

/// Time after `accept` during which a connection is not evicted. Its first request may still be in transit,
/// or may wait to be read because many connections were accepted at once.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(50);
/// The headroom below the limit is the limit divided by this. Once no more than the headroom is free, each
/// new connection evicts another one. The headroom lets the accept loop empty the kernel's accept queue in
/// batches during a flood, instead of accepting one connection per closed connection. The accept queue has to
/// stay short because the age of a request that waits there is not known.
const HEADROOM_DIVISOR: u64 = 16;
/// Interval at which the accept loop tries to evict a connection while the limit is reached.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The number of tasks that are currently inside a scope.
#[derive(Default)]
struct Gauge(Cell<u64>);

/// Counts one task in a [`Gauge`] until it is dropped.
struct GaugeGuard<'a>(&'a Gauge);

impl Gauge {
    fn enter(&self) -> GaugeGuard<'_> {
        self.0.set(self.0.get() + 1);
        GaugeGuard(self)
    }

    fn get(&self) -> u64 {
        self.0.get()
    }
}

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        let gauge = &self.0 .0;
        gauge.set(gauge.get().saturating_sub(1));
    }
}

/// A FIFO queue of connections that may be evicted. The connection that has waited longest is evicted first.
#[derive(Default)]
struct EvictionQueue {
    waiting: Gauge,
    eviction: Notify,
}

impl EvictionQueue {
    /// Evicts the connection that has waited longest. Returns `false` if the queue is empty.
    fn evict_oldest(&self) -> bool {
        let is_empty = self.waiting.get() == 0;
        if !is_empty {
            self.eviction.notify_one();
        }
        !is_empty
    }

    /// Waits in the queue until the calling connection is evicted.
    async fn wait_for_eviction(&self) {
        let _waiting = self.waiting.enter();
        self.eviction.notified().await;
    }
}

/// Counts open client connections against the limit, and selects the connections to evict.
pub(super) struct Admission {
    live_config: Rc<LiveConfig>,
    counters: Rc<Counters>,
    /// Connections that have sent no request yet and are younger than [`NEW_CONNECTION_GRACE`]. Not evicted.
    new_connections: Gauge,
    /// Connections that have sent no request yet and are older than [`NEW_CONNECTION_GRACE`]. Evicted first.
    unused: EvictionQueue,
    /// Connections in the middle of a request. Evicted if they are the most, or if no other can be.
    stalled: StalledPeers,
    /// Connections between two requests. Evicted if no connection is in `unused`.
    idle: EvictionQueue,
    /// Notified when a connection stops counting toward the limit.
    connection_closed: Notify,
    /// Evicted connections whose sockets are not closed yet.
    lingering: Cell<usize>,
}

impl Admission {
    /// Starts without connections. The limit is `client_connections` of the current configuration.
    pub(super) fn new(live_config: Rc<LiveConfig>, counters: Rc<Counters>) -> Admission {
        Admission {
            live_config,
            counters,
            new_connections: Gauge::default(),
            unused: EvictionQueue::default(),
            stalled: StalledPeers::default(),
            idle: EvictionQueue::default(),
            connection_closed: Notify::new(),
            lingering: Cell::new(0),
        }
    }

    fn limit(&self) -> u64 {
        self.live_config.get().transport.max_client_connections as u64
    }

    fn open(&self) -> u64 {
        self.counters.connections.clients_open.get()
    }

    /// Returns whether the limit on open connections is reached.
    pub(super) fn is_at_limit(&self) -> bool {
        self.open() >= self.limit()
    }

    /// Evicts one connection if the headroom below the limit is used up and a connection can be evicted.
    pub(super) fn evict_if_near_limit(&self) {
        let limit = self.limit();
        if self.open() + limit / HEADROOM_DIVISOR < limit {
            return;
        }
        if self.unused.evict_oldest() {
            return;
        }
        let mostly_stalled = self.stalled.len() as u64 * 2 >= limit;
        if mostly_stalled {
            self.stalled.revoke(Instant::now(), 1);
            return;
        }
        // In a flood of connections that send nothing, the new connections move to `unused` when their grace
        // period ends and are evicted from there. Idle connections have sent requests, so they are kept.
        let mostly_new = self.new_connections.get() * 2 >= limit;
        if !mostly_new && !self.idle.evict_oldest() {
            self.stalled.revoke(Instant::now(), 1);
        }
    }

    /// Waits until a connection is closed, but at most [`EVICTION_RETRY_INTERVAL`].
    pub(super) async fn wait_for_capacity(&self) {
        let _ = timeout(EVICTION_RETRY_INTERVAL, self.connection_closed()).await;
    }

    /// Waits until a connection stops counting toward the limit.
    pub(super) async fn connection_closed(&self) {
        self.connection_closed.notified().await;
    }

    /// Counts an accepted connection as open.
    pub(super) fn record_open(&self) {
        self.counters.connections.clients_accepted.increment();
        self.counters.connections.clients_open.increment();
    }

    /// Stops counting a connection as open, because it is closed or evicted.
    pub(super) fn record_closed(&self) {
        self.counters.connections.clients_open.decrement();
        self.connection_closed.notify_one();
    }

    /// Waits until the calling connection, which has sent no request yet, is evicted.
    pub(super) async fn evicted_while_unused(&self, accepted_at: Instant) {
        {
            let _new = self.new_connections.enter();
            sleep_until(accepted_at + NEW_CONNECTION_GRACE).await;
        }
        self.unused.wait_for_eviction().await;
    }

    /// Waits until the calling connection, which waits for the rest of a request that it has received in part
    /// since `since`, is evicted.
    pub(super) async fn evicted_while_stalled(&self, since: Instant) {
        self.stalled.revoked(since, 1).await;
    }

    /// Waits until the calling connection, which is idle between two requests, is evicted.
    pub(super) async fn evicted_while_idle(&self) {
        self.idle.wait_for_eviction().await;
    }

    /// Counts an evicted connection as lingering until [`Admission::end_lingering`] is called. Returns
    /// `false` if [`MAX_LINGERING_CLIENTS`] are lingering already; the connection is then to be closed
    /// without lingering.
    pub(super) fn begin_lingering(&self) -> bool {
        let lingering = self.lingering.get();
        self.lingering.set(lingering + 1);
        lingering < MAX_LINGERING_CLIENTS
    }

    /// Stops counting an evicted connection as lingering, because its socket is closed.
    pub(super) fn end_lingering(&self) {
        self.lingering.set(self.lingering.get() - 1);
    }
}
