//! Sans-I/O implementations of the service's wire protocols.
//!
//! A client sends a query to a front node over HTTP. The query consists of parts, one per shard. The front
//! node sends each part to an index server that holds the shard, and combines the answers into one response.
//! It learns the addresses of the index servers from a discovery service, which publishes the endpoint list.
//!
//! Every parser and state machine in this crate is fed bytes and returns typed values. None of them opens a
//! socket, reads a clock or depends on an async runtime; the caller passes the time in. The result does not
//! depend on how the bytes were split into reads, and input that violates the protocol gives a typed error.
//! No other crate defines names or formats used on the wire.
//!
//! * [`head`], [`requests`]: HTTP/1.1 messages ([RFC 9112](https://www.rfc-editor.org/rfc/rfc9112)).
//! * [`query`], [`query_text`]: bodies of client queries and of the responses to them.
//! * [`frames`], [`connection`]: the framed protocol between front nodes and index servers.
//! * [`endpoint_list`], [`json_stream`], [`watch`], [`watch_supervisor`]: the endpoint list, and the watches
//!   through which a front node receives its updates.
//! * [`names`]: the header fields, paths, JSON keys and frame types, which a deployment can configure.

#![warn(missing_docs)]

mod chunks;
pub mod connection;
pub mod endpoint_list;
pub mod frames;
pub mod head;
pub mod json_stream;
pub mod names;
pub mod query;
pub mod query_text;
pub mod requests;
pub mod watch;
pub mod watch_supervisor;

/// Maximum size of an HTTP message body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of an HTTP message head (start line and header fields), in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
