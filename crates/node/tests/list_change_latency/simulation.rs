//! A simulation of a front node's host and its watches on a discovery service, with a simulated clock.
//!
//! All times are microseconds since the start of the simulation. A *call* is a request to discovery; once
//! discovery answers, the call is the connection of a *watch*, over which changes of the endpoint list
//! arrive.

use crate::common::config_with;
use pinetrestle::interface::{ListDelivery, Micros};
use pinetrestle_node::counters::Counters;
use pinetrestle_node::host::{Command, Host};
use pinetrestle_protocol::endpoint_list::{EndpointEntry, ListUpdate, Status};
use pinetrestle_protocol::watch::WatchEvent;
use pinetrestle_protocol::watch_supervisor::{WatchAction, WatchEnd, WatchSupervisor};
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// One millisecond in microseconds.
pub const MS: u64 = 1000;
/// Longest time from a change of the endpoint list, at a reachable discovery service, until the front node
/// acts on it.
pub const CHANGE_DEADLINE: u64 = 6000 * MS;
/// Interval between two keep-alives that discovery sends on a watch.
const KEEP_ALIVE_INTERVAL: u64 = 2000 * MS;
/// Greatest number of calls open at once: one established and two being opened.
const MAX_OPEN_CALLS: usize = 3;
/// Configured fleet size of a front node that is simulated alone.
const DEFAULT_FLEET_SIZE: u64 = 3;

/// A limit on the rate of calls to discovery, which one front node keeps however discovery fails.
struct CallRateLimit {
    /// Length of the time window in microseconds.
    window: u64,
    /// Greatest number of calls in any such window.
    max_calls: usize,
}

const CALL_RATE_LIMITS: [CallRateLimit; 2] =
    [CallRateLimit { window: 1000 * MS, max_calls: 8 }, CallRateLimit { window: 10_000 * MS, max_calls: 30 }];

/// A linear congruential generator; the field is its state, at first the seed.
pub struct RandomNumbers(pub u64);

impl RandomNumbers {
    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound.max(1)
    }
}

/// The outcome of a call to discovery. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// Answered after this duration; receives every change from then on.
    Healthy(u64),
    /// Refused or reset after this duration: no listener, a status of 503, or a reset.
    Refused(u64),
    /// Never answered: no connection, no response, an incomplete response head, or an incomplete first line.
    Unanswered,
    /// Answered after the first duration, and silent once the second has passed since the answer: no more
    /// bytes, an incomplete line, or bytes that trickle without completing a line.
    FallsSilent(u64, u64),
    /// Answered after the first duration, and closed once the second has passed since the answer: by an
    /// orderly close, a reset, or because of a line that is not an endpoint list.
    Closed(u64, u64),
}

impl CallOutcome {
    /// Returns a random outcome with random times.
    pub fn random(random: &mut RandomNumbers) -> CallOutcome {
        let answer_after = random.below(1500) * MS;
        let healthy_for = random.below(5000) * MS;
        match random.below(8) {
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

    /// Returns whether a call of this age receives lines.
    fn is_receiving(self, age: u64) -> bool {
        match self {
            CallOutcome::Healthy(after) => age >= after,
            CallOutcome::Refused(_) | CallOutcome::Unanswered => false,
            CallOutcome::FallsSilent(after, healthy_for) => age >= after && age <= after + healthy_for,
            CallOutcome::Closed(after, _) => age >= after,
        }
    }

    /// Returns whether discovery has refused or closed a call of this age.
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
    /// The address of discovery that was called, as a number.
    pub address: u8,
    /// When the call was made.
    pub started_at: u64,
    /// How discovery treats the call.
    pub outcome: CallOutcome,
    /// When the last line was received, if any was.
    pub last_line_at: Option<u64>,
    /// The list version received last; 0 before the first.
    received_version: u64,
}

/// Chooses the outcome of a call by the time at which it is made and the address that is called.
pub type ChooseOutcome<'a> = dyn FnMut(u64, u8) -> CallOutcome + 'a;

/// A front node and a discovery service on one simulated clock.
pub struct Simulation {
    host: Host,
    /// The watches of the front node.
    pub watches: WatchSupervisor<u8>,
    /// The open calls by watch id.
    pub calls: BTreeMap<u64, Call>,
    /// When each call so far was made, in order.
    call_times: Vec<u64>,
    /// The current time.
    pub now: u64,
    /// The current list version at discovery; a test increments it to change the list.
    pub version: u64,
    /// When the front node first acted on each list version or a later one.
    pub acted_on: BTreeMap<u64, u64>,
    answer_timeout: Duration,
    silence_timeout: u64,
}

impl Simulation {
    /// Returns a front node of a small fleet that has the list pushed, or polls for it if `pushed` is false.
    pub fn new(pushed: bool, seed: u64) -> Simulation {
        Simulation::in_fleet(pushed, seed, DEFAULT_FLEET_SIZE)
    }

    /// Returns one front node that is configured for a fleet of this many.
    pub fn in_fleet(pushed: bool, seed: u64, fleet_size: u64) -> Simulation {
        let config = config_with(|settings| {
            settings["discovery"] = json!(if pushed { "push" } else { "ask" });
            settings["fleet_size"] = json!(fleet_size);
        });
        let is_polled = config.deployment.settings.list_delivery == ListDelivery::Polled;
        assert_eq!(is_polled, !pushed);
        let counters = Rc::new(Counters::new(&config.deployment.classes));
        let deployment = Rc::new(config.deployment.clone());
        let mut host = Host::new(deployment, counters, seed, Micros(0));
        host.endpoint_update(Micros(0), &config.initial_list, true);
        let transport = &config.transport;
        Simulation {
            host,
            watches: WatchSupervisor::new(0, 0),
            calls: BTreeMap::new(),
            call_times: Vec::new(),
            now: 0,
            version: 1,
            acted_on: BTreeMap::new(),
            answer_timeout: transport.discovery_answer_timeout,
            silence_timeout: transport.watch_silence_timeout.as_micros() as u64,
        }
    }

    /// Returns the list at discovery's current version; its only entry names that version.
    fn current_list(&self) -> ListUpdate {
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

    /// Changes the address of discovery, as a reload of the configuration does.
    pub fn change_discovery_address(&mut self, address: u8, choose_outcome: &mut ChooseOutcome<'_>) {
        let actions =
            self.watches.change_address(Duration::from_micros(self.now), address, self.answer_timeout);
        self.execute(actions, choose_outcome);
    }

    /// Carries out the actions of the watch supervisor.
    fn execute(&mut self, actions: Vec<WatchAction<u8>>, choose_outcome: &mut ChooseOutcome<'_>) {
        for action in actions {
            match action {
                WatchAction::Open { watch_id, address, .. } => {
                    let outcome = choose_outcome(self.now, address);
                    let started_at = self.now;
                    let call = Call { address, started_at, outcome, last_line_at: None, received_version: 0 };
                    self.calls.insert(watch_id, call);
                    self.call_times.push(self.now);
                }
                WatchAction::Close(watch_id) => drop(self.calls.remove(&watch_id)),
                WatchAction::Deliver(update) => {
                    for version in 1..=update.version {
                        self.acted_on.entry(version).or_insert(self.now);
                    }
                    self.host.endpoint_update(Micros(self.now as i64), &update, false);
                }
                WatchAction::ReportLost(end) => self.host.endpoint_watch_lost(end),
                WatchAction::ReportFailed(end) => self.host.endpoint_watch_request_failed(end),
                WatchAction::ReportAddressChanging => self.host.discovery_changing(),
                WatchAction::ReportAddressChanged => self.host.discovery_changed(),
            }
        }
    }

    /// Advances the clock by one millisecond and processes everything that is due.
    pub fn step(&mut self, choose_outcome: &mut ChooseOutcome<'_>) {
        self.now += MS;
        let now = Duration::from_micros(self.now);
        let mut actions = self.watches.on_deadline(now, self.answer_timeout);
        for watch_id in self.calls.keys().copied().collect::<Vec<_>>() {
            actions.extend(self.step_call(watch_id));
        }
        self.execute(actions, choose_outcome);
        if self.host.next_timer().is_some_and(|due| due.0 <= self.now as i64)
            || self.host.has_pending_events()
        {
            for command in self.host.process_batch(Micros(self.now as i64)) {
                if command == Command::WatchEndpoints {
                    let requested = self.watches.request_watch(now, self.answer_timeout);
                    self.execute(requested, choose_outcome);
                }
            }
        }
        assert!(self.calls.len() <= MAX_OPEN_CALLS, "{:?}", self.calls);
    }

    /// Processes one call at the current time: its timeout, its close by discovery, or a line that it
    /// receives. Returns the resulting actions of the watch supervisor.
    fn step_call(&mut self, watch_id: u64) -> Vec<WatchAction<u8>> {
        let list = self.current_list();
        let Some(call) = self.calls.get_mut(&watch_id) else { return Vec::new() };
        let age = self.now - call.started_at;
        let last_line_at = call.last_line_at.unwrap_or(call.started_at);
        let timeout = match call.last_line_at {
            Some(_) => self.silence_timeout,
            None => self.answer_timeout.as_micros() as u64,
        };
        let silent_for = self.now - last_line_at;
        let is_receiving = call.outcome.is_receiving(age);
        if call.outcome.is_closed(age) {
            self.calls.remove(&watch_id);
            self.watches.on_watch_ended(watch_id, WatchEnd::ByPeer)
        } else if silent_for >= timeout && !is_receiving {
            self.calls.remove(&watch_id);
            self.watches.on_watch_ended(watch_id, WatchEnd::Silent(Duration::from_micros(silent_for)))
        } else if is_receiving && call.received_version != self.version {
            call.received_version = self.version;
            call.last_line_at = Some(self.now);
            self.watches.on_event(watch_id, WatchEvent::Update(list))
        } else if is_receiving
            && call.last_line_at.is_some_and(|last_line_at| self.now - last_line_at >= KEEP_ALIVE_INTERVAL)
        {
            call.last_line_at = Some(self.now);
            self.watches.on_event(watch_id, WatchEvent::KeepAlive)
        } else {
            Vec::new()
        }
    }

    /// Asserts that the calls so far kept every limit of [`CALL_RATE_LIMITS`].
    pub fn assert_call_rate_limits(&self) {
        for limit in &CALL_RATE_LIMITS {
            for (index, from) in self.call_times.iter().enumerate() {
                let in_window = self.call_times[index..].iter().take_while(|at| **at < from + limit.window);
                let calls = in_window.count();
                assert!(calls <= limit.max_calls, "{calls} calls in {} µs from {from}", limit.window);
            }
        }
    }
}
