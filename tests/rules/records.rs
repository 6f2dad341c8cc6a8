//! Records of queries, parts and attempts that the test keeps, and the checks of the rules against them.

use crate::common::ms;
use pinetrestle::interface::*;
use std::collections::BTreeMap;

/// Tolerance for rounding errors in sums of weights.
const WEIGHT_TOLERANCE: f64 = 0.0002;
/// Age after which the records of ended queries and attempts are dropped.
const RETENTION: Micros = Micros(3_000_000);

/// Record of an attempt.
pub struct AttemptRecord {
    pub replica: ReplicaId,
    pub sent_at: Micros,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl AttemptRecord {
    /// Returns whether the outcome proves that the attempt did not run.
    fn never_ran(&self) -> bool {
        let proof =
            |outcome| matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        self.outcome.is_some_and(proof)
    }
}

/// Record of a part.
pub struct PartRecord {
    pub query: Id,
    pub shard: u32,
    pub weight: f64,
    pub step: u8,
    pub attempts: Vec<AttemptRecord>,
}

impl PartRecord {
    fn is_answered(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome == Some(Outcome::Ok))
    }
}

/// Record of a query.
pub struct QueryRecord {
    pub class: usize,
    pub deadline_at: Micros,
    pub step: u8,
    pub first_step_complete: bool,
    pub ended: bool,
    pub parts: Vec<Id>,
}

impl QueryRecord {
    /// Creates the record of a new query without parts.
    pub fn new(class: usize, deadline_at: Micros) -> QueryRecord {
        QueryRecord {
            class,
            deadline_at,
            step: 1,
            first_step_complete: false,
            ended: false,
            parts: Vec::new(),
        }
    }
}

/// Record of a replica, according to the endpoint list.
#[derive(Clone, Copy)]
pub struct ReplicaRecord {
    pub lifecycle: Lifecycle,
    pub started: Option<Micros>,
}

/// All records of a run.
pub struct Records {
    pub settings: Settings,
    pub now: Micros,
    pub started_at: Micros,
    pub queries: BTreeMap<Id, QueryRecord>,
    pub parts: BTreeMap<Id, PartRecord>,
    pub replicas: BTreeMap<ReplicaId, ReplicaRecord>,
    /// When each query and part was received.
    pub received: Vec<Micros>,
    /// When each retry was sent.
    pub retries: Vec<Micros>,
    pub attempts_sent: u64,
    pub answers: u64,
    pub answered_parts: u64,
}

impl Records {
    pub fn new(settings: Settings, now: Micros) -> Records {
        Records {
            settings,
            now,
            started_at: now,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            replicas: BTreeMap::new(),
            received: Vec::new(),
            retries: Vec::new(),
            attempts_sent: 0,
            answers: 0,
            answered_parts: 0,
        }
    }

    /// Checks an action against the rules and records it.
    pub fn check(&mut self, action: &Action) {
        match action {
            Action::Attempt { part, replica, timeout, .. } => {
                assert!(*timeout > Micros(0));
                self.check_attempt(*part, *replica);
                self.record_attempt(*part, *replica);
            }
            Action::Answer { query, complete } => {
                self.check_open(*query);
                self.check_answer(*query, *complete);
                self.record_answer(*query, *complete);
            }
            Action::Reject { query, .. } => {
                self.check_open(*query);
                self.check_rejection(*query);
                self.record_end(*query);
            }
            Action::Fail { query } => {
                self.check_open(*query);
                self.record_end(*query);
            }
            Action::Cancel { part, attempt } => {
                let sent = self.parts[part].attempts.len();
                assert!((*attempt as usize) < sent, "only attempts that were sent may be cancelled");
            }
            Action::SetTimer(_) | Action::WatchEndpointList | Action::Log(_) => {}
        }
    }

    fn check_attempt(&self, id: Id, replica: ReplicaId) {
        let part = &self.parts[&id];
        assert!(!self.queries[&part.query].ended, "no part may be sent after the final answer");
        assert!(!part.is_answered(), "an answered part must not be sent again");
        assert_eq!(
            self.replicas[&replica].lifecycle,
            Lifecycle::InService,
            "attempts must go to replicas in service only"
        );
        let distance = (replica % 4 + 4 - part.shard % 4) % 4;
        assert!(distance < self.settings.cells_per_shard, "the replica must hold the shard");
        let limits = &self.settings.limits;
        assert!(
            (part.attempts.len() as u32) < limits.max_attempts,
            "a part must not exceed the maximum number of attempts"
        );
        let in_flight = part.attempts.iter().any(|attempt| attempt.outcome.is_none());
        assert!(!in_flight || limits.allow_hedging, "hedged requests must be allowed");
        self.check_effect(part);
        if !part.attempts.is_empty() {
            self.check_retry_budget();
        }
    }

    fn check_effect(&self, part: &PartRecord) {
        let class = &self.settings.classes[self.queries[&part.query].class];
        let may_have_run = part.attempts.iter().find(|attempt| !attempt.never_ran());
        match class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::Keyed => {
                let in_window =
                    may_have_run.is_none_or(|attempt| self.now - attempt.sent_at < class.idempotency_window);
                assert!(in_window, "a keyed part must be retried within its idempotency window only");
            }
            Idempotency::NonIdempotent => {
                assert!(
                    may_have_run.is_none(),
                    "a non-idempotent part must be retried only if it did not run"
                );
            }
        }
    }

    /// Checks that a further retry at this time stays within the retry budget.
    fn check_retry_budget(&self) {
        let budget = self.settings.rules.retry_budget.expect("a budget is set");
        let since = self.now - budget.window;
        let retries = self.retries.iter().filter(|at| **at >= since).count() as f64 + 1.0;
        let received = self.received.iter().filter(|at| **at > since).count() as f64;
        let allowed = budget.min_retries + budget.retry_ratio * received;
        assert!(retries <= allowed, "the retry budget must not be exceeded");
    }

    fn record_attempt(&mut self, id: Id, replica: ReplicaId) {
        let sent_at = self.now;
        let part = self.parts.get_mut(&id).expect("a known part");
        if !part.attempts.is_empty() {
            self.retries.push(sent_at);
        }
        part.attempts.push(AttemptRecord { replica, sent_at, outcome: None });
        self.attempts_sent += 1;
    }

    fn check_open(&self, id: Id) {
        let query = &self.queries[&id];
        assert!(!query.ended, "a query must not get a second final answer");
        assert!(self.now < query.deadline_at, "a query must end before its deadline");
    }

    fn check_answer(&self, id: Id, complete: bool) {
        let query = &self.queries[&id];
        let class = &self.settings.classes[query.class];
        let answered = self.answered_weight(query);
        let needed = if query.step == 1 { class.complete_share } else { 1.0 };
        assert!(
            answered > class.partial_min_share - WEIGHT_TOLERANCE,
            "an answer must have the minimum share: {answered}"
        );
        assert!(
            !complete || answered > needed - WEIGHT_TOLERANCE,
            "an answer marked complete must be complete: {answered}"
        );
        assert!(!complete || query.step == 1 || query.first_step_complete);
    }

    fn check_rejection(&self, id: Id) {
        let query = &self.queries[&id];
        if self.settings.classes[query.class].idempotency == Idempotency::Idempotent {
            return;
        }
        let mut attempts = query.parts.iter().flat_map(|part| &self.parts[part].attempts);
        assert!(attempts.all(AttemptRecord::never_ran), "a query that may have run must not be rejected");
    }

    /// Records an answer, which ends the query or begins its second step.
    fn record_answer(&mut self, id: Id, complete: bool) {
        self.answers += 1;
        let query = self.queries.get_mut(&id).expect("a known query");
        if query.step == 1 && self.settings.classes[query.class].has_second_step() {
            query.step = 2;
            query.first_step_complete = complete;
        } else {
            query.ended = true;
        }
    }

    fn record_end(&mut self, id: Id) {
        self.queries.get_mut(&id).expect("a known query").ended = true;
    }

    fn answered_weight(&self, query: &QueryRecord) -> f64 {
        let parts = query.parts.iter().map(|id| &self.parts[id]);
        let answered = parts.filter(|part| part.step == query.step && part.is_answered());
        answered.map(|part| part.weight).sum()
    }

    /// Drops records of queries and attempts that ended long ago.
    pub fn drop_old(&mut self) {
        let oldest = self.now - RETENTION;
        let queries = &self.queries;
        self.parts.retain(|_, part| {
            let recent = |attempt: &AttemptRecord| attempt.outcome.is_none() || attempt.sent_at > oldest;
            let open = queries.get(&part.query).is_some_and(|query| !query.ended);
            open || part.attempts.iter().any(recent)
        });
        let parts = &self.parts;
        self.queries.retain(|_, query| !query.ended || query.parts.iter().any(|id| parts.contains_key(id)));
        self.received.retain(|at| *at > oldest);
        self.retries.retain(|at| *at > oldest);
    }

    /// Checks the work sent to each warming-up replica in the latest overload window. Each part counts as the
    /// least work that a part may be estimated to take in these runs.
    pub fn check_slow_start(&self) {
        let rules = &self.settings.rules;
        for (id, replica) in &self.replicas {
            let Some(started) = replica.started else { continue };
            let age = self.now - started;
            if age >= rules.warm_up_time {
                continue;
            }
            let recent = |attempt: &&AttemptRecord| {
                attempt.replica == *id
                    && attempt.sent_at > started
                    && self.now - attempt.sent_at < rules.overload_window
            };
            let sent = self.parts.values().flat_map(|part| &part.attempts).filter(recent).count() as f64;
            let capacity_share = 0.2 + 0.8 * age.ratio_to(rules.warm_up_time);
            let share = self.slow_start_share();
            assert!(
                sent <= 2.0 * capacity_share * share + 1.0,
                "{sent} parts at capacity share {capacity_share}, share {share}"
            );
        }
    }

    /// Returns the share of a replica's capacity that this front node may use, in parts per second.
    ///
    /// Three quarters of the parts take 15 ms or more in these runs. The share is an even share of one core
    /// or, if larger, the parts that a replica answers on average, plus half of that to allow for chance.
    fn slow_start_share(&self) -> f64 {
        let even = 1.0 / f64::from(self.settings.fleet_size) / 0.015;
        if self.settings.fleet_size <= 2 {
            return even;
        }
        let seconds = (self.now - self.started_at).ratio_to(ms(1000)).max(1.0);
        even.max(1.5 * self.answered_parts as f64 / seconds / self.replicas.len() as f64)
    }
}
