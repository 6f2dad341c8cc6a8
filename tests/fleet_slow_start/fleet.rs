//! Simulation of a fleet of front nodes with a common clock, uneven traffic and restarts. The front nodes
//! share no state. Only the decision core runs: a replica is simulated by the latency of its answers.

use crate::common::{base_settings, list_entry, ms, sent_attempts, Harness};
use pinetrestle::interface::*;
use pinetrestle::FrontNode;
use std::collections::BTreeMap;

/// Mean work of a part, in milliseconds. The work of each part varies randomly around it.
pub const MEAN_WORK_MS: i64 = 40;
/// Time that a replica needs to warm up, in milliseconds.
pub const WARM_UP_MS: i64 = 10_000;
/// Number of replicas.
pub const REPLICAS: u32 = 8;
/// When replicas restart, in milliseconds from the start of the run.
const RESTART_MS: i64 = 6_000;
/// Clock time at which a run starts, in milliseconds.
const START_MS: i64 = 50_000;
/// Time between two steps, in milliseconds.
const STEP_MS: i64 = 5;
/// Interval of batches without events, in milliseconds.
const IDLE_BATCH_MS: i64 = 20;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub front_nodes: u32,
    /// Work of all queries, as a share of the capacity of all replicas.
    pub utilization: f64,
    /// Number of replicas that restart, all at the same time. Those with the lowest ids are chosen.
    pub cold_replicas: u32,
    /// Share of the front nodes that restart per second.
    pub restart_rate: f64,
    /// Overload window in milliseconds. The shorter it is, the less work slow start allows in it.
    pub overload_window_ms: i64,
    pub seed: u64,
}

impl Scenario {
    fn settings(&self) -> Settings {
        let mut settings = base_settings();
        settings.fleet_size = self.front_nodes;
        settings.rules.cold_capacity_share = 0.2;
        settings.rules.overload_multiple = 2.0;
        settings.rules.overload_window = ms(self.overload_window_ms);
        settings.rules.warm_up_time = ms(WARM_UP_MS);
        settings
    }

    /// Returns the endpoint list at a time of the run.
    fn list(&self, now_ms: i64) -> Event {
        let started = (now_ms >= RESTART_MS).then_some(ms(START_MS + RESTART_MS));
        let entry =
            |id: ReplicaId| list_entry(id, Lifecycle::InService, started.filter(|_| id < self.cold_replicas));
        Event::EndpointList { replicas: (0..REPLICAS).map(entry).collect(), cached: false }
    }
}

/// A seeded linear congruential generator.
struct Random(u64);

impl Random {
    /// Returns a random number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1u64 << 31) as f64
    }
}

/// A front node with its pending answers and its share of the traffic.
struct SimulatedNode {
    harness: Harness,
    /// Attempts (part and attempt number) by the time of their answer, in milliseconds.
    answers_due: BTreeMap<i64, Vec<(Id, u32)>>,
    /// Probability that the front node gets a query in a step.
    query_chance: f64,
}

impl SimulatedNode {
    /// Starts a front node, which gets the endpoint list immediately.
    fn start(scenario: &Scenario, number: u32, now_ms: i64, query_chance: f64) -> SimulatedNode {
        let settings = scenario.settings();
        let number = u64::from(number);
        let mut harness =
            Harness::with_seed(settings.clone(), 0, scenario.seed * 1000 + number + now_ms as u64);
        // The harness starts at a time of its own. Sets its clock to the time of the run.
        harness.now = ms(START_MS + now_ms);
        harness.node = FrontNode::new(settings, scenario.seed ^ number ^ now_ms as u64, harness.now);
        harness.deliver(vec![scenario.list(now_ms)]);
        SimulatedNode { harness, answers_due: BTreeMap::new(), query_chance }
    }

    /// Removes the answers that are due and returns their events.
    fn take_answers(&mut self, now_ms: i64) -> Vec<Event> {
        let later = self.answers_due.split_off(&(now_ms + 1));
        let due = std::mem::replace(&mut self.answers_due, later);
        let mut events = Vec::new();
        for (part, attempt) in due.into_values().flatten() {
            if self.harness.in_flight.contains_key(&(part, attempt)) {
                events.push(self.harness.attempt_ended(part, attempt, Outcome::Ok));
            }
        }
        events
    }
}

/// For each replica, when parts were sent to it, in milliseconds since the restart of replicas.
pub type SendTimes = BTreeMap<ReplicaId, Vec<i64>>;

/// Runs a scenario and returns when parts were sent to each replica.
pub fn run(scenario: Scenario) -> SendTimes {
    let mut random = Random(scenario.seed);
    // The traffic of front nodes is distributed exponentially: some get several times the mean, some almost
    // none.
    let weights: Vec<f64> = (0..scenario.front_nodes).map(|_| -(1.0 - random.draw()).ln()).collect();
    let total: f64 = weights.iter().sum();
    let queries_per_step = scenario.utilization * f64::from(REPLICAS) / MEAN_WORK_MS as f64 * STEP_MS as f64;
    let node = |(number, weight): (u32, &f64)| {
        SimulatedNode::start(&scenario, number, 0, queries_per_step * weight / total)
    };
    let mut nodes: Vec<SimulatedNode> = (0..).zip(&weights).map(node).collect();
    let mut sent = SendTimes::new();
    for now_ms in (0..RESTART_MS + WARM_UP_MS).step_by(STEP_MS as usize) {
        for (number, node) in (0..).zip(&mut nodes) {
            step(&scenario, number, node, now_ms, &mut random, &mut sent);
        }
    }
    sent
}

/// Runs one step of one front node: a random restart, the answers that are due, and a random query.
fn step(
    scenario: &Scenario,
    number: u32,
    node: &mut SimulatedNode,
    now_ms: i64,
    random: &mut Random,
    sent: &mut SendTimes,
) {
    node.harness.now = ms(START_MS + now_ms);
    if now_ms == RESTART_MS {
        node.harness.deliver(vec![scenario.list(now_ms)]);
    }
    if random.draw() < scenario.restart_rate * STEP_MS as f64 / 1000.0 {
        *node = SimulatedNode::start(scenario, number, now_ms, node.query_chance);
    }
    let mut events = node.take_answers(now_ms);
    if random.draw() < node.query_chance {
        let shard = (random.draw() * 4.0) as u32;
        events.extend(node.harness.query_events(0, &[shard], ms(3000)).1);
    }
    if events.is_empty() && now_ms % IDLE_BATCH_MS != 0 {
        return;
    }
    let actions = if events.is_empty() { node.harness.wait(Micros(0)) } else { node.harness.deliver(events) };
    for (part, replica) in sent_attempts(&actions) {
        if now_ms >= RESTART_MS {
            sent.entry(replica).or_default().push(now_ms - RESTART_MS);
        }
        let latency_ms = (MEAN_WORK_MS as f64 * (0.7 + 0.6 * random.draw())) as i64;
        let attempt = node.harness.attempts_sent[&part] - 1;
        node.answers_due.entry(now_ms + latency_ms).or_default().push((part, attempt));
    }
}
