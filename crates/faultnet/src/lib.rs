//! A TCP proxy for tests with several processes: each [`Proxy`] listens on loopback, forwards every connection to
//! one target, subject to the [`Fault`] it is set to.
//!
//! | fault | connections open | new connections | bytes |
//! | --- | --- | --- | --- |
//! | [`Fault::Heal`] | kept | taken | forwarded |
//! | [`Fault::Drop`] | closed at once | closed at once | none |
//! | [`Fault::Stall`] | kept | taken | held both ways (neither side's bytes are read) |
//! | [`Fault::OneWay`] | kept | taken | forwarded towards the target, held back from it |
//! | [`Fault::Delay`] | kept | taken | forwarded, each chunk after the delay and a seeded jitter |
//!
//! Held bytes stay in the kernel's buffers and flow again on heal, as after a stall of a real link. Bounds: at
//! most [`MAX_CONNECTIONS`] at once (more are closed at once), chunks of [`MAX_CHUNK_BYTES`] bytes. Every change of fault
//! and every end of a connection is logged with its reason.

#![warn(missing_docs)]

mod flow;
mod proxy;

pub use flow::{Direction, Flow};
pub use proxy::Proxy;

/// Most connections that one proxy forwards at once.
pub const MAX_CONNECTIONS: usize = 64;
/// Most bytes read at a time.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// The fault of a proxy's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// None: bytes pass.
    Heal,
    /// The link is down: every connection is closed, new ones too.
    Drop,
    /// Nothing passes either way; connections stay open.
    Stall,
    /// Bytes pass towards the target only.
    OneWay,
    /// Bytes pass late.
    Delay {
        /// Milliseconds each chunk waits.
        ms: u64,
        /// Up to this many milliseconds more, drawn from the proxy's seed.
        jitter_ms: u64,
    },
}
