//! The command line of the `pinetrestle` program, which has one group of subcommands: `fleet`.
//!
//! Exit codes:
//!
//! - 0: success.
//! - 1: the member could not be reached or did not answer in time, a member or task sink could not run, or a
//!   file could not be written.
//! - 2: the command line or the configuration file is invalid. Nothing was changed.
//! - 3: the member rejected the command.

mod arguments;
mod error;
mod output;
mod request;

use crate::config::FleetConfig;
use crate::local_services::LocalServices;
use crate::wire::Request;
use crate::{logging, runtime, task_sink};
use arguments::{CommandGroup, CommandLine, FleetCommand, LeaseCommand};
use clap::Parser;
use error::{CommandError, EXIT_FAILED};
use output::StatusForm;
use pinetrestle_rollout::Command;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Parses the program's arguments, runs the command and returns the exit code.
pub fn main() -> ExitCode {
    let CommandGroup::Fleet(command) = CommandLine::parse().group;
    let result = start_runtime().and_then(|runtime| {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, run(command))
    });
    result.unwrap_or_else(|error| {
        eprintln!("pinetrestle: {error}");
        error.exit_code()
    })
}

fn start_runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CommandError::Runtime)
}

async fn run(command: FleetCommand) -> Result<ExitCode, CommandError> {
    match command {
        FleetCommand::Up { config } => return Ok(run_member(read_config(&config)?).await),
        FleetCommand::Check { config } => {
            read_config(&config)?;
        }
        FleetCommand::Status(target) => request::print_status(&target, StatusForm::Table).await?,
        FleetCommand::Explain(target) => request::print_status(&target, StatusForm::Explanation).await?,
        FleetCommand::Recover(target) => request::print_status(&target, StatusForm::Recovery).await?,
        FleetCommand::Lease(LeaseCommand::Acquire { task, target }) => {
            request::send(&target, Request::SetWanted { task, wanted: true }).await?;
        }
        FleetCommand::Lease(LeaseCommand::Release { task, target }) => {
            request::send(&target, Request::SetWanted { task, wanted: false }).await?;
        }
        FleetCommand::Release { version, options } => {
            request::send_rollout(options, |id| Command::Release { id, to_version: version }).await?;
        }
        FleetCommand::Halt { reason, options } => {
            request::send_rollout(options, |id| Command::Halt { id, reason }).await?;
        }
        FleetCommand::Resume { options } => {
            request::send_rollout(options, |id| Command::Resume { id }).await?;
        }
        FleetCommand::Rollback { options } => {
            request::send_rollout(options, |id| Command::Rollback { id }).await?;
        }
        FleetCommand::Drain { server, options } => {
            request::send_rollout(options, |id| Command::DrainServer { id, server }).await?;
        }
        FleetCommand::Return { server, options } => {
            request::send_rollout(options, |id| Command::ReturnServer { id, server }).await?;
        }
        FleetCommand::Sink { listen, record } => run_sink(listen, record).await?,
    }
    Ok(ExitCode::SUCCESS)
}

fn read_config(path: &Path) -> Result<FleetConfig, CommandError> {
    Ok(pinetrestle_operator::read(path)?)
}

/// Returns the address of the member to which the configuration file belongs.
fn own_address(config: &FleetConfig) -> SocketAddr {
    config
        .address_of(config.id)
        .unwrap_or_else(|| unreachable!("a validated configuration contains its own member"))
}

/// Runs one member until its process ends or it fails. Failures are logged.
async fn run_member(config: FleetConfig) -> ExitCode {
    let log = logging::logger(config.id);
    let listen = own_address(&config);
    let peers = config
        .peers
        .iter()
        .filter(|peer| peer.id != config.id)
        .filter_map(|peer| Some((peer.id, config.dial_address_of(peer.id)?)))
        .collect();
    let services = match LocalServices::start(&config, &log).await {
        Ok(services) => services,
        Err(error) => {
            slog::error!(log, "member could not start"; "error" => %error);
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let sink = config.sink;
    let tick = Duration::from_millis(config.tick_ms);
    match runtime::run(config, listen, peers, sink, tick, services, log.clone()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            slog::error!(log, "member stopped"; "error" => %error);
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs a stand-in task sink that writes its record to the file `record`, or to standard output.
async fn run_sink(listen: SocketAddr, record: Option<PathBuf>) -> Result<(), CommandError> {
    let record: Box<dyn Write> = match record {
        Some(path) => {
            let file = File::create(&path).map_err(|source| CommandError::Record { path, source })?;
            Box::new(file)
        }
        None => Box::new(std::io::stdout()),
    };
    task_sink::run(listen, record).await.map_err(CommandError::Sink)
}
