//! The front node's side of one connection to an index server.
//!
//! [`ConnectionState`] tracks which parts are in flight, how far their frames are written and which answers arrive
//! after their attempt has ended. The caller moves bytes between it and the socket. Times are in microseconds of the
//! host's clock.

mod outgoing;
mod recent_ids;

use crate::frames::{Frame, FrameDecoder, FrameError, PartOutcome, Score};
use crate::names::FrameFormat;
use outgoing::WriteQueue;
pub use outgoing::{OutgoingPart, WriteEvent};
use recent_ids::RecentIds;
use std::collections::HashMap;
use std::io::IoSlice;
use std::rc::Rc;

/// The host's number for one attempt.
pub type AttemptId = u64;

/// Cancelled parts remembered until their late answers arrive.
const MAX_CANCELLED_IDS: usize = 4096;
/// Answered parts remembered to recognise a duplicate answer.
const MAX_ANSWERED_IDS: usize = 256;

/// The answer to an attempt in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptAnswer {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// How the part ended.
    pub outcome: PartOutcome,
    /// Its score.
    pub score: Score,
    /// Its value.
    pub value: String,
}

/// An answer as it was received, whether its attempt is in flight or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedAnswer<'a> {
    /// Id of the part.
    pub id: &'a str,
    /// How the index server ended it.
    pub outcome: PartOutcome,
    /// The attempt had ended before.
    pub late: bool,
}

/// A part that was cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancelledPart {
    /// Id of the part on the wire.
    pub id: String,
    /// The part was withdrawn before its write started: the index server never sees it.
    pub withdrawn: bool,
}

/// An attempt that was in flight when its connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LostAttempt {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// Its call was completely written: the index server may have run the part.
    pub written: bool,
}

/// What a connection leaves behind when it closes.
#[derive(Debug, Default, PartialEq)]
pub struct ClosedConnection {
    /// Attempts that were in flight, by ascending id.
    pub lost_attempts: Vec<LostAttempt>,
    /// Calls whose write had not started, on a connection that had answered before. They may go to another one.
    pub unsent_calls: Vec<Vec<OutgoingPart>>,
}

/// State of one connection to an index server.
#[derive(Debug, Default)]
pub struct ConnectionState {
    received: FrameDecoder,
    queue: WriteQueue,
    /// Attempts in flight by part id.
    attempts: HashMap<String, AttemptId>,
    /// Part ids of the attempts in flight.
    part_ids: HashMap<AttemptId, String>,
    /// Parts cancelled after their write had started: an answer may still come.
    cancelled: RecentIds,
    /// Parts answered recently.
    answered: RecentIds,
    /// An answer was received on this connection.
    has_answered: bool,
    /// A cancelled id was evicted: an unknown answer is no fault any more.
    evicted_cancelled: bool,
    /// Parts cancelled since bytes were last received.
    cancels_without_reply: u32,
    /// Answers received after their attempt had ended.
    pub late_answers: u64,
}

impl ConnectionState {
    /// A new connection to an index server whose frames have this format.
    pub fn new(format: Rc<FrameFormat>) -> ConnectionState {
        ConnectionState {
            received: FrameDecoder::new(format.clone()),
            queue: WriteQueue::new(format),
            ..ConnectionState::default()
        }
    }

    /// Whether a part of this id may be sent here: it is not in flight, was not cancelled with its answer still to
    /// come, and was not answered recently, so that no late or duplicate answer is taken for that of another attempt.
    pub fn is_id_available(&self, id: &str) -> bool {
        !self.attempts.contains_key(id) && !self.cancelled.contains(id) && !self.answered.contains(id)
    }

    /// Queues a call. Parts whose id is not available are left out; returns their attempts.
    pub fn queue_call(&mut self, now_us: u64, parts: Vec<OutgoingPart>) -> Vec<AttemptId> {
        let (accepted, refused): (Vec<_>, Vec<_>) =
            parts.into_iter().partition(|part| self.is_id_available(&part.id));
        for part in &accepted {
            self.attempts.insert(part.id.clone(), part.attempt_id);
            self.part_ids.insert(part.attempt_id, part.id.clone());
        }
        if !accepted.is_empty() {
            self.queue.push_call(now_us, accepted);
        }
        refused.iter().map(|part| part.attempt_id).collect()
    }

    /// Cancels an attempt. If the write of its call has not started, the part is withdrawn; otherwise a cancel frame
    /// is queued where `notify` allows it. Returns the part, or `None` if the attempt is not in flight here.
    pub fn cancel(&mut self, attempt_id: AttemptId, notify: bool) -> Option<CancelledPart> {
        let id = self.part_ids.get(&attempt_id)?.clone();
        if !self.withdraw_unstarted(|part| part.attempt_id == attempt_id).is_empty() {
            return Some(CancelledPart { id, withdrawn: true });
        }
        self.forget(attempt_id);
        self.cancels_without_reply += 1;
        if notify {
            self.queue.push_cancel(&id);
        }
        self.evicted_cancelled |= self.cancelled.insert(&id, MAX_CANCELLED_IDS);
        Some(CancelledPart { id, withdrawn: false })
    }

    /// Withdraws the parts that satisfy `predicate` from calls whose write has not started; calls left without parts
    /// are dropped. Returns the attempts withdrawn.
    pub fn withdraw_unstarted(&mut self, predicate: impl Fn(&OutgoingPart) -> bool) -> Vec<AttemptId> {
        let withdrawn = self.queue.withdraw(predicate);
        for attempt_id in &withdrawn {
            self.forget(*attempt_id);
        }
        withdrawn
    }

    fn forget(&mut self, attempt_id: AttemptId) {
        if let Some(id) = self.part_ids.remove(&attempt_id) {
            self.attempts.remove(&id);
        }
        self.queue.forget(attempt_id);
    }

    /// Updates the time left in calls whose write has not started: they may have waited since they were queued, for
    /// the connection, for room on it, or on another one that has closed.
    pub fn refresh_times_left(&mut self, now_us: u64) {
        self.queue.refresh_times_left(now_us);
    }

    /// Whether a call is partly written and has a part, cancelled or not, that must not start any more. Only closing
    /// the connection keeps the index server from running that part.
    pub fn has_expired_partial_write(&self, now_us: u64) -> bool {
        self.queue.has_expired_partial_write(now_us)
    }

    /// Queued bytes that are not written.
    pub fn unwritten_bytes(&self) -> usize {
        self.queue.unwritten_bytes()
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// When the next bytes may be written, in microseconds of the host's clock; `None` if nothing is queued.
    pub fn next_write_us(&self) -> Option<u64> {
        self.queue.next_write_us()
    }

    /// Appends up to `max_slices` slices of what may be written now, for one vectored write.
    pub fn pending_slices<'a>(&'a self, now_us: u64, slices: &mut Vec<IoSlice<'a>>, max_slices: usize) {
        self.queue.pending_slices(now_us, slices, max_slices);
    }

    /// Accounts for `count` bytes written and reports what they start and complete.
    pub fn on_written(&mut self, count: usize, report: impl FnMut(WriteEvent<'_>)) {
        self.queue.on_written(count, report);
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.cancels_without_reply = 0;
        self.received.feed(bytes);
    }

    /// Returns the next answer to an attempt in flight, or `None` until one is complete; reports every answer read.
    ///
    /// # Errors
    /// [`FrameError`]; the connection can't be used any further.
    pub fn next_answer(
        &mut self,
        mut report: impl FnMut(ReceivedAnswer<'_>),
    ) -> Result<Option<AttemptAnswer>, FrameError> {
        while let Some(frame) = self.received.next_frame()? {
            let Frame::Answer { id, outcome, score, value } = frame else {
                return Err(FrameError::FrameRejected);
            };
            let attempt_id = self.accept_answer(&id)?;
            report(ReceivedAnswer { id: &id, outcome, late: attempt_id.is_none() });
            if let Some(attempt_id) = attempt_id {
                return Ok(Some(AttemptAnswer { attempt_id, outcome, score, value }));
            }
        }
        Ok(None)
    }

    /// Matches an answer with its attempt; `None` for a late answer, which is counted.
    fn accept_answer(&mut self, id: &str) -> Result<Option<AttemptId>, FrameError> {
        let Some(attempt_id) = self.attempts.get(id).copied() else {
            if !self.cancelled.remove(id) && !self.answered.contains(id) && !self.evicted_cancelled {
                return Err(FrameError::UnknownPart);
            }
            self.late_answers += 1;
            return Ok(None);
        };
        if self.queue.is_unwritten(attempt_id) {
            // No index server can answer a call that it has not received completely.
            return Err(FrameError::UnknownPart);
        }
        self.attempts.remove(id);
        self.part_ids.remove(&attempt_id);
        self.answered.insert(id, MAX_ANSWERED_IDS);
        self.has_answered = true;
        Ok(Some(attempt_id))
    }

    /// Whether part of a frame has been received and its end has not.
    pub fn is_mid_frame(&self) -> bool {
        self.received.is_mid_frame()
    }

    /// Parts cancelled since bytes were last received. A high count suggests a connection that is open but dead.
    pub fn cancels_without_reply(&self) -> u32 {
        self.cancels_without_reply
    }

    /// Frames received completely.
    pub fn complete_frames(&self) -> u64 {
        self.received.complete_frames
    }

    /// Closes the connection and returns what was in flight. If it had answered before, as when an index server
    /// closes it between two answers, calls whose write had not started are returned to be sent elsewhere.
    pub fn close(mut self) -> ClosedConnection {
        let mut unsent_calls = self.queue.take_unstarted_calls();
        if !self.has_answered {
            unsent_calls.clear();
        }
        for part in unsent_calls.iter().flatten() {
            self.attempts.remove(&part.id);
        }
        let queue = &self.queue;
        let attempts = self.attempts.values().copied();
        let mut lost_attempts: Vec<LostAttempt> = attempts
            .map(|attempt_id| LostAttempt { attempt_id, written: !queue.is_unwritten(attempt_id) })
            .collect();
        lost_attempts.sort_unstable();
        ClosedConnection { lost_attempts, unsent_calls }
    }
}
