//! The index server that stamps what it reads, spoken to by hand: what tests rest on has to hold itself.

use pinetrestle_standins::{eventually, TimestampingServer, WarmUp, WorkProfile};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn frame(letter: u8, rest: &str) -> Vec<u8> {
    let mut bytes = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(rest.as_bytes());
    bytes
}

fn call(id: &str) -> Vec<u8> {
    frame(b'1', &format!("{id} 3 d=500 2\n{{}}"))
}

/// The ids in the order in which they were read, a leading minus for those given up.
fn read(server: &TimestampingServer) -> Vec<String> {
    let all = server.received().into_iter().flat_map(|seen| {
        let parts = seen.parts.into_iter().map(|part| part.id);
        parts.chain(seen.cancelled.map(|id| format!("-{id}"))).collect::<Vec<_>>()
    });
    all.collect()
}

fn answer(stream: &mut TcpStream) -> String {
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("an answer");
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body).expect("an answer");
    String::from_utf8(body).expect("text")
}

#[test]
fn what_is_beyond_its_places_waits_unread_and_a_cancel_that_stops_nothing_frees_none() {
    let service_times = vec![ms(120)];
    let server = TimestampingServer::start(WorkProfile {
        max_parts_per_connection: 2,
        cancel_stops_work: false,
        service_times,
        ..WorkProfile::default()
    });
    let mut stream = TcpStream::connect(server.address).expect("a connection");
    for id in ["a.3", "b.3", "c.3"] {
        stream.write_all(&call(id)).expect("written");
    }
    stream.write_all(&frame(b'2', "a.3")).expect("written");
    eventually("two are read", || read(&server).len() == 2);
    thread::sleep(ms(40));
    assert_eq!(read(&server), ["a.3", "b.3"]);
    assert!(answer(&mut stream).starts_with("5a.3 S 3 -\n"), "its cancel was not read in time");
    eventually("all is read", || read(&server) == ["a.3", "b.3", "c.3", "-a.3"]);
}

#[test]
fn a_cancel_that_stops_work_frees_its_place_at_once() {
    let server = TimestampingServer::start(WorkProfile {
        max_parts_per_connection: 2,
        service_times: vec![ms(5_000)],
        ..WorkProfile::default()
    });
    let mut stream = TcpStream::connect(server.address).expect("a connection");
    stream.write_all(&[call("a.3"), frame(b'2', "a.3"), call("b.3"), call("c.3")].concat()).expect("written");
    eventually("c is read", || read(&server) == ["a.3", "-a.3", "b.3", "c.3"]);
}

#[test]
fn stopped_it_neither_accepts_nor_reads_and_then_goes_on_with_what_waited_even_of_the_gone() {
    let server = TimestampingServer::start(WorkProfile::default());
    let mut open = TcpStream::connect(server.address).expect("a connection");
    open.write_all(&call("a.3")).expect("written");
    assert!(answer(&mut open).starts_with("5a.3 S"));
    server.stop_reading();
    open.write_all(&call("b.3")).expect("written");
    // One that comes meanwhile, writes, and is gone before it is accepted.
    let mut comes = TcpStream::connect(server.address).expect("the kernel takes it");
    comes.write_all(&call("c.3")).expect("written");
    drop(comes);
    thread::sleep(ms(60));
    assert_eq!(read(&server), ["a.3"]);
    let begun = Instant::now();
    server.resume_reading();
    eventually("both are read, also that of a connection that ended", || read(&server).len() == 3);
    let late = server.received().iter().filter(|seen| seen.read_at >= begun).count();
    assert_eq!((late, server.accepted_connections()), (2, 2));
}

#[test]
fn a_new_connection_s_first_frame_waits_for_its_handshake_and_a_draining_server_turns_away() {
    let server = TimestampingServer::start(WorkProfile {
        handshake: ms(60),
        draining: true,
        ..WorkProfile::default()
    });
    let mut stream = TcpStream::connect(server.address).expect("a connection");
    let begun = Instant::now();
    stream.write_all(&call("a.3")).expect("written");
    assert!(answer(&mut stream).starts_with("5a.3 B"));
    assert!(begun.elapsed() >= ms(60), "{:?}", begun.elapsed());
    server.update_profile(|work| work.draining = false);
    stream.write_all(&call("b.3")).expect("written");
    assert!(answer(&mut stream).starts_with("5b.3 S"));
}

#[test]
fn a_cold_server_takes_longer_until_it_is_warm() {
    let warm_up = WarmUp { duration: ms(400), factor: 20 };
    let server = TimestampingServer::start(WorkProfile {
        warm_up,
        service_times: vec![ms(10)],
        ..WorkProfile::default()
    });
    let mut stream = TcpStream::connect(server.address).expect("a connection");
    let mut took = |id: &str| {
        let begun = Instant::now();
        stream.write_all(&call(id)).expect("written");
        answer(&mut stream);
        begun.elapsed()
    };
    assert!(took("a.3") >= ms(200));
    thread::sleep(ms(400));
    assert!(took("b.3") < ms(190));
}
