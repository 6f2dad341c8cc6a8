//! Dispatch of client requests by method and path: the health and statistics endpoints of the front node, and
//! queries, which are validated here.

use super::response::Response;
use super::ClientContext;
use crate::config::Config;
use crate::host::QueryRequest;
use crate::memory_budget::Reservation;
use pinetrestle::interface::{Idempotency, Micros};
use pinetrestle_protocol::query::{self, QueryError};
use pinetrestle_protocol::requests::{AmbiguousField, Request};
use pinetrestle_recorder::{query_key, QueryKey};
use tokio::time::Instant;

/// How a request is handled.
pub(super) enum RequestAction {
    /// The request is a valid query, which is sent to the event loop. `key` identifies it in the flight
    /// recorder.
    Query { key: QueryKey, request: Box<QueryRequest> },
    /// The response is already known, and is written without the event loop.
    Respond(Response),
}

impl RequestAction {
    fn query(request: QueryRequest) -> RequestAction {
        RequestAction::Query { key: query_key(&request.wire_id), request: Box::new(request) }
    }

    /// Keeps a reservation until the text of the query is dropped. If the request is not a query, drops the
    /// reservation.
    pub(super) fn attach_reservation(&mut self, reservation: Option<Reservation>) {
        if let (RequestAction::Query { request, .. }, Some(reservation)) = (self, reservation) {
            request.text.attach_guard(reservation);
        }
    }

    /// Returns the flight recorder key of the query, or `None` if the request is not a valid query.
    pub(super) fn query_key(&self) -> Option<QueryKey> {
        match self {
            RequestAction::Query { key, .. } => Some(*key),
            RequestAction::Respond(_) => None,
        }
    }
}

/// The reason why a request is rejected before it reaches the event loop.
#[derive(Clone, Copy, Debug)]
struct RejectedRequest {
    /// HTTP status code.
    status: u16,
    /// Reason code in the body of the response.
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
    /// Determines by method and path how a request is handled. `received_at` is the time from which the
    /// deadline of a query runs.
    pub(super) fn route(&self, request: &Request<'_>, received_at: Instant) -> RequestAction {
        let config = self.services.live_config.get();
        let paths = &config.names.wire.paths;
        match (request.method(), request.path()) {
            ("GET", path) if path == paths.ready => RequestAction::Respond(self.readiness()),
            ("GET", path) if path == paths.live => RequestAction::Respond(Response::with_reason(200, "live")),
            ("GET", path) if path == paths.stats => RequestAction::Respond(self.stats()),
            ("POST", path) => match parse_query(&config, request, path, received_at) {
                Ok(query) => RequestAction::query(query),
                Err(rejected) => self.reject(rejected),
            },
            ("GET", _) => self.reject(RejectedRequest::new(404, "unknown_path")),
            _ => self.reject(RejectedRequest::new(405, "unknown_method")),
        }
    }

    fn readiness(&self) -> Response {
        if self.services.ready.get() {
            Response::with_reason(200, "ready")
        } else {
            Response::with_reason(503, "not_ready")
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

/// Parses and validates a query: its header fields, its path and its body.
fn parse_query(
    config: &Config,
    request: &Request<'_>,
    path: &str,
    received_at: Instant,
) -> Result<QueryRequest, RejectedRequest> {
    let fields = &config.names.wire.header_names;
    let class = parse_class(config, request, path)?;
    let tenant = parse_tenant(config, request)?;
    let wire_id = query::parse_query_id(request.field(&fields.id)?)?.to_owned();
    let expiry = Micros(query::parse_expiry(request.field(&fields.expires)?)?);
    let body = query::parse_query_body(request.body, &config.names.wire.body_keys, config.shards)?;
    let class_settings = &config.deployment.settings.classes[class];
    // The deadline of the class is an upper bound for the expiry that the request states.
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

/// Returns the index of the class of a query. The first segment of the path is the name of the class. The
/// class may also be given in a header field; both then have to name the same class.
fn parse_class(config: &Config, request: &Request<'_>, path: &str) -> Result<usize, RejectedRequest> {
    let in_path = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let name = request.field(&config.names.wire.header_names.class)?.unwrap_or(in_path);
    let class = config.deployment.class(name).ok_or(RejectedRequest::new(404, "unknown_class"))?;
    if name != in_path {
        return Err(RejectedRequest::new(400, "two_classes"));
    }
    Ok(class)
}

/// Returns the index of the tenant of a query, or `None` if the request states no tenant or the deployment
/// defines no tenants.
fn parse_tenant(config: &Config, request: &Request<'_>) -> Result<Option<usize>, RejectedRequest> {
    let Some(name) = request.field(&config.names.wire.header_names.tenant)? else { return Ok(None) };
    if config.deployment.tenants.is_empty() {
        return Ok(None);
    }
    let tenant = config.deployment.tenant(name).ok_or(RejectedRequest::new(400, "unknown_tenant"))?;
    Ok(Some(tenant))
}
