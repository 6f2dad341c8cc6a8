//! A front node whose system calls fail as Linux documents, and whose wall clock is off: all that it takes is answered,
//! and no cold server is pushed over.

mod common;

use common::{ask, count, holders, ms, node, status, wall_ms, Faults, Stage};
use pinetrestle_standins::{
    config_json, endpoint_list, eventually, query, Discovery, FrontNode, TimestampingServer, WorkProfile,
};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// All queries are answered, and no connection to index servers or discovery ends, under these faults.
fn nothing_ends_under(plan: &str) {
    let stage = Stage::with(plan, |_| {});
    let statuses: Vec<u16> = (0..8).flat_map(|_| ask(stage.program.address, "any", &[0, 1, 2], 50)).collect();
    assert!(stage.faults.met() > 200, "{} faults", stage.faults.met());
    assert_eq!(count(&statuses, 200), 400, "{statuses:?}");
    for side in ["index_server", "discovery"] {
        assert!(
            stage.program.close_reasons(side).is_empty(),
            "{side}: {:?}",
            stage.program.close_reasons(side)
        );
    }
}

#[test]
fn interrupted_calls_end_no_connection_and_lose_no_request() {
    nothing_ends_under("seed=3,recv=EINTR/7,writev=EINTR/7,send=EINTR/7,epoll_wait=EINTR/11");
}

#[test]
fn a_lack_of_buffers_on_an_open_connection_is_waited_for() {
    nothing_ends_under("seed=4,recv=ENOMEM/9,writev=ENOBUFS/9,send=ENOBUFS/9,writev=ENOMEM/15");
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
        assert_eq!(stage.program.count_log_lines(&["marked as outlier"]), 0, "{error}");
    }
}

#[test]
fn a_front_node_that_cannot_listen_at_once_tries_again() {
    for plan in ["bind=EADDRINUSE/1/0/400", "socket=ENFILE/1/0/400", "bind=ENOBUFS/1/0/400"] {
        let stage = Stage::with(plan, |_| {});
        assert!(stage.faults.met() > 0, "{plan}: no fault was met");
        assert_eq!(count(&ask(stage.program.address, "any", &[0, 1, 2], 3), 200), 3, "{plan}");
    }
}

#[test]
fn a_configuration_that_cannot_be_opened_for_a_moment_is_read_all_the_same() {
    for error in ["EMFILE", "ENFILE", "EIO", "ENOMEM"] {
        // As it starts, and again from the second second on, when a new one is told.
        let plan = format!("open={error}/1/0/400,open={error}/1/2000/600");
        let stage = Stage::under("export FAULTSHIM_FILES=\"$RELAY_CONFIG\"", &plan, |_| {});
        assert!(stage.faults.met() > 0, "{error}: no fault was met at the start");
        let met = stage.faults.met();
        eventually("files can't be opened", || {
            let _ = status(stage.program.address, "GET /health/live HTTP/1.1\r\n\r\n");
            stage.begun.elapsed() > ms(2100)
        });
        let text = std::fs::read_to_string(stage.program.config_file()).expect("the configuration");
        stage.program.reload(Some(&text));
        eventually("it is taken", || stage.program.count_log_lines(&["configuration reloaded"]) == 1);
        assert!(stage.faults.met() > met, "{error}: no fault was met at the reload");
        assert_eq!(stage.program.count_log_lines(&["configuration rejected"]), 0, "{error}");
    }
}

#[test]
fn a_configuration_that_cannot_be_opened_now_and_then_is_read_all_the_same() {
    for seed in 0..8 {
        let plan = format!("seed={seed},open=EMFILE/2/0/400");
        let stage = Stage::under("export FAULTSHIM_FILES=\"$RELAY_CONFIG\"", &plan, |_| {});
        assert_eq!(count(&ask(stage.program.address, "any", &[0, 1, 2], 1), 200), 1, "{plan}");
    }
}

/// Holders of one shard, a front node whose wall clock is off, and discovery.
struct ClockOff {
    servers: Vec<TimestampingServer>,
    addresses: Vec<SocketAddr>,
    discovery: Discovery,
    program: FrontNode,
}

/// Three holders, whose parts take so long. Two started a minute ago, by the true clock, and are warm; the third has
/// started just now, or is still to start and not listed yet. The wall clock of the front node is off by so much.
fn with_clock_off(offset_ms: i64, takes: Duration, third_is_new: bool) -> ClockOff {
    let work = WorkProfile { service_times: vec![takes], ..WorkProfile::default() };
    let servers: Vec<TimestampingServer> = (0..3).map(|_| TimestampingServer::start(work.clone())).collect();
    let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
    let lines = if third_is_new {
        third_starts_now(&addresses)
    } else {
        holders(&addresses[..2], wall_ms() - 60_000)
    };
    let discovery = Discovery::start(lines.clone());
    let mut config = config_json("127.0.0.1:0", &discovery.address.to_string(), &endpoint_list(1, &lines));
    config["settings"]["rules"]["cold_share"] = json!(0.1);
    let faults = Faults::planned(&format!("realtime={offset_ms}"));
    let program = FrontNode::start_with_shell_setup(&faults.shell(), &node(), &config);
    eventually("ready", || program.get("/health/ready").0 == 200);
    ClockOff { servers, addresses, discovery, program }
}

/// The list in which the third holder has started just now, by the true clock.
fn third_starts_now(addresses: &[SocketAddr]) -> Vec<Value> {
    let mut lines = holders(addresses, wall_ms() - 60_000);
    lines[2]["since_ms"] = json!(wall_ms());
    lines
}

/// Asks on two connections at once for so long.
fn ask_for(program: &FrontNode, lasts: Duration) {
    let until = Instant::now() + lasts;
    thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while Instant::now() < until {
                    ask(program.address, "all", &[0], 1);
                }
            });
        }
    });
}

/// No second brought more parts to a holder that started at this moment than a cold one stands, each of so much work.
/// The settings: a tenth of a core at first, warm after 5 s; three times that falls it within 1 s.
fn assert_not_pushed_over(holder: &TimestampingServer, started: Instant, work_ms: u64, what: &str) {
    let parts = holder.received().into_iter().filter(|seen| !seen.parts.is_empty());
    let moments: Vec<u64> =
        parts.map(|seen| seen.read_at.duration_since(started).as_millis() as u64).collect();
    for (place, from) in moments.iter().enumerate() {
        let within = moments[place..].iter().take_while(|at| **at < from + 1000).count() as f64;
        let warmth = (0.1 + 0.9 * *from as f64 / 5000.0).min(1.0);
        let calls = 3.0 * warmth * 1000.0 / work_ms as f64;
        let most = calls + 2.0 * calls.sqrt() + 2.0;
        assert!(within <= most, "{what}: {within} of {most} in the second from {from} ms");
    }
    assert!(moments.len() >= 10, "{what}: it comes to be used: {}", moments.len());
}

#[test]
fn a_wall_clock_that_is_behind_makes_no_warm_server_cold() {
    for behind_ms in [5_000, 70_000, 3_600_000] {
        let ClockOff { servers: _servers, discovery: _discovery, program, .. } =
            with_clock_off(-behind_ms, ms(20), false);
        // The first second of a front node's life belongs to the protection of cold servers; after five all are warm,
        // whatever the clocks say.
        thread::sleep(ms(5200));
        let begun = Instant::now();
        let askers: Vec<_> = (0..12)
            .map(|_| {
                let address = program.address;
                thread::spawn(move || ask(address, "all", &[0], 20))
            })
            .collect();
        let statuses: Vec<u16> =
            askers.into_iter().flat_map(|asker| asker.join().expect("no panic")).collect();
        assert_eq!(count(&statuses, 200), 240, "{behind_ms} ms behind: {statuses:?}");
        // Warm they take half a second; as cold ones they would get 14 parts a second.
        assert!(begun.elapsed() < ms(3000), "{behind_ms} ms behind: {:?}", begun.elapsed());
    }
}

#[test]
fn a_wall_clock_that_is_off_lets_no_cold_server_be_pushed_over() {
    const WORK_MS: u64 = 10;
    for off_ms in [-3_600_000, -4_000, 4_000, 3_600_000] {
        let stage = with_clock_off(off_ms, ms(WORK_MS), false);
        ask_for(&stage.program, ms(1500));
        let started = Instant::now();
        stage.discovery.set_entries(third_starts_now(&stage.addresses));
        ask_for(&stage.program, ms(4000));
        assert_not_pushed_over(&stage.servers[2], started, WORK_MS, &format!("{off_ms} ms off"));
    }
}

#[test]
fn a_front_node_that_starts_with_its_wall_clock_ahead_pushes_no_cold_server_over() {
    const WORK_MS: u64 = 10;
    for off_ms in [4_000, 3_600_000] {
        let started = Instant::now();
        let stage = with_clock_off(off_ms, ms(WORK_MS), true);
        ask_for(&stage.program, ms(4500));
        assert_not_pushed_over(&stage.servers[2], started, WORK_MS, &format!("{off_ms} ms ahead"));
    }
}
