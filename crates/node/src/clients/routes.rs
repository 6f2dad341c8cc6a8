//! What a request asks for: the front node's own paths, or a query with all its checks.

use super::response::Response;
use super::ClientContext;
use crate::config::Config;
use crate::host::QueryRequest;
use pinetrestle::interface::{Idempotency, Micros};
use pinetrestle_protocol::query::{self, QueryError};
use pinetrestle_protocol::requests::{AmbiguousField, Request};
use pinetrestle_recorder::{query_key, QueryKey};
use tokio::time::Instant;

/// What a request leads to.
pub(super) enum RequestAction {
    /// The core decides on this query; `key` names it in the flight recorder.
    Query { key: QueryKey, request: Box<QueryRequest> },
    /// It is answered at once.
    Respond(Response),
}

impl RequestAction {
    fn query(request: QueryRequest) -> RequestAction {
        RequestAction::Query { key: query_key(&request.wire_id), request: Box::new(request) }
    }

    /// The query's key, where the request is one.
    pub(super) fn query_key(&self) -> Option<QueryKey> {
        match self {
            RequestAction::Query { key, .. } => Some(*key),
            RequestAction::Respond(_) => None,
        }
    }
}

/// Why a request is rejected before it reaches the core.
#[derive(Clone, Copy, Debug)]
struct RejectedRequest {
    /// HTTP status code.
    status: u16,
    /// Reason code of the response's body.
    code: &'static str,
}

impl RejectedRequest {
    const fn new(status: u16, code: &'static str) -> RejectedRequest {
        RejectedRequest { status, code }
    }
}

impl From<QueryError> for RejectedRequest {
    fn from(error: QueryError) -> RejectedRequest {
        RejectedRequest::new(400, error.code())
    }
}

impl From<AmbiguousField> for RejectedRequest {
    fn from(_: AmbiguousField) -> RejectedRequest {
        RejectedRequest::new(400, "unclear_field")
    }
}

impl ClientContext {
    /// Decides by method and path. `received_at` is when the request had arrived: a query's time runs from then.
    pub(super) fn route(&self, request: &Request<'_>, received_at: Instant) -> RequestAction {
        let config = self.services.live.get();
        let paths = &config.names.wire.paths;
        match (request.method(), request.path()) {
            ("GET", path) if path == paths.ready => RequestAction::Respond(self.readiness()),
            ("GET", path) if path == paths.live => RequestAction::Respond(Response::reason(200, "live")),
            ("GET", path) if path == paths.stats => RequestAction::Respond(self.stats()),
            ("POST", path) => match read_query(&config, request, path, received_at) {
                Ok(query) => RequestAction::query(query),
                Err(rejected) => self.reject(rejected),
            },
            ("GET", _) => self.reject(RejectedRequest::new(404, "unknown_path")),
            _ => self.reject(RejectedRequest::new(405, "unknown_method")),
        }
    }

    fn readiness(&self) -> Response {
        if self.services.ready.get() {
            Response::reason(200, "ready")
        } else {
            Response::reason(503, "not_ready")
        }
    }

    fn stats(&self) -> Response {
        let report = self.services.counters.report();
        Response::json(200, format!("{report:#}\n").into_bytes())
    }

    fn reject(&self, rejected: RejectedRequest) -> RequestAction {
        self.services.counters.connections.bad_requests.increment();
        RequestAction::Respond(Response::malformed(rejected.status, rejected.code))
    }
}

/// Reads and checks a query, field by field.
fn read_query(
    config: &Config,
    request: &Request<'_>,
    path: &str,
    received_at: Instant,
) -> Result<QueryRequest, RejectedRequest> {
    let fields = &config.names.wire.header_names;
    let class = read_class(config, request, path)?;
    let tenant = read_tenant(config, request)?;
    let wire_id = query::parse_query_id(request.field(&fields.id)?)?.to_owned();
    let expiry = Micros(query::parse_expiry(request.field(&fields.expires)?)?);
    let body = query::parse_query_body(request.body, &config.names.wire.body_keys, config.shards)?;
    let class_settings = &config.deployment.settings.classes[class];
    // No query waits longer than its class allows, whatever the request says.
    let expires_in = expiry.min(class_settings.deadline) - Micros(received_at.elapsed().as_micros() as i64);
    let is_client_retry = request.field(&fields.retry)? == Some("1");
    let needs_key = class_settings.idempotency == Idempotency::Keyed;
    let idempotency_key =
        query::parse_idempotency_key(request.field(&fields.idempotency_key)?, needs_key)?.map(str::to_owned);
    Ok(QueryRequest {
        wire_id,
        class,
        tenant,
        expires_in,
        is_client_retry,
        idempotency_key,
        parts: body.parts,
        text: body.text.into(),
    })
}

/// The index of the query's class: the first segment of the path names it, and a header field may do so too.
fn read_class(config: &Config, request: &Request<'_>, path: &str) -> Result<usize, RejectedRequest> {
    let in_path = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let name = request.field(&config.names.wire.header_names.class)?.unwrap_or(in_path);
    let class = config.deployment.class(name).ok_or(RejectedRequest::new(404, "unknown_class"))?;
    if name != in_path {
        return Err(RejectedRequest::new(400, "two_classes"));
    }
    Ok(class)
}

/// The index of the query's tenant; `None` where the request names none or the deployment has none.
fn read_tenant(config: &Config, request: &Request<'_>) -> Result<Option<usize>, RejectedRequest> {
    let Some(name) = request.field(&config.names.wire.header_names.tenant)? else { return Ok(None) };
    if config.deployment.tenants.is_empty() {
        return Ok(None);
    }
    let tenant = config.deployment.tenant(name).ok_or(RejectedRequest::new(400, "unknown_tenant"))?;
    Ok(Some(tenant))
}
