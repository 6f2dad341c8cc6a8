//! Execution of the decision core's actions: attempts, cancellations, answers, timers and log lines.

use super::attempts::InFlightAttempt;
use super::clock_micros;
use super::interface::{Command, Reply};
use super::query_table::QueryStep;
use super::timers::Timer;
use super::Host;
use pinetrestle::interface::{Action, Id, Micros, Outcome, ReplicaId};
use pinetrestle_protocol::connection::OutgoingPart;
use pinetrestle_protocol::frames::part_id;
use pinetrestle_recorder::query_key;
use std::collections::HashMap;

/// The fields of an [`Action::Attempt`].
#[derive(Clone, Copy, Debug)]
struct AttemptRequest {
    part: Id,
    replica: ReplicaId,
    /// Timeout of the attempt; 0 stands for the time until the deadline of the query.
    timeout: Micros,
    /// If set, the attempt must be dropped unless it can be sent within this time.
    send_within: Option<Micros>,
}

/// A new attempt of a part of an open query.
struct PreparedAttempt {
    /// Number of the attempt among those of its part, from 0.
    number: u32,
    /// Timeout of the attempt, which does not exceed the time until the deadline of the query.
    timeout: Micros,
    /// The part to send; `None` if the attempt must not be sent.
    outgoing: Option<OutgoingPart>,
}

/// For each replica, the index in `Host::commands` of the call to which further parts are added.
type OpenCalls = HashMap<ReplicaId, usize>;

impl Host {
    /// Executes the actions that resulted from one batch, in order.
    pub(super) fn execute_actions(&mut self, now: Micros, actions: Vec<Action>) {
        let mut open_calls = OpenCalls::new();
        for action in actions {
            self.execute_action(now, action, &mut open_calls);
        }
    }

    fn execute_action(&mut self, now: Micros, action: Action, open_calls: &mut OpenCalls) {
        match action {
            Action::Attempt { part, replica, timeout, send_within } => {
                let request = AttemptRequest { part, replica, timeout, send_within };
                if let Some(outgoing) = self.start_attempt(now, request) {
                    self.add_to_call(replica, outgoing, open_calls);
                }
            }
            Action::Cancel { part, attempt } => {
                if let Some(attempt_id) = self.attempts.id_of(part, attempt) {
                    self.end_attempt(now, attempt_id, Outcome::Cancelled);
                    self.commands.push(Command::Abandon(attempt_id));
                }
            }
            Action::Answer { query, complete } => self.finish_step(query, complete),
            Action::Reject { query, retry_after } => {
                let retry_after = retry_after.map(|wait| wait.0);
                let reply = Reply::Rejected { retry_after };
                self.finish_query(query, reply, |queries| queries.rejected.increment());
            }
            Action::Fail { query } => {
                self.finish_query(query, Reply::Failed, |queries| queries.failed.increment());
            }
            Action::SetTimer(delay) => {
                self.timers.set(now + delay.max(Micros(0)), Timer::Core);
            }
            Action::WatchEndpointList => self.commands.push(Command::WatchEndpoints),
            Action::Log(text) => self.commands.push(Command::Log(text)),
        }
    }

    /// Adds a part to the open call to a replica, or starts a new call if there is none or it is full. The
    /// parts that a batch sends to one replica thus share calls, up to the deployment's maximum number of
    /// parts in a call.
    fn add_to_call(&mut self, replica: ReplicaId, outgoing: OutgoingPart, open_calls: &mut OpenCalls) {
        let max_parts = self.deployment.settings.limits.max_batch.max(1) as usize;
        let open_call = open_calls.get(&replica).and_then(|index| self.commands.get_mut(*index));
        match open_call {
            Some(Command::Send { parts, .. }) if parts.len() < max_parts => parts.push(outgoing),
            _ => {
                open_calls.insert(replica, self.commands.len());
                self.commands.push(Command::Send { replica, parts: vec![outgoing] });
            }
        }
    }

    /// Adds an attempt to the table of attempts in flight and returns the part to send. An attempt that must
    /// not be sent ends immediately, which is reported to the decision core in the next batch, and `None` is
    /// returned.
    fn start_attempt(&mut self, now: Micros, request: AttemptRequest) -> Option<OutgoingPart> {
        self.counters.attempts.sent.increment();
        self.counters.attempts.in_flight.increment();
        let prepared = self.prepare_attempt(now, request);
        let attempt_id = self.attempts.insert(InFlightAttempt {
            part: request.part,
            number: prepared.as_ref().map_or(0, |prepared| prepared.number),
            replica: request.replica,
            sent_at: now,
            timer: None,
        });
        self.endpoints.attempt_started(request.replica);
        let Some(PreparedAttempt { timeout, outgoing: Some(outgoing), .. }) = prepared else {
            self.end_attempt(now, attempt_id, Outcome::NotSent);
            return None;
        };
        if timeout <= Micros(0) {
            self.end_attempt(now, attempt_id, Outcome::Timeout);
            return None;
        }
        let timer = self.timers.set(now + timeout, Timer::AttemptTimeout(attempt_id));
        self.attempts.set_timer(attempt_id, timer);
        Some(OutgoingPart { attempt_id, ..outgoing })
    }

    /// Updates the part and the counters for a new attempt and builds the part to send. Returns `None` if the
    /// query has ended.
    fn prepare_attempt(&mut self, now: Micros, request: AttemptRequest) -> Option<PreparedAttempt> {
        let settings = &self.deployment.settings;
        let (query, part) = self.queries.query_and_part_mut(request.part)?;
        let idempotency = settings.classes.get(query.class).map(|class| class.idempotency);
        let retry_forbidden = idempotency.is_some_and(|idempotency| part.is_retry_forbidden(idempotency));
        if retry_forbidden {
            self.commands.push(Command::ReportForbiddenRetry(query.wire_id.clone()));
        }
        let number = part.attempt_started(&self.counters);

        let time_left = query.deadline - now;
        let timeout = if request.timeout == Micros(0) { time_left } else { request.timeout.min(time_left) };
        let (second_step_name, not_before) = match part.step {
            QueryStep::First => (None, now),
            QueryStep::Second => {
                (Some(self.body_keys.second_step.as_str()), query.second_step_not_before(now))
            }
        };
        let may_send = number < settings.limits.max_attempts && time_left > Micros(0) && !retry_forbidden;
        let outgoing = may_send.then(|| OutgoingPart {
            // Set by `start_attempt` once the table has assigned the id.
            attempt_id: 0,
            query_key: query_key(&query.wire_id),
            id: part_id(&query.wire_id, part.shard, second_step_name),
            shard: part.shard,
            attributes: format!("{}{}", query.idempotency_attributes, query.second_step_attributes),
            text: query.text.clone(),
            deadline_us: clock_micros(now + timeout),
            start_before_us: request.send_within.map(|within| clock_micros(now + within)),
            not_before_us: clock_micros(not_before),
        });
        Some(PreparedAttempt { number, timeout, outgoing })
    }
}
