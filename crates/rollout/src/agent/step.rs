//! A step of a release at one front node: the agent stops the previous version, starts the target version,
//! observes it and reports the result. If the target version does not serve, the agent starts the previous
//! version again.

use super::{Agent, AgentOutput, Mode, Poll, ProcessAction, RESTART_BACKOFF_MS};
use crate::command::Command;
use crate::node::Slot;
use crate::plan::HealthCounters;

/// A step that has begun, with its slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Step {
    pub(super) slot: Slot,
    pub(super) phase: StepPhase,
    /// When the phase began, in milliseconds as counted by [`super::PolledTime`].
    pub(super) phase_since_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StepPhase {
    /// The previous version is shutting down.
    Stopping,
    /// The target version was started and is not ready yet.
    Starting,
    /// The target version serves and is observed. The value is its counters at the beginning of this phase.
    Settling(HealthCounters),
    /// The target version did not serve for the given reason, and the previous version is started again.
    RollingBack(StepFailure),
}

/// The reason for which an agent reports its step as failed. The text is stored as the reason of the failed
/// step.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum StepFailure {
    #[error("no version {version} here")]
    UnknownVersion { version: String },
    #[error("not ready in time")]
    NotReadyInTime,
    #[error("it ended at its start")]
    EndedAtStart,
    #[error("it ended while it was watched")]
    EndedWhileObserved,
}

impl Step {
    /// Returns a short description of what the agent is doing in this step, for the status.
    pub(super) fn activity(&self) -> String {
        let Slot { target_version, previous_version, .. } = &self.slot;
        match &self.phase {
            StepPhase::Stopping => format!("stops {previous_version} for {target_version}"),
            StepPhase::Starting => format!("starts {target_version}"),
            StepPhase::Settling(_) => format!("watches {target_version}"),
            StepPhase::RollingBack(failure) => format!("back to {previous_version}: {failure}"),
        }
    }
}

impl Agent {
    /// Continues the step, and returns the mode with the phase in which the step is then.
    pub(super) fn poll_step(&mut self, poll: &Poll<'_>, step: Step, output: &mut AgentOutput) -> Mode {
        let Step { slot, phase, phase_since_ms } = step;
        let phase_before = std::mem::discriminant(&phase);
        let phase = match phase {
            StepPhase::Stopping => self.poll_stopping(poll, &slot, output),
            StepPhase::Starting => self.poll_starting(poll, &slot, phase_since_ms),
            StepPhase::Settling(baseline) => {
                self.poll_settling(poll, &slot, phase_since_ms, baseline, output)
            }
            StepPhase::RollingBack(failure) => self.poll_rolling_back(poll, &slot, failure, output),
        };
        let is_same_phase = std::mem::discriminant(&phase) == phase_before;
        let phase_since_ms = if is_same_phase { phase_since_ms } else { poll.now_ms };
        Mode::InStep(Step { slot, phase, phase_since_ms })
    }

    fn poll_stopping(&mut self, poll: &Poll<'_>, slot: &Slot, output: &mut AgentOutput) -> StepPhase {
        if !poll.nothing_runs() {
            output.action = self.stop(poll.now_ms);
            return StepPhase::Stopping;
        }
        self.last_start_ms = Some(poll.now_ms);
        output.action = Some(ProcessAction::Start(slot.target_version.clone()));
        StepPhase::Starting
    }

    fn poll_starting(&mut self, poll: &Poll<'_>, slot: &Slot, since_ms: u64) -> StepPhase {
        if poll.runs(&slot.target_version) && poll.status.ready {
            StepPhase::Settling(poll.status.counters)
        } else if poll.now_ms >= since_ms + self.config.start_timeout_ms {
            self.last_stop_ms = None;
            StepPhase::RollingBack(StepFailure::NotReadyInTime)
        } else if poll.nothing_runs() && poll.now_ms >= since_ms + RESTART_BACKOFF_MS {
            StepPhase::RollingBack(StepFailure::EndedAtStart)
        } else {
            StepPhase::Starting
        }
    }

    fn poll_settling(
        &mut self,
        poll: &Poll<'_>,
        slot: &Slot,
        since_ms: u64,
        baseline: HealthCounters,
        output: &mut AgentOutput,
    ) -> StepPhase {
        // Once the success of the step has been proposed, it may be in the log already. So the agent must not
        // roll back any more: if the target version ends now, it is started again.
        if poll.nothing_runs() && self.result_retry.has_fired() {
            output.action = self.start(poll.now_ms, &slot.target_version);
            return StepPhase::Settling(baseline);
        }
        if !poll.runs(&slot.target_version) {
            return StepPhase::RollingBack(StepFailure::EndedWhileObserved);
        }
        let settle_ms = poll.state.plan().map_or(0, |plan| plan.settle_ms);
        if poll.now_ms >= since_ms + settle_ms && self.result_retry.fire_if_due(poll.now_ms) {
            output.commands.push(Command::StepFinished {
                node: self.config.node,
                slot_index: slot.index,
                health: poll.status.counters.since(baseline),
            });
        }
        StepPhase::Settling(baseline)
    }

    fn poll_rolling_back(
        &mut self,
        poll: &Poll<'_>,
        slot: &Slot,
        failure: StepFailure,
        output: &mut AgentOutput,
    ) -> StepPhase {
        if poll.nothing_runs() {
            output.action = self.start(poll.now_ms, &slot.previous_version);
        } else if !poll.runs(&slot.previous_version) {
            output.action = self.stop(poll.now_ms);
        } else if poll.status.ready && self.result_retry.fire_if_due(poll.now_ms) {
            output.commands.push(Command::StepFailed {
                node: self.config.node,
                slot_index: slot.index,
                reason: failure.to_string(),
            });
        }
        StepPhase::RollingBack(failure)
    }
}
