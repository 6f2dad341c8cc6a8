//! The effect of each fault on a TCP connection through the proxy to an echo server.

use pinetrestle_faultnet::{Fault, Proxy};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Starts an echo server; returns its address.
async fn start_echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0u8; 1024];
                while let Ok(n) = stream.read(&mut buffer).await {
                    if n == 0 || stream.write_all(&buffer[..n]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Sends `ping` and returns the echo, or `None` if it is not received within `wait_ms` milliseconds.
async fn echo_of_ping(stream: &mut TcpStream, wait_ms: u64) -> Option<Vec<u8>> {
    stream.write_all(b"ping").await.ok()?;
    let mut received = [0u8; 4];
    match tokio::time::timeout(Duration::from_millis(wait_ms), stream.read_exact(&mut received)).await {
        Ok(Ok(_)) => Some(received.to_vec()),
        _ => None,
    }
}

/// Returns a logger that discards all lines.
fn null_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Starts a proxy in front of a new echo server.
async fn start_proxy(seed: u64) -> Proxy {
    let listen = "127.0.0.1:0".parse().unwrap();
    Proxy::start("p", listen, start_echo_server().await, seed, null_logger()).await.unwrap()
}

#[tokio::test]
async fn stalled_bytes_are_forwarded_after_heal() {
    let proxy = start_proxy(1).await;
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    assert_eq!(echo_of_ping(&mut stream, 1_000).await.as_deref(), Some(&b"ping"[..]));
    proxy.set_fault(Fault::Stall);
    assert_eq!(echo_of_ping(&mut stream, 200).await, None, "bytes were forwarded during a stall");
    proxy.set_fault(Fault::Heal);
    let mut received = [0u8; 4];
    tokio::time::timeout(Duration::from_secs(1), stream.read_exact(&mut received)).await.unwrap().unwrap();
    assert_eq!(&received, b"ping", "the bytes written during the stall are echoed after heal");
}

#[tokio::test]
async fn drop_closes_open_and_new_connections() {
    let proxy = start_proxy(1).await;
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    assert!(echo_of_ping(&mut stream, 1_000).await.is_some());
    proxy.set_fault(Fault::Drop);
    let mut received = [0u8; 1];
    let read = tokio::time::timeout(Duration::from_secs(1), stream.read(&mut received)).await.unwrap();
    assert!(matches!(read, Ok(0) | Err(_)), "a drop did not close the open connection: {read:?}");
    let mut rejected = TcpStream::connect(proxy.addr()).await.unwrap();
    assert_eq!(echo_of_ping(&mut rejected, 300).await, None);
    proxy.set_fault(Fault::Heal);
    let mut reconnected = TcpStream::connect(proxy.addr()).await.unwrap();
    assert!(
        echo_of_ping(&mut reconnected, 1_000).await.is_some(),
        "no bytes are forwarded on a new connection after heal"
    );
}

#[tokio::test]
async fn one_way_forwards_to_the_target_only_and_delay_postpones_each_chunk() {
    let proxy = start_proxy(7).await;
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    proxy.set_fault(Fault::OneWay);
    assert_eq!(
        echo_of_ping(&mut stream, 200).await,
        None,
        "bytes of the target were forwarded under a one-way fault"
    );
    proxy.set_fault(Fault::Delay { ms: 150, jitter_ms: 20 });
    let mut received = [0u8; 4];
    tokio::time::timeout(Duration::from_secs(1), stream.read_exact(&mut received)).await.unwrap().unwrap();
    assert_eq!(&received, b"ping", "the echo of the bytes forwarded under the one-way fault");
    let start = Instant::now();
    assert!(echo_of_ping(&mut stream, 2_000).await.is_some());
    assert!(
        start.elapsed() >= Duration::from_millis(300),
        "two delayed chunks took only {:?}",
        start.elapsed()
    );
}
