//! The stored form of Raft's state: the records of the store's log, and the snapshot file. Both are encoded
//! with postcard, so the order of fields and of enum variants is part of the format: add at the end, never
//! reorder.

use crate::error::MemberError;
use pinetrestle_store::Snapshot as StoredSnapshot;
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};

/// One record of the store's log.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record {
    /// Raft entries, each in Raft's protobuf encoding. An entry replaces all previously recorded entries from
    /// its index on.
    Entries(Vec<Vec<u8>>),
    /// Raft's hard state.
    HardState {
        /// The current term.
        term: u64,
        /// The candidate that the member voted for in this term, or 0 if none.
        vote: u64,
        /// The commit index.
        commit: u64,
    },
    /// The member ids of the voters.
    Voters(Vec<u64>),
    /// The incarnation of the member: the count of its starts.
    Incarnation(u64),
}

impl Record {
    /// Creates a record of Raft entries.
    pub(super) fn from_entries(entries: &[Entry]) -> Record {
        Record::Entries(entries.iter().map(|entry| entry.write_to_bytes().unwrap_or_default()).collect())
    }

    /// Creates a record of Raft's hard state.
    pub(super) fn from_hard_state(state: &HardState) -> Record {
        Record::HardState { term: state.term, vote: state.vote, commit: state.commit }
    }

    /// Encodes the record for the store's log.
    pub(super) fn encode(&self) -> Result<Vec<u8>, MemberError> {
        postcard::to_stdvec(self).map_err(|_| MemberError::Encode { what: "a log record" })
    }

    /// Decodes a record of the store's log.
    pub(super) fn decode(bytes: &[u8]) -> Result<Record, MemberError> {
        postcard::from_bytes(bytes).map_err(|_| MemberError::Decode { what: "a log record" })
    }
}

/// Decodes the Raft entries of a [`Record::Entries`].
pub(super) fn decode_entries(encoded: &[Vec<u8>]) -> Result<Vec<Entry>, MemberError> {
    encoded
        .iter()
        .map(|bytes| Entry::parse_from_bytes(bytes).map_err(|_| MemberError::Decode { what: "a Raft entry" }))
        .collect()
}

/// The content of the snapshot file.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SnapshotFile {
    /// The index of the last entry that the snapshot covers.
    pub(super) index: u64,
    /// The term of that entry.
    pub(super) term: u64,
    /// The member ids of the voters as of that entry.
    pub(super) voters: Vec<u64>,
    /// The encoded state machine.
    pub(super) data: Vec<u8>,
}

impl SnapshotFile {
    /// Converts a snapshot that the leader sent to the stored form.
    pub(super) fn from_raft(snapshot: &Snapshot) -> SnapshotFile {
        let meta = snapshot.get_metadata();
        SnapshotFile {
            index: meta.index,
            term: meta.term,
            voters: meta.get_conf_state().voters.clone(),
            data: snapshot.data.to_vec(),
        }
    }

    /// Converts the stored form to Raft's type.
    pub(super) fn into_raft(self) -> Snapshot {
        let mut snapshot = Snapshot { data: self.data.into(), ..Default::default() };
        let meta = snapshot.mut_metadata();
        meta.index = self.index;
        meta.term = self.term;
        meta.mut_conf_state().voters = self.voters;
        snapshot
    }

    /// Encodes the snapshot for the store.
    pub(super) fn encode(&self) -> Result<StoredSnapshot, MemberError> {
        let payload = postcard::to_stdvec(self).map_err(|_| MemberError::Encode { what: "the snapshot" })?;
        Ok(StoredSnapshot { last_sequence: self.index, payload })
    }

    /// Decodes a snapshot that was read from the store.
    pub(super) fn decode(stored: &StoredSnapshot) -> Result<SnapshotFile, MemberError> {
        postcard::from_bytes(&stored.payload).map_err(|_| MemberError::Decode { what: "the snapshot" })
    }
}
