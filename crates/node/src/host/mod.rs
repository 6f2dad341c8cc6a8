//! The host of the decision module: ids, events, actions, timers, answers. Plain data that never waits.
//!
//! It decides nothing. It turns what happens into the module's events, hands over all that is ready at once,
//! and turns the module's actions into orders for the tasks around it.

use crate::counters::{Counters, Queries};
use pinetrestle::interface::{Action, Event, Id, Lifecycle, Listed, Micros, Outcome, ReplicaId};
use pinetrestle::FrontNode;
use pinetrestle_protocol::frames::{part_id, second_step_list, End, Score};
use pinetrestle_protocol::link::{Landed, Sending, Ticket};
use pinetrestle_protocol::query::{answer_body, PartAsked};
use pinetrestle_protocol::registry::{News, Status};
use pinetrestle_settings::Deployment;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

/// A query as a client asks it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its id on the wire.
    pub trace: String,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: Option<usize>,
    /// Time left before the client abandons it.
    pub expires_in: Micros,
    /// The client has asked before.
    pub repeat: bool,
    /// Its parts.
    pub parts: Vec<PartAsked>,
    /// What each part carries.
    pub text: Rc<str>,
}

/// The final answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Answered.
    Served {
        /// The body.
        body: Vec<u8>,
        /// Whether it is marked whole.
        whole: bool,
    },
    /// Refused: trying again is harmless.
    Refused {
        /// When to come back, in microseconds.
        retry_after: Option<i64>,
    },
    /// Failed.
    Failed,
}

/// Why a query was not taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NotTaken {
    /// A query of the same id is open.
    SameId,
    /// Too much is held.
    OverHeld {
        /// When to come back, in microseconds.
        retry_after: Option<i64>,
    },
}

/// What the tasks around the host have to do.
#[derive(Debug, PartialEq)]
pub enum Order {
    /// Send one call.
    Send {
        /// Where to.
        replica: ReplicaId,
        /// Its parts.
        parts: Vec<Sending>,
    },
    /// Give an attempt up.
    GiveUp(Ticket),
    /// Give a query its final answer.
    Reply(Id, Reply),
    /// An index server has left: its connections end once nothing is out on them.
    Retire(ReplicaId),
    /// Ask discovery for the list and a watch on it.
    Watch,
    /// A line for the operators' log.
    Remark(String),
}

/// Where an index server is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// When it last started; a new start makes older connections useless.
    pub since_ms: i64,
}

struct Held {
    trace: String,
    text: Rc<str>,
    class: usize,
    number: u64,
    end_at: Micros,
    step: u8,
    first_whole: bool,
    /// What the second step adds to each list.
    list: String,
    parts: Vec<Id>,
}

struct PartHeld {
    query: Id,
    shard: u32,
    step: u8,
    attempts: u32,
    out: u32,
    value: Option<(Score, String)>,
}

struct Out {
    part: Id,
    attempt: u32,
    replica: ReplicaId,
    sent: Micros,
}

/// An index server that was heard of.
struct Known {
    peer: Peer,
    line: Listed,
    /// Attempts out there.
    out: u32,
    /// The order in which those that left did so.
    left: u64,
}

/// Servers that left and are remembered by name, beside as many as are listed.
const SPARE_LEFT: usize = 16;
/// Ids of queries that are over and are remembered in each of two spans.
const MOST_USED: usize = 8192;

/// The ids that queries have used of late: an id names one query only.
#[derive(Default)]
struct UsedIds {
    hasher: RandomState,
    young: HashSet<u64>,
    old: HashSet<u64>,
    since: Micros,
}

impl UsedIds {
    /// Takes an id, unless it was taken within the span.
    fn take(&mut self, now: Micros, span: Micros, id: &str) -> bool {
        if now - self.since >= span || self.young.len() >= MOST_USED {
            self.old = std::mem::take(&mut self.young);
            if now - self.since >= span.times(2.0) {
                self.old.clear();
            }
            self.since = now;
        }
        let hash = self.hasher.hash_one(id);
        !self.old.contains(&hash) && self.young.insert(hash)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake,
    Attempt(Ticket),
    Query(Id),
}

/// One front node's decisions and all that they are about.
pub struct Host {
    node: FrontNode,
    deployment: Rc<Deployment>,
    counters: Rc<Counters>,
    seed: u64,
    /// Unix time, in microseconds, at the moment from which [`Micros`] count here.
    epoch: i64,
    events: Vec<Event>,
    orders: Vec<Order>,
    queries: HashMap<Id, Held>,
    traces: HashMap<String, Id>,
    parts: HashMap<Id, PartHeld>,
    attempts: BTreeMap<Ticket, Out>,
    tickets: HashMap<(Id, u32), Ticket>,
    timers: BinaryHeap<Reverse<(Micros, Due)>>,
    replicas: BTreeMap<ReplicaId, Known>,
    names: HashMap<String, ReplicaId>,
    next_replica: ReplicaId,
    departures: u64,
    used: UsedIds,
    /// Ids have come round: a new one may still name something.
    wrapped: bool,
    next_id: Id,
    next_ticket: Ticket,
    next_number: u64,
    stop_at: Option<Micros>,
}

impl Host {
    /// A host with a module that knows nothing yet. `epoch` is the Unix time in microseconds at which the
    /// host's clock stood at 0.
    pub fn new(
        deployment: Rc<Deployment>,
        counters: Rc<Counters>,
        seed: u64,
        epoch: i64,
        now: Micros,
    ) -> Host {
        Host {
            node: FrontNode::new(deployment.settings.clone(), seed, now),
            deployment,
            counters,
            seed,
            epoch,
            events: Vec::new(),
            orders: Vec::new(),
            queries: HashMap::new(),
            traces: HashMap::new(),
            parts: HashMap::new(),
            attempts: BTreeMap::new(),
            tickets: HashMap::new(),
            timers: BinaryHeap::new(),
            replicas: BTreeMap::new(),
            names: HashMap::new(),
            next_replica: 0,
            departures: 0,
            used: UsedIds::default(),
            wrapped: false,
            next_id: 0,
            next_ticket: 0,
            next_number: 0,
            stop_at: None,
        }
    }

    // ---- what happens ----

    /// Takes a query, or says why not.
    pub fn take(&mut self, now: Micros, ask: Ask) -> Result<Id, NotTaken> {
        let limits = &self.deployment.settings.limits;
        let most = limits.held as usize;
        // Also of one that has its answer: what is sent on for it then would be for nobody.
        let span = self.deployment.settings.classes.iter().map(|class| class.deadline).max();
        if self.traces.contains_key(&ask.trace) || !self.used.take(now, span.unwrap_or_default(), &ask.trace)
        {
            return Err(NotTaken::SameId);
        }
        if self.queries.len() + self.parts.len() + 1 + ask.parts.len() > most {
            self.of_class(ask.class, |queries| queries.over_held.one());
            let retry_after = limits.retry_after.then_some(limits.max_retry_after.0);
            return Err(NotTaken::OverHeld { retry_after });
        }
        let number = self.next_number;
        self.next_number += 1;
        let id = self.fresh_id();
        let mut expires_in = ask.expires_in;
        if let Some(stop) = self.stop_at {
            expires_in = expires_in.min(stop - now);
        }
        let hints = ask.parts.iter().filter_map(|part| part.work);
        let hint = ask.parts.iter().any(|part| part.work.is_some()).then(|| Micros(hints.sum()));
        let (class, tenant, repeat) = (ask.class, ask.tenant, ask.repeat);
        self.events.push(Event::Query { id, number, class, tenant, expires_in, hint, repeat });
        let mut held = Held {
            trace: ask.trace,
            text: ask.text,
            class,
            number,
            end_at: now + expires_in,
            step: 1,
            first_whole: false,
            list: String::new(),
            parts: Vec::new(),
        };
        for part in &ask.parts {
            let hint = part.work.map(Micros);
            self.add_part(id, &mut held, part.shard, part.weight, hint);
        }
        self.timers.push(Reverse((held.end_at, Due::Query(id))));
        self.traces.insert(held.trace.clone(), id);
        self.queries.insert(id, held);
        self.of_class(class, |queries| {
            queries.taken.one();
            queries.held.one();
            queries.repeats.more(u64::from(repeat));
        });
        Ok(id)
    }

    fn add_part(&mut self, query: Id, held: &mut Held, shard: u32, weight: f64, hint: Option<Micros>) {
        let id = self.fresh_id();
        self.events.push(Event::Part { id, number: held.number, shard, weight, hint });
        let step = held.step;
        self.parts.insert(id, PartHeld { query, shard, step, attempts: 0, out: 0, value: None });
        held.parts.push(id);
    }

    /// An id that names nothing: no query, no part, no attempt of a part that is over.
    fn fresh_id(&mut self) -> Id {
        loop {
            self.next_id = self.next_id.wrapping_add(1);
            let id = self.next_id;
            self.wrapped |= id == 0;
            if !self.wrapped {
                return id;
            }
            let out = self.attempts.values().any(|out| out.part == id);
            if !self.queries.contains_key(&id) && !self.parts.contains_key(&id) && !out {
                return id;
            }
        }
    }

    fn of_class(&self, class: usize, count: impl FnOnce(&Queries)) {
        if let Some((_, queries)) = self.counters.classes.get(class) {
            count(queries);
        }
    }

    /// The client has left.
    pub fn gone(&mut self, query: Id) {
        if let Some(held) = self.forget(query) {
            self.of_class(held.class, |queries| queries.gone.one());
            self.events.push(Event::ClientGone(query));
        }
    }

    /// An index server has answered.
    pub fn landed(&mut self, now: Micros, landed: Landed) {
        let outcome = match landed.end {
            End::Served => Outcome::Ok,
            End::Error => Outcome::Error,
            End::TurnedAway => Outcome::Full,
        };
        let part = self.attempts.get(&landed.ticket).map(|out| out.part);
        if let (Outcome::Ok, Some(part)) = (outcome, part.and_then(|id| self.parts.get_mut(&id))) {
            // A part counts once: the first value stays.
            part.value.get_or_insert((landed.score, landed.value));
        }
        self.end(now, landed.ticket, outcome);
    }

    /// The connection of an attempt has ended; `written` if its frame had been written whole.
    pub fn lost(&mut self, now: Micros, ticket: Ticket, written: bool) {
        self.end(now, ticket, if written { Outcome::Reset } else { Outcome::ConnectFailed });
    }

    /// Ends an attempt, unless it has ended before.
    fn end(&mut self, now: Micros, ticket: Ticket, outcome: Outcome) -> bool {
        let Some(out) = self.attempts.remove(&ticket) else { return false };
        self.tickets.remove(&(out.part, out.attempt));
        if let Some(part) = self.parts.get_mut(&out.part) {
            part.out -= 1;
        }
        if let Some(known) = self.replicas.get_mut(&out.replica) {
            known.out -= 1;
        }
        let counts = &self.counters.attempts;
        counts.out.less();
        match outcome {
            Outcome::Ok => &counts.ok,
            Outcome::Error => &counts.error,
            Outcome::Full => &counts.full,
            Outcome::Timeout => &counts.timeout,
            Outcome::ConnectFailed => &counts.connect_failed,
            Outcome::Reset => &counts.reset,
            Outcome::Cancelled => &counts.cancelled,
            Outcome::Moot => &counts.moot,
        }
        .one();
        let (part, attempt, took) = (out.part, out.attempt, now - out.sent);
        self.events.push(Event::AttemptEnded { part, attempt, outcome, took });
        true
    }

    /// Discovery has told something, or this is what was last known before the start.
    pub fn news(&mut self, news: &News, stored: bool) {
        let mut lines = Vec::with_capacity(news.entries.len());
        let mut named = HashSet::new();
        for entry in &news.entries {
            let lifecycle = match entry.status {
                Status::Up => Lifecycle::On,
                Status::Draining => Lifecycle::Draining,
                Status::Removed => Lifecycle::Gone,
            };
            // Unix time to ours by a difference that never changes: the same start stays the same moment.
            let started = (entry.since_ms > 0).then(|| Micros(entry.since_ms * 1000 - self.epoch));
            let replica = match self.names.get(&entry.name) {
                Some(replica) => *replica,
                // Of what leaves without ever having been there, nothing need be known.
                None if lifecycle == Lifecycle::Gone => continue,
                None => self.next_replica,
            };
            let line = Listed { replica, cell: entry.cell, size: entry.weight, lifecycle, started };
            let known = self.replicas.entry(replica).or_insert_with(|| {
                self.names.insert(entry.name.clone(), replica);
                self.next_replica += 1;
                let peer = Peer { name: entry.name.clone(), ..Peer::default() };
                Known { peer, line: Listed { lifecycle: Lifecycle::Gone, ..line.clone() }, out: 0, left: 0 }
            });
            if !entry.address.is_empty() {
                known.peer.address.clone_from(&entry.address);
            }
            known.peer.since_ms = entry.since_ms;
            named.insert(replica);
            if lifecycle == Lifecycle::Gone {
                self.leave(replica);
            }
            if let Some(known) = self.replicas.get_mut(&replica) {
                known.line = line.clone();
            }
            lines.push(line);
        }
        if news.whole {
            let here = self.replicas.keys().copied().filter(|replica| !named.contains(replica));
            for replica in here.collect::<Vec<_>>() {
                self.leave(replica);
            }
        }
        self.forget_left();
        if news.whole {
            self.events.push(Event::List { replicas: lines, stored });
        } else {
            self.events.push(Event::ListChanges(lines));
        }
    }

    /// A replica is no longer listed.
    fn leave(&mut self, replica: ReplicaId) {
        let known = self.replicas.get_mut(&replica);
        if let Some(known) = known.filter(|known| known.line.lifecycle != Lifecycle::Gone) {
            known.line.lifecycle = Lifecycle::Gone;
            self.departures += 1;
            known.left = self.departures;
            self.orders.push(Order::Retire(replica));
        }
    }

    /// Of those that left, the latest are remembered by name, so that one that comes back is known for the same;
    /// and each as long as attempts are out there.
    fn forget_left(&mut self) {
        let all = self.replicas.iter();
        let mut left: Vec<(u64, ReplicaId)> = all
            .filter(|(_, known)| known.line.lifecycle == Lifecycle::Gone)
            .map(|(replica, known)| (known.left, *replica))
            .collect();
        let listed = self.replicas.len() - left.len();
        let over = left.len().saturating_sub(listed + SPARE_LEFT);
        left.sort_unstable();
        for (_, replica) in left.into_iter().take(over) {
            if let Some(known) = self.replicas.get(&replica).filter(|known| known.out == 0) {
                self.names.remove(&known.peer.name);
                self.replicas.remove(&replica);
            }
        }
    }

    /// Asking for the list failed, or the watch was lost.
    pub fn news_failed(&mut self) {
        self.events.push(Event::ListFailed);
    }

    /// The front node stops: what is held and what still comes has to end by then.
    pub fn stop_by(&mut self, at: Micros) {
        self.stop_at = Some(at);
        for (id, held) in self.queries.iter_mut().filter(|(_, held)| held.end_at > at) {
            held.end_at = at;
            self.timers.push(Reverse((at, Due::Query(*id))));
        }
    }

    // ---- what is known ----

    /// Where a replica is, as long as it is known.
    pub fn peer(&self, replica: ReplicaId) -> Option<&Peer> {
        self.replicas.get(&replica).map(|known| &known.peer)
    }

    /// Where a replica is, if anything new may go there.
    pub fn peer_in_service(&self, replica: ReplicaId) -> Option<&Peer> {
        let known = self.replicas.get(&replica)?;
        (known.line.lifecycle == Lifecycle::On).then_some(&known.peer)
    }

    /// Whether there is anyone to send to.
    pub fn can_serve(&self) -> bool {
        self.replicas.values().any(|known| known.line.lifecycle == Lifecycle::On)
    }

    /// Everything remembered, by kind: what grows with time and not with what is open would show here.
    pub fn sizes(&self) -> [(&'static str, usize); 8] {
        [
            ("queries", self.queries.len() + self.traces.len()),
            ("parts", self.parts.len()),
            ("attempts", self.attempts.len() + self.tickets.len()),
            ("timers", self.timers.len()),
            ("replicas", self.replicas.len()),
            ("names", self.names.len()),
            ("used ids", self.used.young.len() + self.used.old.len()),
            ("the module's replicas", self.node.remembered()),
        ]
    }

    /// Queries that have no final answer yet.
    pub fn open(&self) -> usize {
        self.queries.len()
    }

    /// Attempts that are out.
    pub fn out(&self) -> usize {
        self.attempts.len()
    }

    /// Whether the module has something to hear now.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    // ---- deciding ----

    /// Hands all that is ready to the module once and returns what is to be done, in order. What that
    /// brings about at once waits for the next turn.
    pub fn turn(&mut self, now: Micros) -> Vec<Order> {
        self.fire(now);
        if !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            let mut actions = Vec::new();
            self.counters.own.turns.one();
            let node = &mut self.node;
            // A broken module must not take down what else the program holds.
            let went = catch_unwind(AssertUnwindSafe(|| node.handle(now, &events, &mut actions)));
            match went {
                Ok(()) => self.carry_out(now, actions),
                Err(_) => self.begin_anew(now),
            }
        }
        std::mem::take(&mut self.orders)
    }

    fn fire(&mut self, now: Micros) {
        let mut wake = false;
        while let Some(Reverse((at, due))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            match due {
                Due::Wake => wake = true,
                Due::Attempt(ticket) => {
                    if self.end(now, ticket, Outcome::Timeout) {
                        self.orders.push(Order::GiveUp(ticket));
                    }
                }
                Due::Query(id) => {
                    // The module ends queries before this; one that it has not ended is ended here, and the
                    // module is told what it is told of a client that has left.
                    if self.queries.get(&id).is_some_and(|held| held.end_at <= now) {
                        if let Some(held) = self.forget(id) {
                            self.of_class(held.class, |queries| {
                                queries.failed.one();
                                queries.overdue.one();
                            });
                            self.orders.push(Order::Reply(id, Reply::Failed));
                            self.events.push(Event::ClientGone(id));
                        }
                    }
                }
            }
        }
        if wake {
            self.events.push(Event::Timer);
        }
    }

    /// Takes a query and its parts out of what is held.
    fn forget(&mut self, query: Id) -> Option<Held> {
        let held = self.queries.remove(&query)?;
        self.traces.remove(&held.trace);
        for part in &held.parts {
            self.parts.remove(part);
        }
        self.of_class(held.class, |queries| queries.held.less());
        Some(held)
    }

    fn carry_out(&mut self, now: Micros, actions: Vec<Action>) {
        // Sends of one turn to one replica share a call, up to so many parts.
        let batch = self.deployment.settings.limits.batch.max(1) as usize;
        let mut calls: HashMap<ReplicaId, usize> = HashMap::new();
        for action in actions {
            match action {
                Action::Attempt { part, replica, timeout } => {
                    let Some(sending) = self.attempt(now, part, replica, timeout) else { continue };
                    let place = calls.get(&replica).copied();
                    match place.and_then(|place| self.orders.get_mut(place)) {
                        Some(Order::Send { parts, .. }) if parts.len() < batch => parts.push(sending),
                        _ => {
                            calls.insert(replica, self.orders.len());
                            self.orders.push(Order::Send { replica, parts: vec![sending] });
                        }
                    }
                }
                Action::Cancel { part, attempt } => {
                    if let Some(ticket) = self.tickets.get(&(part, attempt)).copied() {
                        self.end(now, ticket, Outcome::Cancelled);
                        self.orders.push(Order::GiveUp(ticket));
                    }
                }
                Action::Answer { query, whole } => self.answer(query, whole),
                Action::Refuse { query, retry_after } => {
                    let retry_after = retry_after.map(|wait| wait.0);
                    self.finish(query, Reply::Refused { retry_after }, |queries| queries.refused.one());
                }
                Action::Fail { query } => {
                    self.finish(query, Reply::Failed, |queries| queries.failed.one());
                }
                Action::Timer(span) => self.timers.push(Reverse((now + span.max(Micros(0)), Due::Wake))),
                Action::WatchList => self.orders.push(Order::Watch),
                Action::Remark(text) => self.orders.push(Order::Remark(text)),
            }
        }
    }

    /// Books an attempt that the module wants; none if it can't be sent, which the module hears next.
    fn attempt(&mut self, now: Micros, part: Id, replica: ReplicaId, timeout: Micros) -> Option<Sending> {
        let most = self.deployment.settings.limits.attempts;
        let counts = &self.counters.attempts;
        counts.sent.one();
        counts.out.one();
        let held = self.parts.get_mut(&part).and_then(|part| Some((self.queries.get(&part.query)?, part)));
        let (left, number, sending) = match held {
            Some((query, held)) => {
                let number = held.attempts;
                held.attempts += 1;
                counts.further.more(u64::from(number > 0));
                counts.hedges.more(u64::from(held.out > 0));
                held.out += 1;
                let left = query.end_at - now;
                let timeout = if timeout == Micros(0) { left } else { timeout.min(left) };
                let id = part_id(&query.trace, held.shard, held.step == 2);
                let list = format!("d={}{}", (timeout.0 + 999) / 1000, query.list);
                let (shard, text) = (held.shard, query.text.clone());
                let fits = number < most && left > Micros(0);
                (timeout, number, fits.then_some(Sending { ticket: 0, id, shard, list, text }))
            }
            None => (Micros(0), 0, None),
        };
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.attempts.insert(ticket, Out { part, attempt: number, replica, sent: now });
        if let Some(known) = self.replicas.get_mut(&replica) {
            known.out += 1;
        }
        self.tickets.insert((part, number), ticket);
        let Some(sending) = sending else {
            self.end(now, ticket, Outcome::Moot);
            return None;
        };
        if left <= Micros(0) {
            self.end(now, ticket, Outcome::Timeout);
            return None;
        }
        self.timers.push(Reverse((now + left, Due::Attempt(ticket))));
        Some(Sending { ticket, ..sending })
    }

    /// Answers from the parts that are in, or begins the second step with them.
    fn answer(&mut self, query: Id, whole: bool) {
        let Some(held) = self.queries.get(&query) else { return };
        let most = self.deployment.settings.classes.get(held.class).map_or(0, |class| class.second_step);
        if held.step == 1 && most > 0 {
            return self.second_step(query, whole, most as usize);
        }
        let step = held.step;
        let whole = whole && (step == 1 || held.first_whole);
        let mine = held.parts.iter().filter_map(|id| self.parts.get(id)).filter(|part| part.step == step);
        let values = mine.filter_map(|part| Some((part.shard, part.value.as_ref()?.1.as_str())));
        let body = answer_body(whole, values);
        let count = |queries: &Queries| if whole { queries.whole.one() } else { queries.partial.one() };
        self.finish(query, Reply::Served { body, whole }, count);
    }

    /// Makes the parts of the second step: at the shards that scored highest among those that are in.
    fn second_step(&mut self, query: Id, whole: bool, most: usize) {
        let Some(mut held) = self.queries.remove(&query) else { return };
        let first = held.parts.iter().filter_map(|id| self.parts.get(id));
        let mut landed: Vec<(Score, u32)> =
            first.filter_map(|part| Some((part.value.as_ref()?.0, part.shard))).collect();
        let mut from: Vec<u32> = landed.iter().map(|(_, shard)| *shard).collect();
        from.sort_unstable();
        landed.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(std::cmp::Ordering::Equal).then(a.1.cmp(&b.1)));
        landed.truncate(most);
        held.step = 2;
        held.first_whole = whole;
        held.list = second_step_list(&from, whole);
        for (_, shard) in &landed {
            self.add_part(query, &mut held, *shard, 1.0 / landed.len() as f64, None);
        }
        self.of_class(held.class, |queries| queries.second_steps.one());
        self.queries.insert(query, held);
    }

    fn finish(&mut self, query: Id, reply: Reply, count: impl FnOnce(&Queries)) {
        if let Some(held) = self.forget(query) {
            self.of_class(held.class, count);
            self.orders.push(Order::Reply(query, reply));
        }
    }

    /// The module broke down: everything held is failed, and a new one starts from the list as last told.
    fn begin_anew(&mut self, now: Micros) {
        self.counters.own.module_restarts.one();
        self.orders.push(Order::Remark("the module broke down and is begun anew".into()));
        let mut open: Vec<Id> = self.queries.keys().copied().collect();
        open.sort_unstable();
        for query in open {
            self.finish(query, Reply::Failed, |queries| queries.failed.one());
        }
        let out: Vec<Ticket> = self.attempts.keys().copied().collect();
        for ticket in out {
            self.end(now, ticket, Outcome::Cancelled);
            self.orders.push(Order::GiveUp(ticket));
        }
        self.seed = self.seed.wrapping_add(1);
        self.node = FrontNode::new(self.deployment.settings.clone(), self.seed, now);
        let replicas = self.replicas.values().map(|known| known.line.clone()).collect();
        self.events = vec![Event::List { replicas, stored: true }];
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn host() -> Host {
        let deployment = Deployment {
            settings: Default::default(),
            classes: Vec::new(),
            tenants: Vec::new(),
            transport: Default::default(),
        };
        Host::new(Rc::new(deployment), Rc::default(), 1, 0, Micros(0))
    }

    #[test]
    fn ids_come_round_without_naming_what_is_still_there() {
        let mut host = host();
        host.next_id = Id::MAX - 1;
        host.parts.insert(0, PartHeld { query: 9, shard: 0, step: 1, attempts: 0, out: 0, value: None });
        host.attempts.insert(1, Out { part: 1, attempt: 0, replica: 0, sent: Micros(0) });
        assert_eq!([host.fresh_id(), host.fresh_id()], [Id::MAX, 2]);
    }

    #[test]
    fn a_module_that_breaks_down_is_begun_anew_and_what_it_held_is_failed() {
        let mut host = host();
        let held = Held {
            trace: "q".into(),
            text: "".into(),
            class: 0,
            number: 0,
            end_at: Micros(1000),
            step: 1,
            first_whole: false,
            list: String::new(),
            parts: vec![8],
        };
        host.parts.insert(8, PartHeld { query: 7, shard: 0, step: 1, attempts: 1, out: 1, value: None });
        host.queries.insert(7, held);
        host.attempts.insert(3, Out { part: 8, attempt: 0, replica: 0, sent: Micros(0) });
        host.begin_anew(Micros(10));
        let orders = std::mem::take(&mut host.orders);
        assert!(orders.contains(&Order::Reply(7, Reply::Failed)));
        assert!(orders.contains(&Order::GiveUp(3)));
        assert_eq!((host.open(), host.out(), host.parts.len()), (0, 0, 0));
        assert!(host.has_events(), "the new one hears the list");
    }
}
