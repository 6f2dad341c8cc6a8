//! Retries: the checks that every send passes, the attempt cap, idempotency windows and the retry budget.

use super::tuning::{COUNTER_HALF_LIFE, RETRY_FLOOR, RETRY_SHARE};
use super::FrontNode;
use crate::interface::{Class, Idempotency, Micros, ReplicaId};
use crate::state::{ClassStep, Part, Query, Replica};

impl FrontNode {
    /// The check that every send passes: attempt cap, retries, the replica's lifecycle and slow start.
    pub(super) fn may_send(&self, query: &Query, part: &Part, id: ReplicaId) -> bool {
        let replica = self.replicas.get(&id);
        replica.is_some_and(|replica| self.may_try(query, part) && self.may_take(query, part, id, replica))
    }

    /// Whether a part may get one more attempt, at any replica.
    pub(super) fn may_try(&self, query: &Query, part: &Part) -> bool {
        if part.answered || part.attempts.len() as u32 >= self.settings.limits.max_attempts {
            return false;
        }
        if part.attempts.is_empty() {
            return true;
        }
        let needs_hedging = part.has_attempt_in_flight();
        self.effect_allows_retry(query, part)
            && !self.in_retry_storm()
            && (!needs_hedging || self.settings.limits.allow_hedging)
            && self.within_retry_budget()
    }

    /// Whether a replica may get an attempt of a part: it is in service, within what it can do while warming
    /// up, and no attempt of the part is in flight there or was sent there just now.
    pub(super) fn may_take(&self, query: &Query, part: &Part, id: ReplicaId, replica: &Replica) -> bool {
        replica.in_service()
            && self.within_slow_start(replica, query.class_step())
            && !self.sent_there_lately(query, part, id)
    }

    fn sent_there_lately(&self, query: &Query, part: &Part, id: ReplicaId) -> bool {
        let since = self.now - self.typical_latency(ClassStep::first(query.class));
        let mut attempts = part.attempts.iter().filter(|attempt| attempt.replica == id);
        attempts.any(|attempt| attempt.in_flight || attempt.sent_at > since)
    }

    fn effect_allows_retry(&self, query: &Query, part: &Part) -> bool {
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

    /// How long a duplicate of the part is still dropped, where the class is keyed and an attempt may have
    /// run: counted from the send of the first such attempt, less what a retry may wait at the replica
    /// before it runs itself.
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

    /// Whether one more retry would pass the share of parts above which retries feed an overload.
    fn in_retry_storm(&self) -> bool {
        let most = RETRY_FLOOR + RETRY_SHARE * self.sent.read(self.now, COUNTER_HALF_LIFE);
        self.retries.read(self.now, COUNTER_HALF_LIFE) + 1.0 > most
    }

    /// Whether one more retry stays within the deployment's retry budget. The bounds lean to the careful
    /// side by a tick at either end of the window.
    fn within_retry_budget(&self) -> bool {
        let Some(budget) = self.settings.rules.retry_budget else { return true };
        let since = self.now - budget.window;
        let used = self.retry_window.sum_since(since - self.settings.tick);
        let received = self.received_window.sum_since(since + self.settings.tick + Micros(1));
        used + 1.0 <= budget.min_retries + budget.retry_ratio * received
    }
}
