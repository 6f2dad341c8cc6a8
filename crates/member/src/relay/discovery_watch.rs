//! The relay's watch of discovery's endpoint list, reopened whenever it ends.

use super::endpoint_list::{apply_watch_event, discovered_server};
use super::{DiscoveredServers, UpstreamList, LIST_PATH};
use crate::http_client::{self, StreamingResponse};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::header::HOST;
use hyper::Request;
use pinetrestle_protocol::json_stream::{
    JsonStreamSplitter, StreamItem, StreamItemTooLong, MAX_ENDPOINT_LIST_BYTES,
};
use serde_json::Value;
use slog::{info, Logger};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

/// Maximum time to open a watch, and maximum time without a complete event or blank line on it. After that
/// the watch is closed, and the list is no longer passed on.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between the end of a watch, or a failed attempt to open one, and the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The channels on which discovery's list is published within the process.
pub(super) struct ListPublisher {
    /// The entries as JSON, for the watches of the front node.
    pub(super) upstream: watch::Sender<UpstreamList>,
    /// The zone and status of each listed index server, for the member.
    pub(super) discovered: watch::Sender<DiscoveredServers>,
}

impl ListPublisher {
    fn publish(&self, list: &BTreeMap<String, Value>) {
        self.upstream.send_replace(Some(Rc::new(list.values().cloned().collect())));
        let discovered = list.iter().map(|(name, entry)| (name.clone(), discovered_server(entry)));
        self.discovered.send_replace(Some(discovered.collect()));
    }

    /// Publishes that no up-to-date list is available.
    fn withdraw(&self) {
        self.upstream.send_replace(None);
        self.discovered.send_replace(None);
    }
}

/// Why a watch of discovery ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchEnd {
    /// The watch could not be opened: discovery did not respond in time, or not with status 200.
    NotOpened,
    /// Neither a complete event nor a blank line arrived within [`SILENCE_TIMEOUT`].
    Silent,
    /// Discovery ended the response.
    EndedByPeer,
    /// The connection failed.
    ConnectionFailed,
    /// An event was longer than [`MAX_ENDPOINT_LIST_BYTES`].
    EventTooLong,
    /// Data on the watch was not a valid event.
    InvalidEvent,
}

impl WatchEnd {
    /// Returns the reason code that is logged.
    fn reason(self) -> &'static str {
        match self {
            WatchEnd::NotOpened => "no_answer",
            WatchEnd::Silent => "silent",
            WatchEnd::EndedByPeer => "ended_by_peer",
            WatchEnd::ConnectionFailed => "reset",
            WatchEnd::EventTooLong => "line_too_long",
            WatchEnd::InvalidEvent => "bad_list",
        }
    }
}

/// Watches discovery and publishes its list until the member's process ends.
pub(super) async fn run(discovery: SocketAddr, publisher: ListPublisher, log: Logger) {
    let mut list = BTreeMap::new();
    loop {
        let end = match open_watch(discovery).await {
            Some(StreamingResponse { response, connection }) => {
                let end = read_watch(response.into_body(), &mut list, &publisher).await;
                connection.abort();
                end
            }
            None => WatchEnd::NotOpened,
        };
        info!(log, "connection ended"; "side" => "discovery", "peer" => %discovery, "reason" => end.reason());
        publisher.withdraw();
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Opens a watch. Returns `None` if discovery does not respond with status 200 within [`SILENCE_TIMEOUT`].
async fn open_watch(discovery: SocketAddr) -> Option<StreamingResponse> {
    let exchange = async {
        let request = Request::get(format!("{LIST_PATH}?watch=1&after=0"))
            .header(HOST, "discovery")
            .body(Empty::<Bytes>::new())
            .ok()?;
        let opened = http_client::send_request(discovery, request).await?;
        (opened.response.status() == 200).then_some(opened)
    };
    tokio::time::timeout(SILENCE_TIMEOUT, exchange).await.ok().flatten()
}

/// Reads a watch and publishes the list after each event, until the watch ends. Returns why it ended.
async fn read_watch(
    mut body: Incoming,
    list: &mut BTreeMap<String, Value>,
    publisher: &ListPublisher,
) -> WatchEnd {
    let mut events = JsonStreamSplitter::default();
    // Extended only by a complete event or blank line: a peer that sends single bytes, or half of a list,
    // must count as silent.
    let mut deadline = Instant::now() + SILENCE_TIMEOUT;
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Err(_) => return WatchEnd::Silent,
            Ok(None) => return WatchEnd::EndedByPeer,
            Ok(Some(Err(_))) => return WatchEnd::ConnectionFailed,
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        events.feed(&data);
        loop {
            let item = match events.next_item(MAX_ENDPOINT_LIST_BYTES) {
                Err(StreamItemTooLong) => return WatchEnd::EventTooLong,
                Ok(None) => break,
                Ok(Some(item)) => item,
            };
            deadline = Instant::now() + SILENCE_TIMEOUT;
            let StreamItem::Text(event) = item else { continue };
            if apply_watch_event(&event, list).is_err() {
                return WatchEnd::InvalidEvent;
            }
            publisher.publish(list);
        }
    }
}
