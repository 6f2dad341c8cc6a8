//! Each fault on a real connection through the proxy to an echo server.

use pinetrestle_faultnet::{Fault, Proxy};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn echo() -> std::net::SocketAddr {
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

async fn round(stream: &mut TcpStream, wait_ms: u64) -> Option<Vec<u8>> {
    stream.write_all(b"ping").await.ok()?;
    let mut got = [0u8; 4];
    match tokio::time::timeout(Duration::from_millis(wait_ms), stream.read_exact(&mut got)).await {
        Ok(Ok(_)) => Some(got.to_vec()),
        _ => None,
    }
}

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

#[tokio::test]
async fn stall_holds_bytes_that_heal_lets_through() {
    let proxy = Proxy::start("p", "127.0.0.1:0".parse().unwrap(), echo().await, 1, log()).await.unwrap();
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    assert_eq!(round(&mut stream, 1_000).await.as_deref(), Some(&b"ping"[..]));
    proxy.set_fault(Fault::Stall);
    assert_eq!(round(&mut stream, 200).await, None, "bytes passed a stall");
    proxy.set_fault(Fault::Heal);
    let mut got = [0u8; 4];
    tokio::time::timeout(Duration::from_secs(1), stream.read_exact(&mut got)).await.unwrap().unwrap();
    assert_eq!(&got, b"ping", "what was held came after the heal");
}

#[tokio::test]
async fn drop_closes_open_and_new_connections() {
    let proxy = Proxy::start("p", "127.0.0.1:0".parse().unwrap(), echo().await, 1, log()).await.unwrap();
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    assert!(round(&mut stream, 1_000).await.is_some());
    proxy.set_fault(Fault::Drop);
    let mut got = [0u8; 1];
    let read = tokio::time::timeout(Duration::from_secs(1), stream.read(&mut got)).await.unwrap();
    assert!(matches!(read, Ok(0) | Err(_)), "an open connection outlived a drop: {read:?}");
    let mut new = TcpStream::connect(proxy.addr()).await.unwrap();
    assert_eq!(round(&mut new, 300).await, None);
    proxy.set_fault(Fault::Heal);
    let mut again = TcpStream::connect(proxy.addr()).await.unwrap();
    assert!(round(&mut again, 1_000).await.is_some(), "no connection after heal");
}

#[tokio::test]
async fn one_way_passes_towards_the_target_only_and_delay_is_late() {
    let proxy = Proxy::start("p", "127.0.0.1:0".parse().unwrap(), echo().await, 7, log()).await.unwrap();
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    proxy.set_fault(Fault::OneWay);
    assert_eq!(round(&mut stream, 200).await, None, "an answer came back through a cut");
    proxy.set_fault(Fault::Delay { ms: 150, jitter_ms: 20 });
    let mut got = [0u8; 4];
    tokio::time::timeout(Duration::from_secs(1), stream.read_exact(&mut got)).await.unwrap().unwrap();
    assert_eq!(&got, b"ping", "the echo of what went forward during the cut");
    let start = Instant::now();
    assert!(round(&mut stream, 2_000).await.is_some());
    assert!(
        start.elapsed() >= Duration::from_millis(300),
        "two delayed chunks came in {:?}",
        start.elapsed()
    );
}
