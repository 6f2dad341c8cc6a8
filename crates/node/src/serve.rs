//! A front node from its start to the end of its graceful shutdown: starts the tasks, waits for the request to stop,
//! and lets them finish.

use crate::clients::{listen, ClientContext, ClientServices};
use crate::config::{Config, LiveConfig};
use crate::counters::Counters;
use crate::discovery::DiscoveryTask;
use crate::error::NodeError;
use crate::event_loop::{EventLoop, PendingQueries};
use crate::flight_recorder::RingWriter;
use crate::host::Host;
use crate::invariants::Invariants;
use crate::messages::Message;
use crate::pause_detector::PauseDetector;
use crate::reload::{ReloadReceiver, Reloader};
use crate::shutdown::ShutdownPhase;
use crate::upstream::{ConnectionPools, Instruments};
use pinetrestle::interface::Micros;
use pinetrestle_protocol::watch_supervisor::WatchSupervisor;
use pinetrestle_recorder::Recorder;
use pinetrestle_system_calls::listen as bind_listener;
use slog::{info, Logger};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep_until, timeout, Instant};

/// Messages that may wait for the event loop; a task with one more waits.
const MESSAGE_CAPACITY: usize = 1024;
/// How long after the shutdown timeout the ends of clients' connections are still waited for.
const LAST_CONNECTIONS_TIMEOUT: Duration = Duration::from_millis(100);

/// Channels that control a front node while it serves.
pub struct ControlChannels {
    /// New configuration files.
    pub reloads: ReloadReceiver,
    /// Notified to have the flight recorder's ring written out.
    pub write_records: Rc<Notify>,
}

/// Serves until `stop` completes, then shuts down gracefully: hands over, answers what was admitted, and returns.
///
/// Must run within a [`LocalSet`](tokio::task::LocalSet) on a runtime with all drivers enabled.
///
/// # Errors
///
/// [`NodeError::Listen`], or [`NodeError::EventLoopEnded`].
pub async fn serve(
    config: Config,
    log: Logger,
    counters: Rc<Counters>,
    stop: impl Future<Output = ()>,
) -> Result<(), NodeError> {
    let (_closed, reloads) = mpsc::channel(1);
    let control = ControlChannels { reloads, write_records: Rc::default() };
    serve_reloading(config, control, log, counters, stop).await
}

/// The same as [`serve`], with new configurations taken and records written out while it serves.
///
/// # Errors
///
/// As [`serve`].
pub async fn serve_reloading(
    config: Config,
    control: ControlChannels,
    log: Logger,
    counters: Rc<Counters>,
    stop: impl Future<Output = ()>,
) -> Result<(), NodeError> {
    let address = config.listen;
    let not_bound = |source| NodeError::Listen { address, source };
    let listener = bind_listener(address).await.map_err(not_bound)?;
    let bound_to = listener.local_addr().map_err(not_bound)?;
    let mut node = RunningNode::start(config, control, log, counters, listener);
    node.log_serving(bound_to);
    tokio::select! {
        () = stop => {}
        // Without its event loop the node could only fail every query: it is better to exit and be restarted.
        _ = &mut node.event_loop => return Err(NodeError::EventLoopEnded),
    }
    node.shut_down().await;
    Ok(())
}

/// What all tasks of one front node share.
struct Shared {
    live_config: Rc<LiveConfig>,
    counters: Rc<Counters>,
    log: Logger,
    to_event_loop: mpsc::Sender<Message>,
    recorder: Rc<Recorder>,
    invariants: Rc<Invariants>,
    pause_detector: Rc<PauseDetector>,
    /// Whether the front node can serve queries; set by the event loop.
    ready: Rc<Cell<bool>>,
    /// When the host's clock stood at 0.
    start: Instant,
}

/// A front node whose tasks have been started.
struct RunningNode {
    shared: Shared,
    records: Rc<RingWriter>,
    clients: Rc<ClientContext>,
    phase: watch::Sender<ShutdownPhase>,
    event_loop: JoinHandle<()>,
    listening: JoinHandle<()>,
}

impl RunningNode {
    /// Starts all tasks on the current [`LocalSet`](tokio::task::LocalSet).
    fn start(
        config: Config,
        control: ControlChannels,
        log: Logger,
        counters: Rc<Counters>,
        listener: TcpListener,
    ) -> RunningNode {
        let start = Instant::now();
        let (to_event_loop, inbox) = mpsc::channel(MESSAGE_CAPACITY);
        let (watch_requests, requested_watches) = mpsc::channel(1);
        let (phase, phases) = watch::channel(ShutdownPhase::Serving);
        let discovery_moved = Rc::new(Notify::new());

        let recorder = Rc::new(Recorder::new(config.recorder.records));
        let records = start_records_writer(&config, &recorder, &log, control.write_records);
        let host = new_host(&config, counters.clone());
        let watches = new_watches(&config);
        let shared = Shared {
            live_config: Rc::new(LiveConfig::new(config)),
            invariants: Rc::new(Invariants::new(counters.clone(), recorder.clone(), log.clone())),
            pause_detector: Rc::new(PauseDetector::new(Instant::now())),
            ready: Rc::new(Cell::new(false)),
            counters,
            log,
            to_event_loop,
            recorder,
            start,
        };
        shared.start_discovery(watches, requested_watches, discovery_moved.clone());
        let event_loop = shared.start_event_loop(host, inbox, watch_requests);
        spawn_local(shared.pause_detector.clone().run(shared.recorder.clone()));
        let clients = Rc::new(shared.new_client_context());
        let listening = spawn_local(listen(clients.clone(), listener, phases));
        shared.start_reloader(control.reloads, discovery_moved);
        RunningNode { shared, records, clients, phase, event_loop, listening }
    }

    fn log_serving(&self, bound_to: SocketAddr) {
        let config = self.shared.live_config.get();
        info!(self.shared.log, "serving"; "listen" => %bound_to, "discovery" => %config.discovery,
            "clients" => config.transport.max_client_connections,
            "servers" => config.transport.max_server_connections);
    }

    /// Goes through the phases of a graceful shutdown and returns when it is over.
    async fn shut_down(self) {
        let requested_at = Instant::now();
        let transport = self.shared.live_config.get().transport.clone();
        let deadline = requested_at + transport.shutdown_timeout;
        let connections = &self.shared.counters.connections;
        info!(self.shared.log, "stopping"; "open" => connections.clients_open.get());
        self.clients.begin_shutdown(deadline);
        // These receivers are gone only if their tasks have failed; then there is nothing to hand over.
        let _ = self.shared.to_event_loop.send(Message::Shutdown { deadline }).await;
        let _ = self.phase.send(ShutdownPhase::HandingOver);
        sleep_until(requested_at + transport.handover_period).await;
        let _ = self.phase.send(ShutdownPhase::Closing);
        let _ = timeout(deadline.duration_since(Instant::now()), self.listening).await;
        let last = deadline + LAST_CONNECTIONS_TIMEOUT;
        while connections.clients_open.get() > 0 && Instant::now() < last {
            // The bound is for clients that don't read their answers.
            let _ = timeout(last.duration_since(Instant::now()), self.clients.connection_closed()).await;
        }
        self.records.write_at_exit().await;
    }
}

impl Shared {
    fn start_discovery(
        &self,
        watches: WatchSupervisor<SocketAddr>,
        requested_watches: mpsc::Receiver<()>,
        address_changed: Rc<Notify>,
    ) {
        let discovery = DiscoveryTask {
            live_config: self.live_config.clone(),
            address_changed,
            watches,
            counters: self.counters.clone(),
            to_event_loop: self.to_event_loop.clone(),
            log: self.log.clone(),
        };
        spawn_local(discovery.run(requested_watches));
    }

    fn start_event_loop(
        &self,
        host: Host,
        inbox: mpsc::Receiver<Message>,
        watch_requests: mpsc::Sender<()>,
    ) -> JoinHandle<()> {
        let event_loop = EventLoop {
            host,
            pools: self.new_pools(),
            clock_origin: self.start,
            inbox,
            watch_requests,
            pending: PendingQueries::default(),
            ready: self.ready.clone(),
            stopping: false,
            recorder: self.recorder.clone(),
            invariants: self.invariants.clone(),
            pause_detector: self.pause_detector.clone(),
            log: self.log.clone(),
        };
        spawn_local(event_loop.run())
    }

    fn new_pools(&self) -> ConnectionPools {
        let instruments = Instruments {
            counters: self.counters.clone(),
            log: self.log.clone(),
            recorder: self.recorder.clone(),
            invariants: self.invariants.clone(),
        };
        ConnectionPools::new(self.live_config.clone(), self.to_event_loop.clone(), instruments, self.start)
    }

    fn new_client_context(&self) -> ClientContext {
        ClientContext::new(ClientServices {
            live: self.live_config.clone(),
            counters: self.counters.clone(),
            to_core: self.to_event_loop.clone(),
            log: self.log.clone(),
            ready: self.ready.clone(),
            recorder: self.recorder.clone(),
            invariants: self.invariants.clone(),
            pause_detector: self.pause_detector.clone(),
        })
    }

    fn start_reloader(&self, reloads: ReloadReceiver, discovery_moved: Rc<Notify>) {
        let reloader = Reloader {
            live_config: self.live_config.clone(),
            discovery_moved,
            counters: self.counters.clone(),
            log: self.log.clone(),
        };
        spawn_local(reloader.run(reloads));
    }
}

/// Starts the task that writes the flight recorder's ring out, where the recorder is on.
fn start_records_writer(
    config: &Config,
    recorder: &Rc<Recorder>,
    log: &Logger,
    write_records: Rc<Notify>,
) -> Rc<RingWriter> {
    let records = Rc::new(RingWriter {
        settings: config.recorder.clone(),
        recorder: recorder.clone(),
        log: log.clone(),
    });
    if recorder.is_enabled() {
        spawn_local(records.clone().run(write_records));
    }
    records
}

/// A host that knows the endpoint list as it was last known before the start.
fn new_host(config: &Config, counters: Rc<Counters>) -> Host {
    let deployment = Rc::new(config.deployment.clone());
    let host = Host::new(deployment, counters, config.seed, Micros(0));
    let mut host = host.with_body_keys(&config.names.wire.body_keys);
    host.endpoint_update(Micros(0), &config.initial_list, true);
    host
}

fn new_watches(config: &Config) -> WatchSupervisor<SocketAddr> {
    let pushed = !config.deployment.settings.poll_endpoint_list;
    WatchSupervisor::new(pushed, config.discovery, config.initial_list.version)
}
