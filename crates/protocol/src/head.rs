//! Parser for the head of an HTTP/1.1 message: the start line and the header fields
//! ([RFC 9112](https://www.rfc-editor.org/rfc/rfc9112) sections 3 to 6).
//!
//! A [`Head`] does not copy the parsed bytes. It stores byte ranges into the buffer that it was parsed from,
//! and its methods take that buffer as an argument.
//!
//! Where the RFC lets a recipient be lenient, this parser is strict. Ambiguous framing is an error, because
//! request smuggling exploits two recipients that interpret the same bytes differently (RFC 9112 section
//! 11.2).

use crate::MAX_HEAD_BYTES;
use std::ops::Range;

/// Maximum number of field lines in one head.
const MAX_FIELDS: usize = 100;
/// Byte sequence that ends a head: the CRLF of its last line, followed by an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A violation of HTTP/1.1, or of the stricter subset of it that this service accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// Malformed request line or status line (RFC 9112 sections 3 and 4).
    #[error("malformed start line")]
    BadStartLine,
    /// Malformed field line (RFC 9112 section 5).
    #[error("malformed header field")]
    BadHeaderField,
    /// The head has more than [`MAX_HEAD_BYTES`] bytes or too many field lines.
    #[error("head exceeds {MAX_HEAD_BYTES} bytes or {MAX_FIELDS} fields")]
    HeadTooLong,
    /// The HTTP version is neither 1.0 nor 1.1.
    #[error("unsupported HTTP version")]
    BadVersion,
    /// Invalid, repeated or contradictory `Content-Length` (RFC 9112 section 6.3).
    #[error("invalid or ambiguous Content-Length")]
    BadContentLength,
    /// A transfer coding other than exactly `chunked` (RFC 9112 section 6.1).
    #[error("unsupported transfer coding")]
    BadTransferCoding,
    /// Malformed chunked coding (RFC 9112 section 7.1).
    #[error("malformed chunked body")]
    BadChunkedCoding,
    /// The body, or one line of it, exceeds its limit.
    #[error("body or body line too long")]
    BodyTooLong,
}

impl HttpError {
    /// All variants.
    pub const ALL: &'static [HttpError] = &[
        HttpError::BadStartLine,
        HttpError::BadHeaderField,
        HttpError::HeadTooLong,
        HttpError::BadVersion,
        HttpError::BadContentLength,
        HttpError::BadTransferCoding,
        HttpError::BadChunkedCoding,
        HttpError::BodyTooLong,
    ];

    /// Returns the stable error code used in responses, counters and log lines.
    pub fn code(self) -> &'static str {
        match self {
            HttpError::BadStartLine => "bad_start",
            HttpError::BadHeaderField => "bad_field",
            HttpError::HeadTooLong => "head_too_long",
            HttpError::BadVersion => "bad_version",
            HttpError::BadContentLength => "bad_length",
            HttpError::BadTransferCoding => "bad_coding",
            HttpError::BadChunkedCoding => "bad_chunk",
            HttpError::BodyTooLong => "body_too_long",
        }
    }

    /// Returns the HTTP status code (RFC 9110 section 15) of the response to a request with this error.
    pub fn status(self) -> u16 {
        match self {
            HttpError::HeadTooLong => 431,
            HttpError::BadVersion => 505,
            HttpError::BadTransferCoding => 501,
            HttpError::BodyTooLong => 413,
            _ => 400,
        }
    }
}

/// How the end of the message body is determined (RFC 9112 section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has the length in bytes given by `Content-Length`.
    Length(usize),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The head has neither `Content-Length` nor `Transfer-Encoding`.
    Unspecified,
}

/// Position of a word in the start line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartLineWord {
    /// The method of a request, the version of a response.
    First,
    /// The target of a request, the status code of a response.
    Second,
    /// The version of a request, the reason phrase of a response. Empty if absent.
    Third,
}

/// A header field, as byte ranges into the parsed buffer.
#[derive(Clone, Debug)]
struct Field {
    name: Range<usize>,
    /// The value without leading and trailing white space.
    value: Range<usize>,
}

/// A parsed message head, as byte ranges into the buffer it was parsed from.
#[derive(Clone, Debug, Default)]
pub struct Head {
    start_line: [Range<usize>; 3],
    fields: Vec<Field>,
    /// Length of the head in bytes, including the empty line that ends it.
    pub len: usize,
}

impl Head {
    /// Parses the head at the start of `bytes`. Returns `None` if `bytes` does not contain the end of the
    /// head yet.
    ///
    /// `scanned` is the number of bytes that earlier calls have searched for the end of the head. The caller
    /// sets it to 0 for each new head, and this function updates it, so that bytes which arrive slowly are
    /// not searched again on each call.
    ///
    /// # Errors
    /// [`HttpError::BadStartLine`], [`HttpError::BadHeaderField`] or [`HttpError::HeadTooLong`].
    pub fn parse(bytes: &[u8], scanned: &mut usize) -> Result<Option<Head>, HttpError> {
        let Some(len) = find_head_end(bytes, *scanned) else {
            *scanned = bytes.len();
            return if bytes.len() > MAX_HEAD_BYTES { Err(HttpError::HeadTooLong) } else { Ok(None) };
        };
        if len > MAX_HEAD_BYTES {
            return Err(HttpError::HeadTooLong);
        }
        let first_line = next_line(bytes, 0, len);
        let mut position = first_line.end + 2;
        let mut head = Head { start_line: parse_start_line(bytes, first_line)?, fields: Vec::new(), len };
        while position < len - 2 {
            let line = next_line(bytes, position, len);
            position = line.end + 2;
            head.fields.push(parse_field_line(bytes, line)?);
            if head.fields.len() > MAX_FIELDS {
                return Err(HttpError::HeadTooLong);
            }
        }
        Ok(Some(head))
    }

    /// Returns one word of the start line.
    pub fn start_line_word<'a>(&self, bytes: &'a [u8], word: StartLineWord) -> &'a str {
        let range = self.start_line[word as usize].clone();
        std::str::from_utf8(&bytes[range]).unwrap_or_default()
    }

    /// Returns the values of all header fields called `name` (case-insensitive), in the order of the message.
    pub fn field_values<'a>(&'a self, bytes: &'a [u8], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let is_named = move |field: &&Field| bytes[field.name.clone()].eq_ignore_ascii_case(name.as_bytes());
        self.fields.iter().filter(is_named).map(|field| &bytes[field.value.clone()])
    }

    /// Returns whether a comma-separated list field (RFC 9110 section 5.6.1) contains `token`
    /// (case-insensitive).
    pub fn field_has_token(&self, bytes: &[u8], name: &str, token: &str) -> bool {
        let mut members = self.field_values(bytes, name).flat_map(|value| value.split(|byte| *byte == b','));
        members.any(|member| member.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Returns whether the sender of a request allows the connection to persist after the response (RFC 9112
    /// section 9.3).
    pub fn keeps_alive(&self, bytes: &[u8]) -> bool {
        let is_http_1_0 = self.start_line_word(bytes, StartLineWord::Third) == "HTTP/1.0";
        if is_http_1_0 {
            self.field_has_token(bytes, "connection", "keep-alive")
        } else {
            !self.field_has_token(bytes, "connection", "close")
        }
    }

    /// Returns how the end of the body is determined.
    ///
    /// # Errors
    /// * [`HttpError::BadTransferCoding`] if `Transfer-Encoding` is repeated or not exactly `chunked`.
    /// * [`HttpError::BadContentLength`] if `Content-Length` is invalid, repeated, or combined with
    ///   `Transfer-Encoding`.
    pub fn framing(&self, bytes: &[u8]) -> Result<Framing, HttpError> {
        let mut codings = self.field_values(bytes, "transfer-encoding");
        let mut lengths = self.field_values(bytes, "content-length");
        let coding = codings.next();
        let length = lengths.next();
        if codings.next().is_some() {
            return Err(HttpError::BadTransferCoding);
        }
        if (coding.is_some() && length.is_some()) || lengths.next().is_some() {
            return Err(HttpError::BadContentLength);
        }
        match (coding, length) {
            (Some(coding), _) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
            (Some(_), _) => Err(HttpError::BadTransferCoding),
            (None, Some(length)) => parse_content_length(length).map(Framing::Length),
            (None, None) => Ok(Framing::Unspecified),
        }
    }
}

/// Returns the length of the head including [`HEAD_END`], or `None` if `bytes` does not contain its end. The
/// first `scanned` bytes have been searched before.
fn find_head_end(bytes: &[u8], scanned: usize) -> Option<usize> {
    let from = scanned.saturating_sub(HEAD_END.len() - 1);
    let position = bytes[from..].windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(from + position + HEAD_END.len())
}

/// Returns the range of the line that begins at `start`, without its CRLF. In a complete head, a CRLF follows
/// every line.
fn next_line(bytes: &[u8], start: usize, head_len: usize) -> Range<usize> {
    let line_len = bytes[start..head_len].windows(2).position(|window| window == b"\r\n");
    start..start + line_len.unwrap_or(0)
}

/// Splits a start line into three words at its first two spaces. The third word may be absent.
fn parse_start_line(bytes: &[u8], line: Range<usize>) -> Result<[Range<usize>; 3], HttpError> {
    let text = &bytes[line.clone()];
    if text.iter().any(|byte| byte.is_ascii_control() || !byte.is_ascii()) {
        return Err(HttpError::BadStartLine);
    }
    let mut spaces = (0..text.len()).filter(|index| text[*index] == b' ').map(|index| line.start + index);
    let first_space = spaces.next().ok_or(HttpError::BadStartLine)?;
    let second_space = spaces.next().unwrap_or(line.end);
    let third_start = (second_space + 1).min(line.end);
    let words = [line.start..first_space, first_space + 1..second_space, third_start..line.end];
    if words[0].is_empty() || words[1].is_empty() {
        return Err(HttpError::BadStartLine);
    }
    Ok(words)
}

/// Parses a field line. Rejects line folding and white space before the colon (RFC 9112 sections 5.1 and
/// 5.2).
fn parse_field_line(bytes: &[u8], line: Range<usize>) -> Result<Field, HttpError> {
    let text = &bytes[line.clone()];
    let colon = text.iter().position(|byte| *byte == b':').ok_or(HttpError::BadHeaderField)?;
    let name = &text[..colon];
    let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
    if name.is_empty() || !name.iter().copied().all(is_token_byte) || text[colon..].iter().any(is_control) {
        return Err(HttpError::BadHeaderField);
    }
    let colon = line.start + colon;
    Ok(Field { name: line.start..colon, value: trim_blanks(bytes, colon + 1..line.end) })
}

/// Parses the value of `Content-Length`, which may contain only digits. A number that does not fit into
/// `usize` becomes `usize::MAX`, which exceeds every body limit.
fn parse_content_length(value: &[u8]) -> Result<usize, HttpError> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(HttpError::BadContentLength);
    }
    let text = std::str::from_utf8(value).map_err(|_| HttpError::BadContentLength)?;
    Ok(text.parse().unwrap_or(usize::MAX))
}

/// Returns whether a byte is allowed in a token (RFC 9110 section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns the range without leading and trailing spaces and tabs.
fn trim_blanks(bytes: &[u8], range: Range<usize>) -> Range<usize> {
    let is_blank = |byte: u8| matches!(byte, b' ' | b'\t');
    let mut start = range.start;
    let mut end = range.end;
    while start < end && is_blank(bytes[start]) {
        start += 1;
    }
    while start < end && is_blank(bytes[end - 1]) {
        end -= 1;
    }
    start..end
}
