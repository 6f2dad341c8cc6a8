//! Digest of the actions of a front node.

use crate::recorded_form::recorded_form;
use pinetrestle::interface::Action;
use std::collections::BTreeMap;

/// FNV-1a, 64 bits: stable across Rust releases, unlike the standard library's hasher.
struct Fnv(u64);

impl Fnv {
    fn new() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 ^= u64::from(*byte);
            self.0 = self.0.wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Summary of a run: a hash over the recorded form of all action batches, and the number of actions of each
/// kind.
#[derive(Debug, PartialEq, Eq)]
pub struct Digest {
    pub hash: u64,
    /// Number of batches of events.
    pub batches: u64,
    pub counts: BTreeMap<&'static str, u64>,
}

/// Computes a [`Digest`] from batches of actions.
pub struct DigestBuilder {
    fnv: Fnv,
    batches: u64,
    counts: BTreeMap<&'static str, u64>,
}

impl DigestBuilder {
    pub fn new() -> DigestBuilder {
        DigestBuilder { fnv: Fnv::new(), batches: 0, counts: BTreeMap::new() }
    }

    /// Adds the actions of one batch.
    pub fn add(&mut self, actions: &[Action]) {
        self.fnv.write(recorded_form(actions).as_bytes());
        self.batches += 1;
        for action in actions {
            *self.counts.entry(kind(action)).or_insert(0) += 1;
        }
    }

    pub fn finish(self) -> Digest {
        Digest { hash: self.fnv.0, batches: self.batches, counts: self.counts }
    }
}

/// Returns the name of an action's kind, as used in the recorded counts.
fn kind(action: &Action) -> &'static str {
    match action {
        Action::Attempt { .. } => "attempt",
        Action::Cancel { .. } => "cancel",
        Action::Answer { .. } => "answer",
        Action::Reject { .. } => "reject",
        Action::Fail { .. } => "fail",
        Action::SetTimer(_) => "set_timer",
        Action::WatchEndpointList => "watch_endpoint_list",
        Action::Log(_) => "log",
    }
}
