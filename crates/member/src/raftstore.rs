//! Raft's log, hard state and snapshot, kept in the crash-safe store and answered to Raft from memory.

use pinetrestle_store::{read_snapshot, write_snapshot, Log, Snapshot as StoreSnapshot};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

/// One record of the store's log.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    /// Entries, each Raft's protobuf bytes; an entry replaces every one at its index and after.
    Entries(Vec<Vec<u8>>),
    /// Term, vote and commit.
    Hard { term: u64, vote: u64, commit: u64 },
    /// The voters.
    Voters(Vec<u64>),
    /// A start of the member, by count.
    Boot(u64),
}

/// What the snapshot file holds.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotFile {
    index: u64,
    term: u64,
    voters: Vec<u64>,
    data: Vec<u8>,
}

/// Raft's storage of one member.
#[derive(Debug)]
pub struct Durable {
    dir: PathBuf,
    log: Log,
    hard: HardState,
    conf: ConfState,
    snapshot: Snapshot,
    /// `entries[i]` has index `snapshot index + 1 + i`.
    entries: Vec<Entry>,
    boot: u64,
}

/// Each entry as Raft's protobuf bytes.
fn encoded(entries: &[Entry]) -> Vec<Vec<u8>> {
    entries.iter().map(|e| e.write_to_bytes().unwrap_or_default()).collect()
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

impl Durable {
    /// Opens the store in `dir`; a new one gets `voters` as its first configuration. Counts one more boot,
    /// durably, before it returns.
    ///
    /// # Errors
    /// From the file system, or `InvalidData` for a record that passed its checksum but does not decode.
    pub fn open(dir: &Path, voters: &[u64]) -> io::Result<Durable> {
        let opened = Log::open(dir, 1)?;
        let mut store = Durable {
            dir: dir.to_path_buf(),
            log: opened.log,
            hard: HardState::default(),
            conf: ConfState { voters: voters.to_vec(), ..Default::default() },
            snapshot: Snapshot::default(),
            entries: Vec::new(),
            boot: 0,
        };
        if let Some(found) = read_snapshot(dir)? {
            let file: SnapshotFile =
                postcard::from_bytes(&found.payload).map_err(|_| bad("snapshot does not decode"))?;
            store.take_snapshot_file(file);
        }
        for (_, payload) in opened.records {
            match postcard::from_bytes(&payload).map_err(|_| bad("a log record does not decode"))? {
                Record::Entries(list) => {
                    let mut entries = Vec::with_capacity(list.len());
                    for bytes in list {
                        entries.push(
                            Entry::parse_from_bytes(&bytes).map_err(|_| bad("an entry does not decode"))?,
                        );
                    }
                    store.place(&entries);
                }
                Record::Hard { term, vote, commit } => {
                    store.hard = HardState { term, vote, commit, ..Default::default() };
                }
                Record::Voters(voters) => store.conf.voters = voters,
                Record::Boot(boot) => store.boot = store.boot.max(boot),
            }
        }
        store.boot += 1;
        store.write(&Record::Boot(store.boot))?;
        store.log.sync()?;
        Ok(store)
    }

    /// This start's count, 1 on a new store.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// The snapshot's state machine bytes and index.
    pub fn snapshot_data(&self) -> (u64, &[u8]) {
        (self.snapshot.get_metadata().index, &self.snapshot.data)
    }

    /// Bytes of the store's log.
    pub fn log_bytes(&self) -> u64 {
        self.log.bytes()
    }

    /// Appends entries from Raft (durable after [`Durable::sync`]).
    ///
    /// # Errors
    /// From the store.
    pub fn append(&mut self, entries: &[Entry]) -> io::Result<()> {
        if entries.is_empty() {
            return Ok(());
        }
        self.write(&Record::Entries(encoded(entries)))?;
        self.place(entries);
        Ok(())
    }

    /// Keeps the hard state.
    ///
    /// # Errors
    /// From the store.
    pub fn set_hard(&mut self, hard: &HardState) -> io::Result<()> {
        // Written first: after an error memory must not hold a vote or a commit that is not on disk.
        self.write(&Record::Hard { term: hard.term, vote: hard.vote, commit: hard.commit })?;
        self.hard = hard.clone();
        Ok(())
    }

    /// Keeps a new commit index.
    ///
    /// # Errors
    /// From the store.
    pub fn set_commit(&mut self, commit: u64) -> io::Result<()> {
        let mut hard = self.hard.clone();
        hard.commit = commit;
        self.set_hard(&hard)
    }

    /// Makes everything kept so far durable.
    ///
    /// # Errors
    /// From `fdatasync`.
    pub fn sync(&mut self) -> io::Result<()> {
        self.log.sync()
    }

    /// Takes a snapshot sent by the leader: it replaces the log up to its index.
    ///
    /// # Errors
    /// From the store.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot) -> io::Result<()> {
        let meta = snapshot.get_metadata();
        let file = SnapshotFile {
            index: meta.index,
            term: meta.term,
            voters: meta.get_conf_state().voters.clone(),
            data: snapshot.data.to_vec(),
        };
        self.replace(file)
    }

    /// Makes a snapshot of the state machine at `index`, applied, and cuts the log before it.
    ///
    /// # Errors
    /// From the store; `InvalidInput` for an index not in the log.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> io::Result<()> {
        let term =
            self.term(index).map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e.to_string()))?;
        self.replace(SnapshotFile { index, term, voters: self.conf.voters.clone(), data })
    }

    /// Writes `file` as the snapshot, then what stands after it into the log, then cuts the log before that. A
    /// crash between any two steps leaves a store that opens to the same state.
    fn replace(&mut self, file: SnapshotFile) -> io::Result<()> {
        let payload = postcard::to_stdvec(&file).map_err(|_| bad("snapshot does not encode"))?;
        write_snapshot(&self.dir, &StoreSnapshot { covers: file.index, payload })?;
        self.take_snapshot_file(file);
        let keep_from = self.log.next_seq();
        self.write(&Record::Boot(self.boot))?;
        self.write(&Record::Voters(self.conf.voters.clone()))?;
        let hard = self.hard.clone();
        self.set_hard(&hard)?;
        if !self.entries.is_empty() {
            self.write(&Record::Entries(encoded(&self.entries)))?;
        }
        self.log.sync()?;
        self.log.compact(keep_from)
    }

    fn take_snapshot_file(&mut self, file: SnapshotFile) {
        let mut snapshot = Snapshot { data: file.data.into(), ..Default::default() };
        let meta = snapshot.mut_metadata();
        meta.index = file.index;
        meta.term = file.term;
        meta.mut_conf_state().voters = file.voters.clone();
        self.conf.voters = file.voters;
        self.entries.retain(|e| e.index > file.index);
        if self.entries.first().is_some_and(|e| e.index != file.index + 1) {
            self.entries.clear();
        }
        self.hard.commit = self.hard.commit.max(file.index);
        self.snapshot = snapshot;
    }

    /// Puts entries in memory: each replaces what stood at its index and after.
    fn place(&mut self, entries: &[Entry]) {
        let base = self.snapshot.get_metadata().index;
        for entry in entries {
            if entry.index <= base {
                continue;
            }
            let at = (entry.index - base - 1) as usize;
            if at > self.entries.len() {
                break;
            }
            self.entries.truncate(at);
            self.entries.push(entry.clone());
        }
    }

    fn write(&mut self, record: &Record) -> io::Result<()> {
        let bytes = postcard::to_stdvec(record).map_err(|_| bad("record does not encode"))?;
        self.log.append(&bytes).map(|_| ())
    }
}

impl Storage for Durable {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState { hard_state: self.hard.clone(), conf_state: self.conf.clone() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let base = self.snapshot.get_metadata().index;
        if low <= base {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let last = base + self.entries.len() as u64;
        if high > last + 1 {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let mut found = self.entries[(low - base - 1) as usize..(high - base - 1) as usize].to_vec();
        raft::util::limit_size(&mut found, max_size.into());
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let meta = self.snapshot.get_metadata();
        if index == meta.index {
            return Ok(meta.term);
        }
        if index < meta.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        self.entries
            .get((index - meta.index - 1) as usize)
            .map(|e| e.term)
            .ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot.get_metadata().index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot.get_metadata().index + self.entries.len() as u64)
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
