//! The event loop that owns the decision host: it feeds the host with the tasks' messages and executes its commands.

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

/// How long the loop sleeps at most where no timer is due.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// Turns that the other tasks get before a batch is decided: each reads what its socket holds.
const TURNS_BEFORE_BATCH: usize = 1;
/// The same after a pause of the process. What discovery sent meanwhile takes more turns: from its socket by the
/// connection's task and that of the watches to the event loop, and one to spare.
const TURNS_AFTER_PAUSE: usize = 4;

/// The code in the flight recorder of an alarm for attempts that outlive their query.
const STRAY_ATTEMPTS_ALARM: u8 = 1;

/// Sends the final answer to a query, or why it was not admitted, to its client's connection.
type ReplySender = oneshot::Sender<Result<Reply, AdmitError>>;

/// An admitted query that has no final answer yet.
struct PendingQuery {
    /// The number by which its client's connection knows it.
    token: u64,
    /// Its key in the flight recorder.
    key: QueryKey,
    /// Where its answer goes.
    reply: ReplySender,
}

/// The pending queries, by the host's ids and by the tokens of clients' connections.
#[derive(Default)]
pub(crate) struct PendingQueries {
    by_id: HashMap<Id, PendingQuery>,
    ids: HashMap<u64, Id>,
}

impl PendingQueries {
    fn insert(&mut self, id: Id, query: PendingQuery) {
        self.ids.insert(query.token, id);
        self.by_id.insert(id, query);
    }

    fn remove(&mut self, id: Id) -> Option<PendingQuery> {
        let query = self.by_id.remove(&id)?;
        self.ids.remove(&query.token);
        Some(query)
    }

    fn id_of(&self, token: u64) -> Option<Id> {
        self.ids.get(&token).copied()
    }
}

/// The event loop and all that it works with.
pub(crate) struct EventLoop {
    /// The decision host.
    pub(crate) host: Host,
    /// Connections to index servers.
    pub(crate) pools: ConnectionPools,
    /// When the host's clock stood at 0.
    pub(crate) clock_origin: Instant,
    /// Messages of the tasks.
    pub(crate) inbox: mpsc::Receiver<Message>,
    /// Asks the discovery task to open a watch.
    pub(crate) watch_requests: mpsc::Sender<()>,
    /// Queries that wait for their final answer.
    pub(crate) pending: PendingQueries,
    /// Set to whether the front node can serve queries.
    pub(crate) ready: Rc<Cell<bool>>,
    /// A shutdown was requested: the front node is not ready any more.
    pub(crate) stopping: bool,
    /// Records each event of a query.
    pub(crate) recorder: Rc<Recorder>,
    /// Checks the rules of the front node.
    pub(crate) invariants: Rc<Invariants>,
    /// Knows whether the process has just been paused.
    pub(crate) pause_detector: Rc<PauseDetector>,
    /// For remarks of the decision core.
    pub(crate) log: Logger,
}

impl EventLoop {
    /// Runs until no task can send a message any more.
    pub(crate) async fn run(mut self) {
        loop {
            if !self.host.has_pending_events() {
                let wake_at = self.next_timer();
                tokio::select! {
                    message = self.inbox.recv() => match message {
                        Some(message) => self.handle_message(message),
                        None => return,
                    },
                    () = sleep_until(wake_at) => {}
                }
            }
            self.drain_inbox().await;
            self.decide();
            // Each task gets its turn, even while the host has one event after the other.
            yield_now().await;
        }
    }

    fn now(&self) -> Micros {
        self.micros_at(Instant::now())
    }

    fn micros_at(&self, instant: Instant) -> Micros {
        Micros(instant.duration_since(self.clock_origin).as_micros() as i64)
    }

    fn next_timer(&self) -> Instant {
        match self.host.next_timer() {
            Some(at) => self.clock_origin + Duration::from_micros(at.0.max(0) as u64),
            None => Instant::now() + MAX_SLEEP,
        }
    }

    /// Lets the other tasks read their sockets and takes what they send, before anything is decided: after a pause of
    /// the machine a client may have left, and an answer may have come, for what is about to be sent.
    async fn drain_inbox(&mut self) {
        let turns =
            if self.pause_detector.has_just_paused() { TURNS_AFTER_PAUSE } else { TURNS_BEFORE_BATCH };
        for _ in 0..turns {
            yield_now().await;
            while let Ok(message) = self.inbox.try_recv() {
                self.handle_message(message);
            }
        }
    }

    /// Decides one batch of events and executes the commands.
    fn decide(&mut self) {
        let now = self.now();
        for command in self.host.process_batch(now) {
            self.execute(command);
        }
        self.ready.set(!self.stopping && self.host.can_serve());
    }

    /// Hands a message to the host and executes what follows from it without a decision.
    fn handle_message(&mut self, message: Message) {
        self.dispatch(message);
        for command in self.host.take_commands() {
            self.execute(command);
        }
    }

    fn dispatch(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Query { token, request, reply } => self.on_query(now, token, *request, reply),
            Message::ClientDisconnected { token } => self.on_client_gone(token),
            Message::AttemptAnswered(answer) => {
                self.pools.attempt_answered(answer.attempt_id);
                self.host.attempt_answered(now, answer);
            }
            Message::ConnectionClosed { replica, connection, local_fault } => {
                self.on_connection_closed(now, replica, connection, local_fault);
            }
            Message::AttemptsUnsent(attempt_ids) => {
                self.pools.attempts_withdrawn(&attempt_ids);
                self.attempts_unsent(now, attempt_ids);
            }
            Message::EndpointUpdate(event) => self.host.endpoint_update(now, &event, false),
            Message::WatchFailed => self.host.endpoint_watch_failed(),
            Message::Shutdown { deadline } => {
                self.stopping = true;
                self.host.set_shutdown_deadline(self.micros_at(deadline));
            }
        }
    }

    fn on_query(&mut self, now: Micros, token: u64, query: QueryRequest, reply: ReplySender) {
        let key = query_key(&query.wire_id);
        let parts = query.parts.len();
        match self.host.admit(now, query) {
            Ok(id) => {
                self.recorder
                    .record(|| Record::for_query(EventKind::QueryAccepted, key).with_value(parts as u64));
                self.invariants.query_admitted(key);
                self.pending.insert(id, PendingQuery { token, key, reply });
            }
            Err(rejection) => {
                self.recorder.record(|| Record::for_query(EventKind::QueryNotAccepted, key));
                // A client that has left meanwhile needs no answer.
                let _ = reply.send(Err(rejection));
            }
        }
    }

    fn on_client_gone(&mut self, token: u64) {
        let Some(id) = self.pending.id_of(token) else { return };
        if let Some(query) = self.pending.remove(id) {
            self.invariants.query_finished(query.key);
        }
        self.host.client_disconnected(id);
    }

    fn on_connection_closed(&mut self, now: Micros, replica: ReplicaId, number: u64, local_fault: bool) {
        let closed = self.pools.connection_closed(replica, number);
        for LostAttempt { attempt_id, written } in closed.lost_attempts {
            if local_fault {
                self.host.attempt_not_sent(now, attempt_id);
            } else {
                self.host.connection_lost(now, attempt_id, written);
            }
        }
        // No byte of these calls was written: they are sent again, if their index server is still in service.
        for parts in closed.unsent_calls {
            self.send(replica, parts, now);
        }
    }

    fn attempts_unsent(&mut self, now: Micros, attempt_ids: Vec<AttemptId>) {
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
                self.attempts_unsent(now, unsent);
            }
            Command::Withdraw(attempt_id) => {
                if self.pools.withdraw(attempt_id) {
                    self.host.attempt_not_sent(self.now(), attempt_id);
                }
            }
            Command::Abandon(attempt_id) => self.pools.cancel(attempt_id),
            Command::Reply(id, reply) => self.reply(id, reply),
            // The channel holds one request: a second one that waits would ask for the same.
            Command::WatchEndpoints => drop(self.watch_requests.try_send(())),
            Command::ReportOrphanedAttempts(attempts) => {
                let record = Record::for_query(EventKind::InvariantViolated, 0).with_value(attempts as u64);
                self.recorder.raise_alarm(STRAY_ATTEMPTS_ALARM, record);
            }
            Command::ReportForbiddenRetry(query) => {
                self.invariants.report_violation(Violation::UnsafeRetry, query_key(&query))
            }
            Command::Log(text) => info!(self.log, "decision core"; "remark" => text),
        }
    }

    fn reply(&mut self, id: Id, reply: Reply) {
        let Some(query) = self.pending.remove(id) else { return };
        // The codes of answers in the flight recorder.
        let kind = match &reply {
            Reply::Served { .. } => 0,
            Reply::Rejected { .. } => 1,
            Reply::Failed => 2,
        };
        self.recorder.record(|| Record::for_query(EventKind::ReplyDecided, query.key).with_detail(kind));
        self.invariants.query_finished(query.key);
        // A client that has left meanwhile needs no answer.
        let _ = query.reply.send(Ok(reply));
    }

    /// Sends a call to a replica; attempts that can't be sent are reported to the host as lost before any byte of them
    /// was written.
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
