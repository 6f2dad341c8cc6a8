//! Commands of the replicated log, their outcomes, and the plan all members agree on.

use crate::budget::{Budget, Over};
use pinetrestle_fleet::{MemberId, Token};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The fleet-wide task whose lease holder conducts releases and ramps.
pub const RELEASE_TASK: &str = "release";
/// Index servers the state knows at most.
pub const MAX_SERVERS: usize = 1_024;
/// Bytes of a name (version, server, zone, command id) at most.
pub const MAX_NAME: usize = 64;
/// Operators' commands whose answers are remembered; a command sent again within so many is answered as before.
pub const MAX_ANSWERS: usize = 128;

/// What all members agree on before anything is drained: from the operator file with the highest revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Grows with each change; a plan of no higher revision than the one in force changes nothing.
    pub revision: u64,
    /// The front nodes, one a member.
    pub nodes: BTreeMap<MemberId, NodePlan>,
    /// Front nodes that may be away at once.
    pub node_budget: Budget,
    /// Index servers that may be away at once.
    pub server_budget: Budget,
    /// Front nodes that go first, alone, before the others follow.
    pub canary: u32,
    /// Steps that may fail before a release halts itself; the next one halts it. 0: the first does.
    pub failures: u32,
    /// Failed queries in a thousand that a front node may show after its step.
    pub failed_per_mille: u32,
    /// Milliseconds a step may take from its slot to its verdict, on the conductor's clock.
    pub step_ms: u64,
    /// Milliseconds a front node serves after its step before it is judged, on its agent's clock.
    pub settle_ms: u64,
    /// Milliseconds without a word after which the leader calls a member lost.
    pub lost_ms: u64,
    /// Stages in which front nodes send to a returning index server: of n stages, stage i opens i/n of them.
    pub ramp_stages: u32,
    /// Milliseconds of one such stage, on the conductor's clock.
    pub ramp_ms: u64,
}

impl Plan {
    /// Whether one more front node, `node`, may go while `away` are away already.
    ///
    /// # Errors
    /// [`Over`] with the bound that has no place.
    pub fn admits(&self, node: MemberId, away: impl Iterator<Item = MemberId>) -> Result<(), Over> {
        let zone_of = |n: MemberId| self.nodes.get(&n).and_then(|p| p.zone.as_deref());
        self.node_budget.admits(self.nodes.len(), zone_of(node), away.map(zone_of))
    }
}

/// One front node in the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodePlan {
    /// Its zone, if there are zones.
    pub zone: Option<String>,
}

/// What a front node counted while it was judged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Queries answered whole or in part.
    pub answered: u64,
    /// Queries that failed.
    pub failed: u64,
    /// Defects its own counters show: attempts out after their query's end, restarts of its decisions.
    pub defects: u64,
}

impl Health {
    /// Why it is not sound under `plan`, if so.
    pub fn fault(&self, plan: &Plan) -> Option<&'static str> {
        let asked = self.answered + self.failed;
        if self.defects > 0 {
            Some("its counters show a defect")
        } else if self.failed * 1_000 > u64::from(plan.failed_per_mille) * asked {
            Some("too many failed queries")
        } else {
            None
        }
    }
}

/// One command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// The plan of an operator file.
    Configure(Plan),
    /// A front node's agent says how it stands.
    Report {
        /// Whose front node.
        node: MemberId,
        /// Grows with each report of this member, over its restarts too.
        seq: u64,
        /// The version that runs or ran last.
        version: String,
        /// Whether it serves.
        ready: bool,
    },
    /// The leader has not heard a member since its report `seq`.
    Lost {
        /// The member.
        node: MemberId,
        /// Its last report's number; a later report makes the command void.
        seq: u64,
    },
    /// Begins a release (operators).
    Release {
        /// The command's id.
        id: String,
        /// The version to go to.
        to: String,
    },
    /// Grants `node` a slot for its step (conductor).
    Take {
        /// The release lease's token.
        token: Token,
        /// The front node.
        node: MemberId,
    },
    /// The agent is about to stop its front node.
    Begin {
        /// Whose.
        node: MemberId,
        /// The slot it goes under.
        slot: u64,
    },
    /// The agent's front node serves the slot's version and has been watched.
    Finished {
        /// Whose.
        node: MemberId,
        /// The slot.
        slot: u64,
        /// What it counted while it was watched.
        health: Health,
    },
    /// The agent could not bring the slot's version up; the one before serves again, or nothing was stopped.
    Broken {
        /// Whose.
        node: MemberId,
        /// The slot.
        slot: u64,
        /// Why, in a few words.
        why: String,
    },
    /// The step under `slot` has taken longer than the plan allows (conductor).
    Overdue {
        /// The release lease's token.
        token: Token,
        /// The front node.
        node: MemberId,
        /// The slot.
        slot: u64,
    },
    /// No new steps anywhere until resume (operators).
    Halt {
        /// The command's id.
        id: String,
        /// Why, for status.
        why: String,
    },
    /// Goes on after a halt; failed steps are tried again (operators).
    Resume {
        /// The command's id.
        id: String,
    },
    /// Rolls back to the last good version, the same way (operators).
    Rollback {
        /// The command's id.
        id: String,
    },
    /// Takes an index server out (operators).
    Drain {
        /// The command's id.
        id: String,
        /// The server's name in discovery.
        server: String,
    },
    /// Brings a drained index server back, by the ramp (operators).
    Return {
        /// The command's id.
        id: String,
        /// The server's name in discovery.
        server: String,
    },
    /// A front node's own list shows an index server as `change` has it.
    Told {
        /// Whose front node.
        node: MemberId,
        /// The server.
        server: String,
        /// The index of the change that is told.
        change: u64,
    },
    /// Opens the next stage of a returning index server's ramp (conductor).
    Ramp {
        /// The release lease's token.
        token: Token,
        /// The server.
        server: String,
        /// The index of the change after which this follows.
        change: u64,
    },
    /// Discovery shows an index server (the leader's own list).
    Observed {
        /// The server.
        server: String,
        /// Its zone.
        zone: String,
        /// Whether it is listed as up.
        up: bool,
    },
}

impl Command {
    /// The id of an operators' command.
    pub fn id(&self) -> Option<&str> {
        match self {
            Command::Release { id, .. }
            | Command::Halt { id, .. }
            | Command::Resume { id }
            | Command::Rollback { id }
            | Command::Drain { id, .. }
            | Command::Return { id, .. } => Some(id),
            _ => None,
        }
    }
}

/// What applying a command decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// Nothing to do: it is so already.
    Already,
    /// Nothing changed, and why.
    Refused(Refusal),
}

/// Why a command changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// No plan is in force yet.
    NoPlan,
    /// An empty or too long name, or one too many.
    BadName,
    /// The token is not that of the release lease.
    StaleToken,
    /// All is halted.
    Halted,
    /// Another release runs.
    ReleaseRuns {
        /// Its id.
        id: String,
    },
    /// There is no release that runs, or none to roll back.
    NoRelease,
    /// The budget has no place.
    Budget(Over),
    /// The unit has a slot already, or is where it should be.
    NotDue,
    /// The canaries have not passed yet.
    Canary,
    /// The member is not heard: nobody would carry the step out.
    Unheard,
    /// No such front node or index server.
    Unknown,
    /// A copy from the past, or a slot that was given back.
    Old,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::NoPlan => write!(f, "no plan is agreed yet: a majority of members must be up"),
            Refusal::BadName => write!(f, "a name is empty, over {MAX_NAME} bytes, or one too many"),
            Refusal::StaleToken => write!(f, "the release lease is held under another token"),
            Refusal::Halted => write!(f, "all is halted: resume first"),
            Refusal::ReleaseRuns { id } => write!(f, "release {id} runs: wait for its end, or roll it back"),
            Refusal::NoRelease => write!(f, "there is no such release"),
            Refusal::Budget(over) => write!(f, "{over}"),
            Refusal::NotDue => write!(f, "it is on its way already, or where it should be"),
            Refusal::Canary => write!(f, "the canaries have not passed yet"),
            Refusal::Unheard => write!(f, "its member is not heard"),
            Refusal::Unknown => write!(f, "no such front node or index server is known"),
            Refusal::Old => write!(f, "it is from the past: the slot was given back or a later word is in"),
        }
    }
}
