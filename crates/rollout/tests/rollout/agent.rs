//! Tests of the agent of a front node.

use crate::fleet::Fleet;
use pinetrestle_fleet::MemberId;
use pinetrestle_rollout::{
    Agent, AgentConfig, AgentOutput, Command, FrontNodeStatus, ProcessAction, StartPermission,
};

/// Returns the status of a front node that is ready if it runs.
fn status(running_version: Option<&str>) -> FrontNodeStatus {
    FrontNodeStatus {
        running_version: running_version.map(String::from),
        ready: running_version.is_some(),
        ..FrontNodeStatus::default()
    }
}

#[test]
fn an_agent_that_has_proposed_success_restarts_the_target_version_and_does_not_roll_back() {
    let mut fleet = Fleet::new();
    fleet.release("a", "v2");
    fleet.grant(1);
    let slot_index = fleet.slot_index(1);
    fleet.begin(1, slot_index);
    let mut agent = Agent::new(AgentConfig {
        node: MemberId(1),
        versions: ["v1", "v2"].map(String::from).into(),
        initial_version: "v1".into(),
        report_seq_base: 0,
        stop_timeout_ms: 1_000,
        start_timeout_ms: 1_000,
    });
    let mut poll = |now_ms: u64, running_version: Option<&str>| -> AgentOutput {
        agent.poll(now_ms, &status(running_version), &fleet.state, StartPermission::Normal)
    };
    assert_eq!(poll(0, Some("v1")).action, Some(ProcessAction::Terminate));
    assert_eq!(poll(10, None).action, Some(ProcessAction::Start("v2".into())));
    poll(100, Some("v2"));
    let proposed = poll(300, Some("v2")).commands;
    let is_finished = |command: &Command| matches!(command, Command::StepFinished { .. });
    assert!(proposed.iter().any(is_finished), "{proposed:?}");
    // The process ends before the agent sees the proposal applied. It may be in the log already, so the agent
    // starts the target version again.
    assert_eq!(poll(550, None).action, Some(ProcessAction::Start("v2".into())));
}
