//! The flight recorder of a front node: a bounded ring buffer of events about recent queries and parts.
//!
//! A query is split into parts, each for one shard. Sending a part to an index server, which is called a
//! replica of its shard, is an attempt. A [`Record`] is one event of a query, part or connection, and takes
//! up [`RECORD_BYTES`] bytes. Queries of some classes have a second step: more parts, sent once the parts of
//! the first step are answered.
//!
//! A [`Recorder`] allocates its ring buffer once, at full size. When the buffer is full, a new record
//! overwrites the oldest. Recording an event costs one clock reading and one store; with a disabled recorder
//! it costs one comparison.
//!
//! [`Recorder::read_from`] copies a few records at a time, so that the ring buffer can be written out without
//! copying it as a whole. [`log_lines`] encodes records as text lines that can be mixed with the lines of a
//! log, and decodes them from such a log. [`timeline`] prints the timeline of one query.

#![warn(missing_docs)]

pub mod log_lines;
mod record;
mod ring;
pub mod timeline;

pub use record::{part_key, query_key, EventKind, PartKey, QueryKey, Record, RECORD_BYTES};
pub use ring::{RecordBatch, Recorder};
