//! Observed latencies of attempts, by class and step.

use crate::interface::Micros;
use std::collections::VecDeque;

/// Maximum number of steps of a query.
const MAX_STEPS: usize = 2;

/// A class and a step of its queries. Latencies are tracked separately for each `ClassStep`.
#[derive(Clone, Copy)]
pub(crate) struct ClassStep {
    /// Index of the class in the settings.
    pub(crate) class: usize,
    /// Number of the step, 1 or 2.
    pub(crate) step: u8,
}

impl ClassStep {
    /// Returns the first step of a class.
    pub(crate) fn first(class: usize) -> ClassStep {
        ClassStep { class, step: 1 }
    }

    /// Returns the second step of a class.
    pub(crate) fn second(class: usize) -> ClassStep {
        ClassStep { class, step: 2 }
    }

    /// Returns the index of this class and step in a list that has an entry for each.
    pub(crate) fn index(self) -> usize {
        self.class * MAX_STEPS + usize::from(self.step - 1)
    }

    /// Returns the length of a list with an entry for each class and step.
    pub(crate) fn count(classes: usize) -> usize {
        classes * MAX_STEPS
    }
}

/// The latency of one answered attempt.
pub(crate) struct LatencySample {
    /// When the answer arrived.
    pub(crate) at: Micros,
    /// Time from the send of the attempt to its answer.
    pub(crate) latency: Micros,
}

/// Latencies of one class and step. The quantiles are `None` as long as there are too few samples.
#[derive(Default)]
pub(crate) struct LatencyStats {
    /// The latest samples, oldest first.
    pub(crate) samples: VecDeque<LatencySample>,
    /// The 25th percentile, an estimate of the work of a part: its latency at a replica without a queue.
    pub(crate) p25: Option<Micros>,
    /// The median.
    pub(crate) p50: Option<Micros>,
    /// The 95th percentile.
    pub(crate) p95: Option<Micros>,
    /// The 80th percentile of the most recent samples.
    pub(crate) recent_p80: Option<Micros>,
}

/// An interval in which no replica responded although most of them had attempts in flight.
///
/// Both times are zero as long as no such interval has been observed.
#[derive(Clone, Copy, Default)]
pub(crate) struct GlobalStall {
    /// When the stall began.
    pub(crate) from: Micros,
    /// Latest time at which the stall was observed.
    pub(crate) observed_until: Micros,
}
