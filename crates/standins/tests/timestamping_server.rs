//! Behavior of the timestamping index server that tests of the front node rely on: concurrency limit,
//! cancellation, stop of reading, handshake, drain and warm-up. The tests write frames to it directly,
//! without a front node.

use pinetrestle_standins::{eventually, TimestampingServer, WarmUp, WorkProfile};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Encodes a frame of the type `letter`.
fn frame(letter: u8, content: &str) -> Vec<u8> {
    let mut bytes = (content.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(content.as_bytes());
    bytes
}

/// Encodes a call with one part for shard 3.
fn call(id: &str) -> Vec<u8> {
    frame(b'1', &format!("{id} 3 d=500 2\n{{}}"))
}

/// Returns the ids of the parts and cancellations in the order in which the server read them. A minus
/// precedes the id of a cancellation.
fn ids_read(server: &TimestampingServer) -> Vec<String> {
    let ids = server.received().into_iter().flat_map(|frame| {
        let parts = frame.parts.into_iter().map(|part| part.id);
        parts.chain(frame.cancelled.map(|id| format!("-{id}"))).collect::<Vec<_>>()
    });
    ids.collect()
}

/// Reads a frame and returns its body as text.
fn read_answer(stream: &mut TcpStream) -> String {
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("length of an answer");
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body).expect("body of an answer");
    String::from_utf8(body).expect("text")
}

#[test]
fn frames_beyond_the_limit_stay_unread_and_a_cancellation_without_stop_makes_no_room() {
    let service_times = vec![ms(120)];
    let server = TimestampingServer::start(WorkProfile {
        max_parts_per_connection: 2,
        cancel_stops_work: false,
        service_times,
        ..WorkProfile::default()
    });
    let mut stream = TcpStream::connect(server.address).expect("a connection");
    for id in ["a.3", "b.3", "c.3"] {
        stream.write_all(&call(id)).expect("write to the server");
    }
    stream.write_all(&frame(b'2', "a.3")).expect("write to the server");
    eventually("two parts are read", || ids_read(&server).len() == 2);
    thread::sleep(ms(40));
    assert_eq!(ids_read(&server), ["a.3", "b.3"]);
    assert!(
        read_answer(&mut stream).starts_with("5a.3 S 3 -\n"),
        "the cancellation is read only after the answer"
    );
    eventually("all frames are read", || ids_read(&server) == ["a.3", "b.3", "c.3", "-a.3"]);
}

#[test]
fn cancellation_that_stops_a_part_makes_room_for_another_immediately() {
    let server = TimestampingServer::start(WorkProfile {
        max_parts_per_connection: 2,
        service_times: vec![ms(5_000)],
        ..WorkProfile::default()
    });
    let mut stream = TcpStream::connect(server.address).expect("a connection");
    stream
        .write_all(&[call("a.3"), frame(b'2', "a.3"), call("b.3"), call("c.3")].concat())
        .expect("write to the server");
    eventually("part c.3 is read", || ids_read(&server) == ["a.3", "-a.3", "b.3", "c.3"]);
}

#[test]
fn stopped_server_reads_nothing_and_after_resuming_reads_frames_of_closed_connections_too() {
    let server = TimestampingServer::start(WorkProfile::default());
    let mut open = TcpStream::connect(server.address).expect("a connection");
    open.write_all(&call("a.3")).expect("write to the server");
    assert!(read_answer(&mut open).starts_with("5a.3 S"));
    server.stop_reading();
    open.write_all(&call("b.3")).expect("write to the server");
    // A client that connects meanwhile, writes, and closes its connection before it is accepted.
    let mut short_lived = TcpStream::connect(server.address).expect("queued by the kernel");
    short_lived.write_all(&call("c.3")).expect("write to the server");
    drop(short_lived);
    thread::sleep(ms(60));
    assert_eq!(ids_read(&server), ["a.3"]);
    let resumed_at = Instant::now();
    server.resume_reading();
    eventually("both parts are read, also that of the closed connection", || ids_read(&server).len() == 3);
    let read_after = server.received().iter().filter(|frame| frame.read_at >= resumed_at).count();
    assert_eq!((read_after, server.accepted_connections()), (2, 2));
}

#[test]
fn first_frame_of_a_connection_waits_for_the_handshake_and_a_draining_server_rejects_parts() {
    let server = TimestampingServer::start(WorkProfile {
        handshake: ms(60),
        draining: true,
        ..WorkProfile::default()
    });
    let mut stream = TcpStream::connect(server.address).expect("a connection");
    let start = Instant::now();
    stream.write_all(&call("a.3")).expect("write to the server");
    assert!(read_answer(&mut stream).starts_with("5a.3 B"));
    assert!(start.elapsed() >= ms(60), "{:?}", start.elapsed());
    server.update_profile(|profile| profile.draining = false);
    stream.write_all(&call("b.3")).expect("write to the server");
    assert!(read_answer(&mut stream).starts_with("5b.3 S"));
}

#[test]
fn parts_take_longer_during_the_warm_up() {
    let warm_up = WarmUp { duration: ms(400), factor: 20 };
    let server = TimestampingServer::start(WorkProfile {
        warm_up,
        service_times: vec![ms(10)],
        ..WorkProfile::default()
    });
    let mut stream = TcpStream::connect(server.address).expect("a connection");
    let mut answer_time = |id: &str| {
        let start = Instant::now();
        stream.write_all(&call(id)).expect("write to the server");
        read_answer(&mut stream);
        start.elapsed()
    };
    assert!(answer_time("a.3") >= ms(200));
    thread::sleep(ms(400));
    assert!(answer_time("b.3") < ms(190));
}
