//! Watches on the endpoint list at the discovery service.
//!
//! A watch is an HTTP request on a connection of its own. Discovery answers with a stream of events: the
//! complete endpoint list or changes to it, and keep-alives while nothing changes. The decision core decides
//! when a watch is requested. [`WatchSupervisor`] decides when a second one is opened beside it and which of
//! several watches is the active one; [`DiscoveryTask`] executes its decisions. Each watch has a task of its
//! own, which forwards the received events to the discovery task.

use crate::close_reason::CloseReason;
use crate::config::LiveConfig;
use crate::counters::Counters;
use crate::deadline::before_deadline;
use crate::messages::Message;
use pinetrestle_protocol::endpoint_list::{encode_watch_request, ListUpdate};
use pinetrestle_protocol::watch::{WatchDecoder, WatchEvent};
use pinetrestle_protocol::watch_supervisor::{WatchAction, WatchEnd, WatchSupervisor};
use pinetrestle_system_calls::{connect, is_transient_local_error, read, write_all, TaskBudget};
use slog::{info, Logger};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// Capacity of the channel from the watches to the discovery task. Watches wait while it is full.
const REPORT_CAPACITY: usize = 16;
/// Maximum time to establish the connection of a watch. Long enough for one retransmission of the first packet,
/// which is sent after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1250);
/// Size of the read buffer of a watch, in bytes.
const READ_SIZE: usize = 16 * 1024;

/// The task that opens and closes the watches on the endpoint list.
pub(crate) struct DiscoveryTask {
    /// The current configuration, including the address of discovery.
    pub(crate) live_config: Rc<LiveConfig>,
    /// Notified when the address of discovery in the configuration has changed.
    pub(crate) address_changed: Rc<Notify>,
    /// State of the active watch and of the pending ones.
    pub(crate) watches: WatchSupervisor<SocketAddr>,
    /// Counters of watches and of the events that they receive.
    pub(crate) counters: Rc<Counters>,
    /// Sender of endpoint list updates and watch failures to the event loop.
    pub(crate) to_event_loop: mpsc::Sender<Message>,
    /// Log that receives one line when the connection of a watch ends.
    pub(crate) log: Logger,
}

/// A report of the task of a watch to the discovery task.
struct WatchReport {
    /// Id of the watch.
    watch_id: u64,
    /// An event received by the watch, or its end.
    event: Result<WatchEvent, EndedWatch>,
}

/// The end of a watch.
struct EndedWatch {
    /// Why the connection was closed.
    reason: CloseReason,
    /// Time since the latest event, or since the start of the watch if there was none.
    silent_for: Duration,
}

impl EndedWatch {
    fn end(&self) -> WatchEnd {
        match self.reason {
            CloseReason::WatchSilent | CloseReason::NoResponse => WatchEnd::Silent(self.silent_for),
            CloseReason::ConnectTimeout => WatchEnd::Unreachable,
            CloseReason::NoLocalSocket => WatchEnd::LocalFailure,
            _ => WatchEnd::ByPeer,
        }
    }
}

/// Handles of the running watch tasks, by watch id. Dropping a handle stops the task.
type RunningWatches = HashMap<u64, oneshot::Sender<()>>;

impl DiscoveryTask {
    /// Opens a watch on request and whenever [`WatchSupervisor`] schedules one. Returns when the senders of
    /// `requests` are dropped.
    pub(crate) async fn run(mut self, mut requests: mpsc::Receiver<()>) {
        let (report_sender, mut reports) = mpsc::channel::<WatchReport>(REPORT_CAPACITY);
        let start = Instant::now();
        let mut running = RunningWatches::new();
        loop {
            let next_deadline = self.watches.next_deadline();
            let deadline = start + next_deadline.unwrap_or_default();
            let actions = tokio::select! {
                request = requests.recv() => match request {
                    None => return,
                    Some(()) => self.watches.request_watch(start.elapsed(), self.answer_timeout()),
                },
                () = self.address_changed.notified() => {
                    let address = self.live_config.get().discovery;
                    self.watches.change_address(start.elapsed(), address, self.answer_timeout())
                }
                () = sleep_until(deadline), if next_deadline.is_some() => {
                    self.watches.on_deadline(start.elapsed(), self.answer_timeout())
                }
                Some(report) = reports.recv() => self.on_report(report, &mut running),
            };
            for action in actions {
                self.execute(action, &mut running, &report_sender).await;
            }
        }
    }

    fn answer_timeout(&self) -> Duration {
        self.live_config.get().transport.discovery_answer_timeout
    }

    fn on_report(
        &mut self,
        report: WatchReport,
        running: &mut RunningWatches,
    ) -> Vec<WatchAction<SocketAddr>> {
        match report.event {
            Ok(event) => {
                self.count(&event);
                self.watches.on_event(report.watch_id, event)
            }
            Err(ended) => {
                self.counters.closes.increment("discovery", ended.reason.code());
                running.remove(&report.watch_id);
                self.watches.on_watch_ended(report.watch_id, ended.end())
            }
        }
    }

    fn count(&self, event: &WatchEvent) {
        let counts = &self.counters.discovery;
        match event {
            WatchEvent::Update(ListUpdate { complete: true, .. }) => counts.full_lists.increment(),
            WatchEvent::Update(_) => counts.changes.increment(),
            WatchEvent::KeepAlive => counts.keep_alives.increment(),
        }
    }

    async fn execute(
        &self,
        action: WatchAction<SocketAddr>,
        running: &mut RunningWatches,
        report_sender: &mpsc::Sender<WatchReport>,
    ) {
        match action {
            WatchAction::Open { watch_id, address, after } => {
                running.insert(watch_id, self.open_watch(watch_id, address, after, report_sender.clone()));
            }
            WatchAction::Close(watch_id) => drop(running.remove(&watch_id)),
            WatchAction::Deliver(update) => self.notify(Message::EndpointUpdate(update)).await,
            WatchAction::ReportLost(end) => {
                self.counters.discovery.watches_lost.increment();
                self.notify(Message::WatchLost(end)).await;
            }
            WatchAction::ReportFailed(end) => {
                self.counters.discovery.watches_lost.increment();
                self.notify(Message::WatchRequestFailed(end)).await;
            }
            WatchAction::ReportAddressChanging => self.notify(Message::DiscoveryChanging).await,
            WatchAction::ReportAddressChanged => self.notify(Message::DiscoveryChanged).await,
        }
    }

    async fn notify(&self, message: Message) {
        // Sending fails only if the event loop has ended, when messages are no longer needed.
        let _ = self.to_event_loop.send(message).await;
    }

    /// Starts the task of a watch that requests the changes after version `after`. Returns the handle of
    /// the task.
    fn open_watch(
        &self,
        watch_id: u64,
        address: SocketAddr,
        after: u64,
        report_sender: mpsc::Sender<WatchReport>,
    ) -> oneshot::Sender<()> {
        self.counters.discovery.watches.increment();
        let (handle, handle_dropped) = oneshot::channel();
        let live_config = self.live_config.clone();
        let connection = WatchConnection {
            live_config,
            address,
            after,
            watch_id,
            report_sender,
            events: 0,
            last_event_at: Instant::now(),
            bytes_in: 0,
        };
        spawn_local(connection.run(handle_dropped, self.log.clone()));
        handle
    }
}

/// A watch and its connection.
struct WatchConnection {
    live_config: Rc<LiveConfig>,
    address: SocketAddr,
    /// Version of the endpoint list after which changes are requested.
    after: u64,
    watch_id: u64,
    report_sender: mpsc::Sender<WatchReport>,
    /// Number of events received, logged as `lines`.
    events: u64,
    /// When the latest event was received; the start of the watch if there is none.
    last_event_at: Instant,
    /// Number of bytes received.
    bytes_in: u64,
}

impl WatchConnection {
    /// Runs the watch until its connection ends or its handle is dropped, and then logs and reports its end.
    async fn run(mut self, handle_dropped: oneshot::Receiver<()>, log: Logger) {
        let started_at = Instant::now();
        let reason = tokio::select! {
            reason = self.watch() => reason,
            _ = handle_dropped => CloseReason::Superseded,
        };
        info!(log, "connection ended"; "side" => "discovery", "peer" => %self.address,
            "age_ms" => started_at.elapsed().as_millis() as u64, "lines" => self.events, "in" => self.bytes_in,
            "after" => self.after, "reason" => %reason);
        self.report(Err(EndedWatch { reason, silent_for: self.last_event_at.elapsed() })).await;
    }

    async fn report(&self, event: Result<WatchEvent, EndedWatch>) {
        // Sending fails only if the discovery task has ended, when reports are no longer needed.
        let _ = self.report_sender.send(WatchReport { watch_id: self.watch_id, event }).await;
    }

    /// Returns the maximum time until the next event, counted from the previous event, or from the start of
    /// the watch if there is none.
    fn event_timeout(&self) -> Duration {
        let transport = &self.live_config.get().transport;
        if self.events > 0 {
            transport.watch_silence_timeout
        } else {
            transport.discovery_answer_timeout
        }
    }

    /// Opens the connection and receives events until it ends. Returns the close reason.
    async fn watch(&mut self) -> CloseReason {
        let started_at = Instant::now();
        match self.send_request(started_at).await {
            Ok(stream) => self.receive(&stream).await,
            Err(reason) => reason,
        }
    }

    /// Connects to discovery and sends the watch request. Returns the connection.
    async fn send_request(&self, started_at: Instant) -> Result<TcpStream, CloseReason> {
        let deadline = started_at + self.event_timeout().min(CONNECT_TIMEOUT);
        let stream = match before_deadline(deadline, connect(self.address, deadline)).await {
            None => return Err(CloseReason::ConnectTimeout),
            Some(Err(error)) if is_transient_local_error(&error) => return Err(CloseReason::NoLocalSocket),
            Some(Err(_)) => return Err(CloseReason::ConnectRefused),
            Some(Ok(stream)) => stream,
        };
        let names = self.live_config.get().names.wire.clone();
        let request = encode_watch_request(&names, &self.address.to_string(), self.after);
        match before_deadline(started_at + self.event_timeout(), write_all(&stream, &request)).await {
            Some(Ok(())) => Ok(stream),
            _ => Err(CloseReason::WriteFailed),
        }
    }

    /// Receives events until the connection ends. Returns the close reason.
    async fn receive(&mut self, stream: &TcpStream) -> CloseReason {
        let mut decoder = WatchDecoder::new(self.live_config.get().names.wire.clone());
        let mut buffer = vec![0; READ_SIZE];
        let budget = TaskBudget::default();
        loop {
            // Only a complete event extends the deadline. Otherwise a peer that sends single bytes could keep
            // the connection open without delivering an update.
            let deadline = self.last_event_at + self.event_timeout();
            let count = match before_deadline(deadline, read(stream, &mut buffer, &budget)).await {
                None if self.events > 0 => return CloseReason::WatchSilent,
                None => return CloseReason::NoResponse,
                Some(Err(_)) => return CloseReason::Reset,
                Some(Ok(0)) => return CloseReason::PeerClosed,
                Some(Ok(count)) => count,
            };
            self.bytes_in += count as u64;
            decoder.feed(&buffer[..count]);
            loop {
                match decoder.next_event() {
                    Ok(Some(event)) => {
                        self.events += 1;
                        self.last_event_at = Instant::now();
                        self.report(Ok(event)).await;
                    }
                    Ok(None) => break,
                    Err(error) => return error.into(),
                }
            }
            if decoder.is_complete() {
                return CloseReason::PeerClosed;
            }
        }
    }
}
