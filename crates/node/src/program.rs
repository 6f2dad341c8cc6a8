//! The program `pinetrestle-node`: command line, environment, signal handlers, log and exit status.

use crate::arguments::Arguments;
use crate::config::{Config, DeploymentNames};
use crate::counters::Counters;
use crate::error::NodeError;
use crate::flight_recorder::{forward_write_signal, RecorderSettings};
use crate::log::{logger, FINAL_FLUSH_TIMEOUT};
use crate::reload::{install_reload_handler, read_config_file, read_config_on_signal};
use crate::serve::{serve_with_control, ControlChannels};
use crate::shutdown::TerminationSignals;
use clap::Parser;
use pinetrestle_system_calls::{is_transient_local_error, STARTUP_TIMEOUT};
use slog::{error, info, warn, Logger};
use std::io;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{timeout, Instant};

/// Delay between two attempts to build the runtime.
const RUNTIME_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Runs the program and returns its exit status.
///
/// The configuration file is found through the environment variable `RELAY_CONFIG`. The log is written to
/// standard output. SIGHUP reloads the configuration, SIGUSR1 writes out the ring buffer of the flight
/// recorder, and SIGTERM or SIGINT stops the program gracefully.
pub fn main_from_environment() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = match build_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return report_startup_error(&error),
    };
    let code = LocalSet::new().block_on(&runtime, run(arguments));
    // Doesn't wait for a blocked write to standard output: a log reader that has stalled must not delay the
    // exit.
    runtime.shutdown_background();
    code
}

/// Prints an error that occurs before logging is set up, and returns the exit status for it.
fn report_startup_error(error: &NodeError) -> ExitCode {
    eprintln!("pinetrestle-node: {error}");
    error.exit_code()
}

/// Builds the async runtime. Retries for [`STARTUP_TIMEOUT`] while this machine lacks file descriptors or
/// memory.
fn build_runtime() -> Result<Runtime, NodeError> {
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    loop {
        match Builder::new_current_thread().enable_all().max_blocking_threads(1).build() {
            Err(error) if is_transient_local_error(&error) && Instant::now() < deadline => {
                std::thread::sleep(RUNTIME_RETRY_DELAY);
            }
            result => return result.map_err(NodeError::Runtime),
        }
    }
}

/// The signal handlers of the program. They are installed before anything else is done, so that none of the
/// signals terminates the process by its default action.
struct SignalHandlers {
    reload: io::Result<Signal>,
    termination: io::Result<TerminationSignals>,
    /// Notified on SIGUSR1.
    write_records: Rc<Notify>,
}

impl SignalHandlers {
    fn install() -> SignalHandlers {
        let reload = install_reload_handler();
        let termination = TerminationSignals::install();
        let write_records: Rc<Notify> = Rc::default();
        spawn_local(forward_write_signal(write_records.clone()));
        SignalHandlers { reload, termination, write_records }
    }
}

async fn run(arguments: Arguments) -> ExitCode {
    let signals = SignalHandlers::install();
    let config = match read_configuration(&arguments).await {
        Ok(config) => config,
        Err(error) => return report_startup_error(&error),
    };
    let counters = Rc::new(Counters::new(&config.deployment.classes));
    let (log, writer) = logger(&config.name);
    let end_of_log = Rc::new(Notify::new());
    let log_writer = spawn_local(writer.run(counters.clone(), end_of_log.clone()));
    let code = serve_and_log(config, signals, &log, counters).await;
    end_of_log.notify_one();
    // If the log reader has stalled, the remaining lines are lost.
    let _ = timeout(FINAL_FLUSH_TIMEOUT, log_writer).await;
    code
}

/// Reads the configuration file and the files given on the command line.
async fn read_configuration(arguments: &Arguments) -> Result<Config, NodeError> {
    let names = DeploymentNames::from_files(arguments.names.as_deref(), arguments.settings_names.as_deref())?;
    let file = read_config_file(STARTUP_TIMEOUT).await;
    let mut config = file
        .and_then(|file| Config::from_json_with_names(&file, &names))
        .map_err(NodeError::Configuration)?;
    if let Some(path) = &arguments.recorder {
        config.recorder =
            pinetrestle_operator::read::<RecorderSettings>(path).map_err(NodeError::RecorderFile)?;
    }
    Ok(config)
}

/// Serves until a termination signal is received. Logs the final counters, or the error that ended the front
/// node.
async fn serve_and_log(
    config: Config,
    signals: SignalHandlers,
    log: &Logger,
    counters: Rc<Counters>,
) -> ExitCode {
    let SignalHandlers { reload, termination, write_records } = signals;
    let address = config.listen;
    let (files, reloads) = mpsc::channel(1);
    match reload {
        Ok(signal) => drop(spawn_local(read_config_on_signal(signal, files))),
        Err(error) => warn!(log, "can't handle SIGHUP; configuration reload is disabled"; "error" => %error),
    }
    let stop = async {
        match termination {
            Ok(signals) => signals.received().await,
            // Without signal handlers the front node serves until it is killed.
            Err(_) => std::future::pending().await,
        }
    };
    let control = ControlChannels { reloads, write_records };
    match serve_with_control(config, control, log.clone(), counters.clone(), stop).await {
        Ok(()) => {
            info!(log, "counters"; "at" => "exit", "all" => counters.report().to_string());
            ExitCode::SUCCESS
        }
        Err(error) => {
            error!(log, "front node stopped because of an error"; "listen" => %address, "error" => %error);
            error.exit_code()
        }
    }
}
