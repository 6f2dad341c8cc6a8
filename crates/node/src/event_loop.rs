//! Event loop that owns the [`Host`]: passes the messages of the I/O tasks to it and executes its commands.

use crate::host::{AdmitError, Command, Host, QueryRequest, Reply};
use crate::invariants::{Invariants, Violation};
use crate::messages::Message;
use crate::pause_detector::PauseDetector;
use crate::upstream::ConnectionPools;
use pinetrestle::interface::{Id, Micros, ReplicaId};
use pinetrestle_protocol::connection::{AttemptId, LostAttempt, OutgoingPart};
use pinetrestle_recorder::{query_key, EventKind, QueryKey, Record, Recorder};
use slog::{info, Logger};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

/// Maximum time that the loop sleeps if no timer is set.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// Number of times that the loop yields before each batch, so that the other tasks can read from their
/// sockets.
const YIELDS_BEFORE_BATCH: usize = 1;
/// Number of times that the loop yields before a batch that follows a pause of the process. Data that
/// discovery sent during the pause reaches the event loop only after several yields, since it passes from the
/// socket through the task of the connection and the task of the watches. One more yield is a margin.
const YIELDS_AFTER_PAUSE: usize = 4;

/// Number of the flight recorder's alarm for attempts that are in flight although their query has ended. The
/// alarms with higher numbers are the [`Violation`]s.
const ORPHANED_ATTEMPTS_ALARM: u8 = 1;

/// Sends the final answer of a query, or the reason for which it was not admitted, to its client's
/// connection.
type ReplySender = oneshot::Sender<Result<Reply, AdmitError>>;

/// An admitted query without a final answer.
struct PendingQuery {
    /// Number of the query, as in [`Message::Query`].
    query_number: u64,
    /// Key of the query in the flight recorder.
    key: QueryKey,
    /// Receives the answer.
    reply: ReplySender,
}

/// The pending queries. The host refers to a query by its id, the query's client connection by its query
/// number; a query can be looked up by either.
#[derive(Default)]
pub(crate) struct PendingQueries {
    by_id: HashMap<Id, PendingQuery>,
    ids_by_query_number: HashMap<u64, Id>,
}

impl PendingQueries {
    fn insert(&mut self, id: Id, query: PendingQuery) {
        self.ids_by_query_number.insert(query.query_number, id);
        self.by_id.insert(id, query);
    }

    fn remove(&mut self, id: Id) -> Option<PendingQuery> {
        let query = self.by_id.remove(&id)?;
        self.ids_by_query_number.remove(&query.query_number);
        Some(query)
    }

    /// Returns the host's id of a query, or `None` if the query is not pending.
    fn id_of(&self, query_number: u64) -> Option<Id> {
        self.ids_by_query_number.get(&query_number).copied()
    }
}

/// State of the event loop.
pub(crate) struct EventLoop {
    /// Host of the decision core.
    pub(crate) host: Host,
    /// Connections to index servers.
    pub(crate) pools: ConnectionPools,
    /// Instant at which the host's clock was at 0.
    pub(crate) clock_origin: Instant,
    /// Messages of the I/O tasks.
    pub(crate) inbox: mpsc::Receiver<Message>,
    /// Requests to the discovery task to open a watch.
    pub(crate) watch_requests: mpsc::Sender<()>,
    /// Admitted queries without a final answer.
    pub(crate) pending: PendingQueries,
    /// Updated after each batch: whether the front node is ready to serve queries.
    pub(crate) ready: Rc<Cell<bool>>,
    /// Whether a shutdown was requested. The front node is then no longer ready.
    pub(crate) stopping: bool,
    /// Flight recorder for the events of queries and parts.
    pub(crate) recorder: Rc<Recorder>,
    /// Runtime checks of the front node's invariants.
    pub(crate) invariants: Rc<Invariants>,
    /// Detects pauses of the process.
    pub(crate) pause_detector: Rc<PauseDetector>,
    /// Log for the lines that the decision core writes.
    pub(crate) log: Logger,
}

impl EventLoop {
    /// Runs until all senders of messages have been dropped.
    pub(crate) async fn run(mut self) {
        loop {
            if !self.host.has_pending_events() {
                let wake_at = self.next_wakeup();
                tokio::select! {
                    message = self.inbox.recv() => match message {
                        Some(message) => self.handle_message(message),
                        None => return,
                    },
                    () = sleep_until(wake_at) => {}
                }
            }
            self.drain_inbox().await;
            self.process_batch();
            // Lets the other tasks run even if the host always has pending events.
            yield_now().await;
        }
    }

    fn now(&self) -> Micros {
        self.micros_at(Instant::now())
    }

    fn micros_at(&self, instant: Instant) -> Micros {
        Micros(instant.duration_since(self.clock_origin).as_micros() as i64)
    }

    fn next_wakeup(&self) -> Instant {
        match self.host.next_timer() {
            Some(at) => self.clock_origin + Duration::from_micros(at.0.max(0) as u64),
            None => Instant::now() + MAX_SLEEP,
        }
    }

    /// Lets the other tasks read from their sockets and handles their messages, before the next batch. After
    /// a pause of the machine, a client may have disconnected and answers may have arrived; the decision core
    /// has to know this before it decides what to send.
    async fn drain_inbox(&mut self) {
        let yields =
            if self.pause_detector.has_just_paused() { YIELDS_AFTER_PAUSE } else { YIELDS_BEFORE_BATCH };
        for _ in 0..yields {
            yield_now().await;
            while let Ok(message) = self.inbox.try_recv() {
                self.handle_message(message);
            }
        }
    }

    /// Has the host process one batch of events and executes the resulting commands.
    fn process_batch(&mut self) {
        let now = self.now();
        for command in self.host.process_batch(now) {
            self.execute(command);
        }
        self.ready.set(!self.stopping && self.host.is_ready());
    }

    /// Passes a message to the host and executes the commands that the host returns without running the
    /// decision core.
    fn handle_message(&mut self, message: Message) {
        self.dispatch(message);
        for command in self.host.take_commands() {
            self.execute(command);
        }
    }

    fn dispatch(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Query { query_number, request, reply } => {
                self.on_query(now, query_number, *request, reply)
            }
            Message::ClientDisconnected { query_number } => self.on_client_disconnected(query_number),
            Message::AttemptAnswered(answer) => {
                self.pools.attempt_answered(answer.attempt_id);
                self.host.attempt_answered(now, answer);
            }
            Message::ConnectionClosed { replica, connection, local_fault } => {
                self.on_connection_closed(now, replica, connection, local_fault);
            }
            Message::AttemptsUnsent(attempt_ids) => {
                self.pools.attempts_withdrawn(&attempt_ids);
                self.report_unsent(now, attempt_ids);
            }
            Message::EndpointUpdate(update) => self.host.endpoint_update(now, &update, false),
            Message::WatchLost(end) => self.host.endpoint_watch_lost(end),
            Message::WatchRequestFailed(end) => self.host.endpoint_watch_request_failed(end),
            Message::DiscoveryChanging => self.host.discovery_changing(),
            Message::DiscoveryChanged => self.host.discovery_changed(),
            Message::Shutdown { deadline } => {
                self.stopping = true;
                self.host.set_shutdown_deadline(self.micros_at(deadline));
            }
        }
    }

    fn on_query(&mut self, now: Micros, query_number: u64, query: QueryRequest, reply: ReplySender) {
        let key = query_key(&query.wire_id);
        let parts = query.parts.len();
        match self.host.admit(now, query) {
            Ok(id) => {
                self.recorder
                    .record(|| Record::for_query(EventKind::QueryAccepted, key).with_value(parts as u64));
                self.invariants.query_admitted(key);
                self.pending.insert(id, PendingQuery { query_number, key, reply });
            }
            Err(error) => {
                self.recorder.record(|| Record::for_query(EventKind::QueryNotAccepted, key));
                // Fails if the client has disconnected in the meantime. It needs no answer then.
                let _ = reply.send(Err(error));
            }
        }
    }

    fn on_client_disconnected(&mut self, query_number: u64) {
        let Some(id) = self.pending.id_of(query_number) else { return };
        if let Some(query) = self.pending.remove(id) {
            self.invariants.query_finished(query.key);
        }
        self.host.client_disconnected(id);
    }

    fn on_connection_closed(&mut self, now: Micros, replica: ReplicaId, connection: u64, local_fault: bool) {
        let closed = self.pools.connection_closed(replica, connection);
        for LostAttempt { attempt_id, written } in closed.lost_attempts {
            if local_fault {
                self.host.attempt_not_sent(now, attempt_id);
            } else {
                self.host.connection_lost(now, attempt_id, written);
            }
        }
        // The write of these calls had not started, so they are sent again if the replica is still in service
        // and the endpoint list is current enough.
        for parts in closed.unsent_calls {
            if self.host.list_allows_sends(now) {
                self.send(replica, parts, now);
            } else {
                self.report_unsent(now, parts.iter().map(|part| part.attempt_id).collect());
            }
        }
    }

    /// Reports to the host that attempts were not sent.
    fn report_unsent(&mut self, now: Micros, attempt_ids: Vec<AttemptId>) {
        for attempt_id in attempt_ids {
            self.host.attempt_not_sent(now, attempt_id);
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Send { replica, parts } => {
                for part in &parts {
                    let record =
                        || Record::for_part(EventKind::AttemptDecided, &part.id).with_value(replica.into());
                    self.recorder.record(record);
                }
                self.send(replica, parts, self.now());
            }
            Command::DrainEndpoint(replica) => {
                let now = self.now();
                self.invariants.endpoint_draining(replica);
                let unsent = self.pools.drain_replica(replica);
                self.report_unsent(now, unsent);
            }
            Command::Withdraw(attempt_id) => {
                if self.pools.withdraw(attempt_id) {
                    self.host.attempt_not_sent(self.now(), attempt_id);
                }
            }
            Command::Abandon(attempt_id) => self.pools.cancel(attempt_id),
            Command::Reply(id, reply) => self.reply(id, reply),
            // If the channel is full, the discovery task has not received the previous request yet. One watch
            // is enough for both requests.
            Command::WatchEndpoints => drop(self.watch_requests.try_send(())),
            Command::ReportOrphanedAttempts(attempts) => {
                let record = Record::for_query(EventKind::InvariantViolated, 0).with_value(attempts as u64);
                self.recorder.raise_alarm(ORPHANED_ATTEMPTS_ALARM, record);
            }
            Command::ReportForbiddenRetry(query) => {
                self.invariants.report_violation(Violation::UnsafeRetry, query_key(&query))
            }
            Command::Log(text) => info!(self.log, "decision core"; "remark" => text),
        }
    }

    fn reply(&mut self, id: Id, reply: Reply) {
        let Some(query) = self.pending.remove(id) else { return };
        // The flight recorder's codes for the kinds of replies.
        let reply_code = match &reply {
            Reply::Served { .. } => 0,
            Reply::Rejected { .. } => 1,
            Reply::Failed => 2,
        };
        self.recorder
            .record(|| Record::for_query(EventKind::ReplyDecided, query.key).with_detail(reply_code));
        self.invariants.query_finished(query.key);
        // Fails if the client has disconnected in the meantime. It needs no answer then.
        let _ = query.reply.send(Ok(reply));
    }

    /// Sends a call to a replica. Attempts that can't be sent are reported to the host as lost before they
    /// were written.
    fn send(&mut self, replica: ReplicaId, parts: Vec<OutgoingPart>, now: Micros) {
        let unsent = match self.host.endpoint_in_service(replica) {
            Some(endpoint) => {
                self.invariants.endpoint_in_service(replica);
                self.pools.send(replica, endpoint, parts)
            }
            None => parts.iter().map(|part| part.attempt_id).collect(),
        };
        for attempt_id in unsent {
            self.host.connection_lost(now, attempt_id, false);
        }
    }
}
