//! Raft's log, hard state and snapshot of one member, kept in the crash-safe store and read by Raft from memory.

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

/// Raft's storage of one member.
#[derive(Debug)]
pub struct RaftStorage {
    dir: PathBuf,
    log: Log,
    hard_state: HardState,
    conf_state: ConfState,
    snapshot: Snapshot,
    /// `entries[i]` has index `snapshot index + 1 + i`.
    entries: Vec<Entry>,
    incarnation: u64,
}

impl RaftStorage {
    /// Opens the store in `dir`; a new one gets `voters` as its first configuration. Counts one more start, durable
    /// before it returns.
    ///
    /// # Errors
    /// [`MemberError::Io`] from the file system, [`MemberError::Decode`] for a snapshot or record that passed its
    /// checksum but does not decode.
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

    /// The number of this start, 1 on a new store.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The index of the last entry in the snapshot, 0 without one.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// The state machine's bytes in the snapshot, none without one.
    pub fn snapshot_data(&self) -> &[u8] {
        &self.snapshot.data
    }

    /// Bytes of the store's log.
    pub fn log_bytes(&self) -> u64 {
        self.log.size_bytes()
    }

    /// Appends entries from Raft; durable after [`RaftStorage::sync`].
    ///
    /// # Errors
    /// From the store.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), MemberError> {
        if entries.is_empty() {
            return Ok(());
        }
        self.write(&Record::of_entries(entries))?;
        self.place_entries(entries);
        Ok(())
    }

    /// Writes a new hard state; durable after [`RaftStorage::sync`].
    ///
    /// # Errors
    /// From the store.
    pub fn set_hard_state(&mut self, hard_state: &HardState) -> Result<(), MemberError> {
        // Written first: after an error memory must not hold a vote or a commit that is not on disk.
        self.write(&Record::of_hard_state(hard_state))?;
        self.hard_state = hard_state.clone();
        Ok(())
    }

    /// Writes a new commit index; durable after [`RaftStorage::sync`].
    ///
    /// # Errors
    /// From the store.
    pub fn set_commit(&mut self, commit: u64) -> Result<(), MemberError> {
        let hard_state = HardState { commit, ..self.hard_state.clone() };
        self.set_hard_state(&hard_state)
    }

    /// Makes everything written so far durable.
    ///
    /// # Errors
    /// From `fdatasync`.
    pub fn sync(&mut self) -> Result<(), MemberError> {
        self.log.sync()?;
        Ok(())
    }

    /// Replaces the log up to the index of a snapshot that the leader sent.
    ///
    /// # Errors
    /// From the store.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), MemberError> {
        self.replace_snapshot(SnapshotFile::of_raft(snapshot))
    }

    /// Writes a snapshot of the state machine as of `index`, and cuts the log before it.
    ///
    /// # Errors
    /// From the store; [`MemberError::Raft`] for an index that is not in the log.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Result<(), MemberError> {
        let term = self.term(index)?;
        self.replace_snapshot(SnapshotFile { index, term, voters: self.conf_state.voters.clone(), data })
    }

    /// Writes `file` as the snapshot, then all state after it into the log, then cuts the log before that. A crash
    /// between any two steps leaves a store that opens to the same state.
    fn replace_snapshot(&mut self, file: SnapshotFile) -> Result<(), MemberError> {
        write_snapshot(&self.dir, &file.encode()?)?;
        self.install_snapshot(file);
        let keep_from = self.log.next_sequence();
        self.write(&Record::Incarnation(self.incarnation))?;
        self.write(&Record::Voters(self.conf_state.voters.clone()))?;
        self.write(&Record::of_hard_state(&self.hard_state))?;
        if !self.entries.is_empty() {
            self.write(&Record::of_entries(&self.entries))?;
        }
        self.log.sync()?;
        self.log.compact(keep_from)?;
        Ok(())
    }

    /// Takes a snapshot into memory: entries that it covers, or that do not follow it, go.
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

    /// Takes a record of the log into memory, as the store is opened.
    fn replay(&mut self, record: Record) -> Result<(), MemberError> {
        match record {
            Record::Entries(encoded) => self.place_entries(&decode_entries(&encoded)?),
            Record::HardState { term, vote, commit } => {
                self.hard_state = HardState { term, vote, commit, ..Default::default() };
            }
            Record::Voters(voters) => self.conf_state.voters = voters,
            Record::Incarnation(incarnation) => self.incarnation = self.incarnation.max(incarnation),
        }
        Ok(())
    }

    /// Takes entries into memory: each replaces those at its index and after. One that would leave a gap ends it.
    fn place_entries(&mut self, entries: &[Entry]) {
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
