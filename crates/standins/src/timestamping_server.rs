//! An index server that can stop reading, and stamps each frame when it is read.
//!
//! It has a bounded number of parts in flight on a connection, cancelled ones included that run on; what is beyond that
//! waits unread. Stopped, it neither accepts nor reads, and finishes the parts in flight: whatever comes meanwhile waits
//! in the kernel, as with a machine that hangs.

use crate::received_part::{parse_parts, ReceivedPart};
use crate::shared::frame;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Longest sleep of the thread that answers, without an answer that is due earlier.
const LONGEST_SLEEP: Duration = Duration::from_millis(50);
/// Its shortest sleep.
const SHORTEST_SLEEP: Duration = Duration::from_micros(100);

/// How parts are processed.
#[derive(Clone, Debug)]
pub struct WorkProfile {
    /// Parts in flight on one connection at once; what is beyond waits unread.
    pub max_parts_per_connection: usize,
    /// How long a part takes: the times are used one after the other, over and over.
    pub service_times: Vec<Duration>,
    /// A cancelled part is stopped and frees its place; otherwise it runs on and is not answered.
    pub cancel_stops_work: bool,
    /// Time that the first frame of a connection waits before it is read.
    pub handshake: Duration,
    /// Slower work after the start.
    pub warm_up: WarmUp,
    /// Parts are rejected.
    pub draining: bool,
}

/// Slower work of a server that has just started.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// How long after the start it lasts.
    pub duration: Duration,
    /// By how much parts take longer meanwhile.
    pub factor: u32,
}

impl Default for WorkProfile {
    fn default() -> WorkProfile {
        WorkProfile {
            max_parts_per_connection: 32,
            service_times: vec![Duration::from_millis(2)],
            cancel_stops_work: true,
            handshake: Duration::ZERO,
            warm_up: WarmUp { duration: Duration::ZERO, factor: 1 },
            draining: false,
        }
    }
}

/// A frame as it was read.
#[derive(Clone, Debug)]
pub struct ReceivedFrame {
    /// When its last byte was read.
    pub read_at: Instant,
    /// On which connection, counted from 1.
    pub connection: u64,
    /// The parts of a call; none for a cancel.
    pub parts: Vec<ReceivedPart>,
    /// The id of the part that a cancel names.
    pub cancelled: Option<String>,
}

/// A part in flight.
struct RunningPart {
    connection: u64,
    cancelled: bool,
}

/// An answer in the queue; ordered by time, then by part.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct DueAnswer {
    at: Instant,
    id: String,
    shard: u32,
}

struct State {
    work: WorkProfile,
    started_at: Instant,
    /// Neither accepts nor reads.
    stopped: bool,
    frames: Vec<ReceivedFrame>,
    /// Parts in flight by their id.
    running: HashMap<String, RunningPart>,
    due: BinaryHeap<Reverse<DueAnswer>>,
    /// Open connections by their number.
    streams: HashMap<u64, TcpStream>,
    /// Connections accepted so far.
    connections: u64,
    /// Parts begun so far.
    parts_begun: usize,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// Waits until a condition holds.
    fn wait_until(&self, holds: impl Fn(&State) -> bool) -> MutexGuard<'_, State> {
        self.changed.wait_while(self.lock(), |state| !holds(state)).expect("no panic")
    }
}

/// An index server that stamps each frame when it is read.
#[derive(Clone)]
pub struct TimestampingServer {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl TimestampingServer {
    /// Starts one.
    pub fn start(work: WorkProfile) -> TimestampingServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            work,
            started_at: Instant::now(),
            stopped: false,
            frames: Vec::new(),
            running: HashMap::new(),
            due: BinaryHeap::new(),
            streams: HashMap::new(),
            connections: 0,
            parts_begun: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let acceptor = shared.clone();
        thread::spawn(move || accept(&listener, &acceptor));
        let answerer = shared.clone();
        thread::spawn(move || answer_due_parts(&answerer));
        TimestampingServer { address, shared }
    }

    /// Changes how it works from now on.
    pub fn update_profile(&self, change: impl FnOnce(&mut WorkProfile)) {
        change(&mut self.shared.lock().work);
        self.shared.changed.notify_all();
    }

    /// From now on it neither accepts nor reads.
    pub fn stop_reading(&self) {
        self.shared.lock().stopped = true;
    }

    /// It accepts and reads again, beginning with what has waited.
    pub fn resume_reading(&self) {
        self.shared.lock().stopped = false;
        self.shared.changed.notify_all();
    }

    /// All frames read so far.
    pub fn received(&self) -> Vec<ReceivedFrame> {
        self.shared.lock().frames.clone()
    }

    /// Connections accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.shared.lock().connections
    }
}

/// Accepts connections, each on a thread of its own, as long as the process runs.
fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        drop(shared.wait_until(|state| !state.stopped));
        let Ok((stream, _)) = listener.accept() else { return };
        // One that came while it was stopped has waited in the kernel's queue.
        let mut state = shared.wait_until(|state| !state.stopped);
        state.connections += 1;
        let number = state.connections;
        if let Ok(writer) = stream.try_clone() {
            state.streams.insert(number, writer);
        }
        drop(state);
        let shared = shared.clone();
        thread::spawn(move || {
            // However it ends, the connection is over.
            let _ = serve(stream, &shared, number);
            let mut state = shared.lock();
            state.streams.remove(&number);
            state.running.retain(|_, part| part.connection != number);
            shared.changed.notify_all();
        });
    }
}

/// Reads the frames of a connection until it ends.
fn serve(mut stream: TcpStream, shared: &Shared, number: u64) -> std::io::Result<()> {
    let handshake = shared.lock().work.handshake;
    stream.peek(&mut [0])?;
    thread::sleep(handshake);
    loop {
        // Bytes are there before the state is checked, so that a stop counts for whatever comes after it.
        if stream.peek(&mut [0])? == 0 {
            return Ok(());
        }
        drop(shared.wait_until(|state| {
            let in_flight = state.running.values().filter(|part| part.connection == number).count();
            !state.stopped && in_flight < state.work.max_parts_per_connection
        }));
        let body = read_frame(&mut stream)?;
        shared.lock().take_frame(&body, number);
        shared.changed.notify_all();
    }
}

/// The letter and the content of the next frame.
fn read_frame(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// Answers what is due, as long as the process runs.
fn answer_due_parts(shared: &Shared) {
    let mut state = shared.lock();
    loop {
        let now = Instant::now();
        while let Some(Reverse(answer)) = state.due.peek().cloned() {
            if answer.at > now {
                break;
            }
            state.due.pop();
            state.send_answer(&answer);
        }
        let until_next = state.due.peek().map(|Reverse(answer)| answer.at.saturating_duration_since(now));
        let sleep = until_next.unwrap_or(LONGEST_SLEEP).max(SHORTEST_SLEEP);
        shared.changed.notify_all();
        state = shared.changed.wait_timeout(state, sleep).expect("no panic").0;
    }
}

impl State {
    /// Takes in a frame that has just been read on a connection.
    fn take_frame(&mut self, body: &[u8], connection: u64) {
        let at = Instant::now();
        let mut frame = ReceivedFrame { read_at: at, connection, parts: Vec::new(), cancelled: None };
        if body[0] == b'2' {
            let id = String::from_utf8(body[1..].to_vec()).expect("an id");
            self.cancel(&id);
            frame.cancelled = Some(id);
        } else {
            assert_eq!(body[0], b'1');
            frame.parts = parse_parts(&body[1..]);
            for part in &frame.parts {
                self.begin(part, connection, at);
            }
        }
        self.frames.push(frame);
    }

    fn cancel(&mut self, id: &str) {
        if self.work.cancel_stops_work {
            self.running.remove(id);
        } else if let Some(part) = self.running.get_mut(id) {
            part.cancelled = true;
        }
    }

    fn begin(&mut self, part: &ReceivedPart, connection: u64, now: Instant) {
        if self.work.draining {
            self.send(connection, &frame(b'5', format!("{} B 0 -\n", part.id).as_bytes()));
            return;
        }
        let times = &self.work.service_times;
        let mut service_time = times[self.parts_begun % times.len()];
        self.parts_begun += 1;
        if now.duration_since(self.started_at) < self.work.warm_up.duration {
            service_time *= self.work.warm_up.factor;
        }
        self.running.insert(part.id.clone(), RunningPart { connection, cancelled: false });
        let answer = DueAnswer { at: now + service_time, id: part.id.clone(), shard: part.shard };
        self.due.push(Reverse(answer));
    }

    /// Sends an answer unless its part was cancelled or its connection is closed.
    fn send_answer(&mut self, answer: &DueAnswer) {
        let id = &answer.id;
        if let Some(part) = self.running.remove(id).filter(|part| !part.cancelled) {
            let text = format!("{id} S {} -\nvalue of {id}", answer.shard);
            self.send(part.connection, &frame(b'5', text.as_bytes()));
        }
    }

    /// Sends bytes on a connection if it is still open.
    fn send(&mut self, connection: u64, bytes: &[u8]) {
        if let Some(stream) = self.streams.get_mut(&connection) {
            let _ = stream.write_all(bytes);
        }
    }
}
