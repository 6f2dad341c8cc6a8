//! A discovery service: answers watches with the endpoint list and its changes, and fails on demand.

use crate::shared::{read_head, WAIT_LIMIT};
use serde_json::{json, Value};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Interval of the empty lines that a watch sends while the list doesn't change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a watch checks for a change of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time that a watch request may wait for earlier ones under [`DiscoveryBehavior::OneAtATime`].
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two bytes of a list under [`WatchFault::Trickling`].
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);

const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// How the discovery service answers new watch requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryBehavior {
    /// Sends the list and its changes.
    Serving,
    /// Sends nothing.
    Silent,
    /// Answers with status 503.
    Unavailable,
    /// Sends a line that is not a list, now and at every change.
    InvalidLines,
    /// Sends the list as indented JSON over many lines.
    Indented,
    /// Closes the connection in the middle of the response head.
    ClosingWithinHead,
    /// Serves requests one after the other and spends this time on each; a request that has waited for more
    /// than 2 s for earlier ones is answered with status 503.
    OneAtATime(Duration),
}

/// How established watches fail. Except for [`WatchFault::Reset`], their connections stay open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchFault {
    /// Nothing more is sent.
    Silent,
    /// Half of a list is sent, then nothing more.
    HalfLine,
    /// A list is sent byte by byte and never completed.
    Trickling,
    /// The connection is reset.
    Reset,
}

/// State shared by the service and all its watches.
struct State {
    behavior: DiscoveryBehavior,
    /// Version of the list; lists contain it as `index`.
    index: u64,
    entries: Vec<Value>,
    /// Watch requests received so far.
    watch_count: u64,
    /// Calls of [`Discovery::close_watches`] so far; a watch that was opened at a lower count ends.
    close_calls: u64,
    /// Calls of [`Discovery::fail_watches`] so far; a watch that was opened at a lower count fails with
    /// `fault`.
    fail_calls: u64,
    fault: WatchFault,
}

/// A discovery service.
pub struct Discovery {
    /// Address at which the service listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// A watch, with the state of the service when the watch was opened.
struct Watch {
    stream: TcpStream,
    behavior: DiscoveryBehavior,
    close_calls: u64,
    fail_calls: u64,
}

/// The next action of a watch.
enum Step {
    /// Send this text: the list has changed.
    Send(String),
    Wait,
    Fail(WatchFault),
    End,
}

impl Discovery {
    /// Starts a discovery service with these list entries, at a port chosen by the kernel.
    pub fn start(entries: Vec<Value>) -> Discovery {
        Discovery::start_on(TcpListener::bind("127.0.0.1:0").expect("bind a loopback port"), entries)
    }

    pub(crate) fn start_on(listener: TcpListener, entries: Vec<Value>) -> Discovery {
        let address = listener.local_addr().expect("local address");
        let state = Arc::new(Mutex::new(State {
            behavior: DiscoveryBehavior::Serving,
            index: 1,
            entries,
            watch_count: 0,
            close_calls: 0,
            fail_calls: 0,
            fault: WatchFault::Silent,
        }));
        let shared = state.clone();
        let queue: Arc<Mutex<()>> = Arc::default();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = shared.clone();
                let queue = queue.clone();
                thread::spawn(move || Watch::accept(stream, &state)?.serve(&state, &queue));
            }
        });
        Discovery { address, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock not poisoned")
    }

    /// Makes all established watches fail; new watch requests are still answered by the current behavior.
    pub fn fail_watches(&self, fault: WatchFault) {
        let mut state = self.state();
        state.fail_calls += 1;
        state.fault = fault;
    }

    /// Sets how new watch requests are answered; established watches don't change.
    pub fn set_behavior(&self, behavior: DiscoveryBehavior) {
        self.state().behavior = behavior;
    }

    /// Replaces the entries of the list and increments its version.
    pub fn set_entries(&self, entries: Vec<Value>) {
        let mut state = self.state();
        state.entries = entries;
        state.index += 1;
    }

    /// Replaces the entries of the list, and closes the connections of all established watches instead of
    /// sending them the change.
    pub fn set_entries_and_close_watches(&self, entries: Vec<Value>) {
        let mut state = self.state();
        state.entries = entries;
        state.index += 1;
        state.close_calls += 1;
    }

    /// Closes the connections of all established watches.
    pub fn close_watches(&self) {
        self.state().close_calls += 1;
    }

    /// Returns the number of watch requests received so far.
    pub fn watch_count(&self) -> u64 {
        self.state().watch_count
    }
}

impl Watch {
    /// Reads the watch request and counts it; returns `None` if the connection ends before the request is
    /// complete.
    fn accept(stream: TcpStream, state: &Mutex<State>) -> Option<Watch> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let head = read_head(&mut reader)?;
        assert!(head[0].starts_with("GET /registry/instances?watch=1&after="), "{}", head[0]);
        let mut state = state.lock().expect("lock not poisoned");
        state.watch_count += 1;
        Some(Watch {
            stream,
            behavior: state.behavior,
            close_calls: state.close_calls,
            fail_calls: state.fail_calls,
        })
    }

    /// Answers the request until the watch ends. `queue` is held by the request that is being served under
    /// [`DiscoveryBehavior::OneAtATime`].
    fn serve(mut self, state: &Mutex<State>, queue: &Mutex<()>) -> Option<()> {
        match self.behavior {
            DiscoveryBehavior::Unavailable => self.stream.write_all(UNAVAILABLE).ok(),
            DiscoveryBehavior::Silent => {
                thread::sleep(WAIT_LIMIT);
                None
            }
            DiscoveryBehavior::ClosingWithinHead => {
                self.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Enc").ok()
            }
            DiscoveryBehavior::OneAtATime(service_time) => {
                if !wait_for_service(queue, service_time) {
                    return self.stream.write_all(UNAVAILABLE).ok();
                }
                self.send_lists(state)
            }
            DiscoveryBehavior::Serving | DiscoveryBehavior::InvalidLines | DiscoveryBehavior::Indented => {
                self.send_lists(state)
            }
        }
    }

    /// Sends the list, its changes and heartbeats until the watch ends or fails.
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
        let state = state.lock().expect("lock not poisoned");
        if state.close_calls != self.close_calls {
            return Step::End;
        }
        if state.fail_calls != self.fail_calls {
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

    /// Sends a line in two HTTP chunks, so that the reader has to join them.
    fn send_line(&mut self, line: &str) -> Option<()> {
        let text = format!("{line}\n");
        let (first, second) = text.split_at(text.len() / 2);
        for chunk in [first, second].iter().filter(|chunk| !chunk.is_empty()) {
            write!(self.stream, "{:x}\r\n{chunk}\r\n", chunk.len()).ok()?;
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
                // Closing with unread received bytes would send a reset as well; a linger time of zero always
                // does.
                SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).ok()?;
            }
        }
        None
    }
}

/// Waits for the earlier requests, then sleeps for `service_time`. Returns false without sleeping if the wait
/// took longer than [`QUEUE_TIMEOUT`].
fn wait_for_service(queue: &Mutex<()>, service_time: Duration) -> bool {
    let queued_at = Instant::now();
    let _guard = queue.lock().expect("lock not poisoned");
    if queued_at.elapsed() > QUEUE_TIMEOUT {
        return false;
    }
    thread::sleep(service_time);
    true
}
