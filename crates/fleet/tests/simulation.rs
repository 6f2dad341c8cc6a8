//! A fleet simulated in milliseconds of real time: three members whose monotonic clocks run at different rates, a
//! replicated log that applies commands late or loses them, leaders that change, members that are stalled for longer
//! than a lease. Checked at every millisecond: at most one member may act; the fence admits no stale token.

use pinetrestle_fleet::{
    Command, ExpiryMonitor, Fence, LeaseHolder, LeaseTable, MemberId, Outcome, RequestId, Task, Token,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Milliseconds of a lease.
const TTL: u64 = 1_000;
const MEMBERS: usize = 3;
/// Milliseconds of a run.
const LENGTH: u64 = 60_000;
/// Milliseconds for which a leader is stalled before another is elected.
const ELECTION: u64 = 300;
/// Milliseconds that a message takes at most, unless it is delayed.
const MAX_DELAY: u64 = 60;

/// How the clocks are set for one run.
#[derive(Clone, Copy)]
enum Clocks {
    /// Each clock drawn at random, slower or faster than real time by at most these thousandths.
    Spread(u64),
    /// Each member's clock rate in millionths of real time.
    Rates([u64; MEMBERS]),
    /// Rates as in `Spread`, and member 0's clock jumps now and then, forwards or back, by up to three leases.
    Jumps(u64),
}

#[derive(Default, Debug)]
struct Report {
    /// Milliseconds in which more than one member might act.
    overlaps: u64,
    /// Actions that the fence admitted with a token below one that it had admitted.
    stale_admitted: u64,
    /// Actions that the fence rejected.
    rejected: u64,
    /// Leases granted by the table.
    grants: u64,
    /// Actions that the fence admitted.
    actions: u64,
    /// The longest stretch of real time in which no member might act, after the first grant.
    longest_gap: u64,
    /// Jumps of a clock.
    jumps: u64,
}

struct Member {
    holder: LeaseHolder,
    /// The local clock at real time 0.
    offset: u64,
    /// The local clock's rate in millionths of real time.
    rate_ppm: u64,
    stalled_until: u64,
}

impl Member {
    fn local_time(&self, real: u64) -> u64 {
        self.offset + real * self.rate_ppm / 1_000_000
    }
}

enum Event {
    /// A command arrives at the log.
    Propose(usize, Command),
    /// An outcome arrives at a member.
    Outcome(usize, RequestId, Outcome),
    /// An action arrives at the fence.
    Act(Token),
    /// A member applies the end of a lease.
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
    /// Events by their time and the order in which they were scheduled.
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
            self.check(acting);
        }
        self.report
    }

    /// One time in so many.
    fn one_in(&mut self, count: u32) -> bool {
        self.random.random_range(0..count) == 0
    }

    /// One message in ten is lost.
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

    /// Stalls a member now and then, for up to three leases.
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

    /// Changes the leader now and then, and always when it has been stalled for the time of an election.
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
            // Now and then an outcome is delayed in a queue for up to two leases.
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

    /// The leader proposes to expire leases that were not renewed.
    fn expire_leases(&mut self) {
        if self.is_stalled(self.leader) {
            return;
        }
        let local = self.members[self.leader].local_time(self.now);
        for command in self.expiry.poll(local) {
            self.schedule(30, Event::Propose(self.leader, command));
        }
    }

    /// Each member requests, renews and acts; returns how many might act.
    ///
    /// A member that checked its lease before it was stalled may still act when it goes on. That is what the fence is
    /// for, and it does not count here: only members that check in this millisecond do.
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

    fn check(&mut self, acting: usize) {
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
        assert!(report.actions > 1_000, "seed {seed}: the lease was hardly held: {report:?}");
        grants += report.grants;
        gaps.push(report.longest_gap);
    }
    assert!(grants > 40, "so few grants test little: {grants}");
    // The longest gap is a stall of the holder: up to three leases, then the expiry delay and a grant.
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
    assert!(overlaps > 0, "a clock at half speed never let two members act: the simulation shows nothing");
    assert!(rejected > 0, "the fence rejected nothing");
}

#[test]
fn the_fence_admits_no_stale_token_while_one_clock_jumps_forwards_and_back() {
    let (mut overlaps, mut rejected, mut jumps) = (0, 0, 0);
    for seed in 0..20 {
        let report = run(seed, Clocks::Jumps(9));
        assert_eq!(report.stale_admitted, 0, "seed {seed}: {report:?}");
        assert!(report.actions > 1_000, "seed {seed}: the lease was hardly held: {report:?}");
        overlaps += report.overlaps;
        rejected += report.rejected;
        jumps += report.jumps;
    }
    assert!(jumps > 400, "so few jumps test little: {jumps}");
    // After a jump back on the holder, or forward on the leader, two members may act, and only the fence keeps their
    // actions in order. If no run showed that, the jumps would test nothing.
    assert!(
        overlaps > 0 && rejected > 0,
        "the jumps changed nothing: {overlaps} overlaps, {rejected} rejected"
    );
}
