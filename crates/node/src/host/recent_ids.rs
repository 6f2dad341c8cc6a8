//! Set of recently used ids, with bounded memory.

use pinetrestle::interface::Micros;
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};

/// Maximum number of ids in a generation. If more ids are claimed within a window, ids are forgotten before
/// the end of the window.
const MAX_PER_GENERATION: usize = 8192;

/// The recently claimed ids, stored as hashes in two generations. A new generation starts with the first
/// claim after the end of a window, so an id is remembered for at least one and less than three windows,
/// unless a generation has reached [`MAX_PER_GENERATION`].
#[derive(Default)]
pub(super) struct RecentIds {
    hasher: RandomState,
    current: HashSet<u64>,
    previous: HashSet<u64>,
    /// Time at which the current generation started.
    current_since: Micros,
}

impl RecentIds {
    /// Claims an id. Returns `false` if it was claimed within the last `window`.
    pub(super) fn claim(&mut self, now: Micros, window: Micros, id: &str) -> bool {
        let age = now - self.current_since;
        if age >= window || self.current.len() >= MAX_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
            if age >= window.mul_f64(2.0) {
                self.previous.clear();
            }
            self.current_since = now;
        }
        let hash = self.hasher.hash_one(id);
        !self.previous.contains(&hash) && self.current.insert(hash)
    }

    /// Returns the number of remembered ids.
    pub(super) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }
}
