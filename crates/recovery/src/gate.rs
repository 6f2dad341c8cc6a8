//! One member's own gate: whether its front node may be let in now.

use crate::state::{Recovery, Stage};
use pinetrestle_fleet::MemberId;

/// What the gate says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The front node may be let in as ever.
    In,
    /// Not yet, and why, for status.
    Wait(&'static str),
    /// No majority for so long that service without the fleet is better than none: let in with the careful settings,
    /// nothing drained or released by the fleet until it is back.
    Safe,
}

/// The gate of one member in one start.
#[derive(Debug, Clone)]
pub struct Gate {
    me: MemberId,
    boot: u64,
    alone_ms: u64,
    since: Option<u64>,
}

impl Gate {
    /// The gate of `me` in its start `boot`, which serves in safe mode after `alone_ms` without a leader.
    pub fn new(me: MemberId, boot: u64, alone_ms: u64) -> Gate {
        Gate { me, boot, alone_ms, since: None }
    }

    /// The verdict at `now_ms` of this process's monotonic clock. `leader`: whether one is known. `runs`: whether the
    /// front node runs already; one that does is never taken down by the gate.
    pub fn poll(&mut self, now_ms: u64, leader: bool, runs: bool, state: &Recovery) -> Verdict {
        if leader {
            self.since = None;
        }
        if runs || state.lets_in(self.me, self.boot) {
            return Verdict::In;
        }
        if !leader {
            let since = *self.since.get_or_insert(now_ms);
            return if now_ms >= since + self.alone_ms {
                Verdict::Safe
            } else {
                Verdict::Wait("no leader is known: a majority of members is not up, or can't talk")
            };
        }
        Verdict::Wait(match state.stage() {
            Stage::Counting => "the fleet counts who is there",
            Stage::Lists => "the fleet was dark: discovery's list comes first",
            Stage::Waves(_) => "the fleet was dark: front nodes come in by waves, this one's is not open yet",
            Stage::Normal => "its own word has not been applied yet",
        })
    }
}
