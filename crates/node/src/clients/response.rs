//! The HTTP response to a client's request.

use crate::host::{AdmitError, Reply};
use pinetrestle_protocol::query::encode_reason_body;
use tokio::sync::oneshot::error::RecvError;

/// A response on its way to a client.
pub(super) struct Response {
    /// HTTP status code.
    pub(super) status: u16,
    /// JSON body.
    pub(super) body: Vec<u8>,
    /// `Retry-After`, in microseconds.
    pub(super) retry_after: Option<i64>,
    /// The request was malformed.
    pub(super) is_malformed: bool,
}

impl Response {
    /// With a JSON body.
    pub(super) fn json(status: u16, body: Vec<u8>) -> Response {
        Response { status, body, retry_after: None, is_malformed: false }
    }

    /// With a body that states a reason code.
    pub(super) fn reason(status: u16, code: &str) -> Response {
        Response::json(status, encode_reason_body(code))
    }

    /// To a malformed request.
    pub(super) fn malformed(status: u16, code: &str) -> Response {
        Response { is_malformed: true, ..Response::reason(status, code) }
    }

    /// 503, with the time after which the client may retry.
    fn unavailable(code: &str, retry_after: Option<i64>) -> Response {
        Response { retry_after, ..Response::reason(503, code) }
    }

    /// To a query, from the core's reply; a core that went away without one has failed it.
    pub(super) fn to_query(reply: Result<Result<Reply, AdmitError>, RecvError>) -> Response {
        match reply {
            Ok(Ok(Reply::Served { body, .. })) => Response::json(200, body),
            Ok(Ok(Reply::Rejected { retry_after })) => Response::unavailable("refused", retry_after),
            Ok(Ok(Reply::Failed)) | Err(_) => Response::reason(500, "failed"),
            Ok(Err(AdmitError::OverCapacity { retry_after })) => {
                Response::unavailable("over_held", retry_after)
            }
            Ok(Err(AdmitError::DuplicateId)) => Response::malformed(409, "id_in_use"),
        }
    }
}
