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
    /// Bytes of the records appended, all of them whole.
    bytes: u64,
    /// The records appended since the last sync that returned, as they stand in the file. They are kept to be written
    /// anew: after a failed sync the kernel may have dropped them and call a later sync a success.
    unsynced: Vec<u8>,
    /// A write or a sync has failed: what stands in the file behind the synced records is in doubt.
    in_doubt: bool,
    /// A rename has failed and what it left can't be read: the open file may not be the log any more.
    unknown_file: bool,
    /// A rename in the directory may not be durable yet.
    dir_unsynced: bool,
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
        // What a process before this one wrote and could not sync is read here from the kernel's cache.
        file.sync().map_err(|e| with_path(e, &path))?;
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
            unsynced: Vec::new(),
            in_doubt: false,
            unknown_file: false,
            dir_unsynced: false,
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
    /// `InvalidInput` for a payload over [`MAX_RECORD`]; else from the file system. The record is not in the log then:
    /// what a failed write left of it is cut off before anything else is written, here or at the next call, and the
    /// next record takes its sequence.
    pub fn append(&mut self, payload: &[u8]) -> io::Result<u64> {
        if payload.len() > MAX_RECORD {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("a record of {} bytes is over the {MAX_RECORD} allowed", payload.len()),
            ));
        }
        self.restore()?;
        let seq = self.next_seq();
        self.scratch.clear();
        encode(seq, payload, &mut self.scratch);
        if let Err(error) = append_all(&mut *self.file, &self.scratch) {
            self.in_doubt = true;
            // Tried at once, so that a crash finds nothing of the failed record; else the next call tries again.
            let _ = self.restore();
            return Err(self.at_log(error));
        }
        self.unsynced.extend_from_slice(&self.scratch);
        self.len += 1;
        self.bytes += self.scratch.len() as u64;
        Ok(seq)
    }

    /// Makes every record appended so far durable: after it returns they are acknowledged.
    ///
    /// # Errors
    /// From the file system. Nothing since the last call that returned counts as durable then; the next call writes
    /// all of it anew before it syncs.
    pub fn sync(&mut self) -> io::Result<()> {
        self.restore()?;
        if let Err(error) = self.file.sync() {
            self.in_doubt = true;
            return Err(self.at_log(error));
        }
        if self.dir_unsynced {
            self.disk.sync_dir(&self.dir).map_err(|e| with_path(e, &self.dir))?;
            self.dir_unsynced = false;
        }
        self.unsynced.clear();
        Ok(())
    }

    /// After a failure: cuts the file back to what is durable and writes the records since then anew.
    fn restore(&mut self) -> io::Result<()> {
        if self.unknown_file {
            let message = "a rename failed and what it left can't be read; open the log anew";
            return Err(self.at_log(io::Error::other(message)));
        }
        if !self.in_doubt {
            return Ok(());
        }
        let durable = self.bytes - self.unsynced.len() as u64;
        let restored = self.file.truncate(durable).and_then(|()| append_all(&mut *self.file, &self.unsynced));
        restored.map_err(|error| self.at_log(error))?;
        self.in_doubt = false;
        Ok(())
    }

    fn at_log(&self, error: io::Error) -> io::Error {
        with_path(error, &self.dir.join("log"))
    }

    /// Drops every record before `keep_from` (they are in a snapshot now): the rest is written to `log.tmp`,
    /// synced and renamed over the log, and the directory synced. A crash at any point leaves the old log or the
    /// new one, both whole.
    ///
    /// # Errors
    /// From the file system; the log holds the same records then. Where only the directory's sync failed, the next
    /// [`Log::sync`] has to make up for it before anything is acknowledged. `InvalidData` if the file does not hold the
    /// records that were written to it.
    pub fn compact(&mut self, keep_from: u64) -> io::Result<()> {
        self.restore()?;
        let path = self.dir.join("log");
        let bytes = self.disk.read(&path).map_err(|e| with_path(e, &path))?;
        let (records, good) = scan(&bytes);
        if good as u64 != self.bytes || records.len() as u64 != self.len {
            let message = format!(
                "{}: {good} bytes hold whole records, {} were written; left as it is, restore it from a peer",
                path.display(),
                self.bytes
            );
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        let mut out = Vec::new();
        let kept: Vec<_> = records.iter().filter(|r| r.0 >= keep_from).collect();
        for (seq, payload) in &kept {
            encode(*seq, payload, &mut out);
        }
        let tmp = self.dir.join("log.tmp");
        let mut file = self.disk.create(&tmp).map_err(|e| with_path(e, &tmp))?;
        append_all(&mut *file, &out).and_then(|()| file.sync()).map_err(|e| with_path(e, &tmp))?;
        if let Err(error) = self.disk.rename(&tmp, &path) {
            // It may have been done all the same: then records appended to the old file would go with it.
            match self.disk.read(&path) {
                Ok(now) if now == out => {}
                Ok(_) => return Err(with_path(error, &path)),
                Err(_) => {
                    self.unknown_file = true;
                    return Err(with_path(error, &path));
                }
            }
        }
        // From here on the new file is the log: it was opened under its first name and needs no second opening that
        // could fail.
        self.file = file;
        self.first = kept.first().map_or(self.next_seq(), |r| r.0);
        self.len = kept.len() as u64;
        self.bytes = out.len() as u64;
        self.unsynced.clear();
        self.dir_unsynced = true;
        self.disk.sync_dir(&self.dir).map_err(|e| with_path(e, &self.dir))?;
        self.dir_unsynced = false;
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
