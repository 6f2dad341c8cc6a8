//! Structured logs: one JSON object a line on standard error, written by a thread of the logging library.

use slog::{o, Drain, Logger};

/// A logger for member `id` (0 for the `fleet` program itself).
pub fn logger(id: u64) -> Logger {
    let json = slog_json::Json::new(std::io::stderr()).add_default_keys().build().fuse();
    let json = slog::LevelFilter::new(json, slog::Level::Info).fuse();
    let drain = slog_async::Async::new(json).chan_size(4_096).build().fuse();
    Logger::root(drain, o!("member" => id))
}
