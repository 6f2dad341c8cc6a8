//! A member of a fleet of front nodes, and the `pinetrestle fleet` program, which runs a member and sends
//! operators' commands to running members.
//!
//! The members of a fleet replicate their state with Raft. They coordinate releases of the front nodes,
//! drains of index servers, leases of fleet-wide tasks, and the return of the fleet from a power loss.
//! `pinetrestle-fleet`, `pinetrestle-rollout` and `pinetrestle-recovery` make the decisions, without I/O or a
//! clock; this crate carries them out.
//!
//! # Terms
//!
//! - *Front node*: the process that receives the clients' queries and sends their parts to index servers. A
//!   member runs at most one front node, as a separate process.
//! - *Index server*: a process that holds some shards of the search index. The front node's crates call it a
//!   *replica* of its shards.
//! - *Discovery*: the service that publishes the *endpoint list*, the list of index servers. A member's
//!   *relay* passes the list on to its front node, with the fleet's drains applied.
//! - *Lease*: the right of one member to act on a task, limited in time. The holder of the *release lease*
//!   coordinates releases.
//! - *Incarnation*: the count of a member's starts, kept on its disk.
//!
//! # Modules
//!
//! | module | content |
//! | --- | --- |
//! | [`cli`], [`status_report`] | the `fleet` program: its command line and its output |
//! | [`client`] | the requests of the `fleet` program to a member |
//! | [`config`] | the configuration file of a member |
//! | [`runtime`] | the main loop of a member |
//! | [`member`] | steps Raft, applies committed entries, acquires leases and acts under them |
//! | [`rollout`] | runs drains, releases and the recovery from a power loss at one member |
//! | [`state_machine`] | the replicated state and the log entries that change it |
//! | [`raft_storage`] | Raft's log, hard state and snapshot, stored by `pinetrestle-store` |
//! | [`wire`], [`status`], [`transport`] | the wire format, the status report, the sockets of a member |
//! | `inbound_connections` | the limits on accepted connections |
//! | [`local_services`] | the services that run beside a member in its process |
//! | [`front_node_process`] | starts, stops and polls the front node's process |
//! | [`relay`] | the endpoint list that the front node watches |
//! | [`http_client`] | HTTP requests to the front node and to discovery |
//! | [`task_sink`] | a stand-in for the service on which lease holders act; it checks fencing tokens |
//! | [`error`], [`logging`] | the error type of this crate, structured logs |
//!
//! A front node does not start a member, and `run` in `deploy/balancer.toml` does not start one either: the
//! platform allows a front node no further listeners and no disk. See `docs/fleet.md`.

#![warn(missing_docs)]

pub mod cli;
pub mod client;
pub mod config;
pub mod error;
pub mod front_node_process;
pub mod http_client;
mod inbound_connections;
pub mod local_services;
pub mod logging;
pub mod member;
pub mod raft_storage;
pub mod relay;
pub mod rollout;
pub mod runtime;
pub mod state_machine;
pub mod status;
pub mod status_report;
pub mod task_sink;
pub mod transport;
pub mod wire;
