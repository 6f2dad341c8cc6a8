//! Writes the recorded stores and reads them back.

use crate::entries;
use pinetrestle_member::raft_storage::RaftStorage;
use pinetrestle_member::state_machine::{LogEntry, StateMachine};
use pinetrestle_member::wire;
use pinetrestle_store::Log;
use raft::eraftpb::{Entry as RaftEntry, HardState};
use raft::{GetEntriesContext, Storage};
use std::fs;
use std::path::{Path, PathBuf};

/// Log index of the last entry.
pub const LAST_INDEX: u64 = 115;
/// Log index of the last entry that the snapshot of the `compacted` store covers. At this point of the
/// release, the step of one front node has passed, and the member of another front node is unreachable.
pub const SNAPSHOT_INDEX: u64 = 55;
/// Log indexes after which the replicated state is recorded. Together, the states contain every type and
/// variant that a replicated state can contain.
pub const RECORDED_STATE_INDEXES: [u64; 17] = [
    14,
    26,
    32,
    37,
    46,
    50,
    54,
    60,
    66,
    69,
    74,
    93,
    entries::FIRST_ELECTION_INDEX,
    entries::MEMBERS_COUNTED_INDEX,
    entries::FIRST_WAVE_INDEX,
    entries::FIRST_RECOVERY_END_INDEX,
    LAST_INDEX,
];
/// Log indexes of the first entries of terms 2 and 3.
const TERM_START_INDEXES: [u64; 2] = [16, 94];
/// The members of the fleet in the recorded stores.
const VOTERS: [u64; 4] = [1, 2, 3, 4];

/// Returns the directory of a recorded store.
pub fn recorded_dir(folder: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(folder)
}

/// Copies a recorded store to a temporary directory, because opening a store writes to it.
pub fn copy_to_temp_dir(folder: &str) -> tempfile::TempDir {
    let dir = tempfile::tempdir().unwrap();
    for file in fs::read_dir(recorded_dir(folder)).unwrap() {
        let file = file.unwrap();
        fs::copy(file.path(), dir.path().join(file.file_name())).unwrap();
    }
    dir
}

/// Opens a copy of a recorded store with the current code.
pub fn open_copy(folder: &str) -> RaftStorage {
    // The `log` store has recorded no voters and uses those given here. The `compacted` store is given a
    // voter that it did not record, to check that the recorded voters take precedence.
    let voters = if folder == "log" { &VOTERS[..] } else { &[9] };
    RaftStorage::open(copy_to_temp_dir(folder).path(), voters).unwrap()
}

/// Decodes the entries after the snapshot. `None` stands for an entry without data.
pub fn entries_after_snapshot(store: &RaftStorage) -> Vec<(u64, Option<LogEntry>)> {
    let first = store.first_index().unwrap();
    let end = store.last_index().unwrap() + 1;
    let entries = store.entries(first, end, None, GetEntriesContext::empty(false)).unwrap();
    let decoded = entries.iter().map(|entry| {
        let decoded = (!entry.data.is_empty()).then(|| {
            wire::decode(&entry.data)
                .unwrap_or_else(|| panic!("failed to decode the entry at index {}", entry.index))
        });
        (entry.index, decoded)
    });
    decoded.collect()
}

/// Restores the replicated state from the snapshot of a store and the entries after it.
pub fn replay(store: &RaftStorage) -> StateMachine {
    let snapshot = store.snapshot_data();
    let mut machine = match snapshot {
        [] => StateMachine::default(),
        bytes => wire::decode(bytes).expect("the snapshot decodes"),
    };
    for (index, entry) in entries_after_snapshot(store) {
        if let Some(entry) = entry {
            machine.apply(index, &entry);
        }
    }
    machine
}

/// Returns the replicated state after the entries of the history up to log index `last`.
pub fn state_at(last: u64) -> StateMachine {
    let mut machine = StateMachine::default();
    for (index, applied) in (1..=last).zip(entries::history()) {
        if let Some(applied) = applied {
            machine.apply(index, &applied.entry);
        }
    }
    machine
}

/// Reads the recorded states, encoded, each with its log index.
pub fn recorded_states() -> Vec<(u64, Vec<u8>)> {
    let opened = Log::open(copy_to_temp_dir("states").path(), 1).unwrap();
    assert_eq!(opened.truncated_bytes, 0);
    let states = opened.records.into_iter().map(|record| record.payload);
    RECORDED_STATE_INDEXES.into_iter().zip(states).collect()
}

/// Returns the history as Raft entries.
fn raft_entries() -> Vec<RaftEntry> {
    let entry = |(index, applied): (u64, Option<entries::AppliedEntry>)| RaftEntry {
        index,
        term: 1 + TERM_START_INDEXES.iter().filter(|start| index >= **start).count() as u64,
        data: applied.map_or_else(Vec::new, |a| wire::encode(&a.entry)).into(),
        ..Default::default()
    };
    (1..).zip(entries::history()).map(entry).collect()
}

/// Appends the history, including an entry that the leader of a later term replaces, and the votes and commit
/// indexes of three terms.
fn append_history(store: &mut RaftStorage) {
    let entries = raft_entries();
    let hard_state = |term, vote, commit| HardState { term, vote, commit, ..Default::default() };
    let mut replaced = entries[15].clone();
    replaced.term = 1;
    store.set_hard_state(&hard_state(1, 1, 0)).unwrap();
    store.append(&entries[..15]).unwrap();
    store.append(&[replaced]).unwrap();
    store.set_commit(15).unwrap();
    store.sync().unwrap();
    store.set_hard_state(&hard_state(2, 4, 15)).unwrap();
    for chunk in entries[15..93].chunks(10) {
        store.append(chunk).unwrap();
    }
    store.set_hard_state(&hard_state(3, 2, 93)).unwrap();
    store.append(&entries[93..]).unwrap();
    store.set_commit(LAST_INDEX).unwrap();
    store.sync().unwrap();
}

/// Writes the `log` store, which was never compacted.
pub fn write_log(dir: &Path) {
    let mut store = RaftStorage::open(dir, &VOTERS).unwrap();
    append_history(&mut store);
}

/// Writes the `compacted` store, which has a snapshot.
pub fn write_compacted(dir: &Path) {
    let mut store = RaftStorage::open(dir, &VOTERS).unwrap();
    append_history(&mut store);
    store.compact(SNAPSHOT_INDEX, wire::encode(&state_at(SNAPSHOT_INDEX))).unwrap();
}

/// Writes the replicated states as a log with one record for each state.
pub fn write_states(dir: &Path) {
    let mut log = Log::open(dir, 1).unwrap().log;
    for index in RECORDED_STATE_INDEXES {
        log.append(&wire::encode(&state_at(index))).unwrap();
    }
    log.sync().unwrap();
}
