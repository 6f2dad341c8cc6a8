//! The relay's own watch of discovery, opened again for as long as the member runs.

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

/// Time without a complete line after which the watch is given up and the list is no longer passed on.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between the end of a watch and the next attempt to open one.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Where the list of discovery is published.
pub(super) struct ListPublisher {
    /// The list as JSON, for the front node.
    pub(super) upstream: watch::Sender<UpstreamList>,
    /// What the list says, for the member.
    pub(super) discovered: watch::Sender<DiscoveredServers>,
}

impl ListPublisher {
    fn publish(&self, list: &BTreeMap<String, Value>) {
        self.upstream.send_replace(Some(Rc::new(list.values().cloned().collect())));
        let discovered = list.iter().map(|(name, entry)| (name.clone(), discovered_server(entry)));
        self.discovered.send_replace(Some(discovered.collect()));
    }

    /// Says that no list is known to be fresh.
    fn withdraw(&self) {
        self.upstream.send_replace(None);
        self.discovered.send_replace(None);
    }
}

/// Why a watch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchEnd {
    /// It could not be opened.
    NoAnswer,
    /// No complete line came for [`SILENCE_TIMEOUT`].
    Silent,
    /// Discovery ended the response.
    EndedByPeer,
    /// The connection failed.
    Reset,
    /// A watch event was longer than [`MAX_ENDPOINT_LIST_BYTES`].
    LineTooLong,
    /// A line was not a watch event.
    BadList,
}

impl WatchEnd {
    /// The reason code in the log.
    fn reason(self) -> &'static str {
        match self {
            WatchEnd::NoAnswer => "no_answer",
            WatchEnd::Silent => "silent",
            WatchEnd::EndedByPeer => "ended_by_peer",
            WatchEnd::Reset => "reset",
            WatchEnd::LineTooLong => "line_too_long",
            WatchEnd::BadList => "bad_list",
        }
    }
}

/// Watches discovery for as long as the member runs.
pub(super) async fn run(discovery: SocketAddr, publisher: ListPublisher, log: Logger) {
    let mut list = BTreeMap::new();
    loop {
        let end = match open_watch(discovery).await {
            Some(StreamingResponse { response, connection }) => {
                let end = read_watch(response.into_body(), &mut list, &publisher).await;
                connection.abort();
                end
            }
            None => WatchEnd::NoAnswer,
        };
        info!(log, "connection ended"; "side" => "discovery", "peer" => %discovery, "reason" => end.reason());
        publisher.withdraw();
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

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

/// Reads a watch until it ends; why it did.
async fn read_watch(
    mut body: Incoming,
    list: &mut BTreeMap<String, Value>,
    publisher: &ListPublisher,
) -> WatchEnd {
    let mut events = JsonStreamSplitter::default();
    // Only a complete event or blank line extends it: single bytes, or half a list, say nothing.
    let mut deadline = Instant::now() + SILENCE_TIMEOUT;
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Err(_) => return WatchEnd::Silent,
            Ok(None) => return WatchEnd::EndedByPeer,
            Ok(Some(Err(_))) => return WatchEnd::Reset,
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        events.feed(&data);
        loop {
            let piece = match events.next_item(MAX_ENDPOINT_LIST_BYTES) {
                Err(StreamItemTooLong) => return WatchEnd::LineTooLong,
                Ok(None) => break,
                Ok(Some(piece)) => piece,
            };
            deadline = Instant::now() + SILENCE_TIMEOUT;
            let StreamItem::Text(event) = piece else { continue };
            if apply_watch_event(&event, list).is_err() {
                return WatchEnd::BadList;
            }
            publisher.publish(list);
        }
    }
}
