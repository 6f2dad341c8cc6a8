//! Addresses at which nobody serves yet: connections are refused, or stay pending. The port is held from the start, so
//! that no other process can take it before a stand-in listens there.

use crate::discovery::Discovery;
use crate::server_behavior::ServerBehavior;
use crate::servers::Server;
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Connections that may wait to be accepted once a reserved address is open.
const BACKLOG: i32 = 128;
/// Time after which a connection that fills the queue of a [`PendingAddress`] counts as pending.
const PENDING_AFTER: Duration = Duration::from_millis(50);

/// A socket bound to a loopback port that the kernel picks, and the address.
fn bound_socket() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // The program under test may listen at the address while it is reserved; the kernel gives it to nobody else.
    socket.set_reuse_address(true).expect("the option set");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any_port.into()).expect("a port");
    let address = socket.local_addr().expect("an address").as_socket().expect("an IPv4 address");
    (socket, address)
}

/// An address that is bound but at which nobody listens: connections are refused until it is opened, and the kernel
/// gives the port to no other process that asks for a free one.
pub struct ReservedAddress {
    /// The address.
    pub address: SocketAddr,
    socket: Socket,
}

impl ReservedAddress {
    /// Reserves an address.
    pub fn reserve() -> ReservedAddress {
        let (socket, address) = bound_socket();
        ReservedAddress { address, socket }
    }

    /// Starts a discovery service there, with these entries.
    pub fn start_discovery(self, entries: Vec<Value>) -> Discovery {
        Discovery::start_on(self.listen(), entries)
    }

    /// Starts an index server there.
    pub fn start_server(self, behavior: ServerBehavior) -> Server {
        Server::start_on(self.listen(), behavior)
    }

    fn listen(self) -> TcpListener {
        self.socket.listen(BACKLOG).expect("a listener");
        TcpListener::from(self.socket)
    }
}

/// An address at which connections do not come up: nobody accepts, and the kernel's queue is full. Once opened they
/// come up a second after they were begun, when their first packet is sent again.
pub struct PendingAddress {
    /// The address.
    pub address: SocketAddr,
    listener: TcpListener,
    _filling: Vec<TcpStream>,
}

impl PendingAddress {
    /// From now on nobody gets through.
    pub fn reserve() -> PendingAddress {
        let (socket, address) = bound_socket();
        socket.listen(0).expect("a listener");
        let listener = TcpListener::from(socket);
        let connect = || TcpStream::connect_timeout(&address, PENDING_AFTER).ok();
        let filling = std::iter::from_fn(connect).collect();
        PendingAddress { address, listener, _filling: filling }
    }

    /// From now on a server is there.
    pub fn start_server(self, behavior: ServerBehavior) -> Server {
        Server::start_on(self.listener, behavior)
    }
}
