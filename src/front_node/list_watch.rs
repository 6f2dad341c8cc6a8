//! The watch on the endpoint list: when it is requested, and again after it was lost.

use super::tuning::{
    INITIAL_POLL_BACKOFF, LIST_STALENESS_LIMIT, MAX_POLL_BACKOFF_SHARE, POLL_BACKOFF_GROWTH,
    POLL_TIMEOUT_SHARE, WATCH_BACKOFF_JITTER, WATCH_REOPEN_SPREAD,
};
use super::FrontNode;
use crate::interface::{Action, ListDelivery, Micros, WatchFailure};
use crate::state::ListCurrency;

impl FrontNode {
    /// Schedules a new request after the watch, or a request for it, has failed.
    pub(super) fn on_watch_failed(&mut self, failure: WatchFailure) {
        let had_watch = self.endpoint_watch.currency == ListCurrency::Watched;
        self.note_watch_failure(failure);
        let watch_lost = had_watch && self.endpoint_watch.currency != ListCurrency::Watched;
        let changing = self.endpoint_watch.new_source_counts_from.is_some();
        if watch_lost && changing && self.endpoint_watch.request_outstanding() {
            // The watch on the previous discovery service. The request to the new one goes on.
            return;
        }
        match self.settings.list_delivery {
            ListDelivery::Watched { max_backoff } => self.schedule_watch_request(watch_lost, max_backoff),
            ListDelivery::Polled | ListDelivery::Pushed => self.schedule_poll(),
        }
        self.endpoint_watch.requested_at = None;
        // Keeps the idle timer running, so that the list is requested even if no query arrives.
        self.endpoint_watch.confirmed = false;
        self.log("endpoint list watch lost, polling again".to_owned());
    }

    /// Schedules the next poll of the list after a failure.
    ///
    /// The backoff grows with each failure and is randomized to spread the requests of many front nodes. It
    /// is bounded so that three requests fit into the time after which the front node is expected to know a
    /// change of the list.
    fn schedule_poll(&mut self) {
        let watch = &mut self.endpoint_watch;
        watch.next_poll_at = self.now + watch.backoff.mul_f64(0.5 + self.random.next());
        let max_backoff =
            self.settings.rules.max_list_staleness.min(LIST_STALENESS_LIMIT).mul_f64(MAX_POLL_BACKOFF_SHARE);
        watch.backoff = watch.backoff.mul_f64(POLL_BACKOFF_GROWTH).min(max_backoff);
    }

    /// Schedules the next request for a watch where changes count as notified whether or not it is open.
    ///
    /// A watch that was lost is requested at once, but for a random delay that spreads the requests of a
    /// fleet whose watches end together. If the watch did not last, its request counts as failed, and the
    /// backoff is counted from that request. It is reset only by a watch that lasted.
    fn schedule_watch_request(&mut self, watch_lost: bool, max_backoff: Micros) {
        let now = self.now;
        let requested_at = self.endpoint_watch.requested_at.unwrap_or(now);
        let lasted = watch_lost && now - requested_at >= max_backoff;
        if lasted {
            self.endpoint_watch.backoff = INITIAL_POLL_BACKOFF.min(max_backoff);
        }
        let backoff = self.endpoint_watch.backoff;
        let jittered = backoff.mul_f64(1.0 + WATCH_BACKOFF_JITTER * (2.0 * self.random.next() - 1.0));
        let fleet_size = f64::from(self.settings.fleet_size);
        let spread = WATCH_REOPEN_SPREAD.mul_f64(fleet_size).min(max_backoff).mul_f64(self.random.next());
        let next = if watch_lost { (now + spread).max(requested_at + jittered) } else { now + jittered };
        self.endpoint_watch.next_poll_at = next;
        self.endpoint_watch.backoff = backoff.mul_f64(POLL_BACKOFF_GROWTH).min(max_backoff);
        self.actions.push(Action::SetTimer(next - now));
    }

    /// Requests the endpoint list with a watch if none is open or requested and a request is due.
    ///
    /// The request is repeated when the watch fails and, if the list is polled, when it is not answered in
    /// time. Without a watch the front node would miss changes that it is expected to know.
    pub(super) fn request_endpoint_list(&mut self) {
        let is_polled = match self.settings.list_delivery {
            ListDelivery::Pushed => return,
            ListDelivery::Polled => true,
            ListDelivery::Watched { .. } => false,
        };
        if self.now < self.endpoint_watch.next_poll_at {
            return;
        }
        let timeout = self.settings.rules.max_list_staleness.mul_f64(POLL_TIMEOUT_SHARE);
        let watch = &self.endpoint_watch;
        let unanswered = |requested_at| is_polled && !watch.confirmed && self.now - requested_at > timeout;
        if watch.requested_at.is_none_or(unanswered) {
            self.expect_requested_list();
            self.actions.push(Action::WatchEndpointList);
        }
    }

    /// Records that the list has been requested just now.
    pub(super) fn expect_requested_list(&mut self) {
        self.endpoint_watch.requested_at = Some(self.now);
        self.endpoint_watch.confirmed = false;
    }

    /// Records that a watch is open. While the configured discovery service has not delivered its list, it is
    /// the watch on the previous service, and the request to the new one goes on.
    pub(super) fn confirm_watch(&mut self) {
        let is_watched = matches!(self.settings.list_delivery, ListDelivery::Watched { .. });
        let regained = if is_watched {
            !matches!(self.endpoint_watch.currency, ListCurrency::Stored | ListCurrency::Watched)
        } else {
            self.endpoint_watch.backoff > INITIAL_POLL_BACKOFF
        };
        if regained {
            self.log("endpoint list watch regained".to_owned());
        }
        self.note_list_received();
        if self.endpoint_watch.new_source_counts_from.is_some() {
            return;
        }
        self.endpoint_watch.confirmed = true;
        if !is_watched {
            self.endpoint_watch.backoff = INITIAL_POLL_BACKOFF;
        }
    }
}
