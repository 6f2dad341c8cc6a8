//! The log entries in the recorded stores: all commands on leases, drains and releases, and recovery, each
//! with its expected outcome.

use pinetrestle_fleet::{Command as Lease, MemberId, Outcome as LeaseOutcome, Refusal as LeaseRefusal};
use pinetrestle_fleet::{RequestId, Task, Token};
use pinetrestle_member::state_machine::{EntryOutcome, LogEntry};
use pinetrestle_recovery::{Command as Recovery, Outcome as RecoveryOutcome, RecoveryStage};
use pinetrestle_rollout::{
    Budget, BudgetExceeded, Command as Rollout, HealthCounters, NodePlan, Outcome, Plan, Refusal,
};

/// A log entry and the outcome of applying it.
pub struct AppliedEntry {
    pub entry: LogEntry,
    pub outcome: EntryOutcome,
}

/// Log index of the command that records the first election.
pub const FIRST_ELECTION_INDEX: u64 = 94;
/// Log index at which a majority of members has reported, and none of them has a front node that serves.
pub const MEMBERS_COUNTED_INDEX: u64 = 98;
/// Log index of the command that opens the first wave.
pub const FIRST_WAVE_INDEX: u64 = 102;
/// Log index of the command that ends the first recovery.
pub const FIRST_RECOVERY_END_INDEX: u64 = 106;

/// The token of the release lease, granted at log index 14.
const RELEASE_TOKEN: Token = Token(14);

/// Returns the plan with the given revision.
pub fn plan(revision: u64) -> Plan {
    let zone = |name: Option<&str>| NodePlan { zone: name.map(str::to_owned) };
    Plan {
        revision,
        nodes: [
            (MemberId(1), zone(Some("a"))),
            (MemberId(2), zone(Some("a"))),
            (MemberId(3), zone(Some("b"))),
            (MemberId(4), zone(None)),
        ]
        .into(),
        node_budget: Budget {
            max_unavailable: 1,
            max_unavailable_per_mille: 500,
            max_unavailable_per_zone: None,
        },
        server_budget: Budget {
            max_unavailable: 2,
            max_unavailable_per_mille: 1_000,
            max_unavailable_per_zone: Some(1),
        },
        canary_nodes: 1,
        max_failed_steps: 0,
        max_failed_queries_per_mille: 10,
        step_timeout_ms: 60_000,
        settle_ms: 5_000,
        unreachable_after_ms: 3_000,
        ramp_stages: 2,
        ramp_stage_ms: 4_000,
    }
}

/// Returns the entries from log index 1 on. `None` stands for the empty entry with which a new leader begins
/// its term.
pub fn history() -> Vec<Option<AppliedEntry>> {
    let mut history = vec![None];
    history.extend(leases().into_iter().map(Some));
    history.extend(drains().into_iter().map(Some));
    history.extend(first_release().into_iter().map(Some));
    history.extend(second_release().into_iter().map(Some));
    history.extend(recovery().into_iter().map(Some));
    history
}

fn lease_entry(command: Lease, outcome: LeaseOutcome) -> AppliedEntry {
    AppliedEntry { entry: LogEntry::Lease(command), outcome: EntryOutcome::Lease(outcome) }
}

fn acquire(task: &str, member: u64, request: u64, ttl_ms: u64, held_token: Option<u64>) -> Lease {
    Lease::Acquire {
        task: Task(task.to_owned()),
        member: MemberId(member),
        request: RequestId(request),
        ttl_ms,
        held_token: held_token.map(Token),
    }
}

fn release(task: &str, member: u64, request: u64, token: u64) -> Lease {
    Lease::Release {
        task: Task(task.to_owned()),
        member: MemberId(member),
        request: RequestId(request),
        token: Token(token),
    }
}

fn expire(task: &str, token: u64, renewals: u64) -> Lease {
    Lease::Expire { task: Task(task.to_owned()), token: Token(token), renewals }
}

/// Log indexes 2 to 15: leases that are granted, renewed, released and expired, and requests that are
/// refused.
fn leases() -> Vec<AppliedEntry> {
    let busy = LeaseOutcome::Busy { holder: MemberId(1), token: Token(2) };
    let refused = LeaseOutcome::Refused;
    vec![
        lease_entry(acquire("rebuild-index", 1, 1, 1_000, None), LeaseOutcome::Granted(Token(2))),
        lease_entry(acquire("rebuild-index", 2, 1, 1_000, None), busy),
        lease_entry(acquire("rebuild-index", 1, 2, 2_000, Some(2)), LeaseOutcome::Renewed(Token(2))),
        lease_entry(expire("rebuild-index", 2, 0), refused(LeaseRefusal::StaleExpiry)),
        lease_entry(release("rebuild-index", 2, 2, 2), refused(LeaseRefusal::NotHolder)),
        lease_entry(release("rebuild-index", 1, 3, 2), LeaseOutcome::Released),
        lease_entry(acquire("rebuild-index", 2, 3, 1_000, None), LeaseOutcome::Granted(Token(8))),
        lease_entry(expire("rebuild-index", 8, 0), LeaseOutcome::Expired),
        // A duplicate of the request at index 7 gets the same outcome again; an older request is refused.
        lease_entry(release("rebuild-index", 1, 3, 2), LeaseOutcome::Released),
        lease_entry(acquire("rebuild-index", 1, 2, 1_000, None), refused(LeaseRefusal::StaleRequest)),
        lease_entry(acquire("rebuild-index", 3, 1, 5, None), refused(LeaseRefusal::InvalidTtl)),
        lease_entry(acquire("", 3, 2, 1_000, None), refused(LeaseRefusal::InvalidTaskName)),
        lease_entry(acquire("release", 1, 1, 3_000, None), LeaseOutcome::Granted(RELEASE_TOKEN)),
        lease_entry(acquire("compact-shards", 3, 1, 60_000, None), LeaseOutcome::Granted(Token(15))),
    ]
}

fn rollout_entry(command: Rollout, outcome: Outcome) -> AppliedEntry {
    AppliedEntry { entry: LogEntry::Rollout(command), outcome: EntryOutcome::Rollout(outcome) }
}

fn applied(command: Rollout) -> AppliedEntry {
    rollout_entry(command, Outcome::Applied)
}

fn unchanged(command: Rollout) -> AppliedEntry {
    rollout_entry(command, Outcome::Unchanged)
}

fn refused(command: Rollout, refusal: Refusal) -> AppliedEntry {
    rollout_entry(command, Outcome::Refused(refusal))
}

fn begin_release(id: &str, to: &str) -> Rollout {
    Rollout::Release { id: id.to_owned(), to_version: to.to_owned() }
}

fn report_status(node: u64, seq: u64, version: &str, ready: bool) -> Rollout {
    Rollout::ReportStatus { node: MemberId(node), report_seq: seq, version: version.to_owned(), ready }
}

fn observe_server(server: &str, zone: &str, up: bool) -> Rollout {
    Rollout::ObserveServer { server: server.to_owned(), zone: zone.to_owned(), up }
}

fn drain_server(id: &str, server: &str) -> Rollout {
    Rollout::DrainServer { id: id.to_owned(), server: server.to_owned() }
}

fn acknowledge_drain(node: u64, server: &str, change: u64) -> Rollout {
    Rollout::AcknowledgeDrain { node: MemberId(node), server: server.to_owned(), change_index: change }
}

fn advance_ramp(token: Token, server: &str, change: u64) -> Rollout {
    Rollout::AdvanceRamp { token, server: server.to_owned(), change_index: change }
}

/// Log indexes 16 to 42: a plan, reports of front nodes and index servers, drains, and the ramp of a server
/// that returns.
fn drains() -> Vec<AppliedEntry> {
    let over_zone = BudgetExceeded { unavailable: 1, limit: 1, zone: Some("b".to_owned()) };
    vec![
        refused(begin_release("early", "2.0"), Refusal::NoPlan),
        applied(Rollout::Configure(plan(1))),
        applied(report_status(1, 1, "1.0", true)),
        applied(report_status(2, 1, "1.0", true)),
        applied(report_status(3, 1, "1.0", true)),
        applied(report_status(4, 1, "1.0", true)),
        refused(report_status(1, 1, "1.0", true), Refusal::Stale),
        refused(report_status(9, 1, "1.0", true), Refusal::UnknownUnit),
        applied(observe_server("s1", "a", true)),
        applied(observe_server("s2", "b", true)),
        applied(observe_server("s3", "b", false)),
        refused(drain_server("d-1", "s2"), Refusal::BudgetExceeded(over_zone)),
        applied(observe_server("s3", "b", true)),
        applied(drain_server("d-2", "s1")),
        unchanged(drain_server("d-3", "s1")),
        refused(drain_server("d-4", "s9"), Refusal::UnknownUnit),
        applied(acknowledge_drain(1, "s1", 29)),
        unchanged(acknowledge_drain(1, "s1", 29)),
        applied(acknowledge_drain(2, "s1", 29)),
        applied(acknowledge_drain(3, "s1", 29)),
        refused(acknowledge_drain(4, "s1", 3), Refusal::Stale),
        applied(acknowledge_drain(4, "s1", 29)),
        applied(Rollout::ReturnServer { id: "r-1".to_owned(), server: "s1".to_owned() }),
        applied(advance_ramp(RELEASE_TOKEN, "s1", 38)),
        applied(drain_server("d-5", "s2")),
        refused(advance_ramp(RELEASE_TOKEN, "s1", 38), Refusal::Stale),
        refused(advance_ramp(Token(99), "s1", 39), Refusal::StaleToken),
    ]
}

fn grant_slot(node: u64) -> Rollout {
    Rollout::GrantSlot { token: RELEASE_TOKEN, node: MemberId(node) }
}

fn begin_step(node: u64, slot: u64) -> Rollout {
    Rollout::BeginStep { node: MemberId(node), slot_index: slot }
}

fn finish_step(node: u64, slot: u64, answered: u64, failed: u64, defects: u64) -> Rollout {
    Rollout::StepFinished {
        node: MemberId(node),
        slot_index: slot,
        health: HealthCounters { answered, failed, defects },
    }
}

fn halt(id: &str, why: &str) -> Rollout {
    Rollout::Halt { id: id.to_owned(), reason: why.to_owned() }
}

fn resume(id: &str) -> Rollout {
    Rollout::Resume { id: id.to_owned() }
}

fn rollback(id: &str) -> Rollout {
    Rollout::Rollback { id: id.to_owned() }
}

/// Log indexes 43 to 74: a release in which steps fail and halt it twice, and which is rolled back.
fn first_release() -> Vec<AppliedEntry> {
    let running = Refusal::ReleaseInProgress { id: "rel-2".to_owned() };
    let broken =
        Rollout::StepFailed { node: MemberId(2), slot_index: 58, reason: "does not start".to_owned() };
    let overdue = Rollout::StepOverdue { token: RELEASE_TOKEN, node: MemberId(1), slot_index: 46 };
    vec![
        refused(rollback("back-0"), Refusal::NoRelease),
        applied(begin_release("rel-2", "2.0")),
        refused(begin_release("rel-3", "3.0"), running),
        applied(grant_slot(1)),
        refused(grant_slot(2), Refusal::AwaitingCanaries),
        applied(overdue),
        applied(grant_slot(1)),
        applied(begin_step(1, 49)),
        unchanged(begin_step(1, 49)),
        applied(finish_step(1, 49, 1_000, 1, 0)),
        applied(report_status(1, 2, "2.0", true)),
        applied(Rollout::DeclareUnreachable { node: MemberId(4), report_seq: 1 }),
        refused(grant_slot(4), Refusal::Unreachable),
        refused(
            grant_slot(2),
            Refusal::BudgetExceeded(BudgetExceeded { unavailable: 1, limit: 1, zone: None }),
        ),
        applied(report_status(4, 2, "1.0", true)),
        applied(grant_slot(2)),
        applied(begin_step(2, 58)),
        applied(broken),
        refused(grant_slot(3), Refusal::Halted),
        applied(resume("go-1")),
        unchanged(resume("go-2")),
        applied(grant_slot(3)),
        applied(begin_step(3, 64)),
        applied(finish_step(3, 64, 10, 5, 0)),
        unchanged(halt("halt-1", "operators look")),
        applied(rollback("back-1")),
        applied(grant_slot(1)),
        applied(begin_step(1, 69)),
        applied(finish_step(1, 69, 100, 0, 0)),
        applied(grant_slot(3)),
        applied(begin_step(3, 72)),
        applied(finish_step(3, 72, 0, 0, 0)),
    ]
}

/// Log indexes 75 to 93: a release that is halted by a failed step, resumed and completed; then a halt by an
/// operator and a new plan.
fn second_release() -> Vec<AppliedEntry> {
    vec![
        applied(begin_release("rel-4", "2.1")),
        refused(begin_release("rel-5", ""), Refusal::InvalidName),
        applied(grant_slot(1)),
        refused(grant_slot(1), Refusal::NotEligible),
        applied(begin_step(1, 77)),
        applied(finish_step(1, 77, 100, 1, 0)),
        applied(grant_slot(2)),
        applied(begin_step(2, 81)),
        applied(finish_step(2, 81, 100, 0, 1)),
        applied(resume("go-3")),
        applied(grant_slot(2)),
        applied(finish_step(2, 85, 100, 0, 0)),
        applied(grant_slot(3)),
        applied(finish_step(3, 87, 100, 0, 0)),
        applied(grant_slot(4)),
        applied(finish_step(4, 89, 100, 0, 0)),
        applied(halt("halt-2", "maintenance")),
        refused(drain_server("d-6", "s3"), Refusal::Halted),
        applied(Rollout::Configure(plan(2))),
    ]
}

fn applied_recovery(command: Recovery) -> AppliedEntry {
    AppliedEntry {
        entry: LogEntry::Recovery(command),
        outcome: EntryOutcome::Recovery(RecoveryOutcome::Applied),
    }
}

fn ignored_recovery(command: Recovery) -> AppliedEntry {
    AppliedEntry {
        entry: LogEntry::Recovery(command),
        outcome: EntryOutcome::Recovery(RecoveryOutcome::Ignored),
    }
}

fn leader_elected(term: u64) -> Recovery {
    Recovery::LeaderElected { term, members: (1..=4).map(MemberId).collect() }
}

fn report_presence(
    node: u64,
    incarnation: u64,
    term: u64,
    serving: bool,
    has_endpoint_list: bool,
) -> Recovery {
    Recovery::ReportPresence { node: MemberId(node), incarnation, term, serving, has_endpoint_list }
}

fn advance_stage(epoch: u64, from_stage: RecoveryStage) -> Recovery {
    Recovery::AdvanceStage { token: RELEASE_TOKEN, epoch, from_stage }
}

/// Log indexes 94 to 115: a complete recovery, and a second one up to its second wave, during which a lease
/// is renewed.
fn recovery() -> Vec<AppliedEntry> {
    vec![
        applied_recovery(leader_elected(2)),
        ignored_recovery(leader_elected(1)),
        applied_recovery(report_presence(1, 3, 2, false, false)),
        applied_recovery(report_presence(2, 7, 2, false, true)),
        applied_recovery(report_presence(3, 5, 2, false, false)),
        ignored_recovery(advance_stage(1, RecoveryStage::AwaitingEndpointLists)),
        applied_recovery(report_presence(1, 3, 2, false, true)),
        applied_recovery(report_presence(3, 5, 2, false, true)),
        applied_recovery(advance_stage(1, RecoveryStage::AwaitingEndpointLists)),
        applied_recovery(report_presence(1, 3, 2, true, true)),
        applied_recovery(advance_stage(1, RecoveryStage::Waves(1))),
        ignored_recovery(advance_stage(1, RecoveryStage::Waves(1))),
        applied_recovery(advance_stage(1, RecoveryStage::Waves(2))),
        applied_recovery(leader_elected(3)),
        applied_recovery(report_presence(1, 4, 3, false, true)),
        applied_recovery(report_presence(4, 2, 3, false, true)),
        applied_recovery(report_presence(2, 8, 3, false, true)),
        ignored_recovery(report_presence(3, 5, 2, false, true)),
        applied_recovery(advance_stage(2, RecoveryStage::AwaitingEndpointLists)),
        lease_entry(acquire("release", 1, 2, 3_000, Some(14)), LeaseOutcome::Renewed(RELEASE_TOKEN)),
        applied_recovery(report_presence(1, 4, 3, true, true)),
        applied_recovery(advance_stage(2, RecoveryStage::Waves(1))),
    ]
}
