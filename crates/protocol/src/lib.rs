//! The service's wire protocols as sans-I/O state machines.
//!
//! Every machine in this crate is fed bytes and returns typed values; none of them knows a socket, a clock or a
//! runtime. The result does not depend on how the bytes were split into reads, and input that does not follow the
//! protocol gives a typed error. The names and formats on the wire are defined in this crate only.
//!
//! * [`head`], [`requests`]: HTTP/1.1 messages ([RFC 9112](https://www.rfc-editor.org/rfc/rfc9112)).
//! * [`query`]: bodies of client queries and of their answers.
//! * [`frames`], [`connection`]: the framed protocol between front nodes and index servers.
//! * [`endpoint_list`], [`watch`], [`watch_supervisor`], [`json_stream`]: the endpoint list of discovery, and watches on it.
//! * [`names`]: the configurable names on the wire.

#![warn(missing_docs)]

mod chunks;
pub mod connection;
pub mod endpoint_list;
pub mod frames;
pub mod head;
pub mod json_stream;
pub mod names;
pub mod query;
pub mod requests;
pub mod watch;
pub mod watch_supervisor;

/// Largest HTTP message body accepted, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest HTTP message head accepted, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
