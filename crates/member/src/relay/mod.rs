//! Relays discovery's endpoint list to this member's front node, with the drains that the fleet has decided
//! applied to it.
//!
//! The endpoint list names the index servers and gives the zone and status of each. A client of discovery
//! either polls the list or watches it: a watch is an HTTP response that does not end, in which each change
//! of the list is a JSON object and a blank line is a heartbeat. The relay watches discovery, and the front
//! node watches the relay in the same way. A drain that the fleet has decided therefore looks to the front
//! node like any other drain: the index server has the status `draining` in the list.
//!
//! On each watch, the relay sends a list only after the front node's own counter of received lists shows that
//! the list before it has arrived. So a drain is reported to the fleet as known to the front node only after
//! the front node has received it.
//!
//! When the watch of discovery ends or is silent for too long, the relay ends the front node's watches and
//! answers further requests with status 503 until discovery sends a list again: a list that may be outdated
//! must not be passed on as a fresh one.

mod discovery_watch;
mod endpoint_list;
mod front_node_watch;
mod server;

use crate::config::RelayConfig;
use crate::front_node_process::FrontNodeObservation;
use discovery_watch::ListPublisher;
use serde_json::Value;
use slog::Logger;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// URL path of the endpoint list, both on discovery and on the relay.
const LIST_PATH: &str = "/registry/instances";
/// Time after which a blank line is sent on a watch if nothing else was sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The drains of index servers that the fleet has decided, as they apply to this member's front node.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DrainView {
    /// The names of the index servers that the front node must not send to.
    pub drained_servers: BTreeSet<String>,
    /// For each index server that was ever drained, by name, the Raft log index of the command that last
    /// changed its drain phase.
    pub change_indexes: BTreeMap<String, u64>,
}

/// The zone and status of one index server in discovery's endpoint list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DiscoveredServer {
    /// The zone of the server; empty if discovery gives none.
    pub zone: String,
    /// Whether the server has the status `up`.
    pub up: bool,
}

/// The index servers in discovery's endpoint list, by name; `None` while there is no working watch of
/// discovery.
pub type DiscoveredServers = Option<BTreeMap<String, DiscoveredServer>>;

/// The member's ends of the channels to and from the relay.
pub struct RelayHandles {
    /// The drains that the fleet has decided, for the relay to apply.
    pub drain_view: watch::Sender<DrainView>,
    /// The index servers that discovery lists.
    pub discovered: watch::Receiver<DiscoveredServers>,
    /// The [`DrainView::change_indexes`] of the last list that the front node has received.
    pub notified_indexes: watch::Receiver<BTreeMap<String, u64>>,
}

/// The entries of discovery's endpoint list as JSON; `None` while there is no working watch of discovery.
type UpstreamList = Option<Rc<Vec<Value>>>;

/// State shared by the tasks of the relay.
struct Relay {
    /// Discovery's endpoint list.
    upstream: watch::Receiver<UpstreamList>,
    /// The drains that the fleet has decided.
    drain_view: watch::Receiver<DrainView>,
    /// The result of the last poll of the front node, which holds its counter of received lists.
    observations: watch::Receiver<FrontNodeObservation>,
    /// The [`DrainView::change_indexes`] of the last list that the front node has received.
    notified_indexes: watch::Sender<BTreeMap<String, u64>>,
    log: Logger,
}

/// An endpoint list for the front node, with the version of the drains that are applied to it.
struct DrainedList {
    /// Discovery's list with the fleet's drains applied; `None` while there is no working watch of discovery.
    endpoints: Option<Vec<Value>>,
    /// The [`DrainView::change_indexes`] of the drains that are applied.
    change_indexes: BTreeMap<String, u64>,
}

impl Relay {
    /// Applies the current drains to the current list of discovery.
    fn current_list(&self) -> DrainedList {
        let drain_view = self.drain_view.borrow();
        let upstream = self.upstream.borrow();
        let endpoints =
            upstream.as_ref().map(|list| endpoint_list::with_drains(list, &drain_view.drained_servers));
        DrainedList { endpoints, change_indexes: drain_view.change_indexes.clone() }
    }
}

/// Starts the relay's tasks: the watch of discovery and the HTTP server for the front node.
///
/// `observations` is the channel on which the results of polls of the front node are published.
///
/// # Errors
/// If the relay's address cannot be bound. A transient failure, such as a lack of ports, is retried for
/// [`pinetrestle_system_calls::STARTUP_TIMEOUT`].
pub async fn start(
    config: &RelayConfig,
    observations: watch::Receiver<FrontNodeObservation>,
    log: Logger,
) -> std::io::Result<RelayHandles> {
    let listener = pinetrestle_system_calls::listen(config.listen).await?;
    let (upstream_sender, upstream) = watch::channel(None);
    let (discovered_sender, discovered) = watch::channel(None);
    let (drain_view_sender, drain_view) = watch::channel(DrainView::default());
    let (notified_sender, notified_indexes) = watch::channel(BTreeMap::new());
    let publisher = ListPublisher { upstream: upstream_sender, discovered: discovered_sender };
    tokio::task::spawn_local(discovery_watch::run(config.upstream, publisher, log.clone()));
    let relay = Rc::new(Relay { upstream, drain_view, observations, notified_indexes: notified_sender, log });
    tokio::task::spawn_local(server::run(listener, relay));
    Ok(RelayHandles { drain_view: drain_view_sender, discovered, notified_indexes })
}

/// Replaces the value of a watch channel, and wakes its receivers only if the new value differs from the old
/// one.
pub fn send_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| {
        let changed = *current != value;
        *current = value;
        changed
    });
}

#[cfg(test)]
#[path = "../../tests/inside/relay.rs"]
mod tests;
