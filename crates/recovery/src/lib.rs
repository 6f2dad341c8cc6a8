//! The return of a complete fleet from a power loss: which front nodes may start, in which order, and which
//! facts from before the loss a member may use.
//!
//! The crate is sans-I/O: nothing here reads a clock or touches a socket or a file. Times are milliseconds of
//! the caller's monotonic clock.
//!
//! | part | runs on | input | decides |
//! | --- | --- | --- | --- |
//! | [`RecoveryState`] | every member, applying the replicated log | [`Command`]s and the release lease's token | whether the fleet was without service, which front nodes are admitted |
//! | [`RecoveryCoordinator`] | the holder of the release lease | the replicated state, its own ticks | when the next stage may open |
//! | [`AdmissionController`] | every member, for its own front node | the replicated state, whether a leader is known, its own ticks | admit, wait and why, or admit in safe mode |
//! | [`stale_state`] | every member | where a fact comes from | decide by it, use it for caution only, or ignore it |
//!
//! # The stages and their conditions
//!
//! | stage | who is admitted | left when |
//! | --- | --- | --- |
//! | [`RecoveryStage::CountingMembers`] | front nodes that serve already | a majority has reported since the election: if any serves, [`RecoveryStage::Normal`], else [`RecoveryStage::AwaitingEndpointLists`] |
//! | [`RecoveryStage::AwaitingEndpointLists`] | none | a majority has discovery's endpoint list |
//! | [`RecoveryStage::Waves`] | the first so many of the members present | all of them serve and `warm_ms` have passed on the coordinator's clock; or ten times that |
//! | [`RecoveryStage::Normal`] | all | an election counts anew |
//!
//! Waves double, 1, 2, 4, until they grow by an eighth of the fleet (two at least) each. What a front node
//! has in flight is bounded, so the load on the index servers grows by no more than that. A front node that a
//! wave admitted stays admitted until its own restart, while the return lasts.

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
