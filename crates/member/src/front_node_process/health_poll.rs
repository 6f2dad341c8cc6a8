//! One poll of a front node over HTTP: its readiness (`/health/ready`) and its counters (`/stats`).

use crate::http_client::{self, StreamingResponse};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::header::{CONNECTION, HOST};
use hyper::Request;
use pinetrestle_rollout::HealthCounters;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a response of the front node may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of a response's body that are read at most.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// The status of a front node that is ready.
const READY_STATUS: u16 = 200;

/// What a front node answered to one poll.
pub(super) struct HealthPoll {
    /// Whether it says that it is ready; none where it did not answer in time.
    pub(super) ready: Option<bool>,
    /// Its counters; none where it did not answer in time, or not with JSON.
    pub(super) counters: Option<Counters>,
}

/// A front node's counters, as far as a member reads them.
pub(super) struct Counters {
    /// What they say of its health.
    pub(super) health: HealthCounters,
    /// Endpoint lists received since its start.
    pub(super) lists_received: u64,
}

struct PolledResponse {
    status: u16,
    body: Bytes,
}

impl HealthPoll {
    /// Polls the front node that listens on `address`.
    pub(super) async fn of(address: SocketAddr) -> HealthPoll {
        let (readiness, stats) = tokio::join!(get(address, "/health/ready"), get(address, "/stats"));
        let counters = stats
            .and_then(|response| serde_json::from_slice::<Value>(&response.body).ok())
            .map(|stats| Counters::from_stats(&stats));
        HealthPoll { ready: readiness.map(|response| response.status == READY_STATUS), counters }
    }
}

impl Counters {
    fn from_stats(stats: &Value) -> Counters {
        let classes: Vec<&Value> =
            stats["queries"].as_object().map(|classes| classes.values().collect()).unwrap_or_default();
        let sum = |name: &str| classes.iter().map(|class| count(&class[name])).sum::<u64>();
        let health = HealthCounters {
            answered: sum("whole") + sum("partial"),
            failed: sum("failed"),
            defects: count(&stats["own"]["module_restarts"]) + count(&stats["own"]["stray_attempts"]),
        };
        Counters { health, lists_received: count(&stats["discovery"]["lists"]) }
    }
}

/// A counter of `/stats`, 0 where it is missing.
fn count(value: &Value) -> u64 {
    value.as_u64().unwrap_or(0)
}

/// One GET request; none where it was not answered in time.
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
