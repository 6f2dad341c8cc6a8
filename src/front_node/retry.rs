//! Checks before each send: the maximum number of attempts, idempotency, retry limits and the replica's
//! state.

use super::tuning::{COUNTER_HALF_LIFE, MAX_RETRY_SHARE, MIN_RETRIES};
use super::FrontNode;
use crate::interface::{Class, Idempotency, Micros, ReplicaId};
use crate::state::{ClassStep, Part, Query, Replica};

impl FrontNode {
    /// Returns whether a part may be sent to a replica. Every attempt has to pass this check.
    pub(super) fn may_send(&self, query: &Query, part: &Part, id: ReplicaId) -> bool {
        let replica = self.replicas.get(&id);
        replica.is_some_and(|replica| {
            self.may_send_part(query, part) && self.replica_may_take(query, part, id, replica)
        })
    }

    /// Returns whether a part may get a further attempt at some replica.
    pub(super) fn may_send_part(&self, query: &Query, part: &Part) -> bool {
        if part.answered || part.attempts.len() as u32 >= self.settings.limits.max_attempts {
            return false;
        }
        if part.attempts.is_empty() {
            return true;
        }
        let needs_hedging = part.has_attempt_in_flight();
        self.idempotency_allows_retry(query, part)
            && !self.exceeds_retry_share()
            && (!needs_hedging || self.settings.limits.allow_hedging)
            && self.within_retry_budget()
    }

    /// Returns whether a replica may get an attempt of a part.
    ///
    /// The replica has to be in service, the part has to fit into its slow start, and no attempt of the part
    /// may be in flight at the replica or have been sent there recently.
    pub(super) fn replica_may_take(
        &self,
        query: &Query,
        part: &Part,
        id: ReplicaId,
        replica: &Replica,
    ) -> bool {
        replica.in_service()
            && self.within_slow_start(replica, query.class_step())
            && !self.was_sent_there_recently(query, part, id)
    }

    /// Returns whether an attempt of a part is in flight at a replica or was sent there within the typical
    /// latency.
    fn was_sent_there_recently(&self, query: &Query, part: &Part, id: ReplicaId) -> bool {
        let recent_from = self.now - self.typical_latency(ClassStep::first(query.class));
        let mut attempts = part.attempts.iter().filter(|attempt| attempt.replica == id);
        attempts.any(|attempt| attempt.in_flight || attempt.sent_at > recent_from)
    }

    /// Returns whether the idempotency of the query's class allows a further attempt of a part.
    fn idempotency_allows_retry(&self, query: &Query, part: &Part) -> bool {
        let class = &self.settings.classes[query.class];
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => {
                let time_left = self.idempotency_time_left(class, part, query.class_step());
                time_left.is_none_or(|left| left > Micros(0))
            }
            Idempotency::NonIdempotent => !part.attempts.iter().any(|attempt| attempt.may_have_run()),
        }
    }

    /// Returns for how long a retry of the part may still be sent so that replicas drop it as a duplicate.
    ///
    /// The idempotency window begins with the send of the first attempt that may have run. One tick and the
    /// time that a retry may wait at the replica before it runs are deducted. The result is `None` if the
    /// class has no idempotency keys or no attempt may have run, as there is no such limit then.
    pub(super) fn idempotency_time_left(
        &self,
        class: &Class,
        part: &Part,
        class_step: ClassStep,
    ) -> Option<Micros> {
        let first = part.attempts.iter().find(|attempt| attempt.may_have_run())?;
        if class.idempotency != Idempotency::Keyed {
            return None;
        }
        let wait = self.stats(class_step).p95.unwrap_or(self.typical_latency(class_step));
        Some(first.sent_at + class.idempotency_window - self.settings.tick - wait - self.now)
    }

    /// Returns whether a further retry would exceed the share of attempts above which retries amplify an
    /// overload.
    fn exceeds_retry_share(&self) -> bool {
        let max_retries =
            MIN_RETRIES + MAX_RETRY_SHARE * self.attempts_sent.read(self.now, COUNTER_HALF_LIFE);
        self.retries_sent.read(self.now, COUNTER_HALF_LIFE) + 1.0 > max_retries
    }

    /// Returns whether a further retry stays within the retry budget of the service.
    ///
    /// To be on the safe side, retries are counted over a window that is one tick longer, and received
    /// queries and parts over one that is one tick shorter.
    fn within_retry_budget(&self) -> bool {
        let Some(budget) = self.settings.rules.retry_budget else { return true };
        let since = self.now - budget.window;
        let retries = self.retry_window.sum_since(since - self.settings.tick);
        let received = self.received_window.sum_since(since + self.settings.tick + Micros(1));
        retries + 1.0 <= budget.min_retries + budget.retry_ratio * received
    }
}
