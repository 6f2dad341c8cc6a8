//! The coordinator of releases and ramps, which runs at the holder of the release lease: it proposes slots,
//! reports steps that have taken too long, and opens the stages of ramps.

use crate::command::Command;
use crate::plan::Plan;
use crate::release::{Release, StepState};
use crate::servers::ServerPhase;
use crate::state::RolloutState;
use pinetrestle_fleet::{MemberId, RetryTimer, Token};
use std::collections::BTreeMap;

/// The key of a timer for the step under one slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotKey {
    node: MemberId,
    slot_index: u64,
}

/// The key of a timer for the ramp stage that one change of an index server's phase began.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ChangeKey {
    server: String,
    change_index: u64,
}

/// Decides which commands the holder of the release lease proposes.
///
/// The coordinator keeps timers only, in milliseconds of its own monotonic clock. A new lease holder starts
/// with empty timers and reads everything else from the replicated state.
#[derive(Debug, Default, Clone)]
pub struct RolloutCoordinator {
    token: Option<Token>,
    /// When each slot was first seen, or when its step was last proposed as overdue.
    slot_timers: BTreeMap<SlotKey, u64>,
    /// For each ramping index server, when its current stage was first seen or the next stage was last
    /// proposed.
    ramp_timers: BTreeMap<ChangeKey, u64>,
    /// When each front node that does not serve was first seen not to serve.
    unready_since_ms: BTreeMap<MemberId, u64>,
    /// Limits how often a grant is proposed for each front node.
    grant_retries: BTreeMap<MemberId, RetryTimer>,
}

/// The inputs of one [`RolloutCoordinator::poll`].
struct Poll<'a> {
    now_ms: u64,
    token: Token,
    state: &'a RolloutState,
    plan: &'a Plan,
}

impl RolloutCoordinator {
    /// Creates a coordinator without any timers running.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the commands to propose at `now_ms`. `token` is the fencing token of the release lease, which
    /// this member holds. A token other than that of the last call resets the timers.
    pub fn poll(&mut self, now_ms: u64, token: Token, state: &RolloutState) -> Vec<Command> {
        if self.token != Some(token) {
            *self = RolloutCoordinator { token: Some(token), ..RolloutCoordinator::default() };
        }
        let Some(plan) = state.plan() else { return Vec::new() };
        let poll = Poll { now_ms, token, state, plan };
        let mut commands = Vec::new();
        self.report_overdue_steps(&poll, &mut commands);
        self.track_unready_nodes(&poll);
        if let Some(release) = state.running_release() {
            self.propose_grants(&poll, release, &mut commands);
        }
        self.propose_ramp_stages(&poll, &mut commands);
        commands
    }

    fn report_overdue_steps(&mut self, poll: &Poll<'_>, commands: &mut Vec<Command>) {
        self.slot_timers.retain(|key, _| {
            let slot = poll.state.node(key.node).and_then(|node| node.slot.as_ref());
            slot.is_some_and(|slot| slot.index == key.slot_index)
        });
        for (node, node_state) in poll.state.nodes() {
            let Some(slot) = &node_state.slot else { continue };
            let key = SlotKey { node, slot_index: slot.index };
            let timer_ms = self.slot_timers.entry(key).or_insert(poll.now_ms);
            if poll.now_ms >= *timer_ms + poll.plan.step_timeout_ms {
                *timer_ms = poll.now_ms;
                commands.push(Command::StepOverdue { token: poll.token, node, slot_index: slot.index });
            }
        }
    }

    fn track_unready_nodes(&mut self, poll: &Poll<'_>) {
        for (node, node_state) in poll.state.nodes() {
            if node_state.ready || node_state.unreachable {
                self.unready_since_ms.remove(&node);
            } else {
                self.unready_since_ms.entry(node).or_insert(poll.now_ms);
            }
        }
    }

    /// Proposes as many grants as the budget allows.
    ///
    /// The grants are not in the replicated state yet, so each one is first applied to a copy of the state,
    /// on which the next one is checked. A grant that no longer fits the budget when it is applied from the
    /// log is refused then.
    fn propose_grants(&mut self, poll: &Poll<'_>, release: &Release, commands: &mut Vec<Command>) {
        let mut simulated: Option<RolloutState> = None;
        for node in nodes_in_grant_order(poll.state, release) {
            if !self.may_propose_grant(poll, simulated.as_ref().unwrap_or(poll.state), node) {
                continue;
            }
            let simulated = simulated.get_or_insert_with(|| poll.state.clone());
            // `may_propose_grant` checked the grant on this state, so it can't be refused.
            let _ = simulated.grant_slot(poll.state.applied_index() + 1, node);
            if self.grant_retries.entry(node).or_default().fire_if_due(poll.now_ms) {
                commands.push(Command::GrantSlot { token: poll.token, node });
            }
        }
    }

    /// Returns whether to propose a slot for `node` in the state `simulated`, to which the grants proposed in
    /// the same poll have been applied.
    ///
    /// A front node that does not serve may get a slot beyond the budget. It is proposed only after it has
    /// not served for as long as a step may take, so that it can recover without a step.
    fn may_propose_grant(&self, poll: &Poll<'_>, simulated: &RolloutState, node: MemberId) -> bool {
        if simulated.check_slot_grant(node).is_err() {
            return false;
        }
        let unready_since_ms = self.unready_since_ms.get(&node);
        let unready_too_long =
            unready_since_ms.is_some_and(|since_ms| poll.now_ms >= since_ms + poll.plan.step_timeout_ms);
        unready_too_long || simulated.check_budget(poll.plan, node).is_ok()
    }

    fn propose_ramp_stages(&mut self, poll: &Poll<'_>, commands: &mut Vec<Command>) {
        self.ramp_timers.retain(|key, _| {
            poll.state.server(&key.server).is_some_and(|state| state.change_index == key.change_index)
        });
        for (server, server_state) in poll.state.servers() {
            let is_ramping = matches!(server_state.phase, ServerPhase::Ramping(_));
            if !is_ramping || !server_state.up || poll.state.halt().is_some() {
                continue;
            }
            let change_index = server_state.change_index;
            let key = ChangeKey { server: server.to_owned(), change_index };
            let timer_ms = self.ramp_timers.entry(key).or_insert(poll.now_ms);
            if poll.now_ms >= *timer_ms + poll.plan.ramp_stage_ms {
                *timer_ms = poll.now_ms;
                let server = server.to_owned();
                commands.push(Command::AdvanceRamp { token: poll.token, server, change_index });
            }
        }
    }
}

/// Returns the front nodes whose steps are waiting, in the order in which to grant them slots: unavailable
/// ones first, because they count against the budget anyway.
fn nodes_in_grant_order(state: &RolloutState, release: &Release) -> Vec<MemberId> {
    let mut order: Vec<MemberId> = release.nodes_with(|step| *step == StepState::Waiting).collect();
    order.sort_by_key(|node| (!state.is_unavailable(*node), *node));
    order
}
