//! Queries, their parts, and the attempts of parts.

use super::ClassStep;
use crate::interface::{Id, Micros, ReplicaId};

/// An attempt of a part, as recorded in its query.
pub(crate) struct Attempt {
    /// The replica that the attempt was sent to.
    pub(crate) replica: ReplicaId,
    /// When the attempt was sent.
    pub(crate) sent_at: Micros,
    /// Whether the attempt has not ended yet.
    pub(crate) in_flight: bool,
    /// Whether the attempt has ended with an outcome that proves that it did not run.
    pub(crate) never_ran: bool,
    /// Whether the attempt ended because its connection was reset.
    pub(crate) reset: bool,
}

impl Attempt {
    /// Creates an attempt that is sent now.
    pub(crate) fn sent(replica: ReplicaId, now: Micros) -> Attempt {
        Attempt { replica, sent_at: now, in_flight: true, never_ran: false, reset: false }
    }

    /// Returns whether the attempt may have run or may still run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.in_flight || !self.never_ran
    }
}

/// A part of a query.
#[derive(Default)]
pub(crate) struct Part {
    /// Id of the part.
    pub(crate) id: Id,
    /// The shard that has to answer the part.
    pub(crate) shard: u32,
    /// Weight of the part; the weights of a step add up to 1.
    pub(crate) weight: f64,
    /// Number of the step that the part belongs to, 1 or 2.
    pub(crate) step: u8,
    /// Whether an attempt has answered the part.
    pub(crate) answered: bool,
    /// All attempts of the part. The index of an attempt is its number.
    pub(crate) attempts: Vec<Attempt>,
}

impl Part {
    /// Returns whether any attempt of the part has not ended yet.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// An open query: one without a final answer.
#[derive(Default)]
pub(crate) struct Query {
    /// Id of the query.
    pub(crate) id: Id,
    /// Sequence number of the query, the key of the table of open queries.
    pub(crate) number: u64,
    /// Index of the class in the settings.
    pub(crate) class: usize,
    /// Index of the tenant in the settings, if the query has one.
    pub(crate) tenant: Option<usize>,
    /// When the query arrived.
    pub(crate) arrived_at: Micros,
    /// When the latency objective expires.
    pub(crate) objective_at: Micros,
    /// When the client abandons this try of the query.
    pub(crate) deadline_at: Micros,
    /// Whether the client marked this try as a retry.
    pub(crate) marked_retry: bool,
    /// Whether the query has passed admission.
    pub(crate) admitted: bool,
    /// Whether the query has been dispatched once. An extra part is sent at the first dispatch or not at all.
    pub(crate) extra_part_decided: bool,
    /// Number of the current step, from 1.
    pub(crate) step: u8,
    /// The parts of the current step and of earlier ones.
    pub(crate) parts: Vec<Part>,
}

impl Query {
    /// Returns the class and the current step.
    pub(crate) fn class_step(&self) -> ClassStep {
        ClassStep { class: self.class, step: self.step }
    }

    /// Returns the parts of the current step.
    pub(crate) fn step_parts(&self) -> impl Iterator<Item = &Part> + Clone {
        self.parts.iter().filter(|part| part.step == self.step)
    }

    /// Returns the attempts of all parts, those of earlier steps included.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = &Attempt> + Clone {
        self.parts.iter().flat_map(|part| &part.attempts)
    }

    /// Returns the total weight of the answered parts of the current step.
    pub(crate) fn answered_weight(&self) -> f64 {
        self.step_parts().filter(|part| part.answered).map(|part| part.weight).sum()
    }

    /// Returns whether it is certain that no attempt of the query has run or will run.
    pub(crate) fn provably_never_ran(&self) -> bool {
        self.attempts().all(|attempt| !attempt.may_have_run())
    }
}

/// The time that clients of one class allow for each try of a query.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClientTries {
    /// The longest time that any try has been given.
    pub(crate) longest: Micros,
    /// Number of consecutive tries, up to the latest one, that were given less than that.
    pub(crate) consecutive_short: u32,
}
