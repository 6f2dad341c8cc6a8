//! The Raft storage of one member: log, hard state and snapshot. Every change is written to the crash-safe
//! store of `pinetrestle-store`; Raft's reads are served from a copy in memory.

mod record;
mod storage_trait;

use crate::error::MemberError;
use pinetrestle_store::{read_snapshot, write_snapshot, Log};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::Storage as _;
use record::{decode_entries, Record, SnapshotFile};
use std::path::{Path, PathBuf};

/// The sequence number of the first record of a new log.
const FIRST_SEQUENCE: u64 = 1;

/// The Raft storage of one member.
#[derive(Debug)]
pub struct RaftStorage {
    dir: PathBuf,
    log: Log,
    hard_state: HardState,
    conf_state: ConfState,
    snapshot: Snapshot,
    /// The entries after the snapshot: `entries[i]` has index `snapshot index + 1 + i`.
    entries: Vec<Entry>,
    incarnation: u64,
}

impl RaftStorage {
    /// Opens the store in `dir` and increments its incarnation, which is durable before this returns.
    /// `voters` is the Raft configuration of a store that has recorded none; voters are recorded with each
    /// snapshot.
    ///
    /// # Errors
    /// [`MemberError::Io`] if the file system fails, [`MemberError::Decode`] if a snapshot or record has a
    /// valid checksum but does not decode.
    pub fn open(dir: &Path, voters: &[u64]) -> Result<RaftStorage, MemberError> {
        let opened = Log::open(dir, FIRST_SEQUENCE)?;
        let mut storage = RaftStorage {
            dir: dir.to_path_buf(),
            log: opened.log,
            hard_state: HardState::default(),
            conf_state: ConfState { voters: voters.to_vec(), ..Default::default() },
            snapshot: Snapshot::default(),
            entries: Vec::new(),
            incarnation: 0,
        };
        if let Some(stored) = read_snapshot(dir)? {
            storage.install_snapshot(SnapshotFile::decode(&stored)?);
        }
        for record in opened.records {
            storage.replay(Record::decode(&record.payload)?)?;
        }
        storage.incarnation += 1;
        storage.write(&Record::Incarnation(storage.incarnation))?;
        storage.log.sync()?;
        Ok(storage)
    }

    /// Returns the incarnation of the member: how often the store has been opened, including this time. It is
    /// 1 for a new store.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the index of the last entry that the snapshot covers, or 0 if there is no snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Returns the encoded state machine in the snapshot, which is empty if there is no snapshot.
    pub fn snapshot_data(&self) -> &[u8] {
        &self.snapshot.data
    }

    /// Returns the size of the store's log in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log.size_bytes()
    }

    /// Appends entries from Raft. They are durable after the next [`RaftStorage::sync`].
    ///
    /// # Errors
    /// If the store fails to write.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), MemberError> {
        if entries.is_empty() {
            return Ok(());
        }
        self.write(&Record::from_entries(entries))?;
        self.append_in_memory(entries);
        Ok(())
    }

    /// Writes a new hard state. It is durable after the next [`RaftStorage::sync`].
    ///
    /// # Errors
    /// If the store fails to write.
    pub fn set_hard_state(&mut self, hard_state: &HardState) -> Result<(), MemberError> {
        // The write comes first: if it fails, the copy in memory must not have a vote or commit index that is
        // not on disk.
        self.write(&Record::from_hard_state(hard_state))?;
        self.hard_state = hard_state.clone();
        Ok(())
    }

    /// Writes a new commit index. It is durable after the next [`RaftStorage::sync`].
    ///
    /// # Errors
    /// If the store fails to write.
    pub fn set_commit(&mut self, commit: u64) -> Result<(), MemberError> {
        let hard_state = HardState { commit, ..self.hard_state.clone() };
        self.set_hard_state(&hard_state)
    }

    /// Makes all writes so far durable.
    ///
    /// # Errors
    /// If `fdatasync` fails.
    pub fn sync(&mut self) -> Result<(), MemberError> {
        self.log.sync()?;
        Ok(())
    }

    /// Stores a snapshot that the leader sent, which replaces the entries up to its index.
    ///
    /// # Errors
    /// If the store fails to write.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), MemberError> {
        self.replace_snapshot(SnapshotFile::from_raft(snapshot))
    }

    /// Writes `data`, the encoded state machine as of `index`, as the snapshot, and removes the entries that
    /// it covers from the log.
    ///
    /// # Errors
    /// If the store fails to write, and [`MemberError::Raft`] if the entry at `index` is not in the log.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Result<(), MemberError> {
        let term = self.term(index)?;
        self.replace_snapshot(SnapshotFile { index, term, voters: self.conf_state.voters.clone(), data })
    }

    /// Writes `file` as the snapshot, then appends everything that the snapshot does not hold to the store's
    /// log (incarnation, voters, hard state, later entries), then removes all earlier records from the log. A
    /// store left by a crash between any two of these steps opens to the same state.
    fn replace_snapshot(&mut self, file: SnapshotFile) -> Result<(), MemberError> {
        write_snapshot(&self.dir, &file.encode()?)?;
        self.install_snapshot(file);
        let first_kept = self.log.next_sequence();
        self.write(&Record::Incarnation(self.incarnation))?;
        self.write(&Record::Voters(self.conf_state.voters.clone()))?;
        self.write(&Record::from_hard_state(&self.hard_state))?;
        if !self.entries.is_empty() {
            self.write(&Record::from_entries(&self.entries))?;
        }
        self.log.sync()?;
        self.log.compact(first_kept)?;
        Ok(())
    }

    /// Replaces the snapshot in memory. Entries that it covers are removed, and all entries if the first one
    /// after it would leave a gap.
    fn install_snapshot(&mut self, file: SnapshotFile) {
        let index = file.index;
        self.conf_state.voters = file.voters.clone();
        self.entries.retain(|entry| entry.index > index);
        if self.entries.first().is_some_and(|entry| entry.index != index + 1) {
            self.entries.clear();
        }
        self.hard_state.commit = self.hard_state.commit.max(index);
        self.snapshot = file.into_raft();
    }

    /// Applies a record that was read from the store's log to the copy in memory.
    fn replay(&mut self, record: Record) -> Result<(), MemberError> {
        match record {
            Record::Entries(encoded) => self.append_in_memory(&decode_entries(&encoded)?),
            Record::HardState { term, vote, commit } => {
                self.hard_state = HardState { term, vote, commit, ..Default::default() };
            }
            Record::Voters(voters) => self.conf_state.voters = voters,
            Record::Incarnation(incarnation) => self.incarnation = self.incarnation.max(incarnation),
        }
        Ok(())
    }

    /// Appends entries to the copy in memory. Each entry replaces all entries from its index on; entries that
    /// the snapshot covers are skipped. At an entry that would leave a gap, it and the entries after it are
    /// dropped.
    fn append_in_memory(&mut self, entries: &[Entry]) {
        let base = self.snapshot_index();
        for entry in entries {
            if entry.index <= base {
                continue;
            }
            let position = (entry.index - base - 1) as usize;
            if position > self.entries.len() {
                break;
            }
            self.entries.truncate(position);
            self.entries.push(entry.clone());
        }
    }

    fn write(&mut self, record: &Record) -> Result<(), MemberError> {
        self.log.append(&record.encode()?)?;
        Ok(())
    }
}
