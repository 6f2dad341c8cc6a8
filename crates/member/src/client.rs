//! The client that the `fleet` program uses to send requests to a member.

use crate::error::MemberError;
use crate::wire::{self, Hello, Request, Response};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::bytes::Bytes;

/// Sends a request to the member at `addr` and returns its response. Connecting and waiting for the response
/// may take up to `time_limit` each.
///
/// # Errors
/// [`MemberError::Io`] if connecting or sending fails. [`MemberError::NoResponse`] if connecting or the
/// response takes too long, the connection ends without a response, or the response does not decode.
pub async fn request(
    addr: SocketAddr,
    request: Request,
    time_limit: Duration,
) -> Result<Response, MemberError> {
    let no_response = |reason| MemberError::NoResponse { addr, reason };
    let stream = timeout(time_limit, TcpStream::connect(addr))
        .await
        .map_err(|_| no_response("connecting timed out"))??;
    let mut framed = wire::framed(stream);
    framed.send(Bytes::from(wire::encode(&Hello::Command(request)))).await?;
    match timeout(time_limit, framed.next()).await {
        Ok(Some(Ok(frame))) => {
            wire::decode(&frame).ok_or_else(|| no_response("failed to decode the response"))
        }
        Ok(_) => Err(no_response("the connection ended without a response")),
        Err(_) => Err(no_response("the response timed out")),
    }
}
