//! Tests of the host through its public functions, without sockets and with a simulated clock.

#[path = "../common/mod.rs"]
mod common;

mod attempts;
mod endpoints;
mod harness;
mod long_runs;
mod queries;
mod start_times;
