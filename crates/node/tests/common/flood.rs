//! A peer that sends without a pause.
#![allow(dead_code)] // each test file uses only some of these functions

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Longest wait of a write, so that a flood ends although the front node does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// A peer that writes without a pause and discards whatever it receives.
pub struct Flood {
    stop: Arc<AtomicBool>,
    /// Returns how long the connection was open, if it was closed by the front node.
    pub writer: JoinHandle<Option<Duration>>,
}

impl Flood {
    /// Writes the same bytes again and again.
    pub fn start(stream: TcpStream, bytes: Vec<u8>) -> Flood {
        Flood::start_with(stream, move || bytes.clone())
    }

    /// Writes what `next` returns, again and again.
    pub fn start_with(stream: TcpStream, next: impl FnMut() -> Vec<u8> + Send + 'static) -> Flood {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let mut reader = stream.try_clone().expect("a second handle");
        thread::spawn(move || {
            let mut buffer = [0; 64 * 1024];
            while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        let writer = thread::spawn(move || write_until(&stopped, stream, next));
        Flood { stop, writer }
    }

    /// Ends all floods.
    pub fn stop_all(floods: Vec<Flood>) {
        floods.iter().for_each(|flood| flood.stop.store(true, Ordering::Relaxed));
        for flood in floods {
            let _ = flood.stop();
        }
    }

    /// Ends the flood. Returns how long the connection was open, if it was closed by the front node.
    pub fn stop(self) -> Option<Duration> {
        self.stop.store(true, Ordering::Relaxed);
        self.writer.join().expect("the writer ends")
    }
}

fn write_until(
    stopped: &AtomicBool,
    mut stream: TcpStream,
    mut next: impl FnMut() -> Vec<u8>,
) -> Option<Duration> {
    let began = Instant::now();
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).expect("set the write timeout");
    let mut bytes = next();
    let mut position = 0;
    while !stopped.load(Ordering::Relaxed) {
        match stream.write(&bytes[position..]) {
            Ok(count) if position + count == bytes.len() => (bytes, position) = (next(), 0),
            Ok(count) => position += count,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return Some(began.elapsed()),
        }
    }
    None
}
