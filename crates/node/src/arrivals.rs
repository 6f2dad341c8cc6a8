//! When the bytes of a client's connection came, as far as that can be known: a request that waits its turn behind
//! others, in our buffer or in the kernel's, has waited since then, and its client's time runs.
//!
//! In: the end of each read, as the count of bytes of the connection until then, and its moment. Out: the moment at which
//! a byte had come at the latest. Where reads were too many to keep apart, or reading had stopped because enough was
//! buffered, the moment told is the earliest that is possible.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Reads of one connection that are kept apart, beside those of requests that had their turn.
const MOST_READS: usize = 64;

/// One read.
#[derive(Clone, Copy, Debug)]
struct Read {
    /// Bytes of the connection until its end.
    end: u64,
    /// When its bytes had come.
    at: Instant,
}

/// The reads of one connection whose bytes are still to have their turn.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    reads: VecDeque<Read>,
    /// Since when bytes may have waited in the kernel because nothing was read.
    unread_since: Option<Instant>,
}

impl Arrivals {
    /// From now on nothing is read, whatever comes.
    pub(crate) fn stop_reading(&mut self, now: Instant) {
        self.unread_since.get_or_insert(now);
    }

    /// Bytes were read: all that there were, or there may be more. `end` counts the bytes of the connection until their
    /// end, and `at` is the moment at which they may have come, as far as the process ran.
    pub(crate) fn read(&mut self, end: u64, at: Instant, all: bool) {
        let at = self.unread_since.map_or(at, |since| since.min(at));
        if all {
            self.unread_since = None;
        }
        self.reads.push_back(Read { end, at });
        if self.reads.len() > MOST_READS {
            let oldest = self.reads.pop_front();
            if let (Some(oldest), Some(next)) = (oldest, self.reads.front_mut()) {
                next.at = oldest.at;
            }
        }
    }

    /// When the byte before this count had come; none where it was never read. What came before it is forgotten.
    pub(crate) fn arrived(&mut self, end: u64) -> Option<Instant> {
        while self.reads.front().is_some_and(|read| read.end < end) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.at)
    }
}

#[cfg(test)]
#[path = "../tests/inside/arrivals.rs"]
mod tests;
