//! A member's part in drains and releases: it feeds the decisions of `pinetrestle-rollout` and hands on what they say.
//! Nothing here blocks, and nothing is decided here.

use crate::config::FleetFile;
use crate::front::Look;
use crate::relay::{Listed, View};
use crate::replica::Replica;
use crate::wire::{NodeView, ReleaseView, Reply, RolloutView, ServerView};
use pinetrestle_fleet::{MemberId, Token};
use pinetrestle_rollout::{
    Act, Agent, Command, Conductor, Kind, Outcome, Phase, Plan, Rollout, Stage, Step, Watcher,
};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Operators' commands that wait for their outcome at one member, at most.
const MOST_PENDING: usize = 64;
/// Milliseconds between two proposals of the same command.
const AGAIN_MS: u64 = 250;
/// Milliseconds after which an operators' command that nobody decided is answered as such.
const GIVE_UP_MS: u64 = 10_000;
/// Index servers reported anew in one tick, at most.
const MOST_OBSERVED: usize = 32;

struct Pending {
    command: Command,
    reply: Option<oneshot::Sender<Reply>>,
    since: u64,
    asked: Option<u64>,
}

/// One member's part.
pub struct Part {
    me: MemberId,
    plan: Option<Plan>,
    configured: Option<u64>,
    agent: Option<Agent>,
    conductor: Conductor,
    watcher: Option<Watcher>,
    pending: BTreeMap<String, Pending>,
    told_at: BTreeMap<String, u64>,
    observed_at: u64,
    /// What was last seen of the front node.
    pub look: Look,
    /// What the relay last heard of discovery.
    pub listed: Listed,
    /// The changes the front node has been told.
    pub told: BTreeMap<String, u64>,
}

impl Part {
    /// The part of the member whose file this is, at its start number `boot`.
    pub fn new(file: &FleetFile, boot: u64) -> Part {
        let me = MemberId(file.id);
        let agent = file.front.as_ref().map(|front| {
            let versions = front.versions.keys().cloned().collect();
            Agent::new(me, versions, front.version.clone(), boot << 32, front.stop_ms, front.start_ms)
        });
        Part {
            me,
            plan: file.plan(),
            configured: None,
            agent,
            conductor: Conductor::new(),
            watcher: None,
            pending: BTreeMap::new(),
            told_at: BTreeMap::new(),
            observed_at: 0,
            look: Look::default(),
            listed: None,
            told: BTreeMap::new(),
        }
    }

    /// Whether this member takes part at all.
    pub fn takes_part(&self) -> bool {
        self.plan.is_some()
    }

    /// This member began or stopped to lead.
    pub fn leads(&mut self, now: u64, leads: bool, state: &Rollout) {
        self.watcher = leads.then(|| Watcher::elected(now, state));
    }

    /// A message came from a peer.
    pub fn heard(&mut self, now: u64, from: u64) {
        if let Some(watcher) = &mut self.watcher {
            watcher.heard(now, MemberId(from));
        }
    }

    /// An operators' command and where its outcome goes.
    pub fn ask(&mut self, now: u64, command: Command, reply: oneshot::Sender<Reply>) {
        let Some(id) = command.id().map(str::to_owned) else {
            let _ = reply.send(Reply::Refused("not an operators' command".into()));
            return;
        };
        if !self.takes_part() {
            let _ = reply.send(Reply::Refused("this member's file has no rollout part".into()));
        } else if self.pending.len() >= MOST_PENDING {
            let _ = reply.send(Reply::Refused("64 commands wait already".into()));
        } else {
            let pending = Pending { command, reply: Some(reply), since: now, asked: None };
            self.pending.insert(id, pending);
        }
    }

    /// What to propose at `now`, and what the front node's driver has to do. `token` is the release lease's, if this
    /// member may act on it.
    pub fn tick(&mut self, now: u64, replica: &Replica, token: Option<Token>) -> (Vec<Command>, Option<Act>) {
        let state = &replica.rollout;
        let mut commands = self.answer_pending(now, state);
        let mut act = None;
        if let Some(token) = token {
            commands.extend(self.conductor.poll(now, token, state));
        }
        if let Some(watcher) = &mut self.watcher {
            commands.extend(watcher.due(now, self.me, state));
            commands.extend(self.lead(now, state));
        }
        if let Some(agent) = &mut self.agent {
            let (says, does) = agent.poll(now, &self.look.seen, state);
            commands.extend(says);
            act = does;
        }
        commands.extend(self.told_now(now, state));
        (commands, act)
    }

    fn answer_pending(&mut self, now: u64, state: &Rollout) -> Vec<Command> {
        let mut commands = Vec::new();
        self.pending.retain(|id, pending| {
            let decided = state.answer(id).map(|outcome| Reply::Decided(outcome.clone()));
            let late = now >= pending.since + GIVE_UP_MS;
            let timed_out = || {
                Reply::Refused(
                    "nothing was decided in time (no majority?); the same --id asks again safely".into(),
                )
            };
            if let Some(reply) = decided.or_else(|| late.then(timed_out)) {
                if let Some(to) = pending.reply.take() {
                    let _ = to.send(reply);
                }
                return false;
            }
            if pending.asked.is_none_or(|at| now >= at + AGAIN_MS) {
                pending.asked = Some(now);
                commands.push(pending.command.clone());
            }
            true
        });
        commands
    }

    /// What only the leader says: its file's plan where it is newer, and what discovery lists.
    fn lead(&mut self, now: u64, state: &Rollout) -> Vec<Command> {
        let mut commands = Vec::new();
        if let Some(plan) = &self.plan {
            let newer = state.plan().is_none_or(|p| p.revision < plan.revision);
            if newer && self.configured.is_none_or(|at| now >= at + AGAIN_MS) {
                self.configured = Some(now);
                commands.push(Command::Configure(plan.clone()));
            }
        }
        if let Some(listed) = &self.listed {
            if now >= self.observed_at + AGAIN_MS {
                self.observed_at = now;
                let known: BTreeMap<&str, (&str, bool)> =
                    state.servers().map(|(name, s)| (name, (s.zone.as_str(), s.up))).collect();
                let news = listed
                    .iter()
                    .filter(|(name, (zone, up))| known.get(name.as_str()) != Some(&(zone.as_str(), *up)));
                let news = news.map(|(name, (zone, up))| (name.clone(), zone.clone(), *up));
                let gone = known
                    .iter()
                    .filter(|(name, (_, up))| *up && !listed.contains_key(**name))
                    .map(|(name, (zone, _))| ((*name).to_owned(), (*zone).to_owned(), false));
                commands.extend(
                    news.chain(gone).take(MOST_OBSERVED).map(|(server, zone, up)| Command::Observed {
                        server,
                        zone,
                        up,
                    }),
                );
            }
        }
        commands
    }

    /// Drains the front node has been told of that the state does not know it has.
    fn told_now(&mut self, now: u64, state: &Rollout) -> Vec<Command> {
        let mut commands = Vec::new();
        for (name, server) in state.servers() {
            let due = server.phase == Phase::Draining
                && !server.told.contains(&self.me)
                && self.told.get(name) == Some(&server.change);
            if !due {
                self.told_at.remove(name);
            } else if self.told_at.get(name).is_none_or(|at| now >= at + AGAIN_MS) {
                self.told_at.insert(name.to_owned(), now);
                let (node, server, change) = (self.me, name.to_owned(), server.change);
                commands.push(Command::Told { node, server, change });
            }
        }
        commands
    }

    /// What the fleet has decided for this member's front node.
    pub fn view(&self, state: &Rollout) -> View {
        let changed = state.servers().filter(|(_, s)| s.change > 0);
        View {
            closed: state
                .servers()
                .filter(|(name, _)| !state.open_to(self.me, name))
                .map(|(name, _)| name.to_owned())
                .collect(),
            changes: changed.map(|(name, s)| (name.to_owned(), s.change)).collect(),
        }
    }

    /// The state for people.
    pub fn status(&self, state: &Rollout) -> Option<RolloutView> {
        let plan = state.plan()?;
        let release = state.release();
        let step_of = |id: MemberId| release.and_then(|r| r.steps.get(&id));
        let nodes = state
            .nodes()
            .map(|(id, n)| {
                let step = match step_of(id) {
                    None => "-".to_owned(),
                    Some(Step::Waiting) => "waiting".to_owned(),
                    Some(Step::Going) => "going".to_owned(),
                    Some(Step::Passed) => "passed".to_owned(),
                    Some(Step::Failed(why)) => format!("failed: {why}"),
                };
                let waiting =
                    release.is_some_and(|r| r.stage == Stage::Running) && step_of(id) == Some(&Step::Waiting);
                let waits = waiting.then(|| state.may_take(id).err().map(|r| r.to_string())).flatten();
                NodeView {
                    id: id.0,
                    version: n.version.clone(),
                    ready: n.ready,
                    lost: n.lost,
                    away: state.away(id),
                    slot: n.slot.as_ref().map(|s| (s.index, s.begun)),
                    step,
                    waits,
                }
            })
            .collect();
        let servers = state
            .servers()
            .filter(|(_, s)| s.away())
            .map(|(name, s)| ServerView {
                name: name.to_owned(),
                zone: s.zone.clone(),
                up: s.up,
                phase: match s.phase {
                    Phase::Serving => "out by itself".to_owned(),
                    Phase::Draining => "draining".to_owned(),
                    Phase::Drained => "drained".to_owned(),
                    Phase::Ramping(stage) => format!("returning, stage {stage} of {}", plan.ramp_stages),
                },
                told: s.told.len() as u32,
            })
            .collect();
        Some(RolloutView {
            revision: plan.revision,
            node_limit: plan.node_budget.limit(plan.nodes.len()),
            server_limit: plan.server_budget.limit(state.servers().count()),
            good: state.good().to_owned(),
            halted: state.halted().map(|h| (h.id.clone(), h.why.clone())),
            release: release.map(|r| ReleaseView {
                id: r.id.clone(),
                from: r.from.clone(),
                to: r.to.clone(),
                way: if r.kind == Kind::Forward { "forward" } else { "back" }.to_owned(),
                stage: match r.stage {
                    Stage::Running => "running",
                    Stage::Done => "done",
                    Stage::RolledBack => "rolled back",
                }
                .to_owned(),
                passed: r.steps.values().filter(|s| **s == Step::Passed).count() as u32,
                failures: r.failures,
            }),
            nodes,
            servers,
            agent: self.agent.as_ref().map(Agent::doing),
        })
    }
}

/// Whether an outcome is worth a line in the log, and its reason code.
pub fn reason(outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::Done => Some("done".to_owned()),
        Outcome::Already => None,
        Outcome::Refused(refusal) => Some(format!("refused: {refusal}")),
    }
}
