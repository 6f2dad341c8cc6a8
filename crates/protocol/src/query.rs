//! Client queries: validation of their header fields, and the JSON bodies of queries and answers.

use crate::names::BodyKeys;
use serde_json::Value;
use std::fmt::Write;

/// Maximum length of a query id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Maximum time that a client may wait for an answer, in milliseconds (one hour).
const MAX_EXPIRY_MS: u64 = 3_600_000;
/// Exclusive upper bound for a work hint, in microseconds.
const WORK_HINT_LIMIT_US: f64 = 1e12;
/// Allowed difference between 1 and the sum of the weights of a query's parts, for rounding.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;

/// The reason why a query is rejected as malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// The query id is missing or can't be used as a field of a frame.
    #[error("query id is missing or not 1 to {MAX_ID_BYTES} visible ASCII characters without a dot")]
    Id,
    /// The idempotency key is required and missing, or can't be used as an attribute of a frame.
    #[error(
        "idempotency key is missing or not 1 to {MAX_KEY_BYTES} visible ASCII characters without a comma"
    )]
    IdempotencyKey,
    /// The time that the client waits is missing or out of range.
    #[error("expiry is missing or not a whole number of milliseconds up to {MAX_EXPIRY_MS}")]
    Expiry,
    /// The body is not JSON.
    #[error("body is not JSON")]
    Json,
    /// The list of parts is missing or empty.
    #[error("list of parts is missing or empty")]
    Parts,
    /// A part has a missing or invalid field.
    #[error("a part has a missing or invalid field")]
    Part,
    /// The shard of a part is not below the number of shards of the deployment.
    #[error("a part has an unknown shard")]
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
    /// Returns the stable error code used in responses and counters.
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

/// One part of a query, as requested by the client.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestedPart {
    /// Shard to search.
    pub shard: u32,
    /// Fraction of the complete answer that this part contributes, greater than 0 and at most 1.
    pub weight: f64,
    /// The client's estimate of the work in microseconds, if it sent one.
    pub work_hint_us: Option<i64>,
}

/// The body of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryBody {
    /// Parts of the query, in the order of the body.
    pub parts: Vec<RequestedPart>,
    /// Text of the query, which is sent to the index servers with each part.
    pub text: String,
}

/// Validates a query id.
///
/// The id is used as a field of frames, so it must not contain white space. In the wire id of a part, a dot
/// separates the query id from the shard, so the query id must not contain a dot.
///
/// # Errors
/// [`QueryError::Id`] if the id is missing or invalid.
pub fn parse_query_id(value: Option<&str>) -> Result<&str, QueryError> {
    let has_valid_bytes = |id: &str| id.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'.');
    let is_valid = |id: &&str| !id.is_empty() && id.len() <= MAX_ID_BYTES && has_valid_bytes(id);
    value.filter(is_valid).ok_or(QueryError::Id)
}

/// Validates an idempotency key. Returns `None` if there is none and none is required.
///
/// The key is used as an attribute in call frames, so it must contain neither white space nor a comma.
///
/// # Errors
/// [`QueryError::IdempotencyKey`] if the key is invalid, or if it is missing although `is_required` is true.
pub fn parse_idempotency_key(value: Option<&str>, is_required: bool) -> Result<Option<&str>, QueryError> {
    let Some(key) = value else {
        return if is_required { Err(QueryError::IdempotencyKey) } else { Ok(None) };
    };
    let has_valid_bytes = key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',');
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !has_valid_bytes {
        return Err(QueryError::IdempotencyKey);
    }
    Ok(Some(key))
}

/// Parses the time that the client waits for an answer, given in milliseconds, and returns it in
/// microseconds.
///
/// # Errors
/// [`QueryError::Expiry`] if the value is missing, not a number, or above one hour.
pub fn parse_expiry(value: Option<&str>) -> Result<i64, QueryError> {
    let is_digits = |text: &&str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let digits = value.filter(is_digits).ok_or(QueryError::Expiry)?;
    let milliseconds: u64 = digits.parse().map_err(|_| QueryError::Expiry)?;
    if milliseconds > MAX_EXPIRY_MS {
        return Err(QueryError::Expiry);
    }
    Ok(milliseconds as i64 * 1000)
}

/// Parses the body of a query. `shards` is the number of shards of the deployment.
///
/// # Errors
/// [`QueryError`] for the first problem found.
pub fn parse_query_body(body: &[u8], keys: &BodyKeys, shards: u32) -> Result<QueryBody, QueryError> {
    let body: Value = serde_json::from_slice(body).map_err(|_| QueryError::Json)?;
    let listed = body.get(&keys.parts).and_then(Value::as_array).ok_or(QueryError::Parts)?;
    if listed.is_empty() {
        return Err(QueryError::Parts);
    }
    let parts: Vec<RequestedPart> =
        listed.iter().map(|value| parse_part(value, keys, shards)).collect::<Result<_, _>>()?;
    check_shards_differ(&parts)?;
    let weight_sum: f64 = parts.iter().map(|part| part.weight).sum();
    if (weight_sum - 1.0).abs() > WEIGHT_SUM_TOLERANCE {
        return Err(QueryError::Weights);
    }
    let text = match body.get(&keys.text) {
        None => String::new(),
        Some(text) => text.as_str().ok_or(QueryError::Text)?.to_owned(),
    };
    Ok(QueryBody { parts, text })
}

fn parse_part(value: &Value, keys: &BodyKeys, shards: u32) -> Result<RequestedPart, QueryError> {
    let shard = value.get(&keys.shard).and_then(Value::as_u64).ok_or(QueryError::Part)?;
    let shard = u32::try_from(shard).ok().filter(|shard| *shard < shards).ok_or(QueryError::Shard)?;
    let work_hint_us = match value.get(&keys.work_hint) {
        None | Some(Value::Null) => None,
        Some(work) => Some(parse_work_hint(work)?),
    };
    let weight = value.get(&keys.weight).and_then(Value::as_f64).ok_or(QueryError::Part)?;
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

/// Encodes the body of an answer. `values` are the shard and value of each part that was served.
pub fn encode_answer_body<'a>(
    keys: &BodyKeys,
    is_complete: bool,
    values: impl Iterator<Item = (u32, &'a str)>,
) -> Vec<u8> {
    let mut body = String::from("{");
    push_quoted(&keys.complete, &mut body);
    body.push_str(if is_complete { ":true," } else { ":false," });
    push_quoted(&keys.items, &mut body);
    body.push_str(":[");
    for (index, (shard, value)) in values.enumerate() {
        body.push_str(if index > 0 { ",{" } else { "{" });
        push_quoted(&keys.shard, &mut body);
        // Writing to a String does not fail.
        let _ = write!(body, ":{shard},");
        push_quoted(&keys.value, &mut body);
        body.push(':');
        push_quoted(value, &mut body);
        body.push('}');
    }
    body.push_str("]}");
    body.into_bytes()
}

/// Encodes the body of a response without an answer, which contains the error code.
pub fn encode_reason_body(code: &str) -> Vec<u8> {
    let mut body = String::from("{\"reason\":");
    push_quoted(code, &mut body);
    body.push('}');
    body.into_bytes()
}

/// Appends `text` as a JSON string ([RFC 8259 section 7](https://www.rfc-editor.org/rfc/rfc8259#section-7)).
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
