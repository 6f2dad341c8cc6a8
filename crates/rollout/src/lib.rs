//! Rolling releases and drains of a fleet: which units (front nodes and index servers) may be unavailable at
//! the same time, which front node is updated next, and when everything is halted.
//!
//! The crate is sans-I/O: nothing here reads a clock or touches a socket, a file or a process. Times are
//! milliseconds of the calling process's monotonic clock and are never sent to another process.
//!
//! | type | runs on | input | decides |
//! | --- | --- | --- | --- |
//! | [`RolloutState`] | every member, which applies the replicated log in order | [`Command`]s with their log index and the token of the release lease | slots, the results of steps, halts: identical on every member |
//! | [`RolloutCoordinator`] | the holder of the release lease | the replicated state, time | for which front node to propose a slot next, which step has exceeded its time limit, when to open the next stage of a ramp |
//! | [`Agent`] | every member, for its own front node | the replicated state, the front node's status, time | when to stop and start the front node, what to report |
//! | [`FailureDetector`] | the leader of the replicated log | the members from which it receives messages, time | which members to declare unreachable |
//!
//! Terms used throughout the crate:
//!
//! - A **release** updates all front nodes to a new version; the update of one front node is a **step**: stop
//!   the previous version, start the target version, observe it, and report success or failure.
//! - A **slot** is the permission for one front node's step. It is granted within the [`Budget`].
//! - A **node** is a front node, identified by the [`MemberId`](pinetrestle_fleet::MemberId) of the member
//!   that runs it; a **server** is an index server, identified by its name in discovery.
//! - A **drain** stops all front nodes from sending to an index server; when the server returns, a **ramp**
//!   opens it to more and more front nodes in stages.
//! - A unit is **unavailable** if it counts against its budget; the status report prints such units as
//!   "away".
//!
//! # Why the budget is never exceeded
//!
//! 1. A front node is only stopped by its own agent, and only under a slot whose step the log shows as
//!    **begun**. A slot is granted ([`Command::GrantSlot`]) only if all unavailable units, including the one
//!    that gets the slot, are within the budget. The unavailable units form one set, so no unit is counted
//!    twice.
//! 2. Once a step has begun, only the agent itself ends its slot ([`Command::StepFinished`],
//!    [`Command::StepFailed`]): no time-out, lease or halt revokes the slot of a front node that may be down.
//!    A slot whose step has not begun is revoked by a halt or when its time limit is exceeded; a late
//!    [`Command::BeginStep`] then finds no slot and is refused.
//! 3. The coordinator's commands carry the fencing token of the release lease, which is compared when they
//!    are applied from the log: the commands of a coordinator that has lost its lease are refused.
//!
//! The front node of an unreachable member counts as unavailable although it may still serve: its state is
//! unknown, and an unknown state is treated as a fault. A front node that does not serve may be given a slot
//! beyond the budget, since its step takes no capacity away (see [`RolloutState::check_slot_grant`]).

#![warn(missing_docs)]

mod agent;
mod budget;
mod command;
mod coordinator;
mod failure_detector;
mod limits;
mod node;
mod outcome;
mod outcome_log;
mod plan;
mod release;
mod servers;
mod state;

pub use agent::{Agent, AgentConfig, AgentOutput, FrontNodeStatus, ProcessAction, StartPermission};
pub use budget::{Budget, BudgetExceeded};
pub use command::{Command, RELEASE_TASK};
pub use coordinator::RolloutCoordinator;
pub use failure_detector::FailureDetector;
pub use limits::{MAX_NAME_BYTES, MAX_SERVERS, MAX_STORED_OUTCOMES};
pub use node::{NodeState, Slot};
pub use outcome::{Outcome, Refusal};
pub use plan::{HealthCounters, HealthFault, NodePlan, Plan};
pub use release::{Direction, Halt, Release, ReleaseStage, StepState};
pub use servers::{ServerPhase, ServerState};
pub use state::RolloutState;
