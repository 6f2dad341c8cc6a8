//! The sockets of a proxy. Each direction of a connection is copied in chunks, and [`Flow::of`] decides
//! before each chunk what to do.

use crate::flow::{Direction, Flow};
use crate::{Fault, MAX_CHUNK_BYTES, MAX_CONNECTIONS};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use slog::{info, Logger};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Connect timeout of the connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Multiplier that turns consecutive connection numbers into different seeds (2^64 divided by the golden
/// ratio).
const SEED_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// A proxy that runs on the tokio runtime on which it was started, until dropped.
pub struct Proxy {
    addr: SocketAddr,
    fault: watch::Sender<Fault>,
    /// Value of the key `proxy` in log lines.
    name: String,
    log: Logger,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.fault.send_replace(Fault::Drop);
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy that listens on `listen`, where port 0 selects a free port, and forwards to `target`.
    /// `seed` determines the jitter of [`Fault::Delay`].
    ///
    /// # Errors
    /// Returns an error if `listen` can't be bound.
    pub async fn start(
        name: &str,
        listen: SocketAddr,
        target: SocketAddr,
        seed: u64,
        log: Logger,
    ) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let (fault, fault_changes) = watch::channel(Fault::Heal);
        let log = log.new(slog::o!("proxy" => name.to_owned()));
        let task = tokio::spawn(accept_connections(listener, target, fault_changes, seed, log.clone()));
        Ok(Proxy { addr, fault, name: name.to_owned(), log, task })
    }

    /// Returns the address on which the proxy listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the name of the proxy, which its log lines contain.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sets the fault of all connections, from their next chunk on.
    pub fn set_fault(&self, fault: Fault) {
        let before = self.fault.send_replace(fault);
        if before != fault {
            info!(self.log, "fault set"; "fault" => ?fault, "before" => ?before);
        }
    }

    /// Returns the current fault.
    pub fn fault(&self) -> Fault {
        *self.fault.borrow()
    }
}

/// Why a connection through the proxy ended; the log contains the text of [`EndReason::as_str`].
#[derive(Debug, Clone, Copy)]
enum EndReason {
    /// The fault is [`Fault::Drop`], or the proxy already forwards [`MAX_CONNECTIONS`].
    RefusedByFaultOrLimit,
    TargetUnreachable,
    DroppedByFault,
    ProxyEnded,
    PeerClosed,
    ReadFailed,
    WriteFailed,
}

impl EndReason {
    fn as_str(self) -> &'static str {
        match self {
            EndReason::RefusedByFaultOrLimit => "refused_by_fault_or_bound",
            EndReason::TargetUnreachable => "target_unreachable",
            EndReason::DroppedByFault => "dropped_by_fault",
            EndReason::ProxyEnded => "proxy_ended",
            EndReason::PeerClosed => "peer_closed",
            EndReason::ReadFailed => "read_failed",
            EndReason::WriteFailed => "write_failed",
        }
    }
}

/// Accepts connections and forwards each in its own task.
async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    fault: watch::Receiver<Fault>,
    seed: u64,
    log: Logger,
) {
    let open_count = Arc::new(AtomicUsize::new(0));
    let mut accepted = 0u64;
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        accepted += 1;
        if *fault.borrow() == Fault::Drop || open_count.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            info!(log, "connection ended"; "reason" => EndReason::RefusedByFaultOrLimit.as_str());
            continue;
        }
        let fault = fault.clone();
        let log = log.clone();
        let open_count = open_count.clone();
        let connection_seed = seed ^ accepted.wrapping_mul(SEED_MULTIPLIER);
        open_count.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let reason = forward_connection(client, target, fault, connection_seed).await;
            open_count.fetch_sub(1, Ordering::Relaxed);
            info!(log, "connection ended"; "reason" => reason.as_str());
        });
    }
}

/// Forwards both directions of a connection until one of them ends; returns the reason.
async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    fault: watch::Receiver<Fault>,
    seed: u64,
) -> EndReason {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target));
    let Ok(Ok(server)) = connect.await else {
        return EndReason::TargetUnreachable;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = Forwarder::new(client_read, server_write, Direction::Forward, fault.clone(), seed);
    // The rotated seed gives the two directions different random numbers.
    let backward =
        Forwarder::new(server_read, client_write, Direction::Backward, fault, seed.rotate_left(17));
    tokio::select! {
        reason = forward.run() => reason,
        reason = backward.run() => reason,
    }
}

/// Copies the bytes of one direction of a connection.
struct Forwarder {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    direction: Direction,
    fault: watch::Receiver<Fault>,
    random: StdRng,
}

impl Forwarder {
    fn new(
        from: OwnedReadHalf,
        to: OwnedWriteHalf,
        direction: Direction,
        fault: watch::Receiver<Fault>,
        seed: u64,
    ) -> Forwarder {
        Forwarder { from, to, direction, fault, random: StdRng::seed_from_u64(seed) }
    }

    /// Forwards chunks as the current fault allows until this direction ends; returns the reason.
    async fn run(mut self) -> EndReason {
        let mut buffer = vec![0u8; MAX_CHUNK_BYTES];
        loop {
            let fault = *self.fault.borrow_and_update();
            let jitter_ms = match fault {
                Fault::Delay { jitter_ms, .. } => self.random.random_range(0..=jitter_ms),
                _ => 0,
            };
            let result = match Flow::of(fault, self.direction, jitter_ms) {
                Flow::Close => Err(EndReason::DroppedByFault),
                Flow::Hold => self.fault.changed().await.map_err(|_| EndReason::ProxyEnded),
                Flow::Pass(delay_ms) => self.forward_chunk(&mut buffer, delay_ms).await,
            };
            if let Err(reason) = result {
                return reason;
            }
        }
    }

    /// Reads a chunk and writes it after the delay. Returns early without a chunk if the fault changes before
    /// one arrives.
    async fn forward_chunk(&mut self, buffer: &mut [u8], delay_ms: u64) -> Result<(), EndReason> {
        let read = tokio::select! {
            read = self.from.read(buffer) => read,
            changed = self.fault.changed() => return changed.map_err(|_| EndReason::ProxyEnded),
        };
        let length = match read {
            Ok(0) => return Err(EndReason::PeerClosed),
            Ok(length) => length,
            Err(_) => return Err(EndReason::ReadFailed),
        };
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if *self.fault.borrow() == Fault::Drop {
            return Err(EndReason::DroppedByFault);
        }
        self.to.write_all(&buffer[..length]).await.map_err(|_| EndReason::WriteFailed)
    }
}
