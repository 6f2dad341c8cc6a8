//! Stand-ins for the systems around a front node, and handles to front node processes under test.
//!
//! The stand-ins are written from the protocol's documentation alone and have their own parsers, so that an
//! error in the front node's parsers is detected instead of being repeated here. Every stand-in listens on
//! 127.0.0.1 at a port chosen by the kernel, runs on its own threads and ends with the process. The library
//! is for tests and measurements; the software under test must never depend on it.
//!
//! A *query* is a client's HTTP request. The front node splits it into *parts*, one per shard, and sends them
//! to index servers in *calls*: a call is one frame with one or more parts. An index server, or *server* for
//! short, is a replica of the shards of its cell.
//!
//! - [`Discovery`]: a discovery service that sends the endpoint list and its changes to watches, or fails on
//!   demand ([`DiscoveryBehavior`], [`WatchFault`]).
//! - [`Server`]: an index server that answers immediately, late, incorrectly or not at all
//!   ([`ServerBehavior`]).
//! - [`TimestampingServer`]: an index server that records when it read each frame, and that can stop reading.
//!   Concurrency limit, service times, drain and warm-up are set by its [`WorkProfile`].
//! - [`ReservedAddress`]: an address that refuses connections until a stand-in is started there.
//! - [`PendingAddress`]: an address at which connection attempts stay pending until a server is started
//!   there.
//! - [`Client`]: a client connection to a front node.
//! - [`Load`]: a load balancer with its clients, which sends queries to the front nodes that are ready and
//!   records each outcome.
//! - [`FrontNode`]: a front node process, with its log and signals.
//! - [`SmallDeployment`]: six index servers, discovery and a front node; its settings and configuration file
//!   come from [`settings`] and [`config_json`].

#![warn(missing_docs)]

mod addresses;
mod clients;
mod deployment;
mod discovery;
mod front_node;
mod load;
mod received_part;
mod server_behavior;
mod servers;
mod shared;
mod small_deployment;
mod timestamping_server;

pub use addresses::{PendingAddress, ReservedAddress};
pub use clients::{query, Answer, Client, Query};
pub use deployment::{config_json, endpoint_list, entries, entries_at, settings, with_setting_aliases};
pub use discovery::{Discovery, DiscoveryBehavior, WatchFault};
pub use front_node::{failed_start, failed_start_with_env, log_field, FrontNode, FrontNodeWithUnreadLog};
pub use load::{p99_ms, query_once, wall_us, Load, QueryRecord};
pub use received_part::ReceivedPart;
pub use server_behavior::ServerBehavior;
pub use servers::Server;
pub use shared::{entry, eventually, WAIT_LIMIT};
pub use small_deployment::SmallDeployment;
pub use timestamping_server::{ReceivedFrame, TimestampingServer, WarmUp, WorkProfile};
