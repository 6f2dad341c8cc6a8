//! The wire format between members, the `fleet` program and a task sink: length-delimited frames over TCP.
//!
//! The first frame of a connection is a [`Hello`]. Raft messages between peers are in Raft's protobuf
//! encoding, all other frames are encoded with postcard. There, the order of fields and of enum variants is
//! part of the format: add at the end, never reorder.

use crate::status::Status;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// The maximum size of the first frame of a connection, and of any frame of a peer that is not a known member, in
/// bytes.
pub const MAX_UNTRUSTED_FRAME_BYTES: usize = 256 << 10;

/// A TCP connection as a stream and sink of frames.
pub type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Wraps a connection in the frame codec and turns off Nagle's algorithm.
pub fn framed(stream: TcpStream) -> FramedStream {
    let _ = stream.set_nodelay(true);
    Framed::new(stream, LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec())
}

/// Wraps an accepted connection as [`framed`] does. Its peer is not known yet, so its frames are limited to
/// [`MAX_UNTRUSTED_FRAME_BYTES`].
pub fn framed_untrusted(stream: TcpStream) -> FramedStream {
    let mut framed = framed(stream);
    framed.codec_mut().set_max_frame_length(MAX_UNTRUSTED_FRAME_BYTES);
    framed
}

/// The first frame of a connection, which says who opened it and which frames follow.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Hello {
    /// The connection is from the peer with this id; all further frames are Raft messages.
    Peer(u64),
    /// The connection is from the `fleet` program, with a request; the member sends one [`Response`].
    Command(Request),
    /// The connection is from the member with this id to a task sink; all further frames are [`Action`]s.
    Actions(u64),
}

/// A request of the `fleet` program to one member.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Requests the status report of the member.
    Status,
    /// Sets whether the member wants the lease of a task.
    SetWanted {
        /// The name of the task.
        task: String,
        /// `true` to acquire the lease and renew it, `false` to release it.
        wanted: bool,
    },
    /// Submits an operator's command on drains, releases or halts. The response is sent once the command has
    /// been applied.
    Rollout(pinetrestle_rollout::Command),
}

/// A member's response to a [`Request`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    /// The status report of the member.
    Status(Box<Status>),
    /// The member has carried out [`Request::SetWanted`].
    Accepted,
    /// The command of [`Request::Rollout`] has been applied from the replicated log, with this outcome.
    Applied(pinetrestle_rollout::Outcome),
    /// The member rejected the request, for this reason.
    Rejected(String),
}

/// An action that a member takes under a lease, sent to a task sink.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Action {
    /// The name of the task.
    pub task: String,
    /// The fencing token of the lease under which the action is taken.
    pub token: u64,
    /// The sequence number of the action, counted from 1 in each incarnation of the member.
    pub seq: u64,
    /// When the member decided to act, in microseconds since the Unix epoch by its wall clock. Only recorded,
    /// never used in a decision.
    pub sent_us: u64,
}

/// Encodes a value with postcard.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value with postcard. Returns `None` if the bytes are not a valid encoding of `T`.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Returns the time of the wall clock, in microseconds since the Unix epoch. Only recorded, never used in a
/// decision.
pub fn wall_clock_us() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}
