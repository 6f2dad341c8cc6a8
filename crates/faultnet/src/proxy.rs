//! The proxy's sockets: thin pumps that ask [`Flow::of`] before each chunk.

use crate::flow::{Direction, Flow};
use crate::{Fault, CHUNK, MAX_CONNECTIONS};
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

/// One proxy, running on the tokio runtime it was started on, until dropped.
pub struct Proxy {
    addr: SocketAddr,
    fault: watch::Sender<Fault>,
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
        let (fault, watch) = watch::channel(Fault::Heal);
        let log = log.new(slog::o!("proxy" => name.to_owned()));
        let task = tokio::spawn(accept(listener, target, watch, seed, log.clone()));
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
    pub fn set(&self, fault: Fault) {
        let before = self.fault.send_replace(fault);
        if before != fault {
            info!(self.log, "fault set"; "fault" => ?fault, "before" => ?before);
        }
    }

    /// The fault it carries.
    pub fn fault(&self) -> Fault {
        *self.fault.borrow()
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    watch: watch::Receiver<Fault>,
    seed: u64,
    log: Logger,
) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut count = 0u64;
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        count += 1;
        if *watch.borrow() == Fault::Drop || open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            info!(log, "connection ended"; "reason" => "refused_by_fault_or_bound");
            continue;
        }
        let (watch, log, open) = (watch.clone(), log.clone(), open.clone());
        open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let reason = carry(client, target, watch, seed ^ count.wrapping_mul(0x9E37_79B9_7F4A_7C15)).await;
            open.fetch_sub(1, Ordering::Relaxed);
            info!(log, "connection ended"; "reason" => reason);
        });
    }
}

async fn carry(
    client: TcpStream,
    target: SocketAddr,
    watch: watch::Receiver<Fault>,
    seed: u64,
) -> &'static str {
    let Ok(Ok(server)) = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(target)).await
    else {
        return "target_unreachable";
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = pump(client_read, server_write, Direction::Forward, watch.clone(), seed);
    let back = pump(server_read, client_write, Direction::Back, watch, seed.rotate_left(17));
    tokio::select! {
        reason = forward => reason,
        reason = back => reason,
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut watch: watch::Receiver<Fault>,
    seed: u64,
) -> &'static str {
    let mut random = StdRng::seed_from_u64(seed);
    let mut buffer = vec![0u8; CHUNK];
    loop {
        let fault = *watch.borrow_and_update();
        let jitter = match fault {
            Fault::Delay { jitter_ms, .. } => random.random_range(0..=jitter_ms),
            _ => 0,
        };
        match Flow::of(fault, direction, jitter) {
            Flow::Close => return "dropped_by_fault",
            Flow::Hold => {
                if watch.changed().await.is_err() {
                    return "proxy_ended";
                }
            }
            Flow::Pass(delay) => {
                let read = tokio::select! {
                    read = from.read(&mut buffer) => read,
                    changed = watch.changed() => {
                        if changed.is_err() {
                            return "proxy_ended";
                        }
                        continue;
                    }
                };
                let n = match read {
                    Ok(0) => return "peer_closed",
                    Ok(n) => n,
                    Err(_) => return "read_failed",
                };
                if delay > 0 {
                    tokio::time::sleep(Duration::from_millis(delay)).await;
                }
                if *watch.borrow() == Fault::Drop {
                    return "dropped_by_fault";
                }
                if to.write_all(&buffer[..n]).await.is_err() {
                    return "write_failed";
                }
            }
        }
    }
}
