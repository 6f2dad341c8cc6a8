//! Tests of the lease table: its invariants after each of a sequence of random commands of three members, and
//! single cases of expiries, invalid requests and request ids.

use pinetrestle_fleet::{Command, Fence, LeaseTable, MemberId, Outcome, Refusal, RequestId, Task, Token};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn task(t: u8) -> Task {
    Task(format!("task-{t}"))
}

/// A random step. Two thirds of the steps are new requests, the others are copies of earlier commands.
#[derive(Debug, Clone)]
struct RandomStep {
    /// 0 for an acquire, 1 for a release, 2 for a copy of an earlier command.
    kind: u8,
    member: u8,
    task: u8,
    /// Whether an acquire carries the token of the task's current lease.
    sends_token: bool,
    /// Which earlier command a copy repeats, counted back from the last one.
    commands_back: u8,
}

fn random_step() -> impl Strategy<Value = RandomStep> {
    (0u8..3, 0u8..3, 0u8..2, any::<bool>(), 0u8..3).prop_map(
        |(kind, member, task, sends_token, commands_back)| RandomStep {
            kind,
            member,
            task,
            sends_token,
            commands_back,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn grants_are_exclusive_tokens_grow_and_copies_change_nothing(
        steps in prop::collection::vec(random_step(), 1..80),
    ) {
        let mut table = LeaseTable::new();
        let mut next_request: BTreeMap<u8, u64> = BTreeMap::new();
        let mut granted: BTreeMap<Task, Token> = BTreeMap::new();
        let mut sent: Vec<Command> = Vec::new();
        let mut index = 0;
        for RandomStep { kind, member: m, task: t, sends_token, commands_back } in steps {
            let member = MemberId(u64::from(m));
            let counter = next_request.entry(m).or_insert(1);
            let command = match kind {
                0 => {
                    let held_token = if sends_token { table.lease(&task(t)).map(|l| l.token) } else { None };
                    *counter += 1;
                    let request = RequestId(*counter);
                    Command::Acquire { task: task(t), member, request, ttl_ms: 1_000, held_token }
                }
                1 => {
                    let token = table.lease(&task(t)).map_or(Token(0), |l| l.token);
                    *counter += 1;
                    Command::Release { task: task(t), member, request: RequestId(*counter), token }
                }
                _ => match sent.len().checked_sub(1 + usize::from(commands_back)).map(|i| sent[i].clone()) {
                    Some(old) => old,
                    None => continue,
                },
            };
            let before = table.clone();
            index += 1;
            let outcome = table.apply(index, &command);
            // A copy of a member's last request for a task changes no lease; a request with a lower id is
            // refused.
            if kind == 2 {
                let (Command::Acquire { member, request, task, .. }
                | Command::Release { member, request, task, .. }) = &command
                else { unreachable!() };
                if before.last_request(*member, task) == Some(*request) {
                    prop_assert_eq!(table.leases().collect::<Vec<_>>(), before.leases().collect::<Vec<_>>());
                } else if before.last_request(*member, task) > Some(*request) {
                    prop_assert_eq!(&outcome, &Outcome::Refused(Refusal::StaleRequest));
                }
            }
            // A lease is only granted if the task has none or if the member itself holds it. Its token is the
            // log index, which is higher than every earlier token of the task.
            let is_copy = match &command {
                Command::Acquire { member, request, task, .. }
                | Command::Release { member, request, task, .. } => {
                    before.last_request(*member, task) == Some(*request)
                }
                Command::Expire { .. } => false,
            };
            if let (Outcome::Granted(token), false) = (&outcome, is_copy) {
                let token = *token;
                let Command::Acquire { task, member, .. } = &command else { unreachable!() };
                prop_assert_eq!(token, Token(index));
                prop_assert!(granted.get(task).is_none_or(|earlier| *earlier < token));
                prop_assert!(before.lease(task).is_none_or(|l| l.holder == *member));
                granted.insert(task.clone(), token);
            }
            // The token of each lease is the last one that was granted for its task.
            for (t, lease) in table.leases() {
                prop_assert_eq!(Some(&lease.token), granted.get(t));
            }
            sent.push(command);
        }
    }
}

#[test]
fn an_expiry_ends_only_the_lease_with_its_token_and_only_without_a_later_renewal() {
    let mut table = LeaseTable::new();
    let t = task(0);
    let acquire = |request, held_token| Command::Acquire {
        task: t.clone(),
        member: MemberId(1),
        request: RequestId(request),
        ttl_ms: 500,
        held_token,
    };
    assert_eq!(table.apply(1, &acquire(1, None)), Outcome::Granted(Token(1)));
    assert_eq!(table.apply(2, &acquire(2, Some(Token(1)))), Outcome::Renewed(Token(1)));
    let stale = Command::Expire { task: t.clone(), token: Token(1), renewals: 0 };
    assert_eq!(table.apply(3, &stale), Outcome::Refused(Refusal::StaleExpiry));
    assert!(table.lease(&t).is_some());
    let other = Command::Acquire {
        task: t.clone(),
        member: MemberId(2),
        request: RequestId(1),
        ttl_ms: 500,
        held_token: None,
    };
    assert_eq!(table.apply(4, &other), Outcome::Busy { holder: MemberId(1), token: Token(1) });
    assert_eq!(
        table.apply(5, &Command::Expire { task: t.clone(), token: Token(1), renewals: 1 }),
        Outcome::Expired
    );
    let retry = Command::Acquire {
        task: t.clone(),
        member: MemberId(2),
        request: RequestId(2),
        ttl_ms: 500,
        held_token: None,
    };
    assert_eq!(table.apply(6, &retry), Outcome::Granted(Token(6)));
    let mut fence = Fence::new();
    assert!(fence.admit(&t, Token(6)).is_ok());
    assert_eq!(fence.admit(&t, Token(1)).unwrap_err().highest, Token(6));
}

#[test]
fn invalid_requests_are_refused_with_a_reason_and_change_nothing() {
    let mut table = LeaseTable::new();
    let acquire = |name: &str, ttl_ms, request| Command::Acquire {
        task: Task(name.into()),
        member: MemberId(1),
        request: RequestId(request),
        ttl_ms,
        held_token: None,
    };
    assert_eq!(table.apply(1, &acquire("x", 10, 1)), Outcome::Refused(Refusal::InvalidTtl));
    assert_eq!(table.apply(2, &acquire("", 1_000, 2)), Outcome::Refused(Refusal::InvalidTaskName));
    assert_eq!(
        table.apply(3, &acquire(&"y".repeat(65), 1_000, 3)),
        Outcome::Refused(Refusal::InvalidTaskName)
    );
    assert_eq!(table.leases().count(), 0);
    for n in 0..64u64 {
        let outcome = table.apply(10 + n, &acquire(&format!("t{n}"), 1_000, 10 + n));
        assert_eq!(outcome, Outcome::Granted(Token(10 + n)));
    }
    assert_eq!(table.apply(100, &acquire("one-more", 1_000, 100)), Outcome::Refused(Refusal::TooManyTasks));
}

#[test]
fn request_ids_of_one_member_are_separate_for_each_task() {
    let mut table = LeaseTable::new();
    let acquire = |name: &str| Command::Acquire {
        task: Task(name.into()),
        member: MemberId(1),
        request: RequestId(1),
        ttl_ms: 1_000,
        held_token: None,
    };
    assert_eq!(table.apply(1, &acquire("a")), Outcome::Granted(Token(1)));
    assert_eq!(
        table.apply(2, &acquire("b")),
        Outcome::Granted(Token(2)),
        "the request was handled as a copy of the request for the other task"
    );
    assert_eq!(table.leases().count(), 2);
    assert_eq!(
        table.apply(3, &acquire("b")),
        Outcome::Granted(Token(2)),
        "a copy of a request does not get the outcome of the request"
    );
}
