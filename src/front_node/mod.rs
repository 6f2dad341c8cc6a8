//! Interface: src/interface.rs (settings, events, actions). The front node's decisions: its state and the
//! batch here, its tuned values in `tuning`, and one module for each subsystem.

use crate::interface::{Action, Event, Id, Micros, ReplicaId, Settings};
use crate::numeric::{DecayingCounter, SlidingWindow, SplitMix64};
use crate::state::{
    AttemptId, ClassStep, ClientTries, EndpointWatch, InFlightAttempt, LatencyStats, Query, Replica, Silence,
};
use std::collections::{BTreeMap, VecDeque};
use tuning::{
    DEFAULT_POLL_WITHIN_MULTIPLE, FIRST_POLL_SPREAD, IDLE_WAKE, INITIAL_POLL_BACKOFF, MAX_FIRST_POLL_SHARE,
};

mod admission;
mod attempts;
mod dispatch;
mod endpoint_list;
mod events;
mod latency;
mod lifecycle;
mod outliers;
mod overdue;
mod query_of_death;
mod retry;
mod silence;
mod slow_start;
mod tuning;

/// The retry window is kept for this multiple of its length, so that its bounds never fall out of it.
const RETAINED_BUDGET_WINDOWS: f64 = 2.0;

/// The decisions of one front node.
///
/// Deterministic: the same settings, seed and batches bring the same actions.
#[derive(Default)]
pub struct FrontNode {
    /// The settings, fixed at the start.
    settings: Settings,
    /// Source of every random draw.
    random: SplitMix64,
    /// The time of the present batch.
    now: Micros,
    /// When this front node started.
    started_at: Micros,
    /// Number of the present batch.
    round: u64,
    /// Number of the latest call to a replica.
    last_call: u64,
    /// The replicas listed, and those that left while something of them counts.
    replicas: BTreeMap<ReplicaId, Replica>,
    /// Queries without a final answer, by their number.
    queries: BTreeMap<u64, Query>,
    /// Attempts in flight.
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// Observed latencies, by [`ClassStep::index`].
    latency_stats: Vec<LatencyStats>,
    /// How long clients' tries are, by class.
    client_tries: Vec<ClientTries>,
    /// Queries and parts received, for the retry budget.
    received_window: SlidingWindow,
    /// Retries sent, for the retry budget.
    retry_window: SlidingWindow,
    /// How long entries of these two windows are kept.
    budget_retention: Micros,
    /// The replicas listed in each cell.
    replicas_by_cell: BTreeMap<u32, Vec<ReplicaId>>,
    /// Attempts sent, retries included.
    sent: DecayingCounter,
    /// Extra parts sent, beyond those that their queries needed.
    extra_parts: DecayingCounter,
    /// Attempts of parts sent before: retries and hedged requests.
    retries: DecayingCounter,
    /// Queries of each tenant.
    tenant_queries: Vec<DecayingCounter>,
    /// Priority weight for work of the latest queries.
    recent_densities: VecDeque<f64>,
    /// Recent answers of all replicas, counted as in [`Replica::sustained_concurrency`].
    sustained_concurrency: DecayingCounter,
    /// Calls sent to replicas.
    calls: DecayingCounter,
    /// Mean time until a replica gets its next call from us.
    revisit_interval: Micros,
    /// Work answered, in seconds of one core.
    answered_work: DecayingCounter,
    /// Work a second that a replica of size 1 does for us on average, in cores.
    mean_work_rate: f64,
    /// Most parts in flight that admission allows, while shedding load.
    in_flight_limit: Option<f64>,
    /// The watch on the endpoint list.
    endpoint_watch: EndpointWatch,
    /// When the idle timer is due, if one is set.
    idle_wake_at: Option<Micros>,
    /// When an attempt last found its replica unreachable.
    last_crash_at: Option<Micros>,
    /// When any replica last answered or dropped an attempt.
    last_response_at: Micros,
    /// The latest silence of all replicas.
    silence: Silence,
    /// When an event of a client or a replica last came.
    last_external_event_at: Micros,
    /// After a standstill: nothing is sent until then, as more events may be waiting to be read.
    settled_at: Micros,
    /// Actions decided in the present batch.
    actions: Vec<Action>,
}

impl FrontNode {
    /// A front node that knows nothing but its settings, started now. The seed feeds its random draws.
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

    /// Takes in a batch of events that came up to `now`, in order, then decides once and appends the actions.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        self.round += 1;
        self.detect_silence(events);
        for event in events {
            self.absorb(event);
        }
        self.judge_replicas();
        self.request_endpoint_list();
        self.update_in_flight_limit();
        self.advance_queries();
        self.set_idle_timer();
        actions.append(&mut self.actions);
    }

    /// Number of replicas of which something is remembered: those listed, and those that left while an
    /// attempt is in flight there, a failure counts or they could still be warming up.
    pub fn tracked_replicas(&self) -> usize {
        self.replicas.len()
    }

    /// Front nodes often restart together: their first polls are spread, to spare the list service.
    fn schedule_first_poll(&mut self) {
        self.endpoint_watch.backoff = INITIAL_POLL_BACKOFF;
        // Where no time is stated within which the list must be polled, waits still need a bound.
        let default = INITIAL_POLL_BACKOFF.mul_f64(DEFAULT_POLL_WITHIN_MULTIPLE);
        self.settings.rules.max_list_staleness = self.settings.rules.max_list_staleness.max(default);
        let spread = INITIAL_POLL_BACKOFF.mul_f64(FIRST_POLL_SPREAD * f64::from(self.settings.fleet_size));
        let most = self.settings.rules.max_list_staleness.mul_f64(MAX_FIRST_POLL_SHARE);
        self.endpoint_watch.next_poll_at = self.now + spread.min(most).mul_f64(self.random.next());
    }

    /// Takes every query, in the order of their numbers, as far as it goes now.
    fn advance_queries(&mut self) {
        let numbers: Vec<u64> = self.queries.keys().copied().collect();
        for number in numbers {
            let Some(mut query) = self.queries.remove(&number) else { continue };
            if self.advance(&mut query) {
                self.queries.insert(number, query);
            }
        }
    }

    /// Sets a timer while there is something to look after: an open query, or an endpoint list to poll.
    fn set_idle_timer(&mut self) {
        let list_missing = self.settings.poll_endpoint_list && !self.endpoint_watch.confirmed;
        if (list_missing || !self.queries.is_empty()) && self.idle_wake_at.is_none() {
            self.idle_wake_at = Some(self.now + IDLE_WAKE);
            self.actions.push(Action::SetTimer(IDLE_WAKE));
        }
    }

    /// The observed latencies of a class and step.
    fn stats(&self, class_step: ClassStep) -> &LatencyStats {
        &self.latency_stats[class_step.index()]
    }

    /// Writes a line to the operators' log.
    fn log(&mut self, text: String) {
        self.actions.push(Action::Log(text));
    }

    /// Removes an open query by its id.
    fn remove_query(&mut self, id: Id) -> Option<Query> {
        let number = self.queries.values().find(|query| query.id == id)?.number;
        self.queries.remove(&number)
    }
}
