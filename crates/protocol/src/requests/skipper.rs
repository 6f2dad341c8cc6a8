//! Skips pipelined requests without storing them, so that the end of a connection behind them can be read.

use super::{check_head, EMPTY_LINE};
use crate::chunks::ChunkedDecoder;
use crate::head::{Framing, Head, HttpError};
use crate::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Maximum number of bytes that are stored of a head that is received partially.
const MAX_STORED_HEAD_BYTES: usize = 4096;

/// The reason why no request can follow on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipEnd {
    /// A request asked for the connection to be closed after it.
    Close,
    /// The bytes are not a valid request.
    Malformed(HttpError),
}

/// How much of the body of the current request is outstanding.
#[derive(Debug)]
enum SkippedBody {
    /// The number of bytes.
    Length(usize),
    /// The body is chunked. Contains the number of decoded bytes so far.
    Chunked { decoder: ChunkedDecoder, decoded_bytes: usize },
}

/// Incremental parser that counts requests and drops them. It stores part of one head at most.
#[derive(Debug, Default)]
pub struct RequestSkipper {
    /// Bytes of a head that has been received partially.
    partial_head: Vec<u8>,
    /// Number of bytes of `partial_head` that have been searched for the end of the head.
    scanned: usize,
    /// Number of bytes of empty lines before the current request.
    empty_line_bytes: usize,
    /// The body of the current request, if its head is complete.
    body: Option<SkippedBody>,
    /// Whether the current request asks for the connection to be closed after it.
    closes: bool,
    /// Number of bytes skipped since the end of the last complete request.
    incomplete_bytes: usize,
    /// Number of complete requests that have not been taken with [`RequestSkipper::take_requests`].
    requests: usize,
    end: Option<SkipEnd>,
}

impl RequestSkipper {
    /// Creates a skipper that continues behind the bytes `stored`, which begin with a request. Returns it and the
    /// number of bytes at the end of `stored` that belong to a request which continues behind them. That request
    /// is skipped as a whole, so the caller has to drop these bytes.
    ///
    /// If no request can follow `stored`, all further bytes are dropped and no request is counted.
    pub(super) fn behind(stored: &[u8]) -> (RequestSkipper, usize) {
        let mut skipper = RequestSkipper::default();
        skipper.skip(stored);
        skipper.requests = 0;
        let dropped = if skipper.end.is_none() { skipper.incomplete_bytes } else { 0 };
        (skipper, dropped)
    }

    /// Skips received bytes. They are dropped without being examined after the end of the requests.
    pub fn skip(&mut self, bytes: &[u8]) {
        let joined;
        let mut rest = bytes;
        if !self.partial_head.is_empty() {
            self.partial_head.extend_from_slice(bytes);
            self.incomplete_bytes -= self.partial_head.len() - bytes.len();
            joined = std::mem::take(&mut self.partial_head);
            rest = &joined;
        }
        while !rest.is_empty() && self.end.is_none() {
            match self.skip_some(rest) {
                Ok(0) => return self.store_partial_head(rest),
                Ok(count) => rest = &rest[count..],
                Err(error) => self.end = Some(SkipEnd::Malformed(error)),
            }
        }
    }

    /// Skips a part of the bytes, up to the end of the current head or body. Returns their number, or 0 if the
    /// head is not complete.
    fn skip_some(&mut self, bytes: &[u8]) -> Result<usize, HttpError> {
        let count = match &mut self.body {
            None => self.skip_head(bytes)?,
            Some(SkippedBody::Length(outstanding)) => {
                let count = bytes.len().min(*outstanding);
                *outstanding -= count;
                count
            }
            Some(SkippedBody::Chunked { decoder, decoded_bytes }) => {
                let max_bytes = MAX_BODY_BYTES - *decoded_bytes;
                let mut decoded = Vec::new();
                let count = decoder.decode(bytes, &mut decoded, max_bytes)?;
                *decoded_bytes += decoded.len();
                count
            }
        };
        self.incomplete_bytes += count;
        self.finish_complete_request();
        Ok(count)
    }

    /// Skips empty lines, or a complete head. Returns the number of bytes, or 0 if the head is not complete.
    fn skip_head(&mut self, bytes: &[u8]) -> Result<usize, HttpError> {
        if bytes.starts_with(EMPTY_LINE) {
            self.empty_line_bytes += EMPTY_LINE.len();
            let is_too_long = self.empty_line_bytes > MAX_HEAD_BYTES;
            return if is_too_long { Err(HttpError::HeadTooLong) } else { Ok(EMPTY_LINE.len()) };
        }
        let Some(head) = Head::parse(bytes, &mut self.scanned)? else {
            let is_too_long = bytes.len() > MAX_STORED_HEAD_BYTES;
            return if is_too_long { Err(HttpError::HeadTooLong) } else { Ok(0) };
        };
        self.body = Some(match check_head(&head, bytes)? {
            Framing::Unspecified => SkippedBody::Length(0),
            Framing::Length(length) => SkippedBody::Length(length),
            Framing::Chunked => SkippedBody::Chunked { decoder: ChunkedDecoder::default(), decoded_bytes: 0 },
        });
        self.closes = !head.keeps_alive(bytes);
        self.scanned = 0;
        self.empty_line_bytes = 0;
        Ok(head.len)
    }

    /// Counts the current request if its body is complete.
    fn finish_complete_request(&mut self) {
        let is_complete = match &self.body {
            None => false,
            Some(SkippedBody::Length(outstanding)) => *outstanding == 0,
            Some(SkippedBody::Chunked { decoder, .. }) => decoder.is_done(),
        };
        if is_complete {
            self.body = None;
            self.incomplete_bytes = 0;
            self.requests += 1;
            self.end = self.closes.then_some(SkipEnd::Close);
        }
    }

    fn store_partial_head(&mut self, bytes: &[u8]) {
        self.partial_head = bytes.to_vec();
        self.incomplete_bytes += bytes.len();
    }

    /// Takes up to `max_requests` complete requests. Returns their number.
    pub fn take_requests(&mut self, max_requests: usize) -> usize {
        let taken = self.requests.min(max_requests);
        self.requests -= taken;
        taken
    }

    /// Returns the number of complete requests that have not been taken.
    pub fn requests(&self) -> usize {
        self.requests
    }

    /// Returns the reason why no request can follow the complete ones, if there is one.
    pub fn end(&self) -> Option<SkipEnd> {
        self.end
    }

    /// Returns whether a body has been received partially.
    pub fn is_within_body(&self) -> bool {
        self.body.is_some()
    }

    /// Ends the skipping within a head, and returns the bytes of it that have been received.
    pub fn into_partial_head(self) -> Vec<u8> {
        self.partial_head
    }
}
