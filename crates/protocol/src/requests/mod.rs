//! The server side of an HTTP/1.1 connection ([RFC 9112](https://www.rfc-editor.org/rfc/rfc9112)): an
//! incremental parser for requests, a parser that skips requests, and an encoder for the heads of responses.

mod skipper;

pub use skipper::{RequestSkipper, SkipEnd};

use crate::chunks::ChunkedDecoder;
use crate::head::{Framing, Head, HttpError, StartLineWord};
use crate::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use std::ops::Range;

/// Maximum capacity in bytes of the receive buffer between requests.
const IDLE_BUFFER_BYTES: usize = 4096;

/// Number of bytes of a request that are stored without a reservation, see [`RequestParser::reservation`].
pub const UNRESERVED_BYTES: usize = 8 * 1024;
/// Maximum number of bytes read at once while a request may turn out to need no reservation.
const READ_STEP_BYTES: usize = UNRESERVED_BYTES / 2;
/// Maximum number of bytes that are stored after a complete request without a reservation.
pub const UNRESERVED_READ_AHEAD_BYTES: usize = READ_STEP_BYTES;
/// Maximum number of bytes that are stored after a complete request with a reservation of as many bytes.
pub const RESERVED_READ_AHEAD_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;

/// A line without content.
const EMPTY_LINE: &[u8] = b"\r\n";

/// How much of the current request has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// No byte of the request has been received.
    Idle,
    /// The request has been received partially.
    Partial,
    /// The request is complete, and [`RequestParser::request`] returns it.
    Complete,
}

/// A complete request, borrowed from its [`RequestParser`].
#[derive(Debug)]
pub struct Request<'a> {
    head: &'a Head,
    bytes: &'a [u8],
    /// The body, after the transfer coding has been removed.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// Returns the method.
    pub fn method(&self) -> &'a str {
        self.head.start_line_word(self.bytes, StartLineWord::First)
    }

    /// Returns the path of the request target, without the query component.
    pub fn path(&self) -> &'a str {
        let target = self.head.start_line_word(self.bytes, StartLineWord::Second);
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// Returns the value of a header field, or `None` if the request does not contain the field.
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

    /// Returns whether the client allows the connection to persist after the response.
    pub fn keeps_alive(&self) -> bool {
        self.head.keeps_alive(self.bytes)
    }
}

/// The error returned for a header field that is repeated or not UTF-8, so that its value is ambiguous.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header field is repeated or not UTF-8")]
pub struct AmbiguousField;

/// Incremental parser for the requests of one connection. It parses pipelined requests one after the other.
#[derive(Debug, Default)]
pub struct RequestParser {
    /// Number of bytes of empty lines that were dropped before the current request.
    empty_line_bytes: usize,
    /// Received bytes, beginning with the current request. Bytes of a chunked body are removed as they are
    /// decoded.
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that have been searched for the end of the head.
    scanned: usize,
    /// Head of the current request, if it is complete.
    head: Option<Head>,
    /// Decoder for the body of the current request, if the body is chunked.
    chunked: Option<ChunkedDecoder>,
    /// Decoded bytes of a chunked body.
    decoded_body: Vec<u8>,
    /// Range of the body in the buffer. Empty if the body is chunked.
    body: Range<usize>,
    /// Number of buffered bytes that belong to the current request, if it is complete.
    complete_len: Option<usize>,
}

impl RequestParser {
    /// Appends received bytes, at most [`read_limit`](RequestParser::read_limit) of them.
    pub fn feed(&mut self, bytes: &[u8]) {
        // Allocates exactly what a body of known length needs, because a growing vector would allocate up to twice
        // as much and many connections may hold such a buffer at once.
        let outstanding = self.outstanding_bytes().min(self.unreserved_read_limit());
        self.buffer.reserve_exact(outstanding.max(bytes.len()));
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the maximum number of bytes that the caller may read now. It is 0 if `max_read_ahead` bytes of
    /// further requests are stored, which applies backpressure to a client that pipelines requests.
    pub fn read_limit(&self, max_read_ahead: usize) -> usize {
        if self.complete_len.is_some() {
            return max_read_ahead.saturating_sub(self.buffered_after_request());
        }
        match (&self.head, &self.chunked) {
            (None, _) if self.buffer.len() < READ_STEP_BYTES => READ_STEP_BYTES,
            (None, _) => (MAX_HEAD_BYTES + READ_STEP_BYTES).saturating_sub(self.buffer.len()),
            (Some(_), Some(_)) => READ_STEP_BYTES,
            (Some(_), None) => self.outstanding_bytes().min(self.unreserved_read_limit()),
        }
    }

    /// Returns the number of bytes that a body of known length lacks.
    fn outstanding_bytes(&self) -> usize {
        self.body.end.saturating_sub(self.buffer.len())
    }

    /// Returns the maximum number of bytes that may be read before the next call of
    /// [`reservation`](RequestParser::reservation).
    fn unreserved_read_limit(&self) -> usize {
        let may_need_reservation = self.body.end > UNRESERVED_BYTES && self.buffer.len() < READ_STEP_BYTES;
        if may_need_reservation {
            READ_STEP_BYTES
        } else {
            usize::MAX
        }
    }

    /// Returns whether so many bytes are stored between two requests that they need a reservation.
    pub fn needs_read_ahead_reservation(&self) -> bool {
        self.buffer.len() > UNRESERVED_READ_AHEAD_BYTES
    }

    /// Returns the number of bytes that the caller has to reserve for the current request before it reads more
    /// of it, so that the memory of all connections together stays within a limit. It is 0 for a request that
    /// needs at most [`UNRESERVED_BYTES`], as far as is known, and as long as few bytes have been received: a client
    /// that announces a long body and does not send it holds no reservation.
    ///
    /// A reservation covers the current request until [`finish_request`](RequestParser::finish_request); no
    /// further one is needed.
    pub fn reservation(&self) -> usize {
        let stored = self.buffer.len() + self.decoded_body.len();
        match (&self.head, &self.chunked) {
            _ if stored < READ_STEP_BYTES => 0,
            (None, _) => MAX_HEAD_BYTES + MAX_BODY_BYTES,
            (Some(head), Some(_)) => head.len + MAX_BODY_BYTES,
            (Some(_), None) if self.body.end <= UNRESERVED_BYTES => 0,
            (Some(_), None) => self.body.end,
        }
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Parses the received bytes of the current request.
    ///
    /// # Errors
    /// [`HttpError`] if the request is malformed or too large. The connection can't be used after an error.
    pub fn parse(&mut self) -> Result<RequestProgress, HttpError> {
        if self.complete_len.is_some() {
            return Ok(RequestProgress::Complete);
        }
        if self.head.is_none() {
            self.skip_empty_lines()?;
            if self.buffer.is_empty() {
                return Ok(RequestProgress::Idle);
            }
            let Some(head) = Head::parse(&self.buffer, &mut self.scanned)? else {
                return Ok(RequestProgress::Partial);
            };
            self.begin_body(&head)?;
            self.head = Some(head);
        }
        if !self.read_body()? {
            return Ok(RequestProgress::Partial);
        }
        self.complete_len = Some(self.body.end);
        Ok(RequestProgress::Complete)
    }

    /// Drops empty lines before a request line (RFC 9112 section 2.2). They count toward the maximum size of
    /// the head.
    fn skip_empty_lines(&mut self) -> Result<(), HttpError> {
        let lines = self.buffer.chunks_exact(EMPTY_LINE.len()).take_while(|line| *line == EMPTY_LINE).count();
        if lines > 0 {
            self.buffer.drain(..lines * EMPTY_LINE.len());
            self.scanned = 0;
            self.empty_line_bytes += lines * EMPTY_LINE.len();
        }
        if self.empty_line_bytes > MAX_HEAD_BYTES {
            return Err(HttpError::HeadTooLong);
        }
        Ok(())
    }

    /// Checks the head and prepares to read the body that it describes.
    fn begin_body(&mut self, head: &Head) -> Result<(), HttpError> {
        self.body = head.len..head.len;
        match check_head(head, &self.buffer)? {
            Framing::Unspecified => {}
            Framing::Length(length) => self.body.end += length,
            Framing::Chunked => self.chunked = Some(ChunkedDecoder::default()),
        }
        Ok(())
    }

    /// Reads the received bytes of the body. Returns true if the body is complete.
    fn read_body(&mut self) -> Result<bool, HttpError> {
        let Some(chunked) = &mut self.chunked else { return Ok(self.buffer.len() >= self.body.end) };
        // Removes the encoded bytes as they are decoded, so that the buffer holds the head and the bytes
        // after the body.
        let start = self.body.end;
        let has_reservation = self.decoded_body.len() >= READ_STEP_BYTES;
        if has_reservation {
            self.decoded_body.reserve_exact(MAX_BODY_BYTES - self.decoded_body.len());
        }
        let consumed = chunked.decode(&self.buffer[start..], &mut self.decoded_body, MAX_BODY_BYTES)?;
        self.buffer.drain(start..start + consumed);
        Ok(chunked.is_done())
    }

    /// Returns the current request, or `None` if it is not complete.
    pub fn request(&self) -> Option<Request<'_>> {
        self.complete_len?;
        let head = self.head.as_ref()?;
        let body = match self.chunked {
            Some(_) => &self.decoded_body[..],
            None => &self.buffer[self.body.clone()],
        };
        Some(Request { head, bytes: &self.buffer, body })
    }

    /// Returns the value of a header field of the current request. Returns `None` if the head is not complete or
    /// the field is absent, repeated or not UTF-8.
    pub fn head_field<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let request = Request { head: self.head.as_ref()?, bytes: &self.buffer, body: &[] };
        request.field(name).ok().flatten()
    }

    /// Returns the number of bytes stored of the current request if it is complete, otherwise 0.
    pub fn complete_bytes(&self) -> usize {
        self.complete_len.map_or(0, |len| len + self.decoded_body.len())
    }

    /// Returns the number of buffered bytes after the current request, or 0 if the request is not complete.
    pub fn buffered_after_request(&self) -> usize {
        self.complete_len.map_or(0, |len| self.buffer.len() - len)
    }

    /// Starts to skip the requests behind the stored ones. The skipper has to be passed all bytes that are received
    /// from now on. A request at the end of the stored bytes that is not complete is skipped too. Does not affect
    /// the current request, which has to be complete.
    pub fn skip_further_requests(&mut self) -> RequestSkipper {
        let stored_from = self.complete_len.unwrap_or(self.buffer.len());
        let (skipper, dropped) = RequestSkipper::behind(&self.buffer[stored_from..]);
        self.buffer.truncate(self.buffer.len() - dropped);
        skipper
    }

    /// Drops the body of the current request if it is complete, because the caller no longer needs it.
    pub fn release_body(&mut self) {
        if let Some(len) = &mut self.complete_len {
            *len -= self.body.len();
            self.buffer.drain(self.body.clone());
            self.body.end = self.body.start;
            self.decoded_body = Vec::new();
            self.free_large_buffer();
        }
    }

    /// Moves the stored bytes to a new buffer if the present one is large.
    ///
    /// Shrinking the buffer in place would leave a small allocation between two large free blocks. Many of these
    /// keep the allocator from reusing the free blocks for requests of the same size.
    fn free_large_buffer(&mut self) {
        if self.buffer.capacity() > IDLE_BUFFER_BYTES {
            self.buffer = self.buffer.as_slice().to_vec();
        }
    }

    /// Removes the current request from the buffer if it is complete, so that the next one can be parsed.
    pub fn finish_request(&mut self) {
        if let Some(len) = self.complete_len.take() {
            self.buffer.drain(..len);
            self.head = None;
            self.chunked = None;
            self.decoded_body = Vec::new();
            self.body = 0..0;
            self.scanned = 0;
            self.empty_line_bytes = 0;
            self.free_large_buffer();
        }
    }
}

/// Checks the head of a request. Returns how the end of the body is determined (RFC 9112 section 6).
///
/// # Errors
/// [`HttpError`] if the request line or the framing is invalid, or if the body is too long.
fn check_head(head: &Head, bytes: &[u8]) -> Result<Framing, HttpError> {
    check_request_line(head, bytes)?;
    let framing = head.framing(bytes)?;
    match framing {
        Framing::Length(length) if length > MAX_BODY_BYTES => Err(HttpError::BodyTooLong),
        // RFC 9112 section 6.1: the framing of an HTTP/1.0 message with a transfer coding is faulty.
        Framing::Chunked if head.start_line_word(bytes, StartLineWord::Third) != "HTTP/1.1" => {
            Err(HttpError::BadTransferCoding)
        }
        _ => Ok(framing),
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

/// Returns the reason phrase for a status code (RFC 9110 section 15).
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
/// `retry_after_us` is the delay in microseconds after which the client may retry. It is sent as
/// `Retry-After` in seconds with three decimals, which extends the whole seconds of RFC 9110 section 10.2.3.
/// If `close` is true, the head announces that the connection will be closed.
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
