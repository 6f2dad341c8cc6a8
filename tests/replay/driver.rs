//! The driver: seeded random events, one batch a step.

use crate::common::{list_entry, ms, World};
use crate::digest::{Digest, DigestBuilder};
use pinetrestle::interface::*;

/// Steps of a run.
pub const STEPS: u32 = 1500;
/// Steps of a surge, in which only queries come.
const SURGE_STEPS: u32 = 40;
/// Rolls below this begin a query; in a surge every roll does.
const QUERY_ROLLS: u64 = 35;

/// All outcomes, in the order in which a roll picks them.
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

/// What distinguishes one run from another, besides its settings.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub replicas: u32,
    pub seed: u64,
    /// The step at which a surge begins.
    pub surge_at: u32,
}

/// SplitMix64, the driver's own source of events, apart from the node's.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

struct Driver {
    scenario: Scenario,
    classes: u64,
    world: World,
    draws: Draws,
    /// Every query begun so far.
    queries: Vec<Id>,
    /// Replicas that answer only after a long while.
    slow: Vec<ReplicaId>,
}

/// Drives a node through a seeded run and sums up what it did.
pub fn replay(settings: Settings, scenario: Scenario) -> Digest {
    let mut driver = Driver::new(settings, scenario);
    let mut digest = DigestBuilder::new();
    digest.add(&driver.world.last_actions);
    for step in 0..STEPS {
        digest.add(&driver.step(step));
    }
    digest.finish()
}

impl Driver {
    fn new(settings: Settings, scenario: Scenario) -> Driver {
        let mut draws = Draws(scenario.seed ^ 0x5eed);
        let classes = settings.classes.len() as u64;
        let world = World::with_seed(settings, scenario.replicas, scenario.seed);
        let slow = (0..scenario.replicas).filter(|_| draws.chance(25)).collect();
        Driver { scenario, classes, world, draws, queries: Vec::new(), slow }
    }

    /// One batch; its actions.
    fn step(&mut self, step: u32) -> Vec<Action> {
        self.world.now = self.world.now + ms(1 + self.draws.below(30) as i64);
        let surge = (self.scenario.surge_at..self.scenario.surge_at + SURGE_STEPS).contains(&step);
        let roll = self.draws.below(if surge { QUERY_ROLLS } else { 100 });
        let events = match roll {
            0..QUERY_ROLLS => self.begin_query(),
            35..=69 => self.end_attempts(),
            70..=77 => vec![self.change_replica()],
            78..=80 => vec![Event::WatchFailed],
            81..=82 => vec![self.complete_list()],
            83..=85 if !self.queries.is_empty() => vec![self.disconnect_client()],
            86 => vec![Event::HealthChecked],
            _ => return self.world.wait(ms(self.draws.below(60) as i64)),
        };
        self.world.deliver(events)
    }

    fn begin_query(&mut self) -> Vec<Event> {
        let draws = &mut self.draws;
        let unknown_class = draws.chance(3);
        let class = if unknown_class { self.classes } else { draws.below(self.classes) } as usize;
        let mut shards: Vec<u32> = (0..1 + draws.below(4)).map(|_| draws.below(8) as u32).collect();
        shards.sort_unstable();
        shards.dedup();
        // A retry by the client comes with less time left.
        let expires_in = if draws.chance(20) { ms(300 + draws.below(2500) as i64) } else { ms(3000) };
        let (id, mut events) = self.world.query_events(class, &shards, expires_in);
        if let Event::Query { tenant, retry, .. } = &mut events[0] {
            *tenant = (draws.below(3) as usize).checked_sub(1);
            *retry = draws.chance(20);
        }
        self.queries.push(id);
        events
    }

    /// Ends some of the attempts that are due, mostly with an answer.
    fn end_attempts(&mut self) -> Vec<Event> {
        let in_flight: Vec<((Id, u32), (ReplicaId, Micros))> =
            self.world.in_flight.iter().map(|(key, sent)| (*key, *sent)).collect();
        let mut events = Vec::new();
        for ((part, attempt), (replica, sent_at)) in in_flight {
            let latency = if self.slow.contains(&replica) { ms(400) } else { ms(20) };
            if self.world.now - sent_at < latency || self.draws.chance(30) {
                continue;
            }
            let outcome =
                if self.draws.chance(75) { Outcome::Ok } else { OUTCOMES[self.draws.below(8) as usize] };
            events.push(self.world.attempt_ended(part, attempt, outcome));
        }
        events
    }

    /// A replica drains, is removed, comes back or restarts and warms up; it may be one not known yet.
    fn change_replica(&mut self) -> Event {
        let replica = self.draws.below(u64::from(self.scenario.replicas) + 2) as u32;
        let (lifecycle, started) = match self.draws.below(4) {
            0 => (Lifecycle::Draining, None),
            1 => (Lifecycle::Removed, None),
            2 => (Lifecycle::InService, Some(self.world.now)),
            _ => (Lifecycle::InService, None),
        };
        Event::EndpointListChanged(vec![list_entry(replica, lifecycle, started)])
    }

    fn complete_list(&mut self) -> Event {
        let in_service = |id| list_entry(id, Lifecycle::InService, None);
        let replicas = (0..self.scenario.replicas).map(in_service).collect();
        Event::EndpointList { replicas, cached: self.draws.chance(30) }
    }

    fn disconnect_client(&mut self) -> Event {
        let place = self.draws.below(self.queries.len() as u64) as usize;
        Event::ClientDisconnected(self.queries[place])
    }
}
