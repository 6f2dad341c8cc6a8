//! Clients that disconnect, by close, by reset and by half-close, at each step of their query; the program is paused,
//! so that it finds the disconnect together with the event that would have led to the next step.

use pinetrestle_standins::{
    config_json, endpoint_list, entries_at, eventually, query, Client, Discovery, FrontNode, PendingAddress,
    Server, ServerBehavior, SmallDeployment,
};
use serde_json::Value;
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

/// A half-close is the same on the wire as a close, so it means the same: the client has disconnected.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    HalfClose,
}

const ALL_DISCONNECTS: [Disconnect; 3] = [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose];

fn disconnect(client: Client, how: Disconnect) -> Option<Client> {
    let stream = client.stream.get_ref();
    match how {
        Disconnect::Close => None,
        Disconnect::Reset => {
            socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("set");
            None
        }
        Disconnect::HalfClose => {
            stream.shutdown(Shutdown::Write).expect("half closed");
            Some(client)
        }
    }
}

fn start_with(behavior: &ServerBehavior, change: impl FnOnce(&mut Value)) -> SmallDeployment {
    SmallDeployment::start(NODE, behavior, change)
}

/// The query is over for the front node, and no further part is sent in the time that a next step would take.
fn assert_over_after(deployment: &SmallDeployment, parts_sent: usize) {
    eventually("no query is in flight", || {
        let stats = deployment.program.stats();
        let classes = stats["queries"].as_object().expect("classes").values();
        classes.map(|class| class["held"].as_u64().expect("a count")).sum::<u64>() == 0
    });
    thread::sleep(ms(150));
    assert_eq!(deployment.received(), parts_sent, "nothing is sent for a client that has disconnected");
}

#[test]
fn disconnect_before_the_first_attempt_sends_nothing() {
    for how in ALL_DISCONNECTS {
        let deployment = start_with(&ServerBehavior::Serving, |_| {});
        deployment.program.pause();
        let mut client = deployment.client();
        client.write(query("all", &[0, 1], 2000).1.as_bytes());
        let kept = disconnect(client, how);
        deployment.program.resume();
        assert_over_after(&deployment, 0);
        drop(kept);
    }
}

#[test]
fn disconnect_between_a_failure_and_its_retry_prevents_the_retry() {
    for how in ALL_DISCONNECTS {
        let deployment = start_with(&ServerBehavior::FailingAfter(ms(200)), |_| {});
        let mut client = deployment.client();
        client.write(query("all", &[0], 2000).1.as_bytes());
        eventually("its part is in flight", || deployment.received() == 1);
        deployment.program.pause();
        let kept = disconnect(client, how);
        thread::sleep(ms(300)); // the error is there too when it resumes
        deployment.program.resume();
        assert_over_after(&deployment, 1);
        drop(kept);
    }
}

#[test]
fn disconnect_before_the_second_step_prevents_it() {
    for how in ALL_DISCONNECTS {
        let deployment = start_with(&ServerBehavior::ServingAfter(ms(200)), |_| {});
        let mut client = deployment.client();
        client.write(query("steps", &[0, 1, 2], 2000).1.as_bytes());
        eventually("its parts are in flight", || deployment.received() == 3);
        deployment.program.pause();
        let kept = disconnect(client, how);
        thread::sleep(ms(300)); // all answers are there when it resumes
        deployment.program.resume();
        assert_over_after(&deployment, 3);
        drop(kept);
    }
}

#[test]
fn disconnect_before_a_hedge_of_an_overdue_part_prevents_it() {
    for how in ALL_DISCONNECTS {
        let deployment = start_with(&ServerBehavior::Silent, |_| {});
        let mut client = deployment.client();
        client.write(query("all", &[0], 2900).1.as_bytes());
        eventually("its part is in flight", || deployment.received() == 1);
        deployment.program.pause();
        let kept = disconnect(client, how);
        thread::sleep(ms(700)); // far beyond half the latency objective: a hedge is due when it resumes
        deployment.program.resume();
        assert_over_after(&deployment, 1);
        drop(kept);
    }
}

#[test]
fn disconnect_withdraws_parts_queued_for_a_slow_connection() {
    for how in ALL_DISCONNECTS {
        for may_cancel in [true, false] {
            let late: Vec<PendingAddress> = (0..3).map(|_| PendingAddress::reserve()).collect();
            let known = endpoint_list(1, &entries_at(late.iter().map(|server| server.address)));
            let discovery = Discovery::start(known["endpoints"].as_array().expect("entries").clone());
            let mut config = config_json("127.0.0.1:0", &discovery.address.to_string(), &known);
            config["transport"] = serde_json::json!({"connect_ms": 5000});
            config["settings"]["permissions"]["cancel"] = may_cancel.into();
            config["settings"]["classes"][1]["aim"] = 2_900_000.into();
            let program = FrontNode::start_ready(NODE, &config);
            let mut client = Client::connect(program.address);
            client.write(query("all", &[0, 1, 2], 2900).1.as_bytes());
            eventually("it is admitted", || program.stats()["attempts"]["out"] == 3);
            let kept = disconnect(client, how);
            eventually("it is counted as gone", || program.stats()["queries"]["all"]["gone"] == 1);
            let servers: Vec<Server> =
                late.into_iter().map(|late| late.start_server(ServerBehavior::Serving)).collect();
            let up = || servers.iter().all(|server| server.accepted_connections() >= 2);
            eventually("the connections are established", up);
            thread::sleep(ms(150));
            let seen: usize = servers.iter().map(|server| server.received().len()).sum();
            assert_eq!(seen, 0, "{how:?}, may cancel: {may_cancel}");
            eventually("nothing is in flight", || program.stats()["attempts"]["out"] == 0);
            drop(kept);
        }
    }
}

#[test]
fn disconnect_is_seen_behind_unread_pipelined_bytes() {
    for how in ALL_DISCONNECTS {
        // With so long a latency objective no hedge is due before the end of this test.
        let change = |config: &mut Value| config["settings"]["classes"][1]["aim"] = 2_900_000.into();
        let deployment = start_with(&ServerBehavior::Silent, change);
        let mut client = deployment.client();
        client.write(query("all", &[0], 2900).1.as_bytes());
        eventually("its part is in flight", || deployment.received() == 1);
        // More than is read ahead of a response, and less than the kernel buffers: the close arrives behind it.
        let one = query("all", &[1], 2900).1.into_bytes();
        let ahead = one.repeat(140 * 1024 / one.len());
        client.write(&ahead);
        let read = || deployment.program.stats()["connections"]["client_bytes_in"].as_u64();
        eventually("reading is suspended", || read() > Some(80 * 1024));
        thread::sleep(ms(50));
        let kept = disconnect(client, how);
        eventually("it is counted as gone", || deployment.program.stats()["queries"]["all"]["gone"] == 1);
        assert_over_after(&deployment, 1);
        drop(kept);
    }
}
