//! Structured logging: each record is one line of JSON on standard error, written by a thread of
//! `slog_async`.

use slog::{o, Drain, Level, LevelFilter, Logger};

/// Maximum number of records that wait to be written. `slog_async` drops further records and reports how
/// many.
const QUEUE_CAPACITY: usize = 4_096;

/// Creates a logger that adds the member's id to each record (0 for the `fleet` program itself).
pub fn logger(member: u64) -> Logger {
    let json = slog_json::Json::new(std::io::stderr()).add_default_keys().build().fuse();
    let filtered = LevelFilter::new(json, Level::Info).fuse();
    let drain = slog_async::Async::new(filtered).chan_size(QUEUE_CAPACITY).build().fuse();
    Logger::root(drain, o!("member" => member))
}
