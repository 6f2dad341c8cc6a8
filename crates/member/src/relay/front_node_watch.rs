//! One watch of the relay's endpoint list by the front node. It sends the current list, and then each changed
//! list once the front node has received the one before it.

use super::endpoint_list::snapshot_line;
use super::{send_if_changed, DrainView, Relay, UpstreamList, HEARTBEAT_INTERVAL};
use crate::front_node_process::FrontNodeObservation;
use hyper::body::Bytes;
use serde_json::Value;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// The heartbeat of a watch: a blank line, which only shows that the watch is still served.
const BLANK_LINE: Bytes = Bytes::from_static(b"\n");

/// The watch has to end: its connection was closed, there is no up-to-date list of discovery, or another task
/// of the member has ended, as on exit.
#[derive(Debug, thiserror::Error)]
#[error("the front node's watch has ended")]
struct WatchEnded;

/// The state of one watch.
pub(super) struct FrontNodeWatch {
    relay: Rc<Relay>,
    /// The lines of the response body of this watch.
    lines: mpsc::Sender<Bytes>,
    // Own clones of the relay's receivers, because each receiver records which value it has seen last.
    upstream: watch::Receiver<UpstreamList>,
    drain_view: watch::Receiver<DrainView>,
    observations: watch::Receiver<FrontNodeObservation>,
    /// The entries of the list that was sent last; `None` before the first.
    last_sent: Option<Vec<Value>>,
    /// The version number of the list that was sent last: each watch counts its lists from 1.
    index: u64,
}

impl FrontNodeWatch {
    pub(super) fn new(relay: Rc<Relay>, lines: mpsc::Sender<Bytes>) -> FrontNodeWatch {
        FrontNodeWatch {
            upstream: relay.upstream.clone(),
            drain_view: relay.drain_view.clone(),
            observations: relay.observations.clone(),
            relay,
            lines,
            last_sent: None,
            index: 0,
        }
    }

    /// Sends lists and heartbeats until the watch ends.
    pub(super) async fn run(mut self) {
        while self.send_current_list().await.is_ok() {
            if self.wait_for_change().await.is_err() {
                return;
            }
        }
    }

    /// Sends the current list if it differs from the one sent last, and waits until the front node has
    /// received it. Then publishes which drain changes the front node knows.
    async fn send_current_list(&mut self) -> Result<(), WatchEnded> {
        self.upstream.borrow_and_update();
        self.drain_view.borrow_and_update();
        let current = self.relay.current_list();
        let endpoints = current.endpoints.ok_or(WatchEnded)?;
        if self.last_sent.as_ref() != Some(&endpoints) {
            let received_before = self.lists_received().await?;
            self.index += 1;
            self.send(Bytes::from(snapshot_line(&endpoints, self.index))).await?;
            self.last_sent = Some(endpoints);
            self.wait_until_received(received_before).await?;
        }
        send_if_changed(&self.relay.notified_indexes, current.change_indexes);
        Ok(())
    }

    /// Returns the front node's counter of received lists, as read by a poll that began after this call.
    ///
    /// A poll that is in progress already may have read the counter before the last list was received; the
    /// growth caused by that list would then be taken for the receipt of the next one. The first observation
    /// after this call may come from such a poll, and is skipped.
    async fn lists_received(&mut self) -> Result<u64, WatchEnded> {
        self.next_observation().await?;
        self.next_observation().await?;
        Ok(self.observations.borrow_and_update().lists_received)
    }

    /// Waits for the result of the next poll of the front node.
    async fn next_observation(&mut self) -> Result<(), WatchEnded> {
        self.observations.changed().await.map_err(|_| WatchEnded)
    }

    /// Waits until the front node's counter of received lists is above `received_before`, and sends
    /// heartbeats meanwhile.
    async fn wait_until_received(&mut self, received_before: u64) -> Result<(), WatchEnded> {
        loop {
            match tokio::time::timeout(HEARTBEAT_INTERVAL, self.next_observation()).await {
                Ok(observation) => {
                    observation?;
                    if self.observations.borrow_and_update().lists_received > received_before {
                        return Ok(());
                    }
                }
                Err(_) => self.send(BLANK_LINE).await?,
            }
            if self.lines.is_closed() {
                return Err(WatchEnded);
            }
        }
    }

    /// Waits until the list may have changed. Sends a heartbeat and returns if that takes longer than
    /// [`HEARTBEAT_INTERVAL`].
    async fn wait_for_change(&mut self) -> Result<(), WatchEnded> {
        tokio::select! {
            changed = self.upstream.changed() => changed.map_err(|_| WatchEnded),
            changed = self.drain_view.changed() => changed.map_err(|_| WatchEnded),
            () = self.lines.closed() => Err(WatchEnded),
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => self.send(BLANK_LINE).await,
        }
    }

    async fn send(&self, line: Bytes) -> Result<(), WatchEnded> {
        self.lines.send(line).await.map_err(|_| WatchEnded)
    }
}
