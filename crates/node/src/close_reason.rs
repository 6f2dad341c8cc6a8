//! Why connections are closed: the stable codes of the log line "connection ended" and of the object `ends`
//! of `/stats`. `docs/on-call.md` explains each code.

use pinetrestle_protocol::frames::FrameError;
use pinetrestle_protocol::head::HttpError;
use pinetrestle_protocol::watch::WatchError;
use std::fmt;
use std::io::ErrorKind;

macro_rules! close_reasons {
    ($($(#[$doc:meta])* $name:ident => $code:literal),* $(,)?) => {
        /// Why a connection was closed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum CloseReason {
            $($(#[$doc])* $name,)*
            /// The bytes read are not the HTTP/1.1 that the node speaks.
            Http(HttpError),
            /// The bytes read are not a frame of the index server protocol.
            Frame(FrameError),
        }

        impl CloseReason {
            /// The reasons that the node names itself, without the errors of the protocol crate.
            pub const NODE_REASONS: &'static [CloseReason] = &[$(CloseReason::$name),*];

            /// The code in the log and in `/stats`.
            pub fn code(self) -> &'static str {
                match self {
                    $(CloseReason::$name => $code,)*
                    CloseReason::Http(error) => error.code(),
                    CloseReason::Frame(error) => error.code(),
                }
            }
        }
    };
}

close_reasons! {
    /// The client closed the connection between two requests.
    ClientClosed => "client_closed",
    /// The client closed the connection while a request was open.
    ClientDisconnected => "client_gone",
    /// The client sent `Connection: close` (RFC 9112 section 9.6).
    ConnectionClose => "closed_as_asked",
    /// No request or call came within the idle timeout.
    IdleTimeout => "idle",
    /// Closed at the bound of open connections so that a new one fits.
    Evicted => "made_room",
    /// Graceful shutdown, after an answer.
    Shutdown => "shutdown",
    /// Graceful shutdown, between two requests.
    ShutdownIdle => "shutdown_between",
    /// A request was not complete within the request timeout.
    RequestTimeout => "request_timeout",
    /// No request came on a new connection within the first-request timeout.
    NoRequest => "never_asked",
    /// The client sent more malformed requests than one connection may.
    TooManyBadRequests => "too_many_bad",
    /// The peer did not take the bytes written within the write timeout.
    WriteStalled => "write_stalled",
    /// Writing failed.
    WriteFailed => "write_failed",
    /// The peer reset the connection.
    Reset => "reset",
    /// The connection broke while it was written to (`EPIPE`, `ECONNABORTED`).
    BrokenPipe => "broken",
    /// Any other error of the socket.
    IoError => "io_error",
    /// The index server has a new address or incarnation, is draining, or has left the endpoint list.
    EndpointChanged => "replaced",
    /// Too many attempts in a row were abandoned with nothing read on the connection.
    Unresponsive => "unheard",
    /// The peer closed the connection.
    PeerClosed => "ended_by_peer",
    /// The peer closed the connection within a frame.
    PeerClosedMidFrame => "ended_within_frame",
    /// A frame whose first bytes had come was not complete within the frame timeout.
    StalledMidFrame => "stalled_within_frame",
    /// The peer refused the connection.
    ConnectRefused => "connect_refused",
    /// The connection was not established within the connect timeout.
    ConnectTimeout => "connect_timeout",
    /// Establishing the connection failed in another way.
    ConnectFailed => "connect_failed",
    /// This machine had no port, descriptor, buffer or route for the connection.
    NoLocalSocket => "no_local_socket",
    /// Another watch took the place of this one.
    Superseded => "asked_anew",
    /// Discovery sent no complete answer within the answer timeout.
    NoResponse => "no_answer",
    /// Discovery sent no complete line within the watch's silence timeout.
    WatchSilent => "silent",
    /// Discovery answered with an HTTP status that carries no endpoint list.
    UnexpectedStatus => "status",
    /// Discovery answered with something that is no endpoint list.
    BadEndpointList => "bad_list",
}

impl CloseReason {
    /// Whether the peer closed the connection or takes no more bytes, so that no orderly close is possible.
    pub fn is_closed_by_peer(self) -> bool {
        matches!(
            self,
            CloseReason::ClientClosed
                | CloseReason::ClientDisconnected
                | CloseReason::Reset
                | CloseReason::BrokenPipe
                | CloseReason::IoError
                | CloseReason::WriteStalled
                | CloseReason::WriteFailed
        )
    }

    /// Whether the connection was never established.
    pub fn is_connect_failure(self) -> bool {
        matches!(
            self,
            CloseReason::ConnectRefused
                | CloseReason::ConnectTimeout
                | CloseReason::ConnectFailed
                | CloseReason::NoLocalSocket
        )
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.code())
    }
}

impl From<HttpError> for CloseReason {
    fn from(error: HttpError) -> CloseReason {
        CloseReason::Http(error)
    }
}

impl From<FrameError> for CloseReason {
    fn from(error: FrameError) -> CloseReason {
        CloseReason::Frame(error)
    }
}

impl From<WatchError> for CloseReason {
    fn from(error: WatchError) -> CloseReason {
        match error {
            WatchError::Http(error) => CloseReason::Http(error),
            WatchError::Status(_) => CloseReason::UnexpectedStatus,
            WatchError::EndpointList(_) => CloseReason::BadEndpointList,
        }
    }
}

impl From<&std::io::Error> for CloseReason {
    fn from(error: &std::io::Error) -> CloseReason {
        match error.kind() {
            ErrorKind::ConnectionRefused => CloseReason::ConnectRefused,
            ErrorKind::ConnectionReset => CloseReason::Reset,
            ErrorKind::BrokenPipe | ErrorKind::ConnectionAborted => CloseReason::BrokenPipe,
            _ => CloseReason::IoError,
        }
    }
}
