//! The endpoint list's state: how current it is, and the watch on it.

use crate::interface::Micros;

/// How current the endpoint list is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ListCurrency {
    /// The list was stored before this front node started and has not been confirmed since.
    #[default]
    Stored,
    /// A watch is open and delivers each change.
    Watched,
    /// The watch ended at this time. Later changes are not known.
    WatchEnded(Micros),
    /// The watch has delivered nothing since this time. Later changes are not known.
    WatchSilent(Micros),
    /// Discovery was down at this time, so until then it had notified nobody of a change.
    DiscoveryDown(Micros),
}

/// State of the endpoint list and of the watch on it. Used unless the list is pushed.
#[derive(Default)]
pub(crate) struct EndpointWatch {
    /// How current the list is.
    pub(crate) currency: ListCurrency,
    /// While the configured discovery service has not delivered its list, as it is another one than before:
    /// the time from which its list counts as notified.
    pub(crate) new_source_counts_from: Option<Micros>,
    /// Whether sends were held for as long as they may be, or discovery was unreachable, and no list has been
    /// received since then.
    pub(crate) wait_exhausted: bool,
    /// Whether sends were held after the latest batch.
    pub(crate) holding_sends: bool,
    /// When the list was last requested with a watch; `None` before the first request and after a failure.
    pub(crate) requested_at: Option<Micros>,
    /// Whether the watch at the configured discovery service has delivered a list or a change since it was
    /// requested.
    pub(crate) confirmed: bool,
    /// Earliest time of the next request.
    pub(crate) next_poll_at: Micros,
    /// Wait before the next request if the watch fails again.
    pub(crate) backoff: Micros,
}

impl EndpointWatch {
    /// Returns whether a request for a watch has been neither answered nor failed.
    pub(crate) fn request_outstanding(&self) -> bool {
        self.requested_at.is_some() && !self.confirmed
    }
}
