//! The front node acts on a change of the endpoint list within 6 s, however its calls to discovery fail.
//!
//! The tests combine the decision core, its host and the supervisor of watches as the program does, and run
//! them on a simulated clock against a simulated discovery service.

#[path = "../common/mod.rs"]
mod common;
mod simulation;

use pinetrestle_protocol::endpoint_list::ListUpdate;
use pinetrestle_protocol::watch::WatchEvent;
use pinetrestle_protocol::watch_supervisor::{WatchAction, WatchEnd, WatchSupervisor};
use simulation::{CallOutcome, RandomNumbers, Simulation, CHANGE_DEADLINE, MS};
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn a_change_is_acted_on_in_time_after_any_sequence_of_failed_calls_and_watches() {
    for seed in 0..300 {
        let pushed = seed % 2 == 0;
        let mut random = RandomNumbers(seed);
        let mut simulation = Simulation::new(pushed, seed);
        // Until `reachable_from` calls have random outcomes, except that discovery is down between
        // `down_from` and `reachable_from`. From then on it answers each call within 1.5 s.
        let reachable_from = (3000 + random.below(20_000)) * MS;
        let down_from = reachable_from.saturating_sub(random.below(12_000) * MS);
        let answer_after = random.below(1500) * MS;
        let mut outcomes = RandomNumbers(seed + 1000);
        // In half of the runs discovery is overloaded when it returns: it leaves the first call unanswered,
        // and later ones wait for `answer_after`.
        let mut overloaded = random.below(2) == 0;
        let mut choose_outcome = |now: u64, _| match now {
            now if now >= reachable_from && std::mem::take(&mut overloaded) => CallOutcome::Unanswered,
            now if now >= reachable_from => CallOutcome::Healthy(answer_after),
            now if now >= down_from => CallOutcome::Refused(0),
            _ => CallOutcome::random(&mut outcomes),
        };
        let changes: Vec<u64> = (0..4).map(|_| random.below(reachable_from / MS + 3000) * MS).collect();
        let mut changed_at: BTreeMap<u64, u64> = BTreeMap::new();
        while simulation.now < reachable_from + 12_000 * MS {
            if changes.contains(&simulation.now) {
                simulation.version += 1;
                changed_at.insert(simulation.version, simulation.now);
            }
            // When discovery goes down, it closes the watches that are open.
            if simulation.now == down_from {
                for call in simulation.calls.values_mut() {
                    call.outcome = CallOutcome::Closed(0, 0);
                }
            }
            simulation.step(&mut choose_outcome);
        }
        for (version, at) in changed_at {
            let reachable_at = at.max(reachable_from);
            let Some(acted_on) = simulation.acted_on.get(&version) else {
                panic!("seed {seed}: version {version} was never acted on");
            };
            let latency = acted_on.saturating_sub(reachable_at);
            assert!(
                latency <= CHANGE_DEADLINE,
                "seed {seed}, pushed {pushed}: {latency} µs after {reachable_at}"
            );
        }
        simulation.assert_call_rate_limits();
    }
}

#[test]
fn a_change_is_acted_on_in_time_after_a_watch_falls_silent_and_the_next_call_is_not_answered() {
    for (seed, unanswered) in (0..200).map(|seed| (seed, seed % 3 != 0)) {
        let pushed = seed % 2 == 0;
        let mut simulation = Simulation::new(pushed, seed);
        let mut calls = 0;
        // The first watch falls silent after a line. In two of three runs the second call is not
        // answered; every other call is.
        let mut choose_outcome = |_, _| {
            calls += 1;
            match calls {
                1 => CallOutcome::FallsSilent(0, 2001 * MS),
                2 if unanswered => CallOutcome::Unanswered,
                _ => CallOutcome::Healthy(100 * MS),
            }
        };
        while simulation.calls.is_empty() {
            simulation.step(&mut choose_outcome);
        }
        let first_call = |simulation: &Simulation| simulation.calls[&1].clone();
        let silent_from = first_call(&simulation).started_at + 2000 * MS;
        while first_call(&simulation).last_line_at.is_none_or(|at| at < silent_from) {
            simulation.step(&mut choose_outcome);
        }
        // The list changes right after the last keep-alive.
        let changed_at = simulation.now;
        simulation.version += 1;
        let version = simulation.version;
        while simulation.now < changed_at + CHANGE_DEADLINE {
            simulation.step(&mut choose_outcome);
        }
        let acted_on = simulation.acted_on.get(&version);
        assert!(acted_on.is_some(), "seed {seed}, pushed {pushed}: not in time, {:?}", simulation.calls);
        simulation.assert_call_rate_limits();
    }
}

/// A discovery service that answers one call at a time, takes the same time for each, and rejects a call that
/// it could not answer within 2 s.
struct OverloadedDiscovery {
    /// Time that a call takes, in microseconds.
    time_per_call: u64,
    /// When the calls accepted so far will all be answered.
    free_at: u64,
    /// Calls accepted so far.
    accepted: u64,
}

impl OverloadedDiscovery {
    /// Returns the outcome of a call that arrives now.
    fn outcome(&mut self, now: u64) -> CallOutcome {
        let done = self.free_at.max(now) + self.time_per_call;
        if done > now + 2000 * MS {
            return CallOutcome::Refused(MS);
        }
        self.free_at = done;
        self.accepted += 1;
        CallOutcome::Healthy(done - now)
    }
}

#[test]
fn a_fleet_that_starts_at_once_gets_the_list_in_about_the_time_of_one_call_per_node() {
    // Thirty calls of 180 ms take 5.4 s.
    let fleet_size = 30;
    let time_per_call = 180 * MS;
    for (seed, pushed) in (0..20).map(|seed| (seed, seed % 2 == 0)) {
        let mut fleet: Vec<Simulation> =
            (0..fleet_size).map(|node| Simulation::in_fleet(pushed, seed * 100 + node, fleet_size)).collect();
        let mut discovery = OverloadedDiscovery { time_per_call, free_at: 0, accepted: 0 };
        let has_list = |simulation: &Simulation| simulation.acted_on.contains_key(&1);
        while fleet.iter().any(|simulation| !has_list(simulation)) && fleet[0].now < 30_000 * MS {
            for simulation in &mut fleet {
                simulation.step(&mut |now, _| discovery.outcome(now));
            }
        }
        let elapsed = fleet[0].now;
        assert!(
            discovery.accepted <= fleet_size + 1,
            "seed {seed}, pushed {pushed}: {} calls for {fleet_size}",
            discovery.accepted
        );
        // The margin of 2.5 s is one more backoff of the decision core: towards the end few front nodes still
        // poll, and discovery may be idle until one of them calls again.
        assert!(
            elapsed <= fleet_size * time_per_call + 2500 * MS,
            "seed {seed}, pushed {pushed}: {elapsed} µs"
        );
        fleet.iter().for_each(Simulation::assert_call_rate_limits);
    }
}

#[test]
fn polls_faster_than_answers_cancel_no_call_that_would_be_answered() {
    let mut watches = WatchSupervisor::new(0, 0);
    let answer_timeout = Duration::from_secs(3);
    let mut opened = Vec::new();
    for poll in 0..20 {
        for action in watches.request_watch(Duration::from_millis(100 * poll), answer_timeout) {
            match action {
                WatchAction::Open { watch_id, .. } => opened.push(watch_id),
                other => panic!("{other:?}"),
            }
        }
    }
    assert_eq!(opened, [1, 2], "the first call stays open, and only one more is opened beside it");
    let update = ListUpdate { version: 5, complete: true, entries: Vec::new() };
    let actions = watches.on_event(1, WatchEvent::Update(update.clone()));
    assert_eq!(actions, [WatchAction::Close(2), WatchAction::Deliver(update)]);
    assert_eq!(watches.on_watch_ended(2, WatchEnd::ByPeer), [], "the end of a closed watch is not reported");
    assert_eq!(watches.on_watch_ended(1, WatchEnd::ByPeer), [WatchAction::ReportLost(WatchEnd::ByPeer)]);
}

#[test]
fn a_new_address_is_retried_until_it_answers_while_the_old_watch_is_healthy() {
    for (seed, pushed) in [(1, false), (2, true), (3, false), (4, true)] {
        let mut simulation = Simulation::new(pushed, seed);
        let up_from = 9000 * MS;
        // Address 1 is down until `up_from`; the watch on address 0 stays healthy.
        let mut choose_outcome = |now, address| match address {
            1 if now < up_from => CallOutcome::Refused(0),
            _ => CallOutcome::Healthy(10 * MS),
        };
        while simulation.now < 4000 * MS {
            simulation.step(&mut choose_outcome);
        }
        simulation.change_discovery_address(1, &mut choose_outcome);
        while simulation.now < up_from + CHANGE_DEADLINE {
            if simulation.now.is_multiple_of(700 * MS) {
                // Changes at the old address keep the decision core from polling.
                simulation.version += 1;
            }
            simulation.step(&mut choose_outcome);
        }
        let watched_addresses: Vec<u8> = simulation.calls.values().map(|call| call.address).collect();
        assert_eq!(watched_addresses, [1], "seed {seed}, pushed {pushed}");
        simulation.assert_call_rate_limits();
    }
}

#[test]
fn a_change_is_acted_on_in_time_if_the_old_watch_falls_silent_and_calls_to_the_new_address_fail() {
    for (seed, pushed) in [(5, false), (6, true)] {
        let mut simulation = Simulation::new(pushed, seed);
        let mut new_address_calls = 0;
        let mut choose_outcome = |_, address| {
            new_address_calls += usize::from(address == 1);
            match (address, new_address_calls) {
                (0, _) => CallOutcome::FallsSilent(10 * MS, 4000 * MS),
                (_, 1 | 2) => CallOutcome::Refused(1400 * MS),
                _ => CallOutcome::Healthy(10 * MS),
            }
        };
        while simulation.now < 3900 * MS {
            simulation.step(&mut choose_outcome);
        }
        simulation.change_discovery_address(1, &mut choose_outcome);
        let changed_at = simulation.now;
        simulation.version += 1;
        let version = simulation.version;
        while simulation.now < changed_at + CHANGE_DEADLINE {
            simulation.step(&mut choose_outcome);
        }
        assert!(simulation.acted_on.contains_key(&version), "pushed {pushed}");
    }
}
