//! Replicas and the attempts in flight at them.

use super::ClassStep;
use crate::interface::{Id, Lifecycle, Micros, ReplicaId};
use crate::numeric::{DecayingCounter, SlidingWindow};

/// An attempt of a part, by its number from 0. Ordered by part, then by number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// The part.
    pub(crate) part: Id,
    /// The number of the attempt.
    pub(crate) attempt: u32,
}

/// An attempt in flight, as its replica remembers it. It may outlive its query.
pub(crate) struct InFlightAttempt {
    /// The replica it was sent to.
    pub(crate) replica: ReplicaId,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// The number of the call that carries it.
    pub(crate) call: u64,
    /// The class and step of its query when it was sent.
    pub(crate) class_step: ClassStep,
    /// Its result is no longer wanted.
    pub(crate) cancelled: bool,
    /// The number of its query.
    pub(crate) query: u64,
    /// The place of its part in the query.
    pub(crate) part_index: usize,
}

/// The call that is being filled for a replica in one batch of events.
#[derive(Clone, Copy, Default)]
pub(crate) struct BatchedCall {
    /// The round (call of `FrontNode::handle`) in which it is filled.
    pub(crate) round: u64,
    /// Its number.
    pub(crate) number: u64,
    /// Parts in it so far.
    pub(crate) parts: u32,
}

/// A replica, as this front node sees it.
#[derive(Default)]
pub(crate) struct Replica {
    /// Its cell.
    pub(crate) cell: u32,
    /// Registered capacity relative to that of other replicas.
    pub(crate) relative_capacity: f64,
    /// Its lifecycle state in the endpoint list.
    pub(crate) lifecycle: Lifecycle,
    /// When it last started, if that is known and recent.
    pub(crate) started_at: Option<Micros>,
    /// Our calls in flight at it; where calls are not shared, our parts.
    pub(crate) in_flight: u32,
    /// For each recent failed attempt, until when it counts as one in flight.
    pub(crate) failure_holds: Vec<Micros>,
    /// Attempts that failed since it last answered one.
    pub(crate) consecutive_failures: usize,
    /// Its recent latency over the typical one, a moving average.
    pub(crate) latency_ratio: f64,
    /// When `latency_ratio` was last updated.
    pub(crate) latency_ratio_at: Micros,
    /// Its recent answers, each counted as its class's time allowance in seconds; as a rate, the concurrency
    /// that it sustains within the allowance (Little's law).
    pub(crate) sustained_concurrency: DecayingCounter,
    /// When it last answered an attempt.
    pub(crate) last_answer_at: Micros,
    /// Its latency ratio over the median of all replicas; 1 unless it is far slower.
    pub(crate) load_factor: f64,
    /// Last logged as an outlier.
    pub(crate) outlier: bool,
    /// The call that is being filled for it.
    pub(crate) batched_call: BatchedCall,
    /// Drawn at its start, 0 to 1: the place in the first spacing interval at which it may get its first
    /// part.
    pub(crate) spacing_phase: f64,
    /// Work sent to it within the last overload window.
    pub(crate) recent_work: SlidingWindow,
}

impl Replica {
    /// A replica of which nothing is known but its start.
    pub(crate) fn new(started_at: Option<Micros>, spacing_phase: f64) -> Replica {
        Replica { started_at, latency_ratio: 1.0, load_factor: 1.0, spacing_phase, ..Replica::default() }
    }

    /// Whether it takes new attempts by the endpoint list.
    pub(crate) fn in_service(&self) -> bool {
        self.lifecycle == Lifecycle::InService
    }
}
