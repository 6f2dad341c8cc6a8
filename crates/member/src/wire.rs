//! What goes over the fleet's TCP connections: frames of a library's length-delimited codec, each the bytes of a
//! library's encoding (Raft's protobuf messages between peers; serde with postcard for commands).

use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// The framed stream of one connection.
pub type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames a connection.
pub fn framed(stream: TcpStream) -> Link {
    let _ = stream.set_nodelay(true);
    Framed::new(stream, LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec())
}

/// The first frame on a connection: who opens it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Hello {
    /// A peer; the frames after are Raft messages from it.
    Peer(u64),
    /// A command of the `fleet` program; one [`Ask`], one [`Reply`].
    Command(Ask),
    /// A member acting under a lease, towards a task sink; the frames after are [`Action`]s.
    Actions(u64),
}

/// A command of the `fleet` program to one member.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Ask {
    /// Where the member stands.
    Status,
    /// Let the member want a task, or no longer.
    Want {
        /// The task.
        task: String,
        /// Wants it, or gives it back.
        want: bool,
    },
    /// An operators' command on drains and releases; answered once it is applied.
    Rollout(pinetrestle_rollout::Command),
}

/// A member's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// Where it stands.
    Status(Box<Status>),
    /// The wish was taken.
    Wanted,
    /// What the fleet decided on a command on drains and releases.
    Decided(pinetrestle_rollout::Outcome),
    /// Refused, and why.
    Refused(String),
}

/// A member's account of itself and the fleet.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Status {
    /// This member.
    pub id: u64,
    /// Its Raft role: leader, follower, candidate.
    pub role: String,
    /// The leader it knows, 0 if none.
    pub leader: u64,
    /// The Raft term.
    pub term: u64,
    /// The highest log index known committed.
    pub commit: u64,
    /// The log index applied to the lease table.
    pub applied: u64,
    /// Its boot count, kept on disk.
    pub boot: u64,
    /// The fleet's members.
    pub members: Vec<u64>,
    /// Every lease that stands.
    pub leases: Vec<LeaseView>,
    /// This member's own side of each task it wants or holds.
    pub mine: Vec<MineView>,
    /// Drains and releases, where a plan is agreed.
    pub rollout: Option<RolloutView>,
    /// The fleet's return from a power loss, where this member takes part in releases.
    pub recovery: Option<RecoveryView>,
}

/// The fleet's return from a power loss as this member has applied it.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RecoveryView {
    /// Power losses the fleet came back from.
    pub epoch: u64,
    /// Counting, lists, waves or normal, in words.
    pub stage: String,
    /// Members that have said how they stand since the last election: whether each serves and has a list.
    pub present: Vec<(u64, bool, bool)>,
    /// Members of the fleet.
    pub members: u32,
    /// What this member's gate says of its front node.
    pub gate: String,
}

/// Drains and releases as this member has applied them.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RolloutView {
    /// The plan's revision.
    pub revision: u64,
    /// Front nodes that may be away at once.
    pub node_limit: u32,
    /// Index servers that may be away at once.
    pub server_limit: u32,
    /// The version every front node passed last; empty before the first release ended.
    pub good: String,
    /// The halt in force, its id and why.
    pub halted: Option<(String, String)>,
    /// The running or last release.
    pub release: Option<ReleaseView>,
    /// Each front node.
    pub nodes: Vec<NodeView>,
    /// Index servers that are not simply up and serving.
    pub servers: Vec<ServerView>,
    /// What this member's agent is about.
    pub agent: Option<String>,
}

/// A release.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ReleaseView {
    /// Its id.
    pub id: String,
    /// The version it leaves.
    pub from: String,
    /// The version it brings.
    pub to: String,
    /// Forward or back.
    pub way: String,
    /// Running, done or rolled back.
    pub stage: String,
    /// Front nodes that passed.
    pub passed: u32,
    /// Steps failed since it began, was resumed or turned back.
    pub failures: u32,
}

/// One front node.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct NodeView {
    /// Its member.
    pub id: u64,
    /// The version it said.
    pub version: String,
    /// Whether it said that it serves.
    pub ready: bool,
    /// Whether its member is not heard.
    pub lost: bool,
    /// Whether it counts as away.
    pub away: bool,
    /// Its slot: index, and whether its agent has begun.
    pub slot: Option<(u64, bool)>,
    /// Where it stands in the release, in words.
    pub step: String,
    /// Why it may not go now, if its turn has not come.
    pub waits: Option<String>,
}

/// One index server.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ServerView {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether discovery lists it as up.
    pub up: bool,
    /// Where it stands, in words.
    pub phase: String,
    /// Front nodes that have been told.
    pub told: u32,
}

/// One lease as the replicated table holds it.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct LeaseView {
    /// The task.
    pub task: String,
    /// Its holder.
    pub holder: u64,
    /// Its fencing token.
    pub token: u64,
    /// Renewals since the grant.
    pub renewal: u64,
    /// Milliseconds until the leader may end it; only a leader knows.
    pub left_ms: Option<u64>,
}

/// One task from this member's side.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct MineView {
    /// The task.
    pub task: String,
    /// Whether this member wants it.
    pub want: bool,
    /// Where its holder stands, in words.
    pub state: String,
    /// Milliseconds it may still act, if it holds the task.
    pub acting_ms: Option<u64>,
}

/// One action taken under a lease, sent to a task sink.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Action {
    /// The task.
    pub task: String,
    /// The token of the lease it is taken under.
    pub token: u64,
    /// The member's count of its actions.
    pub seq: u64,
    /// Microseconds since the Unix epoch by the member's wall clock when it decided to act: for records only, never
    /// for a decision.
    pub sent_us: u64,
}

/// Encodes with postcard.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes with postcard.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Microseconds of the wall clock since 1970, for records only: no decision reads it.
pub fn wall_us() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}
