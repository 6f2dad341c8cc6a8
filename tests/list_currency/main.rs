//! What a front node sends on an endpoint list that may be out of date.
//!
//! Rule: an index server gets no new attempt later than `drain_grace` after the front node was notified that
//! it drains. Where discovery pushes the list, a change counts as notified once discovery has it, whether or
//! not a watch is open, and from the first moment of a new front node.

#[path = "../common/mod.rs"]
mod common;
mod simulation;

use common::*;
use pinetrestle::interface::*;
use pinetrestle::FrontNode;
use simulation::Simulation;

/// Grace of the tests: the shortest that operators use.
const GRACE: Micros = Micros(250_000);
/// Time by which the last attempt on an unconfirmed list is decided on, counted from the last moment at which
/// the list was current: the grace less 100 ms.
const USABLE: Micros = Micros(150_000);
/// Interval of the timer events.
const STEP: Micros = Micros(5_000);
/// Longest time for which a front node that has been ready holds its sends.
const MAX_HOLD: Micros = Micros(2_500_000);

/// Returns settings of a deployment whose list is watched.
fn watched_settings() -> Settings {
    let mut settings = base_settings();
    settings.list_delivery = ListDelivery::Watched { max_backoff: ms(500) };
    settings.rules.drain_grace = GRACE;
    settings
}

fn stored_list() -> Event {
    let replicas = (0..8).map(|n| list_entry(n, Lifecycle::InService, None)).collect();
    Event::EndpointList { replicas, cached: true }
}

/// Returns a front node that has just started with a stored list.
fn starting(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings, 0);
    let actions = harness.deliver(vec![stored_list()]);
    assert!(actions.contains(&Action::WatchEndpointList), "a watch is requested at once");
    harness
}

/// Returns a front node whose watch has been open for a minute.
fn with_open_watch(settings: Settings) -> Harness {
    let mut harness = starting(settings);
    harness.deliver(vec![complete_list(8)]);
    harness.learn_latencies(10);
    harness.wait(ms(60_000));
    harness
}

/// Sends a query and returns whether parts of it are sent at once. If so they are answered, otherwise the
/// client disconnects.
fn is_sending(harness: &mut Harness) -> bool {
    let (id, actions) = harness.query(0, &[0, 2]);
    harness.end_attempts(Outcome::Ok, |_| true);
    harness.deliver(vec![Event::ClientDisconnected(id)]);
    !sent_attempts(&actions).is_empty()
}

/// Advances the clock in steps until the front node sends a new query, for `limit` at most. Returns the time
/// taken, or `None`.
fn time_until_sending(harness: &mut Harness, limit: Micros) -> Option<Micros> {
    let from = harness.now;
    while harness.now - from <= limit {
        if is_sending(harness) {
            return Some(harness.now - from);
        }
        harness.wait(STEP);
    }
    None
}

/// Advances the clock in steps until the front node holds its sends, for `limit` at most. Returns the time
/// taken, or `None`.
fn time_until_holding(harness: &mut Harness, limit: Micros) -> Option<Micros> {
    let from = harness.now;
    while harness.now - from <= limit {
        if !is_sending(harness) {
            return Some(harness.now - from);
        }
        harness.wait(STEP);
    }
    None
}

/// Advances the clock until a watch is requested, for five seconds at most.
fn wait_for_request(harness: &mut Harness) {
    let requested = (0..1000).any(|_| harness.wait(STEP).contains(&Action::WatchEndpointList));
    assert!(requested, "no watch is requested");
}

#[test]
fn sends_are_held_from_the_end_of_the_grace_until_the_list_has_arrived() {
    let mut harness = with_open_watch(watched_settings());
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    assert_eq!(time_until_holding(&mut harness, ms(1000)), Some(USABLE));
    // The held query is sent as soon as the list has arrived, and not to the draining replica.
    let mut list: Vec<ListedReplica> = (0..8).map(|n| list_entry(n, Lifecycle::InService, None)).collect();
    list[0].lifecycle = Lifecycle::Draining;
    let (_, held) = harness.query(0, &[0, 3]);
    assert!(sent_attempts(&held).is_empty());
    harness.wait(ms(200));
    let actions = harness.deliver(vec![Event::EndpointList { replicas: list, cached: false }]);
    let sent = sent_attempts(&actions);
    assert!(!sent.is_empty() && sent.iter().all(|(_, replica)| *replica != 0), "{sent:?}");
    assert_eq!(time_until_holding(&mut harness, ms(10_000)), None);
}

#[test]
fn retries_are_held_as_well_and_the_query_gets_its_answer() {
    let mut harness = with_open_watch(watched_settings());
    let (query, actions) = harness.query(0, &[0]);
    assert_eq!(sent_attempts(&actions).len(), 1);
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    harness.wait(USABLE);
    let actions = harness.end_attempts(Outcome::Rejected, |_| true);
    assert!(sent_attempts(&actions).is_empty(), "no retry on a list that may be out of date");
    harness.wait(ms(500));
    assert_eq!(sent_attempts(&harness.deliver(vec![complete_list(8)])).len(), 1);
    let actions = harness.end_attempts(Outcome::Ok, |_| true);
    assert_eq!(final_answers(&actions), [Action::Answer { query, complete: true }]);
}

#[test]
fn an_attempt_on_an_unconfirmed_list_must_be_written_before_its_use_ends() {
    let mut harness = with_open_watch(watched_settings());
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    harness.wait(ms(50));
    let (_, actions) = harness.query(0, &[0, 1, 2]);
    let limits: Vec<Option<Micros>> = actions
        .iter()
        .filter_map(|a| if let Action::Attempt { send_within, .. } = a { Some(*send_within) } else { None })
        .collect();
    assert_eq!(limits, vec![Some(USABLE - ms(50)); 3]);
}

#[test]
fn a_query_that_is_held_until_its_end_is_rejected_without_any_attempt() {
    let mut harness = with_open_watch(watched_settings());
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    harness.wait(USABLE);
    let (id, events) = harness.query_events(0, &[0, 1], ms(800));
    let mut actions = harness.deliver(events);
    for _ in 0..200 {
        actions.extend(harness.wait(STEP));
    }
    assert!(sent_attempts(&actions).is_empty());
    assert!(matches!(final_answers(&actions)[..], [Action::Reject { query, .. }] if query == id));
}

#[test]
fn a_hanging_discovery_stops_sends_once_and_for_a_limited_time() {
    let mut harness = with_open_watch(watched_settings());
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    harness.wait(USABLE);
    assert_eq!(time_until_sending(&mut harness, ms(10_000)), Some(MAX_HOLD));
    // Whatever the next requests meet, the front node serves on until a list arrives.
    for failure in [WatchFailure::Unanswered, WatchFailure::Refused, WatchFailure::Unanswered] {
        harness.deliver(vec![Event::WatchFailed(failure)]);
        assert_eq!(time_until_holding(&mut harness, ms(5000)), None);
    }
    // A list makes the next loss count again.
    harness.deliver(vec![complete_list(8)]);
    harness.wait(ms(5000));
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    assert_eq!(time_until_holding(&mut harness, ms(1000)), Some(USABLE));
}

#[test]
fn a_front_node_serves_by_the_known_list_while_discovery_is_down() {
    let mut settings = watched_settings();
    settings.rules.drain_grace = ms(1000);
    let mut harness = with_open_watch(settings);
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    for _ in 0..60 {
        wait_for_request(&mut harness);
        assert!(is_sending(&mut harness));
        harness.deliver(vec![Event::WatchFailed(WatchFailure::Refused)]);
        assert!(is_sending(&mut harness));
    }
    // With the shortest grace, queries wait for the next request to fail, and no longer.
    let mut harness = with_open_watch(watched_settings());
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    for _ in 0..60 {
        wait_for_request(&mut harness);
        harness.deliver(vec![Event::WatchFailed(WatchFailure::Refused)]);
        assert!(is_sending(&mut harness));
    }
}

#[test]
fn a_request_that_fails_after_a_wait_does_not_show_that_discovery_is_down() {
    let mut harness = with_open_watch(watched_settings());
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    wait_for_request(&mut harness);
    harness.wait(ms(2000));
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Refused)]);
    assert!(!is_sending(&mut harness), "the discovery service was overloaded");
}

#[test]
fn a_new_front_node_is_ready_once_its_list_is_confirmed_or_discovery_is_down() {
    for answer in [complete_list(8), Event::WatchFailed(WatchFailure::Refused)] {
        let mut harness = starting(watched_settings());
        assert!(!harness.node.is_ready());
        harness.wait(ms(10));
        harness.deliver(vec![answer]);
        assert!(harness.node.is_ready());
        assert!(is_sending(&mut harness));
    }
}

#[test]
fn a_new_front_node_is_ready_within_ten_seconds_if_discovery_hangs() {
    let mut harness = starting(watched_settings());
    let started_at = harness.now;
    harness.wait(USABLE);
    while !harness.node.is_ready() {
        assert!(!is_sending(&mut harness), "not before it is ready");
        harness.wait(STEP);
    }
    assert!(harness.now - started_at <= ms(5000), "{:?}", harness.now - started_at);
    assert_eq!(time_until_holding(&mut harness, ms(20_000)), None);
}

#[test]
fn a_silent_watch_allows_sends_until_six_seconds_and_the_grace_after_its_last_line() {
    let mut harness = with_open_watch(watched_settings());
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Silent(ms(2500)))]);
    assert_eq!(time_until_holding(&mut harness, ms(10_000)), Some(ms(3500) + USABLE));
    harness.deliver(vec![complete_list(8)]);
    assert!(is_sending(&mut harness));
}

#[test]
fn a_front_node_serves_by_the_known_list_while_discovery_is_unreachable() {
    let mut harness = with_open_watch(watched_settings());
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    harness.wait(ms(1250));
    assert!(!is_sending(&mut harness));
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Unreachable)]);
    assert_eq!(time_until_holding(&mut harness, ms(10_000)), None);
    let mut harness = starting(watched_settings());
    harness.wait(ms(1250));
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Unreachable)]);
    assert!(harness.node.is_ready() && is_sending(&mut harness));
}

#[test]
fn the_list_of_a_new_discovery_service_counts_from_four_seconds_after_the_change() {
    let mut harness = with_open_watch(watched_settings());
    harness.deliver(vec![Event::DiscoveryChanging]);
    harness.wait(ms(3000));
    // The watch on the previous service still delivers.
    harness.deliver(vec![Event::EndpointListChanged(vec![list_entry(3, Lifecycle::Draining, None)])]);
    assert_eq!(time_until_holding(&mut harness, ms(10_000)), Some(ms(1000) + USABLE));
    harness.deliver(vec![complete_list(8), Event::DiscoveryChanged]);
    assert_eq!(time_until_holding(&mut harness, ms(10_000)), None);
}

#[test]
fn a_new_discovery_service_that_is_down_does_not_stop_sends() {
    let mut settings = watched_settings();
    settings.rules.drain_grace = ms(1000);
    let mut harness = with_open_watch(settings);
    harness.deliver(vec![Event::DiscoveryChanging]);
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Refused)]);
    for _ in 0..60 {
        wait_for_request(&mut harness);
        harness.deliver(vec![Event::WatchFailed(WatchFailure::Refused)]);
        assert!(is_sending(&mut harness));
    }
}

#[test]
fn the_end_of_the_previous_watch_does_not_repeat_the_request_to_the_new_service() {
    let mut harness = with_open_watch(watched_settings());
    harness.deliver(vec![Event::DiscoveryChanging]);
    harness.wait(ms(100));
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    assert_eq!(time_until_holding(&mut harness, ms(1000)), Some(USABLE), "no watch is open");
    let requests = (0..300).filter(|_| harness.wait(STEP).contains(&Action::WatchEndpointList)).count();
    assert_eq!(requests, 0, "the request to the new service is outstanding");
}

#[test]
fn a_polled_list_is_usable_for_the_time_in_which_changes_may_be_unknown() {
    let mut settings = watched_settings();
    settings.list_delivery = ListDelivery::Polled;
    let mut harness = Harness::new(settings, 8);
    harness.wait(ms(60_000));
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
    assert_eq!(time_until_holding(&mut harness, ms(10_000)), Some(ms(6000) + USABLE));
    assert_eq!(time_until_sending(&mut harness, ms(10_000)), Some(MAX_HOLD));
    // The six seconds count from the last line of a watch that fell silent.
    harness.deliver(vec![complete_list(8)]);
    harness.deliver(vec![Event::WatchFailed(WatchFailure::Silent(ms(2500)))]);
    assert_eq!(time_until_holding(&mut harness, ms(10_000)), Some(ms(3500) + USABLE));
}

#[test]
fn a_fleet_that_loses_all_watches_at_once_spreads_its_requests() {
    let mut settings = watched_settings();
    settings.fleet_size = 300;
    let mut delays: Vec<i64> = (0..300)
        .map(|seed| {
            let mut harness = Harness::with_seed(settings.clone(), 0, seed);
            harness.deliver(vec![stored_list()]);
            harness.deliver(vec![complete_list(8)]);
            harness.wait(ms(60_000));
            let lost_at = harness.now;
            harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
            while !harness.wait(ms(1)).contains(&Action::WatchEndpointList) {}
            (harness.now - lost_at).0 / 1000
        })
        .collect();
    delays.sort_unstable();
    assert!(delays[299] <= 501, "{delays:?}");
    // At most a tenth of the fleet within any twentieth of the time.
    let crowded = delays.windows(30).any(|window| window[29] - window[0] < 25);
    assert!(!crowded, "{delays:?}");
}

#[test]
fn a_small_fleet_requests_a_lost_watch_well_within_the_grace() {
    for seed in 0..50 {
        let mut harness = Harness::with_seed(watched_settings(), 0, seed);
        harness.deliver(vec![stored_list()]);
        harness.deliver(vec![complete_list(8)]);
        harness.wait(ms(60_000));
        harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
        let steps = (0..100).take_while(|_| !harness.wait(ms(1)).contains(&Action::WatchEndpointList));
        assert!(steps.count() <= 20, "seed {seed}");
    }
}

#[test]
fn a_discovery_that_ends_each_watch_meets_a_backoff() {
    for lifetime in [Micros(0), ms(50), ms(300), ms(600)] {
        let mut harness = with_open_watch(watched_settings());
        harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
        let from = harness.now;
        let mut requests = 0;
        while harness.now - from < ms(20_000) {
            if !harness.wait(ms(1)).contains(&Action::WatchEndpointList) {
                continue;
            }
            requests += 1;
            harness.deliver(vec![complete_list(8)]);
            harness.wait(lifetime);
            harness.deliver(vec![Event::WatchFailed(WatchFailure::Ended)]);
        }
        assert!((20..=46).contains(&requests), "{requests} in 20 s, each watch lasts {lifetime:?}");
    }
}

#[test]
fn a_core_that_is_restarted_requests_a_watch_and_waits_for_its_list() {
    let mut harness = with_open_watch(watched_settings());
    harness.node = FrontNode::new(watched_settings(), 8, harness.now);
    harness.in_flight.clear();
    assert!(harness.deliver(vec![stored_list()]).contains(&Action::WatchEndpointList));
    harness.wait(USABLE);
    assert!(!is_sending(&mut harness));
    // The watch that was open before ends: the request goes on.
    harness.deliver(vec![complete_list(8)]);
    assert!(is_sending(&mut harness));
}

#[test]
fn no_attempt_is_sent_later_than_the_grace_after_a_drain_counts_as_notified() {
    let (mut drains, mut attempts) = (0, 0);
    for seed in 0..120 {
        let grace = if seed % 3 == 0 { ms(1000) } else { GRACE };
        let mut settings = watched_settings();
        settings.rules.drain_grace = grace;
        let mut simulation = Simulation::new(settings, seed);
        simulation.run(ms(60_000));
        drains += simulation.drains;
        attempts += simulation.attempts;
        assert!(simulation.late.is_none(), "seed {seed}: {:?}", simulation.late);
    }
    assert!(drains > 2000 && attempts > 200_000, "{drains} drains, {attempts} attempts");
}
