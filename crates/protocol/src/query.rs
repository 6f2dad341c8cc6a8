//! Client queries: checks of their header values, and the JSON bodies of queries and answers.

use crate::names::BodyKeys;
use serde_json::Value;
use std::fmt::Write;

/// Longest query id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Longest time that a client may wait, in milliseconds: an hour.
const MAX_EXPIRY_MS: u64 = 3_600_000;
/// Work hints are below this, in microseconds.
const WORK_HINT_LIMIT_US: f64 = 1e12;
/// Tolerance for rounding: how far the sum of the weights may be from 1.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;

/// A query that is rejected for its form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// The id is missing or can't be a field of a frame.
    #[error("query id is missing or not a word of at most {MAX_ID_BYTES} bytes without a dot")]
    Id,
    /// The idempotency key is required and missing, or can't be an attribute of a frame.
    #[error("idempotency key is missing or not a word of at most {MAX_KEY_BYTES} bytes without a comma")]
    IdempotencyKey,
    /// The time the client waits is missing or out of range.
    #[error("expiry is missing or not a number of milliseconds up to {MAX_EXPIRY_MS}")]
    Expiry,
    /// The body is not JSON.
    #[error("body is not JSON")]
    Json,
    /// The body has no list of parts, or an empty one.
    #[error("list of parts is missing or empty")]
    Parts,
    /// A part is malformed.
    #[error("malformed part")]
    Part,
    /// A part has a shard that the layout does not have.
    #[error("part with an unknown shard")]
    Shard,
    /// Two parts have the same shard.
    #[error("two parts with the same shard")]
    DuplicateShard,
    /// The weights of the parts do not add up to 1.
    #[error("weights of the parts do not add up to 1")]
    Weights,
    /// The text of the query is not a string.
    #[error("text is not a string")]
    Text,
}

impl QueryError {
    /// The stable code used on the wire and in counters.
    pub fn code(self) -> &'static str {
        match self {
            QueryError::Id => "bad_id",
            QueryError::IdempotencyKey => "bad_key",
            QueryError::Expiry => "bad_expiry",
            QueryError::Json => "bad_json",
            QueryError::Parts => "bad_parts",
            QueryError::Part => "bad_part",
            QueryError::Shard => "bad_shard",
            QueryError::DuplicateShard => "shard_twice",
            QueryError::Weights => "bad_weights",
            QueryError::Text => "bad_text",
        }
    }
}

/// One part of a query, as the client requests it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestedPart {
    /// Shard to search.
    pub shard: u32,
    /// Fraction of the complete answer that this part makes up, in `0.0..=1.0` without 0.
    pub weight: f64,
    /// Hint of the work in microseconds, if the client gave one.
    pub work_hint_us: Option<i64>,
}

/// The body of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryBody {
    /// The parts, in the order of the body.
    pub parts: Vec<RequestedPart>,
    /// The text that each part takes to its index server.
    pub text: String,
}

/// Checks a query id. It becomes a field of frames, so it has no white space; a dot separates it from the shard in
/// part ids, so it has none.
///
/// # Errors
/// [`QueryError::Id`].
pub fn parse_query_id(value: Option<&str>) -> Result<&str, QueryError> {
    let is_word = |id: &str| id.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'.');
    let is_valid = |id: &&str| !id.is_empty() && id.len() <= MAX_ID_BYTES && is_word(id);
    value.filter(is_valid).ok_or(QueryError::Id)
}

/// Checks an idempotency key. It becomes an attribute of frames, so it has neither white space nor a comma.
///
/// # Errors
/// [`QueryError::IdempotencyKey`], also if the class of the query requires a key and there is none.
pub fn parse_idempotency_key(value: Option<&str>, is_required: bool) -> Result<Option<&str>, QueryError> {
    let Some(key) = value else {
        return if is_required { Err(QueryError::IdempotencyKey) } else { Ok(None) };
    };
    let is_word = key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',');
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_word {
        return Err(QueryError::IdempotencyKey);
    }
    Ok(Some(key))
}

/// Parses the time that the client waits, in milliseconds, and returns it in microseconds.
///
/// # Errors
/// [`QueryError::Expiry`].
pub fn parse_expiry(value: Option<&str>) -> Result<i64, QueryError> {
    let is_digits = |text: &&str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let digits = value.filter(is_digits).ok_or(QueryError::Expiry)?;
    let milliseconds: u64 = digits.parse().map_err(|_| QueryError::Expiry)?;
    if milliseconds > MAX_EXPIRY_MS {
        return Err(QueryError::Expiry);
    }
    Ok(milliseconds as i64 * 1000)
}

/// Parses a query's body, for a layout of `shards` shards.
///
/// # Errors
/// [`QueryError`], the first fault found.
pub fn parse_query_body(body: &[u8], names: &BodyKeys, shards: u32) -> Result<QueryBody, QueryError> {
    let body: Value = serde_json::from_slice(body).map_err(|_| QueryError::Json)?;
    let listed = body.get(&names.parts).and_then(Value::as_array).ok_or(QueryError::Parts)?;
    if listed.is_empty() {
        return Err(QueryError::Parts);
    }
    let parts: Vec<RequestedPart> =
        listed.iter().map(|value| parse_part(value, names, shards)).collect::<Result<_, _>>()?;
    check_shards_differ(&parts)?;
    let weight_sum: f64 = parts.iter().map(|part| part.weight).sum();
    if (weight_sum - 1.0).abs() > WEIGHT_SUM_TOLERANCE {
        return Err(QueryError::Weights);
    }
    let text = match body.get(&names.text) {
        None => String::new(),
        Some(text) => text.as_str().ok_or(QueryError::Text)?.to_owned(),
    };
    Ok(QueryBody { parts, text })
}

fn parse_part(value: &Value, names: &BodyKeys, shards: u32) -> Result<RequestedPart, QueryError> {
    let shard = value.get(&names.shard).and_then(Value::as_u64).ok_or(QueryError::Part)?;
    let shard = u32::try_from(shard).ok().filter(|shard| *shard < shards).ok_or(QueryError::Shard)?;
    let work_hint_us = match value.get(&names.work) {
        None | Some(Value::Null) => None,
        Some(work) => Some(parse_work_hint(work)?),
    };
    let weight = value.get(&names.weight).and_then(Value::as_f64).ok_or(QueryError::Part)?;
    if !(weight > 0.0 && weight <= 1.0) {
        return Err(QueryError::Part);
    }
    Ok(RequestedPart { shard, weight, work_hint_us })
}

fn parse_work_hint(value: &Value) -> Result<i64, QueryError> {
    let is_in_range = |work: &f64| (0.0..WORK_HINT_LIMIT_US).contains(work);
    let work = value.as_f64().filter(is_in_range).ok_or(QueryError::Part)?;
    Ok(work as i64)
}

fn check_shards_differ(parts: &[RequestedPart]) -> Result<(), QueryError> {
    let mut shards: Vec<u32> = parts.iter().map(|part| part.shard).collect();
    shards.sort_unstable();
    if shards.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(QueryError::DuplicateShard);
    }
    Ok(())
}

/// Encodes the body of an answer: whether it is complete, and the shard and the value of each part that was served.
pub fn encode_answer_body<'a>(
    names: &BodyKeys,
    is_complete: bool,
    values: impl Iterator<Item = (u32, &'a str)>,
) -> Vec<u8> {
    let mut body = String::from("{");
    push_quoted(&names.complete, &mut body);
    body.push_str(if is_complete { ":true," } else { ":false," });
    push_quoted(&names.items, &mut body);
    body.push_str(":[");
    for (index, (shard, value)) in values.enumerate() {
        body.push_str(if index > 0 { ",{" } else { "{" });
        push_quoted(&names.shard, &mut body);
        // Writing to a String does not fail.
        let _ = write!(body, ":{shard},");
        push_quoted(&names.value, &mut body);
        body.push(':');
        push_quoted(value, &mut body);
        body.push('}');
    }
    body.push_str("]}");
    body.into_bytes()
}

/// Encodes the body of a response without an answer: the code of the reason.
pub fn encode_reason_body(code: &str) -> Vec<u8> {
    let mut body = String::from("{\"reason\":");
    push_quoted(code, &mut body);
    body.push('}');
    body.into_bytes()
}

/// Appends a JSON string ([RFC 8259 section 7](https://www.rfc-editor.org/rfc/rfc8259#section-7)).
fn push_quoted(text: &str, json: &mut String) {
    json.push('"');
    for character in text.chars() {
        match character {
            '"' => json.push_str("\\\""),
            '\\' => json.push_str("\\\\"),
            control if (control as u32) < 0x20 => {
                // Writing to a String does not fail.
                let _ = write!(json, "\\u{:04x}", control as u32);
            }
            other => json.push(other),
        }
    }
    json.push('"');
}
