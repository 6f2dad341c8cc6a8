//! How current the endpoint list is, and what may be sent on it.
//!
//! An index server that drains may get new attempts for [`Rules::drain_grace`](crate::interface::Rules)
//! after the front node was notified. A change counts as notified even if the front node could not receive
//! it, because its watch had ended, or because the list of another discovery service applies by now. What a
//! watch that fell silent has missed counts [`LIST_STALENESS_LIMIT`] later. So a list that is not confirmed
//! by an open watch may be used for a limited time only. After that sends are held: queries wait until
//! discovery has delivered its list, or has turned out to be down. A wait without either ends after
//! [`MAX_LIST_WAIT`], as a front node has to serve by the last known list if discovery does not respond.

use super::tuning::{
    LIST_STALENESS_LIMIT, MAX_FIRST_LIST_WAIT, MAX_LIST_WAIT, NEW_DISCOVERY_DELAY, REFUSAL_TIME,
    SEND_DELAY_MARGIN,
};
use super::FrontNode;
use crate::interface::{ListDelivery, Micros, WatchFailure};
use crate::state::ListCurrency;

impl FrontNode {
    /// Returns whether the front node may be announced as ready: its endpoint list has been confirmed since
    /// the start, or discovery is down or does not respond. Does not consider whether the list is empty.
    pub fn is_ready(&self) -> bool {
        let watch = &self.endpoint_watch;
        let is_watched = matches!(self.settings.list_delivery, ListDelivery::Watched { .. });
        !is_watched || watch.currency != ListCurrency::Stored || watch.wait_exhausted
    }

    /// Returns whether an attempt may be sent at `now` on the endpoint list of the latest batch.
    pub fn list_allows_sends(&self, now: Micros) -> bool {
        self.list_usable_until().is_none_or(|until| now < until)
    }

    /// Returns whether all sends are held, as the endpoint list may be out of date.
    pub(super) fn holds_sends(&self) -> bool {
        self.endpoint_watch.holding_sends
    }

    /// Decides whether sends are held. Has to run after the events of a batch are applied and before anything
    /// is sent.
    pub(super) fn update_send_hold(&mut self) {
        let was_holding = self.endpoint_watch.holding_sends;
        let held_from = self.list_usable_until().filter(|until| self.now >= *until);
        let wait_ends_at = if self.is_ready() {
            held_from.map(|from| from + MAX_LIST_WAIT)
        } else {
            Some(self.started_at + MAX_FIRST_LIST_WAIT)
        };
        if wait_ends_at.is_some_and(|end| self.now >= end) {
            self.endpoint_watch.wait_exhausted = true;
            self.endpoint_watch.holding_sends = false;
            self.log("discovery does not respond, sending by the last known endpoint list".to_owned());
            return;
        }
        self.endpoint_watch.holding_sends = held_from.is_some();
        let is_down = matches!(self.endpoint_watch.currency, ListCurrency::DiscoveryDown(_));
        if held_from.is_some() && !was_holding && !is_down {
            self.log("endpoint list may be out of date, holding sends".to_owned());
        }
    }

    /// Returns the time until which an attempt that is sent now may be written; `None` if the endpoint list
    /// sets no limit.
    pub(super) fn list_usable_until(&self) -> Option<Micros> {
        let watch = &self.endpoint_watch;
        let notification_delay = match self.settings.list_delivery {
            ListDelivery::Pushed => return None,
            ListDelivery::Polled => self.settings.rules.max_list_staleness.min(LIST_STALENESS_LIMIT),
            ListDelivery::Watched { .. } => Micros(0),
        };
        if watch.wait_exhausted {
            return None;
        }
        let missing_counts_from = match watch.currency {
            ListCurrency::Watched => None,
            ListCurrency::Stored => Some(self.started_at + notification_delay),
            ListCurrency::WatchEnded(at) | ListCurrency::DiscoveryDown(at) => Some(at + notification_delay),
            ListCurrency::WatchSilent(at) => Some(at + LIST_STALENESS_LIMIT),
        };
        let counts_from = missing_counts_from.into_iter().chain(watch.new_source_counts_from).min()?;
        let grace = (self.settings.rules.drain_grace - SEND_DELAY_MARGIN).max(Micros(0));
        Some(counts_from + grace)
    }

    /// Applies to the list's currency what a failure of the watch, or of a request for one, shows.
    ///
    /// A request that is refused at once shows that discovery is down and notifies nobody. One that fails
    /// later does not: an overloaded discovery service fails requests that have waited for too long. If
    /// discovery is unreachable, its return can't be noticed soon enough to wait for it.
    pub(super) fn note_watch_failure(&mut self, failure: WatchFailure) {
        let now = self.now;
        let watch = &mut self.endpoint_watch;
        let is_watched = watch.currency == ListCurrency::Watched;
        let refused_at_once = watch.requested_at.is_none_or(|at| now - at <= REFUSAL_TIME);
        match failure {
            WatchFailure::Ended | WatchFailure::Unknown if is_watched => {
                watch.currency = ListCurrency::WatchEnded(now);
            }
            WatchFailure::Silent(duration) if is_watched => {
                watch.currency = ListCurrency::WatchSilent(now - duration);
            }
            WatchFailure::Unknown => watch.currency = ListCurrency::DiscoveryDown(now),
            WatchFailure::Refused if refused_at_once => {
                if !is_watched {
                    watch.currency = ListCurrency::DiscoveryDown(now);
                }
                watch.new_source_counts_from = watch.new_source_counts_from.map(|from| from.max(now));
            }
            WatchFailure::Unreachable => {
                let is_needed = !is_watched || watch.new_source_counts_from.is_some();
                watch.wait_exhausted |= is_needed;
            }
            _ => {}
        }
    }

    /// Records that discovery has delivered a list or a change.
    pub(super) fn note_list_received(&mut self) {
        self.endpoint_watch.currency = ListCurrency::Watched;
        self.endpoint_watch.wait_exhausted = false;
    }

    /// Handles a new discovery service in the configuration, whose list the host has requested.
    pub(super) fn on_discovery_changing(&mut self) {
        self.endpoint_watch.new_source_counts_from = Some(self.now + NEW_DISCOVERY_DELAY);
        self.expect_requested_list();
    }

    /// Handles the arrival of the new discovery service's list.
    pub(super) fn on_discovery_changed(&mut self) {
        self.endpoint_watch.new_source_counts_from = None;
        self.confirm_watch();
    }
}
