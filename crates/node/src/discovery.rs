//! Watches on discovery: the tasks that open them and pass on what they receive.
//!
//! When to poll is the decision core's choice; which of several watches counts is decided by [`WatchSupervisor`].

use crate::close_reason::CloseReason;
use crate::config::LiveConfig;
use crate::counters::Counters;
use crate::deadline::before_deadline;
use crate::messages::Message;
use pinetrestle_protocol::endpoint_list::{encode_watch_request, ListUpdate};
use pinetrestle_protocol::watch::{WatchDecoder, WatchEvent};
use pinetrestle_protocol::watch_supervisor::{WatchAction, WatchSupervisor, WatchTimeouts};
use pinetrestle_system_calls::{connect, is_transient_local_error, read, write_all};
use slog::{info, Logger};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// Lines that may wait for the discovery task; a watch with one more waits.
const LINE_CAPACITY: usize = 16;
/// Bytes of one read.
const READ_SIZE: usize = 16 * 1024;

/// The task that keeps a watch on discovery.
pub(crate) struct DiscoveryTask {
    /// The configuration in force; it has the address of discovery.
    pub(crate) live_config: Rc<LiveConfig>,
    /// Notified when the configuration names another address.
    pub(crate) address_changed: Rc<Notify>,
    /// Which watch is established and which are being opened.
    pub(crate) watches: WatchSupervisor<SocketAddr>,
    /// Counts watches and what they receive.
    pub(crate) counters: Rc<Counters>,
    /// Where changes of the endpoint list go.
    pub(crate) to_event_loop: mpsc::Sender<Message>,
    /// Logs one line a connection.
    pub(crate) log: Logger,
}

/// What the connection of a watch reports to the discovery task.
struct WatchReport {
    /// The number of the watch.
    number: u64,
    /// A line of the watch, or why its connection has ended.
    event: Result<WatchEvent, CloseReason>,
}

/// The watches whose tasks run, by number. Dropping a handle ends its task.
type RunningWatches = HashMap<u64, oneshot::Sender<()>>;

impl DiscoveryTask {
    /// Opens a watch at each request and whenever one is due, until no request can come any more.
    pub(crate) async fn run(mut self, mut requests: mpsc::Receiver<()>) {
        let (reports, mut reported) = mpsc::channel::<WatchReport>(LINE_CAPACITY);
        let start = Instant::now();
        let mut running = RunningWatches::new();
        loop {
            let due = self.watches.next_deadline();
            let due_at = start + due.unwrap_or_default();
            let actions = tokio::select! {
                request = requests.recv() => match request {
                    None => return,
                    Some(()) => self.watches.request_watch(start.elapsed(), self.timeouts()),
                },
                () = self.address_changed.notified() => {
                    let address = self.live_config.get().discovery;
                    self.watches.change_address(start.elapsed(), address, self.timeouts())
                }
                () = sleep_until(due_at), if due.is_some() => {
                    self.watches.on_deadline(start.elapsed(), self.timeouts())
                }
                Some(report) = reported.recv() => self.on_report(report, start.elapsed(), &mut running),
            };
            for action in actions {
                self.execute(action, &mut running, &reports).await;
            }
        }
    }

    fn timeouts(&self) -> WatchTimeouts {
        let transport = &self.live_config.get().transport;
        WatchTimeouts {
            answer_timeout: transport.discovery_answer_timeout,
            retry_delay: transport.watch_retry_delay,
        }
    }

    fn on_report(
        &mut self,
        report: WatchReport,
        now: Duration,
        running: &mut RunningWatches,
    ) -> Vec<WatchAction<SocketAddr>> {
        match report.event {
            Ok(line) => {
                self.count(&line);
                self.watches.on_event(report.number, line)
            }
            Err(reason) => {
                self.counters.closes.increment("discovery", reason.code());
                running.remove(&report.number);
                self.watches.on_watch_ended(now, report.number, self.timeouts())
            }
        }
    }

    fn count(&self, line: &WatchEvent) {
        let counts = &self.counters.discovery;
        match line {
            WatchEvent::Update(ListUpdate { complete: true, .. }) => counts.full_lists.increment(),
            WatchEvent::Update(_) => counts.changes.increment(),
            WatchEvent::KeepAlive => counts.heartbeats.increment(),
        }
    }

    async fn execute(
        &self,
        action: WatchAction<SocketAddr>,
        running: &mut RunningWatches,
        reports: &mpsc::Sender<WatchReport>,
    ) {
        match action {
            WatchAction::Open { watch_id, address, after } => {
                running.insert(watch_id, self.open_watch(watch_id, address, after, reports.clone()));
            }
            WatchAction::Close(number) => drop(running.remove(&number)),
            // The receiver is there as long as the program serves.
            WatchAction::Deliver(event) => {
                drop(self.to_event_loop.send(Message::EndpointUpdate(event)).await)
            }
            WatchAction::ReportLost => {
                self.counters.discovery.watches_lost.increment();
                let _ = self.to_event_loop.send(Message::WatchFailed).await;
            }
        }
    }

    /// Starts the task of one watch on the changes after version `after`.
    fn open_watch(
        &self,
        number: u64,
        address: SocketAddr,
        after: u64,
        reports: mpsc::Sender<WatchReport>,
    ) -> oneshot::Sender<()> {
        self.counters.discovery.watches.increment();
        let (handle, handle_dropped) = oneshot::channel();
        let live_config = self.live_config.clone();
        let connection =
            WatchConnection { live_config, address, after, number, reports, lines: 0, bytes_in: 0 };
        spawn_local(connection.run(handle_dropped, self.log.clone()));
        handle
    }
}

/// One watch and the connection that carries it.
struct WatchConnection {
    live_config: Rc<LiveConfig>,
    address: SocketAddr,
    /// The version of the endpoint list after which changes are wanted.
    after: u64,
    number: u64,
    reports: mpsc::Sender<WatchReport>,
    /// Complete lines received.
    lines: u64,
    /// Bytes received.
    bytes_in: u64,
}

impl WatchConnection {
    async fn run(mut self, handle_dropped: oneshot::Receiver<()>, log: Logger) {
        let begun = Instant::now();
        let reason = tokio::select! {
            reason = self.watch() => reason,
            _ = handle_dropped => CloseReason::Superseded,
        };
        info!(log, "connection ended"; "side" => "discovery", "peer" => %self.address,
            "age_ms" => begun.elapsed().as_millis() as u64, "lines" => self.lines, "in" => self.bytes_in,
            "after" => self.after, "reason" => %reason);
        self.report(Err(reason)).await;
    }

    async fn report(&self, event: Result<WatchEvent, CloseReason>) {
        // The receiver is there as long as the program serves.
        let _ = self.reports.send(WatchReport { number: self.number, event }).await;
    }

    /// How long the next line may take from the last one, or from the call.
    fn line_timeout(&self) -> Duration {
        let transport = &self.live_config.get().transport;
        if self.lines > 0 {
            transport.watch_silence_timeout
        } else {
            transport.discovery_answer_timeout
        }
    }

    /// Watches until the connection ends; returns why it did.
    async fn watch(&mut self) -> CloseReason {
        let begun = Instant::now();
        match self.send_request(begun).await {
            Ok(stream) => self.receive(&stream, begun).await,
            Err(reason) => reason,
        }
    }

    async fn send_request(&self, begun: Instant) -> Result<TcpStream, CloseReason> {
        let deadline = begun + self.line_timeout();
        let stream = match before_deadline(deadline, connect(self.address, deadline)).await {
            None => return Err(CloseReason::ConnectTimeout),
            Some(Err(error)) if is_transient_local_error(&error) => return Err(CloseReason::NoLocalSocket),
            Some(Err(_)) => return Err(CloseReason::ConnectRefused),
            Some(Ok(stream)) => stream,
        };
        let names = self.live_config.get().names.wire.clone();
        let request = encode_watch_request(&names, &self.address.to_string(), self.after);
        match before_deadline(begun + self.line_timeout(), write_all(&stream, &request)).await {
            Some(Ok(())) => Ok(stream),
            _ => Err(CloseReason::WriteFailed),
        }
    }

    async fn receive(&mut self, stream: &TcpStream, begun: Instant) -> CloseReason {
        // Only a complete line counts as a sign of life: bytes that trickle, or half a line, carry nothing.
        let mut last_line_at = begun;
        let mut watch = WatchDecoder::new(self.live_config.get().names.wire.clone());
        let mut buffer = vec![0; READ_SIZE];
        loop {
            let deadline = last_line_at + self.line_timeout();
            let count = match before_deadline(deadline, read(stream, &mut buffer)).await {
                None if self.lines > 0 => return CloseReason::WatchSilent,
                None => return CloseReason::NoResponse,
                Some(Err(_)) => return CloseReason::Reset,
                Some(Ok(0)) => return CloseReason::PeerClosed,
                Some(Ok(count)) => count,
            };
            self.bytes_in += count as u64;
            watch.feed(&buffer[..count]);
            loop {
                match watch.next_event() {
                    Ok(Some(line)) => {
                        self.lines += 1;
                        last_line_at = Instant::now();
                        self.report(Ok(line)).await;
                    }
                    Ok(None) => break,
                    Err(error) => return error.into(),
                }
            }
            if watch.is_complete() {
                return CloseReason::PeerClosed;
            }
        }
    }
}
