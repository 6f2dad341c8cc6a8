//! How an index server answers calls, and the action on the connection that results for a call.

use crate::received_part::ReceivedPart;
use crate::shared::{frame, ANSWER_FRAME};
use std::time::Duration;

/// Number of bytes that are left out at the end of an incomplete answer.
const MISSING_BYTES: usize = 3;
/// Length of the value of an answer under [`ServerBehavior::StallingWithinLongAnswer`], in bytes.
const LONG_ANSWER_BYTES: usize = 250 * 1024;
/// Length of the value of an answer under [`ServerBehavior::ServingLongAnswers`], in bytes.
const SERVED_LONG_ANSWER_BYTES: usize = 40 * 1024;
/// Number of invalid bytes that follow an answer under [`ServerBehavior::AppendingGarbage`].
const GARBAGE_BYTES: usize = 64;

/// How an index server responds to a call, a frame with one or more parts.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerBehavior {
    /// Answers each part with a value.
    Serving,
    /// Answers each part with a value after this time, and goes on reading meanwhile.
    ServingAfter(Duration),
    /// Answers each part with a value of 40 KiB.
    ServingLongAnswers,
    /// Reads parts and answers none.
    Silent,
    /// Answers nothing on its first connections, as many as this number, and serves on later ones.
    SilentOnFirst(u64),
    /// Answers each part with an error.
    Failing,
    /// Rejects each part.
    Rejecting,
    /// Closes the connection after reading a call.
    ClosingAfterFrame,
    /// Sends bytes that are not a valid frame.
    SendingInvalidFrame,
    /// Answers a part that was never sent to it.
    AnsweringUnknownPart,
    /// Stops in the middle of an answer of 250 KiB and keeps the connection open.
    StallingWithinLongAnswer,
    /// Closes the connection in the middle of an answer.
    ClosingWithinAnswer,
    /// Stops in the middle of an answer and keeps the connection open.
    StallingWithinAnswer,
    /// Sends every answer twice.
    AnsweringTwice,
    /// Answers, then sends bytes that are not a valid frame.
    AppendingGarbage,
    /// Answers, then closes the connection.
    ClosingAfterAnswer,
    /// Answers each part with an error after this time, and reads nothing meanwhile.
    FailingAfter(Duration),
    /// Resets the connection after this time.
    ResettingAfter(Duration),
    /// Closes the connection after this many bytes of an answer.
    ClosingAfterBytes(usize),
    /// Sends an answer byte by byte and doesn't complete it.
    Trickling,
    /// Sends answers whose frame length is too small by this number of bytes.
    UnderstatingLength(u32),
    /// Sends every answer again and again without a pause, until the connection ends.
    RepeatingAnswer,
}

/// What a server does on a connection in response to a call.
pub(crate) enum Action {
    Nothing,
    Send(Vec<u8>),
    /// Send after the delay and go on reading meanwhile.
    SendLater {
        delay: Duration,
        bytes: Vec<u8>,
    },
    /// Send after the delay and read nothing meanwhile.
    SendAfterPause {
        delay: Duration,
        bytes: Vec<u8>,
    },
    SendAndClose(Vec<u8>),
    Reset {
        delay: Duration,
    },
    /// Begin an answer and send it byte by byte without completing it.
    Trickle,
    /// Send again and again without a pause.
    Repeat(Vec<u8>),
}

impl ServerBehavior {
    /// Returns the action for a call with these parts. `connection` is the number of its connection, counted
    /// from 1.
    pub(crate) fn action(&self, parts: &[ReceivedPart], connection: u64) -> Action {
        match self {
            ServerBehavior::Serving => Action::Send(answers(parts)),
            ServerBehavior::ServingAfter(delay) => Action::SendLater { delay: *delay, bytes: answers(parts) },
            ServerBehavior::Silent => Action::Nothing,
            ServerBehavior::SilentOnFirst(count) if connection <= *count => Action::Nothing,
            ServerBehavior::SilentOnFirst(_) => Action::Send(answers(parts)),
            ServerBehavior::Failing => Action::Send(answers_without_value(parts, "E")),
            ServerBehavior::FailingAfter(delay) => {
                Action::SendAfterPause { delay: *delay, bytes: answers_without_value(parts, "E") }
            }
            ServerBehavior::Rejecting => Action::Send(answers_without_value(parts, "B")),
            ServerBehavior::ClosingAfterFrame => Action::SendAndClose(Vec::new()),
            ServerBehavior::ClosingWithinAnswer => Action::SendAndClose(incomplete_answers(parts)),
            ServerBehavior::ClosingAfterAnswer => Action::SendAndClose(answers(parts)),
            ServerBehavior::ClosingAfterBytes(count) => {
                Action::SendAndClose(answers(parts)[..*count].to_vec())
            }
            ServerBehavior::ResettingAfter(delay) => Action::Reset { delay: *delay },
            ServerBehavior::StallingWithinAnswer => Action::Send(incomplete_answers(parts)),
            ServerBehavior::StallingWithinLongAnswer => Action::Send(incomplete_long_answers(parts)),
            ServerBehavior::ServingLongAnswers => Action::Send(long_answers(parts)),
            ServerBehavior::AnsweringTwice => Action::Send(answers(parts).repeat(2)),
            ServerBehavior::AppendingGarbage => {
                Action::Send([answers(parts), vec![0xff; GARBAGE_BYTES]].concat())
            }
            ServerBehavior::Trickling => Action::Trickle,
            ServerBehavior::UnderstatingLength(missing) => Action::Send(understated_answers(parts, *missing)),
            ServerBehavior::RepeatingAnswer => Action::Repeat(answers(parts)),
            ServerBehavior::SendingInvalidFrame => Action::Send(b"HTTP/1.1 400 Bad Request\r\n\r\n".to_vec()),
            ServerBehavior::AnsweringUnknownPart => Action::Send(frame(ANSWER_FRAME, b"nobody.1 S 1 -\nv")),
        }
    }
}

/// Encodes one answer frame per part, each with a value.
fn answers(parts: &[ReceivedPart]) -> Vec<u8> {
    parts.iter().flat_map(|part| answer(part, "S", &format!("value of {}", part.id))).collect()
}

/// Encodes one answer frame per part, each with a long value.
fn long_answers(parts: &[ReceivedPart]) -> Vec<u8> {
    parts.iter().flat_map(|part| answer(part, "S", &"v".repeat(SERVED_LONG_ANSWER_BYTES))).collect()
}

/// Encodes one answer frame per part with this status (`E`: error, `B`: rejected) and no value.
fn answers_without_value(parts: &[ReceivedPart], status: &str) -> Vec<u8> {
    parts.iter().flat_map(|part| answer(part, status, "")).collect()
}

/// Encodes the answers, each with a frame length that is too small by `missing` bytes.
fn understated_answers(parts: &[ReceivedPart], missing: u32) -> Vec<u8> {
    let understate = |mut bytes: Vec<u8>| {
        if let Some(length) = bytes.first_chunk_mut() {
            *length = (u32::from_be_bytes(*length) - missing).to_be_bytes();
        }
        bytes
    };
    parts.iter().flat_map(|part| understate(answers(std::slice::from_ref(part)))).collect()
}

/// Encodes an answer of [`LONG_ANSWER_BYTES`] to the first part, without the last [`MISSING_BYTES`].
fn incomplete_long_answers(parts: &[ReceivedPart]) -> Vec<u8> {
    let value = "v".repeat(LONG_ANSWER_BYTES);
    let mut bytes: Vec<u8> = parts.iter().take(1).flat_map(|part| answer(part, "S", &value)).collect();
    bytes.truncate(bytes.len() - MISSING_BYTES);
    bytes
}

/// Encodes the answers without the last [`MISSING_BYTES`].
fn incomplete_answers(parts: &[ReceivedPart]) -> Vec<u8> {
    let mut bytes = answers(parts);
    bytes.truncate(bytes.len() - MISSING_BYTES);
    bytes
}

/// Encodes an answer frame. Its content is a line of part id, status, score (here the shard number) and load
/// report (`-`: none), followed by the value.
fn answer(part: &ReceivedPart, status: &str, value: &str) -> Vec<u8> {
    frame(ANSWER_FRAME, format!("{} {status} {} -\n{value}", part.id, part.shard).as_bytes())
}
