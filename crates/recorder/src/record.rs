//! One record, and what it says.

/// Bytes of a record when it is written out.
pub const BYTES: usize = 32;

/// A query by its id: sixteen hex digits are their value, anything else is hashed.
pub type Key = u64;

/// The key of a query's id.
pub fn key_of(id: &str) -> Key {
    let hex = id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    match Key::from_str_radix(id, 16) {
        Ok(key) if hex => key,
        // FNV-1a, 64 bits: stable from one build to the next, which the standard library's hash is not.
        _ => id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        }),
    }
}

/// The bit of [`Record::shard`] that marks a part of a second step.
const SECOND: u32 = 1 << 31;

/// The query's key and the shard, with the mark of a second step, of a part's id on the wire.
pub fn part_of(id: &str) -> (Key, u32) {
    let (rest, second) = match id.strip_suffix(".phase2") {
        Some(rest) => (rest, SECOND),
        None => (id, 0),
    };
    match rest.rsplit_once('.').and_then(|(query, shard)| Some((query, shard.parse::<u32>().ok()?))) {
        Some((query, shard)) => (key_of(query), shard | second),
        None => (key_of(id), 0),
    }
}

macro_rules! steps {
    ($($name:ident $number:literal $word:literal $about:literal,)*) => {
        /// What a record tells.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u8)]
        pub enum Step {
            $(#[doc = $about] $name = $number,)*
        }

        impl Step {
            /// All of them.
            pub const ALL: &'static [Step] = &[$(Step::$name),*];

            /// The step of a number.
            pub fn from_number(number: u8) -> Option<Step> {
                match number {
                    $($number => Some(Step::$name),)*
                    _ => None,
                }
            }

            /// A word for it.
            pub fn word(self) -> &'static str {
                match self {
                    $(Step::$name => $word,)*
                }
            }
        }
    };
}

steps! {
    Read 1 "request read" "A request was read whole; `number`: its age then, in microseconds.",
    Taken 2 "query taken" "The module was given the query; `number`: its parts.",
    NotTaken 3 "query not taken" "The query was not taken: its id is in use, or too much is held.",
    Decided 4 "part decided" "The module wants an attempt; `number`: its replica.",
    InLine 5 "part in line" "The part stands in line on a connection; `number`: its replica.",
    NoConnection 6 "no connection" "No connection could take the part; `number`: its replica.",
    FirstByte 7 "first byte written" "The first byte of the part's frame was written.",
    LastByte 8 "last byte written" "The last byte of the part's frame was written; `number`: parts of the frame.",
    Cancelled 9 "given up" "The attempt is given up; `detail`: 1 if it was taken back unwritten.",
    CancelWritten 10 "cancel written" "The frame that gives the part up was written.",
    Heard 11 "answer read" "An answer was read; `detail`: 0 served, 1 error, 2 turned away, 3 too late.",
    Reply 14 "answer decided" "The final answer is decided; `detail`: 0 served, 1 refused, 2 failed.",
    ReplyWritten 15 "answer written" "The last byte of the final answer was written; `number`: its status.",
    ReplyFailed 16 "answer not written" "The final answer could not be written; `number`: its status.",
    ClientEnd 17 "client's end read" "The client was found to have left.",
    Connecting 18 "connecting" "A connection was begun; `number`: its replica.",
    Up 19 "connection up" "The connection came up.",
    BytesRead 20 "bytes read" "Bytes came on a connection; `number`: how many.",
    Shut 21 "connection shut" "The connection takes no more parts; `detail`: 1 if nothing was heard on it.",
    Ended 22 "connection ended" "The connection has ended; `number`: parts that were out.",
    Broken 23 "invariant broken" "An invariant was found broken; `detail`: which.",
    Paused 24 "pause seen" "The process had not run for a while; `number`: microseconds.",
}

/// One step of one query, part or connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// When, in microseconds from the recorder's start.
    pub at: u64,
    /// Whose, or 0.
    pub query: Key,
    /// The part's shard, or 0; the highest bit marks a second step.
    pub shard: u32,
    /// The connection's number, or 0.
    pub conn: u32,
    /// As the step has it.
    pub number: u32,
    /// The step.
    pub step: Step,
    /// As the step has it.
    pub detail: u8,
}

impl Record {
    /// A step of a query; the recorder puts the moment in.
    pub fn of(step: Step, query: Key) -> Record {
        Record { at: 0, query, shard: 0, conn: 0, number: 0, step, detail: 0 }
    }

    /// A step of a part, by its id on the wire.
    pub fn of_part(step: Step, id: &str) -> Record {
        let (query, shard) = part_of(id);
        Record { shard, ..Record::of(step, query) }
    }

    /// The same on a connection.
    pub fn on(self, conn: u64) -> Record {
        Record { conn: conn as u32, ..self }
    }

    /// The same with its number.
    pub fn with(self, number: u64) -> Record {
        Record { number: u32::try_from(number).unwrap_or(u32::MAX), ..self }
    }

    /// The same with its detail.
    pub fn detail(self, detail: u8) -> Record {
        Record { detail, ..self }
    }

    /// The shard, and whether the part is one of a second step.
    pub fn shard(&self) -> (u32, bool) {
        (self.shard & !SECOND, self.shard & SECOND != 0)
    }

    /// The record as bytes.
    pub fn to_bytes(&self) -> [u8; BYTES] {
        let mut bytes = [0; BYTES];
        bytes[..8].copy_from_slice(&self.at.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.query.to_be_bytes());
        bytes[16..20].copy_from_slice(&self.shard.to_be_bytes());
        bytes[20..24].copy_from_slice(&self.conn.to_be_bytes());
        bytes[24..28].copy_from_slice(&self.number.to_be_bytes());
        bytes[28] = self.step as u8;
        bytes[29] = self.detail;
        bytes
    }

    /// The record that these bytes say; none where they say no step that is known here.
    pub fn from_bytes(bytes: &[u8; BYTES]) -> Option<Record> {
        let long = |from: usize| bytes[from..].first_chunk::<8>().map(|word| u64::from_be_bytes(*word));
        let short = |from: usize| bytes[from..].first_chunk::<4>().map(|word| u32::from_be_bytes(*word));
        Some(Record {
            at: long(0)?,
            query: long(8)?,
            shard: short(16)?,
            conn: short(20)?,
            number: short(24)?,
            step: Step::from_number(bytes[28])?,
            detail: bytes[29],
        })
    }
}
