//! The names and formats used on the wire: header fields, paths, JSON keys, and the format of frames.
//!
//! This module defines the default of each name. A deployment can override the defaults with a JSON file, the
//! names file, which [`WireNames::read`] reads. Names that the file does not contain keep their defaults.

use serde_json::{Map, Value};

/// Size of the length field of a frame in bytes.
pub(crate) const LENGTH_BYTES: usize = 4;

/// An invalid entry of the names file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("name '{key}' {problem}")]
pub struct WireNamesError {
    /// Key of the invalid entry, as `group.key` if the entry is in a group. Empty if the file itself is
    /// invalid.
    pub key: String,
    /// Description of the problem, worded to follow the key.
    pub problem: &'static str,
}

/// Declares a group of names as a struct with one `String` field per name.
///
/// The literal after `at` is the key of the group in the names file. The two literals after each field are
/// the key of the name within the group, and the default.
macro_rules! name_group {
    (
        $(#[$group_doc:meta])*
        $group:ident at $group_key:literal {
            $($(#[$field_doc:meta])* $field:ident $key:literal $default:literal),* $(,)?
        }
    ) => {
        $(#[$group_doc])*
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub struct $group { $($(#[$field_doc])* pub $field: String),* }

        impl Default for $group {
            fn default() -> $group {
                $group { $($field: $default.to_owned()),* }
            }
        }

        impl $group {
            fn read(file: &Map<String, Value>) -> Result<$group, WireNamesError> {
                let mut names = $group::default();
                let Some(group) = read_group(file, $group_key)? else { return Ok(names) };
                $(if let Some(name) = read_word(group, $group_key, $key)? { names.$field = name; })*
                Ok(names)
            }
        }
    };
}

name_group! {
    /// Header fields of a query.
    HeaderNames at "h" {
        /// Query id.
        id "id" "X-Trace-Id",
        /// Class of the query.
        class "class" "X-Qos",
        /// Tenant that sends the query.
        tenant "tenant" "X-Customer",
        /// How long the client waits for the answer, in milliseconds.
        expires "deadline" "X-Expires-In-Ms",
        /// Marks the query as a retry by the client.
        retry "retry" "X-Second-Try",
        /// Idempotency key, by which index servers recognize a retry.
        idempotency_key "idempotency" "Idempotency-Key",
    }
}

name_group! {
    /// HTTP paths.
    HttpPaths at "paths" {
        /// Readiness check of the front node.
        ready "ready" "/health/ready",
        /// Liveness check of the front node.
        live "health" "/health/live",
        /// Counters of the front node.
        stats "load" "/stats",
        /// Endpoint list, on the discovery service.
        endpoint_list "list" "/registry/instances",
    }
}

name_group! {
    /// URL query parameters of a request for the endpoint list.
    WatchParameters at "q" {
        /// The version after which changes are requested.
        after "after" "after",
        /// Requests a watch instead of a single response.
        watch "watch" "watch",
    }
}

name_group! {
    /// JSON keys of an endpoint list and of its entries.
    EndpointListKeys at "f" {
        /// Version of the list.
        version "version" "index",
        /// Whether the list is complete; otherwise it contains the changes to an earlier version.
        complete "full" "snapshot",
        /// Entries of the list, one per endpoint.
        entries "list" "endpoints",
        /// Name of an endpoint.
        name "id" "name",
        /// Address of an endpoint.
        address "addr" "address",
        /// Cell of an endpoint.
        cell "cell" "group",
        /// Status of an endpoint.
        status "state" "status",
        /// Relative capacity of an endpoint.
        weight "weight" "weight",
        /// Time of the last start of an endpoint, in milliseconds of Unix time.
        start_time "started" "since_ms",
    }
}

name_group! {
    /// Values of the status of an endpoint.
    StatusValues at "states" {
        /// In service.
        up "ready" "up",
        /// Shutting down gracefully.
        draining "draining" "draining",
        /// Removed from the list.
        removed "gone" "removed",
    }
}

name_group! {
    /// JSON keys of the bodies of queries and answers, and the suffix of second-step part ids.
    BodyKeys at "fan" {
        /// Parts of a query.
        parts "parts" "slices",
        /// Shard of a part.
        shard "shard" "slice",
        /// Weight of a part: the fraction of the complete answer that it contributes.
        weight "weight" "mass",
        /// Estimated work of a part, in microseconds.
        work_hint "hint" "micros",
        /// Text of the query.
        text "text" "filter",
        /// Whether an answer is complete.
        complete "whole" "entire",
        /// Values of an answer, one per part that was served.
        items "hits" "items",
        /// Value of one part.
        value "value" "body",
        /// Suffix of the wire id of a part in the second step of a two-step query.
        second_step "second" ".phase2",
    }
}

/// Format of the frames between front nodes and index servers; see [`crate::frames`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrameFormat {
    /// Type byte of a call frame.
    pub call: u8,
    /// Type byte of a cancel frame.
    pub cancel: u8,
    /// Type byte of an answer frame.
    pub answer: u8,
    /// Type byte of a reject frame.
    pub rejected: u8,
    /// Whether the length field is little-endian instead of big-endian.
    pub little_endian: bool,
    /// Words for the outcome of a part, in the order served, failed, rejected.
    pub outcome_words: [String; 3],
}

impl Default for FrameFormat {
    fn default() -> FrameFormat {
        FrameFormat {
            call: b'1',
            cancel: b'2',
            answer: b'5',
            rejected: b'X',
            little_endian: false,
            outcome_words: ["S", "E", "B"].map(str::to_owned),
        }
    }
}

impl FrameFormat {
    /// Decodes the length field of a frame.
    pub(crate) fn decode_length(&self, bytes: [u8; LENGTH_BYTES]) -> usize {
        let length = if self.little_endian { u32::from_le_bytes(bytes) } else { u32::from_be_bytes(bytes) };
        length as usize
    }

    fn read(file: &Map<String, Value>) -> Result<FrameFormat, WireNamesError> {
        let mut format = FrameFormat::default();
        let Some(group) = read_group(file, "fan")? else { return Ok(format) };
        if let Some(types) = read_word(group, "fan", "frames")? {
            format.set_types(&types)?;
        }
        if let Some(little) = group.get("little") {
            format.little_endian =
                little.as_bool().ok_or_else(|| invalid_name("fan", "little", "is not a boolean"))?;
        }
        if let Some(ends) = group.get("ends") {
            format.outcome_words = read_three_strings(ends)
                .ok_or_else(|| invalid_name("fan", "ends", "is not an array of three strings"))?;
        }
        Ok(format)
    }

    /// Sets the type bytes from a string of six bytes, one per frame type. The third and fourth byte belong
    /// to frame types that this service does not use.
    fn set_types(&mut self, types: &str) -> Result<(), WireNamesError> {
        let &[call, cancel, _, _, answer, rejected] = types.as_bytes() else {
            return Err(invalid_name("fan", "frames", "does not have exactly six characters"));
        };
        self.call = call;
        self.cancel = cancel;
        self.answer = answer;
        self.rejected = rejected;
        Ok(())
    }
}

fn read_three_strings(value: &Value) -> Option<[String; 3]> {
    let [first, second, third] = value.as_array()?.as_slice() else { return None };
    Some([first.as_str()?.to_owned(), second.as_str()?.to_owned(), third.as_str()?.to_owned()])
}

/// All configurable names and formats of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WireNames {
    /// Header fields of a query.
    pub header_names: HeaderNames,
    /// HTTP paths.
    pub paths: HttpPaths,
    /// URL query parameters of a request for the endpoint list.
    pub watch_parameters: WatchParameters,
    /// JSON keys of an endpoint list.
    pub endpoint_list_keys: EndpointListKeys,
    /// Values of the status of an endpoint.
    pub status_values: StatusValues,
    /// JSON keys of the bodies of queries and answers.
    pub body_keys: BodyKeys,
    /// Format of the frames between front nodes and index servers.
    pub frame_format: FrameFormat,
}

/// Keys of the names file that select a protocol variant, each with the only value that is supported.
const SUPPORTED_VARIANTS: [(&str, &str); 5] = [
    ("family", "fanout"),
    ("proto", "http"),
    ("deadline_form", "ms"),
    ("class_in", "both"),
    ("discovery", "stream"),
];

impl WireNames {
    /// Reads the names from the content of the names file. Keys that are not known are ignored.
    ///
    /// # Errors
    /// [`WireNamesError`] for the first invalid entry found.
    pub fn read(file: &Value) -> Result<WireNames, WireNamesError> {
        let file = file.as_object().ok_or_else(|| invalid_name("", "", "is not an object"))?;
        for (key, supported) in SUPPORTED_VARIANTS {
            if read_word(file, "", key)?.is_some_and(|variant| variant != supported) {
                return Err(invalid_name("", key, "selects a protocol variant that is not supported"));
            }
        }
        Ok(WireNames {
            header_names: HeaderNames::read(file)?,
            paths: HttpPaths::read(file)?,
            watch_parameters: WatchParameters::read(file)?,
            endpoint_list_keys: EndpointListKeys::read(file)?,
            status_values: StatusValues::read(file)?,
            body_keys: BodyKeys::read(file)?,
            frame_format: FrameFormat::read(file)?,
        })
    }
}

fn invalid_name(group: &str, key: &str, problem: &'static str) -> WireNamesError {
    let key = if group.is_empty() { key.to_owned() } else { format!("{group}.{key}") };
    WireNamesError { key, problem }
}

fn read_group<'a>(
    file: &'a Map<String, Value>,
    key: &str,
) -> Result<Option<&'a Map<String, Value>>, WireNamesError> {
    match file.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(group) => group.as_object().map(Some).ok_or_else(|| invalid_name("", key, "is not an object")),
    }
}

/// Reads a string of visible ASCII characters without spaces. Returns `None` if the key is absent or null.
fn read_word(
    group: &Map<String, Value>,
    group_key: &str,
    key: &str,
) -> Result<Option<String>, WireNamesError> {
    let is_word = |word: &&str| !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_graphic());
    match group.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => {
            let word = value.as_str().filter(is_word).ok_or_else(|| {
                invalid_name(group_key, key, "is not a non-empty string of visible ASCII characters")
            })?;
            Ok(Some(word.to_owned()))
        }
    }
}
