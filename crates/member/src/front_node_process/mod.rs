//! This member's front node as a process: started, stopped, found again after the member's own restart, and polled for
//! its health and counters. What to do with it is decided by [`pinetrestle_rollout::Agent`]; nothing is decided here.
//!
//! The front node does not belong to the member's process: it goes on when the member ends, and the member's next start
//! finds it by a mark in its environment. No file records its process id, so none can be wrong.

mod health_poll;
mod process;

use crate::config::FrontNodeConfig;
use health_poll::HealthPoll;
use pinetrestle_rollout::{FrontNodeStatus, ProcessAction};
use process::{Launcher, Process};
use rustix::process::Signal;
use slog::{info, warn, Logger};
use std::path::Path;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

/// Polls in a row without an answer after which a front node that was ready no longer counts as ready.
const MAX_MISSED_POLLS: u32 = 3;

/// What one poll of the front node showed.
#[derive(Debug, Clone, Default)]
pub struct FrontNodeObservation {
    /// Its version, whether it is ready, and its counters: what the agent decides by.
    pub status: FrontNodeStatus,
    /// Endpoint lists it has received since its start, by its own counter; the relay measures by it what the front
    /// node has been notified of.
    pub lists_received: u64,
    /// Its process id, 0 if none.
    pub pid: u32,
    /// Whether it was polled at all yet.
    pub observed: bool,
}

/// Drives one front node: carries out the agent's actions and polls the process.
pub struct FrontNodeDriver {
    config: FrontNodeConfig,
    launcher: Launcher,
    /// The running process, if one is known.
    process: Option<Process>,
    /// Polls in a row that were not answered.
    missed_polls: u32,
    /// What the last poll showed.
    last: FrontNodeObservation,
    log: Logger,
}

impl FrontNodeDriver {
    /// The front node of the member whose data is in `data_dir`; one that runs already is found again.
    pub fn new(config: FrontNodeConfig, data_dir: &Path, log: Logger) -> FrontNodeDriver {
        let launcher = Launcher::new(data_dir);
        let process = launcher.find_running();
        if let Some(found) = &process {
            info!(log, "front node found"; "pid" => found.pid, "version" => &found.version);
        }
        FrontNodeDriver {
            config,
            launcher,
            process,
            missed_polls: 0,
            last: FrontNodeObservation::default(),
            log,
        }
    }

    /// Carries out actions and publishes observations until the member ends.
    pub async fn run(
        mut self,
        mut actions: mpsc::Receiver<ProcessAction>,
        observations: watch::Sender<FrontNodeObservation>,
    ) {
        let mut polls = tokio::time::interval(Duration::from_millis(self.config.poll_interval_ms));
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                action = actions.recv() => match action {
                    Some(action) => self.carry_out(action),
                    None => return,
                },
                _ = polls.tick() => {}
            }
            let observation = self.observe().await;
            self.last = observation.clone();
            observations.send_replace(observation);
        }
    }

    fn carry_out(&mut self, action: ProcessAction) {
        match action {
            ProcessAction::Start(version) => self.start(version, false),
            ProcessAction::StartInSafeMode(version) => self.start(version, true),
            ProcessAction::Terminate => self.signal(Signal::TERM, "SIGTERM"),
            ProcessAction::Kill => self.signal(Signal::KILL, "SIGKILL"),
        }
    }

    /// Starts a version, unless a process runs or the file does not name the version.
    fn start(&mut self, version: String, safe_mode: bool) {
        if self.process.is_some() {
            return;
        }
        let Some(launch) = self.config.versions.get(&version) else { return };
        match self.launcher.start(launch, &version, safe_mode) {
            Ok(process) => {
                info!(self.log, "front node started"; "pid" => process.pid, "version" => &version,
                    "safe" => safe_mode);
                self.process = Some(process);
            }
            Err(error) => {
                warn!(self.log, "front node not started"; "version" => version, "error" => %error);
            }
        }
    }

    fn signal(&mut self, signal: Signal, name: &str) {
        let Some(process) = &mut self.process else { return };
        let Some(sent) = process.signal(signal) else { return };
        info!(self.log, "front node signalled"; "pid" => process.pid, "version" => &process.version,
            "signal" => name, "sent" => sent);
    }

    /// Forgets the process if it has ended.
    fn reap(&mut self) {
        let Some(process) = self.process.take_if(|process| process.has_ended()) else { return };
        info!(self.log, "front node ended"; "pid" => process.pid, "version" => process.version);
        self.missed_polls = 0;
    }

    async fn observe(&mut self) -> FrontNodeObservation {
        self.reap();
        let Some(process) = &self.process else {
            return FrontNodeObservation { observed: true, ..FrontNodeObservation::default() };
        };
        let pid = process.pid;
        let running_version = Some(process.version.clone());
        if process.ending {
            let status =
                FrontNodeStatus { running_version, ready: false, counters: self.last.status.counters };
            return FrontNodeObservation {
                status,
                lists_received: self.last.lists_received,
                pid,
                observed: true,
            };
        }
        let poll = HealthPoll::of(self.config.listen).await;
        let same_process = self.last.pid == pid;
        let ready = self.judge_readiness(poll.ready, same_process);
        let (counters, lists_received) = match poll.counters {
            Some(polled) => (polled.health, polled.lists_received),
            None if same_process => (self.last.status.counters, self.last.lists_received),
            None => Default::default(),
        };
        FrontNodeObservation {
            status: FrontNodeStatus { running_version, ready, counters },
            lists_received,
            pid,
            observed: true,
        }
    }

    /// Whether the front node counts as ready: by its answer, or, where it gave none, as before for up to
    /// [`MAX_MISSED_POLLS`].
    fn judge_readiness(&mut self, answer: Option<bool>, same_process: bool) -> bool {
        match answer {
            Some(ready) => {
                self.missed_polls = 0;
                ready
            }
            None => {
                self.missed_polls += 1;
                same_process && self.last.status.ready && self.missed_polls < MAX_MISSED_POLLS
            }
        }
    }
}
