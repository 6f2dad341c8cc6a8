//! The leader's watch over leases: when one has gone unrenewed long enough, it proposes the end.

use crate::table::LeaseTable;
use crate::types::{Command, Task, Token, DRIFT_PER_MILLE, MARGIN_MS};
use std::collections::BTreeMap;

/// What the leader counts for one lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Watch {
    token: Token,
    renewal: u64,
    ttl_ms: u64,
    /// The leader's moment from which the wait is counted: the later of the renewal's application and election.
    since_ms: u64,
    /// The leader's moment of its last proposal to end it, if any.
    proposed_ms: Option<u64>,
}

/// The leader's part in ending leases. Only a leader feeds it; one that steps down calls [`Expiry::step_down`].
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct Expiry {
    leading: bool,
    watch: BTreeMap<Task, Watch>,
}

impl Expiry {
    /// A watch that leads nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Milliseconds of the leader's clock after which a lease of `ttl_ms` unrenewed may end: its time, what a
    /// clock may run ahead in it, and the margin.
    pub fn wait_ms(ttl_ms: u64) -> u64 {
        ttl_ms + (ttl_ms * DRIFT_PER_MILLE).div_ceil(1000) + MARGIN_MS
    }

    /// This member became leader at `now_ms` with `table` applied: every lease that stands counts from now, since
    /// a renewal may have been applied by the leader before without this member's knowing when.
    pub fn elected(&mut self, now_ms: u64, table: &LeaseTable) {
        self.leading = true;
        self.watch.clear();
        self.observe(now_ms, table);
    }

    /// This member no longer leads: it proposes nothing more.
    pub fn step_down(&mut self) {
        self.leading = false;
        self.watch.clear();
    }

    /// Whether this member leads.
    pub fn leading(&self) -> bool {
        self.leading
    }

    /// The table after commands were applied at `now_ms`: new leases and renewals count from now, ended ones are
    /// forgotten.
    pub fn observe(&mut self, now_ms: u64, table: &LeaseTable) {
        if !self.leading {
            return;
        }
        self.watch.retain(|task, _| table.lease(task).is_some());
        for (task, lease) in table.leases() {
            let fresh = Watch {
                token: lease.token,
                renewal: lease.renewal,
                ttl_ms: lease.ttl_ms,
                since_ms: now_ms,
                proposed_ms: None,
            };
            let watch = self.watch.entry(task.clone()).or_insert(fresh);
            if watch.token != lease.token || watch.renewal != lease.renewal {
                *watch = fresh;
            }
        }
    }

    /// Commands to propose at `now_ms`: the end of each lease whose wait is over, once, and again after another
    /// wait should the first proposal have been lost.
    pub fn due(&mut self, now_ms: u64) -> Vec<Command> {
        if !self.leading {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (task, watch) in &mut self.watch {
            let wait = Self::wait_ms(watch.ttl_ms);
            let from = watch.proposed_ms.unwrap_or(watch.since_ms);
            if now_ms.saturating_sub(from) >= wait {
                watch.proposed_ms = Some(now_ms);
                due.push(Command::Expire { task: task.clone(), token: watch.token, renewal: watch.renewal });
            }
        }
        due
    }

    /// Milliseconds of the leader's clock until it may propose the end of the lease on `task`, if it watches one.
    pub fn left_ms(&self, task: &Task, now_ms: u64) -> Option<u64> {
        let watch = self.watch.get(task)?;
        Some((watch.since_ms + Self::wait_ms(watch.ttl_ms)).saturating_sub(now_ms))
    }

    /// The leader's next moment at which [`Expiry::due`] may propose something, if any.
    pub fn next_due(&self) -> Option<u64> {
        self.watch.values().map(|w| w.proposed_ms.unwrap_or(w.since_ms) + Self::wait_ms(w.ttl_ms)).min()
    }
}
