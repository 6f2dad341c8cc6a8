//! Ids that were used a short time ago, in bounded memory.

use pinetrestle::interface::Micros;
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};

/// The most ids of one generation; where more come within a span, the span is cut short.
const MAX_PER_GENERATION: usize = 8192;

/// The ids claimed within the latest span, as hashes in two generations: an id is remembered for one span at least and
/// two at most.
#[derive(Default)]
pub(super) struct RecentIds {
    hasher: RandomState,
    current: HashSet<u64>,
    previous: HashSet<u64>,
    /// When the current generation began.
    current_since: Micros,
}

impl RecentIds {
    /// Claims an id; false if it was claimed within `span`.
    pub(super) fn claim(&mut self, now: Micros, span: Micros, id: &str) -> bool {
        let age = now - self.current_since;
        if age >= span || self.current.len() >= MAX_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
            if age >= span.mul_f64(2.0) {
                self.previous.clear();
            }
            self.current_since = now;
        }
        let hash = self.hasher.hash_one(id);
        !self.previous.contains(&hash) && self.current.insert(hash)
    }

    /// The number of ids remembered.
    pub(super) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }
}
