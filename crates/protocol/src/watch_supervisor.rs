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

/// Why a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// Discovery closed or reset the connection, or refused it, or sent an error.
    ByPeer,
    /// No complete event arrived on the open connection for this long. If there was none before, discovery
    /// did not answer in time.
    Silent(Duration),
    /// The connection was not established in time.
    Unreachable,
    /// The connection could not be opened for a reason local to this machine.
    LocalFailure,
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
    /// Report that the active watch has ended.
    ReportLost(WatchEnd),
    /// Report that no watch is pending any more: all of them have ended without an answer, the last one for
    /// this reason.
    ReportFailed(WatchEnd),
    /// Report that the configured address is another one, at which a watch is being opened.
    ReportAddressChanging,
    /// Report that a watch at the configured address has replaced the one at the previous address, and has
    /// delivered its list.
    ReportAddressChanged,
}

/// A watch that has been opened.
struct OpenedWatch<A> {
    watch_id: u64,
    address: A,
}

/// State of all watches of one front node. `A` is the type of a discovery address.
pub struct WatchSupervisor<A> {
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
    /// Time at which a hedge is to be opened.
    hedge_at: Option<Duration>,
    /// Whether no watch at the configured address has been active since the address changed.
    address_changing: bool,
}

impl<A: Copy + PartialEq> WatchSupervisor<A> {
    /// Creates a supervisor without watches.
    ///
    /// `version` is the version of the endpoint list known from the discovery service at `address`.
    pub fn new(address: A, version: u64) -> WatchSupervisor<A> {
        WatchSupervisor {
            configured_address: address,
            source_address: address,
            version,
            active: None,
            pending: Vec::new(),
            active_has_had_event: false,
            last_watch_id: 0,
            hedge_at: None,
            address_changing: false,
        }
    }

    /// Opens a watch, unless the maximum number of watches is pending.
    /// Discovery has to begin its answer within `answer_timeout`.
    pub fn request_watch(&mut self, now: Duration, answer_timeout: Duration) -> Vec<WatchAction<A>> {
        if self.pending.len() >= MAX_PENDING {
            return Vec::new();
        }
        self.last_watch_id += 1;
        let watch_id = self.last_watch_id;
        let address = self.configured_address;
        self.pending.push(OpenedWatch { watch_id, address });
        let may_hedge = self.pending.len() < MAX_PENDING;
        self.hedge_at = may_hedge.then(|| now + answer_timeout * 3 / 4);
        let after = if address == self.source_address { self.version } else { 0 };
        vec![WatchAction::Open { watch_id, address, after }]
    }

    /// Applies a new discovery address from the configuration: closes the pending watches and opens a watch
    /// at the new address. The active watch stays open until that one replaces it.
    pub fn change_address(
        &mut self,
        now: Duration,
        address: A,
        answer_timeout: Duration,
    ) -> Vec<WatchAction<A>> {
        self.configured_address = address;
        self.address_changing = true;
        let mut actions = vec![WatchAction::ReportAddressChanging];
        actions.extend(self.pending.drain(..).map(|watch| WatchAction::Close(watch.watch_id)));
        actions.extend(self.request_watch(now, answer_timeout));
        actions
    }

    /// Returns the time at which the caller has to call [`on_deadline`](WatchSupervisor::on_deadline), if
    /// any.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.hedge_at
    }

    /// Opens the hedge if it is due.
    pub fn on_deadline(&mut self, now: Duration, answer_timeout: Duration) -> Vec<WatchAction<A>> {
        if self.hedge_at.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.hedge_at = None;
        self.request_watch(now, answer_timeout)
    }

    /// Handles an event of a watch.
    pub fn on_event(&mut self, watch_id: u64, event: WatchEvent) -> Vec<WatchAction<A>> {
        let mut actions = self.activate(watch_id, &event);
        let Some(active) = self.active.as_ref().filter(|watch| watch.watch_id == watch_id) else {
            return actions;
        };
        let address = active.address;
        let is_first_event = !std::mem::replace(&mut self.active_has_had_event, true);
        match event {
            WatchEvent::Update(update) => {
                self.source_address = address;
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
        if address == self.configured_address && std::mem::take(&mut self.address_changing) {
            actions.push(WatchAction::ReportAddressChanged);
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
        self.hedge_at = None;
        actions
    }

    /// Handles the end of a watch. Ignores watches that were closed by a [`WatchAction::Close`].
    pub fn on_watch_ended(&mut self, watch_id: u64, end: WatchEnd) -> Vec<WatchAction<A>> {
        if self.active.take_if(|watch| watch.watch_id == watch_id).is_some() {
            return vec![WatchAction::ReportLost(end)];
        }
        let pending_before = self.pending.len();
        self.pending.retain(|watch| watch.watch_id != watch_id);
        let last_has_ended = pending_before > 0 && self.pending.is_empty();
        if !last_has_ended {
            // Another watch is pending, or this watch was replaced and closed before.
            return Vec::new();
        }
        self.hedge_at = None;
        vec![WatchAction::ReportFailed(end)]
    }
}
