//! The reasons why connections are closed, and their codes.
//!
//! The codes appear in the log line "connection ended" and in the object `ends` of `GET /stats`. They are
//! part of the external interface and must not change. `docs/on-call.md` explains each code.

use pinetrestle_protocol::frames::FrameError;
use pinetrestle_protocol::head::HttpError;
use pinetrestle_protocol::watch::WatchError;
use std::fmt;
use std::io::ErrorKind;

macro_rules! close_reasons {
    ($($(#[$doc:meta])* $name:ident => $code:literal),* $(,)?) => {
        /// The reason why a connection was closed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum CloseReason {
            $($(#[$doc])* $name,)*
            /// The peer sent bytes that are not HTTP/1.1, or that exceed the limits of the node.
            Http(HttpError),
            /// The index server sent bytes that violate the frame protocol.
            Frame(FrameError),
        }

        impl CloseReason {
            /// All close reasons except `Http` and `Frame`, which wrap errors of the protocol crate.
            pub const NODE_REASONS: &'static [CloseReason] = &[$(CloseReason::$name),*];

            /// Returns the code used in the log and in `GET /stats`.
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
    /// The client closed the connection before its request was answered.
    ClientDisconnected => "client_gone",
    /// The client sent `Connection: close` (RFC 9112 section 9.6).
    ConnectionClose => "closed_as_asked",
    /// The connection was idle for longer than the idle timeout.
    IdleTimeout => "idle",
    /// The idle connection was closed to make room for a new one, because the maximum number of connections
    /// was open.
    Evicted => "made_room",
    /// The node closed the connection after an answer, during graceful shutdown.
    Shutdown => "shutdown",
    /// The node closed the connection between two requests, during graceful shutdown.
    ShutdownIdle => "shutdown_between",
    /// A request was not complete within the request timeout.
    RequestTimeout => "request_timeout",
    /// The memory for large requests was used up: a request could not be received in time, or it was incomplete
    /// for so long that its memory was revoked.
    NoRequestMemory => "no_request_memory",
    /// No request was received on a new connection within the first-request timeout.
    NoRequest => "never_asked",
    /// The client sent more malformed requests than are allowed on one connection.
    TooManyBadRequests => "too_many_bad",
    /// The peer did not receive the written bytes in time.
    WriteStalled => "write_stalled",
    /// A write failed.
    WriteFailed => "write_failed",
    /// The peer reset the connection.
    Reset => "reset",
    /// A write failed because the connection was closed or aborted (`EPIPE`, `ECONNABORTED`).
    BrokenPipe => "broken",
    /// A socket operation failed with another error.
    IoError => "io_error",
    /// The index server has a new address or incarnation, is draining, or was removed from the endpoint list.
    EndpointChanged => "replaced",
    /// Too many attempts in a row were cancelled without any bytes being received on the connection.
    Unresponsive => "unheard",
    /// The peer closed the connection.
    PeerClosed => "ended_by_peer",
    /// The peer closed the connection before it had sent a frame completely.
    PeerClosedMidFrame => "ended_within_frame",
    /// A partially received frame was not complete within the frame timeout.
    StalledMidFrame => "stalled_within_frame",
    /// The memory for large frames was used up: a frame could not be received in time, or it was incomplete for
    /// so long that its memory was revoked.
    NoFrameMemory => "no_frame_memory",
    /// The peer refused the connection.
    ConnectRefused => "connect_refused",
    /// The connection was not established within the connect timeout.
    ConnectTimeout => "connect_timeout",
    /// The connection could not be established for another reason.
    ConnectFailed => "connect_failed",
    /// This machine had no free port, file descriptor or buffer, or no route, for the connection.
    NoLocalSocket => "no_local_socket",
    /// The watch was replaced by another one.
    Superseded => "asked_anew",
    /// Discovery sent no complete line within the answer timeout.
    NoResponse => "no_answer",
    /// Discovery sent no further complete line within the silence timeout of the watch.
    WatchSilent => "silent",
    /// Discovery answered with an HTTP status other than 200.
    UnexpectedStatus => "status",
    /// Discovery answered with a body that is not a valid endpoint list.
    BadEndpointList => "bad_list",
}

impl CloseReason {
    /// Returns whether the peer has closed the connection or accepts no more bytes, so that a graceful
    /// close is not possible.
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

    /// Returns whether the connection could not be established.
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
