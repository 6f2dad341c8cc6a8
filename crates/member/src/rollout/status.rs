//! Builds the sections of the status report on drains, releases and the recovery from a power loss.

use crate::status::{
    HaltView, NodeView, PresenceView, RecoveryView, ReleaseView, RolloutView, ServerView, SlotView,
};
use pinetrestle_fleet::MemberId;
use pinetrestle_recovery::{AdmissionDecision, RecoveryStage, RecoveryState};
use pinetrestle_rollout::{
    Agent, Direction, NodeState, Release, ReleaseStage, RolloutState, ServerPhase, ServerState, StepState,
};

/// Returns the state of the recovery from a power loss, with the decision whether this member's front node is
/// admitted.
pub(super) fn recovery_view(state: &RecoveryState, decision: &AdmissionDecision) -> RecoveryView {
    let reports = state.presences().iter().map(|(member, presence)| PresenceView {
        member: member.0,
        serving: presence.serving,
        has_endpoint_list: presence.has_endpoint_list,
    });
    RecoveryView {
        epoch: state.epoch(),
        stage: match state.stage() {
            RecoveryStage::CountingMembers => "counting who is there".to_owned(),
            RecoveryStage::AwaitingEndpointLists => "lists first".to_owned(),
            RecoveryStage::Waves(open) => format!("waves, {open} let in"),
            RecoveryStage::Normal => "normal".to_owned(),
        },
        reports: reports.collect(),
        fleet_size: state.member_count() as u32,
        admission: match decision {
            AdmissionDecision::Admit => "let in".to_owned(),
            AdmissionDecision::AdmitInSafeMode => {
                "safe mode: no leader is known, careful settings".to_owned()
            }
            AdmissionDecision::Wait(reason) => format!("waits: {reason}"),
        },
    }
}

/// Returns the state of drains and releases, or `None` if there is no current plan yet.
pub(super) fn rollout_view(state: &RolloutState, agent: Option<&Agent>) -> Option<RolloutView> {
    let plan = state.plan()?;
    let unavailable = state.servers().filter(|(_, server)| server.is_unavailable());
    Some(RolloutView {
        revision: plan.revision,
        node_limit: plan.node_budget.limit(plan.nodes.len()),
        server_limit: plan.server_budget.limit(state.servers().count()),
        last_good_version: state.last_good_version().to_owned(),
        halt: state.halt().map(|halt| HaltView { id: halt.id.clone(), reason: halt.reason.clone() }),
        release: state.release().map(release_view),
        nodes: state.nodes().map(|(id, node)| node_view(state, id, node)).collect(),
        servers: unavailable.map(|(name, server)| server_view(name, server, plan.ramp_stages)).collect(),
        agent: agent.map(Agent::activity),
    })
}

fn release_view(release: &Release) -> ReleaseView {
    let direction = if release.direction == Direction::Forward { "forward" } else { "back" };
    let stage = match release.stage {
        ReleaseStage::Running => "running",
        ReleaseStage::Completed => "done",
        ReleaseStage::RolledBack => "rolled back",
    };
    let passed = release.steps.values().filter(|step| **step == StepState::Passed).count();
    ReleaseView {
        id: release.id.clone(),
        from: release.from_version.clone(),
        to: release.to_version.clone(),
        direction: direction.to_owned(),
        stage: stage.to_owned(),
        passed: passed as u32,
        failures: release.failed_steps,
    }
}

fn node_view(state: &RolloutState, id: MemberId, node: &NodeState) -> NodeView {
    let release = state.release();
    let step = release.and_then(|release| release.steps.get(&id));
    let running = release.is_some_and(|release| release.stage == ReleaseStage::Running);
    let waiting = running && step == Some(&StepState::Waiting);
    let blocked_by =
        if waiting { state.check_slot_grant(id).err().map(|refusal| refusal.to_string()) } else { None };
    NodeView {
        id: id.0,
        version: node.version.clone(),
        ready: node.ready,
        unreachable: node.unreachable,
        unavailable: state.is_unavailable(id),
        slot: node.slot.as_ref().map(|slot| SlotView { index: slot.index, begun: slot.begun }),
        step: step_text(step),
        blocked_by,
    }
}

fn step_text(step: Option<&StepState>) -> String {
    match step {
        None => "-".to_owned(),
        Some(StepState::Waiting) => "waiting".to_owned(),
        Some(StepState::InProgress) => "going".to_owned(),
        Some(StepState::Passed) => "passed".to_owned(),
        Some(StepState::Failed(reason)) => format!("failed: {reason}"),
    }
}

fn server_view(name: &str, server: &ServerState, ramp_stages: u32) -> ServerView {
    let phase = match server.phase {
        // Only unavailable servers are listed, so a server in this phase is one that discovery lists as not
        // up.
        ServerPhase::Serving => "out by itself".to_owned(),
        ServerPhase::Draining => "draining".to_owned(),
        ServerPhase::Drained => "drained".to_owned(),
        ServerPhase::Ramping(stage) => format!("returning, stage {stage} of {ramp_stages}"),
    };
    ServerView {
        name: name.to_owned(),
        zone: server.zone.clone(),
        up: server.up,
        phase,
        notified: server.acknowledged_by.len() as u32,
    }
}
