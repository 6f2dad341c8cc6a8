//! One watch of the front node: the list, then each change of it, one at a time.

use super::endpoint_list::snapshot_line;
use super::{send_if_changed, DrainView, Relay, UpstreamList, HEARTBEAT};
use crate::front_node_process::FrontNodeObservation;
use hyper::body::Bytes;
use serde_json::Value;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// The line that only shows that the watch is alive.
const BLANK_LINE: Bytes = Bytes::from_static(b"\n");

/// Why a watch ends: its connection was closed, discovery is silent, or the member ends.
#[derive(Debug, thiserror::Error)]
#[error("the watch has ended")]
struct WatchEnded;

/// The state of one watch.
pub(super) struct FrontNodeWatch {
    relay: Rc<Relay>,
    /// Where the lines of the watch go.
    lines: mpsc::Sender<Bytes>,
    /// This watch's own receivers of what the relay knows: each marks for itself what it has seen.
    upstream: watch::Receiver<UpstreamList>,
    drain_view: watch::Receiver<DrainView>,
    observations: watch::Receiver<FrontNodeObservation>,
    /// The list that was sent last.
    last_sent: Option<Vec<Value>>,
    /// The index of the last list; each list on a watch has the next one.
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

    /// Sends lists until the watch ends.
    pub(super) async fn run(mut self) {
        while self.send_current_list().await.is_ok() {
            if self.wait_for_change().await.is_err() {
                return;
            }
        }
    }

    /// Sends the list if it is another than the last, and reports its changes as notified once the front node has
    /// received it.
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
        send_if_changed(&self.relay.notified, current.changes);
        Ok(())
    }

    /// Lists the front node has received, by a poll begun after now: an earlier one may have missed a list received
    /// before this one is sent.
    async fn lists_received(&mut self) -> Result<u64, WatchEnded> {
        self.next_observation().await?;
        self.next_observation().await?;
        Ok(self.observations.borrow_and_update().lists_received)
    }

    async fn next_observation(&mut self) -> Result<(), WatchEnded> {
        self.observations.changed().await.map_err(|_| WatchEnded)
    }

    /// Waits until the front node's own counter shows that it has received another list.
    async fn wait_until_received(&mut self, received_before: u64) -> Result<(), WatchEnded> {
        loop {
            match tokio::time::timeout(HEARTBEAT, self.next_observation()).await {
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

    /// Waits until the list may have changed, at most for [`HEARTBEAT`]; then a blank line is sent.
    async fn wait_for_change(&mut self) -> Result<(), WatchEnded> {
        tokio::select! {
            changed = self.upstream.changed() => changed.map_err(|_| WatchEnded),
            changed = self.drain_view.changed() => changed.map_err(|_| WatchEnded),
            () = self.lines.closed() => Err(WatchEnded),
            () = tokio::time::sleep(HEARTBEAT) => self.send(BLANK_LINE).await,
        }
    }

    async fn send(&self, line: Bytes) -> Result<(), WatchEnded> {
        self.lines.send(line).await.map_err(|_| WatchEnded)
    }
}
