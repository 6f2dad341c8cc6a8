//! The wire format between members, the `fleet` program and a task sink: length-delimited frames over TCP, each
//! Raft's protobuf bytes (between peers) or serde with postcard (everything else).
//!
//! The order of fields and of enum variants is the format: add at the end, never reorder.

use crate::status::Status;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// A connection as a stream and sink of frames.
pub type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames a connection, with Nagle's algorithm off.
pub fn framed(stream: TcpStream) -> FramedStream {
    let _ = stream.set_nodelay(true);
    Framed::new(stream, LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec())
}

/// The first frame of a connection: who opened it and for what.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Hello {
    /// A peer, by its id; the frames after it are Raft messages.
    Peer(u64),
    /// A request of the `fleet` program; one [`Response`] answers it.
    Command(Request),
    /// A member, by its id, towards a task sink; the frames after it are [`Action`]s.
    Actions(u64),
}

/// A request of the `fleet` program to one member.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// The member's status report.
    Status,
    /// Whether the member is to acquire the lease of a task, or release it.
    SetWanted {
        /// The task.
        task: String,
        /// `true` to acquire the lease and renew it, `false` to release it.
        wanted: bool,
    },
    /// An operator's command on drains and releases; answered once it is applied.
    Rollout(pinetrestle_rollout::Command),
}

/// A member's response to a [`Request`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    /// The status report.
    Status(Box<Status>),
    /// [`Request::SetWanted`] was accepted.
    Accepted,
    /// The outcome of an operator's command on drains and releases, applied by the fleet.
    Applied(pinetrestle_rollout::Outcome),
    /// The member rejected the request, for this reason.
    Rejected(String),
}

/// One action taken under a lease, sent to a task sink.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Action {
    /// The task.
    pub task: String,
    /// The fencing token of the lease it is taken under.
    pub token: u64,
    /// The sequence number among the member's actions.
    pub seq: u64,
    /// When the member decided to act, in microseconds since the Unix epoch by its wall clock: for records only,
    /// never for a decision.
    pub sent_us: u64,
}

/// Encodes a value with postcard.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value with postcard; `None` for bytes of another form.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Microseconds of the wall clock since the Unix epoch, for records only: no decision reads it.
pub fn wall_clock_us() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}
