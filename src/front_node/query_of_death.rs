//! Queries of death: a query that crashes the replicas it is sent to, contained before it reaches many.

use super::tuning::{
    CRASH_CAUTION, MIN_QUERY_TIME, OVERDUE_MULTIPLE, QUERY_OF_DEATH_DROPS, WIDE_QUERY_SHARE,
};
use super::FrontNode;
use crate::interface::ReplicaId;
use crate::state::{ClassStep, Query};
use std::collections::BTreeSet;

/// How a query is treated in view of the replicas that crashed.
pub(super) struct CrashCaution {
    /// Enough replicas dropped it with nothing answered: it is given up.
    pub(super) query_of_death: bool,
    /// Nothing is sent while an attempt may soon be answered.
    pub(super) cautious: bool,
    /// One part is sent ahead of the others.
    pub(super) one_at_a_time: bool,
}

impl FrontNode {
    /// A query that was merely caught in the crash caused by another one soon has an answered part, which
    /// clears it. Until then: after a drop nothing is sent while an attempt may yet be answered, and then
    /// one part at a time; a drop by a second replica ends it. If there is time, a marked retry and, where a
    /// replica crashed lately, a wide query send one part ahead. This hurts where two replicas crash by
    /// chance at once.
    pub(super) fn crash_caution(&self, query: &Query) -> CrashCaution {
        let cleared = query.parts.iter().any(|part| part.answered);
        let resets = query.attempts().filter(|attempt| attempt.reset);
        let dropped_by: BTreeSet<ReplicaId> = resets.map(|attempt| attempt.replica).collect();
        let drops = if cleared { 0 } else { dropped_by.len() };
        let suspect = query.marked_retry || self.is_wide(query) && self.crashed_lately();
        let cautious = !cleared && (drops > 0 || suspect && self.has_time_for_caution(query));
        CrashCaution {
            query_of_death: drops >= QUERY_OF_DEATH_DROPS,
            cautious,
            one_at_a_time: cautious && (query.surely_never_ran() || drops > 0),
        }
    }

    /// Whether an attempt of the query was sent so lately that its answer is worth waiting for.
    pub(super) fn has_young_attempt(&self, query: &Query) -> bool {
        let young = self.typical_latency(ClassStep::first(query.class)).mul_f64(MIN_QUERY_TIME);
        let mut attempts = self.in_flight.values().filter(|attempt| attempt.query == query.number);
        attempts.any(|attempt| self.now - attempt.sent_at < young)
    }

    fn is_wide(&self, query: &Query) -> bool {
        query.parts.len() as f64 > WIDE_QUERY_SHARE * self.replicas.len() as f64
    }

    fn crashed_lately(&self) -> bool {
        self.last_crash_at.is_some_and(|at| self.now - at < CRASH_CAUTION)
    }

    fn has_time_for_caution(&self, query: &Query) -> bool {
        let typical = self.typical_latency(ClassStep::first(query.class));
        query.objective_at - self.now > typical.mul_f64(OVERDUE_MULTIPLE)
    }
}
