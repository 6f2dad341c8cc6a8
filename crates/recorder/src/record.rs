//! A record of the flight recorder: its fields, its binary encoding and the kinds of events.

/// Size of an encoded record in bytes.
pub const RECORD_BYTES: usize = 32;

/// A 64-bit key that identifies a query: the value of a query id of 16 hex digits, and a hash of any other
/// id.
pub type QueryKey = u64;

/// Offset basis of FNV-1a, 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of FNV-1a, 64 bits.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Number of hex digits of a query id whose value is its key.
const HEX_ID_DIGITS: usize = 16;

/// Returns the key of a query id.
pub fn query_key(id: &str) -> QueryKey {
    let is_hex_id = id.len() == HEX_ID_DIGITS && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    match QueryKey::from_str_radix(id, 16) {
        Ok(key) if is_hex_id => key,
        _ => fnv_1a(id.as_bytes()),
    }
}

/// Computes the 64-bit FNV-1a hash. Unlike the standard library's hash, it is stable across builds, so that
/// keys in written records stay valid.
fn fnv_1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// The bit of [`Record::shard`] that is set for a part of the query's second step.
const SECOND_STEP_BIT: u32 = 1 << 31;

/// Suffix of the wire id of a part of the second step.
const SECOND_STEP_SUFFIX: &str = ".phase2";

/// A key that identifies a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartKey {
    /// The key of the query that the part belongs to.
    pub query: QueryKey,
    /// The shard number. The highest bit is set for a part of the second step, as in [`Record::shard`].
    pub shard: u32,
}

/// Returns the key of a part's wire id (`QUERY.SHARD` or `QUERY.SHARD.phase2`). Any other id is treated as a
/// query id, with shard 0.
pub fn part_key(id: &str) -> PartKey {
    let (first_step_id, second_step) = match id.strip_suffix(SECOND_STEP_SUFFIX) {
        Some(first_step_id) => (first_step_id, SECOND_STEP_BIT),
        None => (id, 0),
    };
    let query_and_shard =
        first_step_id.rsplit_once('.').and_then(|(query, shard)| Some((query, shard.parse::<u32>().ok()?)));
    match query_and_shard {
        Some((query, shard)) => PartKey { query: query_key(query), shard: shard | second_step },
        None => PartKey { query: query_key(id), shard: 0 },
    }
}

/// Declares [`EventKind`]. Each variant has the number that is stored for it, the label that is printed for
/// it, and its documentation. The numbers are part of the storage format: a number that was ever used is not
/// reassigned.
macro_rules! event_kinds {
    ($($name:ident $number:literal $label:literal $about:literal,)*) => {
        /// The kind of event that a record describes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u8)]
        pub enum EventKind {
            $(#[doc = $about] $name = $number,)*
        }

        impl EventKind {
            /// All event kinds.
            pub const ALL: &'static [EventKind] = &[$(EventKind::$name),*];

            /// Returns the event kind that is stored as `number`, or `None` if there is none.
            pub fn from_number(number: u8) -> Option<EventKind> {
                match number {
                    $($number => Some(EventKind::$name),)*
                    _ => None,
                }
            }

            /// Returns the label that is printed in a timeline.
            pub fn label(self) -> &'static str {
                match self {
                    $(EventKind::$name => $label,)*
                }
            }
        }
    };
}

event_kinds! {
    RequestRead 1 "request read"
        "A request was read completely; `value`: its age at that time, in microseconds.",
    QueryAccepted 2 "query accepted"
        "The query was passed to the decision core; `value`: number of its parts.",
    QueryNotAccepted 3 "query not accepted"
        "The query was not accepted: its id is in use or was used recently, or too many queries and parts are open.",
    AttemptDecided 4 "attempt decided"
        "The decision core decided on an attempt of the part; `value`: replica of the attempt.",
    PartQueued 5 "part queued"
        "The part was queued on a connection; `value`: replica of the connection.",
    NoConnection 6 "no connection"
        "No connection to the replica was available for the part; `value`: the replica.",
    FirstByteWritten 7 "first byte written"
        "The first byte of the part's frame was written.",
    LastByteWritten 8 "last byte written"
        "The last byte of the part's frame was written; `value`: number of parts in the frame.",
    AttemptCancelled 9 "attempt cancelled"
        "The attempt was cancelled; `detail`: 1 if the write of its call had not started.",
    CancelWritten 10 "cancel written"
        "The frame that cancels the part was written.",
    AnswerRead 11 "answer read"
        "An answer was read; `detail`: 0 served, 1 error, 2 rejected, 3 too late.",
    ReplyDecided 14 "reply decided"
        "The reply to the client was decided; `detail`: 0 served, 1 rejected, 2 failed.",
    ReplyWritten 15 "reply written"
        "The last byte of the reply to the client was written; `value`: its HTTP status.",
    ReplyNotWritten 16 "reply not written"
        "The reply to the client could not be written; `value`: its HTTP status.",
    ClientDisconnected 17 "client disconnected"
        "The front node detected that the client had closed its connection.",
    ConnectionOpening 18 "connection opening"
        "The front node started to open a connection to an index server; `value`: its replica.",
    ConnectionUp 19 "connection up"
        "The connection was established.",
    BytesRead 20 "bytes read"
        "Bytes were read from a connection to an index server; `value`: their number.",
    ConnectionDraining 21 "connection draining"
        "The connection accepts no more calls; `detail`: 1 if the index server does not respond on it.",
    ConnectionClosed 22 "connection closed"
        "The connection has ended; `value`: number of parts that were in flight on it.",
    InvariantViolated 23 "invariant violated"
        "A violated invariant was detected; `detail`: number of the invariant.",
    ProcessPaused 24 "process paused"
        "The process did not run for some time; `value`: duration in microseconds.",
}

/// An event of a query, part or connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Time of the event in microseconds since the recorder was created.
    pub at_us: u64,
    /// The key of the query, or 0 if the event belongs to no query.
    pub query: QueryKey,
    /// The shard number of the part, or 0 if the event belongs to no part. The highest bit is set for a part
    /// of the second step.
    pub shard: u32,
    /// The number of the connection, or 0 if the event belongs to no connection.
    pub connection: u32,
    /// A number whose meaning depends on the event kind and is documented at each [`EventKind`].
    pub value: u32,
    /// The kind of event.
    pub kind: EventKind,
    /// A code whose meaning depends on the event kind and is documented at each [`EventKind`].
    pub detail: u8,
}

impl Record {
    /// Creates a record of an event of a query. The time is 0 until
    /// [`Recorder::record`](crate::Recorder::record) sets it.
    pub fn for_query(kind: EventKind, query: QueryKey) -> Record {
        Record { at_us: 0, query, shard: 0, connection: 0, value: 0, kind, detail: 0 }
    }

    /// Creates a record of an event of a part, which is given by its wire id.
    pub fn for_part(kind: EventKind, id: &str) -> Record {
        let part = part_key(id);
        Record { shard: part.shard, ..Record::for_query(kind, part.query) }
    }

    /// Sets the number of the connection. Only the lower 32 bits are stored.
    pub fn on_connection(self, connection: u64) -> Record {
        Record { connection: connection as u32, ..self }
    }

    /// Sets the value. A value over `u32::MAX` is stored as `u32::MAX`.
    pub fn with_value(self, value: u64) -> Record {
        Record { value: u32::try_from(value).unwrap_or(u32::MAX), ..self }
    }

    /// Sets the detail.
    pub fn with_detail(self, detail: u8) -> Record {
        Record { detail, ..self }
    }

    /// Returns the shard number without the bit for the second step.
    pub fn shard_number(&self) -> u32 {
        self.shard & !SECOND_STEP_BIT
    }

    /// Returns whether the part belongs to the query's second step.
    pub fn is_second_step(&self) -> bool {
        self.shard & SECOND_STEP_BIT != 0
    }

    /// Encodes the record: the fields in order of declaration, big-endian, followed by two unused bytes.
    pub fn to_bytes(&self) -> [u8; RECORD_BYTES] {
        let mut bytes = [0; RECORD_BYTES];
        bytes[..8].copy_from_slice(&self.at_us.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.query.to_be_bytes());
        bytes[16..20].copy_from_slice(&self.shard.to_be_bytes());
        bytes[20..24].copy_from_slice(&self.connection.to_be_bytes());
        bytes[24..28].copy_from_slice(&self.value.to_be_bytes());
        bytes[28] = self.kind as u8;
        bytes[29] = self.detail;
        bytes
    }

    /// Decodes a record. Returns `None` if the event kind is unknown to this version.
    pub fn from_bytes(bytes: &[u8; RECORD_BYTES]) -> Option<Record> {
        let u64_at = |from: usize| bytes[from..].first_chunk::<8>().map(|word| u64::from_be_bytes(*word));
        let u32_at = |from: usize| bytes[from..].first_chunk::<4>().map(|word| u32::from_be_bytes(*word));
        Some(Record {
            at_us: u64_at(0)?,
            query: u64_at(8)?,
            shard: u32_at(16)?,
            connection: u32_at(20)?,
            value: u32_at(24)?,
            kind: EventKind::from_number(bytes[28])?,
            detail: bytes[29],
        })
    }
}
