//! Frames between front nodes and index servers.
//!
//! A frame is a length of four bytes (of what follows it), a type byte and a payload. Front nodes send call frames
//! and cancel frames; index servers send answer frames and, for what they could not use, reject frames. The byte
//! order and the type bytes are those of [`FrameFormat`].
//!
//! * Call: for each part a line `ID SHARD d=MILLISECONDS[,ATTRIBUTE...] TEXT_BYTES` and the text of that length.
//! * Cancel: the id of a part.
//! * Answer: a line `ID OUTCOME SCORE REPORT` and the value, which takes the rest of the frame.
//! * Reject: a diagnostic text.

use crate::names::FrameFormat;
use std::rc::Rc;

/// Largest frame in bytes, without its length field.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Bytes of the length field.
const LENGTH_BYTES: usize = 4;
/// Bytes before the payload: the length field and the type byte.
pub(crate) const HEADER_BYTES: usize = LENGTH_BYTES + 1;
/// Longest line of an answer frame in bytes: id, outcome, score and load report.
const MAX_ANSWER_LINE_BYTES: usize = 4096;
/// Capacity that an empty receive buffer keeps, in bytes.
const IDLE_BUFFER_BYTES: usize = 16 * 1024;
/// Scores beyond this magnitude are malformed.
const MAX_FRACTIONAL_SCORE: f64 = 1e30;

/// Bytes that are not a valid frame of an index server. The connection can't be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is 0 or above [`MAX_FRAME_BYTES`].
    #[error("frame length is 0 or above {MAX_FRAME_BYTES} bytes")]
    InvalidLength,
    /// The type byte is none that index servers send.
    #[error("unknown frame type")]
    UnknownType,
    /// The line of an answer is malformed or too long.
    #[error("malformed answer line")]
    MalformedAnswerLine,
    /// The value of an answer is not text.
    #[error("answer value is not text")]
    InvalidAnswerValue,
    /// An answer to a part that was not sent on this connection.
    #[error("answer to a part that was not sent on this connection")]
    UnknownPart,
    /// The index server rejected a frame that it was sent.
    #[error("index server rejected a frame")]
    FrameRejected,
}

impl FrameError {
    /// Every variant, for tables of codes.
    pub const ALL: &'static [FrameError] = &[
        FrameError::InvalidLength,
        FrameError::UnknownType,
        FrameError::MalformedAnswerLine,
        FrameError::InvalidAnswerValue,
        FrameError::UnknownPart,
        FrameError::FrameRejected,
    ];

    /// The stable code used in counters and in the log.
    pub fn code(self) -> &'static str {
        match self {
            FrameError::InvalidLength => "bad_frame_length",
            FrameError::UnknownType => "bad_frame_letter",
            FrameError::MalformedAnswerLine => "bad_frame_line",
            FrameError::InvalidAnswerValue => "bad_frame_value",
            FrameError::UnknownPart => "unknown_part",
            FrameError::FrameRejected => "frame_rejected",
        }
    }
}

/// How an index server ended a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// The part was served.
    Served,
    /// The part failed.
    Error,
    /// The part was rejected before it ran.
    Rejected,
}

/// The score of an answer: an integer part and a fraction in `0.0..1.0`, so that integers of 64 bits compare exactly.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Score(
    /// The integer part, rounded down.
    pub i128,
    /// The fraction.
    pub f64,
);

impl Score {
    /// Parses the score field; `-` stands for no score.
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
        /// Id of the part.
        id: String,
        /// How it ended.
        outcome: PartOutcome,
        /// Its score.
        score: Score,
        /// Its value.
        value: String,
    },
    /// The index server could not use an earlier frame; its diagnostic text.
    Rejected(String),
}

/// One part of a call frame.
#[derive(Clone, Copy, Debug)]
pub struct CallPart<'a> {
    /// Id of the part on the wire.
    pub id: &'a str,
    /// Shard that is searched.
    pub shard: u32,
    /// Time left until the deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Further attributes, each with a comma before it ([`idempotency_key_attribute`], [`second_step_attributes`]).
    pub attributes: &'a str,
    /// Text of the query.
    pub text: &'a str,
}

/// Encodes a frame of this type and payload.
fn encode(format: &FrameFormat, frame_type: u8, payload: &[u8]) -> Vec<u8> {
    let length = payload.len() as u32 + 1;
    let length = if format.little_endian { length.to_le_bytes() } else { length.to_be_bytes() };
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&length);
    bytes.push(frame_type);
    bytes.extend_from_slice(payload);
    bytes
}

/// Encodes a call frame with these parts.
pub fn encode_call<'a>(format: &FrameFormat, parts: impl Iterator<Item = CallPart<'a>>) -> Vec<u8> {
    let mut payload = Vec::new();
    for part in parts {
        let CallPart { id, shard, time_left_ms, attributes, text } = part;
        let line = format!("{id} {shard} d={time_left_ms}{attributes} {}\n", text.len());
        payload.extend_from_slice(line.as_bytes());
        payload.extend_from_slice(text.as_bytes());
    }
    encode(format, format.call, &payload)
}

/// Encodes the frame that cancels a part.
pub fn encode_cancel(format: &FrameFormat, id: &str) -> Vec<u8> {
    encode(format, format.cancel, id.as_bytes())
}

/// The attribute with the idempotency key of a query, by which an index server recognises a retry.
pub fn idempotency_key_attribute(key: &str) -> String {
    format!(",k={key}")
}

/// The attributes of a part of the second step: the shards whose answers it builds on, and whether these are complete.
pub fn second_step_attributes(from: &[u32], is_complete: bool) -> String {
    let shards: Vec<String> = from.iter().map(u32::to_string).collect();
    format!(",from={},whole={}", shards.join("+"), u8::from(is_complete))
}

/// The id of a part on the wire: the query's id, the shard, and the suffix of the second step for its parts.
pub fn part_id(query: &str, shard: u32, second_step: Option<&str>) -> String {
    format!("{query}.{shard}{}", second_step.unwrap_or_default())
}

/// Incremental decoder of the frames of one index server.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    format: Rc<FrameFormat>,
    /// Received bytes that belong to no returned frame.
    buffer: Vec<u8>,
    /// Bytes of the frame at the front that were searched for the end of its line.
    scanned: usize,
    /// Frames received completely.
    pub complete_frames: u64,
}

impl FrameDecoder {
    /// A decoder of frames in this format.
    pub fn new(format: Rc<FrameFormat>) -> FrameDecoder {
        FrameDecoder { format, ..FrameDecoder::default() }
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether part of a frame has been received and its end has not.
    pub fn is_mid_frame(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next frame, or `None` until it is complete.
    ///
    /// # Errors
    /// [`FrameError`], as early as the bytes show it. The decoder can't be used any further.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let decode_length = if self.format.little_endian { u32::from_le_bytes } else { u32::from_be_bytes };
        let length = decode_length(*length) as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            return Err(FrameError::InvalidLength);
        }
        let end = LENGTH_BYTES + length;
        if self.buffer.len() < end {
            self.check_partial_frame()?;
            return Ok(None);
        }
        let frame = self.decode(self.buffer[LENGTH_BYTES], &self.buffer[HEADER_BYTES..end]);
        self.buffer.drain(..end);
        self.scanned = 0;
        self.complete_frames += 1;
        if self.buffer.is_empty() {
            self.buffer.shrink_to(IDLE_BUFFER_BYTES);
        }
        frame.map(Some)
    }

    /// Checks what is there of an incomplete frame: its type, and the length of its line.
    fn check_partial_frame(&mut self) -> Result<(), FrameError> {
        match self.buffer.get(LENGTH_BYTES).copied() {
            None => Ok(()),
            Some(letter) if letter == self.format.rejected => Ok(()),
            Some(letter) if letter == self.format.answer => self.check_partial_answer_line(),
            Some(_) => Err(FrameError::UnknownType),
        }
    }

    fn check_partial_answer_line(&mut self) -> Result<(), FrameError> {
        let from = self.scanned.max(HEADER_BYTES);
        let line_feed = self.buffer[from..].iter().position(|byte| *byte == b'\n');
        // With the line feed the search is over: the value follows it.
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
        // The load report is the rest of the line. None is requested on this connection, so its bytes are not checked.
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

/// A field of an answer line as text.
fn line_field(bytes: &[u8]) -> Result<&str, FrameError> {
    std::str::from_utf8(bytes).map_err(|_| FrameError::MalformedAnswerLine)
}

/// Whether a value is text as index servers send it. Any other control character shows a wrong frame length: the
/// length field of a frame that was taken for part of the value begins with a zero byte.
fn is_plain_text(value: &str) -> bool {
    !value.bytes().any(|byte| byte.is_ascii_control() && !matches!(byte, b'\t' | b'\n' | b'\r'))
}
