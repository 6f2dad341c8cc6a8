//! Classifies the errors of system calls, retries calls that fail temporarily, and limits how many calls in a
//! row a task makes for one peer ([`TaskBudget`]).
//!
//! An error of a socket call belongs to one of three kinds:
//!
//! * The call was interrupted by a signal and had no effect. It is retried immediately.
//! * This machine temporarily lacks a resource (ports, file descriptors, buffers, a route). The error gives
//!   no information about the peer. Calls that set up a socket are retried with backoff up to a deadline;
//!   reads and writes are retried after [`BUFFER_RETRY_DELAY`].
//! * The connection has failed. The error is returned to the caller.
//!
//! `docs/design/machine-faults.md` lists the calls.

#![warn(missing_docs)]

mod errors;
mod retry;
mod sockets;
mod task_budget;

pub use errors::{
    is_accept_resource_error, is_out_of_buffers, is_transient_disk_error, is_transient_local_error,
};
pub use retry::{retry_interrupted, retry_transient_errors};
pub use sockets::{connect, listen, read, write_all, BUFFER_RETRY_DELAY, STARTUP_TIMEOUT};
pub use task_budget::TaskBudget;
