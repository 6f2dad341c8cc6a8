//! Why a front node can't start or can't go on.

use pinetrestle_operator::FileError;
use pinetrestle_protocol::names::WireNamesError;
use pinetrestle_settings::fields::FieldError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status of the program where one of its input files is missing or wrong.
const EXIT_BAD_INPUT: u8 = 2;

/// An error that ends a front node. The message names the file, key or address at fault.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The operating system did not provide what the async runtime needs, also after retries.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A file of names can't be read.
    #[error("{}: can't be read: {source}", path.display())]
    NamesFileUnreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// A file of names is not JSON.
    #[error("{}: is not JSON: {source}", path.display())]
    NamesFileNotJson {
        /// The file.
        path: PathBuf,
        /// The syntax error with line and column.
        source: serde_json::Error,
    },
    /// The file of names on the sockets has a value that is no name.
    #[error("{}: {source}", path.display())]
    WireNames {
        /// The file.
        path: PathBuf,
        /// The key at fault.
        source: WireNamesError,
    },
    /// The file of setting keys has a value that is no name.
    #[error("{}: {source}", path.display())]
    SettingKeys {
        /// The file.
        path: PathBuf,
        /// The key at fault.
        source: FieldError,
    },
    /// The configuration file is missing or wrong.
    #[error("configuration: {0}")]
    Configuration(#[source] FieldError),
    /// The flight recorder's operator file is missing or wrong.
    #[error(transparent)]
    RecorderFile(FileError),
    /// The address for clients could not be bound, also after retries.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The event loop has ended although it was not stopped: no query can be answered any more.
    #[error("the event loop has ended")]
    EventLoopEnded,
}

impl NodeError {
    /// The status with which the program exits for this error: 2 for input files, 1 for anything else.
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
