//! Interface: src/interface.rs (settings, events).
//!
//! Every decision of the front node is in this file. Order: tuned values, state, absorbing a batch of
//! events, judging replicas, admission, one query's life, the gates, sending, ending.

use crate::interface::*;
use crate::state::{Attempt, Flight, Part, Query, Replica, Slot};
use crate::sums::{append, fade, mix, quantile, sorted, Fading, Random, Window};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// Tuned values. None comes from a deployment; each is a ratio, or a span against which ratios settle.
const SECOND: Micros = Micros(1_000_000);
const SWEEP: Micros = Micros(20_000); // how often open queries are looked at when nothing happens
const HALF_LIFE: Micros = Micros(10_000_000); // of the counters of parts, extras, copies, tenants' queries
const EXTRA_SHARE: f64 = 0.1; // extras stay under this share of our parts (design page)
const COPY_SHARE: f64 = 0.15; // further attempts stay under this share of our parts ...
const COPY_FLOOR: f64 = 6.0; // ... plus so many, so that a storm of copies cannot start
const ASK_WAIT: Micros = Micros(200_000); // first wait before the list is asked for again
const TOLD: Micros = Micros(6_000_000); // what there is to tell counts as told after this (protocol page)
const RING: usize = 64; // latencies kept for each class and step
const LEAST_SAMPLES: usize = 8; // fewer say nothing
const LATE_RATIO: f64 = 4.0; // an attempt is never overdue before this multiple of the typical latency
const LATE_SHARE: f64 = 0.5; // nor after this share of the aim
const HUSH: f64 = 2.0; // nobody answers for this multiple of the typical latency: a silence of all
const SETTLE: Micros = Micros(10_000); // after one, what has piled up is read so long before it is acted on
const SLOW_FROM: f64 = 2.0; // a replica this much slower than its peers counts for more
const CONDEMNED: f64 = 4.0; // and from here on it is a last choice and logged
const PACE_CAP: f64 = 40.0; // no observation makes a replica look slower than this
const PACE_GAIN: f64 = 0.2; // weight of one answer in a replica's pace
const PACE_HALF: Micros = Micros(4_000_000); // a pace without news falls halfway back to 1 in this time
const GHOST: Micros = Micros(1_500_000); // a failed attempt keeps counting this long
const GHOST_GROWTH: usize = 4; // each of so many failures before it adds half as long again
const COLD_MARGIN: f64 = 0.7; // part of our share of a cold replica's budget that we use
const STRAIN_FROM: f64 = 0.6; // parts that take this share of the aim mean that queries will miss it
const STRAIN_OVER: f64 = 0.4; // and below this share the strain is over
const STRAIN_WINDOW: Micros = Micros(1_500_000); // latencies older than this don't speak of strain
const FULL_TELLS: f64 = 2.0; // being full raises strain to this multiple of what latencies tell
const STRAIN_SAMPLES: usize = 24; // but the latest so many do: one query's parts are no evidence
const FLOW_HALF: Micros = Micros(1_000_000); // half-life of the flow of answers
const LIMIT_SHARE: f64 = 0.6; // share of the aim that parts may take on average while under strain
const LEAST_LIMIT: f64 = 10.0; // parts out for each replica, of all front nodes, that are always allowed
const LEAST_ROOM: f64 = 8.0; // parts out at one replica that admission always allows ...
const FLEET_ROOM: f64 = 40.0; // ... less where all front nodes together would make more than this
const GHOST_WEIGHT: f64 = 2.0; // of a failure against a part out, when room is judged ...
const GHOST_ANSWERED: f64 = 0.5; // ... and of one that an answer followed
const SHORT_TRIES: u32 = 16; // so many short tries in a row are no repeats
const OVER_QUOTA: f64 = 1.3; // a tenant beyond this multiple of our share of its quota is over it
const LEAST_TIME: f64 = 2.0; // a query takes this multiple of the typical part at least
const RANK_TILT: f64 = 0.4; // part of the limit that the least worthy query may not use
const KILLER: usize = 2; // replicas that drop a query with nothing answered before it is given up
const WARY: Micros = Micros(5_000_000); // this long after a replica died, queries send one part ahead
const WIDE: f64 = 0.33; // ... that could bring down this share of the replicas
const EPS: f64 = 0.0001; // sums of weights may come up this short

/// The decisions of one front node.
#[derive(Default)]
pub struct FrontNode {
    set: Settings,
    rng: Random,
    now: Micros,
    born: Micros,
    round: u64,
    last_call: u64,
    pub(crate) replicas: BTreeMap<ReplicaId, Replica>,
    queries: BTreeMap<u64, Query>,
    flights: BTreeMap<(Id, u32), Flight>,
    slots: Vec<Slot>,                     // by class and step
    tries: Vec<(Micros, u32)>,            // by class: the longest time a try was given, shorter ones since
    taken: Window,                        // queries and parts, for the retry budget
    further: Window,                      // further attempts, for the retry budget
    keep: Micros,                         // how long both are kept
    cells: BTreeMap<u32, Vec<ReplicaId>>, // who is listed in each
    sent: Fading,                         // parts sent, and of them ...
    extras: Fading,                       // ... the extras ...
    copies: Fading,                       // ... and the further attempts
    tenants: Vec<Fading>,                 // queries of each tenant
    densities: VecDeque<f64>,             // worth for work of the latest queries
    flow: Fading,                         // answers of late, each as the time its class may take
    calls: Fading,                        // calls sent ...
    gap: Micros,           // ... and how long it takes on average until a replica gets the next one
    served: Fading,        // work answered, and of it ...
    usual: f64,            // ... the part of a core that a replica of size 1 gets from us
    limit: Option<f64>,    // parts out that admission allows, while under strain
    asked: Option<Micros>, // when the list was asked for, if a watch may stand
    told: bool,            // the watch has brought news since
    ask_at: Micros,
    ask_wait: Micros,
    wake_at: Option<Micros>,
    died_at: Option<Micros>, // when a replica was last found dying or dead
    heard: Micros,           // when any replica last answered or dropped anything
    hush: (Micros, Micros),  // the latest silence of all: from when till when
    outside: Micros, // when anything last came: a query, an answer, the end of a connection or of a client
    settled: Micros, // until then what came first after a standstill waits for what comes behind it
    actions: Vec<Action>, // decided in this batch
}

impl FrontNode {
    /// A front node that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> FrontNode {
        let classes = settings.classes.len();
        let mut node = FrontNode {
            rng: Random(seed),
            now,
            born: now,
            slots: (0..classes * 2).map(|_| Slot::default()).collect(),
            tries: vec![(Micros(0), 0); classes],
            tenants: vec![Fading::default(); settings.tenants.len()],
            ask_wait: ASK_WAIT,
            keep: settings.rules.retry_budget.map_or(Micros(0), |budget| budget.window.times(2.0)),
            set: settings,
            ..FrontNode::default()
        };
        // Where no time is stated within which the list must be asked for, waits still need a bound.
        node.set.rules.ask_within = node.set.rules.ask_within.max(ASK_WAIT.times(20.0));
        // Front nodes often restart together; the list service should not meet them all at once.
        let spread = ASK_WAIT.times(0.25 * f64::from(node.set.fleet_size));
        node.ask_at = now + spread.min(node.set.rules.ask_within.times(0.25)).times(node.rng.next());
        node
    }

    /// Takes in a whole batch of events, then decides once.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        self.round += 1;
        self.listen(events);
        for event in events {
            self.absorb(event);
        }
        self.judge();
        self.watch_list();
        self.set_limit();
        for number in self.queries.keys().copied().collect::<Vec<_>>() {
            let Some(mut query) = self.queries.remove(&number) else { continue };
            if self.advance(&mut query) {
                self.queries.insert(number, query);
            }
        }
        if (self.set.must_ask && !self.told || !self.queries.is_empty()) && self.wake_at.is_none() {
            self.wake_at = Some(now + SWEEP);
            self.actions.push(Action::Timer(SWEEP));
        }
        actions.append(&mut self.actions);
    }

    // ---- absorbing events ----

    fn absorb(&mut self, event: &Event) {
        match event {
            Event::List { replicas, stored } => {
                let named: Vec<ReplicaId> = replicas.iter().map(|line| line.replica).collect();
                for (_, replica) in self.replicas.iter_mut().filter(|(id, _)| !named.contains(id)) {
                    replica.lifecycle = Lifecycle::Gone;
                }
                self.take_lines(replicas, !*stored);
            }
            Event::ListChanges(lines) => self.take_lines(lines, true),
            Event::ListFailed => {
                // The wait doubles and is drawn at random, so that a crowd of front nodes thins out.
                (self.asked, self.told) = (None, false); // untold, so that a timer asks where no query comes
                self.ask_at = self.now + self.ask_wait.times(0.5 + self.rng.next());
                // Within the time after which changes count as told there is room for three calls.
                let most = self.set.rules.ask_within.min(TOLD).times(0.2);
                self.ask_wait = self.ask_wait.times(2.0).min(most);
                self.actions.push(Action::Remark("list lost, asking again".into()));
            }
            Event::Query { id, number, class, tenant, expires_in, hint, repeat } => {
                self.taken.add(self.now, 1.0, self.now - self.keep);
                let Some(settings) = self.set.classes.get(*class) else {
                    self.actions.push(Action::Refuse { query: *id, retry_after: None }); // nothing of it ran
                    return;
                };
                // A repeat shorter than the longest try was cut by the client's deadline, so we know how long
                // it has waited. Unmarked, every short try is taken for one, unless all have become short.
                let (longest, short) = self.tries[*class];
                let full = expires_in.over(longest) > 0.99;
                let short = if full { 0 } else { short + 1 };
                self.tries[*class] = (longest.max(*expires_in), short);
                let marks = self.set.marks_repeats;
                let again = if marks { *repeat } else { short < SHORT_TRIES };
                let waited = if again && !full { settings.deadline - *expires_in } else { Micros(0) };
                let stretch = hint.unwrap_or_default().times(settings.aim_stretch);
                let aim = (settings.aim + stretch).min(settings.deadline) - waited;
                let (id, number, class, tenant) = (*id, *number, *class, *tenant);
                let (came, aim_at, end_at) = (self.now, self.now + aim, self.now + *expires_in);
                let (repeat, step) = (marks && *repeat, 1);
                let query = Query {
                    id,
                    number,
                    class,
                    tenant,
                    came,
                    aim_at,
                    end_at,
                    repeat,
                    step,
                    ..Query::default()
                };
                // The final answer has a timer of its own, whatever else waits.
                let left = self.stop_at(&query) - self.now;
                self.actions.push(Action::Timer(left.max(Micros(0))));
                self.queries.insert(number, query);
            }
            Event::Part { id, number, shard, weight, hint: _ } => {
                self.taken.add(self.now, 1.0, self.now - self.keep);
                if let Some(query) = self.queries.get_mut(number) {
                    let (id, shard, weight) = (*id, *shard, *weight);
                    query.parts.push(Part { id, shard, weight, step: query.step, ..Part::default() });
                }
            }
            Event::AttemptEnded { part, attempt, outcome, took } => {
                self.ended(*part, *attempt, *outcome, *took)
            }
            Event::ClientGone(id) => {
                let gone = self.queries.values().find(|query| query.id == *id).map(|query| query.number);
                if let Some(query) = gone.and_then(|number| self.queries.remove(&number)) {
                    self.cancel_open(&query, false);
                }
            }
            Event::Timer => self.wake_at = self.wake_at.filter(|at| *at > self.now),
            Event::Probed => {}
        }
    }

    fn take_lines(&mut self, lines: &[Listed], news: bool) {
        if news {
            if self.ask_wait > ASK_WAIT {
                self.actions.push(Action::Remark("list regained".into()));
            }
            (self.told, self.ask_wait) = (true, ASK_WAIT);
        }
        for line in lines {
            let (now, phase) = (self.now, self.rng.next());
            let (started, pace, factor) = (line.started, 1.0, 1.0);
            let fresh = || Replica { started, pace, factor, phase, ..Replica::default() };
            let replica = self.replicas.entry(line.replica).or_insert_with(fresh);
            if line.started.is_some() && line.started != replica.started {
                // A new process: what its predecessor did says nothing of it.
                replica.ghosts.clear();
                (replica.pace, replica.last_ok) = (1.0, now);
                (replica.started, replica.phase) = (line.started, phase);
            }
            (replica.cell, replica.size, replica.lifecycle) = (line.cell, line.size, line.lifecycle);
        }
        self.cells.clear();
        for (id, replica) in self.replicas.iter().filter(|(_, r)| r.lifecycle != Lifecycle::Gone) {
            self.cells.entry(replica.cell % self.set.cells.max(1)).or_default().push(*id);
        }
    }

    fn ended(&mut self, part: Id, attempt: u32, outcome: Outcome, took: Micros) {
        let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
        let Some(flight) = self.flights.remove(&(part, attempt)) else { return };
        let overdue = self.overdue(&flight);
        if !matches!(outcome, Outcome::Timeout | Outcome::Cancelled | Outcome::Moot) {
            self.heard = self.now;
        }
        let call_over = !self.flights.values().any(|other| other.call == flight.call);
        let seen = took.over(self.typical(flight.slot)).min(PACE_CAP);
        self.died_at = if outcome == Outcome::ConnectFailed { Some(self.now) } else { self.died_at };
        let pace = self.replicas.get(&flight.replica).map_or(1.0, |replica| self.pace(replica));
        let ghost = GHOST.max(self.gap);
        let class = &self.set.classes[flight.slot / 2];
        let allowed = class.aim.over(SECOND) / if class.second_step > 0 { 2.0 } else { 1.0 };
        if let Some(replica) = self.replicas.get_mut(&flight.replica) {
            replica.out -= u32::from(call_over);
            match outcome {
                Outcome::Ok => {
                    (replica.last_ok, replica.failing) = (self.now, 0);
                    (replica.pace, replica.pace_at) = (pace + PACE_GAIN * (seen - pace), self.now);
                    let slot = &mut self.slots[flight.slot];
                    self.served.add(self.now, HALF_LIFE, slot.work.unwrap_or(took).over(SECOND));
                    append(&mut slot.ring, (self.now, took), RING);
                    self.flow.add(self.now, FLOW_HALF, allowed);
                    replica.flow.add(self.now, FLOW_HALF, allowed);
                }
                _ if outcome == Outcome::Moot || outcome == Outcome::Cancelled && !overdue => {}
                // Failing, swallowing or refusing must not make a replica look idle: such parts still count,
                // longer after failures in a row, and a long wait is held against its pace, but no time-out
                // before a part was overdue. Covers failing one class only; hurts if errors are harmless.
                _ => {
                    let many = replica.ghosts.len().min(GHOST_GROWTH) as f64;
                    replica.ghosts.push(self.now + ghost.times(1.0 + 0.5 * many));
                    replica.failing += 1;
                    if overdue || outcome != Outcome::Timeout {
                        (replica.pace, replica.pace_at) = (pace.max(seen), self.now);
                    }
                }
            }
        }
        let Some(query) = self.queries.get_mut(&flight.query) else { return };
        let part = &mut query.parts[flight.index];
        part.done |= outcome == Outcome::Ok;
        let attempt = &mut part.attempts[attempt as usize];
        (attempt.open, attempt.never_ran, attempt.reset) = (false, never_ran, outcome == Outcome::Reset);
    }

    // ---- judging replicas ----

    /// A replica's pace, which drifts back to 1 while nothing is heard of it.
    fn pace(&self, replica: &Replica) -> f64 {
        if replica.pace == 1.0 {
            return 1.0; // as nearly all are: no power to be taken
        }
        1.0 + (replica.pace - 1.0) * fade(self.now - replica.pace_at, PACE_HALF.max(self.gap))
    }

    fn typical(&self, slot: usize) -> Micros {
        let known = self.slots[slot].typical.or_else(|| self.slots.iter().find_map(|slot| slot.typical));
        known.unwrap_or(self.set.classes[slot / 2].aim.times(0.125))
    }

    /// A silence of all: more than half of the replicas in service owe us an answer, and no replica has given
    /// any for longer than parts take. Then this machine, the network or whatever all depend on stands still,
    /// and what is sent into it is read when it is over: nobody is late by it. Covers pauses of everything;
    /// hurts where more than half of the replicas fall silent for good and all else is at rest.
    ///
    /// A standstill that ends now: two replicas or more owe an answer, and for longer than parts take nothing
    /// came from anybody, clients included. What comes first after it may be the first of many.
    fn listen(&mut self, events: &[Event]) {
        let on = |id: &ReplicaId| self.replicas.get(id).is_some_and(|r| r.lifecycle == Lifecycle::On);
        let mut owing: BTreeMap<ReplicaId, Micros> = BTreeMap::new();
        let mut usual = Micros(0);
        for flight in self.flights.values().filter(|flight| !flight.cancelled && on(&flight.replica)) {
            let since = owing.entry(flight.replica).or_insert(flight.sent);
            *since = flight.sent.min(*since);
            usual = usual.max(self.typical(flight.slot));
        }
        let mut since: Vec<Micros> = owing.into_values().collect();
        since.sort_unstable();
        let longer_than_usual = |from: &Micros| self.now - *from > usual.times(HUSH);
        let half = self.replicas.values().filter(|r| r.lifecycle == Lifecycle::On).count() / 2;
        let from = since.get(half).map(|since| self.heard.max(*since));
        if let Some(from) = from.filter(longer_than_usual) {
            self.hush = (from, self.now);
        }
        if events.iter().any(comes_from_outside) {
            let standstill = since.get(1).map(|since| self.outside.max(*since)).filter(longer_than_usual);
            if standstill.is_some() {
                self.settled = self.now + SETTLE;
            }
            self.outside = self.now;
        }
    }

    /// How long something has lasted, but for a silence of all.
    fn lasted(&self, since: Micros) -> Micros {
        let (from, till) = self.hush;
        self.now - since - (till - from.max(since)).max(Micros(0))
    }

    /// Past this share of the aim a copy would come too late.
    fn latest_copy(&self, slot: usize) -> Micros {
        let class = &self.set.classes[slot / 2];
        class.aim.times(if class.second_step > 0 { LATE_SHARE / 2.0 } else { LATE_SHARE })
    }

    fn overdue_after(&self, slot: usize) -> Micros {
        // Under strain later, as copies feed a jam.
        let least = self.typical(slot).times(LATE_RATIO);
        let most = self.latest_copy(slot);
        let strained = if self.limit.is_some() { least + least } else { least };
        let late = self.slots[slot].late.unwrap_or_default().times(1.1);
        least.max(strained.max(late).min(most))
    }

    /// Overdue: out for longer than nearly all attempts of late, wherever they went, so that a slowdown
    /// of everything moves the bound along; sooner where the replica stands condemned or is gone.
    fn overdue(&self, flight: &Flight) -> bool {
        let Some(replica) = self.replicas.get(&flight.replica) else { return true };
        let restarted = replica.started.is_some_and(|at| at > flight.sent);
        let (age, after) = (self.lasted(flight.sent), self.overdue_after(flight.slot));
        let soon = replica.factor >= CONDEMNED && age > self.typical(flight.slot);
        let late = age > after || self.now - flight.sent > after.max(self.latest_copy(flight.slot));
        restarted || replica.lifecycle == Lifecycle::Gone || soon || late
    }

    /// Sets each replica's factor: its pace against the median of all. Guards against servers that are
    /// slow, hang, stall or fall silent: the longer the oldest attempt waits with no answer to anything,
    /// the more the replica counts for. Everything slow at once moves the median and condemns nobody.
    fn judge(&mut self) {
        let (now, warm) = (self.now, self.set.rules.warm_within);
        for slot in &mut self.slots {
            let latest = |span: Micros, most: usize| {
                let ring = slot.ring.iter().rev().enumerate();
                let young = ring.take_while(|(n, (at, _))| *n < most || now - *at < span);
                sorted(young.map(|(_, (_, took))| *took), LEAST_SAMPLES)
            };
            let (all, fresh) = (latest(STRAIN_WINDOW, RING), latest(STRAIN_WINDOW, STRAIN_SAMPLES));
            [slot.work, slot.typical, slot.late] = [0.25, 0.5, 0.95].map(|share| quantile(&all, share));
            slot.recent = quantile(&fresh, 0.8);
        }
        let size: f64 = self.replicas.values().filter(|r| r.lifecycle == Lifecycle::On).map(|r| r.size).sum();
        self.usual = self.served.per_second(now, HALF_LIFE) / size.max(EPS);
        let on = self.replicas.iter().filter(|(_, replica)| replica.lifecycle == Lifecycle::On);
        let mut paces: Vec<(ReplicaId, f64)> = on.map(|(id, replica)| (*id, self.pace(replica))).collect();
        // One that has left is forgotten once nothing of it counts: parts out, failures, a cold start.
        self.replicas.retain(|_, replica| {
            replica.ghosts.retain(|until| *until > now);
            let counts = replica.out > 0 || replica.started.is_some_and(|at| now - at < warm);
            replica.lifecycle != Lifecycle::Gone || counts || !replica.ghosts.is_empty()
        });
        let calls = self.calls.per_second(now, HALF_LIFE).max(EPS);
        self.gap = SECOND.times(paces.len() as f64 / calls).min(HALF_LIFE);
        for flight in self.flights.values().filter(|flight| !flight.cancelled) {
            let silence = self.lasted(flight.sent.max(self.replicas[&flight.replica].last_ok));
            let place = paces.binary_search_by_key(&flight.replica, |(id, _)| *id).ok();
            if let Some(place) = place.filter(|_| silence > self.overdue_after(flight.slot)) {
                let pace = silence.over(self.typical(flight.slot)).min(PACE_CAP);
                paces[place].1 = paces[place].1.max(pace);
            }
        }
        let mut middle: Vec<f64> = paces.iter().map(|(_, pace)| *pace).collect();
        let half = middle.len() / 2;
        let median = match middle.len() {
            0 => 1.0,
            _ => middle.select_nth_unstable_by(half, f64::total_cmp).1.max(1.0),
        };
        // Both in the order of ids, and of those in service none was forgotten.
        let on = self.replicas.iter_mut().filter(|(_, replica)| replica.lifecycle == Lifecycle::On);
        for ((id, replica), (_, pace)) in on.zip(paces) {
            let ratio = pace / median;
            replica.factor = if ratio < SLOW_FROM { 1.0 } else { ratio };
            if replica.condemned != (ratio >= if replica.condemned { SLOW_FROM } else { CONDEMNED }) {
                replica.condemned = !replica.condemned;
                let word = if replica.condemned { "condemned" } else { "readmitted" };
                self.actions
                    .push(Action::Remark(format!("replica {id} {word}, pace {ratio:.1} of its peers")));
            }
        }
    }

    /// Where the list must be asked for, a watch stands from the start on; it is renewed when it fails or is
    /// not answered: without one, old news would soon count as told.
    fn watch_list(&mut self) {
        let late = |at| !self.told && self.now - at > self.set.rules.ask_within.times(0.5);
        if self.set.must_ask && self.now >= self.ask_at && self.asked.is_none_or(late) {
            (self.asked, self.told) = (Some(self.now), false);
            self.actions.push(Action::WatchList);
        }
    }

    // ---- admission ----

    /// Sets the limit on parts out. Strain is what parts take of late against their class's aim, or how full
    /// this front node is. Under strain, the rate of answers times the latency wished is what can be out in
    /// good time (Little). Covers surge, lost capacity, slowdown of all; hurts if few slow ones set the mark.
    fn set_limit(&mut self) {
        let held = self.queries.values().map(|query| query.parts.len() + 1).sum::<usize>();
        let (mut strain, full) = (0.0_f64, held as f64 / f64::from(self.set.limits.held.max(1)));
        for (class, settings) in self.set.classes.iter().enumerate() {
            let recent = |slot: usize| self.slots[slot].recent.unwrap_or_default();
            strain = strain.max((recent(class * 2) + recent(class * 2 + 1)).over(settings.aim));
        }
        // A few queries fill a light front node: that alone, while parts are answered fast, is no strain.
        strain = strain.max((STRAIN_FROM * full).min(FULL_TELLS * strain));
        let strained = strain > if self.limit.is_some() { STRAIN_OVER } else { STRAIN_FROM };
        if strained != self.limit.is_some() {
            let word = if strained { "begun" } else { "ended" };
            self.actions.push(Action::Remark(format!("shedding {word}, strain {strain:.2}")));
        }
        let least = LEAST_LIMIT * self.replicas.len() as f64 / f64::from(self.set.fleet_size.max(1));
        let flow = self.flow.per_second(self.now, FLOW_HALF) * LIMIT_SHARE;
        self.limit = strained.then_some(flow.max(least));
    }

    /// What the query earns for each part it needs, as things stand; whether its tenant is over its share.
    fn density(&mut self, query: &Query) -> (f64, bool) {
        let class = &self.set.classes[query.class];
        let late = query.aim_at <= self.now;
        let mut worth = class.worth * if late { class.late_worth } else { 1.0 };
        let mut over = false;
        if let Some(tenant) = query.tenant {
            let counter = &mut self.tenants[tenant];
            counter.add(self.now, HALF_LIFE, 1.0);
            let quota = self.set.tenants[tenant].quota_per_s / f64::from(self.set.fleet_size.max(1));
            over = counter.per_second(self.now, HALF_LIFE) > quota * OVER_QUOTA;
            worth *= if over { self.set.over_quota_worth } else { 1.0 };
        }
        let density =
            worth / (query.parts.len().max(1) as f64 * class.need * self.typical(query.class * 2).0 as f64);
        (density, over)
    }

    fn admit(&mut self, query: &Query) -> bool {
        let (density, over) = self.density(query);
        let density = density * (0.5 + self.rng.next()); // classes of like worth fare alike
        let below = self.densities.iter().filter(|other| **other < density).count();
        // Over its share a tenant takes nothing of what is kept for the worthier, however much it asks.
        let rank = if over { 0.0 } else { below as f64 / self.densities.len().max(1) as f64 };
        append(&mut self.densities, density, RING);
        let class = &self.set.classes[query.class];
        // What can't be done in the time left is declined at once; mostly these are tries repeated late.
        let second = if class.second_step > 0 { self.typical(query.class * 2 + 1) } else { Micros(0) };
        let takes = (self.typical(query.class * 2).times(LEAST_TIME) + second).min(class.aim.times(0.5));
        let worthless = density <= 0.0 || self.stop_at(query) - self.now < takes;
        // A query whose shards are down by the list, or whose holders have as much out as they answer in good
        // time, failures counted, more while no answer follows them, holds up others; with no list it waits.
        let on = |replica: &Replica| replica.lifecycle == Lifecycle::On;
        let floor = (FLEET_ROOM / f64::from(self.set.fleet_size.max(1))).clamp(2.0, LEAST_ROOM);
        let has_room = |replica: &Replica| {
            let limit = (replica.flow.per_second(self.now, FLOW_HALF) * LIMIT_SHARE).max(floor);
            let (all, row) = (replica.ghosts.len() as f64, replica.failing.min(replica.ghosts.len()) as f64);
            limit > f64::from(replica.out) + GHOST_ANSWERED * (all - row) + GHOST_WEIGHT * row
        };
        let free = |(_, replica): (&ReplicaId, &Replica)| on(replica) && has_room(replica);
        let up = |part: &&Part| self.holders(part.shard).any(free);
        let reach: f64 = query.parts.iter().filter(up).map(|part| part.weight).sum();
        let parts = query.parts.len() as f64 * class.need;
        let sound = |flight: &&Flight| self.replicas[&flight.replica].factor < CONDEMNED && !flight.cancelled;
        let out = self.flights.values().filter(sound).count() as f64;
        let room = |limit: f64| out + parts <= (limit - limit * RANK_TILT * (1.0 - rank)).max(parts);
        let reached = reach > class.floor - EPS || !self.replicas.values().any(on);
        !worthless && reached && self.limit.is_none_or(room)
    }

    // ---- one query's life ----

    /// When the query is given up: at the client's end, or at the aim if too little is earned later.
    fn stop_at(&self, query: &Query) -> Micros {
        let margin = self.set.tick.times(2.0);
        let class = &self.set.classes[query.class];
        // What waiting has to beat: a partial answer in time, where one may be given, and the price of work
        // that may serve nothing, of each step to come.
        let partial = if class.floor < class.need { class.partial * class.floor / class.need } else { 0.0 };
        let steps = if query.step == 1 && class.second_step > 0 { 2.0 } else { 1.0 };
        let late = class.late_worth > partial.max(self.set.waste_price * steps);
        (if late { query.end_at } else { query.end_at.min(query.aim_at) }) - margin
    }

    /// In a silence of all and just after it a new query waits, for a quarter of its aim at most: none reads
    /// what is sent, and of the clients whose queries come in a bunch after it some have left by then. Right
    /// after a standstill every query waits, also with what it would send again.
    fn settles(&mut self, query: &Query) -> bool {
        let new = !query.admitted && self.hush.1 > Micros(0);
        let latest = query.came + self.latest_copy(query.class * 2).times(0.5);
        let silence = if new { (self.hush.1 + SETTLE).min(latest) } else { Micros(0) };
        let until = silence.max(self.settled).min(self.stop_at(query));
        let waits = self.now < until;
        if waits {
            self.actions.push(Action::Timer(until - self.now));
        }
        waits
    }

    /// Takes a query as far as it goes now; false once it has its final answer.
    fn advance(&mut self, query: &mut Query) -> bool {
        if !query.admitted && self.settles(query) {
            return true;
        }
        if !query.admitted && !self.admit(query) {
            return self.give_up(query);
        }
        query.admitted = true;
        let class = &self.set.classes[query.class];
        let need = if query.step == 1 { class.need } else { 1.0 };
        let mine = query.parts.iter().filter(|part| part.step == query.step);
        let landed: f64 = mine.clone().filter(|part| part.done).map(|part| part.weight).sum();
        let all_in = mine.clone().count() > 0 && mine.clone().all(|part| part.done);
        if landed > need - EPS && (need < 1.0 || all_in) {
            self.actions.push(Action::Answer { query: query.id, whole: true });
            self.cancel_open(query, false);
            query.step += 1; // the parts of a second step come with the next batch
            return query.step == 2 && self.set.classes[query.class].second_step > 0;
        }
        // A query that brings down what it touches; one caught by another's harm soon has an answered part,
        // which clears it. So after a drop nothing is sent while an attempt may yet be answered, a second
        // replica's drop ends it and, if there is time, one part goes ahead of a repeat and, where a replica
        // died of late, of a wide query. Hurts if two replicas die by chance at once.
        let attempts = query.parts.iter().flat_map(|part| &part.attempts);
        let unseen = attempts.clone().all(|a| a.never_ran && !a.open);
        let dropped: BTreeSet<ReplicaId> = attempts.filter(|a| a.reset).map(|a| a.replica).collect();
        let cleared = query.parts.iter().any(|part| part.done);
        let felled = if cleared { 0 } else { dropped.len() };
        let typical = self.typical(query.class * 2);
        let wide = query.parts.len() as f64 > WIDE * self.replicas.len() as f64;
        let died = query.repeat || wide && self.died_at.is_some_and(|at| self.now - at < WARY);
        let time = query.aim_at - self.now > typical.times(LATE_RATIO);
        let wary = !cleared && (felled > 0 || died && time);
        if felled >= KILLER {
            self.actions.push(Action::Remark(format!("query of class {} fells replicas", query.class)));
        }
        let most = self.set.limits.attempts as usize;
        // What has used up its attempts can't land any more.
        let out = |part: &Part| part.attempts.len() < most || part.attempts.iter().any(|a| a.open);
        let mine = query.parts.iter().filter(|part| part.step == query.step);
        let reach: f64 = mine.filter(|part| part.done || out(part)).map(|part| part.weight).sum();
        let floor = if query.step == 1 { class.floor } else { 1.0 };
        if felled >= KILLER || reach < floor - EPS || self.now >= self.stop_at(query) {
            return self.give_up(query);
        }
        self.cancel_open(query, true);
        if self.settles(query) {
            return true;
        }
        let young = |flight: &Flight| self.now - flight.sent < typical.times(LEAST_TIME);
        let waits = |flight: &Flight| flight.query == query.number && young(flight);
        if !wary || !self.flights.values().any(waits) {
            self.dispatch(query, need, if wary && (unseen || felled > 0) { 1 } else { usize::MAX });
        }
        true
    }

    /// Sends what the query lacks: parts not sent yet, lowest score first, so that an overdue part of an
    /// n-of-k class is answered by one before a copy; then parts whose attempts have all failed; then copies
    /// of overdue ones. Then, where any n parts do, one extra while extras are few.
    fn dispatch(&mut self, query: &mut Query, need: f64, most_sends: usize) {
        // In a surge extras would be served before their cancellation arrives: none while shedding.
        let most = EXTRA_SHARE * self.sent.read(self.now, HALF_LIFE);
        let few = self.extras.read(self.now, HALF_LIFE) + 1.0 <= most && self.limit.is_none();
        let mut extra_due = few && !query.extra_asked && query.step == 1 && need < 1.0;
        query.extra_asked = true;
        for _ in 0..most_sends {
            let mut live = 0.0;
            let mut best: Option<((u8, f64, f64), usize, ReplicaId)> = None;
            for (index, part) in query.parts.iter().enumerate().filter(|(_, part)| part.step == query.step) {
                let open = (0..).zip(&part.attempts).filter(|(_, attempt)| attempt.open);
                let mut flights = open.filter_map(|(n, _)| self.flights.get(&(part.id, n))).peekable();
                let kind = if part.attempts.is_empty() { 0 } else { 1 + u8::from(flights.peek().is_some()) };
                if part.done || flights.any(|flight| !self.overdue(flight)) {
                    live += part.weight;
                } else if let Some((replica, load, tie)) = self.choose(query, part) {
                    if best.is_none_or(|best| (kind, load, tie) < best.0) {
                        best = Some(((kind, load, tie), index, replica));
                    }
                }
            }
            let lacking = live < need - EPS;
            let Some(((kind, _, _), index, replica)) = best.filter(|_| lacking || extra_due) else { break };
            if !lacking && kind > 0 {
                break; // an extra is a part not asked for yet, not a copy
            } else if !lacking {
                extra_due = false;
                self.extras.add(self.now, HALF_LIFE, 1.0);
            }
            self.send(query, index, replica);
        }
    }

    fn holders(&self, shard: u32) -> impl Iterator<Item = (&ReplicaId, &Replica)> {
        let cells = self.set.cells.max(1);
        let cell = move |place| (shard % cells + place) % cells;
        let listed = (0..self.set.span.min(cells)).filter_map(move |place| self.cells.get(&cell(place)));
        listed.flatten().filter_map(|id| self.replicas.get_key_value(id))
    }

    /// The count by which replicas are compared: our parts out, failed ones that still count, and the part
    /// to be sent, times the factor of a far slower replica; more at a cold one for the share of parts it
    /// can't take: counted for all, with little out anywhere, it would get none from any front node.
    fn load(&self, replica: &Replica, draw: f64) -> f64 {
        let count = f64::from(replica.out) + replica.ghosts.len() as f64 + 1.0;
        let warmth = self.warmth(replica);
        count * replica.factor / if draw < warmth { 1.0 } else { warmth }
    }

    /// The best replica for a part among those the gate lets through, its load, and a draw for ties.
    fn choose(&self, query: &Query, part: &Part) -> Option<(ReplicaId, f64, f64)> {
        if !self.may_try(query, part) {
            return None;
        }
        let mut best: Option<((bool, f64, f64), ReplicaId)> = None;
        let may_take = |(id, replica): &(&ReplicaId, &Replica)| self.may_take(query, part, **id, replica);
        for (id, replica) in self.holders(part.shard).filter(may_take) {
            let tried = part.attempts.iter().any(|attempt| attempt.replica == *id);
            // Ties fall at random: a hash of the seed, the part and the replica, fixed for the attempt.
            let tie = mix(self.rng.0 ^ (u64::from(part.id) << 32) ^ u64::from(*id));
            let draw = mix(self.rng.0 ^ (u64::from(*id) << 32) ^ u64::from(part.id));
            let mine = (tried, self.load(replica, draw), tie);
            if best.is_none_or(|best| mine < best.0) {
                best = Some((mine, *id));
            }
        }
        best.map(|((_, load, tie), id)| (id, load, tie))
    }

    // ---- the gates ----

    /// Every send passes here: attempt cap, drain, cold budget, retry budget, effect class, second copies.
    fn may_send(&self, query: &Query, part: &Part, id: ReplicaId) -> bool {
        let replica = self.replicas.get(&id);
        replica.is_some_and(|replica| self.may_try(query, part) && self.may_take(query, part, id, replica))
    }

    /// Whether a part may get one more attempt, wherever that goes.
    fn may_try(&self, query: &Query, part: &Part) -> bool {
        let class = &self.set.classes[query.class];
        let tried = part.attempts.len();
        let slot = query.class * 2 + usize::from(query.step - 1);
        if part.done || tried as u32 >= self.set.limits.attempts {
            return false;
        }
        if tried == 0 {
            return true;
        }
        let repeatable = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => self.window_left(class, part, slot).is_none_or(|left| left > Micros(0)),
            Effect::Unsafe => !part.attempts.iter().any(|a| a.open || !a.never_ran),
        };
        let most = COPY_FLOOR + COPY_SHARE * self.sent.read(self.now, HALF_LIFE);
        let storm = self.copies.read(self.now, HALF_LIFE) + 1.0 > most;
        let doubled = part.attempts.iter().any(|a| a.open) && !self.set.limits.may_duplicate;
        repeatable && !storm && !doubled && self.within_retry_budget()
    }

    /// Whether a replica may get an attempt of a part: in service, within what a cold one stands, and without
    /// one of it that is out or was sent just now.
    fn may_take(&self, query: &Query, part: &Part, id: ReplicaId, replica: &Replica) -> bool {
        let slot = query.class * 2 + usize::from(query.step - 1);
        let here = || {
            let since = self.now - self.typical(query.class * 2);
            part.attempts.iter().any(|a| a.replica == id && (a.open || a.sent > since))
        };
        replica.lifecycle == Lifecycle::On && self.within_cold_budget(replica, slot) && !here()
    }

    /// How long a repeat is still dropped, where it may be one: counted from the send of the first attempt
    /// that may have run, less what the repeat may wait at the replica before it runs itself.
    fn window_left(&self, class: &Class, part: &Part, slot: usize) -> Option<Micros> {
        let first = part.attempts.iter().find(|a| a.open || !a.never_ran)?.sent;
        let waits = self.slots[slot].late.unwrap_or(self.typical(slot));
        (class.effect == Effect::Keyed).then(|| first + class.keyed_window - self.set.tick - waits - self.now)
    }

    fn within_retry_budget(&self) -> bool {
        let Some(budget) = self.set.rules.retry_budget else { return true };
        let since = self.now - budget.window;
        // The bounds lean to the careful side by a tick at either end of the window.
        let used = self.further.since(since - self.set.tick);
        used + 1.0 <= budget.floor + budget.share * self.taken.since(since + self.set.tick + Micros(1))
    }

    /// The share of its capacity that a replica is known to have: it grows evenly to 1 at the slowest.
    fn warmth(&self, replica: &Replica) -> f64 {
        let Some(started) = replica.started else { return 1.0 };
        let cold = self.set.rules.cold_share;
        let grown = (self.now - started).over(self.set.rules.warm_within).clamp(0.0, 1.0);
        (cold + (1.0 - cold) * grown).max(0.01)
    }

    /// What a part costs a replica; as long as nothing tells, as much as it may usually take.
    fn work(&self, slot: usize) -> f64 {
        self.slots[slot].work.unwrap_or(self.typical(slot)).0 as f64
    }

    /// Work sent to a cold replica in any window of `fall`, copies too, stays within our share of what it
    /// stands: an even share of one core, or the work that a replica of its size answers us on average, which
    /// over all front nodes adds up to less than it can do warm. Where that is under one part, parts are
    /// spaced out from a moment drawn at each start, so that front nodes neither come at once nor all stay
    /// away. Just after our own start we know too little: nothing goes to a cold replica.
    fn within_cold_budget(&self, replica: &Replica, slot: usize) -> bool {
        let warmth = self.warmth(replica);
        let rules = &self.set.rules;
        let Some(started) = replica.started.filter(|_| warmth < 1.0) else { return true };
        let known = self.now - self.born >= rules.fall;
        let even = replica.size.min(1.0) / f64::from(self.set.fleet_size.max(1));
        let rate = COLD_MARGIN * rules.tip_multiple * warmth * even.max(self.usual * replica.size);
        let budget = rate * rules.fall.0 as f64;
        let work = self.work(slot);
        let spent = replica.recent.since(self.now - rules.fall);
        let last = replica.recent.last().filter(|at| *at > started);
        let wait = if last.is_some() { 1.0 } else { replica.phase };
        let spaced = (self.now - last.unwrap_or(started.max(self.born))).0 as f64 > wait * work / rate;
        known && (spent + work <= budget || (work > budget && spaced))
    }

    // ---- sending and ending ----

    /// The only place from which an attempt goes out.
    fn send(&mut self, query: &mut Query, index: usize, id: ReplicaId) {
        if !self.may_send(query, &query.parts[index], id) {
            return;
        }
        let stop = self.stop_at(query);
        let slot = query.class * 2 + usize::from(query.step - 1);
        let (now, round, fall) = (self.now, self.round, self.set.rules.fall);
        let work = self.work(slot);
        let within = self.window_left(&self.set.classes[query.class], &query.parts[index], slot);
        // Where an attempt can't be doubled or cancelled, its time-out must free the part for the next.
        let patience = self.overdue_after(slot).times(2.0);
        let alone = !self.set.limits.may_duplicate || !self.set.limits.cancel;
        let timeout = if alone { patience.min(stop - now) } else { stop - now };
        let Some(replica) = self.replicas.get_mut(&id) else { return };
        if replica.call.0 == round && replica.call.2 < self.set.limits.batch {
            replica.call.2 += 1;
        } else {
            self.last_call += 1;
            self.calls.add(now, HALF_LIFE, 1.0);
            replica.call = (round, self.last_call, 1);
            replica.out += 1;
        }
        let call = replica.call.1;
        replica.recent.add(now, work, now - fall);
        let part = &mut query.parts[index];
        let attempt = part.attempts.len() as u32;
        part.attempts.push(Attempt { replica: id, sent: now, open: true, never_ran: false, reset: false });
        let flight =
            Flight { replica: id, sent: now, call, slot, cancelled: false, query: query.number, index };
        self.flights.insert((part.id, attempt), flight);
        self.sent.add(now, HALF_LIFE, 1.0);
        if attempt > 0 {
            self.copies.add(now, HALF_LIFE, 1.0);
            self.further.add(now, 1.0, now - self.keep);
        }
        self.rng.next();
        self.actions.push(Action::Attempt { part: part.id, replica: id, timeout, within });
    }

    /// Cancels what is still out: of every part, or only of those whose answer is in.
    fn cancel_open(&mut self, query: &Query, only_done: bool) {
        for part in query.parts.iter().filter(|part| part.done || !only_done) {
            for (number, attempt) in (0..).zip(&part.attempts) {
                let flight = self.flights.get_mut(&(part.id, number));
                let Some(flight) = flight.filter(|flight| attempt.open && !flight.cancelled) else {
                    continue;
                };
                flight.cancelled = true;
                if self.set.limits.cancel {
                    self.actions.push(Action::Cancel { part: part.id, attempt: number });
                }
            }
        }
    }

    /// The final answer without a whole one: in part if the class allows it and enough is in, a refusal
    /// where trying again does no harm, else a failure.
    fn give_up(&mut self, query: &Query) -> bool {
        let class = &self.set.classes[query.class];
        let landed = query.parts.iter().filter(|part| part.step == query.step && part.done);
        let landed: f64 = landed.map(|part| part.weight).sum();
        let last_step = query.step == 2 || class.second_step == 0;
        let partial = class.floor < class.need && last_step && landed > class.floor - EPS;
        let mut attempts = query.parts.iter().flat_map(|part| &part.attempts);
        let unseen = attempts.all(|attempt| !attempt.open && attempt.never_ran);
        let harmless = class.effect == Effect::Safe || unseen;
        let (id, wait) = (query.id, self.set.limits.retry_after.then_some(self.set.limits.max_retry_after));
        if partial && landed > 0.0 {
            self.actions.push(Action::Answer { query: id, whole: false });
        } else if harmless {
            let retry_after = wait.map(|most| most.times(0.5 + 0.5 * self.rng.next()));
            self.actions.push(Action::Refuse { query: id, retry_after });
        } else {
            self.actions.push(Action::Fail { query: id });
        }
        self.cancel_open(query, false);
        false
    }
}

/// Whether an event was brought about by a client or a replica, and not by our own clock or choice.
fn comes_from_outside(event: &Event) -> bool {
    match event {
        Event::Query { .. } | Event::ClientGone(_) => true,
        Event::AttemptEnded { outcome, .. } => {
            !matches!(outcome, Outcome::Timeout | Outcome::Cancelled | Outcome::Moot)
        }
        _ => false,
    }
}
