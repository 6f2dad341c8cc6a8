//! Decision core of a front node for a sharded search service.
//!
//! A front node receives queries from clients, sends their parts to replicas of the search index and answers
//! the clients. This crate decides what is sent where, what is retried and what is rejected. It does no I/O
//! and reads no clock: the host program passes batches of [`interface::Event`]s with the current time to
//! [`FrontNode::handle`] and carries out the [`interface::Action`]s that it gets in return.
//!
//! # Terms
//!
//! - *Query*: a request of a client. A *try* is one submission of the query; a client may retry a query.
//! - *Step*: a query has one or two steps, which are answered one after the other.
//! - *Part*: the work of a step on one shard of the index.
//! - *Weight*: the share of a step's answer that a part contributes.
//! - *Work*: the processing time of a part at a replica, as time of one core.
//! - *Replica*: an index server process that holds some of the shards.
//! - *Cell*: a group of replicas that hold the same shards.
//! - *Attempt*: one part sent once to one replica. A further attempt of a part is a *retry*, and a *hedged
//!   request* if an earlier one is still in flight.
//! - *Call*: one message to a replica; it carries one part or, where the deployment allows it, several.
//! - *Extra part*: one part more than a step needs, sent so that the step need not wait for its slowest part.
//! - *Batch*: the events that the host delivers with one call of [`FrontNode::handle`].
//!
//! # Modules
//!
//! - [`interface`]: settings, events and actions, as plain data.
//! - `front_node` (private): all decisions, one submodule for each subsystem.
//! - `state` (private): the data that the decisions are based on.
//! - `numeric` (private): arithmetic without decisions, such as decaying counters, quantiles and a seeded
//!   random number generator.
#![warn(missing_docs)]

mod front_node;
pub mod interface;
mod numeric;
mod state;

pub use front_node::FrontNode;
