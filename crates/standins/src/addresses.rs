//! Loopback addresses at which no server accepts connections yet: they refuse connections or leave them
//! pending. The port is bound from the start, so that no other process can take it before a stand-in listens
//! there.

use crate::discovery::Discovery;
use crate::server_behavior::ServerBehavior;
use crate::servers::Server;
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Accept backlog of a stand-in at a formerly reserved address, in connections.
const BACKLOG: i32 = 128;
/// Connect timeout after which the accept queue of a [`PendingAddress`] is considered full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(50);

/// Binds a socket to a loopback port chosen by the kernel; returns the socket and its address.
fn bound_socket() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    // Lets the process under test listen at the reserved address too; the kernel still doesn't choose the
    // port for sockets that bind to port 0.
    socket.set_reuse_address(true).expect("set SO_REUSEADDR");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any_port.into()).expect("bind a loopback port");
    let address = socket.local_addr().expect("local address").as_socket().expect("IPv4 address");
    (socket, address)
}

/// An address that is bound without a listener: connections are refused until a stand-in is started there,
/// and the kernel doesn't assign the port to another process that binds to port 0.
pub struct ReservedAddress {
    /// The reserved address.
    pub address: SocketAddr,
    socket: Socket,
}

impl ReservedAddress {
    /// Reserves a loopback address with a port chosen by the kernel.
    pub fn reserve() -> ReservedAddress {
        let (socket, address) = bound_socket();
        ReservedAddress { address, socket }
    }

    /// Starts a discovery service at the address, with an endpoint list of these entries.
    pub fn start_discovery(self, entries: Vec<Value>) -> Discovery {
        Discovery::start_on(self.listen(), entries)
    }

    /// Starts an index server at the address.
    pub fn start_server(self, behavior: ServerBehavior) -> Server {
        Server::start_on(self.listen(), behavior)
    }

    fn listen(self) -> TcpListener {
        self.socket.listen(BACKLOG).expect("listen at the reserved address");
        TcpListener::from(self.socket)
    }
}

/// An address at which connection attempts stay pending: nothing accepts there, and the kernel's accept queue
/// is full.
///
/// Once a server is started, a pending connection is established one second after it was begun, when the
/// kernel retransmits its SYN.
pub struct PendingAddress {
    /// The reserved address.
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections that keep the accept queue full.
    _queued: Vec<TcpStream>,
}

impl PendingAddress {
    /// Reserves a loopback address and fills its accept queue, so that further connection attempts stay
    /// pending.
    pub fn reserve() -> PendingAddress {
        let (socket, address) = bound_socket();
        socket.listen(0).expect("listen with an empty backlog");
        let listener = TcpListener::from(socket);
        let connect = || TcpStream::connect_timeout(&address, QUEUE_FULL_TIMEOUT).ok();
        let queued = std::iter::from_fn(connect).collect();
        PendingAddress { address, listener, _queued: queued }
    }

    /// Starts an index server at the address; it accepts the pending connections.
    pub fn start_server(self, behavior: ServerBehavior) -> Server {
        Server::start_on(self.listener, behavior)
    }
}
