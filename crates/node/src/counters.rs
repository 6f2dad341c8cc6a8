//! What the front node has taken in, sent and answered.

use serde_json::{json, Map, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// One count.
#[derive(Debug, Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// One more.
    pub fn one(&self) {
        self.more(1);
    }

    /// So many more.
    pub fn more(&self, by: u64) {
        self.0.set(self.0.get() + by);
    }

    /// One fewer, for counts of what is open.
    pub fn less(&self) {
        self.0.set(self.0.get().saturating_sub(1));
    }

    /// The count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

macro_rules! group {
    ($(#[$about:meta])* $name:ident { $($(#[$doc:meta])* $field:ident),* $(,)? }) => {
        $(#[$about])*
        #[derive(Debug, Default)]
        pub struct $name { $($(#[$doc])* pub $field: Count),* }

        impl $name {
            fn report(&self) -> Value {
                let mut map = Map::new();
                $(map.insert(stringify!($field).to_owned(), json!(self.$field.get()));)*
                Value::Object(map)
            }
        }
    };
}

group! {
    /// Queries of one class. What is taken is answered, refused, failed, gone or held.
    Queries {
        /// Handed to the module.
        taken,
        /// Answered whole.
        whole,
        /// Answered in part.
        partial,
        /// Refused by the module.
        refused,
        /// Failed.
        failed,
        /// Of those failed: without an answer when their time was up.
        overdue,
        /// Left by their clients.
        gone,
        /// Still open.
        held,
        /// Repeats, as marked by clients, among those taken.
        repeats,
        /// Second steps begun.
        second_steps,
        /// Refused before the module because too much is held; not among those taken.
        over_held,
    }
}

group! {
    /// Attempts. What is sent has ended one way or is out.
    Attempts {
        /// Ordered by the module, all of them.
        sent,
        /// Of those: a part's second, third ... attempt.
        further,
        /// Of those: while another attempt of the same part was out.
        hedges,
        /// Ended with an answer.
        ok,
        /// Ended with an error.
        error,
        /// Turned away.
        full,
        /// Ended by their time-out.
        timeout,
        /// Without a connection.
        connect_failed,
        /// Out on a connection that ended.
        reset,
        /// Cancelled.
        cancelled,
        /// Never sent, as their query was over.
        moot,
        /// Still out.
        out,
        /// Answers that came after their attempt had ended.
        late_answers,
    }
}

group! {
    /// Connections and what goes over them.
    Connections {
        /// Of clients, accepted.
        clients_accepted,
        /// Of clients, open.
        clients_open,
        /// Requests read.
        requests,
        /// Requests turned down as malformed.
        bad_requests,
        /// Accepting failed.
        accept_failed,
        /// To index servers, begun.
        servers_begun,
        /// To index servers, open or coming up.
        servers_open,
        /// To index servers, never came up.
        servers_failed,
        /// Calls that found no connection because too many are open.
        servers_none_left,
        /// Calls sent to index servers.
        calls,
        /// Bytes from clients.
        client_bytes_in,
        /// Bytes to clients.
        client_bytes_out,
        /// Bytes from index servers.
        server_bytes_in,
        /// Bytes to index servers.
        server_bytes_out,
    }
}

group! {
    /// Calls of discovery.
    Discovery {
        /// Watches begun.
        watches,
        /// Watches that failed or ended.
        lost,
        /// Whole lists taken in.
        lists,
        /// Lines of changes taken in.
        changes,
        /// Signs of life.
        alive,
    }
}

group! {
    /// The front node itself.
    Own {
        /// Times the module decided.
        turns,
        /// Times the module broke down and was begun anew.
        module_restarts,
        /// Attempts still out after the turn that followed their query's end.
        stray_attempts,
        /// New configurations put in force.
        reloads,
        /// New configurations refused: the old one stayed.
        reloads_refused,
        /// Log lines dropped because nobody read them.
        log_lines_dropped,
    }
}

group! {
    /// Rules of the node's own that were found broken as it ran: anything over 0 is a defect.
    Violations {
        /// A part begun after its query's final answer, or after its client was found to have left.
        sent_after_end,
        /// A part begun to an index server that drains or has left.
        sent_out_of_service,
        /// A second attempt of a part that may have run and may not be repeated; it was not sent.
        repeated_in_vain,
        /// A part begun after the time for it, or its repeat window, was over.
        sent_too_late,
        /// A connection ended by us with a request read and no final answer.
        closed_unanswered,
    }
}

group! {
    /// Further attempts, by how the part's latest attempt had ended, or that it had not.
    Retries {
        /// While another was out.
        hedge,
        /// After an error.
        after_error,
        /// After it was turned away.
        after_full,
        /// After a time-out.
        after_timeout,
        /// After no connection came up.
        after_connect_failed,
        /// After its connection ended.
        after_reset,
        /// After it was cancelled.
        after_cancelled,
        /// After it was taken back unsent.
        after_moot,
    }
}

/// Ends of connections by side and reason.
#[derive(Debug, Default)]
pub struct Ends(RefCell<BTreeMap<&'static str, BTreeMap<&'static str, u64>>>);

impl Ends {
    /// One more.
    pub fn one(&self, side: &'static str, reason: &'static str) {
        *self.0.borrow_mut().entry(side).or_default().entry(reason).or_default() += 1;
    }

    fn report(&self) -> Value {
        json!(*self.0.borrow())
    }
}

/// All counts.
#[derive(Debug, Default)]
pub struct Counters {
    /// By class: its name and its queries.
    pub classes: Vec<(String, Queries)>,
    /// Attempts.
    pub attempts: Attempts,
    /// Connections.
    pub connections: Connections,
    /// Discovery.
    pub discovery: Discovery,
    /// The front node itself.
    pub own: Own,
    /// Rules found broken.
    pub violations: Violations,
    /// Why parts were tried again.
    pub retries: Retries,
    /// Why connections ended.
    pub ends: Ends,
}

impl Counters {
    /// Counts for classes of these names.
    pub fn new(classes: &[String]) -> Counters {
        let classes = classes.iter().map(|name| (name.clone(), Queries::default())).collect();
        Counters { classes, ..Counters::default() }
    }

    /// All of them as JSON.
    pub fn report(&self) -> Value {
        let classes = self.classes.iter().map(|(name, queries)| (name.clone(), queries.report()));
        json!({
            "queries": classes.collect::<Map<_, _>>(),
            "attempts": self.attempts.report(),
            "connections": self.connections.report(),
            "discovery": self.discovery.report(),
            "own": self.own.report(),
            "violations": self.violations.report(),
            "retries": self.retries.report(),
            "ends": self.ends.report(),
        })
    }
}
