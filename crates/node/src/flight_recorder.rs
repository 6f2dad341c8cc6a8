//! The operator file of the flight recorder, and the task that writes out its ring buffer of records.
//!
//! The ring is written on SIGUSR1 and when a violated invariant raises an alarm. The operator file can also
//! enable writes at exit and periodic writes, and sets the output file (`docs/flight-recorder.md`).

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

/// Maximum capacity of the ring in records, which takes 64 MiB of memory.
const MAX_RECORDS: usize = 2 * 1024 * 1024;
/// Minimum interval between two periodic writes, in milliseconds.
const MIN_FOLLOW_MS: u64 = 50;
/// Interval at which the recorder is polled for an alarm.
const ALARM_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of writes triggered by alarms, so that a persistent defect can't fill the disk.
const MAX_ALARM_WRITES: u32 = 3;
/// Maximum time that the write at exit may take. Standard output blocks if its reader has stalled.
const EXIT_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The operator file of the flight recorder.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RecorderSettings {
    /// Capacity of the ring in records of 32 bytes; 0 switches the recorder off.
    pub records: usize,
    /// File that the records are written to. It is truncated before each write, unless `follow_ms` is set.
    /// If `None`, records are written to standard output, between the lines of the log.
    pub file: Option<PathBuf>,
    /// Whether the ring is written when the program exits normally.
    pub at_exit: bool,
    /// Interval in milliseconds at which new records are appended, so that they are kept if the program is
    /// killed; 0 switches periodic writes off.
    pub follow_ms: u64,
}

impl Validate for RecorderSettings {
    fn validate(&self) -> Result<(), ValidationError> {
        if self.records > MAX_RECORDS {
            let problem = format!("is {}, which is more than the maximum of {MAX_RECORDS}", self.records);
            return Err(ValidationError::new("records", problem, format!("write {MAX_RECORDS} or less")));
        }
        if (1..MIN_FOLLOW_MS).contains(&self.follow_ms) {
            let problem = format!("is {}, which is less than the minimum of {MIN_FOLLOW_MS}", self.follow_ms);
            return Err(ValidationError::new(
                "follow_ms",
                problem,
                format!("write {MIN_FOLLOW_MS} or more, or 0"),
            ));
        }
        let has_other_keys = self.file.is_some() || self.at_exit || self.follow_ms > 0;
        if has_other_keys && self.records == 0 {
            let fix = "write the number of records to keep, for example 65536, or remove the other keys";
            return Err(ValidationError::new("records", "is 0 while other keys are set", fix));
        }
        if self.file.as_ref().is_some_and(|file| file.as_os_str().is_empty()) {
            return Err(ValidationError::new("file", "is empty", "name a file, or leave the key out"));
        }
        Ok(())
    }
}

/// The cause of a write of the ring; the value of the log key `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteTrigger {
    /// The interval `follow_ms` has passed.
    Follow,
    /// SIGUSR1 was received.
    Signal,
    /// A violated invariant raised an alarm.
    Alarm,
    /// The program exits.
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

/// Whether a write replaces the existing content of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FileMode {
    Truncate,
    Append,
}

/// Result of a write of the ring.
#[derive(Clone, Copy, Debug, Default)]
struct WriteSummary {
    /// Number of records written.
    records: u64,
    /// Number of records that were overwritten in the ring before they could be written.
    missed: u64,
}

/// Writes the records in the ring of the flight recorder to a file or to standard output.
pub(crate) struct RingWriter {
    pub(crate) settings: RecorderSettings,
    pub(crate) recorder: Rc<Recorder>,
    pub(crate) log: Logger,
}

impl RingWriter {
    /// Writes the ring at each notification of `write_request` and at the first [`MAX_ALARM_WRITES`]
    /// alarms, and new records at each interval `follow_ms`. Never returns.
    pub(crate) async fn run(self: Rc<Self>, write_request: Rc<Notify>) {
        let follow_interval = Duration::from_millis(self.settings.follow_ms);
        let mut alarm_writes = 0;
        // An interval keeps its schedule while other branches of the loop run. A sleep would be restarted in
        // each iteration, and would never end if periodic writes are more frequent.
        let mut alarm_poll = interval(ALARM_POLL_INTERVAL);
        let mut followed_until = 0;
        let mut next_follow = Instant::now() + follow_interval;
        if self.follows() {
            // Empties the file at program start. Later writes append to it.
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
                        warn!(self.log, "writing flight records after an invariant violation";
                            "alarm" => alarm_writes);
                        self.write_out(WriteTrigger::Alarm, 0, self.file_mode()).await;
                    }
                }
            }
        }
    }

    /// Writes the ring at exit if `at_exit` is set. Gives up after [`EXIT_WRITE_TIMEOUT`], so that a
    /// stalled reader of the records can't keep the program from exiting.
    pub(crate) async fn write_at_exit(&self) {
        if !self.settings.at_exit {
            return;
        }
        let write = self.write_out(WriteTrigger::Exit, 0, self.file_mode());
        if timeout(EXIT_WRITE_TIMEOUT, write).await.is_err() {
            let at = WriteTrigger::Exit.as_str();
            warn!(self.log, "flight records incomplete: write timed out"; "at" => at);
        }
    }

    /// Returns whether new records are appended periodically.
    fn follows(&self) -> bool {
        self.settings.follow_ms > 0
    }

    /// Returns the file mode of a write of the complete ring. With periodic writes, the file keeps its
    /// content.
    fn file_mode(&self) -> FileMode {
        if self.follows() {
            FileMode::Append
        } else {
            FileMode::Truncate
        }
    }

    /// Writes the records from position `from` on, and logs the result. Periodic writes without new records
    /// are not logged.
    async fn write_out(&self, trigger: WriteTrigger, from: u64, mode: FileMode) {
        let written = match &self.settings.file {
            None => self.write_records(&mut tokio::io::stdout(), from).await,
            Some(path) => self.write_file(path, from, mode).await,
        };
        let at = trigger.as_str();
        match written {
            Ok(WriteSummary { records: 0, .. }) if trigger == WriteTrigger::Follow => {}
            Ok(WriteSummary { records, missed }) => {
                info!(self.log, "flight records written";
                    "at" => at, "records" => records, "missed" => missed);
            }
            Err(error) => warn!(self.log, "failed to write flight records"; "at" => at, "error" => %error),
        }
    }

    async fn write_file(&self, path: &Path, from: u64, mode: FileMode) -> std::io::Result<WriteSummary> {
        let mut options = tokio::fs::OpenOptions::new();
        options.create(true).write(true);
        options.append(mode == FileMode::Append).truncate(mode == FileMode::Truncate);
        let mut file = options.open(path).await?;
        self.write_records(&mut file, from).await
    }

    /// Writes the records from position `from` on, without those recorded after the start of the write.
    ///
    /// Writes one line of [`RECORDS_PER_LINE`] records at a time, so that other tasks can run in between
    /// and the ring doesn't have to be copied.
    async fn write_records(
        &self,
        output: &mut (impl AsyncWriteExt + Unpin),
        from: u64,
    ) -> std::io::Result<WriteSummary> {
        let until = self.recorder.total_recorded();
        let mut next = from;
        let mut summary = WriteSummary::default();
        // A write of the complete ring starts at the oldest record. Records overwritten before it started
        // don't count as missed.
        let mut starts_at_oldest = from == 0;
        while next < until {
            let batch = self.recorder.read_from(next, RECORDS_PER_LINE);
            if !starts_at_oldest {
                summary.missed += batch.missed;
            }
            starts_at_oldest = false;
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

/// Notifies `write_request` at each SIGUSR1. Returns immediately if the signal handler can't be installed.
pub(crate) async fn forward_write_signal(write_request: Rc<Notify>) {
    // Without the signal handler, the ring is still written at alarms, at exit and periodically.
    let Ok(mut signals) = signal(SignalKind::user_defined1()) else { return };
    while signals.recv().await.is_some() {
        write_request.notify_one();
    }
}

#[cfg(test)]
#[path = "../tests/inside/flight_recorder.rs"]
mod tests;
