//! Implements raft-rs's `Storage` trait, through which Raft reads its log, from the copy in memory.

use super::RaftStorage;
use raft::eraftpb::{Entry, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

impl Storage for RaftStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState { hard_state: self.hard_state.clone(), conf_state: self.conf_state.clone() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let base = self.snapshot_index();
        if low <= base {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let last = base + self.entries.len() as u64;
        if high > last + 1 {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let from = (low - base - 1) as usize;
        let to = (high - base - 1) as usize;
        let mut found = self.entries[from..to].to_vec();
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
            .map(|entry| entry.term)
            .ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + self.entries.len() as u64)
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot_index() < request_index {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
