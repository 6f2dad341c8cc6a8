//! A bounded set of part ids that evicts the oldest id first.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A set of the most recently inserted ids. It stores hashes instead of strings to save memory, because it
/// keeps many ids of which few are looked up.
#[derive(Debug, Default)]
pub(super) struct RecentIds {
    insertion_order: VecDeque<u64>,
    hashes: HashSet<u64>,
}

impl RecentIds {
    /// Inserts an id. Returns true if the set exceeded `capacity` and the oldest id was evicted. A removed id
    /// counts towards the capacity until it is the oldest one.
    pub(super) fn insert(&mut self, id: &str, capacity: usize) -> bool {
        let hash = hash_id(id);
        if !self.hashes.insert(hash) {
            return false;
        }
        self.insertion_order.push_back(hash);
        if self.insertion_order.len() <= capacity {
            return false;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.hashes.remove(&oldest);
        }
        true
    }

    /// Returns whether the set contains the id.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&hash_id(id))
    }

    /// Removes an id. Returns false if the set did not contain it.
    pub(super) fn remove(&mut self, id: &str) -> bool {
        self.hashes.remove(&hash_id(id))
    }
}

fn hash_id(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
