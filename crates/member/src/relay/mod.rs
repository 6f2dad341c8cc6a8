//! The relay of the endpoint list to this member's front node: discovery's list, with the fleet's drains applied.
//!
//! The front node watches this relay as it would watch discovery, and sees a drain of the fleet as any other drain:
//! status `draining` in the list. One list at a time is sent, and the next only after the front node's own counter of
//! lists shows that it has received the last; so what is reported as notified has been notified.
//!
//! While discovery itself is silent the relay is silent too and ends its watches: a list that may be outdated is not
//! passed on as a fresh one.

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

/// The path of the endpoint list, at discovery and at the relay.
const LIST_PATH: &str = "/registry/instances";
/// Time between two blank lines on a watch on which nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// What the fleet has decided on index servers for this front node.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DrainView {
    /// Index servers it is not to send to, by name.
    pub drained_servers: BTreeSet<String>,
    /// The log index of the last change of each index server that was ever drained, by name.
    pub change_indexes: BTreeMap<String, u64>,
}

/// What discovery says of one index server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DiscoveredServer {
    /// Its zone; empty where discovery names none.
    pub zone: String,
    /// Whether it is listed as up.
    pub up: bool,
}

/// What discovery lists, by name; none while discovery is silent.
pub type DiscoveredServers = Option<BTreeMap<String, DiscoveredServer>>;

/// The ends of the relay's channels that the member holds.
pub struct RelayHandles {
    /// What the fleet has decided.
    pub drain_view: watch::Sender<DrainView>,
    /// What discovery lists.
    pub discovered: watch::Receiver<DiscoveredServers>,
    /// The changes the front node has been notified of, in the form of [`DrainView::change_indexes`].
    pub notified: watch::Receiver<BTreeMap<String, u64>>,
}

/// Discovery's endpoint list as JSON; none while discovery is silent.
type UpstreamList = Option<Rc<Vec<Value>>>;

/// What the relay's tasks share.
struct Relay {
    /// Discovery's list.
    upstream: watch::Receiver<UpstreamList>,
    /// What the fleet has decided.
    drain_view: watch::Receiver<DrainView>,
    /// What polls of the front node show.
    observations: watch::Receiver<FrontNodeObservation>,
    /// The changes the front node has been notified of.
    notified: watch::Sender<BTreeMap<String, u64>>,
    log: Logger,
}

/// A list for the front node, and the changes of the fleet that it shows.
struct DrainedList {
    /// Discovery's list with the fleet's drains applied; none while discovery is silent.
    endpoints: Option<Vec<Value>>,
    /// In the form of [`DrainView::change_indexes`].
    changes: BTreeMap<String, u64>,
}

impl Relay {
    fn current_list(&self) -> DrainedList {
        let drain_view = self.drain_view.borrow();
        let upstream = self.upstream.borrow();
        let endpoints =
            upstream.as_ref().map(|list| endpoint_list::with_drains(list, &drain_view.drained_servers));
        DrainedList { endpoints, changes: drain_view.change_indexes.clone() }
    }
}

/// Starts the relay: watches discovery and listens for the front node.
///
/// # Errors
/// When the address can't be bound for [`pinetrestle_system_calls::STARTUP_TIMEOUT`].
pub async fn start(
    config: &RelayConfig,
    observations: watch::Receiver<FrontNodeObservation>,
    log: Logger,
) -> std::io::Result<RelayHandles> {
    let listener = pinetrestle_system_calls::listen(config.listen).await?;
    let (upstream_sender, upstream) = watch::channel(None);
    let (discovered_sender, discovered) = watch::channel(None);
    let (drain_view_sender, drain_view) = watch::channel(DrainView::default());
    let (notified_sender, notified) = watch::channel(BTreeMap::new());
    let publisher = ListPublisher { upstream: upstream_sender, discovered: discovered_sender };
    tokio::task::spawn_local(discovery_watch::run(config.upstream, publisher, log.clone()));
    let relay = Rc::new(Relay { upstream, drain_view, observations, notified: notified_sender, log });
    tokio::task::spawn_local(server::run(listener, relay));
    Ok(RelayHandles { drain_view: drain_view_sender, discovered, notified })
}

/// Replaces a watch channel's value, and wakes its receivers only where the new value differs.
pub fn send_if_changed<T: PartialEq>(watch: &watch::Sender<T>, value: T) {
    watch.send_if_modified(|current| {
        let changed = *current != value;
        *current = value;
        changed
    });
}

#[cfg(test)]
#[path = "../../tests/inside/relay.rs"]
mod tests;
