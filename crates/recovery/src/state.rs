//! The replicated part: every member applies the same commands in the log's order.

use pinetrestle_fleet::{MemberId, Token, MAX_MEMBERS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A leader was elected and counts anew who is there.
    Elected {
        /// Its term: an older one changes nothing.
        term: u64,
        /// The members of the fleet, as its file has them.
        members: Vec<MemberId>,
    },
    /// A member says how it stands, once after each election and whenever that changes.
    Present {
        /// The member.
        node: MemberId,
        /// Its start, counted on its disk.
        boot: u64,
        /// The term it answers: said only while the log's own term is the one this member is in, so that a word from
        /// before a power loss can't let in a start after it.
        term: u64,
        /// Whether its front node runs.
        serving: bool,
        /// Whether it has discovery's list.
        listed: bool,
    },
    /// The next stage opens (guide).
    Advance {
        /// The release lease's token.
        token: Token,
        /// The fleet's epoch it is about.
        epoch: u64,
        /// The stage it leaves.
        from: Stage,
    },
}

/// Where the fleet stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Who is there is not known yet.
    #[default]
    Counting,
    /// Nothing serves: lists first.
    Lists,
    /// So many front nodes are let in.
    Waves(u32),
    /// Everybody is let in.
    Normal,
}

/// How a member said it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Its start.
    pub boot: u64,
    /// Whether its front node runs.
    pub serving: bool,
    /// Whether it has discovery's list.
    pub listed: bool,
}

/// What a command did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// It is from the past, or not for now: nothing changed.
    Ignored,
}

/// The replicated state. Serializable whole, as a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recovery {
    members: Vec<MemberId>,
    /// Counts the power losses the fleet came back from.
    epoch: u64,
    stage: Stage,
    term: u64,
    present: BTreeMap<MemberId, Presence>,
    /// In the order in which they said that they are there: the order in which they are let in.
    order: Vec<MemberId>,
    /// Let in by a wave of the return that goes on, at this boot of theirs: not shut out again while it lasts.
    let_in: BTreeMap<MemberId, u64>,
}

impl Recovery {
    /// A fleet of which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// The power losses the fleet came back from, the one it comes back from included.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Where the fleet stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The term that counts.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Who has said how it stands since the last election.
    pub fn present(&self) -> &BTreeMap<MemberId, Presence> {
        &self.present
    }

    /// Members of the fleet.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Whether `node`, in its start `boot`, may let its front node in.
    pub fn lets_in(&self, node: MemberId, boot: u64) -> bool {
        if self.let_in.get(&node) == Some(&boot) {
            return true;
        }
        // Only one whose present start the log knows: an older word says nothing of this one.
        let Some(said) = self.present.get(&node).filter(|p| p.boot == boot) else { return false };
        match self.stage {
            Stage::Counting | Stage::Lists => said.serving,
            Stage::Waves(open) => said.serving || self.opened(open).any(|n| n == node),
            Stage::Normal => true,
        }
    }

    /// The front nodes that a wave of `open` lets in: those let in already first, then as they said that they are there.
    /// One that was let in before an election and has not said since how it stands may serve: it keeps its place.
    pub fn opened(&self, open: u32) -> impl Iterator<Item = MemberId> + '_ {
        let inside = |n: &MemberId| self.stays(*n);
        let silent = self.let_in.keys().filter(|n| !self.present.contains_key(n)).count();
        let first = self.order.iter().copied().filter(inside);
        let then = self.order.iter().copied().filter(move |n| !inside(n));
        first.chain(then).take((open as usize).saturating_sub(silent))
    }

    /// Whether `node` was let in in the start it has said.
    fn stays(&self, node: MemberId) -> bool {
        self.present.get(&node).is_some_and(|p| self.let_in.get(&node) == Some(&p.boot))
    }

    /// By how many front nodes a wave grows after one of `open`: as many again, up to an eighth of the fleet (two at
    /// least), since each of them brings all that its clients have kept.
    fn growth(&self, open: u32) -> u32 {
        open.min((self.members.len() as u32 / 8).max(2))
    }

    fn majority(&self, count: usize) -> bool {
        2 * count > self.members.len()
    }

    /// Whether the stage may be left at all. A wave may: one that does not come up sends nothing, and must not keep the
    /// others out. How long it is waited for is the guide's.
    pub fn may_advance(&self) -> bool {
        match self.stage {
            Stage::Counting | Stage::Normal => false,
            Stage::Lists => self.majority(self.present.values().filter(|p| p.listed).count()),
            Stage::Waves(_) => true,
        }
    }

    /// Whether everybody the stage let in serves.
    pub fn all_serve(&self) -> bool {
        match self.stage {
            Stage::Waves(open) => self.opened(open).all(|n| self.present.get(&n).is_none_or(|p| p.serving)),
            _ => true,
        }
    }

    /// Applies a command. `lease` is the token of the release lease that stands there.
    pub fn apply(&mut self, command: &Command, lease: Option<Token>) -> Outcome {
        let outcome = match command {
            Command::Elected { term, members } => self.elected(*term, members),
            Command::Present { node, boot, term, serving, listed } => {
                let presence = Presence { boot: *boot, serving: *serving, listed: *listed };
                self.says(*node, *term, presence)
            }
            Command::Advance { token, epoch, from } if Some(*token) == lease => self.advance(*epoch, *from),
            Command::Advance { .. } => Outcome::Ignored,
        };
        self.remember();
        outcome
    }

    fn elected(&mut self, term: u64, members: &[MemberId]) -> Outcome {
        if term <= self.term || members.is_empty() || members.len() > MAX_MEMBERS {
            return Outcome::Ignored;
        }
        self.term = term;
        self.members = members.to_vec();
        self.present.clear();
        self.order.clear();
        self.let_in.retain(|node, _| members.contains(node));
        // A return that a change of leader interrupts is counted anew: those let in by then serve, or it was dark again.
        self.stage = Stage::Counting;
        Outcome::Done
    }

    fn says(&mut self, node: MemberId, term: u64, presence: Presence) -> Outcome {
        let older = self.present.get(&node).is_some_and(|p| p.boot > presence.boot);
        if term != self.term || older || !self.members.contains(&node) {
            return Outcome::Ignored;
        }
        if self.let_in.get(&node).is_some_and(|boot| *boot != presence.boot) {
            self.let_in.remove(&node);
        }
        if self.present.insert(node, presence).is_none() {
            self.order.push(node);
        }
        if self.stage == Stage::Counting && self.majority(self.present.len()) {
            if self.present.values().any(|p| p.serving) {
                self.stage = Stage::Normal;
            } else {
                self.epoch += 1;
                self.stage = Stage::Lists;
            }
        }
        Outcome::Done
    }

    fn advance(&mut self, epoch: u64, from: Stage) -> Outcome {
        if epoch != self.epoch || from != self.stage || !self.may_advance() {
            return Outcome::Ignored;
        }
        self.stage = match self.stage {
            // A return begun before an election goes on from those it had let in.
            Stage::Lists => Stage::Waves(self.let_in.len().max(1) as u32),
            Stage::Waves(open) if open + self.growth(open) < self.members.len() as u32 => {
                Stage::Waves(open + self.growth(open))
            }
            _ => Stage::Normal,
        };
        Outcome::Done
    }

    /// Whoever a wave let in may stay in for as long as its start lasts, whatever an election in the middle changes.
    fn remember(&mut self) {
        match self.stage {
            Stage::Normal => self.let_in.clear(),
            Stage::Waves(open) => {
                let now: Vec<(MemberId, u64)> = self
                    .opened(open)
                    .filter_map(|node| Some((node, self.present.get(&node)?.boot)))
                    .collect();
                self.let_in.extend(now);
            }
            Stage::Counting | Stage::Lists => {}
        }
    }
}
