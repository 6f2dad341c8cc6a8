//! The program's command line.

use clap::Parser;
use std::path::PathBuf;

/// One front node. Its configuration is named by RELAY_CONFIG.
#[derive(Debug, Parser)]
#[command(name = "pinetrestle-node", version)]
pub(crate) struct Arguments {
    /// Operator file of the flight recorder, JSON5; without it nothing is recorded.
    #[arg(long, value_name = "FILE")]
    pub(crate) recorder: Option<PathBuf>,
}
