//! Errors that prevent a front node from starting or from continuing.

use pinetrestle_operator::FileError;
use pinetrestle_protocol::names::WireNamesError;
use pinetrestle_settings::fields::FieldError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status of the program if one of its input files is missing or invalid.
const EXIT_BAD_INPUT: u8 = 2;

/// An error that ends a front node. The message contains the file, key or address that caused the error.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The operating system did not provide the resources for the async runtime, even after retries.
    #[error("can't start the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The file given by `--names` or `--words` can't be read.
    #[error("{}: can't be read: {source}", path.display())]
    NamesFileUnreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file given by `--names` or `--words` is not JSON.
    #[error("{}: is not JSON: {source}", path.display())]
    NamesFileNotJson {
        /// The path of the file.
        path: PathBuf,
        /// The syntax error, with line and column.
        source: serde_json::Error,
    },
    /// The file given by `--names` contains an invalid name.
    #[error("{}: {source}", path.display())]
    WireNames {
        /// The path of the file.
        path: PathBuf,
        /// The invalid key, and the problem.
        source: WireNamesError,
    },
    /// The file given by `--words` contains an invalid name, or lacks the object `init`.
    #[error("{}: {source}", path.display())]
    SettingKeys {
        /// The path of the file.
        path: PathBuf,
        /// The invalid key, and the problem.
        source: FieldError,
    },
    /// The configuration file is missing or invalid.
    #[error("configuration: {0}")]
    Configuration(#[source] FieldError),
    /// The operator file of the flight recorder is missing or invalid.
    #[error(transparent)]
    RecorderFile(FileError),
    /// The address for client connections could not be bound, even after retries.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address `listen` of the configuration.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The event loop has ended without a request to stop. Queries can't be answered any more.
    #[error("the event loop ended unexpectedly")]
    EventLoopEnded,
}

impl NodeError {
    /// Returns the exit status of the program for this error: 2 for an invalid input file, 1 for other
    /// errors.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            NodeError::NamesFileUnreadable { .. }
            | NodeError::NamesFileNotJson { .. }
            | NodeError::WireNames { .. }
            | NodeError::SettingKeys { .. }
            | NodeError::Configuration(_)
            | NodeError::RecorderFile(_) => ExitCode::from(EXIT_BAD_INPUT),
            NodeError::Runtime(_) | NodeError::Listen { .. } | NodeError::EventLoopEnded => ExitCode::FAILURE,
        }
    }
}
