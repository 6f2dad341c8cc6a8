//! An index server that answers immediately, late, incorrectly or not at all.

use crate::received_part::{parse_parts, ReceivedPart};
use crate::server_behavior::{Action, ServerBehavior};
use crate::shared::{ANSWER_FRAME, CALL_FRAME, CANCEL_FRAME};
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::Duration;

/// Pause between two bytes of an answer under [`ServerBehavior::Trickling`].
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// Number of copies in one write under [`ServerBehavior::RepeatingAnswer`].
const COPIES_PER_WRITE: usize = 200;

/// State shared by all connections of an index server.
struct State {
    behavior: ServerBehavior,
    received: Vec<ReceivedPart>,
    /// Ids of the parts whose cancellation was received.
    cancelled: Vec<String>,
    /// Number of connections accepted so far.
    accepted_connections: u64,
    /// Streams of the connections; a connection that has ended may still have an entry.
    streams: Vec<Weak<Mutex<TcpStream>>>,
}

/// An index server; clones refer to the same server.
#[derive(Clone)]
pub struct Server {
    /// Address at which the server listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// One connection of an index server.
struct Connection {
    /// Position in the order of acceptance, counted from 1.
    number: u64,
    reader: BufReader<TcpStream>,
    writer: Arc<Mutex<TcpStream>>,
    state: Arc<Mutex<State>>,
}

impl Server {
    /// Starts an index server at a port chosen by the kernel.
    pub fn start(behavior: ServerBehavior) -> Server {
        Server::start_on(TcpListener::bind("127.0.0.1:0").expect("bind a loopback port"), behavior)
    }

    pub(crate) fn start_on(listener: TcpListener, behavior: ServerBehavior) -> Server {
        let address = listener.local_addr().expect("local address");
        let state = Arc::new(Mutex::new(State {
            behavior,
            received: Vec::new(),
            cancelled: Vec::new(),
            accepted_connections: 0,
            streams: Vec::new(),
        }));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = shared.clone();
                let number = {
                    let mut state = shared.lock().expect("lock not poisoned");
                    state.accepted_connections += 1;
                    state.accepted_connections
                };
                thread::spawn(move || Connection::open(stream, state, number)?.serve());
            }
        });
        Server { address, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock not poisoned")
    }

    /// Sets how the following calls are answered.
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        self.state().behavior = behavior;
    }

    /// Closes all connections, never in the middle of a frame that the server writes.
    pub fn close_connections(&self) {
        let streams: Vec<_> = self.state().streams.drain(..).collect();
        for stream in streams.iter().filter_map(Weak::upgrade) {
            // Fails if the connection has already ended.
            let _ = stream.lock().expect("lock not poisoned").shutdown(Shutdown::Both);
        }
    }

    /// Returns the parts received so far.
    pub fn received(&self) -> Vec<ReceivedPart> {
        self.state().received.clone()
    }

    /// Returns the ids of the parts whose cancellation was received.
    pub fn cancelled_parts(&self) -> Vec<String> {
        self.state().cancelled.clone()
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.state().accepted_connections
    }
}

impl Connection {
    fn open(stream: TcpStream, state: Arc<Mutex<State>>, number: u64) -> Option<Connection> {
        let reader = BufReader::new(stream.try_clone().ok()?);
        let writer = Arc::new(Mutex::new(stream));
        state.lock().expect("lock not poisoned").streams.push(Arc::downgrade(&writer));
        Some(Connection { number, reader, writer, state })
    }

    /// Reads frames and responds to them until the connection ends.
    fn serve(mut self) -> Option<()> {
        loop {
            let body = self.read_frame()?;
            if body[0] == CANCEL_FRAME {
                let id = String::from_utf8(body[1..].to_vec()).expect("a UTF-8 part id");
                self.state.lock().expect("lock not poisoned").cancelled.push(id);
                continue;
            }
            assert_eq!(body[0], CALL_FRAME);
            let parts = parse_parts(&body[1..]);
            let behavior = {
                let mut state = self.state.lock().expect("lock not poisoned");
                state.received.extend(parts.clone());
                state.behavior.clone()
            };
            self.perform(behavior.action(&parts, self.number))?;
        }
    }

    /// Reads the next frame and returns its body: the letter of the frame's type and the content. Returns
    /// `None` if the connection ends.
    fn read_frame(&mut self) -> Option<Vec<u8>> {
        let mut length = [0; 4];
        self.reader.read_exact(&mut length).ok()?;
        let mut body = vec![0; u32::from_be_bytes(length) as usize];
        self.reader.read_exact(&mut body).ok()?;
        Some(body)
    }

    /// Performs an action; returns `None` if the connection has to end or has ended.
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
                let writer = self.writer.lock().expect("lock not poisoned");
                SockRef::from(&*writer).set_linger(Some(Duration::ZERO)).ok()?;
                None
            }
            Action::Trickle => self.trickle(),
            Action::Repeat(bytes) => self.repeat(&bytes),
        }
    }

    fn send(&self, bytes: &[u8]) -> Option<()> {
        self.writer.lock().expect("lock not poisoned").write_all(bytes).ok()
    }

    fn send_later(&self, delay: Duration, bytes: Vec<u8>) {
        let writer = self.writer.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            // Fails if the front node has closed the connection meanwhile.
            let _ = writer.lock().expect("lock not poisoned").write_all(&bytes);
        });
    }

    fn send_and_close(&self, bytes: &[u8]) -> Option<()> {
        let mut writer = self.writer.lock().expect("lock not poisoned");
        writer.write_all(bytes).ok()?;
        writer.shutdown(Shutdown::Both).ok()?;
        None
    }

    /// Begins a frame of 32 KiB and sends it byte by byte until the front node closes the connection.
    fn trickle(&self) -> Option<()> {
        let mut writer = self.writer.lock().expect("lock not poisoned");
        writer.write_all(&[0, 0, 0x80, 0, ANSWER_FRAME]).ok()?;
        loop {
            writer.write_all(b"x").ok()?;
            thread::sleep(TRICKLE_PAUSE);
        }
    }

    /// Sends the bytes again and again until the front node closes the connection.
    fn repeat(&self, bytes: &[u8]) -> Option<()> {
        let copies = bytes.repeat(COPIES_PER_WRITE);
        let mut writer = self.writer.lock().expect("lock not poisoned");
        loop {
            writer.write_all(&copies).ok()?;
        }
    }
}
