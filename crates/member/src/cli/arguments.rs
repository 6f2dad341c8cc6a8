//! The arguments of the `pinetrestle` program. The doc comments on commands and arguments are the text of
//! `--help`.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Manages a fleet of front nodes: its members, leases, releases, drains and recovery.
#[derive(Debug, Parser)]
#[command(name = "pinetrestle", version)]
pub struct CommandLine {
    #[command(subcommand)]
    pub(super) group: CommandGroup,
}

#[derive(Debug, Subcommand)]
pub(super) enum CommandGroup {
    /// Commands on the fleet of front nodes.
    #[command(subcommand)]
    Fleet(FleetCommand),
}

#[derive(Debug, Subcommand)]
pub(super) enum FleetCommand {
    /// Runs one member in the foreground until the process is ended.
    Up {
        /// The member's configuration file (JSON5).
        #[arg(long)]
        config: PathBuf,
    },
    /// Checks a member's configuration file. Prints the first error, or nothing if the file is valid.
    Check {
        /// The member's configuration file (JSON5).
        #[arg(long)]
        config: PathBuf,
    },
    /// Shows the state of the fleet as one member knows it: Raft role, leader and term; leases with holder,
    /// fencing token and time left; drains, releases and recovery.
    Status(Target),
    /// Explains which member holds the lease on each task and why, and what a release, a drain or the
    /// recovery waits for.
    Explain(Target),
    /// Shows the stage of the fleet's recovery from a power loss, and why the member's front node waits.
    Recover(Target),
    /// Makes a member acquire or release the lease on a task.
    #[command(subcommand)]
    Lease(LeaseCommand),
    /// Updates all front nodes to VERSION: canaries first, then the others, within the limits on unavailable
    /// front nodes.
    Release {
        /// The version, by its name in each member's configuration file.
        version: String,
        #[command(flatten)]
        options: RolloutOptions,
    },
    /// Halts releases and drains in the whole fleet at once: no new step begins until `resume` or `rollback`.
    Halt {
        /// The reason, which `status` shows.
        #[arg(long = "why", value_name = "WHY", default_value = "asked by an operator")]
        reason: String,
        #[command(flatten)]
        options: RolloutOptions,
    },
    /// Ends a halt. Failed steps are retried.
    Resume {
        #[command(flatten)]
        options: RolloutOptions,
    },
    /// Updates all front nodes back to the last good version, in the same way as a release. Ends a halt.
    Rollback {
        #[command(flatten)]
        options: RolloutOptions,
    },
    /// Drains an index server for all front nodes, if the limits on unavailable index servers allow it.
    Drain {
        /// The name of the index server in discovery.
        server: String,
        #[command(flatten)]
        options: RolloutOptions,
    },
    /// Returns a drained index server to service, in stages in which more and more front nodes send to it.
    Return {
        /// The name of the index server in discovery.
        server: String,
        #[command(flatten)]
        options: RolloutOptions,
    },
    /// Runs a stand-in task sink, which rejects actions with a stale fencing token and records each action.
    Sink {
        /// The address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// The file to record the actions in, one line of JSON each. Standard output by default.
        #[arg(long)]
        record: Option<PathBuf>,
    },
}

#[derive(Debug, Subcommand)]
pub(super) enum LeaseCommand {
    /// Makes the member request the lease on TASK, and renew it until `release`.
    Acquire {
        /// The name of the task.
        task: String,
        #[command(flatten)]
        target: Target,
    },
    /// Makes the member release the lease on TASK, and no longer request it.
    Release {
        /// The name of the task.
        task: String,
        #[command(flatten)]
        target: Target,
    },
}

/// Options of the commands on drains and releases, which any member accepts.
#[derive(Debug, Args)]
pub(super) struct RolloutOptions {
    /// The idempotency key of the command. A command that is repeated with the same key has no further effect
    /// and gets the same answer. Random by default.
    #[arg(long)]
    pub(super) id: Option<String>,
    #[command(flatten)]
    pub(super) target: Target,
}

/// The member to which a command goes, and how the response is printed.
#[derive(Debug, Args)]
pub(super) struct Target {
    /// The member's configuration file, from which its address is taken.
    #[arg(long)]
    pub(super) config: Option<PathBuf>,
    /// The member's address, which takes precedence over the one in the file.
    #[arg(long)]
    pub(super) at: Option<SocketAddr>,
    /// Prints JSON instead of text.
    #[arg(long)]
    pub(super) json: bool,
    /// Maximum time to wait for the response, in seconds.
    #[arg(long, default_value_t = 12)]
    pub(super) wait: u64,
}
