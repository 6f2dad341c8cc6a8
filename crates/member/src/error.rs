//! The error type of this crate.

use pinetrestle_fleet::{MAX_TASKS, MAX_TASK_NAME_BYTES};
use pinetrestle_store::StoreError;
use std::io;
use std::net::SocketAddr;

/// An error of a member, or of a request that was sent to a member.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The store, the disk or a socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Raft rejected its configuration, or failed to read its log.
    #[error(transparent)]
    Raft(#[from] raft::Error),
    /// Stored data has a valid checksum but does not decode.
    #[error("failed to decode {what}")]
    Decode {
        /// The kind of data, with an article, for example "the snapshot".
        what: &'static str,
    },
    /// A value could not be encoded for the store.
    #[error("failed to encode {what}")]
    Encode {
        /// The kind of value, with an article, for example "a log record".
        what: &'static str,
    },
    /// The snapshot that the leader sent does not decode.
    #[error("failed to decode the leader's snapshot; the leader may run another version of this program")]
    InvalidLeaderSnapshot,
    /// The name of a task is empty or too long.
    #[error("a task name must have 1 to {MAX_TASK_NAME_BYTES} bytes, not {length}")]
    InvalidTaskName {
        /// The length of the name in bytes.
        length: usize,
    },
    /// The member already has the maximum number of tasks.
    #[error("this member already has {MAX_TASKS} tasks, which is the maximum")]
    TooManyTasks,
    /// A member did not respond to a request in time, or its response could not be read.
    #[error("{addr}: {reason}")]
    NoResponse {
        /// The address of the member.
        addr: SocketAddr,
        /// How the request failed.
        reason: &'static str,
    },
}

impl From<StoreError> for MemberError {
    fn from(error: StoreError) -> MemberError {
        // Keeps the kind of the I/O error, by which the caller distinguishes a failing disk from corrupt
        // data.
        MemberError::Io(error.into())
    }
}
