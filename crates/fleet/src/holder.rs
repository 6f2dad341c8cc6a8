//! One member's side of one task's lease: when to ask, when to renew, and whether it may act now.

use crate::types::{Command, MemberId, Outcome, Refusal, RequestId, Task, Token};

/// Where the holder stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HolderState {
    /// Holds nothing; asks again from `next_ms` if it wants the task.
    Idle {
        /// The member's moment from which it may ask.
        next_ms: u64,
    },
    /// Asked under `request`, first sent at `sent_ms`; no answer yet.
    Asking {
        /// The request.
        request: RequestId,
        /// When it was first sent: a grant counts from here.
        sent_ms: u64,
    },
    /// Holds the lease with `token` until `until_ms` of its own clock; may be renewing.
    Holding {
        /// The lease's token.
        token: Token,
        /// Until when it may act.
        until_ms: u64,
        /// A renewal asked and not yet answered: its request and when it was first sent.
        renewing: Option<(RequestId, u64)>,
    },
}

/// One member's lease of one task. Time is the member's own monotonic milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    task: Task,
    member: MemberId,
    ttl_ms: u64,
    want: bool,
    next_request: u64,
    state: HolderState,
}

impl Holder {
    /// A holder of `task` for `member`, with leases of `ttl_ms`, whose next request id is above `last` (the
    /// table's [`crate::LeaseTable::last_request`] for it, and the task, or any id above those of earlier starts).
    pub fn new(task: Task, member: MemberId, ttl_ms: u64, last: Option<RequestId>) -> Self {
        let next_request = last.map_or(1, |r| r.0 + 1);
        Self { task, member, ttl_ms, want: false, next_request, state: HolderState::Idle { next_ms: 0 } }
    }

    /// Where it stands.
    pub fn state(&self) -> HolderState {
        self.state
    }

    /// The task.
    pub fn task(&self) -> &Task {
        &self.task
    }

    /// Whether it wants the task.
    pub fn wants(&self) -> bool {
        self.want
    }

    /// Wants the task or no longer does; a holder that no longer wants it gives it back with its next command.
    pub fn want(&mut self, want: bool) {
        self.want = want;
    }

    /// The token under which the member may act at `now_ms`, if any: only while its lease, counted from the
    /// moment the request was sent, has not run out. One that has run out is let go here.
    pub fn may_act(&mut self, now_ms: u64) -> Option<Token> {
        match self.state {
            HolderState::Holding { token, until_ms, .. } if now_ms < until_ms => Some(token),
            HolderState::Holding { .. } => {
                self.state = HolderState::Idle { next_ms: now_ms };
                None
            }
            _ => None,
        }
    }

    /// The command to send at `now_ms`, if any: a first request, one sent again unanswered (same id, so the
    /// table answers it once), a renewal after a third of the lease, or a release.
    pub fn poll(&mut self, now_ms: u64) -> Option<Command> {
        self.may_act(now_ms);
        let resend = self.ttl_ms / 4;
        match self.state {
            HolderState::Idle { next_ms } if self.want && now_ms >= next_ms => {
                let request = self.take_request();
                self.state = HolderState::Asking { request, sent_ms: now_ms };
                Some(self.acquire(request, None))
            }
            HolderState::Asking { request, sent_ms } if now_ms >= sent_ms + resend => {
                if now_ms >= sent_ms + self.ttl_ms {
                    // So old that a grant could count for nothing: ask anew.
                    let request = self.take_request();
                    self.state = HolderState::Asking { request, sent_ms: now_ms };
                    return Some(self.acquire(request, None));
                }
                Some(self.acquire(request, None))
            }
            HolderState::Holding { token, .. } if !self.want => {
                let request = self.take_request();
                self.state = HolderState::Idle { next_ms: now_ms };
                Some(Command::Release { task: self.task.clone(), member: self.member, request, token })
            }
            HolderState::Holding { token, until_ms, renewing: None }
                if now_ms + self.ttl_ms * 2 / 3 >= until_ms =>
            {
                let request = self.take_request();
                self.state = HolderState::Holding { token, until_ms, renewing: Some((request, now_ms)) };
                Some(self.acquire(request, Some(token)))
            }
            HolderState::Holding { token, renewing: Some((request, sent_ms)), .. }
                if now_ms >= sent_ms + resend =>
            {
                Some(self.acquire(request, Some(token)))
            }
            _ => None,
        }
    }

    /// The answer to `request`, heard at `now_ms`. Answers to other requests are old and change nothing.
    pub fn answer(&mut self, now_ms: u64, request: RequestId, outcome: &Outcome) {
        let sent_ms = match self.state {
            HolderState::Asking { request: r, sent_ms } if r == request => sent_ms,
            HolderState::Holding { renewing: Some((r, sent_ms)), .. } if r == request => sent_ms,
            _ => return,
        };
        self.state = match outcome {
            Outcome::Granted(token) | Outcome::Renewed(token) => {
                HolderState::Holding { token: *token, until_ms: sent_ms + self.ttl_ms, renewing: None }
            }
            Outcome::Refused(Refusal::OldRequest) => {
                // Its ids ran behind the table's (a restart that did not read it): go on above.
                self.next_request += 1;
                HolderState::Idle { next_ms: now_ms }
            }
            // Another holds it: its end is seen in the applied log ([`Holder::freed`]); asking again after a
            // lease only covers an end that was not seen.
            Outcome::Busy { .. } => HolderState::Idle { next_ms: now_ms + self.ttl_ms },
            _ => HolderState::Idle { next_ms: now_ms + self.ttl_ms / 4 },
        };
        self.may_act(now_ms);
    }

    /// The member saw at `now_ms` the task's lease end in the applied log (released or expired): a holder that
    /// waits asks with its next poll.
    pub fn freed(&mut self, now_ms: u64) {
        if let HolderState::Idle { next_ms } = &mut self.state {
            *next_ms = (*next_ms).min(now_ms);
        }
    }

    fn take_request(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request - 1)
    }

    fn acquire(&self, request: RequestId, holding: Option<Token>) -> Command {
        Command::Acquire {
            task: self.task.clone(),
            member: self.member,
            request,
            ttl_ms: self.ttl_ms,
            holding,
        }
    }
}
