//! The one way a member asks over HTTP: a connection for each question, read to its end or dropped.

use http_body_util::Empty;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Asks `addr` and gives the head of its answer, with the task that carries the connection: whoever asked aborts it once
/// the body is read. The caller bounds the time. None where the connection or the question fails.
pub async fn ask(
    addr: SocketAddr,
    request: Request<Empty<Bytes>>,
) -> Option<(Response<Incoming>, JoinHandle<hyper::Result<()>>)> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, link) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let link = tokio::task::spawn_local(link);
    Some((sender.send_request(request).await.ok()?, link))
}
