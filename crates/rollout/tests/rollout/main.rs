//! Tests of the single parts of the crate: commands on releases and on index servers, the agent, the
//! coordinator and the failure detector.

mod agent;
mod coordinator;
mod failure_detector;
mod fleet;
mod releases;
mod server_drains;
