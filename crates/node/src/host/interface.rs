//! What goes into the host and what comes out of it: requests, replies and commands, as plain data.

use pinetrestle::interface::{Id, Micros, ReplicaId};
use pinetrestle_protocol::connection::{AttemptId, OutgoingPart};
use pinetrestle_protocol::query::RequestedPart;
use std::rc::Rc;
use thiserror::Error;

/// A query as a client's connection has parsed it.
#[derive(Clone, Debug)]
pub struct QueryRequest {
    /// Its id on the wire; the ids of its parts begin with it.
    pub wire_id: String,
    /// Its class, by its number in the settings.
    pub class: usize,
    /// Its tenant, by its number in the settings, where there are tenants.
    pub tenant: Option<usize>,
    /// Time left before the client abandons it.
    pub expires_in: Micros,
    /// The client marked it as a retry of its own.
    pub is_client_retry: bool,
    /// The idempotency key by which index servers drop duplicates, where the client gave one.
    pub idempotency_key: Option<String>,
    /// Its parts.
    pub parts: Vec<RequestedPart>,
    /// The payload that each part carries.
    pub text: Rc<str>,
}

/// The final answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Answered.
    Served {
        /// The body.
        body: Vec<u8>,
        /// Whether the answer is complete.
        complete: bool,
    },
    /// Rejected: a retry is harmless.
    Rejected {
        /// How long the client should wait before a retry, in microseconds.
        retry_after: Option<i64>,
    },
    /// Failed: a retry may repeat its effect.
    Failed,
}

/// Why a query was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum AdmitError {
    /// A query of the same id is open or was admitted a short time ago.
    #[error("a query of the same id is open or was admitted a short time ago")]
    DuplicateId,
    /// The host is at its capacity of open queries and parts.
    #[error("at capacity, retry after {retry_after:?} us")]
    OverCapacity {
        /// How long the client should wait before a retry, in microseconds.
        retry_after: Option<i64>,
    },
}

/// What the tasks around the host have to do.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Send one call to an index server.
    Send {
        /// The index server.
        replica: ReplicaId,
        /// The call's parts.
        parts: Vec<OutgoingPart>,
    },
    /// Stop waiting for an attempt, and cancel it where the deployment allows that.
    Abandon(AttemptId),
    /// Give a query its final answer.
    Reply(Id, Reply),
    /// Withdraw an attempt if none of it is written yet; otherwise it stays in flight.
    Withdraw(AttemptId),
    /// An index server is draining or has left: withdraw what is not written to it yet, and close its connections
    /// once nothing is in flight on them.
    DrainEndpoint(ReplicaId),
    /// Poll discovery for the endpoint list and open a watch on it.
    WatchEndpoints,
    /// An attempt of the query with this wire id was not sent: an earlier one may have run, and the part is not
    /// idempotent. A defect of the decision core.
    ReportForbiddenRetry(String),
    /// A line for the operators' log.
    Log(String),
    /// So many attempts are in flight for queries that had ended before the last batch. A defect of the decision core.
    ReportOrphanedAttempts(usize),
}

/// An index server as the endpoint list names it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Its address, as `host:port`.
    pub address: String,
    /// When its incarnation started, in milliseconds of Unix time, 0 if not known; connections to an older
    /// incarnation are of no use.
    pub started_unix_ms: i64,
}

/// The number of entries that a table of the host holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSize {
    /// What the table holds.
    pub table: &'static str,
    /// Its entries.
    pub entries: usize,
}
