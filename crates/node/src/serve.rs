//! The lifecycle of a front node: starts its tasks, waits for the request to stop, and performs a graceful
//! shutdown.

use crate::clients::{accept_connections, ClientContext, ClientServices};
use crate::config::{Config, LiveConfig};
use crate::counters::Counters;
use crate::discovery::DiscoveryTask;
use crate::error::NodeError;
use crate::event_loop::{EventLoop, PendingQueries};
use crate::flight_recorder::RingWriter;
use crate::host::Host;
use crate::invariants::Invariants;
use crate::memory_budget::MemoryBudget;
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

/// Capacity of the message channel to the event loop. While the channel is full, senders wait.
const MESSAGE_CAPACITY: usize = 1024;
/// Time after the shutdown deadline for which the front node still waits for client connections to close.
const LAST_CONNECTIONS_TIMEOUT: Duration = Duration::from_millis(100);

/// Inputs that control a front node while it serves.
pub struct ControlChannels {
    /// Configuration files to reload.
    pub reloads: ReloadReceiver,
    /// Notify this to write out the ring buffer of the flight recorder.
    pub write_records: Rc<Notify>,
}

/// Serves until `stop` completes, then shuts down gracefully: goes on accepting connections for the handover
/// period, answers the admitted queries by the shutdown deadline, and returns.
///
/// Must be called within a [`LocalSet`](tokio::task::LocalSet) on a runtime with all drivers enabled.
///
/// # Errors
/// [`NodeError::Listen`] or [`NodeError::EventLoopEnded`].
pub async fn serve(
    config: Config,
    log: Logger,
    counters: Rc<Counters>,
    stop: impl Future<Output = ()>,
) -> Result<(), NodeError> {
    // Nothing is sent: this front node has no reloads.
    let (_reload_sender, reloads) = mpsc::channel(1);
    let control = ControlChannels { reloads, write_records: Rc::default() };
    serve_with_control(config, control, log, counters, stop).await
}

/// Serves like [`serve`]. Also reloads the configuration, and writes out the ring buffer of the flight
/// recorder, as requested through `control`.
///
/// # Errors
/// The same errors as [`serve`].
pub async fn serve_with_control(
    config: Config,
    control: ControlChannels,
    log: Logger,
    counters: Rc<Counters>,
    stop: impl Future<Output = ()>,
) -> Result<(), NodeError> {
    let address = config.listen;
    let listen_error = |source| NodeError::Listen { address, source };
    let listener = bind_listener(address).await.map_err(listen_error)?;
    let local_address = listener.local_addr().map_err(listen_error)?;
    let mut node = RunningNode::start(config, control, log, counters, listener);
    node.log_serving(local_address);
    tokio::select! {
        () = stop => {}
        // Without the event loop every query would fail. The node ends so that the platform restarts it.
        _ = &mut node.event_loop => return Err(NodeError::EventLoopEnded),
    }
    node.shut_down().await;
    Ok(())
}

/// State shared by all tasks of one front node.
struct Shared {
    live_config: Rc<LiveConfig>,
    counters: Rc<Counters>,
    log: Logger,
    to_event_loop: mpsc::Sender<Message>,
    recorder: Rc<Recorder>,
    invariants: Rc<Invariants>,
    pause_detector: Rc<PauseDetector>,
    /// Whether the front node can serve queries. Set by the event loop.
    ready: Rc<Cell<bool>>,
    /// Instant at which the host's clock was at 0.
    clock_origin: Instant,
}

/// A front node whose tasks have been started.
struct RunningNode {
    shared: Shared,
    ring_writer: Rc<RingWriter>,
    clients: Rc<ClientContext>,
    phase: watch::Sender<ShutdownPhase>,
    event_loop: JoinHandle<()>,
    accept_loop: JoinHandle<()>,
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
        let clock_origin = Instant::now();
        let (to_event_loop, inbox) = mpsc::channel(MESSAGE_CAPACITY);
        let (watch_requests, watch_request_receiver) = mpsc::channel(1);
        let (phase, phases) = watch::channel(ShutdownPhase::Serving);
        let discovery_address_changed = Rc::new(Notify::new());

        let recorder = Rc::new(Recorder::new(config.recorder.records));
        let ring_writer = start_ring_writer(&config, &recorder, &log, control.write_records);
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
            clock_origin,
        };
        shared.start_discovery(watches, watch_request_receiver, discovery_address_changed.clone());
        let event_loop = shared.start_event_loop(host, inbox, watch_requests);
        spawn_local(shared.pause_detector.clone().run(shared.recorder.clone()));
        let clients = Rc::new(shared.new_client_context());
        let accept_loop = spawn_local(accept_connections(clients.clone(), listener, phases));
        shared.start_reloader(control.reloads, discovery_address_changed);
        RunningNode { shared, ring_writer, clients, phase, event_loop, accept_loop }
    }

    fn log_serving(&self, local_address: SocketAddr) {
        let config = self.shared.live_config.get();
        info!(self.shared.log, "serving"; "listen" => %local_address, "discovery" => %config.discovery,
            "clients" => config.transport.max_client_connections,
            "servers" => config.transport.max_server_connections);
    }

    /// Performs a graceful shutdown, phase by phase.
    async fn shut_down(self) {
        let requested_at = Instant::now();
        let transport = self.shared.live_config.get().transport.clone();
        let deadline = requested_at + transport.shutdown_timeout;
        let connections = &self.shared.counters.connections;
        info!(self.shared.log, "stopping"; "open" => connections.clients_open.get());
        self.clients.begin_shutdown(deadline);
        // Sending fails only if the receiving tasks have ended. Then there is nothing left to shut down.
        let _ = self.shared.to_event_loop.send(Message::Shutdown { deadline }).await;
        let _ = self.phase.send(ShutdownPhase::HandingOver);
        sleep_until(requested_at + transport.handover_period).await;
        let _ = self.phase.send(ShutdownPhase::Closing);
        let _ = timeout(deadline.duration_since(Instant::now()), self.accept_loop).await;
        let last_deadline = deadline + LAST_CONNECTIONS_TIMEOUT;
        while connections.clients_open.get() > 0 && Instant::now() < last_deadline {
            // Clients that don't read their answers must not delay the exit beyond this deadline.
            let remaining = last_deadline.duration_since(Instant::now());
            let _ = timeout(remaining, self.clients.connection_closed()).await;
        }
        self.ring_writer.write_at_exit().await;
    }
}

impl Shared {
    fn start_discovery(
        &self,
        watches: WatchSupervisor<SocketAddr>,
        watch_requests: mpsc::Receiver<()>,
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
        spawn_local(discovery.run(watch_requests));
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
            clock_origin: self.clock_origin,
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
        ConnectionPools::new(
            self.live_config.clone(),
            self.to_event_loop.clone(),
            instruments,
            self.clock_origin,
        )
    }

    fn new_client_context(&self) -> ClientContext {
        let memory_limit = self.live_config.get().memory_limit;
        ClientContext::new(ClientServices {
            live_config: self.live_config.clone(),
            counters: self.counters.clone(),
            to_event_loop: self.to_event_loop.clone(),
            log: self.log.clone(),
            ready: self.ready.clone(),
            recorder: self.recorder.clone(),
            invariants: self.invariants.clone(),
            memory_budget: MemoryBudget::new(memory_limit, self.counters.clone()),
            pause_detector: self.pause_detector.clone(),
        })
    }

    fn start_reloader(&self, reloads: ReloadReceiver, discovery_address_changed: Rc<Notify>) {
        let reloader = Reloader {
            live_config: self.live_config.clone(),
            discovery_address_changed,
            counters: self.counters.clone(),
            log: self.log.clone(),
        };
        spawn_local(reloader.run(reloads));
    }
}

/// Creates the writer of the flight recorder's ring buffer, and starts its task if the recorder is enabled.
fn start_ring_writer(
    config: &Config,
    recorder: &Rc<Recorder>,
    log: &Logger,
    write_records: Rc<Notify>,
) -> Rc<RingWriter> {
    let ring_writer = Rc::new(RingWriter {
        settings: config.recorder.clone(),
        recorder: recorder.clone(),
        log: log.clone(),
    });
    if recorder.is_enabled() {
        spawn_local(ring_writer.clone().run(write_records));
    }
    ring_writer
}

/// Creates a host that starts with the endpoint list of the configuration file. That list may be stale.
fn new_host(config: &Config, counters: Rc<Counters>) -> Host {
    let deployment = Rc::new(config.deployment.clone());
    let host = Host::new(deployment, counters, config.seed, Micros(0));
    let mut host = host.with_body_keys(&config.names.wire.body_keys);
    host.endpoint_update(Micros(0), &config.initial_list, true);
    host
}

/// Creates the supervisor of the watches on the discovery service. No watch is open yet.
fn new_watches(config: &Config) -> WatchSupervisor<SocketAddr> {
    WatchSupervisor::new(config.discovery, config.initial_list.version)
}
