//! TCP socket operations that are retried after temporary errors of this machine.

use crate::errors::is_out_of_buffers;
use crate::retry::{retry_interrupted, retry_transient_errors};
use crate::task_budget::TaskBudget;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

/// Delay before a read or write is retried that failed for lack of buffers.
pub const BUFFER_RETRY_DELAY: Duration = Duration::from_millis(2);

/// How long a starting program retries to listen and to acquire the other resources that it needs.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens a connection to `address`. Retries until `deadline` while this machine lacks a port, a file
/// descriptor, a buffer or a route.
///
/// # Errors
/// The errors of `connect(2)`. A lack of local resources is returned as an error only when the deadline is
/// too close for another retry.
pub async fn connect(address: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
    retry_transient_errors(deadline, || TcpStream::connect(address)).await
}

/// Binds a listener to `address`. Retries for [`STARTUP_TIMEOUT`] while this machine lacks a port, a file
/// descriptor or a buffer.
///
/// # Errors
/// The errors of `bind(2)` and `listen(2)`. A lack of local resources is returned as an error only when too
/// little time is left for another retry.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    retry_transient_errors(Instant::now() + STARTUP_TIMEOUT, || TcpListener::bind(address)).await
}

/// Reads bytes into `buffer` and returns how many were read, or 0 at the end of the stream. Retries if the
/// call is interrupted or this machine lacks buffers. Each read spends from `budget`.
///
/// # Errors
/// The errors of `recv(2)`, except those that are retried.
pub async fn read(stream: &TcpStream, buffer: &mut [u8], budget: &TaskBudget) -> io::Result<usize> {
    loop {
        budget.readable(stream).await?;
        match retry_interrupted(|| stream.try_read(buffer)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => budget.replenish(),
            Err(error) if is_out_of_buffers(&error) => sleep(BUFFER_RETRY_DELAY).await,
            result => return result,
        }
    }
}

/// Writes all of `bytes`. Retries if the call is interrupted or this machine lacks buffers.
///
/// # Errors
/// The errors of `send(2)`, except those that are retried.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.ready(Interest::WRITABLE).await?;
        match retry_interrupted(|| stream.try_write(bytes)) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) if is_out_of_buffers(&error) => sleep(BUFFER_RETRY_DELAY).await,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
