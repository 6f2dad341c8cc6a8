//! A discovery service: watches that send the endpoint list and its changes, and fail on demand.

use crate::shared::{read_head, WAIT_LIMIT};
use serde_json::{json, Value};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// A watch without a change sends an empty line this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How often a watch looks for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait of a call for the ones before it.
const TURN_LIMIT: Duration = Duration::from_secs(2);
/// Pause between the bytes of a list that never ends.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);

const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// How it answers new watches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryBehavior {
    /// With the list and its changes.
    Serving,
    /// Not at all.
    Silent,
    /// With a status of 503.
    Unavailable,
    /// With lines that are no list.
    InvalidLines,
    /// With a list that is indented over many lines.
    Indented,
    /// By closing the connection in the middle of the head.
    ClosingWithinHead,
    /// One call after the other, each after this time; one that has waited for 2 s gets a status of 503.
    OneAtATime(Duration),
}

/// How watches that are established fail while their connections stay open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchFault {
    /// They send nothing more.
    Silent,
    /// They send half of a list and nothing more.
    HalfLine,
    /// They send a list so slowly that it never ends.
    Trickling,
    /// They are reset.
    Reset,
}

/// What all watches share.
struct State {
    behavior: DiscoveryBehavior,
    /// Version of the list.
    index: u64,
    entries: Vec<Value>,
    /// Watches begun so far.
    watches: u64,
    /// Counts calls of [`Discovery::close_watches`]: a watch begun at a lower count ends.
    drops: u64,
    /// Counts calls of [`Discovery::fail_watches`]: a watch begun at a lower count has the latest fault.
    faults: u64,
    fault: WatchFault,
}

/// A discovery service.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// One watch and what held when it was begun.
struct Watch {
    stream: TcpStream,
    behavior: DiscoveryBehavior,
    drops: u64,
    faults: u64,
}

/// What a watch does next.
enum Step {
    /// The list has changed: send this text.
    Send(String),
    Wait,
    Fail(WatchFault),
    End,
}

impl Discovery {
    /// Starts one with these entries at a port that the kernel picks.
    pub fn start(entries: Vec<Value>) -> Discovery {
        Discovery::start_on(TcpListener::bind("127.0.0.1:0").expect("a port"), entries)
    }

    pub(crate) fn start_on(listener: TcpListener, entries: Vec<Value>) -> Discovery {
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State {
            behavior: DiscoveryBehavior::Serving,
            index: 1,
            entries,
            watches: 0,
            drops: 0,
            faults: 0,
            fault: WatchFault::Silent,
        }));
        let shared = state.clone();
        let turns: Arc<Mutex<()>> = Arc::default();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = shared.clone();
                let turns = turns.clone();
                thread::spawn(move || Watch::accept(stream, &state)?.serve(&state, &turns));
            }
        });
        Discovery { address, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// From now on the watches that are established fail in this way; new ones are answered as before.
    pub fn fail_watches(&self, fault: WatchFault) {
        let mut state = self.state();
        state.faults += 1;
        state.fault = fault;
    }

    /// From now on it answers new watches in this way.
    pub fn set_behavior(&self, behavior: DiscoveryBehavior) {
        self.state().behavior = behavior;
    }

    /// From now on the list has these entries, at a higher version.
    pub fn set_entries(&self, entries: Vec<Value>) {
        let mut state = self.state();
        state.entries = entries;
        state.index += 1;
    }

    /// Ends every established watch.
    pub fn close_watches(&self) {
        self.state().drops += 1;
    }

    /// Watches begun so far.
    pub fn watch_count(&self) -> u64 {
        self.state().watches
    }
}

impl Watch {
    /// Reads the call and counts it.
    fn accept(stream: TcpStream, state: &Mutex<State>) -> Option<Watch> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let head = read_head(&mut reader)?;
        assert!(head[0].starts_with("GET /registry/instances?watch=1&after="), "{}", head[0]);
        let mut state = state.lock().expect("no panic");
        state.watches += 1;
        Some(Watch { stream, behavior: state.behavior, drops: state.drops, faults: state.faults })
    }

    /// Answers until the watch ends.
    fn serve(mut self, state: &Mutex<State>, turns: &Mutex<()>) -> Option<()> {
        match self.behavior {
            DiscoveryBehavior::Unavailable => self.stream.write_all(UNAVAILABLE).ok(),
            DiscoveryBehavior::Silent => {
                thread::sleep(WAIT_LIMIT);
                None
            }
            DiscoveryBehavior::ClosingWithinHead => {
                self.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Enc").ok()
            }
            DiscoveryBehavior::OneAtATime(delay) => {
                if !take_turn(turns, delay) {
                    return self.stream.write_all(UNAVAILABLE).ok();
                }
                self.send_lists(state)
            }
            DiscoveryBehavior::Serving | DiscoveryBehavior::InvalidLines | DiscoveryBehavior::Indented => {
                self.send_lists(state)
            }
        }
    }

    fn send_lists(mut self, state: &Mutex<State>) -> Option<()> {
        self.stream.write_all(CHUNKED_HEAD).ok()?;
        let mut sent_index = 0;
        let mut sent_at = Instant::now();
        loop {
            let line = match self.next_step(state, &mut sent_index) {
                Step::End => return None,
                Step::Fail(fault) => return self.fail(fault),
                Step::Send(_) if self.behavior == DiscoveryBehavior::InvalidLines => {
                    "this is no list".to_owned()
                }
                Step::Send(text) => text,
                Step::Wait if sent_at.elapsed() > HEARTBEAT_INTERVAL => String::new(),
                Step::Wait => {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
            };
            sent_at = Instant::now();
            self.send_line(&line)?;
        }
    }

    fn next_step(&self, state: &Mutex<State>, sent_index: &mut u64) -> Step {
        let state = state.lock().expect("no panic");
        if state.drops != self.drops {
            return Step::End;
        }
        if state.faults != self.faults {
            return Step::Fail(state.fault);
        }
        if state.index == *sent_index {
            return Step::Wait;
        }
        *sent_index = state.index;
        let list = json!({"index": state.index, "snapshot": true, "endpoints": state.entries});
        match self.behavior {
            DiscoveryBehavior::Indented => Step::Send(format!("{list:#}")),
            _ => Step::Send(list.to_string()),
        }
    }

    /// Sends a line in two chunks: a reader has to join them.
    fn send_line(&mut self, line: &str) -> Option<()> {
        let text = format!("{line}\n");
        let (first, second) = text.split_at(text.len() / 2);
        for part in [first, second].iter().filter(|part| !part.is_empty()) {
            write!(self.stream, "{:x}\r\n{part}\r\n", part.len()).ok()?;
        }
        Some(())
    }

    fn fail(mut self, fault: WatchFault) -> Option<()> {
        match fault {
            WatchFault::Silent => thread::sleep(WAIT_LIMIT),
            WatchFault::HalfLine => {
                self.stream.write_all(b"10\r\n{\"index\":99,\"sna\r\n").ok()?;
                thread::sleep(WAIT_LIMIT);
            }
            WatchFault::Trickling => {
                let end = Instant::now() + WAIT_LIMIT;
                self.stream.write_all(b"10000\r\n{\"index\":").ok()?;
                while Instant::now() < end {
                    self.stream.write_all(b"1").ok()?;
                    thread::sleep(TRICKLE_PAUSE);
                }
            }
            WatchFault::Reset => {
                // Unread bytes at the close would do it as well; without lingering it is certain.
                SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).ok()?;
            }
        }
        None
    }
}

/// Takes the time of one call after those before it; false without doing so where that was too long to wait for.
fn take_turn(turns: &Mutex<()>, delay: Duration) -> bool {
    let called = Instant::now();
    let _turn = turns.lock().expect("no panic");
    if called.elapsed() > TURN_LIMIT {
        return false;
    }
    thread::sleep(delay);
    true
}
