//! The write queue of one connection: frames that wait for the socket, and how far they have been written.

use super::AttemptId;
use crate::frames::{self, CallPart, HEADER_BYTES};
use crate::names::FrameFormat;
use std::collections::{HashSet, VecDeque};
use std::io::IoSlice;
use std::rc::Rc;

/// A queued call states its time left anew after so many microseconds: the resolution of that field.
const DEADLINE_RESOLUTION_US: u64 = 1000;

/// One part of a call to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPart {
    /// The host's number for the attempt.
    pub attempt_id: AttemptId,
    /// The host's number for the query.
    pub query_key: u64,
    /// Id of the part on the wire.
    pub id: String,
    /// Shard that is searched.
    pub shard: u32,
    /// Attributes of the part after its time left, each with a comma before it.
    pub attributes: String,
    /// Text of the query.
    pub text: Rc<str>,
    /// Deadline of the part, in microseconds of the host's clock. The call states the time left to it as of the
    /// moment it is written.
    pub deadline_us: u64,
    /// The write must not start at or after this time, in microseconds of the host's clock.
    pub start_before_us: Option<u64>,
    /// The write must not start before this time, in microseconds of the host's clock.
    pub not_before_us: u64,
}

impl OutgoingPart {
    /// The time at and after which the write must not start, in microseconds of the host's clock.
    pub fn latest_start_us(&self) -> u64 {
        self.start_before_us.map_or(self.deadline_us, |by| by.min(self.deadline_us))
    }
}

/// Progress of a queued frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEvent<'a> {
    /// The first byte of the frame with this part was written.
    Started(&'a OutgoingPart),
    /// The last byte of the frame with this part was written.
    Completed {
        /// Id of the part.
        id: &'a str,
        /// Parts of the frame.
        parts: usize,
    },
    /// The last byte of the frame that cancels the part of this id was written.
    CancelCompleted(&'a str),
}

/// A frame in the queue.
#[derive(Debug)]
struct QueuedFrame {
    bytes: Vec<u8>,
    /// Time as of which the call states the time left, in microseconds of the host's clock.
    encoded_at_us: u64,
    /// The parts of a call; empty for a cancel frame.
    parts: Vec<OutgoingPart>,
}

impl QueuedFrame {
    /// The time before which the write must not start.
    fn not_before_us(&self) -> u64 {
        self.parts.iter().map(|part| part.not_before_us).max().unwrap_or(0)
    }

    /// The id in a cancel frame.
    fn cancelled_id(&self) -> Option<&str> {
        if !self.parts.is_empty() {
            return None;
        }
        std::str::from_utf8(self.bytes.get(HEADER_BYTES..)?).ok()
    }
}

/// The frames that wait to be written, in order.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    format: Rc<FrameFormat>,
    frames: VecDeque<QueuedFrame>,
    /// Bytes of the first frame that are written. A frame that was started is neither changed nor dropped.
    first_frame_written: usize,
    /// Bytes of all frames in the queue.
    queued_bytes: usize,
    /// Attempts whose call is not completely written.
    unwritten: HashSet<AttemptId>,
}

impl WriteQueue {
    /// An empty queue of frames in this format.
    pub(super) fn new(format: Rc<FrameFormat>) -> WriteQueue {
        WriteQueue { format, ..WriteQueue::default() }
    }

    /// Appends a call with these parts.
    pub(super) fn push_call(&mut self, now_us: u64, parts: Vec<OutgoingPart>) {
        self.unwritten.extend(parts.iter().map(|part| part.attempt_id));
        let bytes = encode_call(&self.format, &parts, now_us);
        self.push(QueuedFrame { bytes, encoded_at_us: now_us, parts });
    }

    /// Appends the frame that cancels a part.
    pub(super) fn push_cancel(&mut self, id: &str) {
        let bytes = frames::encode_cancel(&self.format, id);
        self.push(QueuedFrame { bytes, encoded_at_us: 0, parts: Vec::new() });
    }

    fn push(&mut self, frame: QueuedFrame) {
        self.queued_bytes += frame.bytes.len();
        self.frames.push_back(frame);
    }

    /// Whether the call of this attempt is not completely written.
    pub(super) fn is_unwritten(&self, attempt_id: AttemptId) -> bool {
        self.unwritten.contains(&attempt_id)
    }

    /// The attempt has ended: whether its call is written does not matter any more.
    pub(super) fn forget(&mut self, attempt_id: AttemptId) {
        self.unwritten.remove(&attempt_id);
    }

    /// Frames at the front of the queue whose write has started: one or none.
    fn started_frames(&self) -> usize {
        usize::from(self.first_frame_written > 0)
    }

    /// Takes the parts that satisfy `predicate` out of calls whose write has not started, drops calls left without
    /// parts, and returns the attempts of the parts taken.
    pub(super) fn withdraw(&mut self, predicate: impl Fn(&OutgoingPart) -> bool) -> Vec<AttemptId> {
        let mut withdrawn = Vec::new();
        for index in self.started_frames()..self.frames.len() {
            let parts = &mut self.frames[index].parts;
            if !parts.iter().any(&predicate) {
                continue;
            }
            withdrawn.extend(parts.iter().filter(|part| predicate(part)).map(|part| part.attempt_id));
            parts.retain(|part| !predicate(part));
            let encoded_at_us = self.frames[index].encoded_at_us;
            self.encode_again(index, encoded_at_us);
        }
        self.frames.retain(|frame| !frame.bytes.is_empty());
        for attempt_id in &withdrawn {
            self.unwritten.remove(attempt_id);
        }
        withdrawn
    }

    /// Updates the time left in calls whose write has not started.
    pub(super) fn refresh_times_left(&mut self, now_us: u64) {
        for index in self.started_frames()..self.frames.len() {
            let frame = &self.frames[index];
            if !frame.parts.is_empty() && frame.encoded_at_us + DEADLINE_RESOLUTION_US <= now_us {
                self.encode_again(index, now_us);
            }
        }
    }

    /// Encodes a call with its present parts as of a time; a call without parts becomes empty.
    fn encode_again(&mut self, index: usize, now_us: u64) {
        let frame = &mut self.frames[index];
        self.queued_bytes -= frame.bytes.len();
        frame.bytes.clear();
        if !frame.parts.is_empty() {
            frame.bytes = encode_call(&self.format, &frame.parts, now_us);
        }
        frame.encoded_at_us = now_us;
        self.queued_bytes += frame.bytes.len();
    }

    /// Whether a call is partly written and one of its parts must not start any more.
    pub(super) fn has_expired_partial_write(&self, now_us: u64) -> bool {
        let is_expired = |part: &OutgoingPart| part.start_before_us.is_some_and(|by| by <= now_us);
        self.first_frame_written > 0
            && self.frames.front().is_some_and(|frame| frame.parts.iter().any(is_expired))
    }

    /// Bytes in the queue that are not written.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.queued_bytes - self.first_frame_written
    }

    /// When the next bytes may be written, in microseconds of the host's clock; `None` for an empty queue.
    pub(super) fn next_write_us(&self) -> Option<u64> {
        let frame = self.frames.front()?;
        Some(if self.first_frame_written > 0 { 0 } else { frame.not_before_us() })
    }

    /// Appends up to `max_slices` slices of what may be written now: the rest of a started frame, and the frames
    /// after it up to the first that must not start yet.
    pub(super) fn pending_slices<'a>(
        &'a self,
        now_us: u64,
        slices: &mut Vec<IoSlice<'a>>,
        max_slices: usize,
    ) {
        let started = self.frames.iter().take(self.started_frames());
        let startable = |frame: &&QueuedFrame| frame.not_before_us() <= now_us;
        let rest = self.frames.iter().skip(self.started_frames()).take_while(startable);
        let mut offset = self.first_frame_written;
        for frame in started.chain(rest).take(max_slices) {
            slices.push(IoSlice::new(&frame.bytes[offset..]));
            offset = 0;
        }
    }

    /// Accounts for `count` bytes written and reports what they start and complete.
    pub(super) fn on_written(&mut self, count: usize, mut report: impl FnMut(WriteEvent<'_>)) {
        if count == 0 {
            return;
        }
        let written_before = std::mem::replace(&mut self.first_frame_written, 0);
        let mut remaining = written_before + count;
        let mut is_frame_start = written_before == 0;
        while let Some(frame) = self.frames.front().filter(|_| remaining > 0) {
            if is_frame_start {
                frame.parts.iter().for_each(|part| report(WriteEvent::Started(part)));
            }
            if frame.bytes.len() > remaining {
                self.first_frame_written = remaining;
                return;
            }
            remaining -= frame.bytes.len();
            self.complete_first_frame(&mut report);
            is_frame_start = true;
        }
    }

    /// Removes the first frame, which is completely written, and reports it.
    fn complete_first_frame(&mut self, report: &mut impl FnMut(WriteEvent<'_>)) {
        let Some(frame) = self.frames.pop_front() else { return };
        self.queued_bytes -= frame.bytes.len();
        for part in &frame.parts {
            self.unwritten.remove(&part.attempt_id);
            report(WriteEvent::Completed { id: &part.id, parts: frame.parts.len() });
        }
        if let Some(id) = frame.cancelled_id() {
            report(WriteEvent::CancelCompleted(id));
        }
    }

    /// Removes the calls whose write has not started and returns their parts.
    pub(super) fn take_unstarted_calls(&mut self) -> Vec<Vec<OutgoingPart>> {
        let started = self.started_frames();
        let calls = self.frames.drain(..).skip(started).map(|frame| frame.parts);
        calls.filter(|parts| !parts.is_empty()).collect()
    }
}

/// Encodes a call as of a time.
fn encode_call(format: &FrameFormat, parts: &[OutgoingPart], now_us: u64) -> Vec<u8> {
    let parts = parts.iter().map(|part| CallPart {
        id: &part.id,
        shard: part.shard,
        time_left_ms: part.deadline_us.saturating_sub(now_us).div_ceil(1000),
        attributes: &part.attributes,
        text: &part.text,
    });
    frames::encode_call(format, parts)
}
