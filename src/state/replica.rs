//! Replicas and attempts in flight.

use super::ClassStep;
use crate::interface::{Id, Lifecycle, Micros, ReplicaId};
use crate::numeric::{DecayingCounter, SlidingWindow};

/// Identifies an attempt. Ordered by part, then by the number of the attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// Id of the part.
    pub(crate) part: Id,
    /// Number of the attempt among those of its part, from 0.
    pub(crate) attempt: u32,
}

/// An attempt in flight. It may still be in flight when its query is no longer open.
pub(crate) struct InFlightAttempt {
    /// The replica that the attempt was sent to.
    pub(crate) replica: ReplicaId,
    /// When the attempt was sent.
    pub(crate) sent_at: Micros,
    /// Number of the call that carries the attempt.
    pub(crate) call_number: u64,
    /// Class of the query, and its step when the attempt was sent.
    pub(crate) class_step: ClassStep,
    /// Whether the result of the attempt is no longer needed.
    pub(crate) cancelled: bool,
    /// Sequence number of the query.
    pub(crate) query_number: u64,
    /// Index of the part in [`Query::parts`](super::Query::parts).
    pub(crate) part_index: usize,
}

/// The latest call to a replica. Parts are added to it within the batch of events in which it was begun.
#[derive(Clone, Copy, Default)]
pub(crate) struct BatchedCall {
    /// Number of the batch of events in which the call was begun.
    pub(crate) batch_number: u64,
    /// Number of the call.
    pub(crate) number: u64,
    /// Number of parts in the call so far.
    pub(crate) parts: u32,
}

/// What this front node knows of a replica.
#[derive(Default)]
pub(crate) struct Replica {
    /// The cell that the replica belongs to.
    pub(crate) cell: u32,
    /// Registered capacity, relative to the other replicas.
    pub(crate) relative_capacity: f64,
    /// Lifecycle state according to the endpoint list.
    pub(crate) lifecycle: Lifecycle,
    /// When the replica last started; `None` if that is unknown or long ago.
    pub(crate) started_at: Option<Micros>,
    /// Number of calls of this front node that are in flight at the replica.
    pub(crate) in_flight: u32,
    /// For each recent failed attempt, the time until which it counts as an attempt in flight. This keeps a
    /// replica that fails fast from looking idle.
    pub(crate) failure_penalty_ends: Vec<Micros>,
    /// When an attempt at the replica last failed; the origin of time if none has.
    pub(crate) last_failed_at: Micros,
    /// Number of attempts that failed since the replica last answered one.
    pub(crate) consecutive_failures: usize,
    /// Moving average of the replica's latency divided by the typical latency of the same class and step.
    pub(crate) latency_ratio: f64,
    /// When `latency_ratio` was last updated.
    pub(crate) latency_ratio_at: Micros,
    /// Recent answers, each weighted by the time in seconds that its class allows for a part. The rate of
    /// this counter is the number of parts in flight that the replica can sustain within that time (Little's
    /// law).
    pub(crate) sustained_concurrency: DecayingCounter,
    /// When the replica last answered an attempt.
    pub(crate) last_answer_at: Micros,
    /// Factor by which the replica counts as more loaded than it is: its latency ratio divided by the median
    /// of all replicas, or 1 unless it is much slower than they are.
    pub(crate) load_factor: f64,
    /// Whether the replica is marked as an outlier. Changes are logged.
    pub(crate) is_outlier: bool,
    /// The latest call to the replica.
    pub(crate) batched_call: BatchedCall,
    /// Random number from 0 to 1, drawn when the replica starts: how much of the first interval between parts
    /// passes before the replica gets its first part, if slow start spaces the parts out.
    pub(crate) first_send_phase: f64,
    /// Work sent to the replica within the latest overload window.
    pub(crate) recent_work_sent: SlidingWindow,
}

impl Replica {
    /// Creates a replica of which only its start time is known.
    pub(crate) fn new(started_at: Option<Micros>, first_send_phase: f64) -> Replica {
        Replica { started_at, latency_ratio: 1.0, load_factor: 1.0, first_send_phase, ..Replica::default() }
    }

    /// Returns whether the replica takes new attempts according to the endpoint list.
    pub(crate) fn in_service(&self) -> bool {
        self.lifecycle == Lifecycle::InService
    }
}
