//! Runs this member's front node as a separate process: starts, signals and polls it, and finds it again
//! after the member itself was restarted. [`pinetrestle_rollout::Agent`] decides when to start or stop the
//! front node; this module only carries out its decisions.
//!
//! The front node outlives the member's process: it keeps running when the member exits. The restarted member
//! finds it by an environment variable that was set when the front node was started. There is no file with
//! its process id, because such a file could be outdated.

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

/// Number of consecutive unanswered polls after which a front node that was ready no longer counts as ready.
const MAX_MISSED_POLLS: u32 = 3;

/// The state of the front node as of the last poll.
#[derive(Debug, Clone, Default)]
pub struct FrontNodeObservation {
    /// The input of [`pinetrestle_rollout::Agent`]: the running version, the readiness and the health
    /// counters.
    pub status: FrontNodeStatus,
    /// Number of endpoint lists that the front node has received since its start, by its own counter. The
    /// relay uses it to find out whether the front node has received a list.
    pub lists_received: u64,
    /// The process id; 0 if there is no process.
    pub pid: u32,
    /// Whether this is a real observation, as opposed to the default value before the first one.
    pub observed: bool,
}

/// The driver of one front node: carries out the actions of [`pinetrestle_rollout::Agent`] and polls the
/// process.
pub struct FrontNodeDriver {
    config: FrontNodeConfig,
    launcher: Launcher,
    /// The process of the front node, unless none is known or its end was noticed.
    process: Option<Process>,
    /// Number of consecutive polls that were not answered.
    missed_polls: u32,
    /// The last observation.
    last: FrontNodeObservation,
    log: Logger,
}

impl FrontNodeDriver {
    /// Creates the driver for the front node of the member with the data directory `data_dir`, and looks for
    /// a process that an earlier run of this member started.
    pub fn new(config: FrontNodeConfig, data_dir: &Path, log: Logger) -> FrontNodeDriver {
        let launcher = Launcher::new(data_dir);
        let process = launcher.find_running();
        if let Some(found) = &process {
            info!(log, "found running front node"; "pid" => found.pid, "version" => &found.version);
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

    /// Carries out actions, and publishes an observation after each action and at each poll interval, until
    /// the sender of `actions` is dropped.
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

    /// Starts a version. Does nothing if a process is running or the configuration file does not contain the
    /// version.
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
                warn!(self.log, "front node could not be started"; "version" => version, "error" => %error);
            }
        }
    }

    /// Sends a signal that ends the process, if there is one. `name` is the signal's name for the log.
    fn signal(&mut self, signal: Signal, name: &str) {
        let Some(process) = &mut self.process else { return };
        let Some(sent) = process.signal(signal) else { return };
        info!(self.log, "front node signalled"; "pid" => process.pid, "version" => &process.version,
            "signal" => name, "sent" => sent);
    }

    /// Drops the process if it has ended.
    fn reap(&mut self) {
        let Some(process) = self.process.take_if(|process| process.has_ended()) else { return };
        info!(self.log, "front node exited"; "pid" => process.pid, "version" => process.version);
        self.missed_polls = 0;
    }

    /// Checks whether the process still runs, and polls it unless it was told to end.
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
        let poll = HealthPoll::send(self.config.listen).await;
        let same_process = self.last.pid == pid;
        let ready = self.update_readiness(poll.ready, same_process);
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

    /// Returns whether the front node counts as ready. Without an answer, a process that counted as ready
    /// still does until [`MAX_MISSED_POLLS`] consecutive polls were not answered.
    fn update_readiness(&mut self, answer: Option<bool>, same_process: bool) -> bool {
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
