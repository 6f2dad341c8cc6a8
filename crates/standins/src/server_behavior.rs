//! How an index server answers calls, and what that means for one call.

use crate::received_part::ReceivedPart;
use crate::shared::frame;
use std::time::Duration;

/// Bytes at the end of an answer that are left out where it ends or stalls early.
const MISSING_BYTES: usize = 3;
/// Length of the garbage after an answer, in bytes.
const GARBAGE_BYTES: usize = 64;

/// What an index server does with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerBehavior {
    /// Answers each part with a value.
    Serving,
    /// The same after this time; it reads on meanwhile.
    ServingAfter(Duration),
    /// Reads parts and answers none.
    Silent,
    /// Answers nothing on its first connections, this many, and serves on later ones.
    SilentOnFirst(u64),
    /// Answers with an error.
    Failing,
    /// Rejects parts.
    Rejecting,
    /// Closes the connection once it has read a frame.
    ClosingAfterFrame,
    /// Sends bytes that are no frame.
    SendingInvalidFrame,
    /// Answers a part that was never sent.
    AnsweringUnknownPart,
    /// Closes the connection in the middle of an answer.
    ClosingWithinAnswer,
    /// Stops in the middle of an answer and keeps the connection open.
    StallingWithinAnswer,
    /// Sends every answer twice.
    AnsweringTwice,
    /// Answers, then sends garbage.
    AppendingGarbage,
    /// Answers, then closes the connection.
    ClosingAfterAnswer,
    /// Answers with an error after this time; it reads nothing meanwhile.
    FailingAfter(Duration),
    /// Resets the connection after this time.
    ResettingAfter(Duration),
    /// Closes the connection after this many bytes of an answer.
    ClosingAfterBytes(usize),
    /// Sends an answer so slowly that it never ends.
    Trickling,
}

/// What is done on a connection for one call.
pub(crate) enum Action {
    Nothing,
    Send(Vec<u8>),
    /// Send after the delay and read on meanwhile.
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
    /// Begin an answer and go on byte by byte without an end.
    Trickle,
}

impl ServerBehavior {
    /// The action for a call with these parts on the connection of this number, counted from 1.
    pub(crate) fn action(&self, parts: &[ReceivedPart], connection: u64) -> Action {
        match self {
            ServerBehavior::Serving => Action::Send(answers(parts)),
            ServerBehavior::ServingAfter(delay) => Action::SendLater { delay: *delay, bytes: answers(parts) },
            ServerBehavior::Silent => Action::Nothing,
            ServerBehavior::SilentOnFirst(count) if connection <= *count => Action::Nothing,
            ServerBehavior::SilentOnFirst(_) => Action::Send(answers(parts)),
            ServerBehavior::Failing => Action::Send(refusals(parts, "E")),
            ServerBehavior::FailingAfter(delay) => {
                Action::SendAfterPause { delay: *delay, bytes: refusals(parts, "E") }
            }
            ServerBehavior::Rejecting => Action::Send(refusals(parts, "B")),
            ServerBehavior::ClosingAfterFrame => Action::SendAndClose(Vec::new()),
            ServerBehavior::ClosingWithinAnswer => Action::SendAndClose(cut_answers(parts)),
            ServerBehavior::ClosingAfterAnswer => Action::SendAndClose(answers(parts)),
            ServerBehavior::ClosingAfterBytes(count) => {
                Action::SendAndClose(answers(parts)[..*count].to_vec())
            }
            ServerBehavior::ResettingAfter(delay) => Action::Reset { delay: *delay },
            ServerBehavior::StallingWithinAnswer => Action::Send(cut_answers(parts)),
            ServerBehavior::AnsweringTwice => Action::Send(answers(parts).repeat(2)),
            ServerBehavior::AppendingGarbage => {
                Action::Send([answers(parts), vec![0xff; GARBAGE_BYTES]].concat())
            }
            ServerBehavior::Trickling => Action::Trickle,
            ServerBehavior::SendingInvalidFrame => Action::Send(b"HTTP/1.1 400 Bad Request\r\n\r\n".to_vec()),
            ServerBehavior::AnsweringUnknownPart => Action::Send(frame(b'5', b"nobody.1 S 1 -\nv")),
        }
    }
}

/// One answer frame per part, each with a value.
fn answers(parts: &[ReceivedPart]) -> Vec<u8> {
    parts.iter().flat_map(|part| answer(part, "S", &format!("value of {}", part.id))).collect()
}

/// One answer frame per part with this status (`E`: error, `B`: rejected) and no value.
fn refusals(parts: &[ReceivedPart], status: &str) -> Vec<u8> {
    parts.iter().flat_map(|part| answer(part, status, "")).collect()
}

fn cut_answers(parts: &[ReceivedPart]) -> Vec<u8> {
    let mut bytes = answers(parts);
    bytes.truncate(bytes.len() - MISSING_BYTES);
    bytes
}

fn answer(part: &ReceivedPart, status: &str, value: &str) -> Vec<u8> {
    frame(b'5', format!("{} {status} {} -\n{value}", part.id, part.shard).as_bytes())
}
