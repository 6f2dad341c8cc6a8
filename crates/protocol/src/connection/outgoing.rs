//! Write queue of one connection: the frames to be written, and how many of their bytes have been written.

use super::AttemptId;
use crate::frames::{self, CallPart, HEADER_BYTES};
use crate::names::FrameFormat;
use crate::query_text::QueryText;
use std::collections::{HashSet, VecDeque};
use std::io::IoSlice;
use std::iter::repeat;
use std::rc::Rc;

/// Resolution of the time left in a call frame, in microseconds. The time left of a queued call is updated
/// only if this much time has passed since it was computed.
const TIME_LEFT_RESOLUTION_US: u64 = 1000;

/// A part to be sent. All times are in microseconds of the caller's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPart {
    /// Id of the attempt.
    pub attempt_id: AttemptId,
    /// Identifier of the query, assigned by the caller.
    pub query_key: u64,
    /// Wire id of the part.
    pub id: String,
    /// Shard to search.
    pub shard: u32,
    /// Attributes that follow the time left in the call frame, each preceded by a comma.
    pub attributes: String,
    /// Text of the query.
    pub text: QueryText,
    /// Deadline of the part, in microseconds. The call frame contains the time left until the deadline.
    pub deadline_us: u64,
    /// Time from which on the write must not start, in microseconds.
    pub start_before_us: Option<u64>,
    /// Time before which the write must not start, in microseconds.
    pub not_before_us: u64,
}

impl OutgoingPart {
    /// Returns the earlier of `start_before_us` and `deadline_us`, in microseconds. The write must not start
    /// at or after this time.
    pub fn latest_start_us(&self) -> u64 {
        self.start_before_us.map_or(self.deadline_us, |by| by.min(self.deadline_us))
    }
}

/// Write progress of a queued frame. Each event of a call frame is reported once for each of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEvent<'a> {
    /// The first byte of the call frame with this part was written.
    Started(&'a OutgoingPart),
    /// The last byte of a call frame was written.
    Completed {
        /// Wire id of one of the parts in the frame.
        id: &'a str,
        /// Number of parts in the frame.
        parts: usize,
    },
    /// The last byte of a cancel frame was written. Contains the wire id of the cancelled part.
    CancelCompleted(&'a str),
}

/// A frame in the queue. The texts of its parts are shared with all other parts of the query.
#[derive(Debug)]
struct QueuedFrame {
    /// For a call, the bytes before the text of each part; for a cancel frame, its bytes.
    segments: Vec<Vec<u8>>,
    /// Time from which the time left in the call was computed, in microseconds. 0 for a cancel frame.
    encoded_at_us: u64,
    /// The parts of a call; empty for a cancel frame.
    parts: Vec<OutgoingPart>,
}

impl QueuedFrame {
    /// Returns the bytes of the frame, in pieces that are not empty.
    fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        let texts = self.parts.iter().map(|part| part.text.as_bytes()).chain(repeat(&[][..]));
        let pieces = self.segments.iter().zip(texts).flat_map(|(segment, text)| [&segment[..], text]);
        pieces.filter(|piece| !piece.is_empty())
    }

    /// Returns the size of the frame in bytes. A call without parts has no bytes.
    fn len(&self) -> usize {
        self.pieces().map(<[u8]>::len).sum()
    }

    /// Returns the time before which the write must not start, in microseconds: the latest of all its parts.
    fn not_before_us(&self) -> u64 {
        self.parts.iter().map(|part| part.not_before_us).max().unwrap_or(0)
    }

    /// Returns the wire id of the cancelled part, or `None` for a call frame.
    fn cancelled_id(&self) -> Option<&str> {
        if !self.parts.is_empty() {
            return None;
        }
        std::str::from_utf8(self.segments.first()?.get(HEADER_BYTES..)?).ok()
    }
}

/// Frames to be written to one connection, in order.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    format: Rc<FrameFormat>,
    frames: VecDeque<QueuedFrame>,
    /// Number of bytes of the first frame that have been written. A frame whose write has started must not be
    /// changed or dropped, because its length and first bytes have been sent.
    first_frame_written_bytes: usize,
    /// Total size of the frames in the queue in bytes, including the written bytes of the first frame.
    queued_bytes: usize,
    /// Attempts whose call has not been completely written.
    incomplete_writes: HashSet<AttemptId>,
}

impl WriteQueue {
    /// Creates an empty queue of frames in the given format.
    pub(super) fn new(format: Rc<FrameFormat>) -> WriteQueue {
        WriteQueue { format, ..WriteQueue::default() }
    }

    /// Appends a call frame with the given parts.
    pub(super) fn push_call(&mut self, now_us: u64, parts: Vec<OutgoingPart>) {
        self.incomplete_writes.extend(parts.iter().map(|part| part.attempt_id));
        let segments = encode_call_lines(&self.format, &parts, now_us);
        self.push(QueuedFrame { segments, encoded_at_us: now_us, parts });
    }

    /// Appends a cancel frame for the part with the given wire id.
    pub(super) fn push_cancel(&mut self, id: &str) {
        let segments = vec![frames::encode_cancel(&self.format, id)];
        self.push(QueuedFrame { segments, encoded_at_us: 0, parts: Vec::new() });
    }

    fn push(&mut self, frame: QueuedFrame) {
        self.queued_bytes += frame.len();
        self.frames.push_back(frame);
    }

    /// Returns whether the call of this attempt has not been completely written.
    pub(super) fn has_incomplete_write(&self, attempt_id: AttemptId) -> bool {
        self.incomplete_writes.contains(&attempt_id)
    }

    /// Stops tracking whether the call of this attempt has been written, because the attempt has ended.
    pub(super) fn forget_attempt(&mut self, attempt_id: AttemptId) {
        self.incomplete_writes.remove(&attempt_id);
    }

    /// Returns the number of frames whose write has started but is not complete: 0 or 1.
    fn started_frame_count(&self) -> usize {
        usize::from(self.first_frame_written_bytes > 0)
    }

    /// Removes the parts that satisfy `predicate` from all calls whose write has not started, drops the calls
    /// that have no parts left, and returns the attempts of the removed parts.
    pub(super) fn withdraw(&mut self, predicate: impl Fn(&OutgoingPart) -> bool) -> Vec<AttemptId> {
        let mut withdrawn = Vec::new();
        for index in self.started_frame_count()..self.frames.len() {
            let parts = &self.frames[index].parts;
            if !parts.iter().any(&predicate) {
                continue;
            }
            withdrawn.extend(parts.iter().filter(|part| predicate(part)).map(|part| part.attempt_id));
            let encoded_at_us = self.frames[index].encoded_at_us;
            self.reencode_call(index, encoded_at_us, |parts| parts.retain(|part| !predicate(part)));
        }
        self.frames.retain(|frame| !frame.segments.is_empty());
        for attempt_id in &withdrawn {
            self.incomplete_writes.remove(attempt_id);
        }
        withdrawn
    }

    /// Re-encodes the calls whose write has not started, with the time left as of `now_us`.
    pub(super) fn refresh_times_left(&mut self, now_us: u64) {
        for index in self.started_frame_count()..self.frames.len() {
            let frame = &self.frames[index];
            if !frame.parts.is_empty() && frame.encoded_at_us + TIME_LEFT_RESOLUTION_US <= now_us {
                self.reencode_call(index, now_us, |_| {});
            }
        }
    }

    /// Re-encodes the call at `index` with its parts as edited by `edit`, and with the time left as of
    /// `now_us`. A call without parts has no bytes.
    fn reencode_call(&mut self, index: usize, now_us: u64, edit: impl FnOnce(&mut Vec<OutgoingPart>)) {
        let frame = &mut self.frames[index];
        self.queued_bytes -= frame.len();
        edit(&mut frame.parts);
        frame.segments = encode_call_lines(&self.format, &frame.parts, now_us);
        frame.encoded_at_us = now_us;
        self.queued_bytes += frame.len();
    }

    /// Returns whether a partially written call has a part whose `start_before_us` has passed.
    pub(super) fn has_expired_partial_write(&self, now_us: u64) -> bool {
        let is_expired = |part: &OutgoingPart| part.start_before_us.is_some_and(|by| by <= now_us);
        self.first_frame_written_bytes > 0
            && self.frames.front().is_some_and(|frame| frame.parts.iter().any(is_expired))
    }

    /// Returns the number of queued bytes that have not been written.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.queued_bytes - self.first_frame_written_bytes
    }

    /// Returns the earliest time at which more bytes may be written, in microseconds, or `None` if the queue
    /// is empty. The time is 0 for a frame whose write has started.
    pub(super) fn next_write_us(&self) -> Option<u64> {
        let frame = self.frames.front()?;
        Some(if self.first_frame_written_bytes > 0 { 0 } else { frame.not_before_us() })
    }

    /// Appends up to `max_slices` slices with the bytes that may be written at `now_us`: the remaining bytes
    /// of a partially written frame, and the following frames up to the first one whose write must not start
    /// yet.
    pub(super) fn pending_slices<'a>(
        &'a self,
        now_us: u64,
        slices: &mut Vec<IoSlice<'a>>,
        max_slices: usize,
    ) {
        let started = self.frames.iter().take(self.started_frame_count());
        let may_start = |frame: &&QueuedFrame| frame.not_before_us() <= now_us;
        let startable = self.frames.iter().skip(self.started_frame_count()).take_while(may_start);
        let mut written = self.first_frame_written_bytes;
        for piece in started.chain(startable).flat_map(QueuedFrame::pieces) {
            if slices.len() >= max_slices {
                return;
            }
            let skipped = written.min(piece.len());
            written -= skipped;
            if skipped < piece.len() {
                slices.push(IoSlice::new(&piece[skipped..]));
            }
        }
    }

    /// Records that `count` bytes were written, and passes `report` the frames that they start and complete.
    pub(super) fn on_written(&mut self, count: usize, mut report: impl FnMut(WriteEvent<'_>)) {
        if count == 0 {
            return;
        }
        let written_before = std::mem::replace(&mut self.first_frame_written_bytes, 0);
        let mut remaining = written_before + count;
        let mut is_frame_start = written_before == 0;
        while let Some(frame) = self.frames.front().filter(|_| remaining > 0) {
            if is_frame_start {
                frame.parts.iter().for_each(|part| report(WriteEvent::Started(part)));
            }
            let frame_bytes = frame.len();
            if frame_bytes > remaining {
                self.first_frame_written_bytes = remaining;
                return;
            }
            remaining -= frame_bytes;
            self.complete_first_frame(&mut report);
            is_frame_start = true;
        }
    }

    /// Removes the first frame, which has been completely written, and reports its completion.
    fn complete_first_frame(&mut self, report: &mut impl FnMut(WriteEvent<'_>)) {
        let Some(frame) = self.frames.pop_front() else { return };
        self.queued_bytes -= frame.len();
        for part in &frame.parts {
            self.incomplete_writes.remove(&part.attempt_id);
            report(WriteEvent::Completed { id: &part.id, parts: frame.parts.len() });
        }
        if let Some(id) = frame.cancelled_id() {
            report(WriteEvent::CancelCompleted(id));
        }
    }

    /// Empties the queue and returns the parts of the calls whose write has not started.
    pub(super) fn take_unstarted_calls(&mut self) -> Vec<Vec<OutgoingPart>> {
        let started = self.started_frame_count();
        let calls = self.frames.drain(..).skip(started).map(|frame| frame.parts);
        calls.filter(|parts| !parts.is_empty()).collect()
    }
}

/// Encodes a call frame without the texts, with the time left as of `now_us`, rounded up to whole milliseconds.
fn encode_call_lines(format: &FrameFormat, parts: &[OutgoingPart], now_us: u64) -> Vec<Vec<u8>> {
    let parts = parts.iter().map(|part| CallPart {
        id: &part.id,
        shard: part.shard,
        time_left_ms: part.deadline_us.saturating_sub(now_us).div_ceil(1000),
        attributes: &part.attributes,
        text: &part.text,
    });
    frames::encode_call_lines(format, parts)
}
