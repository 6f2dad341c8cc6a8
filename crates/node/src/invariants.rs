//! Invariants of the front node, checked as it runs.
//!
//! They are checked where a part's first byte is written, where a client's connection ends, and where an attempt is
//! entered. Each check is one look-up, whatever the size of the fleet. The decision core keeps these invariants;
//! a violation is a defect of the node: it is counted under `violations`, noted by the flight recorder, and logged up
//! to [`MAX_LOGGED`] times.
//!
//! | counter | violation |
//! | --- | --- |
//! | `sent_after_end` | a part started after its query's final answer was decided or its client was found to have disconnected |
//! | `sent_out_of_service` | a part sent to an index server after it was known to be draining or to have left |
//! | `repeated_in_vain` | a retry of a part that may have run and is not idempotent |
//! | `sent_too_late` | a part started after its deadline, or outside its idempotency window |
//! | `closed_unanswered` | a connection closed by the node with a request that was read and got no final answer |

use crate::counters::{Counter, Counters};
use pinetrestle::interface::ReplicaId;
use pinetrestle_recorder::{EventKind, QueryKey, Record, Recorder};
use slog::{error, Logger};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

/// Index servers remembered as draining or gone. Where one more comes, all are dropped, and parts sent to them go
/// unchecked.
const MAX_DRAINING: usize = 4096;
/// Violations that are logged; all are counted.
const MAX_LOGGED: u32 = 20;

/// One invariant. Its number stands in the flight recorder's ring; 1 is an attempt that outlives its query (the counter
/// `own.stray_attempts`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// No part is started once its query has ended.
    SentAfterEnd = 2,
    /// No part is sent to an index server that is draining or has left.
    SentOutOfService = 3,
    /// No part that may have run is retried unless it is idempotent.
    UnsafeRetry = 4,
    /// No part is started after its deadline or outside its idempotency window.
    SentPastDeadline = 5,
    /// No connection is closed by the node with a request unanswered.
    ClosedUnanswered = 6,
}

/// A part whose first byte has just been written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartStart {
    /// The key of its query.
    pub(crate) query: QueryKey,
    /// The index server it is sent to.
    pub(crate) replica: ReplicaId,
    /// Its deadline or its idempotency window had passed.
    pub(crate) past_deadline: bool,
}

/// The state that the checks look up.
pub(crate) struct Invariants {
    counters: Rc<Counters>,
    recorder: Rc<Recorder>,
    log: Logger,
    /// Violations logged so far.
    logged: Cell<u32>,
    /// Queries that are open.
    open: RefCell<HashSet<QueryKey>>,
    /// Index servers that are draining or have left, unless a later endpoint list has them in service again.
    draining: RefCell<HashSet<ReplicaId>>,
}

impl Invariants {
    /// No query is open and no index server is draining yet.
    pub(crate) fn new(counters: Rc<Counters>, recorder: Rc<Recorder>, log: Logger) -> Invariants {
        Invariants {
            counters,
            recorder,
            log,
            logged: Cell::new(0),
            open: RefCell::default(),
            draining: RefCell::default(),
        }
    }

    /// A query is open from now on.
    pub(crate) fn query_admitted(&self, query: QueryKey) {
        self.open.borrow_mut().insert(query);
    }

    /// A query's final answer is decided, or its client has disconnected.
    pub(crate) fn query_finished(&self, query: QueryKey) {
        self.open.borrow_mut().remove(&query);
    }

    /// An index server is draining or has left the endpoint list.
    pub(crate) fn endpoint_draining(&self, replica: ReplicaId) {
        let mut draining = self.draining.borrow_mut();
        if draining.len() >= MAX_DRAINING {
            draining.clear();
        }
        draining.insert(replica);
    }

    /// A call is sent to an index server that the endpoint list has in service now.
    pub(crate) fn endpoint_in_service(&self, replica: ReplicaId) {
        self.draining.borrow_mut().remove(&replica);
    }

    /// A part's first byte was written.
    pub(crate) fn part_started(&self, part: PartStart) {
        if !self.open.borrow().contains(&part.query) {
            self.report_violation(Violation::SentAfterEnd, part.query);
        }
        if self.draining.borrow().contains(&part.replica) {
            self.report_violation(Violation::SentOutOfService, part.query);
        }
        if part.past_deadline {
            self.report_violation(Violation::SentPastDeadline, part.query);
        }
    }

    /// Counts, records and logs the violation of an invariant.
    pub(crate) fn report_violation(&self, violation: Violation, query: QueryKey) {
        self.counter(violation).increment();
        self.recorder.raise_alarm(violation as u8, Record::for_query(EventKind::InvariantViolated, query));
        if self.logged.get() < MAX_LOGGED {
            self.logged.set(self.logged.get() + 1);
            error!(self.log, "invariant broken"; "rule" => format!("{violation:?}"),
                "query" => format!("{query:016x}"));
        }
    }

    fn counter(&self, violation: Violation) -> &Counter {
        let violations = &self.counters.violations;
        match violation {
            Violation::SentAfterEnd => &violations.sent_after_end,
            Violation::SentOutOfService => &violations.sent_out_of_service,
            Violation::UnsafeRetry => &violations.unsafe_retry,
            Violation::SentPastDeadline => &violations.sent_past_deadline,
            Violation::ClosedUnanswered => &violations.closed_unanswered,
        }
    }
}

/// A request that was read and needs its final answer. Dropped without [`PendingReply::settle`], it is a violation of
/// [`Violation::ClosedUnanswered`].
pub(crate) struct PendingReply {
    invariants: Rc<Invariants>,
    query: QueryKey,
    settled: bool,
}

impl PendingReply {
    /// A request with this key, pending from now on.
    pub(crate) fn new(invariants: Rc<Invariants>, query: QueryKey) -> PendingReply {
        PendingReply { invariants, query, settled: false }
    }

    /// Its answer was written completely, or its client has disconnected or takes no more bytes.
    pub(crate) fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        if !self.settled {
            self.invariants.report_violation(Violation::ClosedUnanswered, self.query);
        }
    }
}
