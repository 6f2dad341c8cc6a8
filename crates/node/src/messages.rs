//! Messages that the tasks for connections, discovery and the shutdown send to the event loop, which owns the
//! [`Host`](crate::host::Host).

use crate::host::{AdmitError, QueryRequest, Reply};
use pinetrestle::interface::ReplicaId;
use pinetrestle_protocol::connection::{AttemptAnswer, AttemptId};
use pinetrestle_protocol::endpoint_list::ListUpdate;
use pinetrestle_protocol::watch_supervisor::WatchEnd;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A message to the event loop.
pub(crate) enum Message {
    /// A client has sent a query.
    Query {
        /// Number by which the client connection refers to the query. It is unique among the queries of all
        /// client connections.
        query_number: u64,
        /// The query.
        request: Box<QueryRequest>,
        /// Receives the final answer, or the reason for which the query was not admitted.
        reply: oneshot::Sender<Result<Reply, AdmitError>>,
    },
    /// The client of a query has disconnected.
    ClientDisconnected {
        /// Number of the query, as in [`Message::Query`].
        query_number: u64,
    },
    /// An index server has answered an attempt.
    AttemptAnswered(AttemptAnswer),
    /// Attempts were withdrawn before the write of their call started.
    AttemptsUnsent(Vec<AttemptId>),
    /// A connection to an index server has closed.
    ConnectionClosed {
        /// Replica number of the index server.
        replica: ReplicaId,
        /// Number of the connection.
        connection: u64,
        /// Whether the connection could not be opened for a reason local to this machine (no free file
        /// descriptors or ports), so that it says nothing about the index server.
        local_fault: bool,
    },
    /// Discovery has sent an endpoint list or changes to it.
    EndpointUpdate(ListUpdate),
    /// The watch on the endpoint list has ended.
    WatchLost(WatchEnd),
    /// A request for a watch on the endpoint list has ended without an answer.
    WatchRequestFailed(WatchEnd),
    /// The configuration names another discovery service, at which a watch is being opened.
    DiscoveryChanging,
    /// The discovery service that the configuration names has delivered its list.
    DiscoveryChanged,
    /// The front node is shutting down gracefully.
    Shutdown {
        /// Instant by which the final answers of all queries have to be decided.
        deadline: Instant,
    },
}
