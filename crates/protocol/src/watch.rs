//! The client side of a watch on the discovery service.
//!
//! A watch is an HTTP response that stays open. Its body carries updates of the endpoint list as JSON
//! objects, and blank lines as keep-alives.

use crate::chunks::ChunkedDecoder;
use crate::endpoint_list::{parse_list_update, EndpointListError, ListUpdate};
use crate::head::{Framing, Head, HttpError, StartLineWord};
use crate::json_stream::{JsonStreamSplitter, StreamItem, StreamItemTooLong, MAX_ENDPOINT_LIST_BYTES};
use crate::names::WireNames;
use std::rc::Rc;

/// An event received on a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The complete endpoint list, or the changes to an earlier version.
    Update(ListUpdate),
    /// A blank line. The list has not changed, and the connection is alive.
    KeepAlive,
}

/// The reason why a watch failed. The connection can't be used after it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// The response is not valid HTTP, or an endpoint list exceeds its size limit.
    #[error("invalid HTTP response: {0}")]
    Http(#[from] HttpError),
    /// The response has a status code other than 200.
    #[error("response with status {0} instead of 200")]
    Status(u16),
    /// The body contains text that is not a valid endpoint list.
    #[error(transparent)]
    EndpointList(#[from] EndpointListError),
}

/// How the end of the response body is determined, and how much of the body is outstanding.
#[derive(Debug)]
enum Body {
    /// The body uses the chunked transfer coding.
    Chunked(ChunkedDecoder),
    /// The head gives the length of the body. Contains the number of bytes not yet received.
    Length(usize),
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Incremental decoder for the response of one watch.
#[derive(Debug, Default)]
pub struct WatchDecoder {
    names: Rc<WireNames>,
    /// Received bytes of the head. Empty after the head is complete.
    head: Vec<u8>,
    /// Number of bytes of the head that have been searched for its end.
    scanned: usize,
    /// State of the body, if the head is complete.
    body: Option<Body>,
    /// Splits the body into endpoint lists and blank lines.
    lists: JsonStreamSplitter,
    /// The error found in the received bytes, if any. Events that were complete before it are returned first.
    error: Option<WatchError>,
}

impl WatchDecoder {
    /// Creates a decoder for endpoint lists with the given names.
    pub fn new(names: Rc<WireNames>) -> WatchDecoder {
        WatchDecoder { names, ..WatchDecoder::default() }
    }

    /// Processes received bytes. An error in them is returned by [`next_event`](WatchDecoder::next_event).
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            self.error = self.process(bytes).err();
        }
    }

    fn process(&mut self, bytes: &[u8]) -> Result<(), WatchError> {
        if self.body.is_some() {
            return self.process_body(bytes);
        }
        self.head.extend_from_slice(bytes);
        let Some(head) = Head::parse(&self.head, &mut self.scanned)? else { return Ok(()) };
        self.body = Some(self.begin_body(&head)?);
        let after_head = std::mem::take(&mut self.head).split_off(head.len);
        self.process_body(&after_head)
    }

    /// Checks the status line (RFC 9112 section 4) and determines the framing of the body (section 6.3).
    fn begin_body(&self, head: &Head) -> Result<Body, WatchError> {
        let version = head.start_line_word(&self.head, StartLineWord::First);
        if !version.starts_with("HTTP/1.") {
            return Err(HttpError::BadVersion.into());
        }
        let status = head.start_line_word(&self.head, StartLineWord::Second);
        let status: u16 = status.parse().map_err(|_| HttpError::BadStartLine)?;
        if status != 200 {
            return Err(WatchError::Status(status));
        }
        Ok(match head.framing(&self.head)? {
            Framing::Chunked => Body::Chunked(ChunkedDecoder::default()),
            Framing::Length(length) => Body::Length(length),
            Framing::Unspecified => Body::UntilClose,
        })
    }

    fn process_body(&mut self, bytes: &[u8]) -> Result<(), WatchError> {
        match &mut self.body {
            Some(Body::Chunked(decoder)) => {
                decoder.decode(bytes, &mut self.lists.buffer, usize::MAX)?;
            }
            Some(Body::Length(remaining)) => {
                let count = bytes.len().min(*remaining);
                *remaining -= count;
                self.lists.feed(&bytes[..count]);
                let ends_now = *remaining == 0 && count > 0;
                if ends_now && self.lists.buffer.last() != Some(&b'\n') {
                    // The last line of a body of known length may lack its line feed.
                    self.lists.buffer.push(b'\n');
                }
            }
            Some(Body::UntilClose) | None => self.lists.feed(bytes),
        }
        Ok(())
    }

    /// Returns the next event, or `None` if no complete event has been received.
    ///
    /// # Errors
    /// [`WatchError`] if the response is not a valid watch. The connection can't be used after an error.
    pub fn next_event(&mut self) -> Result<Option<WatchEvent>, WatchError> {
        match self.lists.next_item(MAX_ENDPOINT_LIST_BYTES) {
            Err(StreamItemTooLong) => Err(HttpError::BodyTooLong.into()),
            Ok(Some(StreamItem::BlankLine)) => Ok(Some(WatchEvent::KeepAlive)),
            Ok(Some(StreamItem::Text(text))) => {
                Ok(Some(WatchEvent::Update(parse_list_update(&text, &self.names)?)))
            }
            Ok(None) => match &self.error {
                Some(error) => Err(error.clone()),
                None => Ok(None),
            },
        }
    }

    /// Returns whether the body of the response has been received completely.
    pub fn is_complete(&self) -> bool {
        match &self.body {
            Some(Body::Chunked(decoder)) => decoder.is_done(),
            Some(Body::Length(remaining)) => *remaining == 0,
            Some(Body::UntilClose) | None => false,
        }
    }
}
