//! The times at which the bytes of a client connection were received, as far as they can be known.
//!
//! The deadline of a client's request runs at the latest from the time at which the last byte of the request
//! was received. A pipelined request may wait behind earlier requests after that time, in the receive buffer
//! of the connection or in the kernel. Therefore each read is stored with the time at which its bytes may
//! have been received and with the number of bytes read from the connection so far. The earliest possible
//! time is used where the exact time is not known: where too many reads are stored, and where reading was
//! suspended because the receive buffer was full.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Maximum number of stored reads of one connection. Beyond this the two oldest reads are merged.
const MAX_READS: usize = 64;

/// One read from the socket.
#[derive(Clone, Copy, Debug)]
struct Read {
    /// Bytes read from the connection up to the end of this read.
    end_offset: u64,
    /// The time by which the bytes of this read had been received.
    received_at: Instant,
}

/// The reads of one connection whose bytes have not been processed yet, oldest first.
#[derive(Debug, Default)]
pub(super) struct ReceiveTimes {
    reads: VecDeque<Read>,
    /// The time since which received bytes may have waited in the kernel because reading was suspended.
    unread_since: Option<Instant>,
}

impl ReceiveTimes {
    /// Records that reading is suspended from `now` until the next [`ReceiveTimes::record_read`], although
    /// bytes may be received in the meantime.
    pub(super) fn suspend_reading(&mut self, now: Instant) {
        self.unread_since.get_or_insert(now);
    }

    /// Records a read.
    ///
    /// `end_offset` is the number of bytes read from the connection up to the end of this read. `received_at`
    /// is the earliest time at which its bytes may have been received, not counting suspended reading.
    /// `drained` is `true` if no bytes are left in the kernel's receive buffer.
    pub(super) fn record_read(&mut self, end_offset: u64, received_at: Instant, drained: bool) {
        let received_at = self.unread_since.map_or(received_at, |since| since.min(received_at));
        if drained {
            self.unread_since = None;
        }
        self.reads.push_back(Read { end_offset, received_at });
        if self.reads.len() > MAX_READS {
            self.merge_oldest();
        }
    }

    /// Merges the two oldest reads. The merged read keeps the earlier time.
    fn merge_oldest(&mut self) {
        let oldest = self.reads.pop_front();
        if let (Some(oldest), Some(next)) = (oldest, self.reads.front_mut()) {
            next.received_at = oldest.received_at;
        }
    }

    /// Returns the time by which the first `end_offset` bytes of the connection had been received, or `None`
    /// if fewer bytes have been read. Removes the reads that end before `end_offset`.
    pub(super) fn received_by(&mut self, end_offset: u64) -> Option<Instant> {
        while self.reads.front().is_some_and(|read| read.end_offset < end_offset) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.received_at)
    }
}

#[cfg(test)]
#[path = "../../tests/inside/receive_times.rs"]
mod tests;
