//! The sockets of a member: one listener, for peers and for the `fleet` program, and one outbound connection
//! to each peer and to the task sink.
//!
//! Each outbound connection and the listener have bounded queues. A frame for which a queue has no room is
//! dropped: Raft retransmits the messages that it needs. A request for which there is no room is rejected.

use crate::inbound_connections::{ConnectionEntry, InboundConnections};
use crate::wire::{self, FramedStream, Hello, Request, Response};
use futures_util::{SinkExt, StreamExt};
use slog::{info, warn, Logger};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_util::bytes::Bytes;

/// The maximum number of frames queued on one outbound connection, to a peer or to the task sink.
pub const PEER_QUEUE_CAPACITY: usize = 512;
/// The maximum number of frames queued from all peers to the member.
pub const INBOUND_QUEUE_CAPACITY: usize = 4_096;
/// The maximum number of queued requests of the `fleet` program.
pub const REQUEST_QUEUE_CAPACITY: usize = 64;

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The delay before the limit on accepted connections is checked again while it is reached.
const ROOM_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The timeout for the first frame of an accepted connection, its [`Hello`].
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for connecting to a peer or the task sink.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout for writing one frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay after the first failed connection attempt. It doubles after each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The maximum delay between two connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A request of the `fleet` program, with the channel for its response.
pub struct IncomingRequest {
    /// The request.
    pub request: Request,
    /// The channel for the response.
    pub response: oneshot::Sender<Response>,
}

/// The queues of everything that arrives on the listener's connections.
pub struct Inbound {
    /// Raft messages of all peers, in Raft's protobuf encoding.
    pub messages: mpsc::Receiver<Vec<u8>>,
    /// Requests of the `fleet` program.
    pub requests: mpsc::Receiver<IncomingRequest>,
}

/// The sending ends of the queues of [`Inbound`], cloned for each accepted connection.
#[derive(Clone)]
struct InboundSenders {
    messages: mpsc::Sender<Vec<u8>>,
    requests: mpsc::Sender<IncomingRequest>,
}

/// Starts the task that accepts connections on `listener`, and returns the queues of what they receive.
/// `known_peers` are the ids of the other members.
pub fn start_accepting(listener: TcpListener, known_peers: BTreeSet<u64>, log: Logger) -> Inbound {
    let (message_sender, messages) = mpsc::channel(INBOUND_QUEUE_CAPACITY);
    let (request_sender, requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
    let senders = InboundSenders { messages: message_sender, requests: request_sender };
    let connections = InboundConnections::new(known_peers);
    tokio::task::spawn_local(accept(listener, connections, senders, log));
    Inbound { messages, requests }
}

/// Starts the task that keeps a connection to `addr` open, and returns its queue. The task writes `hello`
/// first on each new connection, then the frames from the queue.
pub fn start_sending(addr: SocketAddr, hello: &Hello, log: Logger) -> mpsc::Sender<Vec<u8>> {
    let (sender, queue) = mpsc::channel(PEER_QUEUE_CAPACITY);
    tokio::task::spawn_local(send_to(addr, Bytes::from(wire::encode(hello)), queue, log));
    sender
}

async fn accept(
    listener: TcpListener,
    connections: Rc<InboundConnections>,
    senders: InboundSenders,
    log: Logger,
) {
    loop {
        if !connections.make_room() {
            sleep(ROOM_RETRY_DELAY).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(|entry| serve(stream, entry, senders.clone(), log.clone()));
            }
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one accepted connection: receives a peer's messages until it closes, or responds to one request.
async fn serve(stream: TcpStream, entry: ConnectionEntry, senders: InboundSenders, log: Logger) {
    let mut framed = wire::framed_untrusted(stream);
    let hello = match timeout(HELLO_TIMEOUT, framed.next()).await {
        Ok(Some(Ok(frame))) => wire::decode::<Hello>(&frame),
        _ => None,
    };
    match hello {
        Some(Hello::Peer(peer)) => {
            if entry.identify(peer) {
                framed.codec_mut().set_max_frame_length(wire::MAX_FRAME_BYTES);
            }
            receive_messages(&mut framed, peer, &senders.messages, &log).await;
        }
        Some(Hello::Command(request)) => respond(&mut framed, request, &senders.requests).await,
        Some(Hello::Actions(_)) | None => info!(log, "connection ended"; "reason" => "no_hello"),
    }
}

/// Queues the Raft messages that arrive from a peer until the connection ends.
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

/// Passes a request to the main loop and sends the response.
async fn respond(framed: &mut FramedStream, request: Request, requests: &mpsc::Sender<IncomingRequest>) {
    let (sender, receiver) = oneshot::channel();
    let incoming = IncomingRequest { request, response: sender };
    let response = if requests.try_send(incoming).is_err() {
        Response::Rejected("the member is busy; retry later".into())
    } else {
        receiver.await.unwrap_or(Response::Rejected("the member dropped the request".into()))
    };
    let _ = timeout(WRITE_TIMEOUT, framed.send(Bytes::from(wire::encode(&response)))).await;
}

/// Keeps one outbound connection open, and reconnects with exponential backoff. While there is no connection,
/// frames stay in the queue, up to its capacity. Returns once the sending end of the queue is dropped.
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
