//! A front node's host and its watches on a simulated discovery, on one simulated clock.

use crate::common::config_with;
use pinetrestle::interface::Micros;
use pinetrestle_node::counters::Counters;
use pinetrestle_node::host::{Command, Host};
use pinetrestle_protocol::endpoint_list::{EndpointEntry, ListUpdate, Status};
use pinetrestle_protocol::watch::WatchEvent;
use pinetrestle_protocol::watch_supervisor::{WatchAction, WatchSupervisor, WatchTimeouts};
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Microseconds of a millisecond: all times of the simulation are in microseconds from its start.
pub const MS: u64 = 1000;
/// A change must be acted on this long after discovery had it and was reachable.
pub const CHANGE_DEADLINE: u64 = 6000 * MS;
/// Time between two keep-alives of a watch.
const KEEP_ALIVE_INTERVAL: u64 = 2000 * MS;
/// Calls that may be open at once: one established and two that are being opened.
const MAX_OPEN_CALLS: usize = 3;
/// Fleet size of a front node that is simulated alone.
const DEFAULT_FLEET_SIZE: u64 = 3;

/// At most so many calls of one front node in any window of this length, however discovery fails.
struct CallRate {
    window: u64,
    max_calls: usize,
}

const CALL_RATES: [CallRate; 2] =
    [CallRate { window: 1000 * MS, max_calls: 8 }, CallRate { window: 10_000 * MS, max_calls: 30 }];

/// A linear congruential generator.
pub struct RandomNumbers(pub u64);

impl RandomNumbers {
    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound.max(1)
    }
}

/// What becomes of a call to discovery; times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// It is answered after so long, and receives every change from then on.
    Healthy(u64),
    /// It is refused or reset after so long: no listener, a status of 503, a reset.
    Refused(u64),
    /// It is never answered: no connection, no answer, half a head, or half a line.
    Unanswered,
    /// It is answered after so long, and silent so long after that: nothing more, half a line, or bytes that trickle.
    FallsSilent(u64, u64),
    /// It is answered after so long, and closed so long after that: in order, reset, or by a line that is no list.
    Closed(u64, u64),
}

impl CallOutcome {
    /// One of all outcomes, with random times.
    pub fn random(numbers: &mut RandomNumbers) -> CallOutcome {
        let answer_after = numbers.below(1500) * MS;
        let healthy_for = numbers.below(5000) * MS;
        match numbers.below(8) {
            0 => CallOutcome::Refused(0),
            1 => CallOutcome::Refused(answer_after),
            2 => CallOutcome::Unanswered,
            3 => CallOutcome::FallsSilent(answer_after, healthy_for),
            4 => CallOutcome::FallsSilent(answer_after, 0),
            5 => CallOutcome::Closed(answer_after, healthy_for),
            6 => CallOutcome::Closed(answer_after, 0),
            _ => CallOutcome::Healthy(answer_after),
        }
    }

    /// Whether a call of this age receives lines.
    fn is_receiving(self, age: u64) -> bool {
        match self {
            CallOutcome::Healthy(after) => age >= after,
            CallOutcome::Refused(_) | CallOutcome::Unanswered => false,
            CallOutcome::FallsSilent(after, healthy_for) => age >= after && age <= after + healthy_for,
            CallOutcome::Closed(after, _) => age >= after,
        }
    }

    /// Whether a call of this age has been closed by discovery.
    fn is_closed(self, age: u64) -> bool {
        match self {
            CallOutcome::Refused(after) => age >= after,
            CallOutcome::Closed(after, healthy_for) => age > after + healthy_for,
            CallOutcome::Healthy(_) | CallOutcome::Unanswered | CallOutcome::FallsSilent(..) => false,
        }
    }
}

/// An open call to discovery.
#[derive(Clone, Debug)]
pub struct Call {
    /// The address that was called.
    pub address: u8,
    /// When it was made.
    pub begun: u64,
    /// What becomes of it.
    pub outcome: CallOutcome,
    /// When it last received a line.
    pub last_line: Option<u64>,
    /// The version of the list that it received last.
    received_version: u64,
}

/// Says what becomes of a call that is made at a time to an address.
pub type ChooseOutcome<'a> = dyn FnMut(u64, u8) -> CallOutcome + 'a;

/// A front node and discovery, on one clock.
pub struct Simulation {
    host: Host,
    /// The watches of the front node.
    pub watches: WatchSupervisor<u8>,
    /// The open calls by the number of their watch.
    pub calls: BTreeMap<u64, Call>,
    /// When each call was made.
    calls_made: Vec<u64>,
    /// The time.
    pub now: u64,
    /// The version of the list that discovery has.
    pub version: u64,
    /// When the front node acted on each version.
    pub acted_on: BTreeMap<u64, u64>,
    /// The timeouts of the watches.
    pub timeouts: WatchTimeouts,
    answer_timeout: u64,
    silence_timeout: u64,
}

impl Simulation {
    /// A front node of a small fleet; the list is pushed, or polled for.
    pub fn new(pushed: bool, seed: u64) -> Simulation {
        Simulation::in_fleet(pushed, seed, DEFAULT_FLEET_SIZE)
    }

    /// One front node of a fleet of so many.
    pub fn in_fleet(pushed: bool, seed: u64, fleet_size: u64) -> Simulation {
        let config = config_with(|settings| {
            settings["discovery"] = json!(if pushed { "push" } else { "ask" });
            settings["fleet_size"] = json!(fleet_size);
        });
        assert_eq!(config.deployment.settings.poll_endpoint_list, !pushed);
        let counters = Rc::new(Counters::new(&config.deployment.classes));
        let deployment = Rc::new(config.deployment.clone());
        let mut host = Host::new(deployment, counters, seed, Micros(0));
        host.endpoint_update(Micros(0), &config.initial_list, true);
        let transport = &config.transport;
        Simulation {
            host,
            watches: WatchSupervisor::new(pushed, 0, 0),
            calls: BTreeMap::new(),
            calls_made: Vec::new(),
            now: 0,
            version: 1,
            acted_on: BTreeMap::new(),
            timeouts: WatchTimeouts {
                answer_timeout: transport.discovery_answer_timeout,
                retry_delay: transport.watch_retry_delay,
            },
            answer_timeout: transport.discovery_answer_timeout.as_micros() as u64,
            silence_timeout: transport.watch_silence_timeout.as_micros() as u64,
        }
    }

    fn list(&self) -> ListUpdate {
        let entry = EndpointEntry {
            name: format!("s-{}", self.version),
            address: "127.0.0.1:1".into(),
            cell: 0,
            status: Status::Up,
            weight: 1.0,
            start_time_ms: 0,
        };
        ListUpdate { version: self.version, complete: true, entries: vec![entry] }
    }

    /// The configuration names another address of discovery.
    pub fn move_discovery(&mut self, address: u8, choose_outcome: &mut ChooseOutcome<'_>) {
        let moved = self.watches.change_address(Duration::from_micros(self.now), address, self.timeouts);
        self.execute(moved, choose_outcome);
    }

    fn execute(&mut self, actions: Vec<WatchAction<u8>>, choose_outcome: &mut ChooseOutcome<'_>) {
        for action in actions {
            match action {
                WatchAction::Open { watch_id, address, .. } => {
                    let outcome = choose_outcome(self.now, address);
                    let begun = self.now;
                    let call = Call { address, begun, outcome, last_line: None, received_version: 0 };
                    self.calls.insert(watch_id, call);
                    self.calls_made.push(self.now);
                }
                WatchAction::Close(number) => drop(self.calls.remove(&number)),
                WatchAction::Deliver(update) => {
                    for version in 1..=update.version {
                        self.acted_on.entry(version).or_insert(self.now);
                    }
                    self.host.endpoint_update(Micros(self.now as i64), &update, false);
                }
                WatchAction::ReportLost => self.host.endpoint_watch_failed(),
            }
        }
    }

    /// Advances the clock by one millisecond.
    pub fn step(&mut self, choose_outcome: &mut ChooseOutcome<'_>) {
        self.now += MS;
        let now = Duration::from_micros(self.now);
        let mut actions = self.watches.on_deadline(now, self.timeouts);
        for number in self.calls.keys().copied().collect::<Vec<_>>() {
            actions.extend(self.step_call(number));
        }
        self.execute(actions, choose_outcome);
        if self.host.next_timer().is_some_and(|due| due.0 <= self.now as i64)
            || self.host.has_pending_events()
        {
            for command in self.host.process_batch(Micros(self.now as i64)) {
                if command == Command::WatchEndpoints {
                    let requested = self.watches.request_watch(now, self.timeouts);
                    self.execute(requested, choose_outcome);
                }
            }
        }
        assert!(self.calls.len() <= MAX_OPEN_CALLS, "{:?}", self.calls);
    }

    /// What the watch of one call does at this time.
    fn step_call(&mut self, number: u64) -> Vec<WatchAction<u8>> {
        let now = Duration::from_micros(self.now);
        let list = self.list();
        let Some(call) = self.calls.get_mut(&number) else { return Vec::new() };
        let age = self.now - call.begun;
        let deadline = match call.last_line {
            Some(last_line) => last_line + self.silence_timeout,
            None => call.begun + self.answer_timeout,
        };
        let is_receiving = call.outcome.is_receiving(age);
        if call.outcome.is_closed(age) || self.now >= deadline && !is_receiving {
            self.calls.remove(&number);
            self.watches.on_watch_ended(now, number, self.timeouts)
        } else if is_receiving && call.received_version != self.version {
            call.received_version = self.version;
            call.last_line = Some(self.now);
            self.watches.on_event(number, WatchEvent::Update(list))
        } else if is_receiving
            && call.last_line.is_some_and(|last_line| self.now - last_line >= KEEP_ALIVE_INTERVAL)
        {
            call.last_line = Some(self.now);
            self.watches.on_event(number, WatchEvent::KeepAlive)
        } else {
            Vec::new()
        }
    }

    /// Asserts that no window of [`CALL_RATES`] has more calls than allowed.
    pub fn assert_call_rate(&self) {
        for rate in &CALL_RATES {
            for (index, from) in self.calls_made.iter().enumerate() {
                let in_window = self.calls_made[index..].iter().take_while(|at| **at < from + rate.window);
                let calls = in_window.count();
                assert!(calls <= rate.max_calls, "{calls} calls in {} from {from}", rate.window);
            }
        }
    }
}
