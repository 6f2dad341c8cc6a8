//! Internal state of the host: wraparound of ids, restart after a panic of the core, and attempts in flight
//! whose query has ended.

use super::attempts::InFlightAttempt;
use super::interface::{Command, Reply};
use super::query_table::{OpenPart, QueryStep};
use super::{Deployment, Host};
use pinetrestle::interface::{Event, Id, Micros, Outcome};
use pinetrestle_protocol::connection::AttemptId;
use std::rc::Rc;

fn host() -> Host {
    let deployment = Deployment {
        settings: Default::default(),
        classes: Vec::new(),
        tenants: Vec::new(),
        transport: Default::default(),
    };
    Host::new(Rc::new(deployment), Rc::default(), 1, Micros(0))
}

/// Creates a part without attempts.
fn part_of(query: Id) -> OpenPart {
    OpenPart::new(query, 0, QueryStep::First)
}

/// Creates a part with one attempt, which is in flight.
fn attempted_part_of(host: &Host, query: Id) -> OpenPart {
    let mut part = part_of(query);
    assert_eq!(part.attempt_started(&host.counters), 0);
    part
}

fn insert_attempt(host: &mut Host, part: Id) -> AttemptId {
    let attempt = InFlightAttempt { part, number: 0, replica: 0, sent_at: Micros(0), timer: None };
    host.attempts.insert(attempt)
}

/// Adds a query with the id 7, whose only part has the id 8 and one attempt in flight. Returns the id of the
/// attempt.
fn insert_query(host: &mut Host) -> AttemptId {
    let part = attempted_part_of(host, 7);
    let mut query = host.queries.new_query("q".into(), "".into(), 0, Micros(1000));
    query.parts.push(8);
    host.queries.insert_part(8, part);
    host.queries.insert(7, query);
    insert_attempt(host, 8)
}

#[test]
fn after_a_wraparound_ids_in_use_are_skipped() {
    let mut host = host();
    host.queries.last_id = Id::MAX - 1;
    host.queries.insert_part(0, part_of(9));
    insert_attempt(&mut host, 1);
    assert_eq!([host.next_free_id(), host.next_free_id()], [Id::MAX, 2]);
}

#[test]
fn a_panicked_core_is_restarted_and_all_open_queries_fail() {
    let mut host = host();
    let attempt_id = insert_query(&mut host);
    host.restart_core(Micros(10));
    let commands = host.take_commands();
    assert!(commands.contains(&Command::Reply(7, Reply::Failed)));
    assert!(commands.contains(&Command::Abandon(attempt_id)));
    assert_eq!((host.queries.open_queries_and_parts(), host.attempts_in_flight()), (0, 0));
    assert!(host.has_pending_events(), "the endpoint list must be pending for the new core");
}

#[test]
fn an_attempt_in_flight_a_batch_after_its_query_ended_is_reported_once() {
    let mut host = host();
    let attempt_id = insert_query(&mut host);
    // The core does not know this query, so it does not cancel the attempt.
    host.client_disconnected(7);
    assert!(host.process_batch(Micros(5)).contains(&Command::ReportOrphanedAttempts(1)));
    assert_eq!(host.counters.node.orphaned_attempts.get(), 1);
    host.end_attempt(Micros(6), attempt_id, Outcome::Cancelled);
    host.events.push(Event::TimerFired);
    assert!(host.process_batch(Micros(7)).is_empty(), "the attempt must be reported only once");
}
