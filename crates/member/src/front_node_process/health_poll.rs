//! Polls a front node over HTTP for its readiness (`/health/ready`) and its counters (`/stats`).

use crate::http_client::{self, StreamingResponse};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::header::{CONNECTION, HOST};
use hyper::Request;
use pinetrestle_rollout::HealthCounters;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time from connecting to the front node to the end of its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response body in bytes; a larger one counts as no response.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// The HTTP status with which a front node answers `/health/ready` when it is ready.
const READY_STATUS: u16 = 200;

/// The responses of a front node to one poll.
pub(super) struct HealthPoll {
    /// Whether the front node reports that it is ready; `None` if it did not respond in time.
    pub(super) ready: Option<bool>,
    /// The counters; `None` if the front node did not respond in time, or not with JSON.
    pub(super) counters: Option<Counters>,
}

/// The counters of a front node that its member uses.
pub(super) struct Counters {
    /// The counters by which its health is checked after an update.
    pub(super) health: HealthCounters,
    /// Number of endpoint lists that the front node has received since its start.
    pub(super) lists_received: u64,
}

struct PolledResponse {
    status: u16,
    body: Bytes,
}

impl HealthPoll {
    /// Polls the front node that listens on `address`; both requests are sent at the same time.
    pub(super) async fn send(address: SocketAddr) -> HealthPoll {
        let (readiness, stats) = tokio::join!(get(address, "/health/ready"), get(address, "/stats"));
        let counters = stats
            .and_then(|response| serde_json::from_slice::<Value>(&response.body).ok())
            .map(|stats| Counters::from_stats(&stats));
        HealthPoll { ready: readiness.map(|response| response.status == READY_STATUS), counters }
    }
}

impl Counters {
    /// Reads the counters from the body of `/stats`. A counter that is missing is 0.
    fn from_stats(stats: &Value) -> Counters {
        let classes: Vec<&Value> =
            stats["queries"].as_object().map(|classes| classes.values().collect()).unwrap_or_default();
        let sum = |name: &str| classes.iter().map(|class| counter(&class[name])).sum::<u64>();
        let health = HealthCounters {
            answered: sum("whole") + sum("partial"),
            failed: sum("failed"),
            defects: counter(&stats["own"]["module_restarts"]) + counter(&stats["own"]["stray_attempts"]),
        };
        Counters { health, lists_received: counter(&stats["discovery"]["lists"]) }
    }
}

/// Reads one counter; 0 if it is missing or not an unsigned integer.
fn counter(value: &Value) -> u64 {
    value.as_u64().unwrap_or(0)
}

/// Sends a GET request. Returns `None` if it fails or is not answered within [`RESPONSE_TIMEOUT`].
async fn get(address: SocketAddr, path: &str) -> Option<PolledResponse> {
    let exchange = async {
        let request = Request::get(path)
            .header(HOST, "front")
            .header(CONNECTION, "close")
            .body(Empty::<Bytes>::new())
            .ok()?;
        let StreamingResponse { response, connection } = http_client::send_request(address, request).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
        connection.abort();
        Some(PolledResponse { status, body })
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.ok().flatten()
}
