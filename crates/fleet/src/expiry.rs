//! Expiry of leases by the leader of the replicated log: the leader proposes to expire a lease that has not
//! been renewed for its time to live plus a safety margin.

use crate::table::LeaseTable;
use crate::types::{Command, Lease, Task, Token, EXPIRY_MARGIN_MS, MAX_CLOCK_DRIFT_PER_MILLE};
use std::collections::BTreeMap;

/// The state of one lease as the leader last observed it. Times are milliseconds of the leader's monotonic
/// clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ObservedLease {
    token: Token,
    /// Number of renewals that had been applied to the lease.
    renewals: u64,
    ttl_ms: u64,
    /// When the leader first observed the lease with this token and number of renewals: when it applied the
    /// grant or the renewal, or when it was elected if that was later.
    since_ms: u64,
    /// When the expiry of the lease was last proposed; `None` if it has not been proposed.
    proposed_ms: Option<u64>,
}

impl ObservedLease {
    fn new(lease: &Lease, now_ms: u64) -> Self {
        Self {
            token: lease.token,
            renewals: lease.renewals,
            ttl_ms: lease.ttl_ms,
            since_ms: now_ms,
            proposed_ms: None,
        }
    }

    /// Returns whether `lease` is still the observed lease: neither renewed since this observation nor
    /// replaced by a lease with another token.
    fn is_current(&self, lease: &Lease) -> bool {
        self.token == lease.token && self.renewals == lease.renewals
    }

    /// Returns when the expiry of the lease is to be proposed next.
    fn due_ms(&self) -> u64 {
        self.proposed_ms.unwrap_or(self.since_ms) + ExpiryMonitor::expiry_delay_ms(self.ttl_ms)
    }
}

/// Decides when the leader proposes to expire a lease.
///
/// Every member has a monitor, but only that of the leader observes leases and proposes commands. A member
/// calls [`ExpiryMonitor::become_leader`] when it is elected and [`ExpiryMonitor::step_down`] when it loses
/// leadership.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct ExpiryMonitor {
    is_leader: bool,
    leases: BTreeMap<Task, ObservedLease>,
}

impl ExpiryMonitor {
    /// Creates the monitor of a member that is not the leader.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns after how many milliseconds of the leader's clock a lease of `ttl_ms` that has not been
    /// renewed may be expired: its time to live, plus the clock drift allowed over that time, plus
    /// [`EXPIRY_MARGIN_MS`].
    pub fn expiry_delay_ms(ttl_ms: u64) -> u64 {
        let drift_ms = (ttl_ms * MAX_CLOCK_DRIFT_PER_MILLE).div_ceil(1000);
        ttl_ms + drift_ms + EXPIRY_MARGIN_MS
    }

    /// Starts to observe the leases of `table`, because this member was elected leader at `now_ms`.
    ///
    /// The time to live of every lease is counted from `now_ms`: this member does not know when the previous
    /// leader applied the last renewal.
    pub fn become_leader(&mut self, now_ms: u64, table: &LeaseTable) {
        self.is_leader = true;
        self.leases.clear();
        self.observe(now_ms, table);
    }

    /// Stops observing leases and proposing commands, because this member lost leadership.
    pub fn step_down(&mut self) {
        self.is_leader = false;
        self.leases.clear();
    }

    /// Returns whether this member is the leader.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Updates the observed leases from `table`, to which commands were applied at `now_ms`.
    ///
    /// The time to live of a new or renewed lease is counted from `now_ms`. Leases that have ended are
    /// dropped.
    pub fn observe(&mut self, now_ms: u64, table: &LeaseTable) {
        if !self.is_leader {
            return;
        }
        self.leases.retain(|task, _| table.lease(task).is_some());
        for (task, lease) in table.leases() {
            let observed =
                self.leases.entry(task.clone()).or_insert_with(|| ObservedLease::new(lease, now_ms));
            if !observed.is_current(lease) {
                *observed = ObservedLease::new(lease, now_ms);
            }
        }
    }

    /// Returns the commands to propose at `now_ms`: a [`Command::Expire`] for each lease whose expiry delay
    /// ([`ExpiryMonitor::expiry_delay_ms`]) has passed.
    ///
    /// A proposal may be lost, so the expiry of a lease that is still in the table is proposed again after
    /// each further expiry delay.
    pub fn poll(&mut self, now_ms: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        for (task, lease) in &mut self.leases {
            if now_ms >= lease.due_ms() {
                lease.proposed_ms = Some(now_ms);
                commands.push(Command::Expire {
                    task: task.clone(),
                    token: lease.token,
                    renewals: lease.renewals,
                });
            }
        }
        commands
    }

    /// Returns the milliseconds of the leader's clock until the expiry of the lease of `task` may first be
    /// proposed, or `None` if this monitor observes no such lease.
    pub fn remaining_ms(&self, task: &Task, now_ms: u64) -> Option<u64> {
        let lease = self.leases.get(task)?;
        let due_ms = lease.since_ms + Self::expiry_delay_ms(lease.ttl_ms);
        Some(due_ms.saturating_sub(now_ms))
    }

    /// Returns the time on the leader's clock, in milliseconds, at which [`ExpiryMonitor::poll`] next has a
    /// command to propose, or `None` if this monitor observes no lease.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.leases.values().map(ObservedLease::due_ms).min()
    }
}
