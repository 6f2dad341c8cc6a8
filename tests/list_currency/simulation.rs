//! A front node and a discovery service on one simulated clock. Discovery fails at random while replicas
//! drain, and the simulation records attempts that the rule on drains forbids.

use crate::common::{list_entry, ms, sent_attempts, Harness};
use pinetrestle::interface::*;

/// Length of a step of the clock.
const STEP: Micros = Micros(5_000);
/// Time after which an attempt is answered.
const SERVICE_TIME: Micros = Micros(10_000);
/// Number of replicas.
const REPLICAS: u32 = 8;
/// Time after which a watch without any line is reported as silent.
const SILENCE_TIMEOUT: Micros = Micros(2_500_000);
/// Time after which a change counts as notified that a silent watch missed.
const SILENT_NOTIFICATION: Micros = Micros(6_000_000);
/// Time after a change of the discovery service from which the new one's list counts as notified.
const NEW_SERVICE_DELAY: Micros = Micros(4_000_000);
/// Slack of the rule, less the time for which a front node may be held up between its decision and the write.
const DECISION_MARGIN: Micros = Micros(100_000);

/// Random number generator (SplitMix64) of the simulation.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % bound
    }

    /// Returns true once in this many steps of the clock, on average, that fit into `seconds`.
    fn once_in_seconds(&mut self, seconds: u64) -> bool {
        self.below(seconds * 1_000_000 / STEP.0 as u64) == 0
    }

    fn millis(&mut self, bound: u64) -> Micros {
        ms(self.below(bound) as i64)
    }
}

/// The front node's watch as discovery sees it.
#[derive(Clone, Copy, PartialEq)]
enum Watch {
    Closed,
    Open,
    /// Open, with the time of the last line; changes do not arrive.
    Silent(Micros),
}

/// A replica that drains.
struct Drain {
    replica: ReplicaId,
    /// When the drain counts as notified; `None` while discovery is down.
    notified_at: Option<Micros>,
    /// Whether a list with the drain has been delivered.
    delivered: bool,
}

/// An attempt to a replica that drains, after its grace.
#[derive(Debug)]
#[allow(dead_code)] // read by the Debug form only
pub struct LateAttempt {
    replica: ReplicaId,
    sent_at: Micros,
    notified_at: Micros,
}

/// A front node with a watched list and its discovery service.
pub struct Simulation {
    harness: Harness,
    grace: Micros,
    random: Random,
    /// The replicas that drain.
    draining: Vec<Drain>,
    /// When discovery returns; `None` while it is up.
    down_until: Option<Micros>,
    watch: Watch,
    /// When the changes count as notified that the latest watch misses because it fell silent; `None` if it did
    /// not, and once another watch is open.
    silent_counts_from: Option<Micros>,
    /// When the outstanding request is answered, if there is one.
    answer_at: Option<Micros>,
    /// While the front node does not know the list of a new discovery service: when that list counts as
    /// notified. The watch on the previous service delivers no changes.
    new_service_counts_from: Option<Micros>,
    /// Number of drains so far.
    pub drains: u32,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The first attempt that broke the rule.
    pub late: Option<LateAttempt>,
}

impl Simulation {
    /// Returns a front node that starts with a stored list, on which a replica is up that drains by now.
    pub fn new(settings: Settings, seed: u64) -> Simulation {
        let grace = settings.rules.drain_grace;
        let mut simulation = Simulation {
            harness: Harness::with_seed(settings, 0, seed),
            grace,
            random: Random(seed),
            draining: Vec::new(),
            down_until: None,
            watch: Watch::Closed,
            silent_counts_from: None,
            answer_at: None,
            new_service_counts_from: None,
            drains: 0,
            attempts: 0,
            late: None,
        };
        let stored = simulation.list(true);
        let notified_at = Some(simulation.harness.now);
        simulation.draining.push(Drain { replica: 0, notified_at, delivered: false });
        simulation.deliver(vec![stored]);
        simulation
    }

    /// Advances the clock in steps.
    pub fn run(&mut self, duration: Micros) {
        let end = self.harness.now + duration;
        while self.harness.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.harness.now = self.harness.now + STEP;
        let mut events = vec![Event::TimerFired];
        self.step_discovery(&mut events);
        self.change_list(&mut events);
        self.answer_request(&mut events);
        self.end_attempts(&mut events);
        if self.random.below(3) == 0 {
            let shard = self.random.below(4) as u32;
            events.extend(self.harness.query_events(0, &[shard, (shard + 2) % 4], ms(3000)).1);
        }
        self.deliver(events);
    }

    /// Takes discovery down or up, ends or silences the watch, or changes the configured service, at random.
    fn step_discovery(&mut self, events: &mut Vec<Event>) {
        let now = self.harness.now;
        if self.down_until.is_some_and(|until| now >= until) {
            self.down_until = None;
            let notified_at = self.new_service_counts_from.map_or(now, |from| from.max(now));
            for drain in &mut self.draining {
                drain.notified_at.get_or_insert(notified_at);
            }
        } else if self.down_until.is_none() && self.random.once_in_seconds(8) {
            let outage = self.random.millis(8000);
            self.down_until = Some(now + outage);
            self.silent_counts_from = None;
            // Nobody can know what was not delivered before; it counts from the return.
            for drain in self.draining.iter_mut().filter(|drain| !drain.delivered) {
                drain.notified_at = None;
            }
            if self.answer_at.take().is_some() {
                events.push(Event::WatchFailed(WatchFailure::Refused));
            }
            self.end_watch(events);
        }
        if self.watch == Watch::Open && self.random.once_in_seconds(5) {
            self.end_watch(events);
        }
        if self.watch == Watch::Open && self.random.once_in_seconds(15) {
            self.watch = Watch::Silent(now);
            self.silent_counts_from = Some(now + SILENT_NOTIFICATION);
        }
        if matches!(self.watch, Watch::Silent(from) if now - from >= SILENCE_TIMEOUT) {
            self.watch = Watch::Closed;
            events.push(Event::WatchFailed(WatchFailure::Silent(SILENCE_TIMEOUT)));
        }
        let is_settled = self.watch == Watch::Open && self.answer_at.is_none() && self.down_until.is_none();
        if is_settled && self.random.once_in_seconds(15) {
            self.new_service_counts_from = Some(now + NEW_SERVICE_DELAY);
            let delay = self.random.millis(3000);
            self.answer_at = Some(now + delay);
            events.push(Event::DiscoveryChanging);
        }
    }

    fn end_watch(&mut self, events: &mut Vec<Event>) {
        if self.watch != Watch::Closed {
            self.watch = Watch::Closed;
            events.push(Event::WatchFailed(WatchFailure::Ended));
        }
    }

    /// Makes another replica drain, once in a second on average. An open watch is told, or ends instead.
    fn change_list(&mut self, events: &mut Vec<Event>) {
        if !self.random.once_in_seconds(1) {
            return;
        }
        let now = self.harness.now;
        let replica = self.random.below(u64::from(REPLICAS)) as ReplicaId;
        if self.draining.iter().any(|drain| drain.replica == replica) {
            return;
        }
        if self.draining.len() > 1 {
            self.draining.remove(0);
        }
        self.drains += 1;
        let counts_from = self.new_service_counts_from.max(self.silent_counts_from);
        let notified_at = counts_from.map_or(now, |from| from.max(now));
        let notified_at = self.down_until.is_none().then_some(notified_at);
        self.draining.push(Drain { replica, notified_at, delivered: false });
        if self.watch == Watch::Open && self.new_service_counts_from.is_none() {
            if self.random.below(2) == 0 {
                self.end_watch(events);
            } else {
                events.push(self.delivered_list());
            }
        }
    }

    /// Answers the outstanding request if its answer is due.
    fn answer_request(&mut self, events: &mut Vec<Event>) {
        if self.answer_at.is_none_or(|at| at > self.harness.now) {
            return;
        }
        self.answer_at = None;
        if self.down_until.is_some() {
            events.push(Event::WatchFailed(WatchFailure::Refused));
            return;
        }
        self.watch = Watch::Open;
        self.silent_counts_from = None;
        events.push(self.delivered_list());
        if self.new_service_counts_from.take().is_some() {
            events.push(Event::DiscoveryChanged);
        }
    }

    fn end_attempts(&mut self, events: &mut Vec<Event>) {
        let now = self.harness.now;
        let is_due = |sent_at: Micros| now - sent_at >= SERVICE_TIME;
        let in_flight = &self.harness.in_flight;
        let due: Vec<_> =
            in_flight.iter().filter(|(_, (_, sent))| is_due(*sent)).map(|(key, _)| *key).collect();
        for (part, attempt) in due {
            events.push(self.harness.attempt_ended(part, attempt, Outcome::Ok));
        }
    }

    fn delivered_list(&mut self) -> Event {
        self.draining.iter_mut().for_each(|drain| drain.delivered = true);
        self.list(false)
    }

    fn list(&self, cached: bool) -> Event {
        let lifecycle = |id| match self.draining.iter().any(|drain| drain.replica == id) {
            true => Lifecycle::Draining,
            false => Lifecycle::InService,
        };
        let replicas = (0..REPLICAS).map(|id| list_entry(id, lifecycle(id), None)).collect();
        Event::EndpointList { replicas, cached }
    }

    /// Delivers events, checks the attempts sent against the rule, and takes requests for a watch.
    fn deliver(&mut self, events: Vec<Event>) {
        let actions = self.harness.deliver(events);
        let now = self.harness.now;
        for (_, replica) in sent_attempts(&actions) {
            self.attempts += 1;
            let notified = self.draining.iter().find(|drain| drain.replica == replica);
            let notified = notified.and_then(|drain| drain.notified_at);
            if let Some(notified_at) = notified.filter(|at| now > *at + self.grace - DECISION_MARGIN) {
                self.late.get_or_insert(LateAttempt { replica, sent_at: now, notified_at });
            }
        }
        if actions.contains(&Action::WatchEndpointList) {
            // Refused at once, answered at once, or after some waiting in the queue of discovery.
            let crowded = self.random.below(3) == 0;
            let delay = if crowded { self.random.millis(1800) } else { Micros(0) };
            let delay = if self.down_until.is_some() { Micros(0) } else { delay };
            self.answer_at = Some(now + delay);
        }
    }
}
