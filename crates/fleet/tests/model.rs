//! A model check of the lease and fencing rules with stateright.
//!
//! The model covers every interleaving of two members that want the lease of one task, the replicated lease
//! table, the expiry monitor of the leader, and a task sink on which the lease holder acts. Messages are lost
//! or delivered in any order, a member crashes and restarts, the leader changes, and members are stalled
//! (they do nothing while time passes). Time advances in steps of 100 ms; the time to live of a lease is 200
//! ms.
//!
//! Invariants: at most one member may act at any time, and the sink never admits a token lower than one that
//! it has admitted. A second test shows that the latter fails if the sink admits actions without the fence.

use pinetrestle_fleet::{
    Command, ExpiryMonitor, Fence, LeaseHolder, LeaseTable, MemberId, Outcome, RequestId, Task, Token,
};
use stateright::{Checker, Model, Property};

/// Length of a time step, in milliseconds.
const STEP_MS: u64 = 100;
/// Time at which the model ends, in milliseconds.
const END_MS: u64 = 400;
/// Time to live of a lease, in milliseconds.
const TTL_MS: u64 = 200;
/// Maximum number of messages in flight.
const MAX_IN_FLIGHT: usize = 2;
/// Maximum number of messages that are lost.
const MAX_LOST: u8 = 1;

#[derive(Clone, Debug, Hash, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    /// A proposed command, to the log.
    Log(Command),
    /// The outcome of a request, to the member that sent the request.
    Member(usize, RequestId, Outcome),
    /// An action with the token of the acting member, to the task sink.
    Sink(Token),
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct State {
    now: u64,
    table: LeaseTable,
    index: u64,
    expiry: ExpiryMonitor,
    members: [LeaseHolder; 2],
    incarnations: [u64; 2],
    in_flight: Vec<Message>,
    lost: u8,
    /// Whether a member has crashed. At most one crash is modelled.
    crashed: bool,
    /// Number of elections after the first. At most one is modelled.
    elections: u8,
    fence: Fence,
    /// Which actions were done in the current time step: the polls of both members, an action on the sink by
    /// each member, and the poll of the expiry monitor. Each is done at most once per time step, which bounds
    /// the number of states. A real process also does each of them once per tick.
    done: [bool; 5],
    highest_admitted: Token,
    /// Whether the sink has admitted a token lower than one that it had admitted before.
    stale_admitted: bool,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
enum Action {
    /// A time step passes.
    Tick,
    /// A member polls its lease holder.
    Poll(usize),
    /// A member acts on the task sink.
    Act(usize),
    /// The leader polls its expiry monitor.
    Expire,
    /// The message at this position is delivered.
    Deliver(usize),
    /// The message at this position is lost.
    Lose(usize),
    /// A member crashes and restarts in a new incarnation.
    Crash(usize),
    /// Another leader is elected.
    Elect,
}

/// The model of the lease and fencing rules.
struct Leases {
    /// Whether the task sink checks the token of each action with a fence.
    has_fence: bool,
}

fn task() -> Task {
    Task("t".into())
}

fn holder(member: usize, incarnation: u64) -> LeaseHolder {
    let mut holder =
        LeaseHolder::new(task(), MemberId(member as u64), TTL_MS, Some(RequestId(incarnation << 32)));
    holder.set_wanted(true);
    holder
}

fn send(state: &mut State, message: Message) {
    state.in_flight.push(message);
    state.in_flight.sort();
}

impl Model for Leases {
    type State = State;
    type Action = Action;

    /// In the initial state, member 0 holds the lease since time 0. So its expiry and the grant to the other
    /// member fit into the few time steps that the checker can cover.
    fn init_states(&self) -> Vec<State> {
        let mut table = LeaseTable::new();
        let mut members = [holder(0, 1), holder(1, 1)];
        let acquire = members[0].poll(0).unwrap();
        let Command::Acquire { request, .. } = acquire else { unreachable!() };
        let outcome = table.apply(1, &acquire);
        members[0].handle_outcome(0, request, &outcome);
        let mut expiry = ExpiryMonitor::new();
        expiry.become_leader(0, &table);
        vec![State {
            now: 0,
            table,
            index: 1,
            expiry,
            members,
            incarnations: [1, 1],
            in_flight: Vec::new(),
            lost: 0,
            crashed: false,
            elections: 0,
            fence: Fence::new(),
            done: [false; 5],
            highest_admitted: Token(0),
            stale_admitted: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < END_MS {
            actions.push(Action::Tick);
        }
        if state.in_flight.len() < MAX_IN_FLIGHT {
            for m in 0..2 {
                if !state.done[m] && state.members[m].clone().poll(state.now).is_some() {
                    actions.push(Action::Poll(m));
                }
                if !state.done[2 + m] && state.members[m].clone().valid_token(state.now).is_some() {
                    actions.push(Action::Act(m));
                }
            }
            if !state.done[4] && !state.expiry.clone().poll(state.now).is_empty() {
                actions.push(Action::Expire);
            }
        }
        for k in 0..state.in_flight.len() {
            if k == 0 || state.in_flight[k] != state.in_flight[k - 1] {
                actions.push(Action::Deliver(k));
                if state.lost < MAX_LOST {
                    actions.push(Action::Lose(k));
                }
            }
        }
        if !state.crashed {
            actions.extend([Action::Crash(0), Action::Crash(1)]);
        }
        if state.elections < 1 {
            actions.push(Action::Elect);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        match action {
            Action::Tick => {
                state.now += STEP_MS;
                state.done = [false; 5];
            }
            Action::Poll(m) => {
                state.done[m] = true;
                let command = state.members[m].poll(now)?;
                send(&mut state, Message::Log(command));
            }
            Action::Act(m) => {
                state.done[2 + m] = true;
                let token = state.members[m].valid_token(now)?;
                send(&mut state, Message::Sink(token));
            }
            Action::Expire => {
                state.done[4] = true;
                for command in state.expiry.poll(now) {
                    send(&mut state, Message::Log(command));
                }
            }
            Action::Lose(k) => {
                state.in_flight.remove(k);
                state.lost += 1;
            }
            Action::Crash(m) => {
                state.crashed = true;
                state.incarnations[m] += 1;
                state.members[m] = holder(m, state.incarnations[m]);
            }
            Action::Elect => {
                state.elections += 1;
                state.expiry.step_down();
                state.expiry.become_leader(now, &state.table);
            }
            Action::Deliver(k) => match state.in_flight.remove(k) {
                Message::Log(command) => {
                    state.index += 1;
                    let outcome = state.table.apply(state.index, &command);
                    state.expiry.observe(now, &state.table);
                    if let Command::Acquire { member, request, .. }
                    | Command::Release { member, request, .. } = command
                    {
                        send(&mut state, Message::Member(member.0 as usize, request, outcome));
                    }
                }
                Message::Member(m, request, outcome) => {
                    state.members[m].handle_outcome(now, request, &outcome)
                }
                Message::Sink(token) => {
                    let admitted = !self.has_fence || state.fence.admit(&task(), token).is_ok();
                    if admitted {
                        state.stale_admitted |= token < state.highest_admitted;
                        state.highest_admitted = state.highest_admitted.max(token);
                    }
                }
            },
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one member may act", |_, s: &State| {
                let acting = s.members.iter().filter(|h| (*h).clone().valid_token(s.now).is_some()).count();
                acting <= 1
            }),
            Property::always("the sink admits no token lower than one it admitted", |_, s: &State| {
                !s.stale_admitted
            }),
            Property::sometimes("the lease passes to the other member", |_, s: &State| {
                s.table.lease(&task()).is_some_and(|l| l.holder == MemberId(1)) && s.highest_admitted.0 > 0
            }),
        ]
    }
}

#[test]
fn every_interleaving_has_at_most_one_acting_member_and_no_stale_token() {
    let checker = Leases { has_fence: true }.checker().threads(cores()).spawn_dfs().join();
    eprintln!("states: {}", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_the_fence_a_stale_token_is_admitted() {
    let checker = Leases { has_fence: false }.checker().threads(cores()).spawn_dfs().join();
    let path = checker.assert_any_discovery("the sink admits no token lower than one it admitted");
    let steps = path.into_actions();
    eprintln!("counterexample of {} steps: {steps:?}", steps.len());
    checker.assert_no_discovery("at most one member may act");
}

fn cores() -> usize {
    std::thread::available_parallelism().map_or(2, |n| n.get())
}
