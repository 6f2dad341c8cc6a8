//! Names and formats on the wire: header fields, paths, JSON keys, and the format of frames.
//!
//! The defaults are those of the protocol page. Another operator's deployment may override them with a file of names,
//! read by [`WireNames::read`]; what that file does not state keeps its default.

use serde_json::{Map, Value};

/// A fault in a file of names.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("name '{key}' {problem}")]
pub struct WireNamesError {
    /// The key at fault, with its group and a dot before it if it is in one.
    pub key: String,
    /// What is wrong with its value.
    pub problem: &'static str,
}

/// Declares a group of names: a struct with a `String` field for each name, with the key of the group in the file of
/// names, and for each name the key in that group and the default.
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
        /// The query id.
        id "id" "X-Trace-Id",
        /// The class of the query.
        class "class" "X-Qos",
        /// The tenant.
        tenant "tenant" "X-Customer",
        /// The time that the client waits, in milliseconds.
        expires "deadline" "X-Expires-In-Ms",
        /// Marks a retry by the client.
        retry "retry" "X-Second-Try",
        /// The idempotency key, by which index servers recognise a retry.
        idempotency_key "idempotency" "Idempotency-Key",
    }
}

name_group! {
    /// HTTP paths.
    HttpPaths at "paths" {
        /// Readiness of the front node.
        ready "ready" "/health/ready",
        /// Liveness of the front node.
        live "health" "/health/live",
        /// Counters of the front node.
        stats "load" "/stats",
        /// The endpoint list, at discovery.
        list "list" "/registry/instances",
    }
}

name_group! {
    /// Query parameters of a request for the endpoint list.
    WatchParameters at "q" {
        /// The known version.
        after "after" "after",
        /// Requests a watch.
        watch "watch" "watch",
    }
}

name_group! {
    /// JSON keys of an endpoint list and of its entries.
    EndpointListKeys at "f" {
        /// The version.
        version "version" "index",
        /// Whether the list is complete.
        complete "full" "snapshot",
        /// The entries.
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
        /// Last start of an endpoint, in milliseconds of Unix time.
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
        /// No longer there.
        removed "gone" "removed",
    }
}

name_group! {
    /// JSON keys of the bodies of queries and answers, and the suffix of second-step part ids.
    BodyKeys at "fan" {
        /// The parts of a query.
        parts "parts" "slices",
        /// Shard of a part.
        shard "shard" "slice",
        /// Weight of a part: its fraction of the complete answer.
        weight "weight" "mass",
        /// Hint of the work of a part, in microseconds.
        work "hint" "micros",
        /// Text of the query.
        text "text" "filter",
        /// Whether an answer is complete.
        complete "whole" "entire",
        /// The values of an answer.
        items "hits" "items",
        /// One value of an answer.
        value "value" "body",
        /// Suffix of the id of a part of the second step.
        second_step "second" ".phase2",
    }
}

/// Format of frames: type bytes, byte order, and the words of outcomes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrameFormat {
    /// Type byte of a call.
    pub call: u8,
    /// Type byte of the cancellation of a part.
    pub cancel: u8,
    /// Type byte of an answer.
    pub answer: u8,
    /// Type byte of the rejection of a frame.
    pub rejected: u8,
    /// The length field is little-endian; big-endian otherwise.
    pub little_endian: bool,
    /// The words for the outcome of a part: served, failed, rejected.
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
    fn read(file: &Map<String, Value>) -> Result<FrameFormat, WireNamesError> {
        let mut format = FrameFormat::default();
        let Some(group) = read_group(file, "fan")? else { return Ok(format) };
        if let Some(types) = read_word(group, "fan", "frames")? {
            format.set_types(&types)?;
        }
        if let Some(little) = group.get("little") {
            format.little_endian =
                little.as_bool().ok_or_else(|| fault("fan", "little", "is not true or false"))?;
        }
        if let Some(ends) = group.get("ends") {
            format.outcome_words =
                read_three_words(ends).ok_or_else(|| fault("fan", "ends", "is not three words"))?;
        }
        Ok(format)
    }

    /// Sets the type bytes from a word of six letters; the third and fourth are for frames not used here.
    fn set_types(&mut self, types: &str) -> Result<(), WireNamesError> {
        let &[call, cancel, _, _, answer, rejected] = types.as_bytes() else {
            return Err(fault("fan", "frames", "is not six letters"));
        };
        self.call = call;
        self.cancel = cancel;
        self.answer = answer;
        self.rejected = rejected;
        Ok(())
    }
}

fn read_three_words(value: &Value) -> Option<[String; 3]> {
    let [first, second, third] = value.as_array()?.as_slice() else { return None };
    Some([first.as_str()?.to_owned(), second.as_str()?.to_owned(), third.as_str()?.to_owned()])
}

/// All names of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WireNames {
    /// Header fields of a query.
    pub header_names: HeaderNames,
    /// HTTP paths.
    pub paths: HttpPaths,
    /// Query parameters of a request for the endpoint list.
    pub watch_parameters: WatchParameters,
    /// Keys of the endpoint list.
    pub endpoint_list_keys: EndpointListKeys,
    /// Values of the status of an endpoint.
    pub status_values: StatusValues,
    /// Keys of bodies.
    pub body_keys: BodyKeys,
    /// Format of frames.
    pub frame_format: FrameFormat,
}

/// Protocol variants that are supported: the keys by which a file of names may state them, and the only
/// value supported.
const SUPPORTED_VARIANTS: [(&str, &str); 5] = [
    ("family", "fanout"),
    ("proto", "http"),
    ("deadline_form", "ms"),
    ("class_in", "both"),
    ("discovery", "stream"),
];

impl WireNames {
    /// Reads a file of names in the operators' form.
    ///
    /// # Errors
    /// [`WireNamesError`], the first fault found.
    pub fn read(file: &Value) -> Result<WireNames, WireNamesError> {
        let file = file.as_object().ok_or_else(|| fault("", "", "is not an object"))?;
        for (key, supported) in SUPPORTED_VARIANTS {
            if read_word(file, "", key)?.is_some_and(|variant| variant != supported) {
                return Err(fault("", key, "states a form that is not supported"));
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

fn fault(group: &str, key: &str, problem: &'static str) -> WireNamesError {
    let key = if group.is_empty() { key.to_owned() } else { format!("{group}.{key}") };
    WireNamesError { key, problem }
}

fn read_group<'a>(
    file: &'a Map<String, Value>,
    key: &str,
) -> Result<Option<&'a Map<String, Value>>, WireNamesError> {
    match file.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(group) => group.as_object().map(Some).ok_or_else(|| fault("", key, "is not an object")),
    }
}

/// Reads a value of visible ASCII characters; `None` if it is absent or null.
fn read_word(
    group: &Map<String, Value>,
    group_key: &str,
    key: &str,
) -> Result<Option<String>, WireNamesError> {
    let is_word = |word: &&str| !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_graphic());
    match group.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => {
            let word =
                value.as_str().filter(is_word).ok_or_else(|| fault(group_key, key, "is not one word"))?;
            Ok(Some(word.to_owned()))
        }
    }
}
