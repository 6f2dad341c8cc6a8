//! The coordinator of the fleet's recovery, which runs at the holder of the release lease: it decides when
//! the next stage begins.

use crate::command::{Command, RecoveryStage};
use crate::state::RecoveryState;
use pinetrestle_fleet::{RetryTimer, Token};

/// A wave in which an admitted front node does not serve lasts this many times the normal minimum time.
const STALLED_WAVE_FACTOR: u64 = 10;
/// The minimum time of a wave, in milliseconds, from which the duration of a stalled wave is computed if the
/// configured minimum is lower.
const MIN_STALLED_WAVE_BASE_MS: u64 = 1_000;

/// The stage that the coordinator saw last, and when it first saw it, in milliseconds of the coordinator's
/// clock.
#[derive(Debug, Clone, Copy)]
struct ObservedStage {
    token: Token,
    epoch: u64,
    stage: RecoveryStage,
    since_ms: u64,
}

impl ObservedStage {
    /// Returns whether both are the same stage of the same recovery, seen under the same lease.
    fn is_same_stage(&self, other: &ObservedStage) -> bool {
        self.token == other.token && self.epoch == other.epoch && self.stage == other.stage
    }
}

/// Decides when the holder of the release lease proposes to begin the next stage of the recovery.
///
/// The duration of a stage is counted from when this coordinator first saw it. So a new lease holder counts
/// the duration of the current stage from the start again.
#[derive(Debug, Default, Clone)]
pub struct RecoveryCoordinator {
    observed: Option<ObservedStage>,
    retry: RetryTimer,
}

impl RecoveryCoordinator {
    /// Creates a coordinator that has not seen any stage yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the command that begins the next stage, if it is to be proposed at `now_ms`, in milliseconds
    /// of the process's monotonic clock. `token` is the fencing token of the release lease, which this member
    /// holds.
    ///
    /// Each wave lasts at least `min_wave_ms` milliseconds, and ten times as long (but at least 10 s)
    /// if a front node that it admits does not serve. No stage begins while the fleet is `halted`.
    pub fn poll(
        &mut self,
        now_ms: u64,
        token: Token,
        state: &RecoveryState,
        halted: bool,
        min_wave_ms: u64,
    ) -> Option<Command> {
        let observed = self.observe(ObservedStage {
            token,
            epoch: state.epoch(),
            stage: state.stage(),
            since_ms: now_ms,
        });
        let lasted_long_enough = now_ms >= observed.since_ms + min_stage_ms(state, min_wave_ms);
        let may_advance = !halted && state.may_advance() && lasted_long_enough;
        if !may_advance || !self.retry.fire_if_due(now_ms) {
            return None;
        }
        Some(Command::AdvanceStage { token, epoch: observed.epoch, from_stage: observed.stage })
    }

    /// Returns the observation of the current stage with the time when it was first seen. Records `current`
    /// and resets the retry timer if it is another stage than the one seen last.
    fn observe(&mut self, current: ObservedStage) -> ObservedStage {
        if let Some(known) = self.observed.filter(|known| known.is_same_stage(&current)) {
            return known;
        }
        self.observed = Some(current);
        self.retry = RetryTimer::default();
        current
    }
}

/// Returns the minimum duration of the current stage, in milliseconds.
fn min_stage_ms(state: &RecoveryState, min_wave_ms: u64) -> u64 {
    match state.stage() {
        RecoveryStage::Waves(_) if state.wave_is_serving() => min_wave_ms,
        RecoveryStage::Waves(_) => STALLED_WAVE_FACTOR * min_wave_ms.max(MIN_STALLED_WAVE_BASE_MS),
        _ => 0,
    }
}
