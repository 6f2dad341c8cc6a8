//! The front node's side of one connection to an index server.
//!
//! A front node sends a part of a query to an index server as an attempt. If the attempt fails or takes too
//! long, the front node may send the same part again as another attempt, to the same or another index server.
//! One call frame can carry several attempts, each for a different part; see [`crate::frames`].
//!
//! [`ConnectionState`] tracks which attempts are in flight, how many bytes of each frame have been written,
//! and which answers arrive after their attempt has ended. The caller transfers the bytes between it and the
//! socket. All times are in microseconds of the caller's clock.

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

/// Identifier of an attempt, assigned by the caller.
pub type AttemptId = u64;

/// Maximum number of cancelled part ids kept to recognize late answers.
const MAX_CANCELLED_IDS: usize = 4096;
/// Maximum number of answered part ids kept to recognize duplicate answers.
const MAX_ANSWERED_IDS: usize = 256;
/// Maximum number of late answers per part, counted over the whole connection. A cancelled part may be
/// answered, and any answer may have a duplicate.
const MAX_LATE_ANSWERS_PER_PART: u64 = 2;

/// The answer to an attempt in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptAnswer {
    /// Id of the attempt.
    pub attempt_id: AttemptId,
    /// Outcome reported by the index server.
    pub outcome: PartOutcome,
    /// Score of the answer.
    pub score: Score,
    /// Value of the answer.
    pub value: String,
}

/// A received answer, including one whose attempt is no longer in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedAnswer<'a> {
    /// Wire id of the part.
    pub id: &'a str,
    /// Outcome reported by the index server.
    pub outcome: PartOutcome,
    /// Whether the attempt had ended before the answer was received.
    pub late: bool,
}

/// A part whose attempt was cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancelledPart {
    /// Wire id of the part.
    pub id: String,
    /// Whether the part was removed from the write queue before the write of its call started. The index
    /// server does not receive such a part.
    pub withdrawn: bool,
}

/// An attempt that was in flight when its connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LostAttempt {
    /// Id of the attempt.
    pub attempt_id: AttemptId,
    /// Whether the call was completely written, so that the index server may have run the part.
    pub written: bool,
}

/// The attempts and calls of a connection that had not been completed when it closed.
#[derive(Debug, Default, PartialEq)]
pub struct ClosedConnection {
    /// Attempts that were in flight, ordered by id. Does not include the attempts in `unsent_calls`.
    pub lost_attempts: Vec<LostAttempt>,
    /// Calls whose write had not started, which may be sent on another connection. Empty if the index server
    /// never answered on this connection; their attempts are then in `lost_attempts`.
    pub unsent_calls: Vec<Vec<OutgoingPart>>,
}

/// State of one connection to an index server.
#[derive(Debug, Default)]
pub struct ConnectionState {
    decoder: FrameDecoder,
    write_queue: WriteQueue,
    /// Attempts in flight, by the wire id of their part.
    attempts: HashMap<String, AttemptId>,
    /// Wire ids of the parts in flight, by attempt.
    part_ids: HashMap<AttemptId, String>,
    /// Ids of the parts cancelled after the write of their call had started. They may still be answered.
    cancelled_ids: RecentIds,
    /// Ids of recently answered parts.
    answered_ids: RecentIds,
    /// Whether an answer to an attempt in flight has been received on this connection.
    has_answered: bool,
    /// Whether `cancelled_ids` has evicted an id. Its late answer can't be told from an answer to a part that
    /// was never sent, so answers with an unknown id are no error from then on.
    has_evicted_cancelled_id: bool,
    /// Number of parts cancelled since bytes were last received.
    cancels_without_reply: u32,
    /// Number of parts queued on this connection.
    queued_parts: u64,
    /// Number of answers received after their attempt had ended.
    pub late_answers: u64,
}

impl ConnectionState {
    /// Creates the state of a new connection that uses the given frame format.
    pub fn new(format: Rc<FrameFormat>) -> ConnectionState {
        ConnectionState {
            decoder: FrameDecoder::new(format.clone()),
            write_queue: WriteQueue::new(format),
            ..ConnectionState::default()
        }
    }

    /// Returns whether a part with this wire id may be sent on this connection.
    ///
    /// Returns false if the id is in flight, if it was cancelled and its answer is outstanding, or if it was
    /// answered recently. A late or duplicate answer could otherwise be matched with the wrong attempt.
    pub fn is_id_available(&self, id: &str) -> bool {
        !self.attempts.contains_key(id) && !self.cancelled_ids.contains(id) && !self.answered_ids.contains(id)
    }

    /// Queues a call with the parts whose id is available
    /// ([`is_id_available`](ConnectionState::is_id_available)). Returns the attempts of the other parts,
    /// which are not sent.
    pub fn queue_call(&mut self, now_us: u64, parts: Vec<OutgoingPart>) -> Vec<AttemptId> {
        let (accepted, refused): (Vec<_>, Vec<_>) =
            parts.into_iter().partition(|part| self.is_id_available(&part.id));
        self.queued_parts += accepted.len() as u64;
        for part in &accepted {
            self.attempts.insert(part.id.clone(), part.attempt_id);
            self.part_ids.insert(part.attempt_id, part.id.clone());
        }
        if !accepted.is_empty() {
            self.write_queue.push_call(now_us, accepted);
        }
        refused.iter().map(|part| part.attempt_id).collect()
    }

    /// Cancels an attempt and returns its part, or `None` if the attempt is not in flight on this connection.
    ///
    /// If the write of its call has not started, the part is withdrawn from the call. Otherwise a cancel
    /// frame is queued if `notify` is true.
    pub fn cancel(&mut self, attempt_id: AttemptId, notify: bool) -> Option<CancelledPart> {
        let id = self.part_ids.get(&attempt_id)?.clone();
        if !self.withdraw_unstarted(|part| part.attempt_id == attempt_id).is_empty() {
            return Some(CancelledPart { id, withdrawn: true });
        }
        self.remove_in_flight(attempt_id);
        self.cancels_without_reply += 1;
        if notify {
            self.write_queue.push_cancel(&id);
        }
        self.has_evicted_cancelled_id |= self.cancelled_ids.insert(&id, MAX_CANCELLED_IDS);
        Some(CancelledPart { id, withdrawn: false })
    }

    /// Withdraws the parts that satisfy `predicate` from all calls whose write has not started, and drops the
    /// calls that have no parts left. Returns the withdrawn attempts.
    pub fn withdraw_unstarted(&mut self, predicate: impl Fn(&OutgoingPart) -> bool) -> Vec<AttemptId> {
        let withdrawn = self.write_queue.withdraw(predicate);
        for attempt_id in &withdrawn {
            self.remove_in_flight(*attempt_id);
        }
        withdrawn
    }

    /// Removes an attempt from the attempts in flight.
    fn remove_in_flight(&mut self, attempt_id: AttemptId) {
        if let Some(id) = self.part_ids.remove(&attempt_id) {
            self.attempts.remove(&id);
        }
        self.write_queue.forget_attempt(attempt_id);
    }

    /// Re-encodes the calls whose write has not started, with the time left as of `now_us`.
    ///
    /// A call may have waited in the queue until the connection was established or until the socket was
    /// writable, or on another connection that has closed.
    pub fn refresh_times_left(&mut self, now_us: u64) {
        self.write_queue.refresh_times_left(now_us);
    }

    /// Returns whether a partially written call has a part whose `start_before_us` has passed.
    ///
    /// Cancelled parts are included, because the index server receives them with the rest of the frame. Only
    /// closing the connection keeps it from running such a part.
    pub fn has_expired_partial_write(&self, now_us: u64) -> bool {
        self.write_queue.has_expired_partial_write(now_us)
    }

    /// Returns the number of queued bytes that have not been written.
    pub fn unwritten_bytes(&self) -> usize {
        self.write_queue.unwritten_bytes()
    }

    /// Returns the number of attempts in flight, including those whose call has not been written.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the earliest time at which more bytes may be written, in microseconds, or `None` if nothing is
    /// queued.
    pub fn next_write_us(&self) -> Option<u64> {
        self.write_queue.next_write_us()
    }

    /// Appends up to `max_slices` slices with the bytes that may be written at `now_us`, for one vectored
    /// write.
    pub fn pending_slices<'a>(&'a self, now_us: u64, slices: &mut Vec<IoSlice<'a>>, max_slices: usize) {
        self.write_queue.pending_slices(now_us, slices, max_slices);
    }

    /// Records that `count` bytes were written, and passes `report` the frames that they start and complete.
    pub fn on_written(&mut self, count: usize, report: impl FnMut(WriteEvent<'_>)) {
        self.write_queue.on_written(count, report);
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.cancels_without_reply = 0;
        self.decoder.feed(bytes);
    }

    /// Returns the next answer to an attempt in flight, or `None` if no such answer has been received
    /// completely. Every answer, including late ones, is passed to `report`.
    ///
    /// # Errors
    /// [`FrameError`] if the index server violates the protocol. The connection can't be used after an error.
    pub fn next_answer(
        &mut self,
        mut report: impl FnMut(ReceivedAnswer<'_>),
    ) -> Result<Option<AttemptAnswer>, FrameError> {
        while let Some(frame) = self.decoder.next_frame()? {
            let Frame::Answer { id, outcome, score, value } = frame else {
                return Err(FrameError::FrameRejected);
            };
            let attempt_id = self.match_answer(&id)?;
            report(ReceivedAnswer { id: &id, outcome, late: attempt_id.is_none() });
            if let Some(attempt_id) = attempt_id {
                return Ok(Some(AttemptAnswer { attempt_id, outcome, score, value }));
            }
        }
        Ok(None)
    }

    /// Removes the attempt that an answer belongs to from the attempts in flight and returns it. For a late
    /// answer, increments `late_answers` and returns `None`.
    fn match_answer(&mut self, id: &str) -> Result<Option<AttemptId>, FrameError> {
        let Some(attempt_id) = self.attempts.get(id).copied() else {
            if !self.cancelled_ids.remove(id)
                && !self.answered_ids.contains(id)
                && !self.has_evicted_cancelled_id
            {
                return Err(FrameError::UnknownPart);
            }
            self.late_answers += 1;
            if self.late_answers > self.queued_parts * MAX_LATE_ANSWERS_PER_PART {
                return Err(FrameError::TooManyAnswers);
            }
            return Ok(None);
        };
        if self.write_queue.has_incomplete_write(attempt_id) {
            // The index server has not received the complete call, so this can't be its answer.
            return Err(FrameError::UnknownPart);
        }
        self.attempts.remove(id);
        self.part_ids.remove(&attempt_id);
        self.answered_ids.insert(id, MAX_ANSWERED_IDS);
        self.has_answered = true;
        Ok(Some(attempt_id))
    }

    /// Returns whether a frame has been received partially.
    pub fn is_mid_frame(&self) -> bool {
        self.decoder.is_mid_frame()
    }

    /// Returns the size in bytes of the frame that has been received partially, if it is known.
    pub fn partial_frame_bytes(&self) -> Option<usize> {
        self.decoder.partial_frame_bytes()
    }

    /// Returns the number of parts cancelled since bytes were last received. A high number suggests that the
    /// connection is open but the index server no longer answers on it.
    pub fn cancels_without_reply(&self) -> u32 {
        self.cancels_without_reply
    }

    /// Returns the number of frames received completely.
    pub fn complete_frames(&self) -> u64 {
        self.decoder.complete_frames
    }

    /// Closes the connection and returns the attempts that were in flight.
    ///
    /// If an answer was received on this connection, the calls whose write had not started are returned
    /// separately, to be sent on another connection: the index server may have closed the connection between
    /// two answers and still be healthy.
    pub fn close(mut self) -> ClosedConnection {
        let mut unsent_calls = self.write_queue.take_unstarted_calls();
        if !self.has_answered {
            unsent_calls.clear();
        }
        for part in unsent_calls.iter().flatten() {
            self.attempts.remove(&part.id);
        }
        let write_queue = &self.write_queue;
        let attempts = self.attempts.values().copied();
        let mut lost_attempts: Vec<LostAttempt> = attempts
            .map(|attempt_id| LostAttempt {
                attempt_id,
                written: !write_queue.has_incomplete_write(attempt_id),
            })
            .collect();
        lost_attempts.sort_unstable();
        ClosedConnection { lost_attempts, unsent_calls }
    }
}
