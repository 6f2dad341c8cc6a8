//! Timeouts and limits of the sockets: the object `transport` of the configuration file, with its defaults.

use pinetrestle::interface::Micros;
use pinetrestle_settings::fields::{count, optional, FieldError, Parsed};
use pinetrestle_settings::Deployment;
use serde_json::Value;
use std::time::Duration;

/// Maximum number of evicted client connections that perform a lingering close at the same time. They hold
/// file descriptors in addition to the connections that count toward `client_connections`. Connections
/// evicted beyond this maximum are closed without lingering. Otherwise a flood of clients that send nothing
/// would delay the clients that connect afterwards.
pub(crate) const MAX_LINGERING_CLIENTS: usize = 8;
/// File descriptors reserved for other uses than the connections counted by `server_connections` and
/// `client_connections`: the standard streams, the poller, signals, the listener, files that are read,
/// discovery (one watch, two that are being opened, some that are ending), a margin, and the lingering client
/// connections of [`MAX_LINGERING_CLIENTS`].
const RESERVED_DESCRIPTORS: usize = 24 + MAX_LINGERING_CLIENTS;
/// Divisor of the number of available file descriptors. The quotient is the default of `server_connections`.
const DEFAULT_SERVER_DIVISOR: u64 = 3;

/// Default of `first_ms` in milliseconds.
const DEFAULT_FIRST_REQUEST_MS: u64 = 2_000;
/// Default of `request_ms` in milliseconds.
const DEFAULT_REQUEST_MS: u64 = 2_000;
/// Default of `client_idle_ms` in milliseconds.
const DEFAULT_CLIENT_IDLE_MS: u64 = 120_000;
/// Default of `answer_write_ms` in milliseconds.
const DEFAULT_ANSWER_WRITE_MS: u64 = 10_000;
/// Default of `linger_ms` in milliseconds.
const DEFAULT_LINGER_MS: u64 = 500;
/// Default of `connect_ms` and `frame_ms` in milliseconds, if the settings contain no connect timeout.
const DEFAULT_CONNECT_MS: u64 = 250;
/// Default of `server_idle_ms` in milliseconds, if the settings contain no idle timeout of the index servers.
const DEFAULT_SERVER_IDLE_MS: u64 = 8_000;
/// Default of `streams`, if the settings contain no maximum number of parts per connection.
const DEFAULT_PARTS_PER_CONNECTION: u64 = 32;
/// Default of `server_backlog_bytes` in bytes.
const DEFAULT_UNWRITTEN_BYTES: u64 = 64 * 1024;
/// Default of `unheard_parts`.
const DEFAULT_CANCELS_WITHOUT_REPLY: u64 = 3;
/// Default of `discovery_answer_ms` in milliseconds.
const DEFAULT_DISCOVERY_ANSWER_MS: u64 = 3_000;
/// Default of `watch_silence_ms` in milliseconds. Discovery sends a keep-alive line every 2,000 ms.
const DEFAULT_WATCH_SILENCE_MS: u64 = 2_500;
/// Default of `watch_again_ms` in milliseconds.
const DEFAULT_WATCH_RETRY_MS: u64 = 500;
/// Default of `hand_over_ms` in milliseconds.
const DEFAULT_HANDOVER_MS: u64 = 500;
/// Upper bound in milliseconds for the class deadline from which the default of `stop_within_ms` is computed.
/// The platform waits after SIGTERM for the longest class deadline, or for this bound if it is lower, plus
/// 700 ms, and does not kill the process earlier.
const MAX_DEADLINE_AT_SHUTDOWN_MS: u64 = 3_000;
/// Time in milliseconds that the default of `stop_within_ms` adds to the longest class deadline.
const SHUTDOWN_MARGIN_MS: u64 = 400;

/// The keys of the object `transport`. A value is in milliseconds if its key ends in `_ms`, in bytes if its
/// key ends in `_bytes`, and a count otherwise.
const TRANSPORT_KEYS: [&str; 18] = [
    "unheard_parts",
    "first_ms",
    "frame_ms",
    "request_ms",
    "client_idle_ms",
    "answer_write_ms",
    "linger_ms",
    "connect_ms",
    "server_idle_ms",
    "streams",
    "server_backlog_bytes",
    "server_connections",
    "client_connections",
    "discovery_answer_ms",
    "watch_silence_ms",
    "watch_again_ms",
    "hand_over_ms",
    "stop_within_ms",
];

/// Timeouts and limits of the sockets. Each field has a key in the object `transport` of the configuration
/// file.
#[derive(Clone, Debug, PartialEq)]
pub struct Transport {
    /// Maximum time from accepting a client connection to the last byte of its first request (`first_ms`).
    pub first_request_timeout: Duration,
    /// Maximum time from the first byte of a request to its last byte (`request_ms`).
    pub request_timeout: Duration,
    /// Maximum time that a client connection may be idle between requests (`client_idle_ms`).
    pub client_idle_timeout: Duration,
    /// Maximum time for writing a response to a client, which depends on how fast the client reads it
    /// (`answer_write_ms`).
    pub answer_write_timeout: Duration,
    /// Maximum duration of a lingering close: how long input is still read after the front node has closed
    /// its side of a client connection, so that the client can receive the last response (`linger_ms`).
    pub linger: Duration,
    /// Maximum time for establishing a connection to an index server (`connect_ms`).
    pub connect_timeout: Duration,
    /// Maximum time from the first byte of a frame from an index server to its last byte (`frame_ms`).
    pub frame_timeout: Duration,
    /// Maximum time without traffic on a connection to an index server (`server_idle_ms`).
    pub server_idle_timeout: Duration,
    /// Maximum number of parts in flight on one connection to an index server (`streams`).
    pub max_parts_per_connection: usize,
    /// Maximum number of bytes that wait to be written on one connection to an index server
    /// (`server_backlog_bytes`).
    pub max_unwritten_bytes: usize,
    /// Number of consecutively cancelled parts, with nothing received in between, after which no more parts
    /// are sent on a connection to an index server (`unheard_parts`).
    pub max_cancels_without_reply: usize,
    /// Maximum number of connections to index servers (`server_connections`).
    pub max_server_connections: usize,
    /// Maximum number of client connections (`client_connections`).
    pub max_client_connections: usize,
    /// Maximum time from connecting to discovery to the first line of its response (`discovery_answer_ms`).
    pub discovery_answer_timeout: Duration,
    /// Time without a complete line after which a watch is considered lost (`watch_silence_ms`).
    pub watch_silence_timeout: Duration,
    /// Longest mean delay before a watch is opened again if discovery pushes the endpoint list
    /// (`watch_again_ms`). Taken at the start.
    pub watch_retry_delay: Duration,
    /// Time after SIGTERM during which new client connections are still accepted (`hand_over_ms`).
    pub handover_period: Duration,
    /// Time after SIGTERM within which every accepted query must have its answer (`stop_within_ms`).
    pub shutdown_timeout: Duration,
}

/// The maximum numbers of connections. Both kinds share the file descriptors of the process.
struct ConnectionLimits {
    servers: usize,
    clients: usize,
}

/// Reads values of the object `transport`, all of which must be more than 0.
struct TransportReader<'a>(&'a Value);

impl TransportReader<'_> {
    fn count(&self, name: &str, default: u64) -> Parsed<u64> {
        let value = optional(self.0, name, count)?.unwrap_or(default);
        if value == 0 {
            return Err(FieldError::new(name, "must be more than 0"));
        }
        Ok(value)
    }

    fn millis(&self, name: &str, default: u64) -> Parsed<Duration> {
        self.count(name, default).map(Duration::from_millis)
    }

    fn connection_limits(&self, socket_limit: usize) -> Parsed<ConnectionLimits> {
        let available = socket_limit.saturating_sub(RESERVED_DESCRIPTORS);
        let default_servers = (available as u64 / DEFAULT_SERVER_DIVISOR).max(1);
        let servers = self.count("server_connections", default_servers)? as usize;
        let default_clients = available.saturating_sub(servers).max(1) as u64;
        let clients = self.count("client_connections", default_clients)? as usize;
        if servers + clients > available {
            let problem =
                format!("plus server_connections exceeds what limits.sockets ({socket_limit}) allows");
            return Err(FieldError::new("client_connections", problem));
        }
        Ok(ConnectionLimits { servers, clients })
    }
}

impl Transport {
    /// Parses the object `transport` of the configuration file, or JSON `null` if the object is absent. Some
    /// defaults come from the settings of the deployment. `socket_limit` is the number of file descriptors
    /// that the process may hold.
    ///
    /// # Errors
    /// A key is unknown, a value is not a count or is 0, or the connections need more than `socket_limit`
    /// file descriptors.
    pub(super) fn from_json(
        object: &Value,
        deployment: &Deployment,
        socket_limit: usize,
    ) -> Parsed<Transport> {
        check_keys(object)?;
        let reader = TransportReader(object);
        let settings = &deployment.transport;
        let connect_ms = settings.connect_timeout.map_or(DEFAULT_CONNECT_MS, whole_millis);
        let max_parts = settings.max_parts_per_connection.map_or(DEFAULT_PARTS_PER_CONNECTION, u64::from);
        let limits = reader.connection_limits(socket_limit)?;
        Ok(Transport {
            first_request_timeout: reader.millis("first_ms", DEFAULT_FIRST_REQUEST_MS)?,
            request_timeout: reader.millis("request_ms", DEFAULT_REQUEST_MS)?,
            client_idle_timeout: reader.millis("client_idle_ms", DEFAULT_CLIENT_IDLE_MS)?,
            answer_write_timeout: reader.millis("answer_write_ms", DEFAULT_ANSWER_WRITE_MS)?,
            linger: reader.millis("linger_ms", DEFAULT_LINGER_MS)?,
            frame_timeout: reader.millis("frame_ms", connect_ms)?,
            connect_timeout: reader.millis("connect_ms", connect_ms)?,
            server_idle_timeout: reader.millis("server_idle_ms", default_server_idle_ms(deployment))?,
            max_parts_per_connection: reader.count("streams", max_parts)? as usize,
            max_unwritten_bytes: reader.count("server_backlog_bytes", DEFAULT_UNWRITTEN_BYTES)? as usize,
            max_cancels_without_reply: reader.count("unheard_parts", DEFAULT_CANCELS_WITHOUT_REPLY)? as usize,
            max_server_connections: limits.servers,
            max_client_connections: limits.clients,
            discovery_answer_timeout: reader.millis("discovery_answer_ms", DEFAULT_DISCOVERY_ANSWER_MS)?,
            watch_silence_timeout: reader.millis("watch_silence_ms", DEFAULT_WATCH_SILENCE_MS)?,
            watch_retry_delay: reader.millis("watch_again_ms", DEFAULT_WATCH_RETRY_MS)?,
            handover_period: reader.millis("hand_over_ms", DEFAULT_HANDOVER_MS)?,
            shutdown_timeout: reader.millis("stop_within_ms", default_shutdown_ms(deployment))?,
        })
    }
}

fn check_keys(object: &Value) -> Parsed<()> {
    let Some(members) = object.as_object() else {
        if object.is_null() {
            return Ok(());
        }
        return Err(FieldError::new("", "is not an object"));
    };
    match members.keys().find(|key| !TRANSPORT_KEYS.contains(&key.as_str())) {
        Some(key) => Err(FieldError::new(key, "is not known")),
        None => Ok(()),
    }
}

/// Converts to milliseconds, rounded down but at least 1.
fn whole_millis(micros: Micros) -> u64 {
    (micros.0 / 1000).max(1) as u64
}

/// Returns the default of `server_idle_ms`: four fifths of the idle timeout of the index servers, so that the
/// front node closes an idle connection before the index server does.
fn default_server_idle_ms(deployment: &Deployment) -> u64 {
    let server_timeout = deployment.transport.server_idle_timeout;
    server_timeout.map_or(DEFAULT_SERVER_IDLE_MS, |idle| whole_millis(idle) * 4 / 5).max(1)
}

/// Returns the default of `stop_within_ms`: the longest class deadline, bounded by
/// [`MAX_DEADLINE_AT_SHUTDOWN_MS`], plus [`SHUTDOWN_MARGIN_MS`].
fn default_shutdown_ms(deployment: &Deployment) -> u64 {
    let deadlines = deployment.settings.classes.iter().map(|class| whole_millis(class.deadline));
    let longest = deadlines.max().unwrap_or(MAX_DEADLINE_AT_SHUTDOWN_MS);
    longest.min(MAX_DEADLINE_AT_SHUTDOWN_MS) + SHUTDOWN_MARGIN_MS
}
