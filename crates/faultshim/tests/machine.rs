//! A front node whose system calls fail with errors that Linux documents, or whose wall clock has an offset.
//! It must answer all queries that it accepts, and must not overload an index server that has just started
//! and is still warming up.

mod common;

use common::{
    count, entries_in_one_cell, ms, node_program, send_queries, status, wall_ms, Faults, FaultyDeployment,
};
use pinetrestle_standins::{
    config_json, endpoint_list, eventually, query, Discovery, FrontNode, TimestampingServer, WorkProfile,
};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Checks that under these faults all queries are answered and no connection to index servers or discovery
/// ends.
fn assert_connections_survive(plan: &str) {
    let deployment = FaultyDeployment::start(plan);
    let statuses: Vec<u16> =
        (0..8).flat_map(|_| send_queries(deployment.front_node.address, "any", &[0, 1, 2], 50)).collect();
    assert!(deployment.faults.count() > 200, "{} faults", deployment.faults.count());
    assert_eq!(count(&statuses, 200), 400, "{statuses:?}");
    for side in ["index_server", "discovery"] {
        assert!(
            deployment.front_node.close_reasons(side).is_empty(),
            "{side}: {:?}",
            deployment.front_node.close_reasons(side)
        );
    }
}

#[test]
fn interrupted_calls_end_no_connection_and_lose_no_request() {
    assert_connections_survive("seed=3,recv=EINTR/7,writev=EINTR/7,send=EINTR/7,epoll_wait=EINTR/11");
}

#[test]
fn connections_survive_a_temporary_lack_of_buffer_memory() {
    assert_connections_survive("seed=4,recv=ENOMEM/9,writev=ENOBUFS/9,send=ENOBUFS/9,writev=ENOMEM/15");
}

#[test]
fn all_queries_are_answered_despite_one_byte_reads_and_writes() {
    let deployment = FaultyDeployment::start("seed=5,recv=short/2,writev=short/2,send=short/2");
    let statuses = send_queries(deployment.front_node.address, "any", &[0, 1, 2], 60);
    assert!(deployment.faults.count() > 200, "{} faults", deployment.faults.count());
    assert_eq!(count(&statuses, 200), 60, "{statuses:?}");
}

#[test]
fn failed_accepts_do_not_delay_other_connections() {
    // Half of the queued connections are aborted, and one accept in 40 fails because the system's file table
    // is full.
    let plan = "seed=2,accept4=ECONNABORTED/2,accept4=EINTR/9,accept4=EPROTO/9,accept4=ENFILE/40";
    let deployment = FaultyDeployment::start(plan);
    let start = Instant::now();
    let request = || query("any", &[0, 1, 2], 2000).text;
    let statuses: Vec<u16> = (0..100).map(|_| status(deployment.front_node.address, &request())).collect();
    let elapsed = start.elapsed();
    assert!(deployment.faults.count() > 50, "{} faults", deployment.faults.count());
    assert_eq!(count(&statuses, 200), 100, "{statuses:?}");
    // A pause of 20 ms after each failed accept would add up to two seconds; only a full file table justifies
    // a pause.
    assert!(elapsed < ms(1200), "{elapsed:?}");
}

#[test]
fn connect_errors_caused_by_this_machine_do_not_count_as_server_failures() {
    for error in ["EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EAGAIN"] {
        // For 150 ms, from 1 s after the front node's start, this machine can't open connections; for another
        // 50 ms it can't create sockets.
        let deployment =
            FaultyDeployment::start(&format!("connect={error}/1/1000/150,socket=ENFILE/1/1150/50"));
        thread::sleep(ms(1020));
        let statuses = send_queries(deployment.front_node.address, "all", &[0, 1, 2], 30);
        assert!(deployment.faults.count() > 0, "{error}: no fault was injected");
        assert_eq!(count(&statuses, 200), 30, "{error}: {statuses:?}");
        assert_eq!(deployment.front_node.stats()["attempts"]["connect_failed"], 0, "{error}");
        assert_eq!(deployment.front_node.count_log_lines(&["marked as outlier"]), 0, "{error}");
    }
}

#[test]
fn front_node_retries_a_failed_listen() {
    for plan in ["bind=EADDRINUSE/1/0/400", "socket=ENFILE/1/0/400", "bind=ENOBUFS/1/0/400"] {
        let deployment = FaultyDeployment::start(plan);
        assert!(deployment.faults.count() > 0, "{plan}: no fault was injected");
        assert_eq!(
            count(&send_queries(deployment.front_node.address, "any", &[0, 1, 2], 3), 200),
            3,
            "{plan}"
        );
    }
}

#[test]
fn configuration_file_is_read_once_it_can_be_opened_again() {
    for error in ["EMFILE", "ENFILE", "EIO", "ENOMEM"] {
        // The file can't be opened during the start, and again from 2 s after it, when a reload is requested.
        let plan = format!("open={error}/1/0/400,open={error}/1/2000/600");
        let deployment =
            FaultyDeployment::start_with_shell_setup("export FAULTSHIM_FILES=\"$RELAY_CONFIG\"", &plan);
        assert!(deployment.faults.count() > 0, "{error}: no fault was injected at the start");
        let faults_before = deployment.faults.count();
        eventually("the time window of the second fault has begun", || {
            let _ = status(deployment.front_node.address, "GET /health/live HTTP/1.1\r\n\r\n");
            deployment.started_at.elapsed() > ms(2100)
        });
        let text = std::fs::read_to_string(deployment.front_node.config_file()).expect("the configuration");
        deployment.front_node.reload(Some(&text));
        eventually("the configuration is reloaded", || {
            deployment.front_node.count_log_lines(&["configuration reloaded"]) == 1
        });
        assert!(deployment.faults.count() > faults_before, "{error}: no fault was injected at the reload");
        assert_eq!(deployment.front_node.count_log_lines(&["configuration rejected"]), 0, "{error}");
    }
}

#[test]
fn configuration_file_is_read_although_opening_it_fails_intermittently() {
    for seed in 0..8 {
        let plan = format!("seed={seed},open=EMFILE/2/0/400");
        let deployment =
            FaultyDeployment::start_with_shell_setup("export FAULTSHIM_FILES=\"$RELAY_CONFIG\"", &plan);
        assert_eq!(
            count(&send_queries(deployment.front_node.address, "any", &[0, 1, 2], 1), 200),
            1,
            "{plan}"
        );
    }
}

/// Three replicas of one shard, discovery, and a front node whose wall clock has an offset.
struct ClockOffsetDeployment {
    replicas: Vec<TimestampingServer>,
    addresses: Vec<SocketAddr>,
    discovery: Discovery,
    front_node: FrontNode,
}

/// Starts three replicas with this service time, and a front node whose wall clock has this offset. By the
/// wall clock without the offset, the first two replicas started a minute ago and are warm. The third has
/// just started if `third_is_listed`; otherwise it isn't listed yet.
fn start_with_clock_offset(
    offset_ms: i64,
    service_time: Duration,
    third_is_listed: bool,
) -> ClockOffsetDeployment {
    let profile = WorkProfile { service_times: vec![service_time], ..WorkProfile::default() };
    let replicas: Vec<TimestampingServer> =
        (0..3).map(|_| TimestampingServer::start(profile.clone())).collect();
    let addresses: Vec<SocketAddr> = replicas.iter().map(|replica| replica.address).collect();
    let entries = if third_is_listed {
        entries_with_third_just_started(&addresses)
    } else {
        entries_in_one_cell(&addresses[..2], wall_ms() - 60_000)
    };
    let discovery = Discovery::start(entries.clone());
    let known = endpoint_list(1, &entries);
    let mut config = config_json("127.0.0.1:0", &discovery.address.to_string(), &known);
    config["settings"]["rules"]["cold_share"] = json!(0.1);
    let faults = Faults::new(&format!("realtime={offset_ms}"));
    let front_node = FrontNode::start_with_shell_setup(&faults.shell_setup(), &node_program(), &config);
    eventually("the front node is ready", || front_node.get("/health/ready").0 == 200);
    ClockOffsetDeployment { replicas, addresses, discovery, front_node }
}

/// Returns list entries in which the third replica has just started, by the wall clock without the offset.
fn entries_with_third_just_started(addresses: &[SocketAddr]) -> Vec<Value> {
    let mut entries = entries_in_one_cell(addresses, wall_ms() - 60_000);
    entries[2]["since_ms"] = json!(wall_ms());
    entries
}

/// Sends queries from two threads, one after the other in each, for this time.
fn send_queries_for(front_node: &FrontNode, duration: Duration) {
    let end = Instant::now() + duration;
    thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while Instant::now() < end {
                    send_queries(front_node.address, "all", &[0], 1);
                }
            });
        }
    });
}

/// Checks that a replica that started at `started` received in no second more calls than a server that is
/// warming up can take without overload.
///
/// According to the settings a server begins with a tenth of a core and is warm after 5 s; three times its
/// current capacity overloads it within 1 s.
fn assert_not_overloaded(
    replica: &TimestampingServer,
    started: Instant,
    service_time_ms: u64,
    description: &str,
) {
    let calls = replica.received().into_iter().filter(|frame| !frame.parts.is_empty());
    let read_at_ms: Vec<u64> =
        calls.map(|call| call.read_at.duration_since(started).as_millis() as u64).collect();
    for (index, from) in read_at_ms.iter().enumerate() {
        let received = read_at_ms[index..].iter().take_while(|at| **at < from + 1000).count() as f64;
        let capacity = (0.1 + 0.9 * *from as f64 / 5000.0).min(1.0);
        let overload = 3.0 * capacity * 1000.0 / service_time_ms as f64;
        let limit = overload + 2.0 * overload.sqrt() + 2.0;
        assert!(
            received <= limit,
            "{description}: {received} calls in the second from {from} ms, limit {limit}"
        );
    }
    assert!(read_at_ms.len() >= 10, "{description}: the replica received only {} calls", read_at_ms.len());
}

#[test]
fn warm_servers_are_not_treated_as_warming_up_when_the_wall_clock_is_behind() {
    for behind_ms in [5_000, 70_000, 3_600_000] {
        let ClockOffsetDeployment { replicas: _replicas, discovery: _discovery, front_node, .. } =
            start_with_clock_offset(-behind_ms, ms(20), false);
        // During the first second after its start the front node protects servers that may be warming up;
        // after five seconds all servers are warm, by any clock.
        thread::sleep(ms(5200));
        let start = Instant::now();
        let clients: Vec<_> = (0..12)
            .map(|_| {
                let address = front_node.address;
                thread::spawn(move || send_queries(address, "all", &[0], 20))
            })
            .collect();
        let statuses: Vec<u16> =
            clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
        assert_eq!(count(&statuses, 200), 240, "{behind_ms} ms behind: {statuses:?}");
        // Warm servers need half a second for all parts; if they were treated as warming up, they would
        // receive 14 parts per second.
        assert!(start.elapsed() < ms(3000), "{behind_ms} ms behind: {:?}", start.elapsed());
    }
}

#[test]
fn warming_up_server_is_not_overloaded_when_the_wall_clock_has_an_offset() {
    const SERVICE_TIME_MS: u64 = 10;
    for offset_ms in [-3_600_000, -4_000, 4_000, 3_600_000] {
        let deployment = start_with_clock_offset(offset_ms, ms(SERVICE_TIME_MS), false);
        send_queries_for(&deployment.front_node, ms(1500));
        let started = Instant::now();
        deployment.discovery.set_entries(entries_with_third_just_started(&deployment.addresses));
        send_queries_for(&deployment.front_node, ms(4000));
        assert_not_overloaded(
            &deployment.replicas[2],
            started,
            SERVICE_TIME_MS,
            &format!("offset {offset_ms} ms"),
        );
    }
}

#[test]
fn warming_up_server_is_not_overloaded_when_the_front_node_starts_with_its_wall_clock_ahead() {
    const SERVICE_TIME_MS: u64 = 10;
    for offset_ms in [4_000, 3_600_000] {
        let started = Instant::now();
        let deployment = start_with_clock_offset(offset_ms, ms(SERVICE_TIME_MS), true);
        send_queries_for(&deployment.front_node, ms(4500));
        assert_not_overloaded(
            &deployment.replicas[2],
            started,
            SERVICE_TIME_MS,
            &format!("offset {offset_ms} ms"),
        );
    }
}
