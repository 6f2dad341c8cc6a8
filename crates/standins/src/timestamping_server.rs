//! An index server that records when it read each frame, and that can stop reading.
//!
//! The number of parts in flight on a connection is limited; cancelled parts count if the cancellation
//! doesn't stop their processing. While a connection is at the limit, its further frames stay unread in the
//! kernel's buffers.
//!
//! A server that has stopped reading accepts no connections, reads no frames, and finishes the parts in
//! flight. New connections and frames wait in the kernel, as they do at a machine that hangs.

use crate::received_part::{parse_parts, ReceivedPart};
use crate::shared::{frame, ANSWER_FRAME, CALL_FRAME, CANCEL_FRAME};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Sleep of the answering thread while no answer is scheduled.
const IDLE_SLEEP: Duration = Duration::from_millis(50);
/// Shortest sleep of the answering thread.
const MIN_SLEEP: Duration = Duration::from_micros(100);

/// How a [`TimestampingServer`] processes parts.
#[derive(Clone, Debug)]
pub struct WorkProfile {
    /// Limit of the parts in flight on one connection; at the limit, no further frame is read from the
    /// connection.
    pub max_parts_per_connection: usize,
    /// Processing times of parts, used in order and repeated from the start; must not be empty.
    pub service_times: Vec<Duration>,
    /// Whether a cancelled part stops immediately. Otherwise it stays in flight for its full service time. It
    /// is not answered in either case.
    pub cancel_stops_work: bool,
    /// Time between the arrival of a connection's first bytes and the read of its first frame.
    pub handshake: Duration,
    /// Longer service times after the start of the server.
    pub warm_up: WarmUp,
    /// Whether new parts are rejected.
    pub draining: bool,
}

/// Longer service times of a server that has just started.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// Duration of the warm-up, from the start of the server.
    pub duration: Duration,
    /// Factor by which service times are multiplied during the warm-up.
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

/// A frame as read by the server.
#[derive(Clone, Debug)]
pub struct ReceivedFrame {
    /// When the last byte of the frame was read.
    pub read_at: Instant,
    /// Number of the connection, in the order of acceptance from 1.
    pub connection: u64,
    /// The parts if the frame is a call; empty for a cancellation.
    pub parts: Vec<ReceivedPart>,
    /// The id of the cancelled part if the frame is a cancellation.
    pub cancelled: Option<String>,
}

/// A part in flight.
struct PartInFlight {
    connection: u64,
    cancelled: bool,
}

/// An answer to be sent at a later time; ordered by that time, then by part.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledAnswer {
    due_at: Instant,
    id: String,
    shard: u32,
}

struct State {
    profile: WorkProfile,
    started_at: Instant,
    /// Whether the server has stopped accepting connections and reading frames.
    stopped: bool,
    frames: Vec<ReceivedFrame>,
    /// Parts in flight, by id.
    in_flight: HashMap<String, PartInFlight>,
    scheduled: BinaryHeap<Reverse<ScheduledAnswer>>,
    /// Open connections, by number.
    streams: HashMap<u64, TcpStream>,
    /// Number of connections accepted so far.
    accepted_connections: u64,
    /// Number of parts begun so far.
    begun_parts: usize,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock not poisoned")
    }

    /// Waits until a condition holds; returns the locked state.
    fn wait_until(&self, holds: impl Fn(&State) -> bool) -> MutexGuard<'_, State> {
        self.changed.wait_while(self.lock(), |state| !holds(state)).expect("lock not poisoned")
    }
}

/// An index server that records when it read each frame; clones refer to the same server.
#[derive(Clone)]
pub struct TimestampingServer {
    /// Address at which the server listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl TimestampingServer {
    /// Starts a server at a port chosen by the kernel.
    pub fn start(profile: WorkProfile) -> TimestampingServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
        let address = listener.local_addr().expect("local address");
        let state = State {
            profile,
            started_at: Instant::now(),
            stopped: false,
            frames: Vec::new(),
            in_flight: HashMap::new(),
            scheduled: BinaryHeap::new(),
            streams: HashMap::new(),
            accepted_connections: 0,
            begun_parts: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let acceptor = shared.clone();
        thread::spawn(move || accept_connections(&listener, &acceptor));
        let answerer = shared.clone();
        thread::spawn(move || send_due_answers(&answerer));
        TimestampingServer { address, shared }
    }

    /// Changes how the following parts are processed.
    pub fn update_profile(&self, change: impl FnOnce(&mut WorkProfile)) {
        change(&mut self.shared.lock().profile);
        self.shared.changed.notify_all();
    }

    /// Stops accepting connections and reading frames; parts in flight are still answered.
    pub fn stop_reading(&self) {
        self.shared.lock().stopped = true;
    }

    /// Accepts connections and reads frames again, beginning with those that arrived meanwhile.
    pub fn resume_reading(&self) {
        self.shared.lock().stopped = false;
        self.shared.changed.notify_all();
    }

    /// Returns the frames read so far.
    pub fn received(&self) -> Vec<ReceivedFrame> {
        self.shared.lock().frames.clone()
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.shared.lock().accepted_connections
    }
}

/// Accepts connections until the process ends, and serves each on its own thread.
fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        drop(shared.wait_until(|state| !state.stopped));
        let Ok((stream, _)) = listener.accept() else { return };
        // The server may have been stopped while `accept` was waiting; the connection is served once it
        // resumes.
        let mut state = shared.wait_until(|state| !state.stopped);
        state.accepted_connections += 1;
        let number = state.accepted_connections;
        if let Ok(writer) = stream.try_clone() {
            state.streams.insert(number, writer);
        }
        drop(state);
        let shared = shared.clone();
        thread::spawn(move || {
            // An error ends the connection as an orderly close does.
            let _ = serve(stream, &shared, number);
            let mut state = shared.lock();
            state.streams.remove(&number);
            state.in_flight.retain(|_, part| part.connection != number);
            shared.changed.notify_all();
        });
    }
}

/// Reads the frames of a connection until it ends.
fn serve(mut stream: TcpStream, shared: &Shared, number: u64) -> std::io::Result<()> {
    let handshake = shared.lock().profile.handshake;
    stream.peek(&mut [0])?;
    thread::sleep(handshake);
    loop {
        // Waits for bytes before it checks the state, so that frames that arrive after a stop stay unread.
        if stream.peek(&mut [0])? == 0 {
            return Ok(());
        }
        drop(shared.wait_until(|state| {
            let in_flight = state.in_flight.values().filter(|part| part.connection == number).count();
            !state.stopped && in_flight < state.profile.max_parts_per_connection
        }));
        let body = read_frame(&mut stream)?;
        shared.lock().process_frame(&body, number);
        shared.changed.notify_all();
    }
}

/// Reads the next frame and returns its body: the letter of the frame's type and the content.
fn read_frame(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// Sends each answer when it is due, until the process ends.
fn send_due_answers(shared: &Shared) {
    let mut state = shared.lock();
    loop {
        let now = Instant::now();
        while let Some(Reverse(answer)) = state.scheduled.peek().cloned() {
            if answer.due_at > now {
                break;
            }
            state.scheduled.pop();
            state.send_answer(&answer);
        }
        let until_next =
            state.scheduled.peek().map(|Reverse(answer)| answer.due_at.saturating_duration_since(now));
        let sleep = until_next.unwrap_or(IDLE_SLEEP).max(MIN_SLEEP);
        shared.changed.notify_all();
        state = shared.changed.wait_timeout(state, sleep).expect("lock not poisoned").0;
    }
}

impl State {
    /// Records a frame that has just been read on a connection, and begins or cancels its parts.
    fn process_frame(&mut self, body: &[u8], connection: u64) {
        let read_at = Instant::now();
        let mut frame = ReceivedFrame { read_at, connection, parts: Vec::new(), cancelled: None };
        if body[0] == CANCEL_FRAME {
            let id = String::from_utf8(body[1..].to_vec()).expect("a UTF-8 part id");
            self.cancel(&id);
            frame.cancelled = Some(id);
        } else {
            assert_eq!(body[0], CALL_FRAME);
            frame.parts = parse_parts(&body[1..]);
            for part in &frame.parts {
                self.begin(part, connection, read_at);
            }
        }
        self.frames.push(frame);
    }

    /// Cancels a part; a part that is not in flight is ignored.
    fn cancel(&mut self, id: &str) {
        if self.profile.cancel_stops_work {
            self.in_flight.remove(id);
        } else if let Some(part) = self.in_flight.get_mut(id) {
            part.cancelled = true;
        }
    }

    /// Begins a part and schedules its answer, or rejects it if the server is draining.
    fn begin(&mut self, part: &ReceivedPart, connection: u64, now: Instant) {
        if self.profile.draining {
            self.send(connection, &frame(ANSWER_FRAME, format!("{} B 0 -\n", part.id).as_bytes()));
            return;
        }
        let times = &self.profile.service_times;
        let mut service_time = times[self.begun_parts % times.len()];
        self.begun_parts += 1;
        if now.duration_since(self.started_at) < self.profile.warm_up.duration {
            service_time *= self.profile.warm_up.factor;
        }
        self.in_flight.insert(part.id.clone(), PartInFlight { connection, cancelled: false });
        let answer = ScheduledAnswer { due_at: now + service_time, id: part.id.clone(), shard: part.shard };
        self.scheduled.push(Reverse(answer));
    }

    /// Sends an answer unless its part was cancelled or its connection has ended.
    fn send_answer(&mut self, answer: &ScheduledAnswer) {
        let id = &answer.id;
        if let Some(part) = self.in_flight.remove(id).filter(|part| !part.cancelled) {
            let text = format!("{id} S {} -\nvalue of {id}", answer.shard);
            self.send(part.connection, &frame(ANSWER_FRAME, text.as_bytes()));
        }
    }

    /// Sends bytes on a connection if it is still open.
    fn send(&mut self, connection: u64, bytes: &[u8]) {
        if let Some(stream) = self.streams.get_mut(&connection) {
            let _ = stream.write_all(bytes);
        }
    }
}
