//! Tests of a single [`LeaseHolder`]: requests, resent requests, renewals and releases. The time to live of a
//! lease is counted from when the request was sent, however late its outcome arrives.

use pinetrestle_fleet::{Command, LeaseHolder, LeaseHolderState, MemberId, Outcome, RequestId, Task, Token};

fn holder() -> LeaseHolder {
    let mut holder = LeaseHolder::new(Task("drain".into()), MemberId(4), 1_000, Some(RequestId(41)));
    holder.set_wanted(true);
    holder
}

#[test]
fn the_time_to_live_counts_from_the_request_not_from_its_outcome() {
    let mut holder = holder();
    let Some(Command::Acquire { request, held_token: None, .. }) = holder.poll(10_000) else {
        panic!("no request")
    };
    assert_eq!(request, RequestId(42), "a restarted member uses the id after the last one in the table");
    holder.handle_outcome(10_900, request, &Outcome::Granted(Token(7)));
    assert_eq!(holder.valid_token(10_999), Some(Token(7)));
    assert_eq!(
        holder.valid_token(11_000),
        None,
        "the lease is valid for longer than its time to live after the request"
    );
    assert!(matches!(holder.state(), LeaseHolderState::Idle { .. }));
}

#[test]
fn a_request_without_an_outcome_is_resent_with_its_id_then_abandoned() {
    let mut holder = holder();
    let Some(Command::Acquire { request, .. }) = holder.poll(0) else { panic!() };
    assert_eq!(holder.poll(100), None);
    let Some(Command::Acquire { request: resent, .. }) = holder.poll(250) else { panic!() };
    assert_eq!(resent, request);
    let Some(Command::Acquire { request: new, .. }) = holder.poll(1_000) else { panic!() };
    assert!(new > request);
    holder.handle_outcome(1_010, request, &Outcome::Granted(Token(3)));
    assert_eq!(holder.valid_token(1_010), None, "the outcome of an abandoned request was accepted");
}

#[test]
fn a_renewal_keeps_the_token_and_a_failed_renewal_ends_the_lease() {
    let mut holder = holder();
    let Some(Command::Acquire { request, .. }) = holder.poll(0) else { panic!() };
    holder.handle_outcome(5, request, &Outcome::Granted(Token(9)));
    assert_eq!(holder.poll(300), None);
    let Some(Command::Acquire { request: renewal, held_token: Some(Token(9)), .. }) = holder.poll(340) else {
        panic!()
    };
    holder.handle_outcome(350, renewal, &Outcome::Renewed(Token(9)));
    assert_eq!(
        holder.valid_token(1_300),
        Some(Token(9)),
        "the time to live does not count from the renewal request"
    );
    let Some(Command::Acquire { request: next, .. }) = holder.poll(1_340) else { panic!() };
    holder.handle_outcome(1_345, next, &Outcome::Busy { holder: MemberId(1), token: Token(20) });
    assert_eq!(holder.valid_token(1_345), None);
    holder.set_wanted(false);
    assert_eq!(holder.poll(5_000), None, "the lease was requested although it is not wanted");
}

#[test]
fn a_holder_that_no_longer_wants_the_lease_releases_it() {
    let mut holder = holder();
    let Some(Command::Acquire { request, .. }) = holder.poll(0) else { panic!() };
    holder.handle_outcome(5, request, &Outcome::Granted(Token(2)));
    holder.set_wanted(false);
    let Some(Command::Release { token, .. }) = holder.poll(10) else { panic!("no release") };
    assert_eq!(token, Token(2));
    assert_eq!(holder.valid_token(10), None);
}

#[test]
fn a_holder_whose_request_found_the_lease_busy_retries_after_its_ttl_or_when_the_lease_ends() {
    let mut holder = holder();
    let Some(Command::Acquire { request, .. }) = holder.poll(0) else { panic!() };
    holder.handle_outcome(5, request, &Outcome::Busy { holder: MemberId(1), token: Token(20) });
    assert_eq!(holder.poll(900), None, "retried before the time to live had passed");
    assert!(holder.poll(1_005).is_some(), "no retry after the time to live had passed");
    let mut holder = self::holder();
    let Some(Command::Acquire { request, .. }) = holder.poll(0) else { panic!() };
    holder.handle_outcome(5, request, &Outcome::Busy { holder: MemberId(1), token: Token(20) });
    holder.lease_ended(300);
    assert!(holder.poll(300).is_some(), "no request after the lease of the other member had ended");
}
