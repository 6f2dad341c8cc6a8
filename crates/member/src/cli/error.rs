//! The errors of the `pinetrestle` program's commands and their exit codes.

use crate::error::MemberError;
use pinetrestle_operator::FileError;
use std::path::PathBuf;
use std::process::ExitCode;

/// Why a command failed. The program prints the message to standard error.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    /// The Tokio runtime could not be started.
    #[error("can't start the asynchronous runtime: {0}")]
    Runtime(std::io::Error),
    /// The configuration file is invalid or could not be read.
    #[error(transparent)]
    ConfigFile(#[from] FileError),
    /// The command line does not say to which member the command goes.
    #[error("no member is given: use --config FILE or --at ADDR")]
    NoTarget,
    /// The member could not be reached or did not answer in time.
    #[error(transparent)]
    Request(MemberError),
    /// The member rejected the command.
    #[error("refused: {0}")]
    Rejected(String),
    /// The member takes no part in releases, so its status has no section on recovery.
    #[error("this member takes no part in releases: its configuration file has no rollout section")]
    NotInRollout,
    /// The file for the task sink's record could not be created.
    #[error("{}: {source}", path.display())]
    Record {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The task sink could not bind its address or write its record.
    #[error("task sink failed: {0}")]
    Sink(std::io::Error),
}

/// Exit code if a member could not be reached, did not answer in time or could not run, or if a file could
/// not be written.
pub(super) const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line or configuration file; nothing was changed. `clap` uses the same
/// code.
const EXIT_USAGE: u8 = 2;
/// Exit code if the member rejected the command.
const EXIT_REJECTED: u8 = 3;

impl CommandError {
    /// Returns the exit code of the program for this error.
    pub(super) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Runtime(_)
            | CommandError::Request(_)
            | CommandError::Record { .. }
            | CommandError::Sink(_) => EXIT_FAILED,
            CommandError::ConfigFile(_) | CommandError::NoTarget => EXIT_USAGE,
            CommandError::Rejected(_) | CommandError::NotInRollout => EXIT_REJECTED,
        })
    }
}
