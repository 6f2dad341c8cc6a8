//! Drives a front node with seeded random events, one batch per step.

use crate::common::{list_entry, ms, Harness};
use crate::digest::{Digest, DigestBuilder};
use pinetrestle::interface::*;

/// Number of steps of a run.
pub const STEPS: u32 = 1500;
/// Number of steps of a surge, in which only queries arrive.
const SURGE_STEPS: u32 = 40;
/// Percentage of the steps that begin a query. In a surge, all of them do.
const QUERY_PERCENT: u64 = 35;

/// All outcomes. A random number picks one by its index, so their order must not change.
const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// Parameters of a run, in addition to its settings.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub replicas: u32,
    pub seed: u64,
    /// The step at which a surge begins.
    pub surge_at: u32,
}

/// Random number generator (SplitMix64) of the driver, separate from the one in the front node.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a random number from 0 up to but not including `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns true with the given probability in percent.
    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

struct Driver {
    scenario: Scenario,
    classes: u64,
    harness: Harness,
    random: Random,
    /// All queries begun so far.
    queries: Vec<Id>,
    /// Replicas that answer after 400 ms instead of 20 ms.
    slow: Vec<ReplicaId>,
}

/// Drives a front node through a seeded run and returns the digest of its actions.
pub fn replay(settings: Settings, scenario: Scenario) -> Digest {
    let mut driver = Driver::new(settings, scenario);
    let mut digest = DigestBuilder::new();
    digest.add(&driver.harness.last_actions);
    for step in 0..STEPS {
        digest.add(&driver.step(step));
    }
    digest.finish()
}

impl Driver {
    fn new(settings: Settings, scenario: Scenario) -> Driver {
        let mut random = Random(scenario.seed ^ 0x5eed);
        let classes = settings.classes.len() as u64;
        let harness = Harness::with_seed(settings, scenario.replicas, scenario.seed);
        let slow = (0..scenario.replicas).filter(|_| random.chance(25)).collect();
        Driver { scenario, classes, harness, random, queries: Vec::new(), slow }
    }

    /// Delivers the batch of a step and returns the resulting actions.
    fn step(&mut self, step: u32) -> Vec<Action> {
        self.harness.now = self.harness.now + ms(1 + self.random.below(30) as i64);
        let surge = (self.scenario.surge_at..self.scenario.surge_at + SURGE_STEPS).contains(&step);
        let event_kind = self.random.below(if surge { QUERY_PERCENT } else { 100 });
        let events = match event_kind {
            0..QUERY_PERCENT => self.begin_query(),
            35..=69 => self.end_attempts(),
            70..=77 => vec![self.change_replica()],
            78..=80 => vec![Event::WatchFailed(WatchFailure::Unknown)],
            81..=82 => vec![self.complete_list()],
            83..=85 if !self.queries.is_empty() => vec![self.disconnect_client()],
            86 => vec![Event::HealthChecked],
            _ => return self.harness.wait(ms(self.random.below(60) as i64)),
        };
        self.harness.deliver(events)
    }

    fn begin_query(&mut self) -> Vec<Event> {
        let random = &mut self.random;
        let unknown_class = random.chance(3);
        let class = if unknown_class { self.classes } else { random.below(self.classes) } as usize;
        let mut shards: Vec<u32> = (0..1 + random.below(4)).map(|_| random.below(8) as u32).collect();
        shards.sort_unstable();
        shards.dedup();
        // A shorter time left looks like a retry by the client.
        let expires_in = if random.chance(20) { ms(300 + random.below(2500) as i64) } else { ms(3000) };
        let (id, mut events) = self.harness.query_events(class, &shards, expires_in);
        if let Event::Query { tenant, retry, .. } = &mut events[0] {
            *tenant = (random.below(3) as usize).checked_sub(1);
            *retry = random.chance(20);
        }
        self.queries.push(id);
        events
    }

    /// Ends some of the attempts that have been in flight for long enough, most of them with an answer.
    fn end_attempts(&mut self) -> Vec<Event> {
        let in_flight: Vec<((Id, u32), (ReplicaId, Micros))> =
            self.harness.in_flight.iter().map(|(key, sent)| (*key, *sent)).collect();
        let mut events = Vec::new();
        for ((part, attempt), (replica, sent_at)) in in_flight {
            let latency = if self.slow.contains(&replica) { ms(400) } else { ms(20) };
            if self.harness.now - sent_at < latency || self.random.chance(30) {
                continue;
            }
            let outcome =
                if self.random.chance(75) { Outcome::Ok } else { OUTCOMES[self.random.below(8) as usize] };
            events.push(self.harness.attempt_ended(part, attempt, outcome));
        }
        events
    }

    /// Makes a replica drain, leave, return, or restart and warm up. The replica may be a new one.
    fn change_replica(&mut self) -> Event {
        let replica = self.random.below(u64::from(self.scenario.replicas) + 2) as u32;
        let (lifecycle, started) = match self.random.below(4) {
            0 => (Lifecycle::Draining, None),
            1 => (Lifecycle::Removed, None),
            2 => (Lifecycle::InService, Some(self.harness.now)),
            _ => (Lifecycle::InService, None),
        };
        Event::EndpointListChanged(vec![list_entry(replica, lifecycle, started)])
    }

    fn complete_list(&mut self) -> Event {
        let in_service = |id| list_entry(id, Lifecycle::InService, None);
        let replicas = (0..self.scenario.replicas).map(in_service).collect();
        Event::EndpointList { replicas, cached: self.random.chance(30) }
    }

    fn disconnect_client(&mut self) -> Event {
        let index = self.random.below(self.queries.len() as u64) as usize;
        Event::ClientDisconnected(self.queries[index])
    }
}
