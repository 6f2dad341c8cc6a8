//! Supervision of the watches on discovery: which one is active, which are pending, and when to begin another.
//!
//! The supervisor is fed with requests, events and the clock, and returns [`WatchAction`]s. Two rules shape it:
//!
//! * The active watch stays until a replacement has delivered the list. A new request, or a new address in the
//!   configuration, never leaves the front node without a watch.
//! * A pending call is never replaced by a later one; otherwise requests that come faster than answers would keep any
//!   call from being answered. If a call is not answered within three quarters of the answer timeout, a second one is
//!   hedged beside it, and the first to be answered becomes active. That delay exceeds the time a call queues at an
//!   overloaded discovery: each hedged call there is served as well, and a fleet that hedges early would halve its useful
//!   throughput.

use crate::endpoint_list::ListUpdate;
use crate::watch::WatchEvent;
use std::time::Duration;

/// Most calls pending at once: one and its hedge.
const MAX_PENDING: usize = 2;
/// The backoff before another call to a new address grows up to this multiple of the retry delay.
const MAX_BACKOFF_FACTOR: u32 = 4;

/// Timeouts of watches, from the configuration in force.
#[derive(Clone, Copy, Debug)]
pub struct WatchTimeouts {
    /// Time for discovery to begin its answer; after three quarters of it a second call is made.
    pub answer_timeout: Duration,
    /// Delay before a lost watch is begun anew, where nobody requests one before.
    pub retry_delay: Duration,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchAction<A> {
    /// Begin a watch.
    Open {
        /// The number by which its events are reported back.
        watch_id: u64,
        /// The address of discovery.
        address: A,
        /// Request the changes after this version; 0 for the complete list.
        after: u64,
    },
    /// End the watch of this number: another has replaced it.
    Close(u64),
    /// Hand this update to the core.
    Deliver(ListUpdate),
    /// Report that no watch is active or pending any more.
    ReportLost,
}

/// A watch that was begun.
struct WatchCall<A> {
    watch_id: u64,
    address: A,
}

/// The watches of one front node; `A` is the type of the addresses of discovery.
pub struct WatchSupervisor<A> {
    /// Whether a lost watch is begun anew without a request.
    restarts_lost_watch: bool,
    /// The address of discovery in the configuration.
    configured_address: A,
    /// The address that delivered the known version. Versions of different addresses are not comparable.
    source_address: A,
    /// The version known from `source_address`.
    version: u64,
    /// The watch that delivers updates.
    active: Option<WatchCall<A>>,
    /// Calls without a first event.
    pending: Vec<WatchCall<A>>,
    /// The active watch has delivered its first event.
    active_has_delivered: bool,
    /// The number of the latest call.
    last_watch_id: u64,
    /// When the next call is due.
    next_call_at: Option<Duration>,
    /// Calls to a new address that failed in a row, up to the limit of the backoff.
    failed_calls: u32,
}

impl<A: Copy + PartialEq> WatchSupervisor<A> {
    /// A supervisor without watches. The known list has this version at the discovery at `address`; `pushed` says
    /// whether a lost watch is begun anew without a request.
    pub fn new(pushed: bool, address: A, version: u64) -> WatchSupervisor<A> {
        WatchSupervisor {
            restarts_lost_watch: pushed,
            configured_address: address,
            source_address: address,
            version,
            active: None,
            pending: Vec::new(),
            active_has_delivered: false,
            last_watch_id: 0,
            next_call_at: pushed.then_some(Duration::ZERO),
            failed_calls: 0,
        }
    }

    /// Begins a watch, unless enough calls are pending.
    pub fn request_watch(&mut self, now: Duration, timeouts: WatchTimeouts) -> Vec<WatchAction<A>> {
        if self.pending.len() >= MAX_PENDING {
            return Vec::new();
        }
        self.last_watch_id += 1;
        let watch_id = self.last_watch_id;
        let address = self.configured_address;
        self.pending.push(WatchCall { watch_id, address });
        let may_hedge = self.pending.len() < MAX_PENDING;
        self.next_call_at = may_hedge.then(|| now + timeouts.answer_timeout * 3 / 4);
        let after = if address == self.source_address { self.version } else { 0 };
        vec![WatchAction::Open { watch_id, address, after }]
    }

    /// The configuration has a new address: pending calls are closed and a watch on the new address is begun.
    pub fn change_address(
        &mut self,
        now: Duration,
        address: A,
        timeouts: WatchTimeouts,
    ) -> Vec<WatchAction<A>> {
        self.configured_address = address;
        self.failed_calls = 0;
        let mut actions: Vec<WatchAction<A>> =
            self.pending.drain(..).map(|call| WatchAction::Close(call.watch_id)).collect();
        actions.extend(self.request_watch(now, timeouts));
        actions
    }

    /// When to call [`on_deadline`](WatchSupervisor::on_deadline), if at all.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.next_call_at
    }

    /// Begins the call that is due.
    pub fn on_deadline(&mut self, now: Duration, timeouts: WatchTimeouts) -> Vec<WatchAction<A>> {
        if self.next_call_at.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.next_call_at = None;
        self.request_watch(now, timeouts)
    }

    /// Handles an event of a watch.
    pub fn on_event(&mut self, watch_id: u64, event: WatchEvent) -> Vec<WatchAction<A>> {
        let mut actions = self.activate(watch_id, &event);
        let Some(active) = self.active.as_ref().filter(|call| call.watch_id == watch_id) else {
            return actions;
        };
        let is_first_event = !std::mem::replace(&mut self.active_has_delivered, true);
        match event {
            WatchEvent::Update(update) => {
                self.source_address = active.address;
                self.version = update.version;
                actions.push(WatchAction::Deliver(update));
            }
            WatchEvent::KeepAlive if is_first_event => {
                // The first event answers the call, even if nothing has changed.
                let unchanged = ListUpdate { version: self.version, complete: false, entries: Vec::new() };
                actions.push(WatchAction::Deliver(unchanged));
            }
            WatchEvent::KeepAlive => {}
        }
        actions
    }

    /// Makes a pending call the active watch and closes all others, if this event lets it. At another address than
    /// that of the known list only an update does: a keep-alive there says nothing about that list.
    fn activate(&mut self, watch_id: u64, event: &WatchEvent) -> Vec<WatchAction<A>> {
        let can_activate = |call: &WatchCall<A>| {
            call.watch_id == watch_id
                && (call.address == self.source_address || *event != WatchEvent::KeepAlive)
        };
        let Some(position) = self.pending.iter().position(can_activate) else { return Vec::new() };
        let activated = self.pending.remove(position);
        let replaced = self.active.replace(activated);
        let closed = self.pending.drain(..).chain(replaced);
        let actions = closed.map(|call| WatchAction::Close(call.watch_id)).collect();
        self.active_has_delivered = false;
        self.next_call_at = None;
        self.failed_calls = 0;
        actions
    }

    /// Handles the end of a watch that was not closed by an action.
    pub fn on_watch_ended(
        &mut self,
        now: Duration,
        watch_id: u64,
        timeouts: WatchTimeouts,
    ) -> Vec<WatchAction<A>> {
        let had_pending = !self.pending.is_empty();
        self.pending.retain(|call| call.watch_id != watch_id);
        let was_active = self.active.take_if(|call| call.watch_id == watch_id).is_some();
        if !self.pending.is_empty() {
            // The end of the other pending call will be handled in its turn.
            return Vec::new();
        }
        if !was_active && !had_pending {
            // A watch that was replaced before.
            return Vec::new();
        }
        if self.active.as_ref().is_some_and(|call| call.address != self.configured_address) {
            // The watch on the old address is still active, so the core requests none on the new one.
            self.schedule_retry(now, timeouts);
            return Vec::new();
        }
        self.next_call_at = self.restarts_lost_watch.then(|| now + timeouts.retry_delay);
        vec![WatchAction::ReportLost]
    }

    /// Schedules the next call to the new address, with exponential backoff.
    fn schedule_retry(&mut self, now: Duration, timeouts: WatchTimeouts) {
        let factor = (1 << self.failed_calls).min(MAX_BACKOFF_FACTOR);
        self.next_call_at = Some(now + timeouts.retry_delay * factor);
        self.failed_calls = (self.failed_calls + 1).min(MAX_BACKOFF_FACTOR);
    }
}
