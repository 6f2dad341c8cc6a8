//! A reserved address: what tests with a server that is down rest on.

use pinetrestle_standins::{Client, Discovery, ReservedAddress, ServerBehavior};
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};

#[test]
fn a_reserved_address_refuses_connections_until_a_stand_in_is_started_there() {
    let reserved = ReservedAddress::reserve();
    let address = reserved.address;
    for _ in 0..3 {
        let refused = TcpStream::connect(address).expect_err("nobody listens");
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    }
    let server = reserved.start_server(ServerBehavior::Serving);
    assert_eq!(server.address, address);
    TcpStream::connect(address).expect("a connection");
}

#[test]
fn discovery_at_a_reserved_address_answers_a_watch() {
    let reserved = ReservedAddress::reserve();
    let address = reserved.address;
    let discovery: Discovery = reserved.start_discovery(Vec::new());
    assert_eq!(discovery.address, address);
    let mut client = Client::connect(address);
    let answer = client.send("GET /registry/instances?watch=1&after=0 HTTP/1.1\r\n\r\n");
    assert_eq!((answer.status, discovery.watch_count()), (200, 1));
}

#[test]
fn the_kernel_gives_a_reserved_port_to_nobody_who_asks_for_a_free_one() {
    let reserved = ReservedAddress::reserve();
    let listeners: Vec<TcpListener> =
        (0..500).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let taken = |listener: &TcpListener| listener.local_addr().expect("an address") == reserved.address;
    assert!(!listeners.iter().any(taken));
}

#[test]
fn a_program_may_listen_at_an_address_that_is_reserved_for_it() {
    let reserved = ReservedAddress::reserve();
    let listener = TcpListener::bind(reserved.address).expect("the reserved address");
    TcpStream::connect(reserved.address).expect("a connection");
    drop(listener);
    let refused = TcpStream::connect(reserved.address).expect_err("nobody listens");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
}
