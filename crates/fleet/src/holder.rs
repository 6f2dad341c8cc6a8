//! The member's side of a lease: when a member requests, renews and releases the lease of one task, and
//! whether it may act under that lease now.

use crate::types::{Command, MemberId, Outcome, Refusal, RequestId, Task, Token};

/// A request that has been sent and whose outcome has not been received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PendingRequest {
    /// The id of the request.
    pub id: RequestId,
    /// When the request was first sent, in milliseconds of the member's monotonic clock. The time to live of
    /// a lease that this request acquires or renews is counted from this time.
    pub sent_ms: u64,
}

/// The state of a [`LeaseHolder`]. Times are milliseconds of the member's monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseHolderState {
    /// The member does not hold the lease and has no request in flight.
    Idle {
        /// The earliest time at which the member may request the lease.
        retry_at_ms: u64,
    },
    /// The member has requested the lease and has not received the outcome.
    Acquiring {
        /// The request in flight.
        request: PendingRequest,
    },
    /// The member holds the lease.
    Holding {
        /// The fencing token of the lease.
        token: Token,
        /// The time from which the member no longer acts under the lease, unless the lease is renewed.
        expires_at_ms: u64,
        /// The renewal request in flight, if any.
        renewal: Option<PendingRequest>,
    },
}

/// Acquires, renews and releases the lease of one task for one member.
///
/// A `LeaseHolder` exists whether or not the member currently holds the lease ([`LeaseHolderState`]). All
/// times are milliseconds of the member's own monotonic clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    task: Task,
    member: MemberId,
    /// The time to live to request for the lease, in milliseconds.
    ttl_ms: u64,
    /// Whether the member wants to hold the lease.
    is_wanted: bool,
    /// The id of the next new request.
    next_request: u64,
    state: LeaseHolderState,
}

impl LeaseHolder {
    /// Creates the lease holder of `task` at `member`, which requests leases of `ttl_ms` milliseconds.
    ///
    /// Request ids start above `last_request`. Pass [`crate::LeaseTable::last_request`] of the member and the
    /// task, or any id that is at least as high as every id used by earlier incarnations of the member.
    pub fn new(task: Task, member: MemberId, ttl_ms: u64, last_request: Option<RequestId>) -> Self {
        Self {
            task,
            member,
            ttl_ms,
            is_wanted: false,
            next_request: last_request.map_or(1, |request| request.0 + 1),
            state: LeaseHolderState::Idle { retry_at_ms: 0 },
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> LeaseHolderState {
        self.state
    }

    /// Returns the task of the lease.
    pub fn task(&self) -> &Task {
        &self.task
    }

    /// Returns whether the member wants to hold the lease.
    pub fn is_wanted(&self) -> bool {
        self.is_wanted
    }

    /// Sets whether the member wants to hold the lease. If it holds the lease and no longer wants it, the
    /// next call of [`LeaseHolder::poll`] returns the command that releases the lease.
    pub fn set_wanted(&mut self, wanted: bool) {
        self.is_wanted = wanted;
    }

    /// Returns the fencing token under which the member may act at `now_ms`, or `None` if it holds no valid
    /// lease.
    ///
    /// The time to live is counted from when the request was sent. A lease that has expired by that count
    /// changes the state to [`LeaseHolderState::Idle`].
    pub fn valid_token(&mut self, now_ms: u64) -> Option<Token> {
        let LeaseHolderState::Holding { token, expires_at_ms, .. } = self.state else { return None };
        if now_ms < expires_at_ms {
            return Some(token);
        }
        self.state = LeaseHolderState::Idle { retry_at_ms: now_ms };
        None
    }

    /// Returns the command to send at `now_ms`, if any.
    ///
    /// That is a request for the lease, a release, or a renewal once a third of the time to live has passed.
    /// A request or renewal without an outcome is sent again with the same id, so that the table applies it
    /// once.
    pub fn poll(&mut self, now_ms: u64) -> Option<Command> {
        self.valid_token(now_ms);
        match self.state {
            LeaseHolderState::Idle { retry_at_ms } => {
                (self.is_wanted && now_ms >= retry_at_ms).then(|| self.begin_acquire(now_ms))
            }
            LeaseHolderState::Acquiring { request } => self.resend_acquire(now_ms, request),
            LeaseHolderState::Holding { token, .. } if !self.is_wanted => Some(self.release(now_ms, token)),
            LeaseHolderState::Holding { token, renewal: Some(renewal), .. } => {
                self.resend_is_due(now_ms, renewal).then(|| self.acquire_command(renewal.id, Some(token)))
            }
            LeaseHolderState::Holding { token, expires_at_ms, renewal: None } => {
                let renew_is_due = now_ms + self.ttl_ms * 2 / 3 >= expires_at_ms;
                renew_is_due.then(|| self.begin_renewal(now_ms, token, expires_at_ms))
            }
        }
    }

    /// Updates the state with the outcome of request `id`, which was received at `now_ms`. Outcomes of
    /// requests other than the one in flight are ignored.
    pub fn handle_outcome(&mut self, now_ms: u64, id: RequestId, outcome: &Outcome) {
        let in_flight = match self.state {
            LeaseHolderState::Acquiring { request } => Some(request),
            LeaseHolderState::Holding { renewal, .. } => renewal,
            LeaseHolderState::Idle { .. } => None,
        };
        let Some(request) = in_flight.filter(|request| request.id == id) else { return };
        self.state = match outcome {
            Outcome::Granted(token) | Outcome::Renewed(token) => LeaseHolderState::Holding {
                token: *token,
                expires_at_ms: request.sent_ms + self.ttl_ms,
                renewal: None,
            },
            Outcome::Refused(Refusal::StaleRequest) => {
                // The table has applied a higher request id of this member: the member restarted without
                // knowing the last id that it had used. Retry with the next id.
                self.next_request += 1;
                LeaseHolderState::Idle { retry_at_ms: now_ms }
            }
            // Normally `lease_ended` reports the end of the other member's lease, as soon as it is applied
            // from the log. The retry after a whole time to live covers the case that this report was missed.
            Outcome::Busy { .. } => LeaseHolderState::Idle { retry_at_ms: now_ms + self.ttl_ms },
            Outcome::Released | Outcome::Expired | Outcome::Refused(_) => {
                LeaseHolderState::Idle { retry_at_ms: now_ms + self.resend_interval_ms() }
            }
        };
        self.valid_token(now_ms);
    }

    /// Records that a release or expiry of the task's lease was applied from the log at `now_ms`. An idle
    /// holder may then request the lease with its next [`LeaseHolder::poll`] instead of waiting for its retry
    /// time.
    pub fn lease_ended(&mut self, now_ms: u64) {
        if let LeaseHolderState::Idle { retry_at_ms } = &mut self.state {
            *retry_at_ms = (*retry_at_ms).min(now_ms);
        }
    }

    /// Returns after how many milliseconds a request without an outcome is sent again.
    fn resend_interval_ms(&self) -> u64 {
        self.ttl_ms / 4
    }

    fn resend_is_due(&self, now_ms: u64, request: PendingRequest) -> bool {
        now_ms >= request.sent_ms + self.resend_interval_ms()
    }

    fn begin_acquire(&mut self, now_ms: u64) -> Command {
        let request = self.new_request(now_ms);
        self.state = LeaseHolderState::Acquiring { request };
        self.acquire_command(request.id, None)
    }

    fn resend_acquire(&mut self, now_ms: u64, request: PendingRequest) -> Option<Command> {
        if !self.resend_is_due(now_ms, request) {
            return None;
        }
        if now_ms >= request.sent_ms + self.ttl_ms {
            // A lease granted to this request would have expired already.
            return Some(self.begin_acquire(now_ms));
        }
        Some(self.acquire_command(request.id, None))
    }

    fn begin_renewal(&mut self, now_ms: u64, token: Token, expires_at_ms: u64) -> Command {
        let renewal = self.new_request(now_ms);
        self.state = LeaseHolderState::Holding { token, expires_at_ms, renewal: Some(renewal) };
        self.acquire_command(renewal.id, Some(token))
    }

    fn release(&mut self, now_ms: u64, token: Token) -> Command {
        let request = self.new_request(now_ms);
        self.state = LeaseHolderState::Idle { retry_at_ms: now_ms };
        Command::Release { task: self.task.clone(), member: self.member, request: request.id, token }
    }

    fn new_request(&mut self, now_ms: u64) -> PendingRequest {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        PendingRequest { id, sent_ms: now_ms }
    }

    fn acquire_command(&self, request: RequestId, held_token: Option<Token>) -> Command {
        Command::Acquire {
            task: self.task.clone(),
            member: self.member,
            request,
            ttl_ms: self.ttl_ms,
            held_token,
        }
    }
}
