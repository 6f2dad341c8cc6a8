//! The server's side of an HTTP/1.1 connection ([RFC 9112](https://www.rfc-editor.org/rfc/rfc9112)): bytes in, one
//! request after the other out, and the heads of responses.

use crate::chunks::ChunkedDecoder;
use crate::head::{Framing, Head, HttpError, StartLineWord};
use crate::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use std::ops::Range;

/// Capacity that the receive buffer keeps between requests, in bytes.
const IDLE_BUFFER_BYTES: usize = 4096;

/// How much of the next request has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// Nothing.
    Idle,
    /// A part of it.
    Partial,
    /// All of it: [`RequestParser::request`] returns it.
    Complete,
}

/// A complete request; it borrows the bytes of its connection.
#[derive(Debug)]
pub struct Request<'a> {
    head: &'a Head,
    bytes: &'a [u8],
    /// The body, without its transfer coding.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// The method.
    pub fn method(&self) -> &'a str {
        self.head.start_line_word(self.bytes, StartLineWord::First)
    }

    /// The path of the request target, without the query component.
    pub fn path(&self) -> &'a str {
        let target = self.head.start_line_word(self.bytes, StartLineWord::Second);
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// The value of a header field, `None` if the request has no such field.
    ///
    /// # Errors
    /// [`AmbiguousField`] if the field is repeated or not UTF-8.
    pub fn field(&self, name: &'a str) -> Result<Option<&'a str>, AmbiguousField> {
        let mut values = self.head.field_values(self.bytes, name);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(AmbiguousField);
        }
        std::str::from_utf8(value).map(Some).map_err(|_| AmbiguousField)
    }

    /// Whether the client lets the connection persist after the response (RFC 9112 section 9.3).
    pub fn keeps_alive(&self) -> bool {
        let is_http_1_0 = self.head.start_line_word(self.bytes, StartLineWord::Third) == "HTTP/1.0";
        if is_http_1_0 {
            self.head.field_has_token(self.bytes, "connection", "keep-alive")
        } else {
            !self.head.field_has_token(self.bytes, "connection", "close")
        }
    }
}

/// A header field that is repeated or not UTF-8, so that its value is not certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header field is repeated or not UTF-8")]
pub struct AmbiguousField;

/// The requests of one connection, in order.
#[derive(Debug, Default)]
pub struct RequestParser {
    /// Received bytes from the start of the current request on. Of a chunked body no bytes stay here.
    buffer: Vec<u8>,
    /// Bytes of the buffer that were searched for the end of the head.
    scanned: usize,
    /// The head of the current request.
    head: Option<Head>,
    /// The decoder of its body, if that is chunked.
    chunked: Option<ChunkedDecoder>,
    /// The decoded chunked body.
    decoded_body: Vec<u8>,
    /// Where a body that is not chunked lies in the buffer.
    body: Range<usize>,
    /// Bytes of the buffer that the current request takes, once it is complete.
    complete_len: Option<usize>,
}

impl RequestParser {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether more bytes should be read now: the backpressure on a client that pipelines requests.
    pub fn wants_read(&self) -> bool {
        self.buffer.len() <= MAX_HEAD_BYTES + MAX_BODY_BYTES
    }

    /// Whether nothing is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Parses as far as the received bytes go.
    ///
    /// # Errors
    /// [`HttpError`]; the connection can't be used any further.
    pub fn parse(&mut self) -> Result<RequestProgress, HttpError> {
        if self.complete_len.is_some() {
            return Ok(RequestProgress::Complete);
        }
        if self.head.is_none() {
            self.skip_empty_lines();
            if self.buffer.is_empty() {
                return Ok(RequestProgress::Idle);
            }
            let Some(head) = Head::parse(&self.buffer, &mut self.scanned)? else {
                return Ok(RequestProgress::Partial);
            };
            check_request_line(&head, &self.buffer)?;
            self.begin_body(&head)?;
            self.head = Some(head);
        }
        if !self.read_body()? {
            return Ok(RequestProgress::Partial);
        }
        self.complete_len = Some(self.body.end);
        Ok(RequestProgress::Complete)
    }

    /// Drops empty lines before a request line (RFC 9112 section 2.2).
    fn skip_empty_lines(&mut self) {
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.drain(..2);
            self.scanned = 0;
        }
    }

    /// Prepares for the body that the head announces (RFC 9112 section 6).
    fn begin_body(&mut self, head: &Head) -> Result<(), HttpError> {
        self.body = head.len..head.len;
        match head.framing(&self.buffer)? {
            Framing::Unspecified => {}
            Framing::Length(length) if length > MAX_BODY_BYTES => return Err(HttpError::BodyTooLong),
            Framing::Length(length) => {
                self.body.end += length;
                // Exactly what the body needs: many clients may send slowly at once.
                self.buffer.reserve_exact(self.body.end.saturating_sub(self.buffer.len()));
            }
            Framing::Chunked => {
                let version = head.start_line_word(&self.buffer, StartLineWord::Third);
                if version != "HTTP/1.1" {
                    // RFC 9112 section 6.1: a transfer coding in an HTTP/1.0 message makes its framing faulty.
                    return Err(HttpError::BadTransferCoding);
                }
                self.chunked = Some(ChunkedDecoder::default());
            }
        }
        Ok(())
    }

    /// Reads the body as far as the received bytes go; true if it is complete.
    fn read_body(&mut self) -> Result<bool, HttpError> {
        let Some(chunked) = &mut self.chunked else { return Ok(self.buffer.len() >= self.body.end) };
        // Encoded bytes are dropped as they are decoded: the buffer keeps the head and what follows the body.
        let start = self.body.end;
        let consumed = chunked.decode(&self.buffer[start..], &mut self.decoded_body, MAX_BODY_BYTES)?;
        self.buffer.drain(start..start + consumed);
        Ok(chunked.is_done())
    }

    /// The current request, if it is complete.
    pub fn request(&self) -> Option<Request<'_>> {
        self.complete_len?;
        let head = self.head.as_ref()?;
        let body = match self.chunked {
            Some(_) => &self.decoded_body[..],
            None => &self.buffer[self.body.clone()],
        };
        Some(Request { head, bytes: &self.buffer, body })
    }

    /// Buffered bytes after the current request; 0 until that is complete.
    pub fn buffered_after_request(&self) -> usize {
        self.complete_len.map_or(0, |len| self.buffer.len() - len)
    }

    /// Removes the current request, if it is complete; the next one begins after it.
    pub fn finish_request(&mut self) {
        if let Some(len) = self.complete_len.take() {
            self.buffer.drain(..len);
            self.head = None;
            self.chunked = None;
            self.decoded_body = Vec::new();
            self.scanned = 0;
            self.buffer.shrink_to(IDLE_BUFFER_BYTES);
        }
    }
}

/// Checks the version and the method of a request line (RFC 9112 section 3).
fn check_request_line(head: &Head, bytes: &[u8]) -> Result<(), HttpError> {
    match head.start_line_word(bytes, StartLineWord::Third) {
        "HTTP/1.1" | "HTTP/1.0" => {}
        other if other.starts_with("HTTP/") => return Err(HttpError::BadVersion),
        _ => return Err(HttpError::BadStartLine),
    }
    let method = head.start_line_word(bytes, StartLineWord::First);
    if !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
        return Err(HttpError::BadStartLine);
    }
    Ok(())
}

/// The reason phrase of a status code (RFC 9110 section 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Other",
    }
}

/// Encodes the head of a response with a JSON body of `length` bytes.
///
/// `retry_after_us` is the delay before a retry in microseconds; the service's protocol states it in seconds with
/// decimals, an extension of RFC 9110 section 10.2.3.
pub fn response_head(status: u16, length: usize, retry_after_us: Option<i64>, close: bool) -> Vec<u8> {
    let reason = reason_phrase(status);
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n");
    head.push_str(&format!("Content-Length: {length}\r\n"));
    if let Some(delay_us) = retry_after_us {
        let seconds = delay_us.max(0) as f64 / 1e6;
        head.push_str(&format!("Retry-After: {seconds:.3}\r\n"));
    }
    if status == 405 {
        head.push_str("Allow: GET, POST\r\n");
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    head.into_bytes()
}
