//! Tests that the stored format of a member is unchanged: files of an earlier version are read to the same
//! state, and the same state is written to the same bytes. They cover the Raft log with every command, the
//! hard state, and the snapshot with the complete replicated state.
//!
//! The files in `tests/data` were written by [`store::write_log`], [`store::write_compacted`] and
//! [`store::write_states`] with the code of commit f5093a0, each in an empty directory, and copied here. They
//! have the format of the files that deployed fleets have on disk. If a test fails, fix the code; never write
//! the files again.
//!
//! | directory | content |
//! | --- | --- |
//! | `log` | a store that was never compacted, with every entry of [`entries::history`] |
//! | `compacted` | a store with a snapshot in the middle of a release, and the entries after it |
//! | `states` | the encoded replicated state after each log index of [`store::RECORDED_STATE_INDEXES`] |

mod entries;
mod store;
mod variants;

use pinetrestle_fleet::{Lease, MemberId, RequestId, Task, Token};
use pinetrestle_member::state_machine::{LogEntry, StateMachine};
use pinetrestle_member::wire;
use pinetrestle_recovery::{Presence, RecoveryStage};
use pinetrestle_rollout::{Direction, Halt, Outcome, Refusal, Release, ReleaseStage, ServerPhase, StepState};
use raft::Storage;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use store::{
    copy_to_temp_dir, entries_after_snapshot, open_copy, recorded_dir, recorded_states, replay,
    RECORDED_STATE_INDEXES,
};

fn task(name: &str) -> Task {
    Task(name.to_owned())
}

#[test]
fn recorded_log_entries_decode_to_the_original_commands() {
    let store = open_copy("log");
    let found = entries_after_snapshot(&store);
    let expected: Vec<(u64, Option<LogEntry>)> =
        (1u64..).zip(entries::history()).map(|(index, applied)| (index, applied.map(|a| a.entry))).collect();
    assert_eq!(found.len(), expected.len());
    for (found, expected) in found.iter().zip(&expected) {
        assert_eq!(found, expected);
    }
}

#[test]
fn applying_the_recorded_entries_gives_the_original_outcomes() {
    let mut machine = StateMachine::default();
    for (index, applied) in (1u64..).zip(entries::history()) {
        if let Some(applied) = applied {
            let outcome = machine.apply(index, &applied.entry);
            assert_eq!(outcome, applied.outcome, "entry {index}, {:?}", applied.entry);
        }
    }
}

#[test]
fn recorded_log_replays_to_the_original_state() {
    let store = open_copy("log");
    assert_eq!(store.incarnation(), 2, "the recorded store was written by its first incarnation");
    let raft = store.initial_state().unwrap();
    assert_eq!(
        (raft.hard_state.term, raft.hard_state.vote, raft.hard_state.commit),
        (3, 2, store::LAST_INDEX)
    );
    assert_eq!(raft.conf_state.voters, [1, 2, 3, 4]);
    assert_eq!((store.first_index().unwrap(), store.last_index().unwrap()), (1, store::LAST_INDEX));
    assert_eq!(store.term(1).unwrap(), 1);
    assert_eq!(store.term(store::LAST_INDEX).unwrap(), 3);
    assert_last_state(&replay(&store));
}

#[test]
fn recorded_snapshot_and_later_entries_replay_to_the_original_state() {
    let store = open_copy("compacted");
    assert_eq!(store.incarnation(), 2);
    let raft = store.initial_state().unwrap();
    assert_eq!(
        (raft.hard_state.term, raft.hard_state.vote, raft.hard_state.commit),
        (3, 2, store::LAST_INDEX)
    );
    assert_eq!(raft.conf_state.voters, [1, 2, 3, 4]);
    assert_eq!(store.first_index().unwrap(), store::SNAPSHOT_INDEX + 1);
    assert_eq!(store.last_index().unwrap(), store::LAST_INDEX);
    assert_eq!(store.snapshot_index(), store::SNAPSHOT_INDEX);
    assert_eq!(store.term(store::SNAPSHOT_INDEX).unwrap(), 2);
    assert_last_state(&replay(&store));
}

/// Checks the state after the last entry, as far as the state's accessors show it.
fn assert_last_state(machine: &StateMachine) {
    assert_eq!(machine.applied_index(), store::LAST_INDEX);
    assert_last_leases(machine);
    assert_last_rollout(machine);
    assert_last_recovery(machine);
}

fn assert_last_leases(machine: &StateMachine) {
    let leases: Vec<(Task, Lease)> =
        machine.leases.leases().map(|(task, lease)| (task.clone(), lease.clone())).collect();
    let lease = |holder, token, ttl_ms, renewals| Lease {
        holder: MemberId(holder),
        token: Token(token),
        ttl_ms,
        renewals,
    };
    assert_eq!(
        leases,
        [(task("compact-shards"), lease(3, 15, 60_000, 0)), (task("release"), lease(1, 14, 3_000, 1))]
    );
    assert_eq!(machine.release_token(), Some(Token(14)));
    assert_eq!(machine.leases.last_request(MemberId(1), &task("rebuild-index")), Some(RequestId(3)));
    assert_eq!(machine.leases.last_request(MemberId(2), &task("rebuild-index")), Some(RequestId(3)));
    assert_eq!(machine.leases.last_request(MemberId(1), &task("release")), Some(RequestId(2)));
    assert_eq!(machine.leases.last_request(MemberId(4), &task("release")), None);
}

fn assert_last_rollout(machine: &StateMachine) {
    let rollout = &machine.rollout;
    assert_eq!(rollout.plan(), Some(&entries::plan(2)));
    let steps = (1..=4).map(|id| (MemberId(id), StepState::Passed)).collect::<BTreeMap<_, _>>();
    let release = Release {
        id: "rel-4".to_owned(),
        from_version: "1.0".to_owned(),
        to_version: "2.1".to_owned(),
        direction: Direction::Forward,
        stage: ReleaseStage::Completed,
        steps,
        failed_steps: 0,
    };
    assert_eq!(rollout.release(), Some(&release));
    assert_eq!(rollout.last_good_version(), "2.1");
    assert_eq!(rollout.halt(), Some(&Halt { id: "halt-2".to_owned(), reason: "maintenance".to_owned() }));
    for (id, seq) in [(1, 2), (2, 1), (3, 1), (4, 2)] {
        let node = rollout.node(MemberId(id)).unwrap();
        assert_eq!(
            (node.report_seq, node.version.as_str(), node.ready, node.unreachable),
            (seq, "2.1", true, false)
        );
        assert_eq!(node.slot, None);
    }
    let servers: Vec<(&str, &str, bool, ServerPhase, u64)> =
        rollout.servers().map(|(name, s)| (name, s.zone.as_str(), s.up, s.phase, s.change_index)).collect();
    assert_eq!(
        servers,
        [
            ("s1", "a", true, ServerPhase::Ramping(2), 39),
            ("s2", "b", true, ServerPhase::Draining, 40),
            ("s3", "b", true, ServerPhase::Serving, 0),
        ]
    );
    assert_eq!(rollout.command_outcome("d-2"), Some(&Outcome::Applied));
    assert_eq!(rollout.command_outcome("early"), Some(&Outcome::Refused(Refusal::NoPlan)));
    let running = Refusal::ReleaseInProgress { id: "rel-2".to_owned() };
    assert_eq!(rollout.command_outcome("rel-3"), Some(&Outcome::Refused(running)));
}

fn assert_last_recovery(machine: &StateMachine) {
    let recovery = &machine.recovery;
    assert_eq!(recovery.epoch(), 2);
    assert_eq!(recovery.term(), 3);
    assert_eq!(recovery.stage(), RecoveryStage::Waves(2));
    assert_eq!(recovery.member_count(), 4);
    let presence = |incarnation, serving| Presence { incarnation, serving, has_endpoint_list: true };
    let present = [
        (MemberId(1), presence(4, true)),
        (MemberId(2), presence(8, false)),
        (MemberId(4), presence(2, false)),
    ];
    assert_eq!(recovery.presences(), &BTreeMap::from(present));
    // Waves admit members in the order of their reports: member 4 reported before member 2.
    assert_eq!(recovery.wave_members(2).collect::<Vec<_>>(), [MemberId(1), MemberId(4)]);
    assert!(recovery.is_admitted(MemberId(1), 4) && recovery.is_admitted(MemberId(4), 2));
    assert!(!recovery.is_admitted(MemberId(2), 8) && !recovery.is_admitted(MemberId(4), 1));
}

#[test]
fn recorded_states_equal_the_replayed_states_and_encode_to_the_same_bytes() {
    let states = recorded_states();
    assert_eq!(states.iter().map(|(index, _)| *index).collect::<Vec<_>>(), RECORDED_STATE_INDEXES);
    for (index, bytes) in states {
        let decoded: StateMachine =
            wire::decode(&bytes).unwrap_or_else(|| panic!("failed to decode the state at index {index}"));
        assert_eq!(wire::encode(&decoded), bytes, "decoded and encoded state at index {index}");
        let replayed = store::state_at(index);
        assert_eq!(wire::encode(&replayed), bytes, "replayed and encoded state at index {index}");
        assert_eq!(decoded.leases, replayed.leases);
        assert_eq!(decoded.rollout, replayed.rollout);
        assert_eq!(decoded.recovery, replayed.recovery);
    }
}

/// Decodes the recorded state after the entry at `index`.
fn recorded_state(index: u64) -> StateMachine {
    let states = recorded_states();
    let (_, bytes) = states.iter().find(|(at, _)| *at == index).expect("a state is recorded at this index");
    wire::decode(bytes).expect("the recorded state decodes")
}

#[test]
fn recorded_states_cover_each_stage_of_a_release() {
    let slot = |machine: &StateMachine, id| machine.rollout.node(MemberId(id)).unwrap().slot.clone();
    let step = |machine: &StateMachine, id| machine.rollout.release().unwrap().steps[&MemberId(id)].clone();

    let granted = recorded_state(46);
    let granted_slot = slot(&granted, 1).unwrap();
    assert_eq!(
        (granted_slot.index, granted_slot.target_version.as_str(), granted_slot.previous_version.as_str()),
        (46, "2.0", "1.0")
    );
    assert!(!granted_slot.begun);
    assert_eq!((step(&granted, 1), step(&granted, 2)), (StepState::InProgress, StepState::Waiting));

    let begun = recorded_state(50);
    assert!(slot(&begun, 1).unwrap().begun);
    assert_eq!(slot(&begun, 1).unwrap().index, 49);

    let unreachable = recorded_state(54);
    assert!(unreachable.rollout.node(MemberId(4)).unwrap().unreachable);
    assert_eq!(step(&unreachable, 1), StepState::Passed);

    let failed = recorded_state(60);
    assert_eq!(step(&failed, 2), StepState::Failed("does not start".to_owned()));
    assert_eq!(failed.rollout.release().unwrap().failed_steps, 1);
    assert_eq!(failed.rollout.halt().unwrap().id, "failures");
    assert_eq!(
        failed.rollout.halt().unwrap().reason,
        "1 failed steps, the last of front node 2: does not start"
    );

    let rolling_back = recorded_state(69);
    let release = rolling_back.rollout.release().unwrap();
    assert_eq!(
        (release.direction, release.stage, release.target_version()),
        (Direction::Backward, ReleaseStage::Running, "1.0")
    );
    assert_eq!(rolling_back.rollout.halt(), None);

    let rolled_back = recorded_state(74);
    assert_eq!(rolled_back.rollout.release().unwrap().stage, ReleaseStage::RolledBack);
    assert_eq!(rolled_back.rollout.last_good_version(), "1.0");
}

#[test]
fn recorded_states_cover_each_phase_of_an_index_server() {
    let server = |index, name: &str| {
        let machine = recorded_state(index);
        let mut servers = machine.rollout.servers();
        let (_, state) = servers.find(|(known, _)| *known == name).expect("the index server is known");
        state.clone()
    };
    assert!(!server(26, "s3").up);
    assert_eq!(server(26, "s1").phase, ServerPhase::Serving);
    let draining = server(32, "s1");
    assert_eq!((draining.phase, draining.change_index), (ServerPhase::Draining, 29));
    assert_eq!(draining.acknowledged_by, BTreeSet::from([MemberId(1)]));
    let drained = server(37, "s1");
    assert_eq!((drained.phase, drained.change_index), (ServerPhase::Drained, 29));
    assert_eq!(drained.acknowledged_by.len(), 4);
    assert_eq!((server(46, "s1").phase, server(46, "s1").change_index), (ServerPhase::Ramping(2), 39));
}

#[test]
fn recorded_states_cover_each_stage_of_a_recovery() {
    let stage = |index| (recorded_state(index).recovery.epoch(), recorded_state(index).recovery.stage());
    assert_eq!(stage(entries::FIRST_ELECTION_INDEX), (0, RecoveryStage::CountingMembers));
    assert_eq!(stage(entries::MEMBERS_COUNTED_INDEX), (1, RecoveryStage::AwaitingEndpointLists));
    assert_eq!(stage(entries::FIRST_WAVE_INDEX), (1, RecoveryStage::Waves(1)));
    assert_eq!(stage(entries::FIRST_RECOVERY_END_INDEX), (1, RecoveryStage::Normal));
    assert_eq!(stage(store::LAST_INDEX), (2, RecoveryStage::Waves(2)));
}

#[test]
fn writing_the_same_entries_gives_the_recorded_files_byte_for_byte() {
    type Writer = fn(&std::path::Path);
    let writers: [(&str, Writer); 3] =
        [("log", store::write_log), ("compacted", store::write_compacted), ("states", store::write_states)];
    for (folder, write) in writers {
        let dir = tempfile::tempdir().unwrap();
        write(dir.path());
        for file in fs::read_dir(recorded_dir(folder)).unwrap() {
            let name = file.unwrap().file_name();
            let expected = fs::read(recorded_dir(folder).join(&name)).unwrap();
            let written = fs::read(dir.path().join(&name)).unwrap();
            assert!(written == expected, "the bytes of {folder}/{} have changed", name.display());
        }
        let files = |dir: &std::path::Path| fs::read_dir(dir).unwrap().count();
        assert_eq!(files(dir.path()), files(&recorded_dir(folder)), "number of files in {folder}");
    }
}

#[test]
fn opening_a_recorded_store_truncates_nothing() {
    for folder in ["log", "compacted"] {
        let dir = copy_to_temp_dir(folder);
        let before = fs::read(dir.path().join("log")).unwrap();
        let opened = pinetrestle_store::Log::open(dir.path(), 1).unwrap();
        assert_eq!(opened.truncated_bytes, 0, "bytes truncated from {folder}/log");
        assert_eq!(fs::read(dir.path().join("log")).unwrap(), before);
    }
}
