//! An index server that answers at once, late, badly, or not at all.

use crate::received_part::{parse_parts, ReceivedPart};
use crate::server_behavior::{Action, ServerBehavior};
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::Duration;

/// Pause between the bytes of an answer that never ends.
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// What the connections of one index server share.
struct State {
    behavior: ServerBehavior,
    received: Vec<ReceivedPart>,
    /// Ids of the parts that were cancelled.
    cancelled: Vec<String>,
    /// Connections accepted so far.
    connections: u64,
    /// Those that are open, and some that were.
    streams: Vec<Weak<Mutex<TcpStream>>>,
}

/// An index server.
#[derive(Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// One connection of an index server.
struct Connection {
    /// Counted from 1.
    number: u64,
    reader: BufReader<TcpStream>,
    writer: Arc<Mutex<TcpStream>>,
    state: Arc<Mutex<State>>,
}

impl Server {
    /// Starts one at a port that the kernel picks.
    pub fn start(behavior: ServerBehavior) -> Server {
        Server::start_on(TcpListener::bind("127.0.0.1:0").expect("a port"), behavior)
    }

    pub(crate) fn start_on(listener: TcpListener, behavior: ServerBehavior) -> Server {
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State {
            behavior,
            received: Vec::new(),
            cancelled: Vec::new(),
            connections: 0,
            streams: Vec::new(),
        }));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = shared.clone();
                let number = {
                    let mut state = shared.lock().expect("no panic");
                    state.connections += 1;
                    state.connections
                };
                thread::spawn(move || Connection::open(stream, state, number)?.serve());
            }
        });
        Server { address, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// From now on calls are answered in this way.
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        self.state().behavior = behavior;
    }

    /// Closes all its connections, between two frames.
    pub fn close_connections(&self) {
        let streams: Vec<_> = self.state().streams.drain(..).collect();
        for stream in streams.iter().filter_map(Weak::upgrade) {
            // One that has ended before needs no end.
            let _ = stream.lock().expect("no panic").shutdown(Shutdown::Both);
        }
    }

    /// All parts received so far.
    pub fn received(&self) -> Vec<ReceivedPart> {
        self.state().received.clone()
    }

    /// Ids of the parts that were cancelled.
    pub fn cancelled_parts(&self) -> Vec<String> {
        self.state().cancelled.clone()
    }

    /// Connections accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.state().connections
    }
}

impl Connection {
    fn open(stream: TcpStream, state: Arc<Mutex<State>>, number: u64) -> Option<Connection> {
        let reader = BufReader::new(stream.try_clone().ok()?);
        let writer = Arc::new(Mutex::new(stream));
        state.lock().expect("no panic").streams.push(Arc::downgrade(&writer));
        Some(Connection { number, reader, writer, state })
    }

    /// Serves until the connection ends.
    fn serve(mut self) -> Option<()> {
        loop {
            let body = self.read_frame()?;
            if body[0] == b'2' {
                let id = String::from_utf8(body[1..].to_vec()).expect("an id");
                self.state.lock().expect("no panic").cancelled.push(id);
                continue;
            }
            assert_eq!(body[0], b'1');
            let parts = parse_parts(&body[1..]);
            let behavior = {
                let mut state = self.state.lock().expect("no panic");
                state.received.extend(parts.clone());
                state.behavior.clone()
            };
            self.perform(behavior.action(&parts, self.number))?;
        }
    }

    /// The letter and the content of the next frame.
    fn read_frame(&mut self) -> Option<Vec<u8>> {
        let mut length = [0; 4];
        self.reader.read_exact(&mut length).ok()?;
        let mut body = vec![0; u32::from_be_bytes(length) as usize];
        self.reader.read_exact(&mut body).ok()?;
        Some(body)
    }

    /// Does this; none where the connection is over after it.
    fn perform(&self, action: Action) -> Option<()> {
        match action {
            Action::Nothing => Some(()),
            Action::Send(bytes) => self.send(&bytes),
            Action::SendLater { delay, bytes } => {
                self.send_later(delay, bytes);
                Some(())
            }
            Action::SendAfterPause { delay, bytes } => {
                thread::sleep(delay);
                self.send(&bytes)
            }
            Action::SendAndClose(bytes) => self.send_and_close(&bytes),
            Action::Reset { delay } => {
                thread::sleep(delay);
                let writer = self.writer.lock().expect("no panic");
                SockRef::from(&*writer).set_linger(Some(Duration::ZERO)).ok()?;
                None
            }
            Action::Trickle => self.trickle(),
        }
    }

    fn send(&self, bytes: &[u8]) -> Option<()> {
        self.writer.lock().expect("no panic").write_all(bytes).ok()
    }

    fn send_later(&self, delay: Duration, bytes: Vec<u8>) {
        let writer = self.writer.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            // The front node may have closed the connection meanwhile.
            let _ = writer.lock().expect("no panic").write_all(&bytes);
        });
    }

    fn send_and_close(&self, bytes: &[u8]) -> Option<()> {
        let mut writer = self.writer.lock().expect("no panic");
        writer.write_all(bytes).ok()?;
        writer.shutdown(Shutdown::Both).ok()?;
        None
    }

    /// Begins a frame of 32 KiB and sends it byte by byte until the other side closes.
    fn trickle(&self) -> Option<()> {
        let mut writer = self.writer.lock().expect("no panic");
        writer.write_all(&[0, 0, 0x80, 0, b'5']).ok()?;
        loop {
            writer.write_all(b"x").ok()?;
            thread::sleep(TRICKLE_PAUSE);
        }
    }
}
