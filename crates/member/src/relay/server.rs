//! The HTTP/1.1 server of the relay: answers the front node's polls and watches of the endpoint list.

use super::endpoint_list::snapshot_line;
use super::front_node_watch::FrontNodeWatch;
use super::{Relay, LIST_PATH};
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use slog::info;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};

/// Maximum number of open connections, which is more than a front node ever opens.
const MAX_CONNECTIONS: usize = 16;
/// Delay before the next `accept` after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The version number given to the list in the response to a poll. Only the lists of a watch are counted.
const POLL_INDEX: u64 = 1;

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Accepts connections of the front node until the member's process ends. Connections beyond
/// [`MAX_CONNECTIONS`] are closed at once.
pub(super) async fn run(listener: TcpListener, relay: Rc<Relay>) {
    let permits = Rc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        if permits.available_permits() == 0 {
            continue;
        }
        let relay = relay.clone();
        let permits = permits.clone();
        tokio::task::spawn_local(async move {
            let Ok(_permit) = permits.try_acquire() else { return };
            serve_connection(stream, relay).await;
        });
    }
}

async fn serve_connection(stream: TcpStream, relay: Rc<Relay>) {
    let log = relay.log.clone();
    let service = hyper::service::service_fn(move |request| handle_request(request, relay.clone()));
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let reason = if connection.await.is_ok() { "closed" } else { "reset" };
    info!(log, "connection ended"; "side" => "front", "reason" => reason);
}

async fn handle_request(request: Request<Incoming>, relay: Rc<Relay>) -> Result<Response<Body>, Infallible> {
    if request.uri().path() != LIST_PATH {
        return Ok(response(StatusCode::NOT_FOUND, Empty::new().boxed_unsync()));
    }
    if relay.upstream.borrow().is_none() {
        return Ok(response(StatusCode::SERVICE_UNAVAILABLE, Empty::new().boxed_unsync()));
    }
    let is_watch = request.uri().query().unwrap_or_default().contains("watch=1");
    let body = if is_watch { watch_body(relay) } else { poll_body(&relay) };
    Ok(response(StatusCode::OK, body))
}

fn response(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn poll_body(relay: &Relay) -> Body {
    let endpoints = relay.current_list().endpoints.unwrap_or_default();
    Full::new(Bytes::from(snapshot_line(&endpoints, POLL_INDEX))).boxed_unsync()
}

/// Starts a watch and returns the response body that streams its lines.
fn watch_body(relay: Rc<Relay>) -> Body {
    let (sender, receiver) = mpsc::channel::<Bytes>(1);
    tokio::task::spawn_local(FrontNodeWatch::new(relay, sender).run());
    let frames = stream::unfold(receiver, |mut receiver| async move {
        let line = receiver.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(line)), receiver))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
