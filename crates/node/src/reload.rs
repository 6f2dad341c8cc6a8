//! Configuration reload on SIGHUP. The new configuration is applied as a whole, or rejected as a whole.

use crate::config::{file, LiveConfig, Revision};
use crate::counters::Counters;
use pinetrestle_settings::fields::{FieldError, Parsed};
use pinetrestle_system_calls::{is_transient_disk_error, is_transient_local_error};
use serde_json::Value;
use slog::{info, warn, Logger};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, Instant};

/// Time for which reading the file is retried after SIGHUP if this machine temporarily can't read it. The
/// signal is sent only once, so a temporary lack of file descriptors must not make the reload fail.
const RELOAD_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between two attempts to read the file.
const READ_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Receives each configuration file that was read for a reload: its JSON value, or the error of reading it.
pub type ReloadReceiver = mpsc::Receiver<Parsed<Value>>;

/// Installs the handler of SIGHUP. From then on SIGHUP doesn't terminate the process.
///
/// # Errors
/// The operating system doesn't allow this process to handle the signal.
pub(crate) fn install_reload_handler() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reads the configuration file at the path in `RELAY_CONFIG`. Retries for `timeout` if this machine
/// temporarily can't read files.
///
/// # Errors
/// `RELAY_CONFIG` is not set, or the file can't be read or is not JSON.
pub(crate) async fn read_config_file(timeout: Duration) -> Parsed<Value> {
    let path = file::path_from_environment()?;
    let deadline = Instant::now() + timeout;
    loop {
        match std::fs::read(&path) {
            Err(error) if is_transient(&error) && Instant::now() < deadline => sleep(READ_RETRY_DELAY).await,
            result => return file::parse(&path, result),
        }
    }
}

fn is_transient(error: &std::io::Error) -> bool {
    is_transient_local_error(error) || is_transient_disk_error(error)
}

/// Reads the configuration file on each SIGHUP and sends it to `files`, until the receiver is closed. Signals
/// that are received while the file is read cause one further read.
pub(crate) async fn read_config_on_signal(mut signals: Signal, files: mpsc::Sender<Parsed<Value>>) {
    while signals.recv().await.is_some() {
        let file = read_config_file(RELOAD_READ_TIMEOUT).await;
        if files.send(file).await.is_err() {
            return;
        }
    }
}

/// Applies each valid configuration file. An invalid file is rejected as a whole, and the current
/// configuration is kept.
pub(crate) struct Reloader {
    /// The current configuration.
    pub(crate) live_config: Rc<LiveConfig>,
    /// Notified when a reload changes the address of discovery.
    pub(crate) discovery_address_changed: Rc<Notify>,
    /// Counts applied and rejected reloads.
    pub(crate) counters: Rc<Counters>,
    /// Logs one line per reload.
    pub(crate) log: Logger,
}

impl Reloader {
    /// Applies files until the sender is dropped.
    pub(crate) async fn run(self, mut files: ReloadReceiver) {
        while let Some(file) = files.recv().await {
            let current = self.live_config.get();
            match file.and_then(|file| current.revised(&file)) {
                Ok(revision) => self.apply(revision),
                Err(error) => self.reject(&error),
            }
        }
    }

    fn apply(&self, revision: Revision) {
        let Revision { config, needs_restart } = revision;
        self.counters.node.reloads.increment();
        info!(self.log, "configuration reloaded"; "discovery" => %config.discovery,
            "clients" => config.transport.max_client_connections,
            "servers" => config.transport.max_server_connections,
            "needs_restart" => needs_restart.join(","));
        let discovery_address_changed = config.discovery != self.live_config.get().discovery;
        self.live_config.replace(config);
        if discovery_address_changed {
            self.discovery_address_changed.notify_one();
        }
    }

    fn reject(&self, error: &FieldError) {
        self.counters.node.reloads_rejected.increment();
        warn!(self.log, "configuration rejected"; "key" => &error.key, "error" => %error);
    }
}
