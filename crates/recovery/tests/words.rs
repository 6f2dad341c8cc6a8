//! Commands one by one, the gate, and what is trusted.

use pinetrestle_fleet::{MemberId, Token};
use pinetrestle_recovery::trust::{may, Fact, Source, Use};
use pinetrestle_recovery::{Command, Gate, Guide, Outcome, Recovery, Stage, Verdict};

const LEASE: Option<Token> = Some(Token(9));

fn elected(term: u64) -> Command {
    Command::Elected { term, members: (1..=5).map(MemberId).collect() }
}

fn present(node: u64, term: u64, serving: bool, listed: bool) -> Command {
    Command::Present { node: MemberId(node), boot: 2, term, serving, listed }
}

fn advance(token: u64, from: Stage) -> Command {
    Command::Advance { token: Token(token), epoch: 1, from }
}

/// Five members of which a majority is there and nothing serves.
fn dark() -> Recovery {
    let mut state = Recovery::new();
    state.apply(&elected(3), LEASE);
    for n in 1..=3 {
        assert_eq!(state.apply(&present(n, 3, false, false), LEASE), Outcome::Done);
    }
    assert_eq!((state.stage(), state.epoch()), (Stage::Lists, 1));
    state
}

#[test]
fn no_stage_opens_before_its_condition_nor_by_a_guide_without_the_lease() {
    let mut state = dark();
    assert_eq!(state.apply(&advance(9, Stage::Lists), LEASE), Outcome::Ignored, "nobody has a list");
    for n in 1..=3 {
        state.apply(&present(n, 3, false, true), LEASE);
    }
    assert_eq!(state.apply(&advance(8, Stage::Lists), LEASE), Outcome::Ignored, "another's token");
    assert_eq!(state.apply(&advance(9, Stage::Lists), LEASE), Outcome::Done);
    assert_eq!(state.stage(), Stage::Waves(1));
    assert_eq!(state.apply(&advance(9, Stage::Lists), LEASE), Outcome::Ignored, "it was left already");
}

#[test]
fn a_word_from_another_term_or_an_older_start_says_nothing() {
    let mut state = dark();
    assert_eq!(state.apply(&present(4, 2, true, true), LEASE), Outcome::Ignored);
    let older = Command::Present { node: MemberId(1), boot: 1, term: 3, serving: true, listed: true };
    assert_eq!(state.apply(&older, LEASE), Outcome::Ignored);
    assert_eq!(state.apply(&elected(3), LEASE), Outcome::Ignored, "this election is known");
}

#[test]
fn one_member_that_starts_anew_beside_others_that_serve_waits_for_nothing_but_the_count() {
    let mut state = Recovery::new();
    state.apply(&elected(3), LEASE);
    state.apply(&present(1, 3, false, false), LEASE);
    assert!(!state.lets_in(MemberId(1), 2));
    state.apply(&present(2, 3, true, true), LEASE);
    state.apply(&present(3, 3, true, true), LEASE);
    assert_eq!((state.stage(), state.epoch()), (Stage::Normal, 0));
    assert!(state.lets_in(MemberId(1), 2) && !state.lets_in(MemberId(1), 3));
}

#[test]
fn a_gate_without_a_leader_serves_in_safe_mode_after_a_while_and_never_takes_down_what_runs() {
    let state = Recovery::new();
    let mut gate = Gate::new(MemberId(1), 2, 1_000);
    assert!(matches!(gate.poll(0, false, false, &state), Verdict::Wait(_)));
    assert!(matches!(gate.poll(900, true, false, &state), Verdict::Wait(why) if why.contains("counts")));
    assert!(matches!(gate.poll(1_000, false, false, &state), Verdict::Wait(_)), "alone since just now");
    assert_eq!(gate.poll(2_000, false, false, &state), Verdict::Safe);
    assert_eq!(gate.poll(2_001, false, true, &state), Verdict::In);
}

#[test]
fn nothing_from_disk_decides_before_the_log_has_caught_up() {
    for fact in [Fact::Drain, Fact::List, Fact::Replica, Fact::Version, Fact::Lease] {
        assert_ne!(may(fact, Source::Disk), Use::Decide, "{fact:?}");
        assert_eq!(may(fact, Source::ThisStart), Use::Decide, "{fact:?}");
    }
    assert_eq!(may(Fact::Drain, Source::Disk), Use::Careful);
    assert_eq!(may(Fact::Lease, Source::CaughtUp), Use::Leave);
    assert_eq!(may(Fact::Replica, Source::Disk), Use::Leave);
}

#[test]
fn a_front_node_that_does_not_come_up_keeps_the_others_out_for_ten_waves_and_no_longer() {
    let mut state = dark();
    for n in 1..=3 {
        state.apply(&present(n, 3, false, true), LEASE);
    }
    let mut guide = Guide::new();
    let mut opened = Vec::new();
    for now in (0..30_000).step_by(100) {
        // Member 1 never serves, the others do as soon as they are let in.
        for n in 2..=3 {
            let serving = state.lets_in(MemberId(n), 2);
            state.apply(&present(n, 3, serving, true), LEASE);
        }
        if let Some(command) = guide.poll(now, Token(9), &state, false, 1_000) {
            assert_eq!(state.apply(&command, LEASE), Outcome::Done);
            opened.push((now, state.stage()));
        }
    }
    assert_eq!(
        opened,
        [(0, Stage::Waves(1)), (10_100, Stage::Waves(2)), (20_200, Stage::Waves(4))],
        "each stage counts from when the guide first sees it"
    );
    // And under a halt nothing opens.
    assert_eq!(guide.poll(90_000, Token(9), &state, true, 1_000), None);
}
