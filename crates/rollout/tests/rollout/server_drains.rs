//! Tests of the commands on index servers: drains within the budget, acknowledgements of drains by all front
//! nodes, and the ramp of a returning server.

use crate::fleet::{Fleet, LEASE, NODES};
use pinetrestle_fleet::MemberId;
use pinetrestle_rollout::{Command, Outcome, Refusal, RolloutCoordinator, ServerPhase};

#[test]
fn index_servers_are_drained_within_the_limits_for_all_zones_and_for_their_zone() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.drain("1", "s0"), Outcome::Applied);
    let in_same_zone = fleet.drain("2", "s1");
    assert!(
        matches!(in_same_zone, Outcome::Refused(Refusal::BudgetExceeded(exceeded)) if exceeded.zone.is_some())
    );
    assert_eq!(fleet.drain("3", "s2"), Outcome::Applied);
    assert!(matches!(fleet.drain("4", "s4"), Outcome::Refused(Refusal::BudgetExceeded(_))));
    assert_eq!(fleet.drain("5", "unknown"), Outcome::Refused(Refusal::UnknownUnit));
}

#[test]
fn an_index_server_that_is_down_without_a_drain_counts_as_unavailable() {
    let mut fleet = Fleet::new();
    fleet.observe("s4", "c", false);
    assert_eq!(fleet.drain("1", "s0"), Outcome::Applied);
    assert!(matches!(fleet.drain("2", "s2"), Outcome::Refused(Refusal::BudgetExceeded(_))));
}

#[test]
fn a_drain_is_complete_only_when_every_front_node_has_acknowledged_it() {
    let mut fleet = Fleet::new();
    fleet.drain("1", "s0");
    let change_index = fleet.server("s0").change_index;
    for node in NODES {
        assert_eq!(fleet.phase("s0"), ServerPhase::Draining);
        assert!(!fleet.state.may_send(MemberId(node), "s0"));
        fleet.acknowledge(node, "s0", change_index);
    }
    assert_eq!(fleet.phase("s0"), ServerPhase::Drained);
    let for_earlier_change = fleet.acknowledge(1, "s0", change_index - 1);
    assert_eq!(for_earlier_change, Outcome::Refused(Refusal::Stale));
}

#[test]
fn the_ramp_opens_a_returning_index_server_to_the_front_nodes_in_stages() {
    let mut fleet = Fleet::new();
    fleet.drain("1", "s0");
    fleet.apply(Command::ReturnServer { id: "2".into(), server: "s0".into() });
    let open_to = |fleet: &Fleet| NODES.filter(|node| fleet.state.may_send(MemberId(*node), "s0")).count();
    assert_eq!((fleet.phase("s0"), open_to(&fleet)), (ServerPhase::Ramping(1), 2));
    let while_ramping = fleet.drain("3", "s1");
    assert!(
        matches!(while_ramping, Outcome::Refused(Refusal::BudgetExceeded(_))),
        "a ramping server counts as available"
    );
    let mut coordinator = RolloutCoordinator::new();
    let mut opened = Vec::new();
    for now_ms in (0..1_500).step_by(50) {
        for command in coordinator.poll(now_ms, LEASE, &fleet.state) {
            assert_eq!(fleet.apply(command), Outcome::Applied);
        }
        let open = open_to(&fleet);
        if opened.last().is_none_or(|(_, last)| *last != open) {
            opened.push((now_ms, open));
        }
    }
    assert_eq!(opened, [(0, 2), (300, 4)]);
    assert_eq!(fleet.phase("s0"), ServerPhase::Serving);
}
