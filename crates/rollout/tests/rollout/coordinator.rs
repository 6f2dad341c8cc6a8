//! Tests of the coordinator of releases.

use crate::fleet::{Fleet, LEASE, NODES};
use pinetrestle_rollout::{Command, Outcome, RolloutCoordinator};

fn granted_nodes(commands: Vec<Command>) -> Vec<u64> {
    let granted = |command| match command {
        Command::GrantSlot { node, .. } => Some(node.0),
        _ => None,
    };
    commands.into_iter().filter_map(granted).collect()
}

#[test]
fn a_coordinator_proposes_as_many_grants_in_one_poll_as_the_budget_allows() {
    let mut fleet = Fleet::new();
    fleet.release("a", "v2");
    let mut coordinator = RolloutCoordinator::new();
    assert_eq!(
        granted_nodes(coordinator.poll(0, LEASE, &fleet.state)),
        [1],
        "not only the canary was granted a slot"
    );
    fleet.pass_step(1);
    let granted = granted_nodes(coordinator.poll(100, LEASE, &fleet.state));
    assert_eq!(granted, [2, 3], "the budget of two was not used up");
}

#[test]
fn a_release_may_repair_a_fleet_that_does_not_serve_once_it_had_time_to_recover() {
    let mut fleet = Fleet::new();
    for node in NODES {
        fleet.report_status(node, 2, "v1", false);
    }
    fleet.release("a", "v2");
    let mut coordinator = RolloutCoordinator::new();
    let mut applied_at = |now_ms: u64, fleet: &mut Fleet| {
        let commands = coordinator.poll(now_ms, LEASE, &fleet.state);
        commands.into_iter().filter(|command| fleet.apply(command.clone()) == Outcome::Applied).count()
    };
    assert_eq!(
        applied_at(0, &mut fleet),
        0,
        "granted although more front nodes are unavailable than the budget allows"
    );
    assert_eq!(
        applied_at(900, &mut fleet),
        0,
        "granted before the front nodes had time to recover by themselves"
    );
    assert_eq!(applied_at(1_000, &mut fleet), 1, "not only the canary was granted a slot");
    let slot_index = fleet.slot_index(1);
    fleet.begin(1, slot_index);
    fleet.finish(1, slot_index);
    fleet.report(1, 3, "v2");
    assert_eq!(applied_at(1_300, &mut fleet), 2, "the budget of two was not used up by slots");
    assert_eq!(applied_at(1_600, &mut fleet), 0);
}
