//! The proxy's sockets: thin pumps that ask [`Flow::of`] before each chunk.

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

/// Pause after a connection that could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Spreads the numbers of connections over seeds (2^64 divided by the golden ratio).
const SEED_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// One proxy, running on the tokio runtime it was started on, until dropped.
pub struct Proxy {
    addr: SocketAddr,
    fault: watch::Sender<Fault>,
    /// In the log lines.
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
    /// Listens on `listen` (port 0 for a free one) and forwards to `target`. `seed` decides the jitter of delays.
    ///
    /// # Errors
    /// When `listen` can't be bound.
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
        let task = tokio::spawn(accept(listener, target, fault_changes, seed, log.clone()));
        Ok(Proxy { addr, fault, name: name.to_owned(), log, task })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its name, as in its log lines.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sets the fault; it holds for every connection from the next chunk on.
    pub fn set_fault(&self, fault: Fault) {
        let before = self.fault.send_replace(fault);
        if before != fault {
            info!(self.log, "fault set"; "fault" => ?fault, "before" => ?before);
        }
    }

    /// The fault that is set.
    pub fn fault(&self) -> Fault {
        *self.fault.borrow()
    }
}

/// Why a connection through the proxy ended, as it stands in the log.
#[derive(Debug, Clone, Copy)]
enum EndReason {
    RefusedByFaultOrBound,
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
            EndReason::RefusedByFaultOrBound => "refused_by_fault_or_bound",
            EndReason::TargetUnreachable => "target_unreachable",
            EndReason::DroppedByFault => "dropped_by_fault",
            EndReason::ProxyEnded => "proxy_ended",
            EndReason::PeerClosed => "peer_closed",
            EndReason::ReadFailed => "read_failed",
            EndReason::WriteFailed => "write_failed",
        }
    }
}

/// Accepts connections and forwards each on a task of its own.
async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    fault: watch::Receiver<Fault>,
    seed: u64,
    log: Logger,
) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut accepted = 0u64;
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        accepted += 1;
        if *fault.borrow() == Fault::Drop || open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            info!(log, "connection ended"; "reason" => EndReason::RefusedByFaultOrBound.as_str());
            continue;
        }
        let fault = fault.clone();
        let log = log.clone();
        let open = open.clone();
        let connection_seed = seed ^ accepted.wrapping_mul(SEED_MULTIPLIER);
        open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let reason = forward_connection(client, target, fault, connection_seed).await;
            open.fetch_sub(1, Ordering::Relaxed);
            info!(log, "connection ended"; "reason" => reason.as_str());
        });
    }
}

/// Forwards both directions of a connection until either ends.
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
    let forward = Pump::new(client_read, server_write, Direction::Forward, fault.clone(), seed);
    let back = Pump::new(server_read, client_write, Direction::Backward, fault, seed.rotate_left(17));
    tokio::select! {
        reason = forward.run() => reason,
        reason = back.run() => reason,
    }
}

/// One direction of a connection.
struct Pump {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    direction: Direction,
    fault: watch::Receiver<Fault>,
    random: StdRng,
}

impl Pump {
    fn new(
        from: OwnedReadHalf,
        to: OwnedWriteHalf,
        direction: Direction,
        fault: watch::Receiver<Fault>,
        seed: u64,
    ) -> Pump {
        Pump { from, to, direction, fault, random: StdRng::seed_from_u64(seed) }
    }

    /// Forwards chunks as the fault allows, until this direction ends.
    async fn run(mut self) -> EndReason {
        let mut buffer = vec![0u8; MAX_CHUNK_BYTES];
        loop {
            let fault = *self.fault.borrow_and_update();
            let jitter = match fault {
                Fault::Delay { jitter_ms, .. } => self.random.random_range(0..=jitter_ms),
                _ => 0,
            };
            let step = match Flow::of(fault, self.direction, jitter) {
                Flow::Close => Err(EndReason::DroppedByFault),
                Flow::Hold => self.fault.changed().await.map_err(|_| EndReason::ProxyEnded),
                Flow::Pass(delay_ms) => self.pass_chunk(&mut buffer, delay_ms).await,
            };
            if let Err(reason) = step {
                return reason;
            }
        }
    }

    /// Reads a chunk and writes it after the delay. A change of the fault ends the wait for the chunk.
    async fn pass_chunk(&mut self, buffer: &mut [u8], delay_ms: u64) -> Result<(), EndReason> {
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
