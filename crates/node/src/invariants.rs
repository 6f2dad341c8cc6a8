//! Invariants of the front node, checked at run time.
//!
//! The checks run when the first byte of a part is written, when the connection of a client ends, and when an
//! attempt is started. Each check is a single hash look-up, so its cost does not depend on the size of the
//! fleet. A violation is a defect of the front node, since the decision core has to maintain these
//! invariants. Violations are counted in the group `violations` and noted by the flight recorder. The first
//! [`MAX_LOGGED`] are also logged.
//!
//! | counter | violation |
//! | --- | --- |
//! | `sent_after_end` | [`Violation::SentAfterEnd`] |
//! | `sent_out_of_service` | [`Violation::SentOutOfService`] |
//! | `repeated_in_vain` | [`Violation::UnsafeRetry`] |
//! | `sent_too_late` | [`Violation::SentPastDeadline`] |
//! | `closed_unanswered` | [`Violation::ClosedUnanswered`] |

use crate::counters::{Counter, Counters};
use pinetrestle::interface::ReplicaId;
use pinetrestle_recorder::{EventKind, QueryKey, Record, Recorder};
use slog::{error, Logger};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

/// Maximum number of draining or removed replicas that are tracked. Before one more is added, the set is
/// cleared; parts sent to the replicas that were in it are not detected any more.
const MAX_DRAINING: usize = 4096;
/// Maximum number of violations that are logged. All violations are counted.
const MAX_LOGGED: u32 = 20;

/// A violated invariant. The flight recorder stores the number of the variant; the number 1 stands for an
/// attempt in flight whose query has ended (counter `own.stray_attempts`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A part was started after the final answer to its query was decided, or after its client was found to
    /// have disconnected.
    SentAfterEnd = 2,
    /// A part was sent to an index server that was known to be draining or removed.
    SentOutOfService = 3,
    /// The decision core ordered a retry of a part that may have run and is not idempotent.
    UnsafeRetry = 4,
    /// A part was started after its deadline or outside its idempotency window.
    SentPastDeadline = 5,
    /// The node closed a connection on which it had read a request and not sent the final answer.
    ClosedUnanswered = 6,
}

/// A part whose first byte has just been written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartStart {
    /// Key of the part's query.
    pub(crate) query: QueryKey,
    /// The replica that the part is sent to.
    pub(crate) replica: ReplicaId,
    /// Whether the deadline or the idempotency window of the part had passed.
    pub(crate) past_deadline: bool,
}

/// The state that the checks need, and the counters, flight recorder and log that violations are reported to.
pub(crate) struct Invariants {
    counters: Rc<Counters>,
    recorder: Rc<Recorder>,
    log: Logger,
    /// Number of violations logged so far.
    logged: Cell<u32>,
    /// Keys of the open queries.
    open_queries: RefCell<HashSet<QueryKey>>,
    /// Replicas that are draining or removed. A replica is deleted from the set when a call is sent to it
    /// after a later endpoint list has put it in service again.
    draining: RefCell<HashSet<ReplicaId>>,
}

impl Invariants {
    /// Creates the checks, without any open query or draining replica.
    pub(crate) fn new(counters: Rc<Counters>, recorder: Rc<Recorder>, log: Logger) -> Invariants {
        Invariants {
            counters,
            recorder,
            log,
            logged: Cell::new(0),
            open_queries: RefCell::default(),
            draining: RefCell::default(),
        }
    }

    /// Notes that a query was admitted.
    pub(crate) fn query_admitted(&self, query: QueryKey) {
        self.open_queries.borrow_mut().insert(query);
    }

    /// Notes that the final answer to a query was decided, or that its client has disconnected.
    pub(crate) fn query_finished(&self, query: QueryKey) {
        self.open_queries.borrow_mut().remove(&query);
    }

    /// Notes that a replica is draining or was removed from the endpoint list.
    pub(crate) fn endpoint_draining(&self, replica: ReplicaId) {
        let mut draining = self.draining.borrow_mut();
        if draining.len() >= MAX_DRAINING {
            draining.clear();
        }
        draining.insert(replica);
    }

    /// Notes that a replica is in service according to the current endpoint list. Invoked whenever a call is
    /// about to be sent to it.
    pub(crate) fn endpoint_in_service(&self, replica: ReplicaId) {
        self.draining.borrow_mut().remove(&replica);
    }

    /// Checks a part whose first byte was just written.
    pub(crate) fn part_started(&self, part: PartStart) {
        if !self.open_queries.borrow().contains(&part.query) {
            self.report_violation(Violation::SentAfterEnd, part.query);
        }
        if self.draining.borrow().contains(&part.replica) {
            self.report_violation(Violation::SentOutOfService, part.query);
        }
        if part.past_deadline {
            self.report_violation(Violation::SentPastDeadline, part.query);
        }
    }

    /// Counts, records and logs a violation.
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

/// Guard for a request that was read and has to be answered. Reports [`Violation::ClosedUnanswered`] if it is
/// dropped without a call of [`PendingReply::settle`].
pub(crate) struct PendingReply {
    invariants: Rc<Invariants>,
    query: QueryKey,
    settled: bool,
}

impl PendingReply {
    /// Creates the guard for a request. `query` is its key in the flight recorder, 0 if the request is not a
    /// query.
    pub(crate) fn new(invariants: Rc<Invariants>, query: QueryKey) -> PendingReply {
        PendingReply { invariants, query, settled: false }
    }

    /// Ends the guard without a violation. To be called once the answer was completely written, or if the
    /// client has disconnected or accepts no more bytes.
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
