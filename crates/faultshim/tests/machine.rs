//! A front node whose system calls fail as Linux documents, and whose wall clock is off: all that it takes is answered,
//! and no cold server is pushed over.

mod common;

use common::{ask, count, ms, status, Stage};
use pinetrestle_standins::query;
use std::thread;
use std::time::Instant;

#[test]
fn interrupted_calls_end_no_connection_and_lose_no_request() {
    let stage = Stage::with("seed=3,recv=EINTR/7,writev=EINTR/7,send=EINTR/7,epoll_wait=EINTR/11", |_| {});
    let statuses: Vec<u16> = (0..8).flat_map(|_| ask(stage.program.address, "any", &[0, 1, 2], 50)).collect();
    assert!(stage.faults.met() > 200, "{} faults", stage.faults.met());
    assert_eq!(count(&statuses, 200), 400, "{statuses:?}");
    // Connections to index servers and discovery outlive an interrupted call as well.
    assert!(stage.program.reasons("index_server").is_empty(), "{:?}", stage.program.reasons("index_server"));
    assert!(stage.program.reasons("discovery").is_empty(), "{:?}", stage.program.reasons("discovery"));
}

#[test]
fn bytes_that_come_and_go_one_by_one_change_nothing() {
    let stage = Stage::with("seed=5,recv=short/2,writev=short/2,send=short/2", |_| {});
    let statuses = ask(stage.program.address, "any", &[0, 1, 2], 60);
    assert!(stage.faults.met() > 200, "{} faults", stage.faults.met());
    assert_eq!(count(&statuses, 200), 60, "{statuses:?}");
}

#[test]
fn accepts_that_fail_hold_up_nobody() {
    // Connections that were aborted in the queue, as many as good ones, and now and then a table that is full.
    let plan = "seed=2,accept4=ECONNABORTED/2,accept4=EINTR/9,accept4=EPROTO/9,accept4=ENFILE/40";
    let stage = Stage::with(plan, |_| {});
    let begun = Instant::now();
    let text = || query("any", &[0, 1, 2], 2000).1;
    let statuses: Vec<u16> = (0..100).map(|_| status(stage.program.address, &text())).collect();
    let took = begun.elapsed();
    assert!(stage.faults.met() > 50, "{} faults", stage.faults.met());
    assert_eq!(count(&statuses, 200), 100, "{statuses:?}");
    // A rest of 20 ms at each would make it two seconds; only a full table is worth one.
    assert!(took < ms(1200), "{took:?}");
}

#[test]
fn connections_that_cannot_be_made_here_for_a_moment_are_held_against_nobody() {
    for error in ["EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EAGAIN"] {
        // From the second second on, for 150 ms, no connection can be made from this machine.
        let stage = Stage::with(&format!("connect={error}/1/1000/150,socket=ENFILE/1/1150/50"), |_| {});
        thread::sleep(ms(1020));
        let statuses = ask(stage.program.address, "all", &[0, 1, 2], 30);
        assert!(stage.faults.met() > 0, "{error}: no fault was met");
        assert_eq!(count(&statuses, 200), 30, "{error}: {statuses:?}");
        assert_eq!(stage.program.stats()["attempts"]["connect_failed"], 0, "{error}");
        assert_eq!(stage.program.count(&["condemned"]), 0, "{error}");
    }
}
