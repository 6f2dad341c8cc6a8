//! Logging to standard output as lines of `key=value` pairs.
//!
//! Log calls put lines into a bounded queue and never block. The task [`LogWriter::run`] writes the queued
//! lines to standard output in batches. When the reader of standard output stalls, the queue fills up, and
//! further lines are dropped and counted.

use crate::counters::Counters;
use slog::{Drain, Key, OwnedKVList, Record, Serializer, KV};
use std::fmt;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::sync::{mpsc, Notify};
use tokio::time::timeout;

/// Maximum number of lines that wait to be written.
const QUEUE_CAPACITY: usize = 1024;
/// Maximum number of lines in one write.
const MAX_LINES_PER_WRITE: usize = 64;
/// Time for which a write is delayed so that further lines can be added to the batch.
const BATCH_WINDOW: Duration = Duration::from_millis(20);
/// Time for which the program waits at its end for the last lines to be written.
pub const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Formats each record as one line and puts the line into the queue.
struct QueueDrain {
    lines: mpsc::Sender<String>,
    dropped: Arc<AtomicU64>,
}

/// The `key=value` pairs of a record, each preceded by a space.
#[derive(Default)]
struct PairSerializer(String);

impl Serializer for PairSerializer {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        let text = value.to_string();
        let is_plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'=';
        let needs_no_quotes = !text.is_empty() && text.bytes().all(is_plain);
        let pair = if needs_no_quotes { format!(" {key}={text}") } else { format!(" {key}={text:?}") };
        // slog emits the pairs in reverse order.
        self.0.insert_str(0, &pair);
        Ok(())
    }
}

/// Formats pairs as text. A value that can't be serialized is left out of the line.
fn format_pairs(pairs: &impl KV, record: &Record<'_>) -> String {
    let mut serializer = PairSerializer::default();
    let _ = pairs.serialize(record, &mut serializer);
    serializer.0
}

/// Formats one line of the log: time, level, message, the pairs of the logger, the pairs of the record.
fn format_line(record: &Record<'_>, logger_pairs: &OwnedKVList) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let record_pairs = format_pairs(&record.kv(), record);
    let logger_pairs = format_pairs(logger_pairs, record);
    format!(
        "t={}.{:03} level={} msg={:?}{}{}\n",
        now.as_secs(),
        now.subsec_millis(),
        record.level().as_str().to_ascii_lowercase(),
        record.msg().to_string(),
        logger_pairs,
        record_pairs
    )
}

impl Drain for QueueDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, logger_pairs: &OwnedKVList) -> Result<(), slog::Never> {
        let line = format_line(record, logger_pairs);
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Writes the queued lines to standard output.
pub struct LogWriter {
    lines: mpsc::Receiver<String>,
    dropped: Arc<AtomicU64>,
}

/// Creates a logger that adds the name of the front node to each line, and the writer of its lines. Nothing
/// is written until [`LogWriter::run`] is called.
pub fn logger(node_name: &str) -> (slog::Logger, LogWriter) {
    let (sender, lines) = mpsc::channel(QUEUE_CAPACITY);
    let dropped = Arc::new(AtomicU64::new(0));
    let drain = QueueDrain { lines: sender, dropped: dropped.clone() };
    let log = slog::Logger::root(drain, slog::o!("node" => node_name.to_owned()));
    (log, LogWriter { lines, dropped })
}

impl LogWriter {
    /// Writes queued lines until `end` is notified and the queue is empty, or until all loggers are dropped.
    pub async fn run(mut self, counters: Rc<Counters>, end: Rc<Notify>) {
        let mut output = tokio::io::stdout();
        let mut batch = Vec::new();
        let mut ending = false;
        loop {
            if !ending {
                tokio::select! {
                    biased;
                    count = self.lines.recv_many(&mut batch, MAX_LINES_PER_WRITE) => if count == 0 { return },
                    () = end.notified() => ending = true,
                }
            }
            // Waits for further lines. Each write wakes two threads, which is too expensive for single lines
            // during a flood of connections, each of which logs one line.
            ending = ending || timeout(BATCH_WINDOW, end.notified()).await.is_ok();
            self.fill(&mut batch);
            if ending && batch.is_empty() {
                return;
            }
            let text = batch.concat();
            batch.clear();
            counters.node.log_lines_dropped.add(self.dropped.swap(0, Ordering::Relaxed));
            // If standard output is closed, the lines are lost and the front node continues to serve.
            if output.write_all(text.as_bytes()).await.is_ok() {
                let _ = output.flush().await;
            }
        }
    }

    /// Fills the batch with lines that are already queued, up to [`MAX_LINES_PER_WRITE`].
    fn fill(&mut self, batch: &mut Vec<String>) {
        while batch.len() < MAX_LINES_PER_WRITE {
            let Ok(line) = self.lines.try_recv() else { break };
            batch.push(line);
        }
    }
}
