//! Counters of the front node, reported by `GET /stats`.
//!
//! Each counter is declared with its JSON key, which may differ from the field name. The keys are part of
//! the external interface and must not change. `docs/on-call.md` describes which counters have to add up to
//! which others.

use serde_json::{json, Map, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// A counter. Its value only increases, except for gauges of what is currently open, which also use
/// [`Counter::decrement`].
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

    /// Subtracts one, for gauges of what is currently open. A value of 0 stays 0.
    pub fn decrement(&self) {
        self.0.set(self.0.get().saturating_sub(1));
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Declares a struct of counters with a `report` method that returns them as a JSON object. Each counter is
/// declared as `field => "JSON key"`.
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
    /// Counters of the queries of one class.
    ///
    /// Each admitted query is counted by exactly one of `complete`, `partial`, `rejected`, `failed`,
    /// `client_disconnected` and `open`.
    QueryCounters {
        /// Queries passed to the decision core.
        admitted => "taken",
        /// Queries answered completely.
        complete => "whole",
        /// Queries answered with only a part of the results.
        partial => "partial",
        /// Queries rejected by the decision core.
        rejected => "refused",
        /// Queries that failed.
        failed => "failed",
        /// Queries among `failed` that had no answer at their deadline.
        overdue => "overdue",
        /// Queries whose client disconnected before the answer.
        client_disconnected => "gone",
        /// Queries currently open.
        open => "held",
        /// Queries among `admitted` that the client marked as its own retries.
        client_retries => "repeats",
        /// Second steps started.
        second_steps => "second_steps",
        /// Queries rejected before they reached the decision core because the host was at capacity. Not
        /// included in `admitted`.
        over_capacity => "over_held",
    }
}

counter_group! {
    /// Counters of attempts.
    ///
    /// Each attempt in `sent` is counted by exactly one of the counters from `ok` to `in_flight`.
    AttemptCounters {
        /// Attempts requested by the decision core, including those in `never_sent`.
        sent => "sent",
        /// Attempts among `sent` that were not the first attempt of their part.
        retries => "further",
        /// Attempts among `sent` that started while another attempt of the part was in flight.
        hedges => "hedges",
        /// Attempts that ended with an answer.
        ok => "ok",
        /// Attempts that ended with an error.
        error => "error",
        /// Attempts rejected by the index server.
        rejected => "full",
        /// Attempts that timed out.
        timeout => "timeout",
        /// Attempts for which no connection was available or could be established.
        connect_failed => "connect_failed",
        /// Attempts that were in flight on a connection when it ended.
        reset => "reset",
        /// Attempts that were cancelled.
        cancelled => "cancelled",
        /// Attempts that were never sent, for example because the query had ended.
        never_sent => "moot",
        /// Attempts currently in flight.
        in_flight => "out",
        /// Answers that were dropped because they were received after their attempt had ended.
        late_answers => "late_answers",
    }
}

counter_group! {
    /// Counters of connections and the traffic on them.
    ConnectionCounters {
        /// Client connections accepted.
        clients_accepted => "clients_accepted",
        /// Client connections currently open.
        clients_open => "clients_open",
        /// Requests read.
        requests => "requests",
        /// Requests rejected as malformed.
        bad_requests => "bad_requests",
        /// Requests rejected because too many others were pipelined before them on their connection.
        pipeline_rejected => "pipeline_refused",
        /// Failures to accept a client connection.
        accept_failed => "accept_failed",
        /// Connections to index servers that the node started to open.
        servers_begun => "servers_begun",
        /// Connections to index servers currently open or being opened.
        servers_open => "servers_open",
        /// Connections to index servers that could not be established.
        servers_failed => "servers_failed",
        /// Calls that were not sent because the maximum number of connections to index servers was open.
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
        /// Large requests and answers that had to wait until memory for them could be reserved.
        memory_waits => "memory_waits",
        /// Bytes of reserved memory that were revoked from peers that had stalled in the middle of a message.
        memory_revoked => "memory_revoked",
        /// Times that the task of a connection had processed so much from its peer in a row that it let the
        /// other tasks run.
        forced_yields => "forced_yields",
    }
}

counter_group! {
    /// Counters of the watches on the endpoint list at discovery.
    DiscoveryCounters {
        /// Watches opened.
        watches => "watches",
        /// Times that no watch was active or pending after one failed or ended.
        watches_lost => "lost",
        /// Complete endpoint lists received.
        full_lists => "lists",
        /// Updates received that contain only the changes to the endpoint list.
        changes => "changes",
        /// Keep-alives received.
        keep_alives => "alive",
    }
}

counter_group! {
    /// Counters of the front node itself.
    NodeCounters {
        /// Batches of events processed by the decision core.
        batches => "turns",
        /// Restarts of the decision core after a panic.
        core_restarts => "module_restarts",
        /// Attempts that were still in flight after the batch that followed the end of their query.
        orphaned_attempts => "stray_attempts",
        /// Reloads that applied a new configuration.
        reloads => "reloads",
        /// Reloads whose configuration was rejected, so that the previous one stayed in effect.
        reloads_rejected => "reloads_refused",
        /// Log lines dropped because the reader of the log had stalled.
        log_lines_dropped => "log_lines_dropped",
    }
}

counter_group! {
    /// Counters of violated invariants, which the node checks at run time. A value above 0 indicates a
    /// defect.
    ViolationCounters {
        /// Parts whose write started after the final answer to the query, or after the client was found to
        /// have disconnected.
        sent_after_end => "sent_after_end",
        /// Parts sent to an index server that is draining or was removed from the endpoint list.
        sent_out_of_service => "sent_out_of_service",
        /// Further attempts of parts that are not idempotent and may have run. These attempts were not sent.
        unsafe_retry => "repeated_in_vain",
        /// Parts whose write started after their deadline or outside their idempotency window.
        sent_past_deadline => "sent_too_late",
        /// Client connections that the node closed after reading a request, without a final answer to it.
        closed_unanswered => "closed_unanswered",
    }
}

counter_group! {
    /// Counters of retries and hedged requests, by the outcome of the previous attempt of the part.
    RetryCounters {
        /// Hedged requests: another attempt of the part was in flight.
        hedge => "hedge",
        /// Retries after an error.
        after_error => "after_error",
        /// Retries after a rejection by the index server.
        after_rejected => "after_full",
        /// Retries after a timeout.
        after_timeout => "after_timeout",
        /// Retries after an attempt for which no connection was established.
        after_connect_failed => "after_connect_failed",
        /// Retries after an attempt whose connection ended.
        after_reset => "after_reset",
        /// Retries after a cancelled attempt.
        after_cancelled => "after_cancelled",
        /// Retries after an attempt that was never sent.
        after_never_sent => "after_moot",
    }
}

/// Counters of closed connections, by kind of peer (`client`, `index_server` or `discovery`) and code of the
/// [`CloseReason`](crate::close_reason::CloseReason).
#[derive(Debug, Default)]
pub struct CloseCounters(RefCell<BTreeMap<&'static str, BTreeMap<&'static str, u64>>>);

impl CloseCounters {
    /// Counts a closed connection to the given kind of peer.
    pub fn increment(&self, side: &'static str, code: &'static str) {
        let mut sides = self.0.borrow_mut();
        let codes = sides.entry(side).or_default();
        *codes.entry(code).or_default() += 1;
    }

    fn report(&self) -> Value {
        json!(*self.0.borrow())
    }
}

/// Name and counters of one class.
#[derive(Debug)]
pub struct ClassCounters {
    /// Name of the class in the settings, and its key under `queries` in the report.
    pub name: String,
    /// Counters of the queries of this class.
    pub queries: QueryCounters,
}

/// All counters of the node.
#[derive(Debug, Default)]
pub struct Counters {
    /// Counters of queries, in the order of the classes in the settings.
    pub classes: Vec<ClassCounters>,
    /// Counters of attempts.
    pub attempts: AttemptCounters,
    /// Counters of connections and their traffic.
    pub connections: ConnectionCounters,
    /// Counters of watches on the endpoint list.
    pub discovery: DiscoveryCounters,
    /// Counters of the front node itself.
    pub node: NodeCounters,
    /// Counters of violated invariants.
    pub violations: ViolationCounters,
    /// Counters of retries and hedged requests, by cause.
    pub retries: RetryCounters,
    /// Counters of closed connections, by close reason.
    pub closes: CloseCounters,
}

impl Counters {
    /// Creates counters with value 0, for classes with these names in the order of the settings.
    pub fn new(class_names: &[String]) -> Counters {
        let class = |name: &String| ClassCounters { name: name.clone(), queries: QueryCounters::default() };
        let classes = class_names.iter().map(class).collect();
        Counters { classes, ..Counters::default() }
    }

    /// Returns all counters as the JSON object that `GET /stats` reports.
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
