//! The error of this crate's boundary.

use pinetrestle_fleet::{MAX_TASKS, MAX_TASK_NAME_BYTES};
use pinetrestle_store::StoreError;
use std::io;
use std::net::SocketAddr;

/// Why a member could not start, go on, or take a request, or why a request had no response.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The store, its disk or a socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Raft rejected its configuration or a read of its log.
    #[error(transparent)]
    Raft(#[from] raft::Error),
    /// Stored bytes passed their checksum, but do not decode.
    #[error("{what} does not decode")]
    Decode {
        /// What they should have been.
        what: &'static str,
    },
    /// A value could not be encoded for the store.
    #[error("{what} does not encode")]
    Encode {
        /// What it was.
        what: &'static str,
    },
    /// The snapshot that the leader sent does not decode.
    #[error("the leader's snapshot does not decode: another version of this program?")]
    InvalidLeaderSnapshot,
    /// A task's name is empty or too long.
    #[error("a task's name has 1 to {MAX_TASK_NAME_BYTES} bytes, not {length}")]
    InvalidTaskName {
        /// The bytes it has.
        length: usize,
    },
    /// The member has as many tasks as it can have.
    #[error("this member wants {MAX_TASKS} tasks already")]
    TooManyTasks,
    /// A member gave no usable response to a request in time.
    #[error("{addr}: {reason}")]
    NoResponse {
        /// The member's address.
        addr: SocketAddr,
        /// What was missing.
        reason: &'static str,
    },
}

impl From<StoreError> for MemberError {
    fn from(error: StoreError) -> MemberError {
        // As an I/O error of the same kind, so that a failed disk can be told from damaged data.
        MemberError::Io(error.into())
    }
}
