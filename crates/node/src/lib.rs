//! The front node: a load balancer that answers queries of clients by sending the parts of each query to
//! index servers. The decisions are made by the decision core, the crate `pinetrestle`. This crate connects
//! the decision core to the network.
//!
//! The decision core calls an index server a *replica*. A *call* is one message to an index server; it
//! carries one part or several.
//!
//! A program can embed a front node with [`serve()`]. The program `pinetrestle-node` only calls
//! [`main_from_environment`].
//!
//! All code runs on one thread, as tasks of one [`LocalSet`](tokio::task::LocalSet) that exchange messages
//! through bounded channels:
//!
//! - `event_loop` owns the [`host::Host`], which wraps the decision core and does no I/O. It passes the
//!   messages of the other tasks to the host and executes the commands that the host returns.
//! - `clients` accepts and serves client connections.
//! - `upstream` manages the connections to index servers.
//! - `memory_budget` limits the memory of large messages, and `stalled_peers` revokes what peers hold that stop in
//!   the middle of a message.
//! - `discovery` watches the endpoint list, which contains the addresses of the index servers.
//! - `serve` starts these tasks and performs a graceful shutdown. `shutdown` defines the phases of the
//!   shutdown.
//! - `reload` applies changed configuration files ([`config`]) while the front node serves.
//! - `program` adds the command line, environment, signal handlers and exit status of the program.
//! - [`counters`], [`log`], [`flight_recorder`], `invariants` and [`close_reason`] tell operators what the
//!   front node does and which faults it has detected.

#![warn(missing_docs)]

mod arguments;
mod clients;
pub mod close_reason;
pub mod config;
pub mod counters;
mod deadline;
mod discovery;
mod error;
mod event_loop;
pub mod flight_recorder;
pub mod host;
mod invariants;
pub mod log;
mod memory_budget;
mod messages;
mod pause_detector;
mod program;
mod reload;
mod serve;
mod shutdown;
mod stalled_peers;
mod upstream;

pub use config::Config;
pub use error::NodeError;
pub use program::main_from_environment;
pub use reload::ReloadReceiver;
pub use serve::{serve, serve_with_control, ControlChannels};
