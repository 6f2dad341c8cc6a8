//! Executes the actions of the decision core: attempts, cancellations, answers and timers.

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

/// An attempt as the decision core orders it ([`Action::Attempt`]).
#[derive(Clone, Copy, Debug)]
struct AttemptOrder {
    part: Id,
    replica: ReplicaId,
    /// Its timeout; 0 for all the time that its query has left.
    timeout: Micros,
    /// Send within this time or not at all.
    send_within: Option<Micros>,
}

/// An attempt that was counted at its part, and what is to be sent for it.
struct PreparedAttempt {
    /// Its number among the attempts of its part, from 0.
    number: u32,
    /// Its timeout, no longer than the time that its query has left.
    timeout: Micros,
    /// The part to send; none if the attempt may not be sent.
    outgoing: Option<OutgoingPart>,
}

/// For each replica the place, among the commands, of the call that its next part joins.
type OpenCalls = HashMap<ReplicaId, usize>;

impl Host {
    /// Executes the actions of one batch in order.
    pub(super) fn execute_actions(&mut self, now: Micros, actions: Vec<Action>) {
        let mut open_calls = OpenCalls::new();
        for action in actions {
            self.execute_action(now, action, &mut open_calls);
        }
    }

    fn execute_action(&mut self, now: Micros, action: Action, open_calls: &mut OpenCalls) {
        match action {
            Action::Attempt { part, replica, timeout, send_within } => {
                let order = AttemptOrder { part, replica, timeout, send_within };
                if let Some(outgoing) = self.start_attempt(now, order) {
                    self.add_to_call(replica, outgoing, open_calls);
                }
            }
            Action::Cancel { part, attempt } => {
                if let Some(attempt_id) = self.attempts.id_of(part, attempt) {
                    self.end_attempt(now, attempt_id, Outcome::Cancelled);
                    self.commands.push(Command::Abandon(attempt_id));
                }
            }
            Action::Answer { query, complete } => self.answer_query(query, complete),
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

    /// Parts of one batch that go to one replica share a call, up to the deployment's limit of parts in a call.
    fn add_to_call(&mut self, replica: ReplicaId, outgoing: OutgoingPart, open_calls: &mut OpenCalls) {
        let max_batch = self.deployment.settings.limits.max_batch.max(1) as usize;
        let open_call = open_calls.get(&replica).and_then(|place| self.commands.get_mut(*place));
        match open_call {
            Some(Command::Send { parts, .. }) if parts.len() < max_batch => parts.push(outgoing),
            _ => {
                open_calls.insert(replica, self.commands.len());
                self.commands.push(Command::Send { replica, parts: vec![outgoing] });
            }
        }
    }

    /// Enters an attempt and returns what is to be sent for it. One that may not be sent ends at once: the decision
    /// core learns of that with the next batch.
    fn start_attempt(&mut self, now: Micros, order: AttemptOrder) -> Option<OutgoingPart> {
        self.counters.attempts.sent.increment();
        self.counters.attempts.in_flight.increment();
        let prepared = self.prepare_attempt(now, order);
        let attempt_id = self.attempts.insert(InFlightAttempt {
            part: order.part,
            number: prepared.as_ref().map_or(0, |prepared| prepared.number),
            replica: order.replica,
            sent_at: now,
            timer: None,
        });
        self.endpoints.attempt_started(order.replica);
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

    /// Counts an attempt at its part and composes what is to be sent; none if its query has ended.
    fn prepare_attempt(&mut self, now: Micros, order: AttemptOrder) -> Option<PreparedAttempt> {
        let settings = &self.deployment.settings;
        let (query, part) = self.queries.query_and_part_mut(order.part)?;
        let effect = settings.classes.get(query.class).map(|class| class.idempotency);
        let retry_forbidden = effect.is_some_and(|effect| part.is_retry_forbidden(effect));
        if retry_forbidden {
            self.commands.push(Command::ReportForbiddenRetry(query.wire_id.clone()));
        }
        let number = part.attempt_started(&self.counters);

        let time_left = query.deadline - now;
        let timeout = if order.timeout == Micros(0) { time_left } else { order.timeout.min(time_left) };
        let (second_step_name, not_before) = match part.step {
            QueryStep::First => (None, now),
            QueryStep::Second => {
                (Some(self.body_keys.second_step.as_str()), query.second_step_not_before(now))
            }
        };
        let may_send = number < settings.limits.max_attempts && time_left > Micros(0) && !retry_forbidden;
        let outgoing = may_send.then(|| OutgoingPart {
            // The id follows once the attempt is entered.
            attempt_id: 0,
            query_key: query_key(&query.wire_id),
            id: part_id(&query.wire_id, part.shard, second_step_name),
            shard: part.shard,
            attributes: format!("{}{}", query.idempotency_options, query.second_step_options),
            text: query.text.clone(),
            deadline_us: clock_micros(now + timeout),
            start_before_us: order.send_within.map(|within| clock_micros(now + within)),
            not_before_us: clock_micros(not_before),
        });
        Some(PreparedAttempt { number, timeout, outgoing })
    }
}
