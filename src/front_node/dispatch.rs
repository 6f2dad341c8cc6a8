//! Replica selection and sending of attempts: each part goes to the least loaded replica of its shard.
//! Overdue attempts are hedged, and a limited number of extra parts is sent.

use super::tuning::{COUNTER_HALF_LIFE, EPSILON, MAX_EXTRA_PART_SHARE, TIMEOUT_MULTIPLE};
use super::FrontNode;
use crate::interface::{Action, Micros, ReplicaId};
use crate::numeric::hash_to_unit;
use crate::state::{Attempt, AttemptId, BatchedCall, ClassStep, InFlightAttempt, Part, Query, Replica};

/// Why an attempt is sent. Reasons that come first in this enum are preferred.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
enum SendReason {
    /// The part has not been sent yet.
    FirstAttempt,
    /// All attempts of the part have failed.
    Retry,
    /// The part has attempts in flight, and all of these are overdue.
    Hedge,
}

/// A part that may be sent now, with the best replica for it. Ordered by `reason`, `load` and `tie_breaker`.
#[derive(Clone, Copy)]
struct Candidate {
    reason: SendReason,
    load: f64,
    tie_breaker: f64,
    /// Index of the part in [`Query::parts`].
    part_index: usize,
    replica: ReplicaId,
}

impl Candidate {
    fn is_better_than(&self, other: &Candidate) -> bool {
        (self.reason, self.load, self.tie_breaker) < (other.reason, other.load, other.tie_breaker)
    }
}

/// A replica that may take a part. Ordered by `tried`, `load` and `tie_breaker`.
#[derive(Clone, Copy)]
struct ReplicaChoice {
    replica: ReplicaId,
    /// Whether an earlier attempt of the part was sent to the replica.
    tried: bool,
    load: f64,
    tie_breaker: f64,
}

impl ReplicaChoice {
    fn is_better_than(&self, other: &ReplicaChoice) -> bool {
        (self.tried, self.load, self.tie_breaker) < (other.tried, other.load, other.tie_breaker)
    }
}

/// State of the current step of a query.
struct StepStatus {
    /// Total weight of the parts that are answered or have an attempt in flight that is not overdue.
    live_weight: f64,
    /// The part to send first, if any part may be sent.
    best: Option<Candidate>,
}

impl FrontNode {
    /// Sends the attempts that the current step of a query needs for a complete answer, at most `max_sends`.
    ///
    /// Parts that have not been sent yet come first, least loaded replica first. In a class that needs only n
    /// of its k parts, an overdue part is thus replaced by another part before it is hedged. Next come parts
    /// whose attempts have all failed, then hedged requests for overdue parts.
    ///
    /// In such a class, the query may send one extra part beyond what it needs, as long as the share of extra
    /// parts is small.
    pub(super) fn dispatch(&mut self, query: &mut Query, max_sends: usize) {
        let needed = self.complete_share(query);
        let mut extra_part_due = self.may_send_extra_part(query, needed);
        query.extra_part_decided = true;
        for _ in 0..max_sends {
            let status = self.step_status(query);
            let lacking = status.live_weight < needed - EPSILON;
            let Some(best) = status.best.filter(|_| lacking || extra_part_due) else { break };
            if !lacking {
                if best.reason != SendReason::FirstAttempt {
                    // Only a part that has not been sent yet can be an extra part, not a retry.
                    break;
                }
                extra_part_due = false;
                self.extra_parts_sent.add(self.now, COUNTER_HALF_LIFE, 1.0);
            }
            self.send(query, best.part_index, best.replica);
        }
    }

    /// Returns whether the query may send an extra part.
    ///
    /// This is decided once for each query, at its first dispatch. While load is shed no extra parts are
    /// sent: replicas would serve them before the cancellation arrives.
    fn may_send_extra_part(&self, query: &Query, needed: f64) -> bool {
        let max_extra_parts = MAX_EXTRA_PART_SHARE * self.attempts_sent.read(self.now, COUNTER_HALF_LIFE);
        let below_limit = self.extra_parts_sent.read(self.now, COUNTER_HALF_LIFE) + 1.0 <= max_extra_parts;
        let needs_n_of_k = query.step == 1 && needed < 1.0;
        below_limit && self.in_flight_limit.is_none() && !query.extra_part_decided && needs_n_of_k
    }

    /// Determines what is answered or in flight in the current step of a query, and which part to send first.
    fn step_status(&self, query: &Query) -> StepStatus {
        let mut status = StepStatus { live_weight: 0.0, best: None };
        let parts = query.parts.iter().enumerate().filter(|(_, part)| part.step == query.step);
        for (part_index, part) in parts {
            if part.answered || self.in_flight_of(part).any(|attempt| !self.is_overdue(attempt)) {
                status.live_weight += part.weight;
                continue;
            }
            let Some(choice) = self.choose_replica(query, part) else { continue };
            let candidate = Candidate {
                reason: self.send_reason(part),
                load: choice.load,
                tie_breaker: choice.tie_breaker,
                part_index,
                replica: choice.replica,
            };
            if status.best.is_none_or(|best| candidate.is_better_than(&best)) {
                status.best = Some(candidate);
            }
        }
        status
    }

    fn send_reason(&self, part: &Part) -> SendReason {
        if part.attempts.is_empty() {
            SendReason::FirstAttempt
        } else if self.in_flight_of(part).next().is_none() {
            SendReason::Retry
        } else {
            SendReason::Hedge
        }
    }

    /// Returns the attempts of a part that are in flight.
    fn in_flight_of<'a>(&'a self, part: &'a Part) -> impl Iterator<Item = &'a InFlightAttempt> {
        let unended = (0..).zip(&part.attempts).filter(|(_, attempt)| attempt.in_flight);
        unended.filter_map(|(attempt, _)| self.in_flight.get(&AttemptId { part: part.id, attempt }))
    }

    /// Returns the listed replicas, in service or draining, of the cells that hold a shard.
    pub(super) fn replicas_of_shard(&self, shard: u32) -> impl Iterator<Item = (&ReplicaId, &Replica)> {
        let cell_count = self.settings.cell_count.max(1);
        let cells = self.settings.cells_per_shard.min(cell_count);
        let cell = move |offset| (shard % cell_count + offset) % cell_count;
        let listed = (0..cells).filter_map(move |offset| self.replicas_by_cell.get(&cell(offset)));
        listed.flatten().filter_map(|id| self.replicas.get_key_value(id))
    }

    /// Returns the load by which replicas are compared.
    ///
    /// The load is the number of calls in flight plus recent failures plus the part to be sent, multiplied by
    /// the load factor of the replica.
    ///
    /// A replica that is warming up can take only a share of the parts that it can take when warm. For the
    /// remaining share of the parts, chosen at random with `draw` (from 0 to 1), the load is divided by that
    /// share. If the load were raised for all parts, every front node would avoid the replica as long as the
    /// other replicas have little in flight.
    fn replica_load(&self, replica: &Replica, draw: f64) -> f64 {
        let count = f64::from(replica.in_flight) + replica.failure_penalty_ends.len() as f64 + 1.0;
        let capacity_share = self.capacity_share(replica);
        count * replica.load_factor / if draw < capacity_share { 1.0 } else { capacity_share }
    }

    /// Returns the best replica among those that may take the part, if there is one.
    fn choose_replica(&self, query: &Query, part: &Part) -> Option<ReplicaChoice> {
        if !self.may_send_part(query, part) {
            return None;
        }
        let mut best: Option<ReplicaChoice> = None;
        for (id, replica) in self.replicas_of_shard(part.shard) {
            if !self.replica_may_take(query, part, *id, replica) {
                continue;
            }
            let choice = self.rate_replica(part, *id, replica);
            if best.is_none_or(|best| choice.is_better_than(&best)) {
                best = Some(choice);
            }
        }
        best
    }

    /// Returns a replica with the values by which it is compared with others for this part.
    ///
    /// Ties are broken by a hash of the random number generator's state, the part and the replica. The result
    /// stays the same until the next random number is drawn, which happens with each attempt sent.
    fn rate_replica(&self, part: &Part, id: ReplicaId, replica: &Replica) -> ReplicaChoice {
        let seed = self.random.state;
        let tie_breaker = hash_to_unit(seed ^ (u64::from(part.id) << 32) ^ u64::from(id));
        let draw = hash_to_unit(seed ^ (u64::from(id) << 32) ^ u64::from(part.id));
        let tried = part.attempts.iter().any(|attempt| attempt.replica == id);
        ReplicaChoice { replica: id, tried, load: self.replica_load(replica, draw), tie_breaker }
    }

    /// Sends an attempt of a part to a replica, unless a check forbids it. All attempts are sent from here.
    fn send(&mut self, query: &mut Query, part_index: usize, replica: ReplicaId) {
        if !self.may_send(query, &query.parts[part_index], replica) {
            return;
        }
        let class_step = query.class_step();
        let timeout = self.attempt_timeout(query);
        let class = &self.settings.classes[query.class];
        let idempotency_time = self.idempotency_time_left(class, &query.parts[part_index], class_step);
        let list_time = self.list_usable_until().map(|until| until - self.now).filter(|left| *left < timeout);
        let send_within = idempotency_time.into_iter().chain(list_time).min();
        let Some(call_number) = self.add_to_call(replica, class_step) else { return };
        let now = self.now;
        let part = &mut query.parts[part_index];
        let id = AttemptId { part: part.id, attempt: part.attempts.len() as u32 };
        part.attempts.push(Attempt::sent(replica, now));
        let (query_number, cancelled) = (query.number, false);
        let attempt = InFlightAttempt {
            replica,
            sent_at: now,
            call_number,
            class_step,
            cancelled,
            query_number,
            part_index,
        };
        self.in_flight.insert(id, attempt);
        self.count_sent(id.attempt > 0);
        // Advances the generator, so that ties are broken differently for the next attempt.
        self.random.next();
        self.actions.push(Action::Attempt { part: id.part, replica, timeout, send_within });
    }

    /// Adds a part to the call to a replica that was begun in this batch of events, or begins a new call if
    /// there is none or it is full. Returns the number of the call.
    fn add_to_call(&mut self, id: ReplicaId, class_step: ClassStep) -> Option<u64> {
        let work = self.expected_work(class_step);
        let max_batch = self.settings.limits.max_batch;
        let oldest = self.now - self.settings.rules.overload_window;
        let replica = self.replicas.get_mut(&id)?;
        if replica.batched_call.batch_number == self.batch_number && replica.batched_call.parts < max_batch {
            replica.batched_call.parts += 1;
        } else {
            self.last_call_number += 1;
            self.calls_sent.add(self.now, COUNTER_HALF_LIFE, 1.0);
            replica.batched_call =
                BatchedCall { batch_number: self.batch_number, number: self.last_call_number, parts: 1 };
            replica.in_flight += 1;
        }
        replica.recent_work_sent.add(self.now, work, oldest);
        Some(replica.batched_call.number)
    }

    /// Returns the timeout of an attempt: the time until the query is given up, or less if attempts can't be
    /// both hedged and cancelled. The part can then get its next attempt only after the timeout.
    fn attempt_timeout(&self, query: &Query) -> Micros {
        let time_left = self.give_up_at(query) - self.now;
        if self.settings.limits.allow_hedging && self.settings.limits.allow_cancel {
            return time_left;
        }
        self.overdue_after(query.class_step()).mul_f64(TIMEOUT_MULTIPLE).min(time_left)
    }

    /// Counts an attempt that was sent; `is_retry` if an attempt of the same part was sent before.
    fn count_sent(&mut self, is_retry: bool) {
        self.attempts_sent.add(self.now, COUNTER_HALF_LIFE, 1.0);
        if is_retry {
            self.retries_sent.add(self.now, COUNTER_HALF_LIFE, 1.0);
            self.retry_window.add(self.now, 1.0, self.now - self.budget_retention);
        }
    }
}
