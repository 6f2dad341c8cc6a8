//! The history that the recorded stores hold: every command of leases, of drains and releases, and of a recovery, with
//! what each decided.

use pinetrestle_fleet::{Command as Lease, MemberId, Outcome as LeaseOutcome, Refusal as LeaseRefusal};
use pinetrestle_fleet::{RequestId, Task, Token};
use pinetrestle_member::state_machine::{EntryOutcome, LogEntry};
use pinetrestle_recovery::{Command as Recovery, Outcome as RecoveryOutcome, RecoveryStage};
use pinetrestle_rollout::{
    Budget, BudgetExceeded, Command as Rollout, HealthCounters, NodePlan, Outcome, Plan, Refusal,
};

/// One entry of the log and what applying it decided.
pub struct Applied {
    pub entry: LogEntry,
    pub decided: EntryOutcome,
}

/// Log index at which the first election is counted.
pub const ELECTED: u64 = 94;
/// Log index at which a majority has reported and none serves.
pub const COUNTED: u64 = 98;
/// Log index at which the first wave opens.
pub const WAVES: u64 = 102;
/// Log index at which the first recovery has ended.
pub const NORMAL: u64 = 106;

/// The token of the release lease, granted at log index 14.
const RELEASE_TOKEN: Token = Token(14);

/// The plan with a revision.
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

/// The history, from log index 1 on. `None`: the empty entry that a new leader begins its term with.
pub fn history() -> Vec<Option<Applied>> {
    let mut history = vec![None];
    history.extend(leases().into_iter().map(Some));
    history.extend(drains().into_iter().map(Some));
    history.extend(first_release().into_iter().map(Some));
    history.extend(second_release().into_iter().map(Some));
    history.extend(recovery().into_iter().map(Some));
    history
}

fn lease(command: Lease, outcome: LeaseOutcome) -> Applied {
    Applied { entry: LogEntry::Lease(command), decided: EntryOutcome::Lease(outcome) }
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

/// Log indexes 2 to 15.
fn leases() -> Vec<Applied> {
    let busy = LeaseOutcome::Busy { holder: MemberId(1), token: Token(2) };
    let refused = LeaseOutcome::Refused;
    vec![
        lease(acquire("rebuild-index", 1, 1, 1_000, None), LeaseOutcome::Granted(Token(2))),
        lease(acquire("rebuild-index", 2, 1, 1_000, None), busy),
        lease(acquire("rebuild-index", 1, 2, 2_000, Some(2)), LeaseOutcome::Renewed(Token(2))),
        lease(expire("rebuild-index", 2, 0), refused(LeaseRefusal::StaleExpiry)),
        lease(release("rebuild-index", 2, 2, 2), refused(LeaseRefusal::NotHolder)),
        lease(release("rebuild-index", 1, 3, 2), LeaseOutcome::Released),
        lease(acquire("rebuild-index", 2, 3, 1_000, None), LeaseOutcome::Granted(Token(8))),
        lease(expire("rebuild-index", 8, 0), LeaseOutcome::Expired),
        // A copy of the request at 7 gets the answer again; one from before it is refused.
        lease(release("rebuild-index", 1, 3, 2), LeaseOutcome::Released),
        lease(acquire("rebuild-index", 1, 2, 1_000, None), refused(LeaseRefusal::StaleRequest)),
        lease(acquire("rebuild-index", 3, 1, 5, None), refused(LeaseRefusal::InvalidTtl)),
        lease(acquire("", 3, 2, 1_000, None), refused(LeaseRefusal::InvalidTaskName)),
        lease(acquire("release", 1, 1, 3_000, None), LeaseOutcome::Granted(RELEASE_TOKEN)),
        lease(acquire("compact-shards", 3, 1, 60_000, None), LeaseOutcome::Granted(Token(15))),
    ]
}

fn rollout(command: Rollout, outcome: Outcome) -> Applied {
    Applied { entry: LogEntry::Rollout(command), decided: EntryOutcome::Rollout(outcome) }
}

fn done(command: Rollout) -> Applied {
    rollout(command, Outcome::Applied)
}

fn already(command: Rollout) -> Applied {
    rollout(command, Outcome::Unchanged)
}

fn refused(command: Rollout, refusal: Refusal) -> Applied {
    rollout(command, Outcome::Refused(refusal))
}

fn begin_release(id: &str, to: &str) -> Rollout {
    Rollout::Release { id: id.to_owned(), to_version: to.to_owned() }
}

fn report(node: u64, seq: u64, version: &str, ready: bool) -> Rollout {
    Rollout::ReportStatus { node: MemberId(node), report_seq: seq, version: version.to_owned(), ready }
}

fn observed(server: &str, zone: &str, up: bool) -> Rollout {
    Rollout::ObserveServer { server: server.to_owned(), zone: zone.to_owned(), up }
}

fn drain(id: &str, server: &str) -> Rollout {
    Rollout::DrainServer { id: id.to_owned(), server: server.to_owned() }
}

fn told(node: u64, server: &str, change: u64) -> Rollout {
    Rollout::AcknowledgeDrain { node: MemberId(node), server: server.to_owned(), change_index: change }
}

fn ramp(token: Token, server: &str, change: u64) -> Rollout {
    Rollout::AdvanceRamp { token, server: server.to_owned(), change_index: change }
}

/// Log indexes 16 to 42.
fn drains() -> Vec<Applied> {
    let over_zone = BudgetExceeded { unavailable: 1, limit: 1, zone: Some("b".to_owned()) };
    vec![
        refused(begin_release("early", "2.0"), Refusal::NoPlan),
        done(Rollout::Configure(plan(1))),
        done(report(1, 1, "1.0", true)),
        done(report(2, 1, "1.0", true)),
        done(report(3, 1, "1.0", true)),
        done(report(4, 1, "1.0", true)),
        refused(report(1, 1, "1.0", true), Refusal::Stale),
        refused(report(9, 1, "1.0", true), Refusal::UnknownUnit),
        done(observed("s1", "a", true)),
        done(observed("s2", "b", true)),
        done(observed("s3", "b", false)),
        refused(drain("d-1", "s2"), Refusal::BudgetExceeded(over_zone)),
        done(observed("s3", "b", true)),
        done(drain("d-2", "s1")),
        already(drain("d-3", "s1")),
        refused(drain("d-4", "s9"), Refusal::UnknownUnit),
        done(told(1, "s1", 29)),
        already(told(1, "s1", 29)),
        done(told(2, "s1", 29)),
        done(told(3, "s1", 29)),
        refused(told(4, "s1", 3), Refusal::Stale),
        done(told(4, "s1", 29)),
        done(Rollout::ReturnServer { id: "r-1".to_owned(), server: "s1".to_owned() }),
        done(ramp(RELEASE_TOKEN, "s1", 38)),
        done(drain("d-5", "s2")),
        refused(ramp(RELEASE_TOKEN, "s1", 38), Refusal::Stale),
        refused(ramp(Token(99), "s1", 39), Refusal::StaleToken),
    ]
}

fn take(node: u64) -> Rollout {
    Rollout::GrantSlot { token: RELEASE_TOKEN, node: MemberId(node) }
}

fn begin(node: u64, slot: u64) -> Rollout {
    Rollout::BeginStep { node: MemberId(node), slot_index: slot }
}

fn finished(node: u64, slot: u64, answered: u64, failed: u64, defects: u64) -> Rollout {
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

/// Log indexes 43 to 74: a release that fails twice and is rolled back.
fn first_release() -> Vec<Applied> {
    let running = Refusal::ReleaseInProgress { id: "rel-2".to_owned() };
    let broken =
        Rollout::StepFailed { node: MemberId(2), slot_index: 58, reason: "does not start".to_owned() };
    let overdue = Rollout::StepOverdue { token: RELEASE_TOKEN, node: MemberId(1), slot_index: 46 };
    vec![
        refused(rollback("back-0"), Refusal::NoRelease),
        done(begin_release("rel-2", "2.0")),
        refused(begin_release("rel-3", "3.0"), running),
        done(take(1)),
        refused(take(2), Refusal::AwaitingCanaries),
        done(overdue),
        done(take(1)),
        done(begin(1, 49)),
        already(begin(1, 49)),
        done(finished(1, 49, 1_000, 1, 0)),
        done(report(1, 2, "2.0", true)),
        done(Rollout::DeclareUnreachable { node: MemberId(4), report_seq: 1 }),
        refused(take(4), Refusal::Unreachable),
        refused(take(2), Refusal::BudgetExceeded(BudgetExceeded { unavailable: 1, limit: 1, zone: None })),
        done(report(4, 2, "1.0", true)),
        done(take(2)),
        done(begin(2, 58)),
        done(broken),
        refused(take(3), Refusal::Halted),
        done(resume("go-1")),
        already(resume("go-2")),
        done(take(3)),
        done(begin(3, 64)),
        done(finished(3, 64, 10, 5, 0)),
        already(halt("halt-1", "operators look")),
        done(rollback("back-1")),
        done(take(1)),
        done(begin(1, 69)),
        done(finished(1, 69, 100, 0, 0)),
        done(take(3)),
        done(begin(3, 72)),
        done(finished(3, 72, 0, 0, 0)),
    ]
}

/// Log indexes 75 to 93: a release that fails once, is resumed and ends; a halt after it.
fn second_release() -> Vec<Applied> {
    vec![
        done(begin_release("rel-4", "2.1")),
        refused(begin_release("rel-5", ""), Refusal::InvalidName),
        done(take(1)),
        refused(take(1), Refusal::NotEligible),
        done(begin(1, 77)),
        done(finished(1, 77, 100, 1, 0)),
        done(take(2)),
        done(begin(2, 81)),
        done(finished(2, 81, 100, 0, 1)),
        done(resume("go-3")),
        done(take(2)),
        done(finished(2, 85, 100, 0, 0)),
        done(take(3)),
        done(finished(3, 87, 100, 0, 0)),
        done(take(4)),
        done(finished(4, 89, 100, 0, 0)),
        done(halt("halt-2", "maintenance")),
        refused(drain("d-6", "s3"), Refusal::Halted),
        done(Rollout::Configure(plan(2))),
    ]
}

fn recovers(command: Recovery) -> Applied {
    Applied { entry: LogEntry::Recovery(command), decided: EntryOutcome::Recovery(RecoveryOutcome::Applied) }
}

fn ignored(command: Recovery) -> Applied {
    Applied { entry: LogEntry::Recovery(command), decided: EntryOutcome::Recovery(RecoveryOutcome::Ignored) }
}

fn elected(term: u64) -> Recovery {
    Recovery::LeaderElected { term, members: (1..=4).map(MemberId).collect() }
}

fn present(node: u64, incarnation: u64, term: u64, serving: bool, has_endpoint_list: bool) -> Recovery {
    Recovery::ReportPresence { node: MemberId(node), incarnation, term, serving, has_endpoint_list }
}

fn advance(epoch: u64, from_stage: RecoveryStage) -> Recovery {
    Recovery::AdvanceStage { token: RELEASE_TOKEN, epoch, from_stage }
}

/// Log indexes 94 to 115: one recovery to its end, a second one that stands in its waves; a renewed lease between.
fn recovery() -> Vec<Applied> {
    vec![
        recovers(elected(2)),
        ignored(elected(1)),
        recovers(present(1, 3, 2, false, false)),
        recovers(present(2, 7, 2, false, true)),
        recovers(present(3, 5, 2, false, false)),
        ignored(advance(1, RecoveryStage::AwaitingEndpointLists)),
        recovers(present(1, 3, 2, false, true)),
        recovers(present(3, 5, 2, false, true)),
        recovers(advance(1, RecoveryStage::AwaitingEndpointLists)),
        recovers(present(1, 3, 2, true, true)),
        recovers(advance(1, RecoveryStage::Waves(1))),
        ignored(advance(1, RecoveryStage::Waves(1))),
        recovers(advance(1, RecoveryStage::Waves(2))),
        recovers(elected(3)),
        recovers(present(1, 4, 3, false, true)),
        recovers(present(4, 2, 3, false, true)),
        recovers(present(2, 8, 3, false, true)),
        ignored(present(3, 5, 2, false, true)),
        recovers(advance(2, RecoveryStage::AwaitingEndpointLists)),
        lease(acquire("release", 1, 2, 3_000, Some(14)), LeaseOutcome::Renewed(RELEASE_TOKEN)),
        recovers(present(1, 4, 3, true, true)),
        recovers(advance(2, RecoveryStage::Waves(1))),
    ]
}
