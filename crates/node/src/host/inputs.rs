//! Inputs of the host other than queries: attempt outcomes, client disconnects, endpoint list updates and the
//! graceful shutdown.

use super::query_table::PartAnswer;
use super::timers::Timer;
use super::{Command, Host};
use crate::counters::{AttemptCounters, Counter};
use pinetrestle::interface::{Event, Id, Micros, Outcome, WatchFailure};
use pinetrestle_protocol::connection::{AttemptAnswer, AttemptId};
use pinetrestle_protocol::endpoint_list::ListUpdate;
use pinetrestle_protocol::frames::PartOutcome;
use pinetrestle_protocol::watch_supervisor::WatchEnd;

impl Host {
    /// Handles the disconnect of a query's client. Does nothing if the query has ended.
    pub fn client_disconnected(&mut self, query: Id) {
        if let Some(removed) = self.remove_query(query) {
            self.update_query_counters(removed.class, |queries| queries.client_disconnected.increment());
            self.events.push(Event::ClientDisconnected(query));
        }
    }

    /// Handles the answer of an index server to an attempt.
    pub fn attempt_answered(&mut self, now: Micros, answer: AttemptAnswer) {
        let outcome = match answer.outcome {
            PartOutcome::Served => Outcome::Ok,
            PartOutcome::Error => Outcome::Error,
            PartOutcome::Rejected => Outcome::Rejected,
        };
        if outcome == Outcome::Ok {
            let part = self.attempts.part_of(answer.attempt_id);
            if let Some(part) = part.and_then(|id| self.queries.part_mut(id)) {
                // Several attempts of a part may be answered; the first answer is used.
                part.answer.get_or_insert(PartAnswer { score: answer.score, value: answer.value });
            }
        }
        self.end_attempt(now, answer.attempt_id, outcome);
    }

    /// Handles the loss of the connection that carried an attempt. `written` states whether the call had been
    /// completely written, so that the attempt may have run.
    pub fn connection_lost(&mut self, now: Micros, attempt_id: AttemptId, written: bool) {
        let outcome = if written { Outcome::Reset } else { Outcome::ConnectFailed };
        self.end_attempt(now, attempt_id, outcome);
    }

    /// Handles the withdrawal of an attempt before the write of its call started.
    pub fn attempt_not_sent(&mut self, now: Micros, attempt_id: AttemptId) {
        self.end_attempt(now, attempt_id, Outcome::NotSent);
    }

    /// Applies an endpoint list or a watch event. `cached` states whether it was stored before this process
    /// started, as opposed to received from discovery since then.
    pub fn endpoint_update(&mut self, now: Micros, update: &ListUpdate, cached: bool) {
        let changes = self.endpoints.apply(now, update, cached);
        self.commands.extend(changes.draining.into_iter().map(Command::DrainEndpoint));
        let replicas = changes.replicas;
        self.events.push(if update.complete {
            Event::EndpointList { replicas, cached }
        } else {
            Event::EndpointListChanged(replicas)
        });
    }

    /// Handles the loss of the watch on the endpoint list.
    pub fn endpoint_watch_lost(&mut self, end: WatchEnd) {
        self.endpoints.watch_lost();
        self.events.push(Event::WatchFailed(match end {
            WatchEnd::Silent(duration) => WatchFailure::Silent(Micros(duration.as_micros() as i64)),
            WatchEnd::ByPeer | WatchEnd::Unreachable | WatchEnd::LocalFailure => WatchFailure::Ended,
        }));
    }

    /// Handles the failure of a request for a watch on the endpoint list.
    pub fn endpoint_watch_request_failed(&mut self, end: WatchEnd) {
        self.endpoints.watch_lost();
        self.events.push(Event::WatchFailed(match end {
            WatchEnd::ByPeer => WatchFailure::Refused,
            WatchEnd::Unreachable => WatchFailure::Unreachable,
            WatchEnd::Silent(_) | WatchEnd::LocalFailure => WatchFailure::Unanswered,
        }));
    }

    /// Handles a change of the configured discovery service, at which a watch is being opened.
    pub fn discovery_changing(&mut self) {
        self.events.push(Event::DiscoveryChanging);
    }

    /// Handles the arrival of the new discovery service's list, after the list itself.
    pub fn discovery_changed(&mut self) {
        self.events.push(Event::DiscoveryChanged);
    }

    /// Begins the graceful shutdown: limits the deadlines of all queries, open and future ones, to
    /// `deadline`.
    pub fn set_shutdown_deadline(&mut self, deadline: Micros) {
        self.shutdown_deadline = Some(deadline);
        for (id, query) in self.queries.queries_mut().filter(|(_, query)| query.deadline > deadline) {
            query.deadline = deadline;
            self.timers.cancel(query.timer.take());
            query.timer = Some(self.timers.set(deadline, Timer::QueryDeadline(id)));
        }
    }

    /// Ends an attempt and reports its outcome to the decision core in the next batch. Returns `false` if the
    /// attempt has already ended.
    pub(super) fn end_attempt(&mut self, now: Micros, attempt_id: AttemptId, outcome: Outcome) -> bool {
        let Some(attempt) = self.attempts.remove(attempt_id) else { return false };
        self.timers.cancel(attempt.timer);
        if let Some(part) = self.queries.part_mut(attempt.part) {
            part.attempt_ended(outcome);
        }
        self.endpoints.attempt_ended(attempt.replica);
        let counters = &self.counters.attempts;
        counters.in_flight.decrement();
        outcome_counter(counters, outcome).increment();
        self.events.push(Event::AttemptEnded {
            part: attempt.part,
            attempt: attempt.number,
            outcome,
            elapsed: now - attempt.sent_at,
        });
        true
    }
}

/// Returns the counter of attempts that ended with this outcome.
fn outcome_counter(counters: &AttemptCounters, outcome: Outcome) -> &Counter {
    match outcome {
        Outcome::Ok => &counters.ok,
        Outcome::Error => &counters.error,
        Outcome::Rejected => &counters.rejected,
        Outcome::Timeout => &counters.timeout,
        Outcome::ConnectFailed => &counters.connect_failed,
        Outcome::Reset => &counters.reset,
        Outcome::Cancelled => &counters.cancelled,
        Outcome::NotSent => &counters.never_sent,
    }
}
