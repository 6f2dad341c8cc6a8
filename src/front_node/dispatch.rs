//! Replica selection and sending: the least loaded holder of a shard, hedged requests, one bounded extra
//! part.

use super::tuning::{COUNTER_HALF_LIFE, EPSILON, EXTRA_PART_SHARE, TIMEOUT_MULTIPLE};
use super::FrontNode;
use crate::interface::{Action, Micros, ReplicaId};
use crate::numeric::hash_to_unit;
use crate::state::{Attempt, AttemptId, BatchedCall, ClassStep, InFlightAttempt, Part, Query, Replica};

/// Why an attempt would be sent, in the order in which they are preferred.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
enum SendReason {
    /// The part was not sent yet.
    FirstAttempt,
    /// All attempts of the part have failed.
    Retry,
    /// All attempts of the part in flight are overdue.
    Hedge,
}

/// A part that may be sent now. Compared by `reason`, then `load`, then `tie_breaker`.
#[derive(Clone, Copy)]
struct Candidate {
    reason: SendReason,
    load: f64,
    tie_breaker: f64,
    /// The place of the part in its query.
    part_index: usize,
    replica: ReplicaId,
}

impl Candidate {
    fn is_better_than(&self, other: &Candidate) -> bool {
        (self.reason, self.load, self.tie_breaker) < (other.reason, other.load, other.tie_breaker)
    }
}

/// A replica that may take a part. Compared by `tried`, then `load`, then `tie_breaker`.
#[derive(Clone, Copy)]
struct ReplicaChoice {
    replica: ReplicaId,
    /// An attempt of the part went there before.
    tried: bool,
    load: f64,
    tie_breaker: f64,
}

impl ReplicaChoice {
    fn is_better_than(&self, other: &ReplicaChoice) -> bool {
        (self.tried, self.load, self.tie_breaker) < (other.tried, other.load, other.tie_breaker)
    }
}

/// What a query has and what it could send.
struct Survey {
    /// The weight of the parts that are answered or in flight without being overdue.
    live_weight: f64,
    /// The best part to send, if any may be sent.
    best: Option<Candidate>,
}

impl FrontNode {
    /// Sends what the query lacks, at most `most_sends` attempts: parts not sent yet, least load first, so
    /// that an overdue part of an n-of-k class is answered by another part before it is hedged; then parts
    /// whose attempts have all failed; then hedged requests for overdue ones. Beyond that, where any n parts
    /// do, one extra part while these are few.
    pub(super) fn dispatch(&mut self, query: &mut Query, most_sends: usize) {
        let needed = self.complete_share(query);
        let mut extra_part_due = self.may_send_extra_part(query, needed);
        query.extra_part_decided = true;
        for _ in 0..most_sends {
            let survey = self.survey(query);
            let lacking = survey.live_weight < needed - EPSILON;
            let Some(best) = survey.best.filter(|_| lacking || extra_part_due) else { break };
            if !lacking {
                if best.reason != SendReason::FirstAttempt {
                    // An extra part is one not sent yet, no retry.
                    break;
                }
                extra_part_due = false;
                self.extra_parts.add(self.now, COUNTER_HALF_LIFE, 1.0);
            }
            self.send(query, best.part_index, best.replica);
        }
    }

    /// Whether an extra part is due: decided once for each query, and never while shedding load, when extra
    /// parts would be served before their cancellation arrives.
    fn may_send_extra_part(&self, query: &Query, needed: f64) -> bool {
        let most = EXTRA_PART_SHARE * self.sent.read(self.now, COUNTER_HALF_LIFE);
        let few = self.extra_parts.read(self.now, COUNTER_HALF_LIFE) + 1.0 <= most;
        let n_of_k = query.step == 1 && needed < 1.0;
        few && self.in_flight_limit.is_none() && !query.extra_part_decided && n_of_k
    }

    fn survey(&self, query: &Query) -> Survey {
        let mut survey = Survey { live_weight: 0.0, best: None };
        let parts = query.parts.iter().enumerate().filter(|(_, part)| part.step == query.step);
        for (part_index, part) in parts {
            if part.answered || self.in_flight_of(part).any(|attempt| !self.is_overdue(attempt)) {
                survey.live_weight += part.weight;
                continue;
            }
            let Some(choice) = self.choose(query, part) else { continue };
            let candidate = Candidate {
                reason: self.send_reason(part),
                load: choice.load,
                tie_breaker: choice.tie_breaker,
                part_index,
                replica: choice.replica,
            };
            if survey.best.is_none_or(|best| candidate.is_better_than(&best)) {
                survey.best = Some(candidate);
            }
        }
        survey
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

    fn in_flight_of<'a>(&'a self, part: &'a Part) -> impl Iterator<Item = &'a InFlightAttempt> {
        let open = (0..).zip(&part.attempts).filter(|(_, attempt)| attempt.in_flight);
        open.filter_map(|(attempt, _)| self.in_flight.get(&AttemptId { part: part.id, attempt }))
    }

    /// The listed replicas of a shard, in service or draining, found by cell.
    pub(super) fn holders(&self, shard: u32) -> impl Iterator<Item = (&ReplicaId, &Replica)> {
        let cell_count = self.settings.cell_count.max(1);
        let cells = self.settings.cells_per_shard.min(cell_count);
        let cell = move |place| (shard % cell_count + place) % cell_count;
        let listed = (0..cells).filter_map(move |place| self.replicas_by_cell.get(&cell(place)));
        listed.flatten().filter_map(|id| self.replicas.get_key_value(id))
    }

    /// The load by which replicas are compared: our calls in flight, failed attempts that still count, and
    /// the part to be sent, times the load factor of a far slower replica; more at a replica that is warming
    /// up, for the share of parts it can't take. That share is drawn (`draw`, 0 to 1): with little in flight
    /// anywhere, a higher load for every part would mean that no front node sends it any.
    fn load(&self, replica: &Replica, draw: f64) -> f64 {
        let count = f64::from(replica.in_flight) + replica.failure_holds.len() as f64 + 1.0;
        let warmth = self.warmth(replica);
        count * replica.load_factor / if draw < warmth { 1.0 } else { warmth }
    }

    /// The best replica for a part among those that may take it.
    fn choose(&self, query: &Query, part: &Part) -> Option<ReplicaChoice> {
        if !self.may_try(query, part) {
            return None;
        }
        let mut best: Option<ReplicaChoice> = None;
        for (id, replica) in self.holders(part.shard) {
            if !self.may_take(query, part, *id, replica) {
                continue;
            }
            let choice = self.rate(part, *id, replica);
            if best.is_none_or(|best| choice.is_better_than(&best)) {
                best = Some(choice);
            }
        }
        best
    }

    /// Ties are broken at random: by a hash of the generator's state, the part and the replica, which stays
    /// the same until the attempt is sent.
    fn rate(&self, part: &Part, id: ReplicaId, replica: &Replica) -> ReplicaChoice {
        let seed = self.random.state;
        let tie_breaker = hash_to_unit(seed ^ (u64::from(part.id) << 32) ^ u64::from(id));
        let draw = hash_to_unit(seed ^ (u64::from(id) << 32) ^ u64::from(part.id));
        let tried = part.attempts.iter().any(|attempt| attempt.replica == id);
        ReplicaChoice { replica: id, tried, load: self.load(replica, draw), tie_breaker }
    }

    /// The only place from which an attempt is sent.
    fn send(&mut self, query: &mut Query, part_index: usize, replica: ReplicaId) {
        if !self.may_send(query, &query.parts[part_index], replica) {
            return;
        }
        let class_step = query.class_step();
        let timeout = self.attempt_timeout(query);
        let class = &self.settings.classes[query.class];
        let send_within = self.idempotency_time_left(class, &query.parts[part_index], class_step);
        let Some(call) = self.join_call(replica, class_step) else { return };
        let now = self.now;
        let part = &mut query.parts[part_index];
        let id = AttemptId { part: part.id, attempt: part.attempts.len() as u32 };
        part.attempts.push(Attempt::sent(replica, now));
        let (query, cancelled) = (query.number, false);
        let attempt =
            InFlightAttempt { replica, sent_at: now, call, class_step, cancelled, query, part_index };
        self.in_flight.insert(id, attempt);
        self.count_sent(id.attempt > 0);
        // Moves the state on, so that the next attempt's ties are broken anew.
        self.random.next();
        self.actions.push(Action::Attempt { part: id.part, replica, timeout, send_within });
    }

    /// Adds a part to the call that is being filled for a replica in this batch, or begins another; its
    /// number.
    fn join_call(&mut self, id: ReplicaId, class_step: ClassStep) -> Option<u64> {
        let work = self.work(class_step);
        let max_batch = self.settings.limits.max_batch;
        let oldest = self.now - self.settings.rules.overload_window;
        let replica = self.replicas.get_mut(&id)?;
        if replica.batched_call.round == self.round && replica.batched_call.parts < max_batch {
            replica.batched_call.parts += 1;
        } else {
            self.last_call += 1;
            self.calls.add(self.now, COUNTER_HALF_LIFE, 1.0);
            replica.batched_call = BatchedCall { round: self.round, number: self.last_call, parts: 1 };
            replica.in_flight += 1;
        }
        replica.recent_work.add(self.now, work, oldest);
        Some(replica.batched_call.number)
    }

    /// Until the query is given up; where an attempt can't be hedged or cancelled, less, so that its timeout
    /// frees the part for the next attempt.
    fn attempt_timeout(&self, query: &Query) -> Micros {
        let left = self.stop_at(query) - self.now;
        if self.settings.limits.allow_hedging && self.settings.limits.allow_cancel {
            return left;
        }
        self.overdue_after(query.class_step()).mul_f64(TIMEOUT_MULTIPLE).min(left)
    }

    fn count_sent(&mut self, retry: bool) {
        self.sent.add(self.now, COUNTER_HALF_LIFE, 1.0);
        if retry {
            self.retries.add(self.now, COUNTER_HALF_LIFE, 1.0);
            self.retry_window.add(self.now, 1.0, self.now - self.budget_retention);
        }
    }
}
