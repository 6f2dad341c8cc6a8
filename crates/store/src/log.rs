//! The append-only log.

use crate::disk::{append_all, Disk, DiskFile, SystemDisk};
use crate::record::{decode, encode, MAX_RECORD};
use crate::with_path;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// An open log, appended at its end.
#[derive(Debug)]
pub struct Log {
    dir: PathBuf,
    disk: Arc<dyn Disk>,
    file: Box<dyn DiskFile>,
    /// Sequence number of the first record in the file; the next one appended is `first + len`.
    first: u64,
    len: u64,
    /// Bytes in the file, all of them whole records.
    bytes: u64,
    scratch: Vec<u8>,
}

/// What [`Log::open`] found.
#[derive(Debug)]
pub struct Opened {
    /// The log, ready to append after the last whole record.
    pub log: Log,
    /// The whole records, in order, with their sequence numbers.
    pub records: Vec<(u64, Vec<u8>)>,
    /// Bytes cut from the end because they held no whole record (0 after a clean stop).
    pub cut: u64,
}

impl Log {
    /// Opens the log in `dir`, creating both if missing. `first` is the sequence of the first record of a new log.
    ///
    /// # Errors
    /// From the file system, with the path.
    pub fn open(dir: &Path, first: u64) -> io::Result<Opened> {
        Log::open_on(Arc::new(SystemDisk), dir, first)
    }

    /// The same on a file system of the caller's.
    ///
    /// # Errors
    /// As [`Log::open`].
    pub fn open_on(disk: Arc<dyn Disk>, dir: &Path, first: u64) -> io::Result<Opened> {
        disk.create_dir_all(dir).map_err(|e| with_path(e, dir))?;
        let path = dir.join("log");
        let mut file = disk.open_append(&path).map_err(|e| with_path(e, &path))?;
        disk.sync_dir(dir).map_err(|e| with_path(e, dir))?;
        let bytes = disk.read(&path).map_err(|e| with_path(e, &path))?;
        let (records, good) = scan(&bytes);
        let cut = (bytes.len() - good) as u64;
        if cut > 0 {
            file.truncate(good as u64).map_err(|e| with_path(e, &path))?;
            file.sync().map_err(|e| with_path(e, &path))?;
        }
        let first = records.first().map_or(first, |r| r.0);
        let log = Log {
            dir: dir.to_path_buf(),
            disk,
            file,
            first,
            len: records.len() as u64,
            bytes: good as u64,
            scratch: Vec::new(),
        };
        Ok(Opened { log, records, cut })
    }

    /// Sequence number the next appended record gets.
    pub fn next_seq(&self) -> u64 {
        self.first + self.len
    }

    /// Bytes the log holds on disk.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Writes one record and returns its sequence. It is acknowledged only after a later [`Log::sync`].
    ///
    /// # Errors
    /// `InvalidInput` for a payload over [`MAX_RECORD`]; else from the file system.
    pub fn append(&mut self, payload: &[u8]) -> io::Result<u64> {
        if payload.len() > MAX_RECORD {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("a record of {} bytes is over the {MAX_RECORD} allowed", payload.len()),
            ));
        }
        let seq = self.next_seq();
        self.scratch.clear();
        encode(seq, payload, &mut self.scratch);
        append_all(&mut *self.file, &self.scratch).map_err(|e| with_path(e, &self.dir.join("log")))?;
        self.len += 1;
        self.bytes += self.scratch.len() as u64;
        Ok(seq)
    }

    /// Makes every record appended so far durable: after it returns they are acknowledged.
    ///
    /// # Errors
    /// From `fdatasync`.
    pub fn sync(&mut self) -> io::Result<()> {
        self.file.sync().map_err(|e| with_path(e, &self.dir.join("log")))
    }

    /// Drops every record before `keep_from` (they are in a snapshot now): the rest is written to `log.tmp`,
    /// synced and renamed over the log, and the directory synced. A crash at any point leaves the old log or the
    /// new one, both whole.
    ///
    /// # Errors
    /// From the file system; the log is unchanged then.
    pub fn compact(&mut self, keep_from: u64) -> io::Result<()> {
        let path = self.dir.join("log");
        let bytes = self.disk.read(&path).map_err(|e| with_path(e, &path))?;
        let (records, _) = scan(&bytes);
        let mut out = Vec::new();
        let kept: Vec<_> = records.iter().filter(|r| r.0 >= keep_from).collect();
        for (seq, payload) in &kept {
            encode(*seq, payload, &mut out);
        }
        let tmp = self.dir.join("log.tmp");
        let mut file = self.disk.create(&tmp).map_err(|e| with_path(e, &tmp))?;
        append_all(&mut *file, &out).and_then(|()| file.sync()).map_err(|e| with_path(e, &tmp))?;
        self.disk.rename(&tmp, &path).map_err(|e| with_path(e, &path))?;
        self.disk.sync_dir(&self.dir).map_err(|e| with_path(e, &self.dir))?;
        self.file = self.disk.open_append(&path).map_err(|e| with_path(e, &path))?;
        self.first = kept.first().map_or(self.next_seq(), |r| r.0);
        self.len = kept.len() as u64;
        self.bytes = out.len() as u64;
        Ok(())
    }
}

/// The whole records at the front of `bytes` and the length they take.
fn scan(bytes: &[u8]) -> (Vec<(u64, Vec<u8>)>, usize) {
    let mut records: Vec<(u64, Vec<u8>)> = Vec::new();
    let mut at = 0;
    while let Some((seq, payload, len)) = decode(&bytes[at..]) {
        if records.last().is_some_and(|last| last.0 + 1 != seq) {
            break;
        }
        records.push((seq, payload.to_vec()));
        at += len;
    }
    (records, at)
}
