//! Types of the host's inputs and outputs: requests, replies, commands and endpoints.

use pinetrestle::interface::{Id, Micros, ReplicaId};
use pinetrestle_protocol::connection::{AttemptId, OutgoingPart};
use pinetrestle_protocol::query::RequestedPart;
use pinetrestle_protocol::query_text::QueryText;
use thiserror::Error;

/// A query of a client, parsed from its request.
#[derive(Clone, Debug)]
pub struct QueryRequest {
    /// Id of the query on the wire, which is also the prefix of the wire ids of its parts.
    pub wire_id: String,
    /// Index of the query's class in the settings.
    pub class: usize,
    /// Index of the query's tenant in the settings; `None` if the query has no tenant.
    pub tenant: Option<usize>,
    /// Time left until the client abandons the query.
    pub expires_in: Micros,
    /// Whether the client marked the query as a retry.
    pub is_client_retry: bool,
    /// Idempotency key by which index servers drop duplicates, if the client sent one.
    pub idempotency_key: Option<String>,
    /// The requested parts of the query.
    pub parts: Vec<RequestedPart>,
    /// Text of the query, which each part carries to its index server.
    pub text: QueryText,
}

/// The final answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The query was answered.
    Served {
        /// Body of the answer.
        body: Vec<u8>,
        /// Whether the answer is complete, as opposed to partial.
        complete: bool,
    },
    /// The query was rejected. A retry by the client is safe.
    Rejected {
        /// Time that the client should wait before a retry, in microseconds; `None` if the answer gives none.
        retry_after: Option<i64>,
    },
    /// The query failed. A part may have run, so a retry by the client may have a second effect.
    Failed,
}

/// Reason for which a query was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum AdmitError {
    /// A query with the same wire id is open or was admitted recently.
    #[error("a query with the same id is open or was admitted recently")]
    DuplicateId,
    /// The query and its parts would exceed the maximum number of open queries and parts.
    #[error("too many open queries and parts, retry after {retry_after:?} us")]
    OverCapacity {
        /// Time that the client should wait before a retry, in microseconds; `None` if the answer gives none.
        retry_after: Option<i64>,
    },
}

/// An operation to be executed by the event loop on behalf of the host.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Send one call to a replica.
    Send {
        /// The replica to send the call to.
        replica: ReplicaId,
        /// The parts that the call carries.
        parts: Vec<OutgoingPart>,
    },
    /// Stop waiting for the answer to an attempt, and cancel the attempt at its replica if the deployment
    /// allows that.
    Abandon(AttemptId),
    /// Send the final answer of a query to its client.
    Reply(Id, Reply),
    /// Withdraw an attempt if the write of its call has not started; otherwise the attempt stays in flight.
    Withdraw(AttemptId),
    /// A replica is draining or has been removed: withdraw the attempts whose write has not started, and
    /// close each of its connections once no attempt is in flight on it.
    DrainEndpoint(ReplicaId),
    /// Poll discovery for the endpoint list and open a watch on it.
    WatchEndpoints,
    /// Report a defect of the decision core: it ordered another attempt of a non-idempotent part although an
    /// earlier attempt may have run. The attempt was not sent. Contains the wire id of the query.
    ReportForbiddenRetry(String),
    /// Write a line to the log.
    Log(String),
    /// Report a defect of the decision core: it left attempts in flight whose queries had ended before the
    /// latest batch. Contains the number of these attempts.
    ReportOrphanedAttempts(usize),
}

/// Name, address and start time of an index server, from the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Name of the index server.
    pub name: String,
    /// Address of the index server, as `host:port`.
    pub address: String,
    /// Start time of the current incarnation in milliseconds of Unix time; 0 if unknown. Connections to an
    /// earlier incarnation can't be used any more.
    pub started_unix_ms: i64,
}

/// Number of entries in a table of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSize {
    /// Name of the table.
    pub table: &'static str,
    /// Number of entries.
    pub entries: usize,
}
