//! Reserved addresses: tests rely on them for index servers and discovery services that are down.

use pinetrestle_standins::{Client, Discovery, ReservedAddress, ServerBehavior};
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};

#[test]
fn reserved_address_refuses_connections_until_a_stand_in_is_started_there() {
    let reserved = ReservedAddress::reserve();
    let address = reserved.address;
    for _ in 0..3 {
        let error = TcpStream::connect(address).expect_err("no listener");
        assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
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
fn kernel_does_not_choose_a_reserved_port_for_other_sockets() {
    let reserved = ReservedAddress::reserve();
    let listeners: Vec<TcpListener> =
        (0..500).map(|_| TcpListener::bind("127.0.0.1:0").expect("bind a free port")).collect();
    let is_reserved =
        |listener: &TcpListener| listener.local_addr().expect("local address") == reserved.address;
    assert!(!listeners.iter().any(is_reserved));
}

#[test]
fn process_under_test_may_listen_at_a_reserved_address() {
    let reserved = ReservedAddress::reserve();
    let listener = TcpListener::bind(reserved.address).expect("bind the reserved address");
    TcpStream::connect(reserved.address).expect("a connection");
    drop(listener);
    let error = TcpStream::connect(reserved.address).expect_err("no listener");
    assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
}
