//! Containment of queries of death: queries that crash each replica they are sent to.

use super::tuning::{
    MIN_OVERDUE_MULTIPLE, MIN_QUERY_TIME_MULTIPLE, QUERY_OF_DEATH_RESETS, RECENT_CRASH_WINDOW,
    WIDE_QUERY_SHARE,
};
use super::FrontNode;
use crate::interface::ReplicaId;
use crate::state::{ClassStep, Query};
use std::collections::BTreeSet;

/// Restrictions on a query that may crash replicas.
pub(super) struct CrashContainment {
    /// Whether the query has to be given up, as several replicas reset its connection and none answered a
    /// part.
    pub(super) query_of_death: bool,
    /// Whether nothing may be sent while a recent attempt may still be answered.
    pub(super) wait_for_answers: bool,
    /// Whether only one part may be sent at a time.
    pub(super) one_at_a_time: bool,
}

impl FrontNode {
    /// Returns the restrictions on a query.
    ///
    /// A query with an answered part has no restrictions. A harmless query that lost an attempt because
    /// another query crashed the replica soon has such a part. Until then, once a replica has reset a
    /// connection of the query, nothing is sent while a recent attempt may still be answered, and after that
    /// one part at a time. A reset by a second replica makes it a query of death.
    ///
    /// A query that no replica has reset sends one part ahead of the others (a canary) if there is enough
    /// time and it is either marked as a retry by its client, or wide while a replica has crashed recently.
    ///
    /// The drawback is that a harmless query is given up if two of its replicas crash by chance at once.
    pub(super) fn crash_containment(&self, query: &Query) -> CrashContainment {
        let cleared = query.parts.iter().any(|part| part.answered);
        let resets = query.attempts().filter(|attempt| attempt.reset);
        let reset_by: BTreeSet<ReplicaId> = resets.map(|attempt| attempt.replica).collect();
        let reset_count = if cleared { 0 } else { reset_by.len() };
        let suspect = query.marked_retry || self.is_wide(query) && self.replica_crashed_recently();
        let wait_for_answers = !cleared && (reset_count > 0 || suspect && self.has_time_for_canary(query));
        CrashContainment {
            query_of_death: reset_count >= QUERY_OF_DEATH_RESETS,
            wait_for_answers,
            one_at_a_time: wait_for_answers && (query.provably_never_ran() || reset_count > 0),
        }
    }

    /// Returns whether an attempt of the query in flight was sent so recently that its answer is worth
    /// waiting for.
    pub(super) fn has_recent_attempt(&self, query: &Query) -> bool {
        let recent_age = self.typical_latency(ClassStep::first(query.class)).mul_f64(MIN_QUERY_TIME_MULTIPLE);
        let mut attempts = self.in_flight.values().filter(|attempt| attempt.query_number == query.number);
        attempts.any(|attempt| self.now - attempt.sent_at < recent_age)
    }

    /// Returns whether the query has parts for a large share of the replicas.
    fn is_wide(&self, query: &Query) -> bool {
        query.parts.len() as f64 > WIDE_QUERY_SHARE * self.replicas.len() as f64
    }

    /// Returns whether a replica has crashed recently, judged by failures to connect.
    fn replica_crashed_recently(&self) -> bool {
        self.last_crash_at.is_some_and(|at| self.now - at < RECENT_CRASH_WINDOW)
    }

    /// Returns whether there is enough time to send one part ahead of the others.
    fn has_time_for_canary(&self, query: &Query) -> bool {
        let typical = self.typical_latency(ClassStep::first(query.class));
        query.objective_at - self.now > typical.mul_f64(MIN_OVERDUE_MULTIPLE)
    }
}
