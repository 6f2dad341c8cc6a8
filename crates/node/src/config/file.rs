//! The configuration file as a JSON value. Missing keys are taken from the environment, and the limit on file
//! descriptors is lowered to the limit of the process.

use pinetrestle_settings::fields::{FieldError, Parsed};
use serde_json::{Map, Value};
use std::io;

/// Environment variable with the path of the configuration file.
pub(super) const FILE_VARIABLE: &str = "RELAY_CONFIG";
/// Keys that may be absent from the file, each with the environment variable that replaces it.
const KEY_VARIABLES: [(&str, &str); 3] =
    [("name", "RELAY_NAME"), ("listen", "RELAY_LISTEN"), ("discovery", "RELAY_DISCOVERY")];
/// Default of `limits.sockets`: the number of file descriptors that the process may hold.
pub(super) const DEFAULT_SOCKET_LIMIT: u64 = 1024;

/// Returns the path of the configuration file, from the environment variable `RELAY_CONFIG`.
///
/// # Errors
/// `RELAY_CONFIG` is not set or not UTF-8.
pub(crate) fn path_from_environment() -> Parsed<String> {
    std::env::var(FILE_VARIABLE).map_err(|_| FieldError::new(FILE_VARIABLE, "is not set"))
}

/// Parses the configuration file. `path` is its path, and `read` is the result of reading it.
///
/// Absent keys of [`KEY_VARIABLES`] are taken from the environment. `limits.sockets` is lowered to the soft
/// limit on open files of this process.
///
/// # Errors
/// The file could not be read or is not JSON.
pub(crate) fn parse(path: &str, read: io::Result<Vec<u8>>) -> Parsed<Value> {
    let bytes =
        read.map_err(|error| FieldError::new(FILE_VARIABLE, format!("can't be read: {path}: {error}")))?;
    let mut file: Value = serde_json::from_slice(&bytes)
        .map_err(|error| FieldError::new(FILE_VARIABLE, format!("is not JSON: {path}: {error}")))?;
    if let Some(object) = file.as_object_mut() {
        insert_keys_from_environment(object);
        if let Some(limit) = open_file_limit() {
            lower_socket_limit(object, limit);
        }
    }
    Ok(file)
}

fn insert_keys_from_environment(object: &mut Map<String, Value>) {
    for (key, variable) in KEY_VARIABLES {
        if object.contains_key(key) {
            continue;
        }
        if let Ok(value) = std::env::var(variable) {
            object.insert(key.to_owned(), Value::String(value));
        }
    }
}

fn lower_socket_limit(object: &mut Map<String, Value>, limit: u64) {
    let limits = object.entry("limits").or_insert_with(|| Value::Object(Map::default()));
    let configured = limits.get("sockets").cloned().unwrap_or_else(|| DEFAULT_SOCKET_LIMIT.into());
    let exceeds_limit = configured.as_u64().is_some_and(|sockets| sockets > limit);
    if let Some(limits) = limits.as_object_mut().filter(|_| exceeds_limit) {
        limits.insert("sockets".to_owned(), limit.into());
    }
}

/// Returns the soft limit on open files of this process (`RLIMIT_NOFILE`), or `None` if the system reports no
/// number.
fn open_file_limit() -> Option<u64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
