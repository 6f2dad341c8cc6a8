//! Set of recently used ids, with bounded memory.

use pinetrestle::interface::Micros;
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};

/// Maximum number of ids in a generation. No further id can be claimed until the end of the window.
const MAX_PER_GENERATION: usize = 65_536;

/// The recently claimed ids, stored as hashes in two generations. A new generation starts with the first
/// query after the end of a window, so an id is remembered for at least one and less than three windows.
#[derive(Default)]
pub(super) struct RecentIds {
    hasher: RandomState,
    current: HashSet<u64>,
    previous: HashSet<u64>,
    /// Time at which the current generation started.
    current_since: Micros,
}

impl RecentIds {
    /// Returns whether an id was claimed within the last window.
    pub(super) fn contains(&self, id: &str) -> bool {
        let hash = self.hasher.hash_one(id);
        self.previous.contains(&hash) || self.current.contains(&hash)
    }

    /// Claims an id. Returns `false` if so many ids are claimed that this is not possible.
    pub(super) fn claim(&mut self, id: &str) -> bool {
        let has_room = self.current.len() < MAX_PER_GENERATION;
        if has_room {
            self.current.insert(self.hasher.hash_one(id));
        }
        has_room
    }

    /// Forgets the ids that were claimed too long ago. An id is remembered for at least `window`.
    pub(super) fn expire(&mut self, now: Micros, window: Micros) {
        let age = now - self.current_since;
        if age >= window {
            self.previous = std::mem::take(&mut self.current);
            if age >= window.mul_f64(2.0) {
                self.previous.clear();
            }
            self.current_since = now;
        }
    }

    /// Forgets a claimed id, because nothing was sent for it.
    pub(super) fn release(&mut self, id: &str) {
        let hash = self.hasher.hash_one(id);
        self.current.remove(&hash);
        self.previous.remove(&hash);
    }

    /// Returns the number of remembered ids.
    pub(super) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }
}
