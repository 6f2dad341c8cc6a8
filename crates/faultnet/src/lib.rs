//! A TCP proxy that injects network faults between processes on loopback, for tests with several processes.
//! Each [`Proxy`] listens on an address and forwards every connection to one target, subject to its current
//! [`Fault`].
//!
//! | fault | open connections | new connections | bytes |
//! | --- | --- | --- | --- |
//! | [`Fault::Heal`] | kept | accepted | forwarded |
//! | [`Fault::Drop`] | closed immediately | closed immediately | none |
//! | [`Fault::Stall`] | kept | accepted | neither direction is read |
//! | [`Fault::OneWay`] | kept | accepted | forwarded to the target; the target's bytes aren't read |
//! | [`Fault::Delay`] | kept | accepted | forwarded, each chunk after the delay plus a random jitter |
//!
//! Bytes that aren't read stay in the kernel's buffers and are forwarded once the fault is healed, as after a
//! stall of a real link. A proxy forwards at most [`MAX_CONNECTIONS`] connections at once and closes further
//! ones immediately; it reads at most [`MAX_CHUNK_BYTES`] at a time. Every change of the fault is logged, and
//! every end of a connection with its reason.

#![warn(missing_docs)]

mod flow;
mod proxy;

pub use flow::{Direction, Flow};
pub use proxy::Proxy;

/// Limit of the connections that a proxy forwards at once.
pub const MAX_CONNECTIONS: usize = 64;
/// Size of the read buffer of one direction, in bytes.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// The fault that a proxy injects into its link.
///
/// The log contains the variant names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault: bytes are forwarded.
    Heal,
    /// The link is down: open and new connections are closed.
    Drop,
    /// No bytes are forwarded in either direction; connections stay open.
    Stall,
    /// Bytes are forwarded to the target only; connections stay open.
    OneWay,
    /// Bytes are forwarded after a delay.
    Delay {
        /// Minimum delay of a chunk in milliseconds.
        ms: u64,
        /// Upper bound of the random additional delay in milliseconds; the proxy's seed determines the random
        /// numbers.
        jitter_ms: u64,
    },
}
