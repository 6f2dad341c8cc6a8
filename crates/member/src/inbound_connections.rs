//! The connections that a member has accepted, and the limits on them.
//!
//! Anyone who reaches the listener can hold a connection and the memory of a frame that has been received in part. The
//! connections of the other members are kept, a few for each; all others are limited together, and the oldest is
//! closed for a new one.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Maximum number of connections that are not known to be of another member and are older than
/// [`NEW_CONNECTION_GRACE`].
const MAX_OTHER_CONNECTIONS: usize = 64;
/// Maximum number of all connections that are not known to be of another member. No more are accepted meanwhile.
const MAX_OTHER_CONNECTIONS_IN_BURST: usize = 256;
/// Time for which a connection is not closed for a new one. A request that was sent at once is answered by then, also
/// while very many others connect.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(200);
/// Maximum number of connections of one member. A member opens a new one when it has lost the one before, which may
/// not have been noticed yet.
const MAX_CONNECTIONS_PER_PEER: usize = 4;

/// An accepted connection.
struct InboundConnection {
    /// The member that opened the connection, once it is known.
    peer: Option<u64>,
    accepted_at: Instant,
    /// Ends the task of the connection, which closes it.
    task: AbortHandle,
}

/// The accepted connections, by the order in which they were accepted.
pub(crate) struct InboundConnections {
    known_peers: BTreeSet<u64>,
    open: RefCell<BTreeMap<u64, InboundConnection>>,
    next_number: Cell<u64>,
}

/// The entry of one connection, which is removed when the guard is dropped.
pub(crate) struct ConnectionEntry {
    connections: Rc<InboundConnections>,
    number: u64,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
    }
}

impl ConnectionEntry {
    /// Notes that a connection is of the member `peer`, and closes its oldest ones if it has too many. Returns
    /// whether the member is known.
    pub(crate) fn identify(&self, peer: u64) -> bool {
        let connections = &self.connections;
        let is_known = connections.known_peers.contains(&peer);
        if is_known {
            if let Some(connection) = connections.open.borrow_mut().get_mut(&self.number) {
                connection.peer = Some(peer);
            }
            connections.close_surplus(MAX_CONNECTIONS_PER_PEER, Some(peer));
        }
        is_known
    }
}

impl InboundConnections {
    /// Creates the table without connections. `known_peers` are the ids of the other members.
    pub(crate) fn new(known_peers: BTreeSet<u64>) -> Rc<InboundConnections> {
        Rc::new(InboundConnections { known_peers, open: RefCell::default(), next_number: Cell::new(0) })
    }

    /// Closes the oldest connections that are not of a member if there are too many. Returns whether another one may
    /// be accepted.
    pub(crate) fn make_room(&self) -> bool {
        self.close_surplus(MAX_OTHER_CONNECTIONS, None);
        self.numbers_of(None).len() < MAX_OTHER_CONNECTIONS_IN_BURST
    }

    /// Starts the task of a connection. `serve` returns the task's future and is given the entry to keep in it.
    pub(crate) fn spawn<F: Future<Output = ()> + 'static>(
        self: &Rc<Self>,
        serve: impl FnOnce(ConnectionEntry) -> F,
    ) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let entry = ConnectionEntry { connections: self.clone(), number };
        let task = tokio::task::spawn_local(serve(entry)).abort_handle();
        let connection = InboundConnection { peer: None, accepted_at: Instant::now(), task };
        self.open.borrow_mut().insert(number, connection);
    }

    /// Returns the numbers of the connections of `peer`, or of no known member, oldest first.
    fn numbers_of(&self, peer: Option<u64>) -> Vec<u64> {
        let open = self.open.borrow();
        open.iter().filter(|(_, connection)| connection.peer == peer).map(|(number, _)| *number).collect()
    }

    /// Closes the oldest connections of `peer`, or of no known member, beyond `max_connections`, except those that
    /// were accepted just now.
    fn close_surplus(&self, max_connections: usize, peer: Option<u64>) {
        let numbers = self.numbers_of(peer);
        let surplus = numbers.len().saturating_sub(max_connections);
        for number in &numbers[..surplus] {
            let mut open = self.open.borrow_mut();
            let is_old =
                |connection: &InboundConnection| connection.accepted_at.elapsed() >= NEW_CONNECTION_GRACE;
            let closed = if open.get(number).is_some_and(is_old) { open.remove(number) } else { None };
            drop(open);
            if let Some(connection) = closed {
                connection.task.abort();
            }
        }
    }
}
