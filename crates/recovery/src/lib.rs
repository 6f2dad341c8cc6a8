//! The whole fleet back from a power loss: who may let its front node in, in which order, and what a member trusts from
//! before.
//!
//! Nothing here reads a clock or touches a socket or a file.
//!
//! | part | runs on | fed | decides |
//! | --- | --- | --- | --- |
//! | [`Recovery`] | every member, applying the replicated log | [`Command`]s and the release lease's token | whether the fleet was dark, which front nodes may be let in |
//! | [`Guide`] | the holder of the release lease | the replicated state, its own ticks | when the next stage may open |
//! | [`Gate`] | every member, for its own front node | the replicated state, whether there is a leader, its own ticks | let in, wait and why, or serve in safe mode |
//! | [`trust`] | every member | where a fact comes from | decide by it, only be more careful by it, or leave it |
//!
//! # The steps and their conditions
//!
//! | stage | who is let in | goes on when |
//! | --- | --- | --- |
//! | [`Stage::Counting`] | whoever serves already | a majority has said since the election how it stands: one that serves makes it [`Stage::Normal`], none [`Stage::Lists`] |
//! | [`Stage::Lists`] | nobody | a majority has discovery's list |
//! | [`Stage::Waves`] | the first so many of those present | all of them serve and index servers had `warm_ms` on the guide's clock; or ten times that |
//! | [`Stage::Normal`] | everybody | an election counts anew |
//!
//! Waves double, 1, 2, 4, until they grow by an eighth of the fleet (two at least) each. What a front node holds is
//! bounded, so what index servers get grows at most so. A front node that a wave let in is not shut out again while the
//! return lasts, but by its own start.

mod gate;
mod guide;
mod state;
pub mod trust;

pub use gate::{Gate, Verdict};
pub use guide::Guide;
pub use state::{Command, Outcome, Presence, Recovery, Stage};
