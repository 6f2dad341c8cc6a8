//! Decisions of a front node. Their interface is src/interface.rs (settings, events and actions).
//!
//! This module holds the state of a [`FrontNode`] and processes batches of events. Each submodule makes the
//! decisions of one subsystem:
//!
//! - `events`: applies events to the state;
//! - `endpoint_list`: the replicas, according to the endpoint list;
//! - `list_currency`: how current the endpoint list is, and what may be sent on it;
//! - `list_watch`: requests for a watch on the endpoint list;
//! - `attempts`, `latency`: what the end of an attempt says about its replica, and latency estimates;
//! - `stalls`: intervals in which all replicas or this machine are paused;
//! - `outliers`: replicas that are much slower than the others;
//! - `admission`: admission of queries and load shedding;
//! - `lifecycle`: a query from its arrival to its final answer;
//! - `dispatch`, `overdue`: replica selection, sending of attempts, and hedged requests for overdue ones;
//! - `retry`, `slow_start`: checks before each send;
//! - `query_of_death`: containment of queries that crash replicas;
//! - `tuning`: the constants of all submodules.

use crate::interface::{Action, Event, Id, ListDelivery, Micros, ReplicaId, Settings};
use crate::numeric::{DecayingCounter, SlidingWindow, SplitMix64};
use crate::state::{
    AttemptId, ClassStep, ClientTries, EndpointWatch, GlobalStall, InFlightAttempt, LatencyStats, Query,
    Replica,
};
use std::collections::{BTreeMap, VecDeque};
use tuning::{
    DEFAULT_STALENESS_MULTIPLE, FIRST_POLL_SPREAD, IDLE_TIMER_INTERVAL, INITIAL_POLL_BACKOFF,
    MAX_FIRST_POLL_SHARE,
};

mod admission;
mod attempts;
mod dispatch;
mod endpoint_list;
mod events;
mod latency;
mod lifecycle;
mod list_currency;
mod list_watch;
mod outliers;
mod overdue;
mod query_of_death;
mod retry;
mod slow_start;
mod stalls;
mod tuning;

/// Time for which entries of the retry budget's windows are kept, as a multiple of the window length. It is
/// above 1 because the budget counts retries over a window that is one tick longer.
const RETAINED_BUDGET_WINDOWS: f64 = 2.0;

/// The decision core of one front node.
///
/// It is deterministic: the same settings, seed, batches of events and times give the same actions.
#[derive(Default)]
pub struct FrontNode {
    /// The settings, fixed at construction.
    settings: Settings,
    /// Source of all random numbers.
    random: SplitMix64,
    /// Time of the current batch.
    now: Micros,
    /// When this front node started.
    started_at: Micros,
    /// Number of the current batch.
    batch_number: u64,
    /// Number of the latest call to any replica.
    last_call_number: u64,
    /// All replicas on the endpoint list, and removed ones as long as their data is still used.
    replicas: BTreeMap<ReplicaId, Replica>,
    /// Open queries by sequence number.
    queries: BTreeMap<u64, Query>,
    /// Attempts in flight at any replica.
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// Observed latencies, indexed by [`ClassStep::index`].
    latency_stats: Vec<LatencyStats>,
    /// The time that clients allow for a try, by class.
    client_tries: Vec<ClientTries>,
    /// Queries and parts received recently, for the retry budget.
    received_window: SlidingWindow,
    /// Retries and hedged requests sent recently, for the retry budget.
    retry_window: SlidingWindow,
    /// Time for which entries of `received_window` and `retry_window` are kept.
    budget_retention: Micros,
    /// The replicas on the endpoint list by cell.
    replicas_by_cell: BTreeMap<u32, Vec<ReplicaId>>,
    /// Attempts sent, including retries.
    attempts_sent: DecayingCounter,
    /// Extra parts sent: parts beyond those that their queries needed.
    extra_parts_sent: DecayingCounter,
    /// Retries and hedged requests sent.
    retries_sent: DecayingCounter,
    /// Queries received, by tenant.
    tenant_queries: Vec<DecayingCounter>,
    /// Priority weight per unit of work of the most recent queries, oldest first.
    recent_weights_per_work: VecDeque<f64>,
    /// Recent answers of all replicas, weighted as in [`Replica::sustained_concurrency`].
    sustained_concurrency: DecayingCounter,
    /// Calls sent to replicas.
    calls_sent: DecayingCounter,
    /// Mean time between two calls of this front node to the same replica.
    mean_call_interval: Micros,
    /// Work of answered attempts, in seconds of one core.
    answered_work: DecayingCounter,
    /// Mean work per second that a replica of relative capacity 1 does for this front node, in cores.
    mean_work_rate: f64,
    /// Maximum number of parts in flight that admission allows; `None` unless load is being shed.
    in_flight_limit: Option<f64>,
    /// State of the watch on the endpoint list.
    endpoint_watch: EndpointWatch,
    /// When the idle timer expires; `None` if it is not set.
    idle_timer_at: Option<Micros>,
    /// When a connection to a replica last failed to be established, which is taken for a crash.
    last_crash_at: Option<Micros>,
    /// When any replica last responded to an attempt, be it with an error or by dropping the connection.
    last_response_at: Micros,
    /// The latest stall of all replicas.
    global_stall: GlobalStall,
    /// When the latest event that a client or a replica caused arrived.
    last_external_event_at: Micros,
    /// Time until which nothing is sent after a pause of this machine, as more events may be waiting to be
    /// read.
    resume_sends_at: Micros,
    /// Actions decided on in the current batch.
    actions: Vec<Action>,
}

impl FrontNode {
    /// Creates a front node that starts at `now` and knows no replicas yet. `seed` determines its random
    /// numbers.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> FrontNode {
        let classes = settings.classes.len();
        let budget_window = settings.rules.retry_budget.map_or(Micros(0), |budget| budget.window);
        let mut node = FrontNode {
            random: SplitMix64::new(seed),
            now,
            started_at: now,
            latency_stats: (0..ClassStep::count(classes)).map(|_| LatencyStats::default()).collect(),
            client_tries: vec![ClientTries::default(); classes],
            tenant_queries: vec![DecayingCounter::default(); settings.tenants.len()],
            budget_retention: budget_window.mul_f64(RETAINED_BUDGET_WINDOWS),
            settings,
            ..FrontNode::default()
        };
        node.schedule_first_poll();
        node
    }

    /// Processes a batch of events and appends the resulting actions to `actions`.
    ///
    /// The events, which arrived up to `now`, are applied in order. Decisions are made once, after the last
    /// event.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        self.batch_number += 1;
        self.detect_stalls(events);
        for event in events {
            self.apply_event(event);
        }
        self.update_replica_health();
        self.request_endpoint_list();
        self.update_send_hold();
        self.update_in_flight_limit();
        self.advance_queries();
        self.set_idle_timer();
        actions.append(&mut self.actions);
    }

    /// Returns the number of replicas that the front node holds data of.
    ///
    /// These are the replicas on the endpoint list, and removed ones that have an attempt in flight, have
    /// failed recently or started so recently that they may be warming up.
    pub fn tracked_replicas(&self) -> usize {
        self.replicas.len()
    }

    /// Schedules the first request of the endpoint list. A polled list is requested at a random time: front
    /// nodes often restart together, and spreading their requests protects the discovery service.
    fn schedule_first_poll(&mut self) {
        self.endpoint_watch.backoff = INITIAL_POLL_BACKOFF;
        // The settings may leave the maximum staleness at zero; poll intervals need a bound anyway.
        let min_staleness = INITIAL_POLL_BACKOFF.mul_f64(DEFAULT_STALENESS_MULTIPLE);
        self.settings.rules.max_list_staleness = self.settings.rules.max_list_staleness.max(min_staleness);
        let spread = INITIAL_POLL_BACKOFF.mul_f64(FIRST_POLL_SPREAD * f64::from(self.settings.fleet_size));
        let max_spread = self.settings.rules.max_list_staleness.mul_f64(MAX_FIRST_POLL_SHARE);
        let delay = spread.min(max_spread).mul_f64(self.random.next());
        let waits = self.settings.list_delivery == ListDelivery::Polled;
        self.endpoint_watch.next_poll_at = self.now + if waits { delay } else { Micros(0) };
    }

    /// Advances every open query, in ascending order of sequence numbers, and drops those that have ended.
    fn advance_queries(&mut self) {
        let numbers: Vec<u64> = self.queries.keys().copied().collect();
        for number in numbers {
            let Some(mut query) = self.queries.remove(&number) else { continue };
            if self.advance(&mut query) {
                self.queries.insert(number, query);
            }
        }
    }

    /// Sets the idle timer if there are open queries or the endpoint list still has to be polled.
    fn set_idle_timer(&mut self) {
        let is_requested = self.settings.list_delivery != ListDelivery::Pushed;
        let list_missing = is_requested && !self.endpoint_watch.confirmed;
        if (list_missing || !self.queries.is_empty()) && self.idle_timer_at.is_none() {
            self.idle_timer_at = Some(self.now + IDLE_TIMER_INTERVAL);
            self.actions.push(Action::SetTimer(IDLE_TIMER_INTERVAL));
        }
    }

    /// Returns the observed latencies of a class and step.
    fn stats(&self, class_step: ClassStep) -> &LatencyStats {
        &self.latency_stats[class_step.index()]
    }

    /// Writes a line to the log.
    fn log(&mut self, text: String) {
        self.actions.push(Action::Log(text));
    }

    /// Removes the open query with this id and returns it.
    fn remove_query(&mut self, id: Id) -> Option<Query> {
        let number = self.queries.values().find(|query| query.id == id)?.number;
        self.queries.remove(&number)
    }
}
