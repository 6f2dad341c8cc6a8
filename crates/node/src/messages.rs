//! Messages of the tasks (connections, discovery, shutdown) to the event loop that owns the host.

use crate::host::{AdmitError, QueryRequest, Reply};
use pinetrestle::interface::ReplicaId;
use pinetrestle_protocol::connection::{AttemptAnswer, AttemptId};
use pinetrestle_protocol::endpoint_list::ListUpdate;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// One message to the event loop.
pub(crate) enum Message {
    /// A client sent a query; the answer, or why it was not admitted, goes to `reply`.
    Query {
        /// The query's number among those of all client connections.
        token: u64,
        /// The query.
        request: Box<QueryRequest>,
        /// Where its answer goes.
        reply: oneshot::Sender<Result<Reply, AdmitError>>,
    },
    /// The client of the query with this number has disconnected.
    ClientDisconnected {
        /// The query's number among those of all client connections.
        token: u64,
    },
    /// An index server has answered an attempt.
    AttemptAnswered(AttemptAnswer),
    /// Attempts were taken back before any byte of them was written.
    AttemptsUnsent(Vec<AttemptId>),
    /// A connection to an index server has closed.
    ConnectionClosed {
        /// The index server's replica.
        replica: ReplicaId,
        /// The connection's number.
        connection: u64,
        /// This machine could not open it (no descriptors, no ports), whatever the server does.
        local_fault: bool,
    },
    /// Discovery sent an endpoint list or a change to it.
    EndpointUpdate(ListUpdate),
    /// The watch of discovery has failed or was lost.
    WatchFailed,
    /// The front node stops; open queries have to end by the deadline.
    Shutdown {
        /// When the last answer has to be decided.
        deadline: Instant,
    },
}
