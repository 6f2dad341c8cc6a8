//! The sockets of a member: one listener for peers and for the `fleet` program, and one outbound connection to each
//! peer and to the task sink, each with a bounded queue. A full queue drops new frames: Raft retransmits what matters.

use crate::wire::{self, FramedStream, Hello, Request, Response};
use futures_util::{SinkExt, StreamExt};
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_util::bytes::Bytes;

/// Frames queued for one peer, at most.
pub const PEER_QUEUE_CAPACITY: usize = 512;
/// Frames queued from all peers to the member, at most.
pub const INBOUND_QUEUE_CAPACITY: usize = 4_096;
/// Requests of the `fleet` program queued, at most.
pub const REQUEST_QUEUE_CAPACITY: usize = 64;

/// The pause after an accept that failed.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// How long a new connection may take to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How long connecting to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long one frame to a peer may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The first pause before a connection is attempted again; it doubles after each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The longest of these pauses.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A request of the `fleet` program and the channel for its response.
pub struct IncomingRequest {
    /// The request.
    pub request: Request,
    /// Where its response goes.
    pub response: oneshot::Sender<Response>,
}

/// The receiving ends of the listener.
pub struct Inbound {
    /// Raft messages of all peers, each one frame.
    pub messages: mpsc::Receiver<Vec<u8>>,
    /// Requests of the `fleet` program.
    pub requests: mpsc::Receiver<IncomingRequest>,
}

/// The sending ends that each accepted connection gets a copy of.
#[derive(Clone)]
struct InboundSenders {
    messages: mpsc::Sender<Vec<u8>>,
    requests: mpsc::Sender<IncomingRequest>,
}

/// Starts the task that accepts connections on `listener`.
pub fn start_accepting(listener: TcpListener, log: Logger) -> Inbound {
    let (message_sender, messages) = mpsc::channel(INBOUND_QUEUE_CAPACITY);
    let (request_sender, requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
    let senders = InboundSenders { messages: message_sender, requests: request_sender };
    tokio::task::spawn_local(accept(listener, senders, log));
    Inbound { messages, requests }
}

/// Starts the task that keeps a connection to `addr` and writes `hello` and then the frames of the returned queue.
pub fn start_sending(addr: SocketAddr, hello: &Hello, log: Logger) -> mpsc::Sender<Vec<u8>> {
    let (sender, queue) = mpsc::channel(PEER_QUEUE_CAPACITY);
    tokio::task::spawn_local(send_to(addr, Bytes::from(wire::encode(hello)), queue, log));
    sender
}

async fn accept(listener: TcpListener, senders: InboundSenders, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(stream, senders.clone(), log.clone()));
            }
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Serves one inbound connection: a peer's messages until it ends, or one request and its response.
async fn serve(stream: TcpStream, senders: InboundSenders, log: Logger) {
    let mut framed = wire::framed(stream);
    let hello = match timeout(HELLO_TIMEOUT, framed.next()).await {
        Ok(Some(Ok(frame))) => wire::decode::<Hello>(&frame),
        _ => None,
    };
    match hello {
        Some(Hello::Peer(peer)) => receive_messages(&mut framed, peer, &senders.messages, &log).await,
        Some(Hello::Command(request)) => respond(&mut framed, request, &senders.requests).await,
        Some(Hello::Actions(_)) | None => info!(log, "connection ended"; "reason" => "no_hello"),
    }
}

async fn receive_messages(
    framed: &mut FramedStream,
    peer: u64,
    messages: &mpsc::Sender<Vec<u8>>,
    log: &Logger,
) {
    let mut frames = 0u64;
    let reason = loop {
        match framed.next().await {
            Some(Ok(frame)) => {
                frames += 1;
                let _ = messages.try_send(frame.to_vec());
            }
            Some(Err(_)) => break "bad_frame",
            None => break "peer_closed",
        }
    };
    info!(log, "peer connection ended"; "peer" => peer, "frames" => frames, "reason" => reason);
}

async fn respond(framed: &mut FramedStream, request: Request, requests: &mpsc::Sender<IncomingRequest>) {
    let (sender, receiver) = oneshot::channel();
    let incoming = IncomingRequest { request, response: sender };
    let response = if requests.try_send(incoming).is_err() {
        Response::Rejected("the member is busy; ask again".into())
    } else {
        receiver.await.unwrap_or(Response::Rejected("the member stopped".into()))
    };
    let _ = framed.send(Bytes::from(wire::encode(&response))).await;
}

/// Keeps one outbound connection, reconnecting with backoff; frames queued while it is down are kept up to the
/// queue's bound.
async fn send_to(addr: SocketAddr, hello: Bytes, mut queue: mpsc::Receiver<Vec<u8>>, log: Logger) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await else {
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
            continue;
        };
        backoff = MIN_BACKOFF;
        let mut framed = wire::framed(stream);
        if framed.send(hello.clone()).await.is_err() {
            continue;
        }
        let mut frames = 0u64;
        let reason = loop {
            let Some(frame) = queue.recv().await else { return };
            match timeout(WRITE_TIMEOUT, framed.send(Bytes::from(frame))).await {
                Ok(Ok(())) => frames += 1,
                Ok(Err(_)) => break "write_failed",
                Err(_) => break "write_stalled",
            }
        };
        info!(log, "outbound connection ended"; "to" => %addr, "frames" => frames, "reason" => reason);
    }
}
