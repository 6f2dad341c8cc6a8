//! A minimal HTTP/1.1 client that opens a new connection for each request.

use http_body_util::Empty;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// A response whose head has arrived and whose body is read as it arrives.
pub struct StreamingResponse {
    /// The head and the body of the response.
    pub response: Response<Incoming>,
    /// The task that drives the connection. The caller aborts it when it no longer reads the body.
    pub connection: JoinHandle<hyper::Result<()>>,
}

/// Sends a request to `address` and waits for the head of the response. Returns `None` if the connection or
/// the request fails. There is no timeout: the caller has to set one.
pub async fn send_request(address: SocketAddr, request: Request<Empty<Bytes>>) -> Option<StreamingResponse> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = tokio::task::spawn_local(connection);
    let response = sender.send_request(request).await.ok()?;
    Some(StreamingResponse { response, connection })
}
