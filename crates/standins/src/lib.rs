//! Stand-ins for the outside systems of a front node, and the program under test.
//!
//! Written from the protocol page alone, with parsers of their own, so that a fault of the front node's parsers shows.
//! Everything listens on 127.0.0.1 at a port that the kernel picks, runs on threads of its own and ends with the
//! process. A library for tests and measurements, never a dependency of what is tested.
//!
//! | stand-in | what it does |
//! | --- | --- |
//! | [`Discovery`] | sends the endpoint list and its changes over watches, or fails to ([`DiscoveryBehavior`], [`WatchFault`]) |
//! | [`Server`] | an index server that answers at once, late, badly, or not at all ([`ServerBehavior`]) |
//! | [`ReservedAddress`] | an address at which connections are refused until a stand-in is started there |
//! | [`PendingAddress`] | an address at which connections come up a second late, or never |
//! | [`TimestampingServer`] | an index server with bounded parts in flight per connection, service times, drain and warm-up, that stops reading on demand and stamps each frame when it is read ([`WorkProfile`]) |
//! | [`Client`] | sends one query at a time |
//! | [`SmallDeployment`] | six index servers, discovery and a front node |
//! | [`settings`], [`config_json`] | a small deployment and its files |
//! | [`Load`] | a balancer and its clients: sends to the front nodes that are ready, checks each query for one answer |
//! | [`FrontNode`] | starts a front node, reads its log, sends it signals |

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
pub use clients::{query, Answer, Client};
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
