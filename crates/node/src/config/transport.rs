//! Timeouts and capacities of the sockets: the object `transport` of the configuration file, with its defaults.

use pinetrestle::interface::Micros;
use pinetrestle_settings::fields::{count, optional, FieldError, Parsed};
use pinetrestle_settings::Deployment;
use serde_json::Value;
use std::time::Duration;

/// Connections of clients that gave up their place to others and are still read on, at most. They hold descriptors
/// beside those of the connections that count; one more is closed without lingering, or a flood of silent clients
/// would hold up whoever connects after it.
pub(crate) const MAX_LINGERING_CLIENTS: usize = 8;
/// Descriptors that no connection within the capacities uses: standard streams, the poller, signals, the listener,
/// files that are read, discovery (a watch, two that are being opened, some that end), spares, and the clients'
/// connections of [`MAX_LINGERING_CLIENTS`].
const OTHER_DESCRIPTORS: usize = 24 + MAX_LINGERING_CLIENTS;
/// The share of the descriptors, as a divisor, that connections to index servers get by default.
const DEFAULT_SERVER_SHARE: u64 = 3;

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
/// Default of `connect_ms` and `frame_ms` in milliseconds, where the settings state no connect timeout.
const DEFAULT_CONNECT_MS: u64 = 250;
/// Default of `server_idle_ms` in milliseconds, where the settings state no idle time of index servers.
const DEFAULT_SERVER_IDLE_MS: u64 = 8_000;
/// Default of `streams`, where the settings state none.
const DEFAULT_STREAMS: u64 = 32;
/// Default of `server_backlog_bytes` in bytes.
const DEFAULT_WRITE_BACKLOG: u64 = 64 * 1024;
/// Default of `unheard_parts`.
const DEFAULT_CANCELS_WITHOUT_REPLY: u64 = 3;
/// Default of `discovery_answer_ms` in milliseconds.
const DEFAULT_DISCOVERY_ANSWER_MS: u64 = 3_000;
/// Default of `watch_silence_ms` in milliseconds; a sign of life is due every 2,000 ms.
const DEFAULT_WATCH_SILENCE_MS: u64 = 2_500;
/// Default of `watch_again_ms` in milliseconds.
const DEFAULT_WATCH_RETRY_MS: u64 = 500;
/// Default of `hand_over_ms` in milliseconds.
const DEFAULT_HANDOVER_MS: u64 = 500;
/// The longest deadline in milliseconds that the default of `stop_within_ms` waits for. The platform kills no earlier
/// than the longest deadline, or this, plus 700 ms after SIGTERM.
const MAX_DEADLINE_AT_SHUTDOWN_MS: u64 = 3_000;
/// What the default of `stop_within_ms` adds to the longest deadline, in milliseconds.
const SHUTDOWN_MARGIN_MS: u64 = 400;

/// The keys of the object `transport`, in milliseconds, bytes or counts.
const KEYS: [&str; 18] = [
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

/// Timeouts and capacities of the sockets. Each has a key in the object `transport` of the configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct Transport {
    /// From accepting a client's connection to the last byte of its first request (`first_ms`).
    pub first_request_timeout: Duration,
    /// From the first byte of a request to its last (`request_ms`).
    pub request_timeout: Duration,
    /// How long a client's connection may be idle between requests (`client_idle_ms`).
    pub client_idle_timeout: Duration,
    /// How long a client may take to read an answer (`answer_write_ms`).
    pub answer_write_timeout: Duration,
    /// How long a connection that we close is read on, so that the last answer reaches its client (`linger_ms`).
    pub linger: Duration,
    /// From connecting to an index server until the connection is established (`connect_ms`).
    pub connect_timeout: Duration,
    /// From the first byte of an index server's frame to its last (`frame_ms`).
    pub frame_timeout: Duration,
    /// How long a connection to an index server may be without traffic (`server_idle_ms`).
    pub server_idle_timeout: Duration,
    /// Parts in flight on one connection to an index server, at most (`streams`).
    pub max_streams: usize,
    /// Bytes that may wait to be written on one connection to an index server (`server_backlog_bytes`).
    pub max_write_backlog: usize,
    /// Parts cancelled in a row with nothing received between, after which a connection to an index server gets no
    /// more calls (`unheard_parts`).
    pub max_cancels_without_reply: usize,
    /// Connections to index servers, at most (`server_connections`).
    pub max_server_connections: usize,
    /// Connections of clients, at most (`client_connections`).
    pub max_client_connections: usize,
    /// From calling discovery to the first line of its answer (`discovery_answer_ms`).
    pub discovery_answer_timeout: Duration,
    /// A watch that sends no complete line for this long is lost (`watch_silence_ms`).
    pub watch_silence_timeout: Duration,
    /// Where the endpoint list is pushed, the delay before a lost watch is opened again (`watch_again_ms`).
    pub watch_retry_delay: Duration,
    /// After SIGTERM, new connections are accepted for this long (`hand_over_ms`).
    pub handover_period: Duration,
    /// From SIGTERM until every accepted query must have its answer (`stop_within_ms`).
    pub shutdown_timeout: Duration,
}

/// The maximum numbers of connections, which share the descriptors.
struct ConnectionLimits {
    servers: usize,
    clients: usize,
}

/// Reads the values of the object `transport`. A value that is stated must be more than 0.
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

    fn connection_limits(&self, sockets: usize) -> Parsed<ConnectionLimits> {
        let available = sockets.saturating_sub(OTHER_DESCRIPTORS);
        let default_servers = (available as u64 / DEFAULT_SERVER_SHARE).max(1);
        let servers = self.count("server_connections", default_servers)? as usize;
        let default_clients = available.saturating_sub(servers).max(1) as u64;
        let clients = self.count("client_connections", default_clients)? as usize;
        if servers + clients > available {
            let problem = format!("leaves no room: limits.sockets is {sockets}");
            return Err(FieldError::new("client_connections", problem));
        }
        Ok(ConnectionLimits { servers, clients })
    }
}

impl Transport {
    /// Reads the object `transport` of the file (JSON `null` where it is absent) with defaults from the deployment's
    /// settings; `sockets` is the number of descriptors that the process may hold.
    ///
    /// # Errors
    ///
    /// The key is unknown, its value no count or 0, or the connections together need more than `sockets`.
    pub(super) fn read(object: &Value, deployment: &Deployment, sockets: usize) -> Parsed<Transport> {
        check_keys(object)?;
        let reader = TransportReader(object);
        let stated = &deployment.transport;
        let connect_ms = stated.connect_timeout.map_or(DEFAULT_CONNECT_MS, whole_millis);
        let streams = stated.streams_per_conn.map_or(DEFAULT_STREAMS, u64::from);
        let limits = reader.connection_limits(sockets)?;
        Ok(Transport {
            first_request_timeout: reader.millis("first_ms", DEFAULT_FIRST_REQUEST_MS)?,
            request_timeout: reader.millis("request_ms", DEFAULT_REQUEST_MS)?,
            client_idle_timeout: reader.millis("client_idle_ms", DEFAULT_CLIENT_IDLE_MS)?,
            answer_write_timeout: reader.millis("answer_write_ms", DEFAULT_ANSWER_WRITE_MS)?,
            linger: reader.millis("linger_ms", DEFAULT_LINGER_MS)?,
            frame_timeout: reader.millis("frame_ms", connect_ms)?,
            connect_timeout: reader.millis("connect_ms", connect_ms)?,
            server_idle_timeout: reader.millis("server_idle_ms", default_server_idle_ms(deployment))?,
            max_streams: reader.count("streams", streams)? as usize,
            max_write_backlog: reader.count("server_backlog_bytes", DEFAULT_WRITE_BACKLOG)? as usize,
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
    match members.keys().find(|key| !KEYS.contains(&key.as_str())) {
        Some(key) => Err(FieldError::new(key, "is not known")),
        None => Ok(()),
    }
}

fn whole_millis(micros: Micros) -> u64 {
    (micros.0 / 1000).max(1) as u64
}

/// An index server closes at its own idle time at the latest; ours lies a fifth before it.
fn default_server_idle_ms(deployment: &Deployment) -> u64 {
    let stated = deployment.transport.conn_idle;
    stated.map_or(DEFAULT_SERVER_IDLE_MS, |idle| whole_millis(idle) * 4 / 5).max(1)
}

fn default_shutdown_ms(deployment: &Deployment) -> u64 {
    let deadlines = deployment.settings.classes.iter().map(|class| whole_millis(class.deadline));
    let longest = deadlines.max().unwrap_or(MAX_DEADLINE_AT_SHUTDOWN_MS);
    longest.min(MAX_DEADLINE_AT_SHUTDOWN_MS) + SHUTDOWN_MARGIN_MS
}
