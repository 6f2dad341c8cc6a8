//! Encoder and decoder for the frames exchanged by front nodes and index servers.
//!
//! A frame consists of a four-byte length, a type byte and a payload. The length counts the type byte and the
//! payload. [`FrameFormat`] sets the byte order of the length and the values of the type byte.
//!
//! A part is the share of a query that searches one shard. A call is the frame that carries one or more parts
//! to an index server; the index server answers each part separately.
//!
//! The payload depends on the type of the frame:
//!
//! * Call, sent by front nodes: for each part, the line `ID SHARD d=MILLISECONDS[,ATTRIBUTE...] TEXT_BYTES`,
//!   followed by the query text of `TEXT_BYTES` bytes. `MILLISECONDS` is the time left until the deadline of
//!   the part.
//! * Cancel, sent by front nodes: the id of a part.
//! * Answer, sent by index servers: the line `ID OUTCOME SCORE REPORT`, followed by the value up to the end
//!   of the frame. `REPORT` is a load report.
//! * Reject, sent by index servers after a frame that they could not process: a diagnostic text.

mod following_bytes;

use crate::names::{FrameFormat, LENGTH_BYTES};
use following_bytes::{is_text_byte, FollowingBytes};
use std::rc::Rc;

/// Maximum size of a frame in bytes, excluding its length field.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Size of the frame header in bytes: the length field and the type byte.
pub(crate) const HEADER_BYTES: usize = LENGTH_BYTES + 1;
/// Maximum length of the line in an answer frame (id, outcome, score and load report), in bytes.
const MAX_ANSWER_LINE_BYTES: usize = 4096;
/// Maximum capacity in bytes of an empty receive buffer.
const IDLE_BUFFER_BYTES: usize = 16 * 1024;
/// Exclusive upper bound for the magnitude of a score that can't be parsed as an integer.
const MAX_FRACTIONAL_SCORE: f64 = 1e30;

/// An invalid or unexpected frame from an index server. The connection can't be used after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame length is 0 or above [`MAX_FRAME_BYTES`].
    #[error("frame length is 0 or above {MAX_FRAME_BYTES} bytes")]
    InvalidLength,
    /// The frame of an answer is followed by text, which may be the rest of its value: its length is too
    /// small.
    #[error("frame length is smaller than the answer")]
    LengthTooSmall,
    /// The type byte is neither that of an answer nor that of a reject frame.
    #[error("unknown frame type")]
    UnknownType,
    /// The line of an answer frame is malformed or too long.
    #[error("answer line is malformed or longer than {MAX_ANSWER_LINE_BYTES} bytes")]
    MalformedAnswerLine,
    /// The value of an answer is not UTF-8, or contains a control character other than tab, CR and LF.
    #[error("answer value is not UTF-8 or contains control characters")]
    InvalidAnswerValue,
    /// The answer belongs to a part that was not sent on this connection.
    #[error("answer to a part that was not sent on this connection")]
    UnknownPart,
    /// More late or duplicate answers were received than the parts sent on this connection can have.
    #[error("more late answers than the parts sent on this connection can have")]
    TooManyAnswers,
    /// The index server could not process a frame that it received.
    #[error("index server rejected a frame")]
    FrameRejected,
}

impl FrameError {
    /// All variants.
    pub const ALL: &'static [FrameError] = &[
        FrameError::InvalidLength,
        FrameError::LengthTooSmall,
        FrameError::UnknownType,
        FrameError::MalformedAnswerLine,
        FrameError::InvalidAnswerValue,
        FrameError::UnknownPart,
        FrameError::TooManyAnswers,
        FrameError::FrameRejected,
    ];

    /// Returns the stable error code used in counters and log lines.
    pub fn code(self) -> &'static str {
        match self {
            FrameError::InvalidLength => "bad_frame_length",
            FrameError::LengthTooSmall => "short_frame_length",
            FrameError::UnknownType => "bad_frame_letter",
            FrameError::MalformedAnswerLine => "bad_frame_line",
            FrameError::InvalidAnswerValue => "bad_frame_value",
            FrameError::UnknownPart => "unknown_part",
            FrameError::TooManyAnswers => "too_many_answers",
            FrameError::FrameRejected => "frame_rejected",
        }
    }
}

/// Outcome of a part, as reported by the index server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// The part succeeded.
    Served,
    /// The part failed.
    Error,
    /// The index server rejected the part without running it.
    Rejected,
}

/// Score of an answer, as an integer part and a fraction in `0.0..1.0`.
///
/// An `f64` alone can't represent all 64-bit integers; the separate integer part lets them compare exactly.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Score(
    /// The score rounded down to an integer.
    pub i128,
    /// The difference between the score and that integer.
    pub f64,
);

impl Score {
    /// Parses the score field of an answer line. A `-` (no score) gives the score 0.
    fn parse(field: &str) -> Option<Score> {
        if field == "-" {
            return Some(Score::default());
        }
        if let Ok(integer) = field.parse::<i128>() {
            return Some(Score(integer, 0.0));
        }
        let is_in_range = |value: &f64| value.is_finite() && value.abs() < MAX_FRACTIONAL_SCORE;
        let value = field.parse::<f64>().ok().filter(is_in_range)?;
        Some(Score(value.floor() as i128, value - value.floor()))
    }
}

/// A frame received from an index server.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// The answer to a part.
    Answer {
        /// Wire id of the part, as built by [`part_id`].
        id: String,
        /// Outcome of the part.
        outcome: PartOutcome,
        /// Score of the answer.
        score: Score,
        /// Value of the answer.
        value: String,
    },
    /// The index server could not process a frame that it received. Contains its diagnostic text.
    Rejected(String),
}

/// One part of a call frame.
#[derive(Clone, Copy, Debug)]
pub struct CallPart<'a> {
    /// Wire id of the part, as built by [`part_id`].
    pub id: &'a str,
    /// Shard to search.
    pub shard: u32,
    /// Time left until the deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Attributes that follow the time left, each preceded by a comma: [`idempotency_key_attribute`] and
    /// [`second_step_attributes`].
    pub attributes: &'a str,
    /// Text of the query.
    pub text: &'a str,
}

/// Encodes the header of a frame: its length and its type byte.
fn encode_header(format: &FrameFormat, frame_type: u8, payload_bytes: usize) -> Vec<u8> {
    let length = payload_bytes as u32 + 1;
    let length = if format.little_endian { length.to_le_bytes() } else { length.to_be_bytes() };
    [&length[..], &[frame_type]].concat()
}

/// Encodes a call frame that carries the given parts, without the texts of the query. Returns for each part the
/// bytes before its text: its line and, for the first part, the header of the frame.
///
/// The texts are left out because all parts of a query share one text, which may be long.
pub fn encode_call_lines<'a>(
    format: &FrameFormat,
    parts: impl Iterator<Item = CallPart<'a>>,
) -> Vec<Vec<u8>> {
    let mut payload_bytes = 0;
    let mut lines: Vec<Vec<u8>> = Vec::new();
    for part in parts {
        let CallPart { id, shard, time_left_ms, attributes, text } = part;
        let line = format!("{id} {shard} d={time_left_ms}{attributes} {}\n", text.len());
        payload_bytes += line.len() + text.len();
        lines.push(line.into_bytes());
    }
    if let Some(first) = lines.first_mut() {
        let header = encode_header(format, format.call, payload_bytes);
        first.splice(..0, header);
    }
    lines
}

/// Encodes a cancel frame for the part with the given wire id.
pub fn encode_cancel(format: &FrameFormat, id: &str) -> Vec<u8> {
    let mut bytes = encode_header(format, format.cancel, id.len());
    bytes.extend_from_slice(id.as_bytes());
    bytes
}

/// Returns the attribute that carries the idempotency key of a query. Index servers recognize retries by this
/// key.
pub fn idempotency_key_attribute(key: &str) -> String {
    format!(",k={key}")
}

/// Returns the attributes of a part in the second step of a two-step query: the shards whose first-step
/// answers the part builds on, and whether those answers are complete.
pub fn second_step_attributes(from: &[u32], is_complete: bool) -> String {
    let shards: Vec<String> = from.iter().map(u32::to_string).collect();
    format!(",from={},whole={}", shards.join("+"), u8::from(is_complete))
}

/// Returns the wire id of a part: the query id, a dot and the shard. For a part in the second step of a
/// two-step query, `second_step` is the suffix that is appended.
pub fn part_id(query: &str, shard: u32, second_step: Option<&str>) -> String {
    format!("{query}.{shard}{}", second_step.unwrap_or_default())
}

/// Incremental decoder for the frames that an index server sends on one connection.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    format: Rc<FrameFormat>,
    /// Received bytes that have not been returned in a frame.
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that have been searched for the end of the answer line.
    scanned: usize,
    /// Number of frames received completely.
    pub complete_frames: u64,
}

impl FrameDecoder {
    /// Creates a decoder for frames in the given format.
    pub fn new(format: Rc<FrameFormat>) -> FrameDecoder {
        FrameDecoder { format, ..FrameDecoder::default() }
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether a frame has been received partially.
    pub fn is_mid_frame(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next frame, or `None` if no complete frame has been received.
    ///
    /// The bytes that have been received after an answer are examined too, since they may show that its length
    /// is too small. The caller should therefore feed all bytes that have been received before it asks for
    /// frames.
    ///
    /// # Errors
    /// [`FrameError`] if the received bytes violate the protocol, where possible before the frame is
    /// complete. The decoder can't be used after an error.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = self.format.decode_length(*length);
        if length == 0 || length > MAX_FRAME_BYTES {
            return Err(FrameError::InvalidLength);
        }
        let end = LENGTH_BYTES + length;
        if self.buffer.len() < end {
            self.check_partial_frame()?;
            return Ok(None);
        }
        let frame = self.decode(self.buffer[LENGTH_BYTES], &self.buffer[HEADER_BYTES..end]);
        if matches!(frame, Ok(Frame::Answer { .. })) {
            match FollowingBytes::classify(&self.format, &self.buffer[end..]) {
                FollowingBytes::Separate => {}
                FollowingBytes::RestOfValue => return Err(FrameError::LengthTooSmall),
                FollowingBytes::Undecided => return Ok(None),
            }
        }
        self.buffer.drain(..end);
        self.scanned = 0;
        self.complete_frames += 1;
        if self.buffer.is_empty() && self.buffer.capacity() > IDLE_BUFFER_BYTES {
            self.buffer = Vec::new();
        }
        frame.map(Some)
    }

    /// Returns the size in bytes of the frame that has been received partially, or `None` if its length has not
    /// been received or is invalid.
    pub fn partial_frame_bytes(&self) -> Option<usize> {
        let length = self.format.decode_length(*self.buffer.first_chunk()?);
        (1..=MAX_FRAME_BYTES).contains(&length).then_some(LENGTH_BYTES + length)
    }

    /// Checks the type of an incomplete frame and, for an answer, the length of its line.
    fn check_partial_frame(&mut self) -> Result<(), FrameError> {
        match self.buffer.get(LENGTH_BYTES).copied() {
            None => Ok(()),
            Some(frame_type) if frame_type == self.format.rejected => Ok(()),
            Some(frame_type) if frame_type == self.format.answer => self.check_partial_answer_line(),
            Some(_) => Err(FrameError::UnknownType),
        }
    }

    fn check_partial_answer_line(&mut self) -> Result<(), FrameError> {
        let from = self.scanned.max(HEADER_BYTES);
        let line_feed = self.buffer[from..].iter().position(|byte| *byte == b'\n');
        // The line feed ends the line, so `scanned` does not advance past it into the value.
        self.scanned = line_feed.map_or(self.buffer.len(), |position| from + position);
        if self.scanned > HEADER_BYTES + MAX_ANSWER_LINE_BYTES {
            return Err(FrameError::MalformedAnswerLine);
        }
        Ok(())
    }

    fn decode(&self, frame_type: u8, payload: &[u8]) -> Result<Frame, FrameError> {
        if frame_type == self.format.answer {
            self.decode_answer(payload)
        } else if frame_type == self.format.rejected {
            Ok(Frame::Rejected(String::from_utf8_lossy(payload).into_owned()))
        } else {
            Err(FrameError::UnknownType)
        }
    }

    fn decode_answer(&self, payload: &[u8]) -> Result<Frame, FrameError> {
        let line_end =
            payload.iter().position(|byte| *byte == b'\n').ok_or(FrameError::MalformedAnswerLine)?;
        if line_end > MAX_ANSWER_LINE_BYTES {
            return Err(FrameError::MalformedAnswerLine);
        }
        // The load report is the rest of the line. This service does not request reports, so its bytes are
        // not checked.
        let fields: Vec<&[u8]> = payload[..line_end].splitn(4, |byte| *byte == b' ').collect();
        let [id, outcome, score, _report] = fields[..] else { return Err(FrameError::MalformedAnswerLine) };
        let id = line_field(id)?.to_owned();
        let score = line_field(score)?;
        let outcome = self.parse_outcome(line_field(outcome)?).ok_or(FrameError::MalformedAnswerLine)?;
        let score = Score::parse(score).ok_or(FrameError::MalformedAnswerLine)?;
        let value =
            std::str::from_utf8(&payload[line_end + 1..]).map_err(|_| FrameError::InvalidAnswerValue)?;
        if !is_plain_text(value) {
            return Err(FrameError::InvalidAnswerValue);
        }
        Ok(Frame::Answer { id, outcome, score, value: value.to_owned() })
    }

    fn parse_outcome(&self, word: &str) -> Option<PartOutcome> {
        let outcomes = [PartOutcome::Served, PartOutcome::Error, PartOutcome::Rejected];
        let index = self.format.outcome_words.iter().position(|known| known == word)?;
        Some(outcomes[index])
    }
}

/// Decodes one field of an answer line as UTF-8.
fn line_field(bytes: &[u8]) -> Result<&str, FrameError> {
    std::str::from_utf8(bytes).map_err(|_| FrameError::MalformedAnswerLine)
}

/// Returns whether a value contains no control characters other than tab, CR and LF.
///
/// Index servers send no others. One that does occur indicates a wrong frame length: if the length is too
/// large, the value includes the next frame, whose length field begins with a zero byte.
fn is_plain_text(value: &str) -> bool {
    value.bytes().all(is_text_byte)
}
