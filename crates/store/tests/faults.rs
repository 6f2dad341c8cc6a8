//! Fault injection: the log is compared with a model while each file-system call in turn fails.
//!
//! The faults are short writes, a full disk, I/O errors, single failed syncs, failed renames, and a crash
//! after any of these.
//!
//! The simulated file system tracks the written and the durable content of each file. A failed sync loses the
//! content that was not durable yet. That can happen on Linux, where the pages are marked clean after the
//! failure and a later sync does not write them. After a crash, a file has its durable content and a prefix
//! of any length of the content appended since.

use pinetrestle_store::{AppendFile, FileSystem, Log, Record};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

/// How a file-system call fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The call fails without effect, except that a failed sync loses the content it should have made
    /// durable.
    Error,
    /// A write accepts at most this many bytes, and the call after it fails. Calls other than writes fail
    /// without effect.
    ShortWrite(usize),
    /// The call takes effect but reports an error. A sync fails without making the content durable.
    ErrorAfterEffect,
}

/// A number of consecutive calls that fail, and how they fail.
#[derive(Clone, Copy, Debug)]
struct FaultPlan {
    first_call: usize,
    call_count: usize,
    fault: Fault,
}

/// The simulated content of a file.
#[derive(Clone, Debug, Default)]
struct Content {
    /// The content that reads return.
    written: Vec<u8>,
    /// The content that survives a crash.
    durable: Vec<u8>,
    /// Length of the prefix of `written` that a failed sync covered. Its bytes past the durable length are
    /// never made durable unless they are truncated and rewritten.
    lost: usize,
}

#[derive(Debug, Default)]
struct State {
    contents: Vec<Content>,
    /// The current file names, with the index of each file in `contents`.
    names: BTreeMap<PathBuf, usize>,
    /// The file names that survive a crash.
    durable_names: BTreeMap<PathBuf, usize>,
    /// Number of calls made.
    calls: usize,
    plan: Option<FaultPlan>,
    /// Whether the previous call was a short write, so that the next call fails.
    after_short_write: bool,
    /// Number of calls that failed because of the plan.
    failed_calls: usize,
}

impl State {
    fn fault(&mut self) -> Option<Fault> {
        self.calls += 1;
        let call = self.calls;
        if std::mem::take(&mut self.after_short_write) {
            return Some(Fault::Error);
        }
        let plan = self.plan?;
        let fails = (plan.first_call..plan.first_call + plan.call_count).contains(&call);
        self.failed_calls += usize::from(fails);
        fails.then_some(plan.fault)
    }
}

/// The error that failed calls return.
fn no_space_error() -> io::Error {
    io::Error::from_raw_os_error(28) // ENOSPC
}

#[derive(Clone, Debug, Default)]
struct FaultyFileSystem(Arc<Mutex<State>>);

#[derive(Debug)]
struct FaultyFile {
    fs: FaultyFileSystem,
    /// Index of the file in [`State::contents`].
    content: usize,
}

impl FaultyFileSystem {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("lock not poisoned")
    }

    /// Runs `work` as one file-system call, subject to the planned fault.
    fn call<T>(&self, work: impl FnOnce(&mut State) -> io::Result<T>) -> io::Result<T> {
        let mut state = self.state();
        match state.fault() {
            None => work(&mut state),
            Some(Fault::ErrorAfterEffect) => work(&mut state).and(Err(no_space_error())),
            Some(_) => Err(no_space_error()),
        }
    }

    fn file(&self, content: usize) -> Box<dyn AppendFile> {
        Box::new(FaultyFile { fs: self.clone(), content })
    }

    /// Returns the file system as it is after a crash. Each file keeps its durable content and up to
    /// `extra_bytes` of the bytes written after it. The file names are the durable ones or, with
    /// `with_current_names`, the current ones, which the operating system may have written without a sync.
    fn after_crash(&self, extra_bytes: usize, with_current_names: bool) -> FaultyFileSystem {
        let old = self.state();
        let mut contents = old.contents.clone();
        for content in &mut contents {
            // Part of the content appended since the last sync may have reached the disk.
            if content.written.starts_with(&content.durable) {
                let end = (content.durable.len() + extra_bytes).min(content.written.len());
                content.durable = content.written[..end].to_vec();
            }
            content.written = content.durable.clone();
            content.lost = 0;
        }
        let names = if with_current_names { old.names.clone() } else { old.durable_names.clone() };
        let state = State { contents, names: names.clone(), durable_names: names, ..State::default() };
        FaultyFileSystem(Arc::new(Mutex::new(state)))
    }
}

impl AppendFile for FaultyFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.fs.state();
        let fault = state.fault();
        let accepted = match fault {
            None | Some(Fault::ErrorAfterEffect) => bytes.len(),
            Some(Fault::ShortWrite(max_bytes)) => max_bytes.min(bytes.len()),
            Some(Fault::Error) => 0,
        };
        state.contents[self.content].written.extend_from_slice(&bytes[..accepted]);
        match fault {
            Some(Fault::ShortWrite(_)) if accepted > 0 => {
                state.after_short_write = true;
                Ok(accepted)
            }
            None => Ok(accepted),
            _ => Err(no_space_error()),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.fs.state();
        let fault = state.fault();
        let content = &mut state.contents[self.content];
        match fault {
            None => {
                // Content lost by a failed sync has to be truncated and rewritten before a sync makes
                // anything durable.
                if content.lost <= content.durable.len() {
                    content.durable = content.written.clone();
                    content.lost = 0;
                }
                Ok(())
            }
            Some(_) => {
                content.lost = content.written.len();
                Err(no_space_error())
            }
        }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let content = self.content;
        self.fs.call(|state| {
            let content = &mut state.contents[content];
            content.written.truncate(length as usize);
            content.lost = content.lost.min(content.written.len());
            Ok(())
        })
    }
}

impl FileSystem for FaultyFileSystem {
    fn create_dir_all(&self, _dir: &Path) -> io::Result<()> {
        self.call(|_| Ok(()))
    }

    fn open_append(&self, path: &Path) -> io::Result<Box<dyn AppendFile>> {
        let content = self.call(|state| {
            let next = state.contents.len();
            let content = *state.names.entry(path.to_owned()).or_insert(next);
            if content == next {
                state.contents.push(Content::default());
            }
            Ok(content)
        })?;
        Ok(self.file(content))
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn AppendFile>> {
        let content = self.call(|state| {
            state.contents.push(Content::default());
            let content = state.contents.len() - 1;
            state.names.insert(path.to_owned(), content);
            Ok(content)
        })?;
        Ok(self.file(content))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        self.call(|state| match state.names.get(path) {
            Some(content) => Ok(state.contents[*content].written.clone()),
            None => Err(io::ErrorKind::NotFound.into()),
        })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.call(|state| {
            let content = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
            state.names.insert(to.to_owned(), content);
            Ok(())
        })
    }

    fn sync_dir(&self, _dir: &Path) -> io::Result<()> {
        self.call(|state| {
            state.durable_names = state.names.clone();
            Ok(())
        })
    }
}

/// An operation on the log.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Append,
    Sync,
    Compact,
}

/// The expected state of the log.
#[derive(Debug, Default)]
struct Model {
    /// The payloads of all successful appends in order; `appended[i]` has sequence number `i + 1`.
    appended: Vec<Vec<u8>>,
    /// Number of acknowledged records.
    acknowledged: usize,
    /// Records with a lower sequence number may have been removed by compaction.
    keep_from: u64,
}

impl Model {
    /// Opens the log on `fs` and checks its records against the model.
    fn check(&self, fs: &FaultyFileSystem, dir: &Path, case: &str) {
        let opened =
            Log::open_with_fs(Arc::new(fs.clone()), dir, 1).expect("no fault is planned after the crash");
        let acknowledged = self.acknowledged as u64;
        let last = opened.records.last().map_or(opened.log.next_sequence() - 1, |record| record.sequence);
        assert!(
            last >= acknowledged,
            "{case}: record {acknowledged} was acknowledged, but the log ends at record {last}"
        );
        if let Some(first) = opened.records.first().map(|record| record.sequence) {
            assert!(
                first <= self.keep_from.max(1),
                "{case}: the log begins at record {first}, but records from {} on have to be kept",
                self.keep_from
            );
        }
        for Record { sequence, payload } in &opened.records {
            match self.appended.get(*sequence as usize - 1) {
                Some(known) => assert_eq!(payload, known, "{case}: record {sequence}"),
                // A record whose append failed may still be in the file, as the last one.
                None => {
                    assert_eq!(
                        *sequence as usize,
                        self.appended.len() + 1,
                        "{case}: record {sequence} was never appended"
                    )
                }
            }
        }
    }
}

fn payload(sequence: usize, attempt: usize) -> Vec<u8> {
    format!("record {sequence}, attempt {attempt}, {}", "x".repeat(sequence % 7 * 5)).into_bytes()
}

/// Counts of a run.
struct RunReport {
    /// Number of file-system calls.
    calls: usize,
    /// Whether the plan made any call fail.
    had_fault: bool,
}

/// Runs the operations with a fault plan and, after each of them, checks the log that a crash would leave. Of
/// the bytes written since the last sync of a file, up to `extra_bytes` survive the crash.
fn run(operations: &[Operation], plan: Option<FaultPlan>, extra_bytes: usize, case: &str) -> RunReport {
    let dir = Path::new("/store");
    let fs = FaultyFileSystem::default();
    let mut log = Log::open_with_fs(Arc::new(fs.clone()), dir, 1).expect("no fault yet").log;
    {
        let mut state = fs.state();
        state.calls = 0;
        state.plan = plan;
    }
    let mut model = Model { keep_from: 1, ..Model::default() };
    for (step, operation) in operations.iter().enumerate() {
        match operation {
            Operation::Append => {
                let bytes = payload(model.appended.len() + 1, step);
                if let Ok(sequence) = log.append(&bytes) {
                    assert_eq!(sequence as usize, model.appended.len() + 1, "{case}: operation {step}");
                    model.appended.push(bytes);
                }
            }
            Operation::Sync => {
                if log.sync().is_ok() {
                    model.acknowledged = model.appended.len();
                }
            }
            Operation::Compact => {
                // Keeps the last two records, as if a snapshot covered the ones before.
                let keep_from = (model.appended.len() as u64).saturating_sub(1).max(1);
                model.keep_from = model.keep_from.max(keep_from);
                let before = log.next_sequence();
                // After a failed compaction the log keeps its records, and the next compaction is tried as
                // usual.
                let _ = log.compact(keep_from);
                assert_eq!(log.next_sequence(), before, "{case}: operation {step}");
            }
        }
        for with_current_names in [false, true] {
            let crashed = fs.after_crash(extra_bytes, with_current_names);
            let case = format!("{case}, crash after operation {step}, current names {with_current_names}");
            model.check(&crashed, dir, &case);
        }
    }
    let state = fs.state();
    RunReport { calls: state.calls, had_fault: state.failed_calls > 0 }
}

const OPERATIONS: [Operation; 16] = {
    use Operation::*;
    [
        Append, Sync, Append, Append, Sync, Append, Compact, Append, Sync, Append, Sync, Compact, Append,
        Append, Sync, Append,
    ]
};

#[test]
fn no_acknowledged_record_is_lost_whichever_call_fails() {
    let calls = run(&OPERATIONS, None, 0, "no fault").calls;
    let mut faults = vec![Fault::Error, Fault::ErrorAfterEffect];
    faults.extend([1, 7, 15, 16, 17, 30].map(Fault::ShortWrite));
    let mut cases = 0;
    let mut faulty_cases = 0;
    for call in 1..=calls {
        for call_count in [1, 2, 5] {
            for fault in &faults {
                for extra_bytes in [0, 1, 16, 20, 1000] {
                    let case = format!(
                        "{fault:?} at calls {call} to {}, {extra_bytes} unsynced bytes kept",
                        call + call_count - 1
                    );
                    let plan = FaultPlan { first_call: call, call_count, fault: *fault };
                    let report = run(&OPERATIONS, Some(plan), extra_bytes, &case);
                    cases += 1;
                    faulty_cases += usize::from(report.had_fault);
                }
            }
        }
    }
    println!("{cases} cases, {faulty_cases} of them with a fault; {calls} calls in a run without faults");
    assert!(faulty_cases > 3000, "only {faulty_cases} of {cases} cases had a fault");
}

#[test]
fn the_log_accepts_records_again_after_a_short_write() {
    // A short write in the middle of a record, as when the file-size limit is reached, then five more
    // records, each acknowledged.
    let dir = Path::new("/store");
    let fs = FaultyFileSystem::default();
    let mut log = Log::open_with_fs(Arc::new(fs.clone()), dir, 1).expect("opens").log;
    log.append(b"first").expect("written");
    log.sync().expect("durable");
    let first_call = fs.state().calls + 1;
    fs.state().plan = Some(FaultPlan { first_call, call_count: 1, fault: Fault::ShortWrite(9) });
    log.append(b"torn").expect_err("the write failed");
    for number in 0..5 {
        log.append(format!("later {number}").as_bytes()).expect("written");
        log.sync().expect("durable");
    }
    drop(log);
    let opened = Log::open_with_fs(Arc::new(fs.after_crash(0, false)), dir, 1).expect("opens");
    assert_eq!((opened.records.len(), opened.truncated_bytes), (6, 0));
}
