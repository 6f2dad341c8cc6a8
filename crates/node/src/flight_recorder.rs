//! The flight recorder's operator file, and the task that writes the recorder's ring out.
//!
//! The ring is written at SIGUSR1, when an invariant is found violated, at the program's end, and periodically, each
//! as the operator file says (`docs/flight-recorder.md`).

use pinetrestle_operator::{Validate, ValidationError};
use pinetrestle_recorder::log_lines::{encode_line, RECORDS_PER_LINE};
use pinetrestle_recorder::Recorder;
use serde::Deserialize;
use slog::{info, warn, Logger};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;
use tokio::time::{interval, sleep_until, timeout, Instant};

/// The most records a ring may hold: 64 MiB of memory.
const MAX_RECORDS: usize = 2 * 1024 * 1024;
/// The shortest interval between two periodic writes, in milliseconds.
const MIN_FOLLOW_MS: u64 = 50;
/// The interval at which the recorder is polled for an alarm.
const ALARM_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The most writes for alarms; a defect that goes on must not fill the disk.
const MAX_ALARM_WRITES: u32 = 3;
/// How long the program's end waits for the reader of the records.
const EXIT_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The operator file of the flight recorder.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RecorderSettings {
    /// Capacity of the ring in records of 32 bytes; 0 switches the recorder off.
    pub records: usize,
    /// The file to write to, truncated at each write; none: standard output, among the lines of the log.
    pub file: Option<PathBuf>,
    /// Whether the ring is written when the program ends in order.
    pub at_exit: bool,
    /// Interval in milliseconds at which new records are appended, for programs that are killed; 0: never.
    pub follow_ms: u64,
}

impl Validate for RecorderSettings {
    fn validate(&self) -> Result<(), ValidationError> {
        if self.records > MAX_RECORDS {
            let problem = format!("is {}: over {MAX_RECORDS}", self.records);
            return Err(ValidationError::new("records", problem, format!("write {MAX_RECORDS} or less")));
        }
        if (1..MIN_FOLLOW_MS).contains(&self.follow_ms) {
            let problem = format!("is {}: under {MIN_FOLLOW_MS}", self.follow_ms);
            return Err(ValidationError::new(
                "follow_ms",
                problem,
                format!("write {MIN_FOLLOW_MS} or more, or 0"),
            ));
        }
        let set = self.file.is_some() || self.at_exit || self.follow_ms > 0;
        if set && self.records == 0 {
            let fix = "write how many records to keep, as 65536, or remove the other keys";
            return Err(ValidationError::new("records", "is 0 while other keys are set", fix));
        }
        if self.file.as_ref().is_some_and(|file| file.as_os_str().is_empty()) {
            return Err(ValidationError::new("file", "is empty", "name a file, or leave the key out"));
        }
        Ok(())
    }
}

/// What made the ring be written; the value `at` of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteTrigger {
    /// The interval `follow_ms` has passed.
    Follow,
    /// SIGUSR1.
    Signal,
    /// An invariant was found violated.
    Alarm,
    /// The program's end.
    Exit,
}

impl WriteTrigger {
    fn as_str(self) -> &'static str {
        match self {
            WriteTrigger::Follow => "follow",
            WriteTrigger::Signal => "signal",
            WriteTrigger::Alarm => "alarm",
            WriteTrigger::Exit => "exit",
        }
    }
}

/// What happens to the earlier content of the file that is written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FileMode {
    Truncate,
    Append,
}

/// How many records one write took.
#[derive(Clone, Copy, Debug, Default)]
struct WriteSummary {
    /// Records written.
    records: u64,
    /// Records overwritten in the ring before they could be written.
    missed: u64,
}

/// Writes the recorder's ring out.
pub(crate) struct RingWriter {
    pub(crate) settings: RecorderSettings,
    pub(crate) recorder: Rc<Recorder>,
    pub(crate) log: Logger,
}

impl RingWriter {
    /// Writes the ring at each notification of `write_request`, at each alarm and at the follow interval, as long as
    /// the program runs.
    pub(crate) async fn run(self: Rc<Self>, write_request: Rc<Notify>) {
        let follow_interval = Duration::from_millis(self.settings.follow_ms);
        let mut alarm_writes = 0;
        // The interval keeps its own schedule: other writes in between don't delay it.
        let mut alarm_poll = interval(ALARM_POLL_INTERVAL);
        let mut followed_until = 0;
        let mut next_follow = Instant::now() + follow_interval;
        if self.follows() {
            // The file starts empty with the program; each later write appends to it.
            self.write_out(WriteTrigger::Follow, 0, FileMode::Truncate).await;
        }
        loop {
            tokio::select! {
                () = sleep_until(next_follow), if self.follows() => {
                    let until = self.recorder.total_recorded();
                    self.write_out(WriteTrigger::Follow, followed_until, FileMode::Append).await;
                    followed_until = until;
                    next_follow = Instant::now() + follow_interval;
                }
                () = write_request.notified() => {
                    self.write_out(WriteTrigger::Signal, 0, self.file_mode()).await;
                }
                _ = alarm_poll.tick() => {
                    if self.recorder.take_alarm() && alarm_writes < MAX_ALARM_WRITES {
                        alarm_writes += 1;
                        warn!(self.log, "an invariant is broken"; "alarm" => alarm_writes);
                        self.write_out(WriteTrigger::Alarm, 0, self.file_mode()).await;
                    }
                }
            }
        }
    }

    /// Writes the ring at the program's end, if that is set; a reader that has stalled delays the end only for
    /// [`EXIT_WRITE_TIMEOUT`].
    pub(crate) async fn write_at_exit(&self) {
        if !self.settings.at_exit {
            return;
        }
        let write = self.write_out(WriteTrigger::Exit, 0, self.file_mode());
        if timeout(EXIT_WRITE_TIMEOUT, write).await.is_err() {
            warn!(self.log, "flight records cut short"; "at" => WriteTrigger::Exit.as_str());
        }
    }

    /// Whether new records are appended periodically.
    fn follows(&self) -> bool {
        self.settings.follow_ms > 0
    }

    /// The mode of a write of the complete ring: a file that is followed keeps what it has.
    fn file_mode(&self) -> FileMode {
        if self.follows() {
            FileMode::Append
        } else {
            FileMode::Truncate
        }
    }

    /// Writes the records from number `from` on, and logs how that went.
    async fn write_out(&self, trigger: WriteTrigger, from: u64, mode: FileMode) {
        let written = match &self.settings.file {
            None => self.write_records(&mut tokio::io::stdout(), from).await,
            Some(path) => self.write_file(path, from, mode).await,
        };
        let at = trigger.as_str();
        match written {
            Ok(WriteSummary { records: 0, .. }) if trigger == WriteTrigger::Follow => {}
            Ok(WriteSummary { records, missed }) => {
                info!(self.log, "flight records written"; "at" => at, "records" => records, "missed" => missed);
            }
            Err(error) => warn!(self.log, "flight records not written"; "at" => at, "error" => %error),
        }
    }

    async fn write_file(&self, path: &Path, from: u64, mode: FileMode) -> std::io::Result<WriteSummary> {
        let mut options = tokio::fs::OpenOptions::new();
        options.create(true).write(true);
        options.append(mode == FileMode::Append).truncate(mode == FileMode::Truncate);
        let mut file = options.open(path).await?;
        self.write_records(&mut file, from).await
    }

    /// Writes a line of records at a time, so that the node serves on and the ring is not copied. Records noted after
    /// the begin are left out.
    async fn write_records(
        &self,
        output: &mut (impl AsyncWriteExt + Unpin),
        from: u64,
    ) -> std::io::Result<WriteSummary> {
        let until = self.recorder.total_recorded();
        let mut next = from;
        let mut summary = WriteSummary::default();
        // Before the ring's oldest record nothing can be missed by a write that takes the complete ring.
        let mut at_oldest = from == 0;
        while next < until {
            let batch = self.recorder.read_from(next, RECORDS_PER_LINE);
            if !at_oldest {
                summary.missed += batch.missed;
            }
            at_oldest = false;
            if batch.records.is_empty() {
                break;
            }
            summary.records += batch.records.len() as u64;
            next = batch.next_position;
            output.write_all(format!("{}\n", encode_line(&batch.records)).as_bytes()).await?;
        }
        output.flush().await?;
        Ok(summary)
    }
}

/// Notifies `write_request` at each SIGUSR1.
pub(crate) async fn forward_write_signal(write_request: Rc<Notify>) {
    // Without the signal the ring is still written at alarms and at the end.
    let Ok(mut signals) = signal(SignalKind::user_defined1()) else { return };
    while signals.recv().await.is_some() {
        write_request.notify_one();
    }
}

#[cfg(test)]
#[path = "../tests/inside/flight_recorder.rs"]
mod tests;
