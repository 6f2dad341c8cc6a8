//! HTTP/1.1 requests of a member, each on a connection of its own.

use http_body_util::Empty;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// A response whose body is still to be read.
pub struct StreamingResponse {
    /// The response's head, and its body as it arrives.
    pub response: Response<Incoming>,
    /// The task that drives the connection; to be aborted once the body has been read.
    pub connection: JoinHandle<hyper::Result<()>>,
}

/// Sends a request to `address` and waits for the head of its response; none where the connection or the request
/// fails. The caller bounds the time.
pub async fn send_request(address: SocketAddr, request: Request<Empty<Bytes>>) -> Option<StreamingResponse> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = tokio::task::spawn_local(connection);
    let response = sender.send_request(request).await.ok()?;
    Some(StreamingResponse { response, connection })
}
