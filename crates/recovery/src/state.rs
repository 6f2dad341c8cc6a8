//! The replicated state of the recovery. Every member applies the same commands in log order and therefore
//! has the same state.

use crate::command::{Command, Outcome, Presence, RecoveryStage};
use pinetrestle_fleet::{MemberId, Token, MAX_MEMBERS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The size of the fleet divided by this is the maximum number of front nodes that a wave adds to the
/// previous one.
const WAVE_GROWTH_DIVISOR: u32 = 8;
/// In a small fleet, a wave may still add this many front nodes to the previous one.
const MIN_WAVE_GROWTH_LIMIT: u32 = 2;

/// The replicated state of the fleet's recovery from a power loss.
///
/// Stored in snapshots with postcard: the order and types of the fields are the format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryState {
    members: Vec<MemberId>,
    /// The number of recoveries so far: elections after which no front node was serving.
    epoch: u64,
    stage: RecoveryStage,
    /// The term of the last election that was applied.
    term: u64,
    /// The last report of each member since the last election.
    presences: BTreeMap<MemberId, Presence>,
    /// The members in the order of their first reports since the last election. Waves admit them in this
    /// order.
    arrival_order: Vec<MemberId>,
    /// The members that a wave of the current recovery has admitted, each with the incarnation that was
    /// admitted. They stay admitted while that incarnation lasts, also across elections.
    admitted: BTreeMap<MemberId, u64>,
}

impl RecoveryState {
    /// Creates the state before any command is applied.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of recoveries so far, including the current one.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the current stage.
    pub fn stage(&self) -> RecoveryStage {
        self.stage
    }

    /// Returns the term of the last election that was applied.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the members that have reported since the last election, with their last reports.
    pub fn presences(&self) -> &BTreeMap<MemberId, Presence> {
        &self.presences
    }

    /// Returns the number of members of the fleet.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the member `node` may start its front node in its incarnation `incarnation`.
    pub fn is_admitted(&self, node: MemberId, incarnation: u64) -> bool {
        if self.admitted.get(&node) == Some(&incarnation) {
            return true;
        }
        // A report of another incarnation says nothing about this one.
        let reported = self.presences.get(&node).filter(|presence| presence.incarnation == incarnation);
        let Some(presence) = reported else { return false };
        match self.stage {
            RecoveryStage::CountingMembers | RecoveryStage::AwaitingEndpointLists => presence.serving,
            RecoveryStage::Waves(size) => {
                presence.serving || self.wave_members(size).any(|member| member == node)
            }
            RecoveryStage::Normal => true,
        }
    }

    /// Iterates over the members that a wave of `size` admits: first those that an earlier wave admitted,
    /// then the others in the order of their first reports.
    ///
    /// A member that was admitted before an election and has not reported since may still serve. It counts
    /// towards `size`, but is not among the returned members.
    pub fn wave_members(&self, size: u32) -> impl Iterator<Item = MemberId> + '_ {
        let unreported = self.admitted.keys().filter(|node| !self.presences.contains_key(node)).count();
        let admitted = self.arrival_order.iter().copied().filter(|node| self.keeps_admission(*node));
        let others = self.arrival_order.iter().copied().filter(|node| !self.keeps_admission(*node));
        admitted.chain(others).take((size as usize).saturating_sub(unreported))
    }

    /// Returns whether an earlier wave admitted `node` in the incarnation that it last reported.
    fn keeps_admission(&self, node: MemberId) -> bool {
        self.presences
            .get(&node)
            .is_some_and(|presence| self.admitted.get(&node) == Some(&presence.incarnation))
    }

    /// Returns the size of the wave after one of `size`.
    ///
    /// Sizes double, but grow by at most an eighth of the fleet or two front nodes, whichever is more: each
    /// front node that starts adds the load of all queries that its clients have held back meanwhile.
    fn next_wave_size(&self, size: u32) -> u32 {
        let growth_limit = (self.members.len() as u32 / WAVE_GROWTH_DIVISOR).max(MIN_WAVE_GROWTH_LIMIT);
        size + size.min(growth_limit)
    }

    fn is_majority(&self, count: usize) -> bool {
        2 * count > self.members.len()
    }

    /// Returns whether the condition to end the current stage holds.
    ///
    /// A wave may always end: a front node that does not come up sends nothing to the index servers, and must
    /// not prevent the admission of the others. The coordinator decides how long to wait for such a front
    /// node.
    pub fn may_advance(&self) -> bool {
        match self.stage {
            RecoveryStage::CountingMembers | RecoveryStage::Normal => false,
            RecoveryStage::AwaitingEndpointLists => {
                let with_list = self.presences.values().filter(|presence| presence.has_endpoint_list);
                self.is_majority(with_list.count())
            }
            RecoveryStage::Waves(_) => true,
        }
    }

    /// Returns whether every front node that the current wave admits serves, or `true` if no wave is open.
    pub fn wave_is_serving(&self) -> bool {
        match self.stage {
            RecoveryStage::Waves(size) => self
                .wave_members(size)
                .all(|node| self.presences.get(&node).is_none_or(|presence| presence.serving)),
            _ => true,
        }
    }

    /// Applies a command from the log and returns its outcome. `release_lease` is the token of the release
    /// lease at the log index of the command.
    pub fn apply(&mut self, command: &Command, release_lease: Option<Token>) -> Outcome {
        let outcome = match command {
            Command::LeaderElected { term, members } => self.leader_elected(*term, members),
            Command::ReportPresence { node, incarnation, term, serving, has_endpoint_list } => {
                let presence = Presence {
                    incarnation: *incarnation,
                    serving: *serving,
                    has_endpoint_list: *has_endpoint_list,
                };
                self.report_presence(*node, *term, presence)
            }
            Command::AdvanceStage { token, epoch, from_stage } if Some(*token) == release_lease => {
                self.advance_stage(*epoch, *from_stage)
            }
            Command::AdvanceStage { .. } => Outcome::Ignored,
        };
        self.record_admissions();
        outcome
    }

    fn leader_elected(&mut self, term: u64, members: &[MemberId]) -> Outcome {
        if term <= self.term || members.is_empty() || members.len() > MAX_MEMBERS {
            return Outcome::Ignored;
        }
        self.term = term;
        self.members = members.to_vec();
        self.presences.clear();
        self.arrival_order.clear();
        self.admitted.retain(|node, _| members.contains(node));
        // Count again whether any front node serves, also if the election interrupts a recovery: either the
        // front nodes admitted so far still serve, or there was another power loss.
        self.stage = RecoveryStage::CountingMembers;
        Outcome::Applied
    }

    fn report_presence(&mut self, node: MemberId, term: u64, presence: Presence) -> Outcome {
        let is_older = self.presences.get(&node).is_some_and(|last| last.incarnation > presence.incarnation);
        if term != self.term || is_older || !self.members.contains(&node) {
            return Outcome::Ignored;
        }
        if self.admitted.get(&node).is_some_and(|incarnation| *incarnation != presence.incarnation) {
            self.admitted.remove(&node);
        }
        if self.presences.insert(node, presence).is_none() {
            self.arrival_order.push(node);
        }
        if self.stage == RecoveryStage::CountingMembers && self.is_majority(self.presences.len()) {
            self.finish_counting();
        }
        Outcome::Applied
    }

    /// Ends the count of members, because a majority has reported. If none of them serves, a recovery begins.
    fn finish_counting(&mut self) {
        if self.presences.values().any(|presence| presence.serving) {
            self.stage = RecoveryStage::Normal;
        } else {
            self.epoch += 1;
            self.stage = RecoveryStage::AwaitingEndpointLists;
        }
    }

    fn advance_stage(&mut self, epoch: u64, from_stage: RecoveryStage) -> Outcome {
        if epoch != self.epoch || from_stage != self.stage || !self.may_advance() {
            return Outcome::Ignored;
        }
        self.stage = self.next_stage();
        Outcome::Applied
    }

    fn next_stage(&self) -> RecoveryStage {
        match self.stage {
            // A recovery that an election interrupted continues with as many front nodes as it had admitted.
            RecoveryStage::AwaitingEndpointLists => RecoveryStage::Waves(self.admitted.len().max(1) as u32),
            RecoveryStage::Waves(size) if self.next_wave_size(size) < self.members.len() as u32 => {
                RecoveryStage::Waves(self.next_wave_size(size))
            }
            _ => RecoveryStage::Normal,
        }
    }

    /// Records the members that the current wave admits, so that they stay admitted while their incarnation
    /// lasts, also across elections.
    fn record_admissions(&mut self) {
        match self.stage {
            RecoveryStage::Normal => self.admitted.clear(),
            RecoveryStage::Waves(size) => {
                let wave: Vec<(MemberId, u64)> = self
                    .wave_members(size)
                    .filter_map(|node| Some((node, self.presences.get(&node)?.incarnation)))
                    .collect();
                self.admitted.extend(wave);
            }
            RecoveryStage::CountingMembers | RecoveryStage::AwaitingEndpointLists => {}
        }
    }
}
