//! The watch on the endpoint list.

use crate::interface::Micros;

/// State of the watch on the endpoint list. Used only if the list has to be polled.
#[derive(Default)]
pub(crate) struct EndpointWatch {
    /// When the list was last requested with a watch; `None` before the first request and after a failure.
    pub(crate) requested_at: Option<Micros>,
    /// Whether the watch has delivered a list or a change since it was requested.
    pub(crate) confirmed: bool,
    /// Earliest time of the next request.
    pub(crate) next_poll_at: Micros,
    /// Wait before the next request if the watch fails again.
    pub(crate) backoff: Micros,
}
