//! Recovery of a whole fleet from a power loss: which front nodes may start, in which order, and which state
//! from before the power loss a member may use.
//!
//! If all front nodes started at once, all the load that clients held back would reach the index servers
//! together. So the front nodes are admitted in waves of increasing size.
//!
//! The crate is sans-I/O: nothing here reads a clock or touches a socket or a file. Times are milliseconds of
//! the caller's monotonic clock.
//!
//! | type or module | runs on | input | decides |
//! | --- | --- | --- | --- |
//! | [`RecoveryState`] | every member, which applies the replicated log | [`Command`]s and the token of the release lease | whether no front node was serving, which front nodes are admitted |
//! | [`RecoveryCoordinator`] | the holder of the release lease | the replicated state, time | when the next stage begins |
//! | [`AdmissionController`] | every member, for its own front node | the replicated state, whether a leader is known, time | whether the front node may start, has to wait, or may start in safe mode |
//! | [`stale_state`] | every member | the kind of a state and where it comes from | whether to decide by it, to use it for caution only, or to ignore it |
//!
//! # Stages
//!
//! | stage | admitted front nodes | ends when |
//! | --- | --- | --- |
//! | [`RecoveryStage::CountingMembers`] | those that serve already | a majority of members has reported since the election; the next stage is [`RecoveryStage::Normal`] if any front node serves, else [`RecoveryStage::AwaitingEndpointLists`] |
//! | [`RecoveryStage::AwaitingEndpointLists`] | those that serve already | a majority of members has received discovery's endpoint list |
//! | [`RecoveryStage::Waves`] | as many of the present members as the size of the wave | all admitted front nodes serve and the minimum duration of a wave has passed on the coordinator's clock, or ten times that duration (at least 10 s) has passed |
//! | [`RecoveryStage::Normal`] | all | a leader is elected, and the members are counted again |
//!
//! The size of the waves doubles (1, 2, 4) until doubling would add more than an eighth of the fleet (or two
//! front nodes, if that is more); then each wave adds that many. The number of queries that a front node has
//! in flight is bounded, so the load on the index servers grows by no more than that number per added front
//! node. A front node that a wave has admitted stays admitted until its member restarts, as long as the
//! recovery lasts.

#![warn(missing_docs)]

mod admission;
mod command;
mod coordinator;
pub mod stale_state;
mod state;

pub use admission::{AdmissionController, AdmissionDecision, WaitReason};
pub use command::{Command, Outcome, Presence, RecoveryStage};
pub use coordinator::RecoveryCoordinator;
pub use state::RecoveryState;
