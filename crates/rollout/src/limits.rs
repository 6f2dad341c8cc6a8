//! Limits on the size of the replicated state.

/// Maximum number of index servers in the state.
pub const MAX_SERVERS: usize = 1_024;
/// Maximum length of a name (version, server, zone, command id), in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of operator commands whose outcomes are kept to recognize repeated commands.
pub const MAX_STORED_OUTCOMES: usize = 128;
/// Maximum length of the stored reason of a failed step, in characters.
pub(crate) const MAX_FAILURE_REASON_CHARS: usize = MAX_NAME_BYTES;
/// Maximum length of the stored reason of an operator's halt, in characters.
pub(crate) const MAX_HALT_REASON_CHARS: usize = 4 * MAX_NAME_BYTES;

/// Returns whether `name` is accepted by the state: not empty and at most [`MAX_NAME_BYTES`] long.
pub(crate) fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// Returns the first `max_chars` characters of `text`.
pub(crate) fn truncated(text: &str, max_chars: usize) -> String {
    text.chars().take(max_chars).collect()
}
