//! One holder, step by step: its lease counts from the moment its request was sent, however late the outcome.

use pinetrestle_fleet::{Command, LeaseHolder, LeaseHolderState, MemberId, Outcome, RequestId, Task, Token};

fn holder() -> LeaseHolder {
    let mut holder = LeaseHolder::new(Task("drain".into()), MemberId(4), 1_000, Some(RequestId(41)));
    holder.set_wanted(true);
    holder
}

#[test]
fn a_lease_counts_from_its_request_not_from_its_outcome() {
    let mut holder = holder();
    let Some(Command::Acquire { request, held_token: None, .. }) = holder.poll(10_000) else {
        panic!("no request")
    };
    assert_eq!(request, RequestId(42), "a restarted member goes on above the table's last id");
    holder.handle_outcome(10_900, request, &Outcome::Granted(Token(7)));
    assert_eq!(holder.valid_token(10_999), Some(Token(7)));
    assert_eq!(holder.valid_token(11_000), None, "acted past the request's time plus the lease");
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
    assert_eq!(holder.valid_token(1_010), None, "the outcome of an abandoned request was taken");
}

#[test]
fn a_renewal_keeps_the_token_and_a_failed_one_gives_up_the_lease() {
    let mut holder = holder();
    let Some(Command::Acquire { request, .. }) = holder.poll(0) else { panic!() };
    holder.handle_outcome(5, request, &Outcome::Granted(Token(9)));
    assert_eq!(holder.poll(300), None);
    let Some(Command::Acquire { request: renewal, held_token: Some(Token(9)), .. }) = holder.poll(340) else {
        panic!()
    };
    holder.handle_outcome(350, renewal, &Outcome::Renewed(Token(9)));
    assert_eq!(holder.valid_token(1_300), Some(Token(9)), "a renewal counts from its own request");
    let Some(Command::Acquire { request: next, .. }) = holder.poll(1_340) else { panic!() };
    holder.handle_outcome(1_345, next, &Outcome::Busy { holder: MemberId(1), token: Token(20) });
    assert_eq!(holder.valid_token(1_345), None);
    holder.set_wanted(false);
    assert_eq!(holder.poll(5_000), None, "a holder that does not want the lease requested it");
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
fn a_waiting_holder_retries_after_a_lease_or_at_once_when_the_lease_ends() {
    let mut holder = holder();
    let Some(Command::Acquire { request, .. }) = holder.poll(0) else { panic!() };
    holder.handle_outcome(5, request, &Outcome::Busy { holder: MemberId(1), token: Token(20) });
    assert_eq!(holder.poll(900), None, "retried before a lease had passed");
    assert!(holder.poll(1_005).is_some(), "no retry after a whole lease");
    let mut holder = self::holder();
    let Some(Command::Acquire { request, .. }) = holder.poll(0) else { panic!() };
    holder.handle_outcome(5, request, &Outcome::Busy { holder: MemberId(1), token: Token(20) });
    holder.lease_ended(300);
    assert!(holder.poll(300).is_some(), "no request after the lease had ended");
}
