//! Decides when a front node opens and closes its watches on the discovery service.
//!
//! A watch is pending from the time it is opened until one of its events makes it the active watch. At most
//! one watch is active, and only the active watch delivers updates. The supervisor performs no I/O: the
//! caller passes in requests, events and the time, and executes the returned [`WatchAction`]s.
//!
//! * The active watch stays open until a replacement has delivered the endpoint list. Neither a new request
//!   nor a new address in the configuration leaves the front node without a watch.
//! * A pending watch is not closed in favor of a newer one at the same address. If it were, requests that
//!   arrive faster than discovery answers would prevent every watch from being answered.
//! * If a pending watch is not answered within three quarters of the answer timeout, a second watch is opened
//!   as a hedge, and the first one to be answered becomes active. This delay is longer than a request waits
//!   in the queue of an overloaded discovery service. Discovery serves both watches, so front nodes that
//!   hedged earlier would halve its useful throughput.

use crate::endpoint_list::ListUpdate;
use crate::watch::WatchEvent;
use std::time::Duration;

/// Maximum number of pending watches: one and its hedge.
const MAX_PENDING: usize = 2;
/// Maximum backoff before another attempt to open a watch at a new address, as a multiple of the retry delay.
const MAX_BACKOFF_FACTOR: u32 = 4;

/// Timeouts of watches, from the current configuration.
#[derive(Clone, Copy, Debug)]
pub struct WatchTimeouts {
    /// Time within which discovery has to begin its answer. A hedge is opened after three quarters of this
    /// time.
    pub answer_timeout: Duration,
    /// Delay before a lost watch is opened again, unless a watch is requested earlier.
    pub retry_delay: Duration,
}

/// An action that the caller has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchAction<A> {
    /// Open a watch.
    Open {
        /// Id with which the caller reports the events of this watch.
        watch_id: u64,
        /// Address of the discovery service.
        address: A,
        /// Version after which changes are requested; 0 requests the complete list.
        after: u64,
    },
    /// Close the watch with this id, because another watch replaces it.
    Close(u64),
    /// Pass this update to the component that maintains the endpoint list.
    Deliver(ListUpdate),
    /// Report that no watch is active or pending.
    ReportLost,
}

/// A watch that has been opened.
struct OpenedWatch<A> {
    watch_id: u64,
    address: A,
}

/// State of all watches of one front node. `A` is the type of a discovery address.
pub struct WatchSupervisor<A> {
    /// Whether a lost watch is opened again without a request.
    restarts_lost_watch: bool,
    /// Address of the discovery service in the configuration.
    configured_address: A,
    /// Address that delivered the known version. Versions from different addresses are not comparable.
    source_address: A,
    /// Known version of the endpoint list, from `source_address`.
    version: u64,
    /// The active watch.
    active: Option<OpenedWatch<A>>,
    /// Watches that are open and have not become active.
    pending: Vec<OpenedWatch<A>>,
    /// Whether the first event of the active watch has been processed.
    active_has_had_event: bool,
    /// Id of the watch opened last.
    last_watch_id: u64,
    /// Time at which the next watch is to be opened.
    next_open_at: Option<Duration>,
    /// Number of consecutive failures to open a watch at a new address, capped at [`MAX_BACKOFF_FACTOR`].
    failed_opens: u32,
}

impl<A: Copy + PartialEq> WatchSupervisor<A> {
    /// Creates a supervisor without watches.
    ///
    /// `version` is the version of the endpoint list known from the discovery service at `address`. If
    /// `restarts_lost_watch` is true, the supervisor opens the first watch, and each lost one again, without
    /// a request.
    pub fn new(restarts_lost_watch: bool, address: A, version: u64) -> WatchSupervisor<A> {
        WatchSupervisor {
            restarts_lost_watch,
            configured_address: address,
            source_address: address,
            version,
            active: None,
            pending: Vec::new(),
            active_has_had_event: false,
            last_watch_id: 0,
            next_open_at: restarts_lost_watch.then_some(Duration::ZERO),
            failed_opens: 0,
        }
    }

    /// Opens a watch, unless the maximum number of watches is pending.
    pub fn request_watch(&mut self, now: Duration, timeouts: WatchTimeouts) -> Vec<WatchAction<A>> {
        if self.pending.len() >= MAX_PENDING {
            return Vec::new();
        }
        self.last_watch_id += 1;
        let watch_id = self.last_watch_id;
        let address = self.configured_address;
        self.pending.push(OpenedWatch { watch_id, address });
        let may_hedge = self.pending.len() < MAX_PENDING;
        self.next_open_at = may_hedge.then(|| now + timeouts.answer_timeout * 3 / 4);
        let after = if address == self.source_address { self.version } else { 0 };
        vec![WatchAction::Open { watch_id, address, after }]
    }

    /// Applies a new discovery address from the configuration: closes the pending watches and opens a watch
    /// at the new address. The active watch stays open until that one replaces it.
    pub fn change_address(
        &mut self,
        now: Duration,
        address: A,
        timeouts: WatchTimeouts,
    ) -> Vec<WatchAction<A>> {
        self.configured_address = address;
        self.failed_opens = 0;
        let mut actions: Vec<WatchAction<A>> =
            self.pending.drain(..).map(|watch| WatchAction::Close(watch.watch_id)).collect();
        actions.extend(self.request_watch(now, timeouts));
        actions
    }

    /// Returns the time at which the caller has to call [`on_deadline`](WatchSupervisor::on_deadline), if
    /// any.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.next_open_at
    }

    /// Opens the watch that is due, if any: a hedge, a retry, or the replacement of a lost watch.
    pub fn on_deadline(&mut self, now: Duration, timeouts: WatchTimeouts) -> Vec<WatchAction<A>> {
        if self.next_open_at.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.next_open_at = None;
        self.request_watch(now, timeouts)
    }

    /// Handles an event of a watch.
    pub fn on_event(&mut self, watch_id: u64, event: WatchEvent) -> Vec<WatchAction<A>> {
        let mut actions = self.activate(watch_id, &event);
        let Some(active) = self.active.as_ref().filter(|watch| watch.watch_id == watch_id) else {
            return actions;
        };
        let is_first_event = !std::mem::replace(&mut self.active_has_had_event, true);
        match event {
            WatchEvent::Update(update) => {
                self.source_address = active.address;
                self.version = update.version;
                actions.push(WatchAction::Deliver(update));
            }
            WatchEvent::KeepAlive if is_first_event => {
                // The first event answers the request for a watch, even if the list has not changed.
                let unchanged = ListUpdate { version: self.version, complete: false, entries: Vec::new() };
                actions.push(WatchAction::Deliver(unchanged));
            }
            WatchEvent::KeepAlive => {}
        }
        actions
    }

    /// Makes the pending watch `watch_id` the active one and closes all others, if `event` allows it.
    ///
    /// At the address of the known list, any event does. At another address only an update does: a keep-alive
    /// means that the list of that address has not changed, which gives no information about the known list.
    fn activate(&mut self, watch_id: u64, event: &WatchEvent) -> Vec<WatchAction<A>> {
        let can_activate = |watch: &OpenedWatch<A>| {
            watch.watch_id == watch_id
                && (watch.address == self.source_address || *event != WatchEvent::KeepAlive)
        };
        let Some(position) = self.pending.iter().position(can_activate) else { return Vec::new() };
        let activated = self.pending.remove(position);
        let replaced = self.active.replace(activated);
        let closed = self.pending.drain(..).chain(replaced);
        let actions = closed.map(|watch| WatchAction::Close(watch.watch_id)).collect();
        self.active_has_had_event = false;
        self.next_open_at = None;
        self.failed_opens = 0;
        actions
    }

    /// Handles the end of a watch. Ignores watches that were closed by a [`WatchAction::Close`].
    pub fn on_watch_ended(
        &mut self,
        now: Duration,
        watch_id: u64,
        timeouts: WatchTimeouts,
    ) -> Vec<WatchAction<A>> {
        let had_pending = !self.pending.is_empty();
        self.pending.retain(|watch| watch.watch_id != watch_id);
        let was_active = self.active.take_if(|watch| watch.watch_id == watch_id).is_some();
        if !self.pending.is_empty() {
            // Another watch is pending. If it ends as well, that call of this function handles the loss.
            return Vec::new();
        }
        if !was_active && !had_pending {
            // This watch was replaced and closed before.
            return Vec::new();
        }
        if self.active.as_ref().is_some_and(|watch| watch.address != self.configured_address) {
            // The watch at the old address is still active, so the caller does not request one at the new
            // address.
            self.schedule_retry(now, timeouts);
            return Vec::new();
        }
        self.next_open_at = self.restarts_lost_watch.then(|| now + timeouts.retry_delay);
        vec![WatchAction::ReportLost]
    }

    /// Schedules the next attempt to open a watch at the new address, with exponential backoff.
    fn schedule_retry(&mut self, now: Duration, timeouts: WatchTimeouts) {
        let factor = (1 << self.failed_opens).min(MAX_BACKOFF_FACTOR);
        self.next_open_at = Some(now + timeouts.retry_delay * factor);
        self.failed_opens = (self.failed_opens + 1).min(MAX_BACKOFF_FACTOR);
    }
}
