//! A simulation of a fleet in steps of one millisecond of real time: three members whose monotonic clocks run
//! at different rates, a replicated log that applies commands late or loses them, changes of the leader, and
//! members that are stalled for longer than the time to live of a lease.
//!
//! Counted in every step: how many members may act at the same time, and whether the fence admits a stale
//! token.

use pinetrestle_fleet::{
    Command, ExpiryMonitor, Fence, LeaseHolder, LeaseTable, MemberId, Outcome, RequestId, Task, Token,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Time to live of a lease, in milliseconds.
const TTL: u64 = 1_000;
const MEMBERS: usize = 3;
/// Length of a run, in milliseconds.
const LENGTH: u64 = 60_000;
/// Time for which a leader has to be stalled before another member is elected, in milliseconds.
const ELECTION: u64 = 300;
/// Maximum delay of a message in milliseconds, unless it waits in a queue.
const MAX_DELAY: u64 = 60;

/// How the members' clocks run.
#[derive(Clone, Copy)]
enum Clocks {
    /// The rate of each clock is random. It is slower or faster than real time by at most this many
    /// thousandths.
    Spread(u64),
    /// The rate of each member's clock, in millionths of real time.
    Rates([u64; MEMBERS]),
    /// The rates are as in `Spread`. In addition, the clock of member 0 jumps at random times, forwards or
    /// back, by up to three times the time to live.
    Jumps(u64),
}

#[derive(Default, Debug)]
struct Report {
    /// Number of milliseconds in which more than one member was allowed to act.
    overlaps: u64,
    /// Number of actions that the fence admitted although it had admitted a higher token before.
    stale_admitted: u64,
    /// Number of actions that the fence rejected.
    rejected: u64,
    /// Number of leases that the table granted.
    grants: u64,
    /// Number of actions that the fence admitted.
    actions: u64,
    /// The longest real time, in milliseconds, in which no member was allowed to act after the first grant.
    longest_gap: u64,
    /// Number of jumps of a clock.
    jumps: u64,
}

struct Member {
    holder: LeaseHolder,
    /// The time on the member's clock at real time 0, in milliseconds.
    offset: u64,
    /// The rate of the member's clock, in millionths of real time.
    rate_ppm: u64,
    stalled_until: u64,
}

impl Member {
    fn local_time(&self, real: u64) -> u64 {
        self.offset + real * self.rate_ppm / 1_000_000
    }
}

enum Event {
    /// A command of a member arrives at the log.
    Propose(usize, Command),
    /// The outcome of a request arrives at a member.
    Outcome(usize, RequestId, Outcome),
    /// An action arrives at the fence.
    Act(Token),
    /// A member applies the release or expiry of a lease from the log.
    LeaseEnded(usize),
}

struct Simulation {
    random: StdRng,
    clocks: Clocks,
    /// Real time in milliseconds.
    now: u64,
    task: Task,
    members: Vec<Member>,
    table: LeaseTable,
    /// The log index of the last command applied.
    index: u64,
    leader: usize,
    expiry: ExpiryMonitor,
    fence: Fence,
    highest_admitted: Token,
    /// The scheduled events, by their time and then by the order in which they were scheduled.
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    last_held: Option<u64>,
    report: Report,
}

impl Simulation {
    fn new(seed: u64, clocks: Clocks) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let task = Task("refresh-lists".into());
        let members = (0..MEMBERS).map(|m| new_member(&mut random, m, &task, clocks)).collect();
        let mut simulation = Simulation {
            random,
            clocks,
            now: 0,
            task,
            members,
            table: LeaseTable::new(),
            index: 0,
            leader: 0,
            expiry: ExpiryMonitor::new(),
            fence: Fence::new(),
            highest_admitted: Token(0),
            events: BTreeMap::new(),
            scheduled: 0,
            last_held: None,
            report: Report::default(),
        };
        simulation.elect(0);
        simulation
    }

    fn run(mut self) -> Report {
        for now in 0..LENGTH {
            self.now = now;
            self.stall_a_member();
            self.jump_a_clock();
            self.change_leader();
            self.deliver_events();
            self.expire_leases();
            let acting = self.poll_members();
            self.record(acting);
        }
        self.report
    }

    /// Returns `true` with a probability of one in `count`.
    fn one_in(&mut self, count: u32) -> bool {
        self.random.random_range(0..count) == 0
    }

    /// Returns whether a message is delivered. One message in ten is lost.
    fn is_delivered(&mut self) -> bool {
        self.random.random_range(0..10) > 0
    }

    fn schedule(&mut self, max_delay: u64, event: Event) {
        self.scheduled += 1;
        let at = self.now + self.random.random_range(0..max_delay);
        self.events.insert((at, self.scheduled), event);
    }

    fn is_stalled(&self, member: usize) -> bool {
        self.members[member].stalled_until > self.now
    }

    fn elect(&mut self, leader: usize) {
        self.leader = leader;
        let local = self.members[leader].local_time(self.now);
        self.expiry.become_leader(local, &self.table);
    }

    /// Stalls a random member at random times, for up to three times the time to live.
    fn stall_a_member(&mut self) {
        if self.one_in(4_000) {
            let member = self.random.random_range(0..MEMBERS);
            self.members[member].stalled_until = self.now + self.random.random_range(0..3 * TTL);
        }
    }

    fn jump_a_clock(&mut self) {
        if matches!(self.clocks, Clocks::Jumps(_)) && self.one_in(2_000) {
            let distance = self.random.random_range(1..3 * TTL);
            let forwards = self.random.random_bool(0.5);
            let offset = &mut self.members[0].offset;
            *offset = if forwards { *offset + distance } else { *offset - distance };
            self.report.jumps += 1;
        }
    }

    /// Elects another leader at random times, and whenever the current one is stalled for longer than
    /// [`ELECTION`].
    fn change_leader(&mut self) {
        let stalled_until = self.members[self.leader].stalled_until;
        let deposed = stalled_until > self.now + ELECTION && stalled_until != 0;
        if !self.one_in(5_000) && !deposed {
            return;
        }
        self.expiry.step_down();
        let candidates: Vec<usize> = (0..MEMBERS).filter(|&m| !self.is_stalled(m)).collect();
        if let Some(&next) = candidates.get(self.random.random_range(0..candidates.len().max(1))) {
            self.elect(next);
        }
    }

    fn deliver_events(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Event::Propose(from, command) => self.apply(from, command),
                Event::Outcome(to, request, outcome) => {
                    if !self.is_stalled(to) {
                        let local = self.members[to].local_time(self.now);
                        self.members[to].holder.handle_outcome(local, request, &outcome);
                    }
                }
                Event::LeaseEnded(to) => {
                    if !self.is_stalled(to) {
                        let local = self.members[to].local_time(self.now);
                        self.members[to].holder.lease_ended(local);
                    }
                }
                Event::Act(token) => self.act(token),
            }
        }
    }

    fn apply(&mut self, from: usize, command: Command) {
        self.index += 1;
        let outcome = self.table.apply(self.index, &command);
        self.report.grants += u64::from(matches!(outcome, Outcome::Granted(_)));
        if matches!(outcome, Outcome::Released | Outcome::Expired) {
            for member in 0..MEMBERS {
                if self.is_delivered() {
                    self.schedule(MAX_DELAY, Event::LeaseEnded(member));
                }
            }
        }
        let local = self.members[self.leader].local_time(self.now);
        self.expiry.observe(local, &self.table);
        let (Command::Acquire { request, .. } | Command::Release { request, .. }) = command else { return };
        if self.is_delivered() {
            // One outcome in 50 waits in a queue for up to twice the time to live.
            let max_delay = if self.one_in(50) { 2 * TTL } else { MAX_DELAY };
            self.schedule(max_delay, Event::Outcome(from, request, outcome));
        }
    }

    fn act(&mut self, token: Token) {
        if self.fence.admit(&self.task, token).is_err() {
            self.report.rejected += 1;
            return;
        }
        self.report.actions += 1;
        self.report.stale_admitted += u64::from(token < self.highest_admitted);
        self.highest_admitted = self.highest_admitted.max(token);
    }

    /// Lets the leader propose to expire leases that were not renewed.
    fn expire_leases(&mut self) {
        if self.is_stalled(self.leader) {
            return;
        }
        let local = self.members[self.leader].local_time(self.now);
        for command in self.expiry.poll(local) {
            self.schedule(30, Event::Propose(self.leader, command));
        }
    }

    /// Lets each member request, renew and act under its lease. Returns the number of members that may act.
    ///
    /// Only members that check their lease in this millisecond are counted. A real member that is stalled
    /// between its check and its action may act later than it should; the fence rejects such an action.
    fn poll_members(&mut self) -> usize {
        let mut acting = 0;
        for member in 0..MEMBERS {
            if self.is_stalled(member) {
                continue;
            }
            let local = self.members[member].local_time(self.now);
            if let Some(command) = self.members[member].holder.poll(local) {
                if self.is_delivered() {
                    self.schedule(MAX_DELAY, Event::Propose(member, command));
                }
            }
            if let Some(token) = self.members[member].holder.valid_token(local) {
                acting += 1;
                if self.now.is_multiple_of(10) {
                    self.schedule(40, Event::Act(token));
                }
            }
        }
        acting
    }

    /// Updates the report with the number of members that may act in this millisecond.
    fn record(&mut self, acting: usize) {
        self.report.overlaps += u64::from(acting > 1);
        if acting > 0 {
            if let Some(last) = self.last_held {
                self.report.longest_gap = self.report.longest_gap.max(self.now - last);
            }
            self.last_held = Some(self.now);
        }
    }
}

fn new_member(random: &mut StdRng, member: usize, task: &Task, clocks: Clocks) -> Member {
    let mut holder = LeaseHolder::new(task.clone(), MemberId(member as u64), TTL, None);
    holder.set_wanted(true);
    let rate_ppm = match clocks {
        Clocks::Spread(spread) | Clocks::Jumps(spread) => {
            1_000_000 - spread * 1_000 + random.random_range(0..=2 * spread) * 1_000
        }
        Clocks::Rates(rates) => rates[member],
    };
    let offset = random.random_range(1_000_000..2_000_000);
    Member { holder, offset, rate_ppm, stalled_until: 0 }
}

fn run(seed: u64, clocks: Clocks) -> Report {
    Simulation::new(seed, clocks).run()
}

#[test]
fn at_most_one_member_may_act_while_clock_drift_is_within_its_bound() {
    let mut grants = 0;
    let mut gaps = Vec::new();
    for seed in 0..20 {
        let report = run(seed, Clocks::Spread(9));
        assert_eq!(report.overlaps, 0, "seed {seed}: {report:?}");
        assert_eq!(report.stale_admitted, 0, "seed {seed}: {report:?}");
        assert!(
            report.actions > 1_000,
            "seed {seed}: the lease was held too rarely for a meaningful test: {report:?}"
        );
        grants += report.grants;
        gaps.push(report.longest_gap);
    }
    assert!(grants > 40, "too few grants for a meaningful test: {grants}");
    // The longest gap is caused by a stall of the holder: up to three times the time to live, followed by the
    // expiry delay and the next grant.
    let bound = 3 * TTL + ExpiryMonitor::expiry_delay_ms(TTL) + TTL / 2;
    assert!(gaps.iter().all(|&gap| gap <= bound), "gaps {gaps:?} over {bound} ms");
}

#[test]
fn clock_drift_beyond_its_bound_lets_two_members_act_but_the_fence_admits_no_stale_token() {
    let mut overlaps = 0;
    let mut rejected = 0;
    for seed in 0..20 {
        let report = run(seed, Clocks::Rates([500_000, 1_500_000, 1_500_000]));
        assert_eq!(report.stale_admitted, 0, "seed {seed}: {report:?}");
        overlaps += report.overlaps;
        rejected += report.rejected;
    }
    assert!(overlaps > 0, "no two members acted at the same time, so the run does not test the fence");
    assert!(rejected > 0, "the fence rejected no action");
}

#[test]
fn the_fence_admits_no_stale_token_while_one_clock_jumps_forwards_and_back() {
    let (mut overlaps, mut rejected, mut jumps) = (0, 0, 0);
    for seed in 0..20 {
        let report = run(seed, Clocks::Jumps(9));
        assert_eq!(report.stale_admitted, 0, "seed {seed}: {report:?}");
        assert!(
            report.actions > 1_000,
            "seed {seed}: the lease was held too rarely for a meaningful test: {report:?}"
        );
        overlaps += report.overlaps;
        rejected += report.rejected;
        jumps += report.jumps;
    }
    assert!(jumps > 400, "too few jumps for a meaningful test: {jumps}");
    // After the holder's clock has jumped back or the leader's clock has jumped forwards, two members may
    // act, and only the fence prevents stale actions. If this never happened, the jumps would not test
    // anything.
    assert!(
        overlaps > 0 && rejected > 0,
        "the jumps had no effect: {overlaps} overlaps, {rejected} actions rejected"
    );
}
