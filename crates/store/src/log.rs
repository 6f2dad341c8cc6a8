//! The append-only log.

use crate::error::StoreError;
use crate::file_system::{append_all, AppendFile, FileSystem, OsFileSystem};
use crate::record::{decode, encode, Record, MAX_RECORD_BYTES};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Name of the log file.
const LOG_FILE: &str = "log";
/// Name of the file that a compacted log is written to before it is renamed to [`LOG_FILE`].
const TEMPORARY_FILE: &str = "log.tmp";

/// An open log, to which records are appended.
#[derive(Debug)]
pub struct Log {
    dir: PathBuf,
    fs: Arc<dyn FileSystem>,
    file: Box<dyn AppendFile>,
    /// Sequence number of the first record in the file.
    first_sequence: u64,
    /// Number of records in the file.
    record_count: u64,
    /// Size of the records in the file, in bytes.
    size_bytes: u64,
    /// The encoded records appended since the last successful sync, kept so that they can be rewritten. After
    /// a failed sync the kernel may have discarded them, and a later sync may report success without having
    /// written them.
    unsynced: Vec<u8>,
    /// Whether a write or sync failed since the tail was last rewritten. The content of the file after the
    /// synced records is then unknown.
    tail_unknown: bool,
    /// Whether a rename failed and its outcome could not be determined, so that the open file may no longer
    /// be the log.
    rename_outcome_unknown: bool,
    /// Whether a rename in the directory may not be durable yet.
    dir_unsynced: bool,
    /// Buffer for the encoded form of the record being appended, reused to avoid an allocation per record.
    encoded: Vec<u8>,
}

/// An opened log and the records that were in it.
#[derive(Debug)]
pub struct OpenedLog {
    /// The log. New records are appended after the last complete record.
    pub log: Log,
    /// The complete records in append order.
    pub records: Vec<Record>,
    /// Number of bytes truncated from the end because they were not a complete record; 0 after a clean
    /// shutdown.
    pub truncated_bytes: u64,
}

impl Log {
    /// Opens the log in `dir` and reads its records. Creates the directory and the log if they do not exist.
    ///
    /// `first_sequence` is the sequence number of the first record if the log has no records yet.
    ///
    /// # Errors
    /// [`StoreError::FileSystem`].
    pub fn open(dir: &Path, first_sequence: u64) -> Result<OpenedLog, StoreError> {
        Log::open_with_fs(Arc::new(OsFileSystem), dir, first_sequence)
    }

    /// Opens the log like [`Log::open`], using the given file system.
    ///
    /// # Errors
    /// The errors of [`Log::open`].
    pub fn open_with_fs(
        fs: Arc<dyn FileSystem>,
        dir: &Path,
        first_sequence: u64,
    ) -> Result<OpenedLog, StoreError> {
        let path = dir.join(LOG_FILE);
        let dir_error = |error| StoreError::file_system(dir, error);
        let log_error = |error| StoreError::file_system(&path, error);
        fs.create_dir_all(dir).map_err(dir_error)?;
        let mut file = fs.open_append(&path).map_err(log_error)?;
        fs.sync_dir(dir).map_err(dir_error)?;
        // An earlier process may have written records without syncing them. They are still read from the page
        // cache, so they are made durable before they are returned.
        file.sync().map_err(log_error)?;
        let content = fs.read(&path).map_err(log_error)?;
        let scan = scan(&content);
        let truncated_bytes = content.len() as u64 - scan.size_bytes;
        if truncated_bytes > 0 {
            file.truncate(scan.size_bytes).map_err(log_error)?;
            file.sync().map_err(log_error)?;
        }
        let log = Log {
            dir: dir.to_path_buf(),
            fs,
            file,
            first_sequence: scan.records.first().map_or(first_sequence, |record| record.sequence),
            record_count: scan.records.len() as u64,
            size_bytes: scan.size_bytes,
            unsynced: Vec::new(),
            tail_unknown: false,
            rename_outcome_unknown: false,
            dir_unsynced: false,
            encoded: Vec::new(),
        };
        Ok(OpenedLog { log, records: scan.records, truncated_bytes })
    }

    /// Returns the sequence number of the next record to be appended.
    pub fn next_sequence(&self) -> u64 {
        self.first_sequence + self.record_count
    }

    /// Returns the size of the records in the log file, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// Appends a record and returns its sequence number. The record is durable only after a later
    /// [`Log::sync`].
    ///
    /// # Errors
    /// [`StoreError::RecordTooLarge`], [`StoreError::FileSystem`] or [`StoreError::RenameOutcomeUnknown`]. On
    /// error the record is not in the log, and the next record gets its sequence number. If a failed write
    /// left part of the record in the file, that part is truncated before anything else is written: by this
    /// call if possible, otherwise by the next call that writes to the log. If the process crashes before
    /// that, a record that was written completely is read as the last one when the log is opened.
    pub fn append(&mut self, payload: &[u8]) -> Result<u64, StoreError> {
        if payload.len() > MAX_RECORD_BYTES {
            return Err(StoreError::RecordTooLarge { bytes: payload.len() });
        }
        self.restore_tail()?;
        let sequence = self.next_sequence();
        self.encoded.clear();
        encode(sequence, payload, &mut self.encoded);
        if let Err(error) = append_all(&mut *self.file, &self.encoded) {
            self.tail_unknown = true;
            // Truncates what was written of the record, so that it is not left in the file after a crash. If
            // that fails too, the next call retries it, and the first error is the one to report.
            let _ = self.restore_tail();
            return Err(StoreError::file_system(&self.path(), error));
        }
        self.unsynced.extend_from_slice(&self.encoded);
        self.record_count += 1;
        self.size_bytes += self.encoded.len() as u64;
        Ok(sequence)
    }

    /// Makes all records appended so far durable. Once it returns `Ok`, those records are acknowledged.
    ///
    /// # Errors
    /// [`StoreError::FileSystem`] or [`StoreError::RenameOutcomeUnknown`]. On error, no record appended since
    /// the last successful sync is acknowledged. After a failed `fdatasync(2)`, those records are rewritten
    /// before the next sync.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.restore_tail()?;
        if let Err(error) = self.file.sync() {
            self.tail_unknown = true;
            return Err(StoreError::file_system(&self.path(), error));
        }
        if self.dir_unsynced {
            self.sync_dir()?;
        }
        self.unsynced.clear();
        Ok(())
    }

    /// Removes all records with a sequence number below `keep_from`, which a snapshot has to cover.
    ///
    /// The remaining records are written to `log.tmp`, which is synced and renamed over the log, and the
    /// directory is synced. A crash at any point leaves either the old or the new log.
    ///
    /// # Errors
    /// - [`StoreError::FileSystem`] or [`StoreError::RenameOutcomeUnknown`]: the log still has all its
    ///   records. The exception is a failed sync of the directory after the rename: the log is then
    ///   compacted, and the next [`Log::sync`] repeats the directory sync before it acknowledges any record.
    /// - [`StoreError::LogCorrupt`] if the complete records in the file differ in total size or number from
    ///   those that were written. The file is not modified.
    pub fn compact(&mut self, keep_from: u64) -> Result<(), StoreError> {
        self.restore_tail()?;
        let records = self.read_back()?;
        let kept: Vec<&Record> = records.iter().filter(|record| record.sequence >= keep_from).collect();
        let mut content = Vec::new();
        for record in &kept {
            encode(record.sequence, &record.payload, &mut content);
        }
        // The handle opened under the temporary name stays valid after the rename. Opening the file again
        // could fail.
        self.file = self.replace_file(&content)?;
        self.first_sequence = kept.first().map_or(self.next_sequence(), |record| record.sequence);
        self.record_count = kept.len() as u64;
        self.size_bytes = content.len() as u64;
        self.unsynced.clear();
        self.dir_unsynced = true;
        self.sync_dir()
    }

    fn path(&self) -> PathBuf {
        self.dir.join(LOG_FILE)
    }

    /// Restores the tail of the file after a failed write or sync: truncates the file to its durable records
    /// and rewrites the unsynced ones. Does nothing if there was no failure.
    fn restore_tail(&mut self) -> Result<(), StoreError> {
        if self.rename_outcome_unknown {
            return Err(StoreError::RenameOutcomeUnknown { path: self.path() });
        }
        if !self.tail_unknown {
            return Ok(());
        }
        let durable_bytes = self.size_bytes - self.unsynced.len() as u64;
        self.file
            .truncate(durable_bytes)
            .and_then(|()| append_all(&mut *self.file, &self.unsynced))
            .map_err(|error| StoreError::file_system(&self.path(), error))?;
        self.tail_unknown = false;
        Ok(())
    }

    fn sync_dir(&mut self) -> Result<(), StoreError> {
        self.fs.sync_dir(&self.dir).map_err(|error| StoreError::file_system(&self.dir, error))?;
        self.dir_unsynced = false;
        Ok(())
    }

    /// Reads all records back from the file and checks their total size and number against those written.
    fn read_back(&self) -> Result<Vec<Record>, StoreError> {
        let path = self.path();
        let content = self.fs.read(&path).map_err(|error| StoreError::file_system(&path, error))?;
        let scan = scan(&content);
        if scan.size_bytes != self.size_bytes || scan.records.len() as u64 != self.record_count {
            return Err(StoreError::LogCorrupt { path, readable: scan.size_bytes, written: self.size_bytes });
        }
        Ok(scan.records)
    }

    /// Writes `content` to the temporary file, syncs it, renames it over the log and returns the new file.
    fn replace_file(&mut self, content: &[u8]) -> Result<Box<dyn AppendFile>, StoreError> {
        let temporary = self.dir.join(TEMPORARY_FILE);
        let temporary_error = |error| StoreError::file_system(&temporary, error);
        let mut file = self.fs.create(&temporary).map_err(temporary_error)?;
        append_all(&mut *file, content).map_err(temporary_error)?;
        file.sync().map_err(temporary_error)?;
        let path = self.path();
        if let Err(error) = self.fs.rename(&temporary, &path) {
            // The rename may have taken effect despite the error. Records appended to the old file would then
            // be lost, so the log is read to see which file it is.
            let current = self.fs.read(&path);
            self.rename_outcome_unknown = current.is_err();
            if !current.is_ok_and(|current| current == content) {
                return Err(StoreError::file_system(&path, error));
            }
        }
        Ok(file)
    }
}

/// The complete records at the start of a log file.
struct Scan {
    records: Vec<Record>,
    /// Size of `records` in the file, in bytes.
    size_bytes: u64,
}

/// Decodes records up to the first that is incomplete, corrupt or out of sequence.
fn scan(content: &[u8]) -> Scan {
    let mut records: Vec<Record> = Vec::new();
    let mut end = 0;
    while let Some(found) = decode(&content[end..]) {
        if records.last().is_some_and(|last| last.sequence + 1 != found.sequence) {
            break;
        }
        records.push(Record { sequence: found.sequence, payload: found.payload.to_vec() });
        end += found.encoded_bytes;
    }
    Scan { records, size_bytes: end as u64 }
}
