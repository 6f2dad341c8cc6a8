//! The simulated process of a front node.

use pinetrestle_rollout::{FrontNodeStatus, HealthCounters, ProcessAction};

/// Number of queries that a running front node answers each time its process advances.
const ANSWERED_PER_ADVANCE: u64 = 10;

#[derive(Debug, Clone, Default)]
pub struct Process {
    pub running_version: Option<String>,
    pub ready: bool,
    pub counters: HealthCounters,
    /// Whether the agent has stopped the process and the front node has not been ready since.
    pub stopped_by_agent: bool,
    /// Whether a graceful shutdown has begun.
    terminating: bool,
}

impl Process {
    pub fn serving(version: &str) -> Process {
        Process { running_version: Some(version.to_owned()), ready: true, ..Process::default() }
    }

    pub fn status(&self) -> FrontNodeStatus {
        FrontNodeStatus {
            running_version: self.running_version.clone(),
            ready: self.ready,
            counters: self.counters,
        }
    }

    /// Ends a process whose graceful shutdown has begun; otherwise a running process becomes ready and
    /// answers queries.
    pub fn advance(&mut self) {
        if self.terminating {
            self.end();
        } else if self.running_version.is_some() {
            self.ready = true;
            self.stopped_by_agent = false;
            self.counters.answered += ANSWERED_PER_ADVANCE;
        }
    }

    /// Ends the process and resets its counters.
    pub fn end(&mut self) {
        *self = Process { stopped_by_agent: self.stopped_by_agent, ..Process::default() };
    }

    pub fn carry_out(&mut self, action: ProcessAction) {
        match action {
            ProcessAction::Start(version) => {
                assert!(self.running_version.is_none(), "a front node was started while one is running");
                self.end();
                self.running_version = Some(version);
            }
            ProcessAction::Terminate => {
                self.terminating = true;
                self.ready = false;
                self.stopped_by_agent = true;
            }
            ProcessAction::Kill => {
                self.end();
                self.stopped_by_agent = true;
            }
            ProcessAction::StartInSafeMode(_) => {}
        }
    }
}
