//! The command line arguments of `pinetrestle-node`.

use clap::Parser;
use std::path::PathBuf;

/// Runs one front node. The environment variable RELAY_CONFIG is the path of its configuration file.
#[derive(Debug, Parser)]
#[command(name = "pinetrestle-node", version)]
pub(crate) struct Arguments {
    /// Operator file of the flight recorder (JSON5). Without it nothing is recorded.
    #[arg(long, value_name = "FILE")]
    pub(crate) recorder: Option<PathBuf>,
    /// Names file (JSON) with the deployment's header fields, paths, JSON keys and frame format. Names that it
    /// does not contain have the default names of the wire protocol.
    #[arg(long, value_name = "FILE")]
    pub(crate) names: Option<PathBuf>,
    /// Wire description (JSON) whose object `init` contains the deployment's names of settings keys. Without
    /// it the settings have the canonical keys, such as `hard_limit`.
    #[arg(long = "words", value_name = "FILE")]
    pub(crate) settings_names: Option<PathBuf>,
}
