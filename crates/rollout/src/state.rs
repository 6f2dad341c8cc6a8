//! The replicated state: every member applies the same commands in the log's order and so holds the same.

use crate::budget::Over;
use crate::servers::ServerState;
use crate::types::{Command, Health, Outcome, Plan, Refusal, MAX_ANSWERS, MAX_NAME};
use pinetrestle_fleet::{MemberId, Token, MAX_MEMBERS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A place in the budget, taken for one front node's step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The log index of its grant: grows from slot to slot.
    pub index: u64,
    /// The version the step goes to.
    pub goal: String,
    /// The version it leaves: what to come back to should the goal not serve.
    pub leaves: String,
    /// Whether the agent has begun. Only its own word ends it then.
    pub begun: bool,
}

/// What is known of one front node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeState {
    /// Its last report's number.
    pub seq: u64,
    /// The version it said; empty before its first report.
    pub version: String,
    /// Whether it said that it serves.
    pub ready: bool,
    /// Whether its member is not heard.
    pub lost: bool,
    /// Its slot, if it has one.
    pub slot: Option<Slot>,
}

/// Where one front node stands in a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Its turn has not come.
    Waiting,
    /// It has a slot.
    Going,
    /// It serves the release's version and was found sound.
    Passed,
    /// It failed, and why. It counts as away until it passes.
    Failed(String),
}

/// Which way a release goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// To a new version.
    Forward,
    /// Back to the last good version.
    Back,
}

/// Where a release stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// It goes on, unless all is halted.
    Running,
    /// Every front node passed.
    Done,
    /// Rolled back whole.
    RolledBack,
}

/// A release, the running or the last one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The id of the command that began it.
    pub id: String,
    /// The version it leaves.
    pub from: String,
    /// The version it brings.
    pub to: String,
    /// Which way it goes now.
    pub kind: Kind,
    /// Where it stands.
    pub stage: Stage,
    /// Each front node's step.
    pub steps: BTreeMap<MemberId, Step>,
    /// Steps that failed since it began, was resumed or turned back.
    pub failures: u32,
}

impl Release {
    /// The version its steps go to now.
    pub fn target(&self) -> &str {
        match self.kind {
            Kind::Forward => &self.to,
            Kind::Back => &self.from,
        }
    }

    /// Whether all others wait for the canaries, which go first and alone. The way back is to a version known good
    /// and has none.
    fn behind_canaries(&self, plan: &Plan) -> bool {
        let canary = (plan.canary as usize).min(plan.nodes.len());
        let passed = self.steps.values().filter(|s| **s == Step::Passed).count();
        let tried = self.steps.values().filter(|s| matches!(s, Step::Going | Step::Failed(_))).count();
        self.kind == Kind::Forward && passed < canary && passed + tried >= canary
    }
}

/// A halt of all new steps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    /// The id of the command, or `failures` for a release that halted itself.
    pub id: String,
    /// Why.
    pub why: String,
}

/// The replicated state of drains and releases. Serializable whole, as a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    pub(crate) plan: Option<Plan>,
    pub(crate) nodes: BTreeMap<MemberId, NodeState>,
    pub(crate) servers: BTreeMap<String, ServerState>,
    pub(crate) release: Option<Release>,
    pub(crate) halted: Option<Halt>,
    /// The version every front node passed last; empty before the first release ended.
    good: String,
    answers: VecDeque<(String, Outcome)>,
    applied: u64,
}

pub(crate) fn fits(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME
}

impl Rollout {
    /// An empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// The plan in force, if one is agreed.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// What is known of a front node.
    pub fn node(&self, node: MemberId) -> Option<&NodeState> {
        self.nodes.get(&node)
    }

    /// Every front node of the plan.
    pub fn nodes(&self) -> impl Iterator<Item = (MemberId, &NodeState)> {
        self.nodes.iter().map(|(id, n)| (*id, n))
    }

    /// Every index server known.
    pub fn servers(&self) -> impl Iterator<Item = (&str, &ServerState)> {
        self.servers.iter().map(|(name, s)| (name.as_str(), s))
    }

    /// The running or last release.
    pub fn release(&self) -> Option<&Release> {
        self.release.as_ref()
    }

    /// The halt in force.
    pub fn halted(&self) -> Option<&Halt> {
        self.halted.as_ref()
    }

    /// The version every front node passed last.
    pub fn good(&self) -> &str {
        &self.good
    }

    /// The index of the last command applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// What an operators' command was answered, if it is remembered.
    pub fn answer(&self, id: &str) -> Option<&Outcome> {
        self.answers.iter().find(|(known, _)| known == id).map(|(_, outcome)| outcome)
    }

    /// Whether a front node counts as away: it holds a slot, is not heard, does not serve, or failed its step.
    pub fn away(&self, node: MemberId) -> bool {
        let failed = self.release.as_ref().is_some_and(|r| {
            r.stage == Stage::Running && matches!(r.steps.get(&node), Some(Step::Failed(_)))
        });
        failed || self.nodes.get(&node).is_none_or(|n| n.slot.is_some() || n.lost || !n.ready)
    }

    /// Whether `node` may take a slot now, as far as the budget goes. One that is away already takes no further
    /// place: it goes as soon as those away are within the budget at all.
    ///
    /// # Errors
    /// [`Over`] with the bound that has no place.
    pub fn fits_budget(&self, plan: &Plan, node: MemberId) -> Result<(), Over> {
        plan.admits(node, plan.nodes.keys().copied().filter(|n| *n != node && self.away(*n)))
    }

    /// The same, counting as away only those that hold slots.
    fn fits_steps(&self, plan: &Plan, node: MemberId) -> Result<(), Over> {
        let others = self.nodes.iter().filter(|(n, s)| **n != node && s.slot.is_some());
        plan.admits(node, others.map(|(n, _)| *n))
    }

    /// Applies the command at log `index`, above every index applied before. `release_lease` is the token of the
    /// lease that stands on [`crate::RELEASE_TASK`] there.
    pub fn apply(&mut self, index: u64, command: &Command, release_lease: Option<Token>) -> Outcome {
        debug_assert!(index > self.applied, "index {index} applied after {}", self.applied);
        self.applied = index;
        let Some(id) = command.id() else { return self.act(index, command, release_lease) };
        if !fits(id) {
            return Outcome::Refused(Refusal::BadName);
        }
        if let Some(outcome) = self.answer(id) {
            return outcome.clone();
        }
        let outcome = self.act(index, command, release_lease);
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((id.to_owned(), outcome.clone()));
        outcome
    }

    fn act(&mut self, index: u64, command: &Command, lease: Option<Token>) -> Outcome {
        let conducted = |token: &Token| Some(*token) == lease;
        match command {
            Command::Configure(plan) => self.configure(plan),
            Command::Report { node, seq, version, ready } => self.report(*node, *seq, version, *ready),
            Command::Lost { node, seq } => self.lost(*node, *seq),
            Command::Release { id, to } => self.begin_release(id, to),
            Command::Take { token, node } if conducted(token) => self.take(index, *node),
            Command::Begin { node, slot } => self.begin_step(*node, *slot),
            Command::Finished { node, slot, health } => self.finished(*node, *slot, health),
            Command::Broken { node, slot, why } => self.broken(*node, *slot, why),
            Command::Overdue { token, node, slot } if conducted(token) => self.overdue(*node, *slot),
            Command::Halt { id, why } => self.halt(id, why),
            Command::Resume { .. } => self.resume(),
            Command::Rollback { .. } => self.rollback(),
            Command::Drain { server, .. } => self.drain(index, server),
            Command::Return { server, .. } => self.bring_back(index, server),
            Command::Told { node, server, change } => self.told(*node, server, *change),
            Command::Ramp { token, server, change } if conducted(token) => self.ramp(index, server, *change),
            Command::Observed { server, zone, up } => self.observed(server, zone, *up),
            Command::Take { .. } | Command::Overdue { .. } | Command::Ramp { .. } => {
                Outcome::Refused(Refusal::StaleToken)
            }
        }
    }

    fn configure(&mut self, plan: &Plan) -> Outcome {
        if plan.nodes.is_empty() || plan.nodes.len() > MAX_MEMBERS {
            return Outcome::Refused(Refusal::BadName);
        }
        if self.plan.as_ref().is_some_and(|p| p.revision >= plan.revision) {
            return Outcome::Already;
        }
        // A front node that leaves the plan while it holds a slot keeps it in force until it ends: refuse till then.
        if self.nodes.iter().any(|(id, n)| n.slot.is_some() && !plan.nodes.contains_key(id)) {
            return Outcome::Refused(Refusal::NotDue);
        }
        self.nodes.retain(|id, _| plan.nodes.contains_key(id));
        for id in plan.nodes.keys() {
            self.nodes.entry(*id).or_default();
        }
        if let Some(release) = self.release.as_mut().filter(|r| r.stage == Stage::Running) {
            release.steps.retain(|id, _| plan.nodes.contains_key(id));
            for id in plan.nodes.keys() {
                release.steps.entry(*id).or_insert(Step::Waiting);
            }
        }
        self.plan = Some(plan.clone());
        self.all_told();
        self.settle();
        Outcome::Done
    }

    fn report(&mut self, id: MemberId, seq: u64, version: &str, ready: bool) -> Outcome {
        if !fits(version) {
            return Outcome::Refused(Refusal::BadName);
        }
        let Some(node) = self.nodes.get_mut(&id) else { return Outcome::Refused(Refusal::Unknown) };
        if seq <= node.seq {
            return Outcome::Refused(Refusal::Old);
        }
        node.seq = seq;
        node.version = version.to_owned();
        node.ready = ready;
        node.lost = false;
        // One that passed and then shows another version (started from an old state) has its step before it again, also
        // in a release that had ended.
        if let Some(release) = self.release.as_mut() {
            let target = release.target().to_owned();
            if let Some(step) = release.steps.get_mut(&id) {
                if *step == Step::Passed && version != target {
                    *step = Step::Waiting;
                    release.stage = Stage::Running;
                }
            }
        }
        Outcome::Done
    }

    fn lost(&mut self, id: MemberId, seq: u64) -> Outcome {
        match self.nodes.get_mut(&id) {
            Some(node) if node.seq == seq => {
                node.lost = true;
                Outcome::Done
            }
            Some(_) => Outcome::Refused(Refusal::Old),
            None => Outcome::Refused(Refusal::Unknown),
        }
    }

    fn begin_release(&mut self, id: &str, to: &str) -> Outcome {
        let Some(plan) = &self.plan else { return Outcome::Refused(Refusal::NoPlan) };
        if !fits(to) {
            return Outcome::Refused(Refusal::BadName);
        }
        if let Some(running) = self.release.as_ref().filter(|r| r.stage == Stage::Running) {
            return Outcome::Refused(Refusal::ReleaseRuns { id: running.id.clone() });
        }
        if self.halted.is_some() {
            return Outcome::Refused(Refusal::Halted);
        }
        // The version left: the last good one; before the first release, the one that the front nodes report. They
        // have to agree on it, or there would be no one version to come back to.
        let mut from = self.good.clone();
        if from.is_empty() {
            let versions: std::collections::BTreeSet<&str> =
                self.nodes.values().map(|n| n.version.as_str()).collect();
            match (versions.len(), versions.first()) {
                (1, Some(one)) if !one.is_empty() => from = (*one).to_owned(),
                _ => return Outcome::Refused(Refusal::Unheard),
            }
        }
        let steps = plan.nodes.keys().map(|n| (*n, Step::Waiting)).collect();
        self.release = Some(Release {
            id: id.to_owned(),
            from,
            to: to.to_owned(),
            kind: Kind::Forward,
            stage: Stage::Running,
            steps,
            failures: 0,
        });
        Outcome::Done
    }

    /// Whether `node` may be given a slot now.
    ///
    /// # Errors
    /// Why not.
    pub fn may_take(&self, node: MemberId) -> Result<(), Refusal> {
        let plan = self.plan.as_ref().ok_or(Refusal::NoPlan)?;
        if self.halted.is_some() {
            return Err(Refusal::Halted);
        }
        let release =
            self.release.as_ref().filter(|r| r.stage == Stage::Running).ok_or(Refusal::NoRelease)?;
        let state = self.nodes.get(&node).ok_or(Refusal::Unknown)?;
        // A failed step is tried again only by a resume or a rollback, which make it wait anew.
        if release.steps.get(&node) != Some(&Step::Waiting) || state.slot.is_some() {
            return Err(Refusal::NotDue);
        }
        if state.lost || state.version.is_empty() {
            return Err(Refusal::Unheard);
        }
        if release.behind_canaries(plan) {
            return Err(Refusal::Canary);
        }
        match self.fits_budget(plan, node) {
            // One that does not serve as it is loses nothing by a step, and a release may be what mends it: only the
            // places of other steps are counted then. The conductor gives it time to come back by itself first.
            Err(over) if !state.ready => self.fits_steps(plan, node).map_err(|_| Refusal::Budget(over)),
            found => found.map_err(Refusal::Budget),
        }
    }

    pub(crate) fn take(&mut self, index: u64, id: MemberId) -> Outcome {
        if let Err(refusal) = self.may_take(id) {
            return Outcome::Refused(refusal);
        }
        let Some(release) = self.release.as_mut() else { return Outcome::Refused(Refusal::NoRelease) };
        let goal = release.target().to_owned();
        release.steps.insert(id, Step::Going);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.slot = Some(Slot { index, goal, leaves: node.version.clone(), begun: false });
        }
        Outcome::Done
    }

    fn begin_step(&mut self, id: MemberId, slot: u64) -> Outcome {
        match self.nodes.get_mut(&id).and_then(|n| n.slot.as_mut()) {
            Some(mine) if mine.index == slot => {
                if mine.begun {
                    return Outcome::Already;
                }
                mine.begun = true;
                Outcome::Done
            }
            _ => Outcome::Refused(Refusal::Old),
        }
    }

    /// The agent's word on a step says which version runs, should its report be lost and its front node end.
    fn runs(&mut self, id: MemberId, version: &str) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.version = version.to_owned();
        }
    }

    /// Ends a begun slot by its agent's own word; `None` where it is not this one.
    fn end_slot(&mut self, id: MemberId, slot: u64) -> Option<Slot> {
        let node = self.nodes.get_mut(&id)?;
        if node.slot.as_ref()?.index != slot {
            return None;
        }
        node.slot.take()
    }

    fn finished(&mut self, id: MemberId, slot: u64, health: &Health) -> Outcome {
        let Some(fault) = self.plan.as_ref().map(|p| health.fault(p)) else {
            return Outcome::Refused(Refusal::NoPlan);
        };
        let Some(ended) = self.end_slot(id, slot) else { return Outcome::Refused(Refusal::Old) };
        self.runs(id, &ended.goal);
        match fault {
            None => self.step(id, &ended, Step::Passed),
            Some(why) => self.step(id, &ended, Step::Failed(why.to_owned())),
        }
        Outcome::Done
    }

    fn broken(&mut self, id: MemberId, slot: u64, why: &str) -> Outcome {
        let Some(ended) = self.end_slot(id, slot) else { return Outcome::Refused(Refusal::Old) };
        self.runs(id, &ended.leaves);
        let why: String = why.chars().take(MAX_NAME).collect();
        self.step(id, &ended, Step::Failed(why));
        Outcome::Done
    }

    fn overdue(&mut self, id: MemberId, slot: u64) -> Outcome {
        let Some(node) = self.nodes.get_mut(&id) else { return Outcome::Refused(Refusal::Unknown) };
        match &node.slot {
            Some(mine) if mine.index == slot && !mine.begun => {
                // Nobody has begun: the place is free again, and its turn comes again.
                let ended = node.slot.take();
                if let Some(ended) = ended {
                    self.step(id, &ended, Step::Waiting);
                }
                Outcome::Done
            }
            Some(mine) if mine.index == slot => {
                // Begun: its place stays taken until its own agent's word. The release counts the failure.
                let running = self.release.as_ref().is_some_and(|r| r.stage == Stage::Running);
                if running && self.halted.is_none() {
                    self.count_failure(id, "its step takes too long");
                    return Outcome::Done;
                }
                Outcome::Already
            }
            _ => Outcome::Refused(Refusal::Old),
        }
    }

    /// Writes down how a step under `slot` came out. One that went to another version than the release goes to now
    /// (it turned back meanwhile) has its turn before it.
    fn step(&mut self, id: MemberId, slot: &Slot, step: Step) {
        let Some(release) = self.release.as_mut().filter(|r| r.stage == Stage::Running) else { return };
        if slot.goal != release.target() {
            release.steps.insert(id, Step::Waiting);
            return;
        }
        let failed = match &step {
            Step::Failed(why) => Some(why.clone()),
            _ => None,
        };
        release.steps.insert(id, step);
        if let Some(why) = failed {
            self.count_failure(id, &why);
        }
        self.settle();
        self.halt_if_stuck();
    }

    /// Halts a release that no step can move any more: those that failed fill the budget, hold the canaries' place, or
    /// are all that is left. Without it, it would neither go on nor say that it waits for its operators.
    fn halt_if_stuck(&mut self) {
        let (Some(plan), None) = (&self.plan, &self.halted) else { return };
        let Some(release) = self.release.as_ref().filter(|r| r.stage == Stage::Running) else { return };
        let of = |wanted: fn(&Step) -> bool| {
            release.steps.iter().filter(move |(_, s)| wanted(s)).map(|(id, _)| *id).collect::<Vec<_>>()
        };
        let failed = of(|s| matches!(s, Step::Failed(_)));
        if failed.is_empty() || !of(|s| *s == Step::Going).is_empty() {
            return;
        }
        let fits = |n: MemberId| plan.admits(n, failed.iter().copied()).is_ok();
        if release.behind_canaries(plan) || !of(|s| *s == Step::Waiting).into_iter().any(fits) {
            self.stop("failures", &format!("{} failed steps leave no front node that may go", failed.len()));
        }
    }

    fn count_failure(&mut self, id: MemberId, why: &str) {
        let most = self.plan.as_ref().map_or(0, |p| p.failures);
        if let Some(release) = self.release.as_mut() {
            release.failures += 1;
            if release.failures > most && self.halted.is_none() {
                let why =
                    format!("{} failed steps, the last of front node {}: {why}", release.failures, id.0);
                self.stop("failures", &why);
            }
        }
    }

    /// Ends a release whose every front node passed.
    fn settle(&mut self) {
        let Some(release) = self.release.as_mut().filter(|r| r.stage == Stage::Running) else { return };
        if release.steps.values().all(|s| *s == Step::Passed) {
            self.good = release.target().to_owned();
            release.stage = match release.kind {
                Kind::Forward => Stage::Done,
                Kind::Back => Stage::RolledBack,
            };
        }
    }

    /// Halts: slots that nobody has begun are given back, so that no step begins after this entry.
    fn stop(&mut self, id: &str, why: &str) {
        self.halted = Some(Halt { id: id.to_owned(), why: why.to_owned() });
        self.give_back();
    }

    /// Gives back the slots that nobody has begun; their turn comes again.
    fn give_back(&mut self) {
        for (node, state) in &mut self.nodes {
            if state.slot.as_ref().is_some_and(|s| !s.begun) {
                state.slot = None;
                if let Some(release) = self.release.as_mut() {
                    release.steps.insert(*node, Step::Waiting);
                }
            }
        }
    }

    fn halt(&mut self, id: &str, why: &str) -> Outcome {
        if self.halted.is_some() {
            return Outcome::Already;
        }
        let why: String = why.chars().take(4 * MAX_NAME).collect();
        self.stop(id, &why);
        Outcome::Done
    }

    fn resume(&mut self) -> Outcome {
        if self.halted.take().is_none() {
            return Outcome::Already;
        }
        if let Some(release) = self.release.as_mut().filter(|r| r.stage == Stage::Running) {
            release.failures = 0;
            for step in release.steps.values_mut().filter(|s| matches!(s, Step::Failed(_))) {
                *step = Step::Waiting;
            }
        }
        Outcome::Done
    }

    fn rollback(&mut self) -> Outcome {
        let Some(release) = self.release.as_mut() else { return Outcome::Refused(Refusal::NoRelease) };
        match (release.kind, release.stage) {
            (Kind::Back, Stage::Running) | (_, Stage::RolledBack) => return Outcome::Already,
            (Kind::Forward, _) | (Kind::Back, Stage::Done) => {}
        }
        release.kind = Kind::Back;
        release.stage = Stage::Running;
        release.failures = 0;
        let from = &release.from;
        let step = |n: &NodeState| match n {
            n if n.slot.is_some() => Step::Going,
            // Never left the version that all go back to.
            n if n.version == *from && n.ready && !n.lost => Step::Passed,
            _ => Step::Waiting,
        };
        release.steps = self.nodes.iter().map(|(id, n)| (*id, step(n))).collect();
        // The way back is the operators' word to go on, so it ends the halt; slots for the way forward that nobody
        // has begun are given back.
        self.halted = None;
        self.give_back();
        self.settle();
        Outcome::Done
    }
}
