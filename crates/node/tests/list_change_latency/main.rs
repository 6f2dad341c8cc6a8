//! A change of the endpoint list is acted on within 6 s, on a simulated clock: the decision core, the host and the
//! supervisor of watches as the program puts them together, with calls to discovery that fail in every way.

#[path = "../common/mod.rs"]
mod common;
mod simulation;

use pinetrestle_protocol::endpoint_list::ListUpdate;
use pinetrestle_protocol::watch::WatchEvent;
use pinetrestle_protocol::watch_supervisor::{WatchAction, WatchSupervisor, WatchTimeouts};
use simulation::{CallOutcome, RandomNumbers, Simulation, CHANGE_DEADLINE, MS};
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn a_change_is_acted_on_in_time_after_any_sequence_of_failed_calls_and_watches() {
    for seed in 0..300 {
        let pushed = seed % 2 == 0;
        let mut numbers = RandomNumbers(seed);
        let mut simulation = Simulation::new(pushed, seed);
        // Calls fail in any way until `reachable_from`, and discovery is down for the last part of that time; from then
        // on it can be reached, and a call that it takes is answered within 1.5 s.
        let reachable_from = (3000 + numbers.below(20_000)) * MS;
        let down_from = reachable_from.saturating_sub(numbers.below(12_000) * MS);
        let answer_after = numbers.below(1500) * MS;
        let mut outcomes = RandomNumbers(seed + 1000);
        // At its return it may be overloaded: the first call is not answered, others take long.
        let mut overloaded = numbers.below(2) == 0;
        let mut choose_outcome = |now: u64, _| match now {
            now if now >= reachable_from && std::mem::take(&mut overloaded) => CallOutcome::Unanswered,
            now if now >= reachable_from => CallOutcome::Healthy(answer_after),
            now if now >= down_from => CallOutcome::Refused(0),
            _ => CallOutcome::random(&mut outcomes),
        };
        let changes: Vec<u64> = (0..4).map(|_| numbers.below(reachable_from / MS + 3000) * MS).collect();
        let mut changed_at: BTreeMap<u64, u64> = BTreeMap::new();
        while simulation.now < reachable_from + 12_000 * MS {
            if changes.contains(&simulation.now) {
                simulation.version += 1;
                changed_at.insert(simulation.version, simulation.now);
            }
            // Watches that are open when discovery goes down are closed.
            if simulation.now == down_from {
                for call in simulation.calls.values_mut() {
                    call.outcome = CallOutcome::Closed(0, 0);
                }
            }
            simulation.step(&mut choose_outcome);
        }
        for (version, at) in changed_at {
            let from = at.max(reachable_from);
            let Some(acted_on) = simulation.acted_on.get(&version) else {
                panic!("seed {seed}: version {version} never acted on");
            };
            let latency = acted_on.saturating_sub(from);
            assert!(latency <= CHANGE_DEADLINE, "seed {seed}, pushed {pushed}: {latency} after {from}");
        }
        simulation.assert_call_rate();
    }
}

#[test]
fn a_change_is_acted_on_in_time_after_a_watch_falls_silent_and_the_next_call_is_not_answered() {
    for (seed, unanswered) in (0..200).map(|seed| (seed, seed % 3 != 0)) {
        let pushed = seed % 2 == 0;
        let mut simulation = Simulation::new(pushed, seed);
        let mut calls = 0;
        // The first watch falls silent with a line; the call after it may not be answered, the second after it is.
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
        let silent_from = first_call(&simulation).begun + 2000 * MS;
        while first_call(&simulation).last_line.is_none_or(|last_line| last_line < silent_from) {
            simulation.step(&mut choose_outcome);
        }
        // The change comes right after the last keep-alive.
        let changed_at = simulation.now;
        simulation.version += 1;
        let version = simulation.version;
        while simulation.now < changed_at + CHANGE_DEADLINE {
            simulation.step(&mut choose_outcome);
        }
        let acted_on = simulation.acted_on.get(&version);
        assert!(acted_on.is_some(), "seed {seed}, pushed {pushed}: not in time, {:?}", simulation.calls);
        simulation.assert_call_rate();
    }
}

/// A discovery that answers calls one after the other, each in the same time, and rejects those that it could not
/// answer within 2 s.
struct OverloadedDiscovery {
    time_per_call: u64,
    free_at: u64,
    served: u64,
}

impl OverloadedDiscovery {
    fn outcome(&mut self, now: u64) -> CallOutcome {
        let done = self.free_at.max(now) + self.time_per_call;
        if done > now + 2000 * MS {
            return CallOutcome::Refused(MS);
        }
        self.free_at = done;
        self.served += 1;
        CallOutcome::Healthy(done - now)
    }
}

#[test]
fn a_fleet_that_starts_at_once_gets_the_list_in_the_time_of_one_call_each() {
    // At 180 ms a call thirty calls take 5.4 s.
    let fleet_size = 30;
    let time_per_call = 180 * MS;
    for (seed, pushed) in (0..20).map(|seed| (seed, seed % 2 == 0)) {
        let mut fleet: Vec<Simulation> =
            (0..fleet_size).map(|node| Simulation::in_fleet(pushed, seed * 100 + node, fleet_size)).collect();
        let mut discovery = OverloadedDiscovery { time_per_call, free_at: 0, served: 0 };
        let has_list = |simulation: &Simulation| simulation.acted_on.contains_key(&1);
        while fleet.iter().any(|simulation| !has_list(simulation)) && fleet[0].now < 30_000 * MS {
            for simulation in &mut fleet {
                simulation.step(&mut |now, _| discovery.outcome(now));
            }
        }
        let took = fleet[0].now;
        assert!(
            discovery.served <= fleet_size + 1,
            "seed {seed}, pushed {pushed}: {} calls for {fleet_size}",
            discovery.served
        );
        // One more backoff of the decision core, where at the end few front nodes still poll.
        assert!(took <= fleet_size * time_per_call + 2500 * MS, "seed {seed}, pushed {pushed}: {took}");
        fleet.iter().for_each(Simulation::assert_call_rate);
    }
}

#[test]
fn polls_that_come_faster_than_answers_cancel_no_call_that_would_be_answered() {
    let mut watches = WatchSupervisor::new(false, 0, 0);
    let timeouts =
        WatchTimeouts { answer_timeout: Duration::from_secs(3), retry_delay: Duration::from_millis(500) };
    let mut opened = Vec::new();
    for poll in 0..20 {
        for action in watches.request_watch(Duration::from_millis(100 * poll), timeouts) {
            match action {
                WatchAction::Open { watch_id, .. } => opened.push(watch_id),
                other => panic!("{other:?}"),
            }
        }
    }
    assert_eq!(opened, [1, 2], "the first goes on, one is opened beside it, and no more");
    let update = ListUpdate { version: 5, complete: true, entries: Vec::new() };
    let actions = watches.on_event(1, WatchEvent::Update(update.clone()));
    assert_eq!(actions, [WatchAction::Close(2), WatchAction::Deliver(update)]);
    let closed_at = Duration::from_secs(2);
    assert_eq!(
        watches.on_watch_ended(closed_at, 2, timeouts),
        [],
        "the end of a closed watch is not reported"
    );
    assert_eq!(watches.on_watch_ended(closed_at, 1, timeouts), [WatchAction::ReportLost]);
}

#[test]
fn a_new_address_is_retried_until_it_answers_while_the_old_watch_is_healthy() {
    for (seed, pushed) in [(1, false), (2, true), (3, false), (4, true)] {
        let mut simulation = Simulation::new(pushed, seed);
        let up_from = 9000 * MS;
        // Address 1 is down until then; the watch on address 0 stays healthy.
        let mut choose_outcome = |now, address| match address {
            1 if now < up_from => CallOutcome::Refused(0),
            _ => CallOutcome::Healthy(10 * MS),
        };
        while simulation.now < 4000 * MS {
            simulation.step(&mut choose_outcome);
        }
        simulation.move_discovery(1, &mut choose_outcome);
        while simulation.now < up_from + CHANGE_DEADLINE {
            if simulation.now.is_multiple_of(700 * MS) {
                simulation.version += 1; // changes at the old address keep the decision core from polling
            }
            simulation.step(&mut choose_outcome);
        }
        let watched: Vec<u8> = simulation.calls.values().map(|call| call.address).collect();
        assert_eq!(watched, [1], "seed {seed}, pushed {pushed}");
        simulation.assert_call_rate();
    }
}

#[test]
fn a_change_is_acted_on_in_time_where_the_old_watch_falls_silent_and_the_new_one_fails() {
    for (seed, pushed) in [(5, false), (6, true)] {
        let mut simulation = Simulation::new(pushed, seed);
        let mut calls = 0;
        let mut choose_outcome = |_, address| {
            calls += usize::from(address == 1);
            match (address, calls) {
                (0, _) => CallOutcome::FallsSilent(10 * MS, 4000 * MS),
                (_, 1 | 2) => CallOutcome::Refused(1400 * MS),
                _ => CallOutcome::Healthy(10 * MS),
            }
        };
        while simulation.now < 3900 * MS {
            simulation.step(&mut choose_outcome);
        }
        simulation.move_discovery(1, &mut choose_outcome);
        let changed_at = simulation.now;
        simulation.version += 1;
        let version = simulation.version;
        while simulation.now < changed_at + CHANGE_DEADLINE {
            simulation.step(&mut choose_outcome);
        }
        assert!(simulation.acted_on.contains_key(&version), "pushed {pushed}");
    }
}
