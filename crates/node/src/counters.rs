//! Counters of the node: what it has admitted, sent and answered, as `GET /stats` reports them.
//!
//! Each counter states its JSON key beside its field: the keys are a wire form and keep their spelling.
//! `docs/on-call.md` says which counters have to add up to which others.

use serde_json::{json, Map, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// One counter. It only grows, unless it counts what is open at the moment.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds `amount`.
    pub fn add(&self, amount: u64) {
        self.0.set(self.0.get() + amount);
    }

    /// Subtracts one, for counters of what is open; stays at 0 rather than wrapping.
    pub fn decrement(&self) {
        self.0.set(self.0.get().saturating_sub(1));
    }

    /// The present value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Declares a struct of counters and its report: `field => "JSON key"`.
macro_rules! counter_group {
    ($(#[$group_doc:meta])* $group:ident { $($(#[$doc:meta])* $field:ident => $key:literal),* $(,)? }) => {
        $(#[$group_doc])*
        #[derive(Debug, Default)]
        pub struct $group { $($(#[$doc])* pub $field: Counter),* }

        impl $group {
            fn report(&self) -> Value {
                let mut report = Map::new();
                $(report.insert($key.to_owned(), json!(self.$field.get()));)*
                Value::Object(report)
            }
        }
    };
}

counter_group! {
    /// Queries of one class. Each admitted query is complete, partial, rejected, failed, abandoned by its client, or open.
    QueryCounters {
        /// Handed to the decision core.
        admitted => "taken",
        /// Answered completely.
        complete => "whole",
        /// Answered in part.
        partial => "partial",
        /// Rejected by the decision core.
        rejected => "refused",
        /// Failed.
        failed => "failed",
        /// Those of `failed` that had no answer at their deadline.
        overdue => "overdue",
        /// Abandoned: the client disconnected before the answer.
        client_disconnected => "gone",
        /// Open at the moment.
        open => "held",
        /// Those of `admitted` that the client marked as its own retries.
        client_retries => "repeats",
        /// Second steps started.
        second_steps => "second_steps",
        /// Rejected before the decision core because the host was at capacity; not among those admitted.
        over_capacity => "over_held",
    }
}

counter_group! {
    /// Attempts. Each attempt sent has ended in one way or is in flight.
    AttemptCounters {
        /// Ordered by the decision core, all of them.
        sent => "sent",
        /// Those of `sent` that were not a part's first attempt.
        retries => "further",
        /// Those of `sent` that began while another attempt of the part was in flight.
        hedges => "hedges",
        /// Ended with an answer.
        ok => "ok",
        /// Ended with an error.
        error => "error",
        /// Rejected by the index server.
        rejected => "full",
        /// Ended by their timeout.
        timeout => "timeout",
        /// Without a connection.
        connect_failed => "connect_failed",
        /// In flight on a connection that ended.
        reset => "reset",
        /// Cancelled.
        cancelled => "cancelled",
        /// Never sent, for example because the query had ended.
        never_sent => "moot",
        /// In flight at the moment.
        in_flight => "out",
        /// Answers that came after their attempt had ended; dropped.
        late_answers => "late_answers",
    }
}

counter_group! {
    /// Connections and the traffic on them.
    ConnectionCounters {
        /// Connections of clients accepted.
        clients_accepted => "clients_accepted",
        /// Connections of clients open at the moment.
        clients_open => "clients_open",
        /// Requests read.
        requests => "requests",
        /// Requests rejected as malformed.
        bad_requests => "bad_requests",
        /// Failures to accept a connection.
        accept_failed => "accept_failed",
        /// Connections to index servers started.
        servers_begun => "servers_begun",
        /// Connections to index servers open or being established at the moment.
        servers_open => "servers_open",
        /// Connections to index servers that were never established.
        servers_failed => "servers_failed",
        /// Calls that found no connection because too many are open.
        servers_exhausted => "servers_none_left",
        /// Calls sent to index servers.
        calls => "calls",
        /// Bytes read from clients.
        client_bytes_in => "client_bytes_in",
        /// Bytes written to clients.
        client_bytes_out => "client_bytes_out",
        /// Bytes read from index servers.
        server_bytes_in => "server_bytes_in",
        /// Bytes written to index servers.
        server_bytes_out => "server_bytes_out",
    }
}

counter_group! {
    /// Watches of the endpoint list at discovery.
    DiscoveryCounters {
        /// Watches opened.
        watches => "watches",
        /// Watches that failed or ended.
        watches_lost => "lost",
        /// Full endpoint lists received.
        full_lists => "lists",
        /// Watch events with changes received.
        changes => "changes",
        /// Heartbeats received.
        heartbeats => "alive",
    }
}

counter_group! {
    /// The front node itself.
    NodeCounters {
        /// Batches that the decision core has processed.
        batches => "turns",
        /// Restarts of the decision core after a panic.
        core_restarts => "module_restarts",
        /// Attempts still in flight after the batch that followed their query's end.
        orphaned_attempts => "stray_attempts",
        /// New configurations put in force.
        reloads => "reloads",
        /// New configurations rejected; the old one stayed in force.
        reloads_rejected => "reloads_refused",
        /// Log lines dropped because the reader of the log had stalled.
        log_lines_dropped => "log_lines_dropped",
    }
}

counter_group! {
    /// Violations of the node's own invariants, found as it runs; anything over 0 is a defect.
    ViolationCounters {
        /// A part started after its query's final answer, or after its client was found to have disconnected.
        sent_after_end => "sent_after_end",
        /// A part sent to an index server that is draining or has left.
        sent_out_of_service => "sent_out_of_service",
        /// A second attempt of a part that may have run and is not idempotent; it was not sent.
        unsafe_retry => "repeated_in_vain",
        /// A part started after its deadline, or outside its idempotency window.
        sent_past_deadline => "sent_too_late",
        /// A connection closed by the node with a request read and no final answer.
        closed_unanswered => "closed_unanswered",
    }
}

counter_group! {
    /// Retries and hedged requests, by how the part's latest attempt had ended.
    RetryCounters {
        /// Hedged: another attempt was in flight.
        hedge => "hedge",
        /// After an error.
        after_error => "after_error",
        /// After a rejection by the index server.
        after_rejected => "after_full",
        /// After a timeout.
        after_timeout => "after_timeout",
        /// After no connection was established.
        after_connect_failed => "after_connect_failed",
        /// After its connection ended.
        after_reset => "after_reset",
        /// After it was cancelled.
        after_cancelled => "after_cancelled",
        /// After it was withdrawn unsent.
        after_never_sent => "after_moot",
    }
}

/// Closed connections, by side (`client`, `index_server`, `discovery`) and code of the close reason.
#[derive(Debug, Default)]
pub struct CloseCounters(RefCell<BTreeMap<&'static str, BTreeMap<&'static str, u64>>>);

impl CloseCounters {
    /// Counts one closed connection.
    pub fn increment(&self, side: &'static str, code: &'static str) {
        let mut sides = self.0.borrow_mut();
        let codes = sides.entry(side).or_default();
        *codes.entry(code).or_default() += 1;
    }

    fn report(&self) -> Value {
        json!(*self.0.borrow())
    }
}

/// The queries of one class.
#[derive(Debug)]
pub struct ClassCounters {
    /// The class's name in the settings, and its key under `queries` in the report.
    pub name: String,
    /// Its queries.
    pub queries: QueryCounters,
}

/// All counters of the node.
#[derive(Debug, Default)]
pub struct Counters {
    /// Queries, by the number of their class.
    pub classes: Vec<ClassCounters>,
    /// Attempts.
    pub attempts: AttemptCounters,
    /// Connections.
    pub connections: ConnectionCounters,
    /// Watches at discovery.
    pub discovery: DiscoveryCounters,
    /// The front node itself.
    pub node: NodeCounters,
    /// Violated invariants.
    pub violations: ViolationCounters,
    /// Retries by their cause.
    pub retries: RetryCounters,
    /// Closed connections by their close reason.
    pub closes: CloseCounters,
}

impl Counters {
    /// Counters at 0 for classes of these names, in the order of the settings.
    pub fn new(class_names: &[String]) -> Counters {
        let class = |name: &String| ClassCounters { name: name.clone(), queries: QueryCounters::default() };
        let classes = class_names.iter().map(class).collect();
        Counters { classes, ..Counters::default() }
    }

    /// All counters as the JSON object of `GET /stats`.
    pub fn report(&self) -> Value {
        let classes = self.classes.iter().map(|class| (class.name.clone(), class.queries.report()));
        json!({
            "queries": classes.collect::<Map<_, _>>(),
            "attempts": self.attempts.report(),
            "connections": self.connections.report(),
            "discovery": self.discovery.report(),
            "own": self.node.report(),
            "violations": self.violations.report(),
            "retries": self.retries.report(),
            "ends": self.closes.report(),
        })
    }
}
