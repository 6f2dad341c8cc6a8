//! Rejection of the requests that a client pipelines beyond the read-ahead limit, see `pipeline_overflow`.

use super::connection::Connection;
use super::response::Response;
use super::socket::SkippedRequest;
use crate::close_reason::CloseReason;
use crate::deadline::before_deadline;
use tokio::time::Instant;

/// Maximum number of requests that are rejected with one write.
const MAX_REJECTIONS_PER_WRITE: usize = 64;

impl Connection {
    /// Rejects the next requests that were skipped. If there are none, further requests are processed as usual.
    ///
    /// # Errors
    /// The reason to close the connection. A response has been written if a request was received.
    pub(super) async fn reject_skipped_requests(&mut self) -> Result<(), CloseReason> {
        self.socket.begin_pipelined_request().await;
        match self.socket.take_skipped_requests(MAX_REJECTIONS_PER_WRITE) {
            Some(SkippedRequest::Complete { requests }) => self.reject_pipelined(requests).await,
            Some(SkippedRequest::Partial) => self.skip_partial_request().await,
            Some(SkippedRequest::Malformed(error)) => self.reject_unparsable(error).await,
            Some(SkippedRequest::Close) => Err(CloseReason::ConnectionClose),
            None => Ok(()),
        }
    }

    async fn reject_pipelined(&mut self, requests: usize) -> Result<(), CloseReason> {
        self.requests_read += requests as u64;
        self.context.services.counters.connections.requests.add(requests as u64);
        let response = self.pipeline_rejection(requests);
        self.socket.write_repeatedly(&response, requests).await
    }

    /// Returns the response to requests that are rejected because of the requests before them, and counts them.
    pub(super) fn pipeline_rejection(&self, requests: usize) -> Response {
        self.context.services.counters.connections.pipeline_rejected.add(requests as u64);
        Response::unavailable("pipeline_full", None)
    }

    /// Reads the rest of a skipped request.
    async fn skip_partial_request(&mut self) -> Result<(), CloseReason> {
        let request_timeout = self.context.services.live_config.get().transport.request_timeout;
        let deadline = Instant::now() + request_timeout;
        let deadline =
            self.context.shutdown_deadline.get().map_or(deadline, |shutdown| shutdown.min(deadline));
        while self.socket.is_within_skipped_body() {
            self.socket.wait_for_skip_allowance().await;
            let Some(read) = before_deadline(deadline, self.socket.read()).await else {
                self.socket.write(&Response::with_reason(408, "request_timeout"), true).await?;
                return Err(CloseReason::RequestTimeout);
            };
            read?;
        }
        Ok(())
    }
}
