//! Compares the output of `fleet status`, `fleet explain` and `fleet recover` with recorded texts.

use pinetrestle_member::status::{
    HaltView, LeaseView, NodeView, OwnTaskView, PresenceView, RecoveryView, ReleaseView, RolloutView,
    ServerView, SlotView, Status,
};
use pinetrestle_member::status_report::{Explanation, RecoveryReport, StatusTable};

fn lease(task: &str, holder: u64, remaining_ms: Option<u64>) -> LeaseView {
    LeaseView { task: task.into(), holder, token: 7, renewals: 4, remaining_ms }
}

fn own_task(task: &str, wanted: bool, may_act_ms: Option<u64>) -> OwnTaskView {
    OwnTaskView { task: task.into(), wanted, state: "waiting".into(), may_act_ms }
}

fn node(id: u64) -> NodeView {
    NodeView {
        id,
        version: "v1".into(),
        ready: true,
        unreachable: false,
        unavailable: false,
        slot: None,
        step: "-".into(),
        blocked_by: None,
    }
}

fn server(name: &str, phase: &str) -> ServerView {
    ServerView { name: name.into(), zone: "a".into(), up: true, phase: phase.into(), notified: 2 }
}

fn release(direction: &str, stage: &str) -> ReleaseView {
    ReleaseView {
        id: "r1".into(),
        from: "v1".into(),
        to: "v2".into(),
        direction: direction.into(),
        stage: stage.into(),
        passed: 1,
        failures: 2,
    }
}

fn rollout() -> RolloutView {
    RolloutView {
        revision: 5,
        node_limit: 2,
        server_limit: 1,
        last_good_version: "v1".into(),
        halt: Some(HaltView { id: "h1".into(), reason: "a reason".into() }),
        release: Some(release("forward", "running")),
        nodes: vec![
            node(1),
            NodeView {
                blocked_by: Some("the budget has no place".into()),
                step: "waiting".into(),
                ..node(2)
            },
            NodeView {
                unavailable: true,
                slot: Some(SlotView { index: 11, begun: true }),
                step: "going".into(),
                ..node(3)
            },
            NodeView { unavailable: true, slot: Some(SlotView { index: 12, begun: false }), ..node(4) },
            NodeView { unavailable: true, unreachable: true, ready: false, ..node(5) },
            NodeView { unavailable: true, ready: false, ..node(6) },
            NodeView { unavailable: true, step: "failed: too slow".into(), ..node(7) },
        ],
        servers: vec![
            server("s0", "draining"),
            server("s1", "drained"),
            server("s2", "returning, stage 1 of 4"),
        ],
        agent: Some("keeps v1".into()),
    }
}

fn recovery() -> RecoveryView {
    RecoveryView {
        epoch: 3,
        stage: "lists first".into(),
        reports: vec![
            PresenceView { member: 1, serving: true, has_endpoint_list: false },
            PresenceView { member: 2, serving: false, has_endpoint_list: true },
        ],
        fleet_size: 4,
        admission: "waits: a reason".into(),
    }
}

fn status() -> Status {
    Status {
        id: 1,
        role: "leader".into(),
        leader: 1,
        term: 3,
        commit_index: 20,
        applied_index: 19,
        incarnation: 2,
        members: vec![1, 2, 3, 4],
        leases: vec![
            lease("held-here", 1, Some(900)),
            lease("run-out", 1, None),
            lease("elsewhere", 2, None),
            lease("not-wanted", 3, None),
            lease("others", 4, Some(50)),
        ],
        own_tasks: vec![
            own_task("held-here", true, Some(250)),
            own_task("run-out", true, None),
            own_task("elsewhere", true, None),
            own_task("not-wanted", false, None),
            own_task("free", true, None),
            own_task("given-up", false, None),
        ],
        rollout: Some(rollout()),
        recovery: Some(recovery()),
    }
}

/// Returns the status of a member that knows no leader and has no `rollout` section in its configuration
/// file.
fn leaderless_status() -> Status {
    Status {
        role: "candidate".into(),
        leader: 0,
        leases: vec![],
        own_tasks: vec![],
        rollout: None,
        recovery: None,
        ..status()
    }
}

/// Returns the status of a member of a fleet without a running release, a halt, a drain or a recovery.
fn quiet_status() -> Status {
    let rollout = RolloutView {
        last_good_version: String::new(),
        halt: None,
        release: Some(release("back", "rolled back")),
        nodes: vec![node(1)],
        servers: vec![],
        ..rollout()
    };
    let recovery = RecoveryView { stage: "normal".into(), admission: "let in".into(), ..recovery() };
    Status { rollout: Some(rollout), recovery: Some(recovery), ..leaderless_status() }
}

/// Returns the status of a member while a release is being rolled back.
fn rolling_back_status() -> Status {
    let rollout = RolloutView { release: Some(release("back", "running")), ..rollout() };
    Status { rollout: Some(rollout), ..leaderless_status() }
}

#[test]
fn table_shows_every_section_of_a_status() {
    assert_eq!(StatusTable(&status()).to_string(), include_str!("data/status_report/busy_table.txt"));
}

#[test]
fn table_omits_the_sections_that_a_status_does_not_have() {
    let table = StatusTable(&leaderless_status()).to_string();
    assert_eq!(table, include_str!("data/status_report/leaderless_table.txt"));
}

#[test]
fn table_shows_a_rolled_back_release_and_a_rollback_in_progress() {
    let table = StatusTable(&quiet_status()).to_string();
    assert_eq!(table, include_str!("data/status_report/quiet_table.txt"));
    let table = StatusTable(&rolling_back_status()).to_string();
    assert_eq!(table, include_str!("data/status_report/rolling_back_table.txt"));
}

#[test]
fn explanation_gives_a_reason_for_each_waiting_or_unavailable_unit() {
    let explanation = Explanation(&status()).to_string();
    assert_eq!(explanation, include_str!("data/status_report/busy_explanation.txt"));
    let explanation = Explanation(&rolling_back_status()).to_string();
    assert_eq!(explanation, include_str!("data/status_report/rolling_back_explanation.txt"));
}

#[test]
fn explanation_omits_sections_in_which_nothing_happens() {
    let explanation = Explanation(&leaderless_status()).to_string();
    assert_eq!(explanation, include_str!("data/status_report/leaderless_explanation.txt"));
    let explanation = Explanation(&quiet_status()).to_string();
    assert_eq!(explanation, include_str!("data/status_report/quiet_explanation.txt"));
}

#[test]
fn recovery_report_names_the_members_that_have_not_reported() {
    let report = RecoveryReport { status: &status(), recovery: &recovery() }.to_string();
    assert_eq!(report, include_str!("data/status_report/recovery.txt"));
}
