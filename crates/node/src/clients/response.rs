//! The HTTP response to a request from a client.

use crate::host::{AdmitError, Reply};
use pinetrestle_protocol::query::encode_reason_body;
use tokio::sync::oneshot::error::RecvError;

/// An HTTP response to be written to a client.
pub(super) struct Response {
    /// HTTP status code.
    pub(super) status: u16,
    /// JSON body.
    pub(super) body: Vec<u8>,
    /// Value of the `Retry-After` header field, in microseconds.
    pub(super) retry_after: Option<i64>,
    /// The request was malformed, which counts toward the limit on malformed requests of its connection.
    pub(super) is_malformed: bool,
}

impl Response {
    /// Returns a response with a JSON body.
    pub(super) fn json(status: u16, body: Vec<u8>) -> Response {
        Response { status, body, retry_after: None, is_malformed: false }
    }

    /// Returns a response whose JSON body contains a reason code.
    pub(super) fn with_reason(status: u16, code: &str) -> Response {
        Response::json(status, encode_reason_body(code))
    }

    /// Returns an error response to a malformed request.
    pub(super) fn malformed(status: u16, code: &str) -> Response {
        Response { is_malformed: true, ..Response::with_reason(status, code) }
    }

    /// Returns a 503 response. `retry_after` is the delay in microseconds after which the client may retry.
    pub(super) fn unavailable(code: &str, retry_after: Option<i64>) -> Response {
        Response { retry_after, ..Response::with_reason(503, code) }
    }

    /// Returns the response to a query, from the reply of the event loop. The query has failed if the event
    /// loop has dropped the reply channel without a reply.
    pub(super) fn for_query(reply: Result<Result<Reply, AdmitError>, RecvError>) -> Response {
        match reply {
            Ok(Ok(Reply::Served { body, .. })) => Response::json(200, body),
            Ok(Ok(Reply::Rejected { retry_after })) => Response::unavailable("refused", retry_after),
            Ok(Ok(Reply::Failed)) | Err(_) => Response::with_reason(500, "failed"),
            Ok(Err(AdmitError::OverCapacity { retry_after })) => {
                Response::unavailable("over_held", retry_after)
            }
            Ok(Err(AdmitError::DuplicateId)) => Response::malformed(409, "id_in_use"),
        }
    }
}
