//! The client's side of a watch on discovery: an HTTP response that stays open and carries JSON lists and blank lines.

use crate::chunks::ChunkedDecoder;
use crate::endpoint_list::{parse_list_update, EndpointListError, ListUpdate};
use crate::head::{Framing, Head, HttpError, StartLineWord};
use crate::json_stream::{JsonStreamSplitter, StreamItem, StreamItemTooLong, MAX_ENDPOINT_LIST_BYTES};
use crate::names::WireNames;
use std::rc::Rc;

/// An event of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The complete list, or changes to it.
    Update(ListUpdate),
    /// A blank line: nothing has changed, and the connection is alive.
    KeepAlive,
}

/// A watch that has failed. The connection can't be used any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// The response is not valid HTTP.
    #[error("invalid HTTP response: {0}")]
    Http(#[from] HttpError),
    /// The response has a status other than 200.
    #[error("response with status {0}")]
    Status(u16),
    /// A line of the body is not an endpoint list.
    #[error(transparent)]
    EndpointList(#[from] EndpointListError),
}

/// How the body of the response is delimited.
#[derive(Debug)]
enum Body {
    Chunked(ChunkedDecoder),
    /// By its length; the number is the bytes still to come.
    Length(usize),
    /// By the end of the connection.
    UntilClose,
}

/// State of one watch.
#[derive(Debug, Default)]
pub struct WatchDecoder {
    names: Rc<WireNames>,
    /// Received bytes of the head, until it is complete.
    head: Vec<u8>,
    /// Bytes of the head that were searched for its end.
    scanned: usize,
    /// The body, once the head is complete.
    body: Option<Body>,
    lists: JsonStreamSplitter,
    /// A fault in the received bytes. Events that were complete before it are still returned.
    failed: Option<WatchError>,
}

impl WatchDecoder {
    /// A watch on lists with these names.
    pub fn new(names: Rc<WireNames>) -> WatchDecoder {
        WatchDecoder { names, ..WatchDecoder::default() }
    }

    /// Processes received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.failed = self.process(bytes).err();
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

    /// Checks the status line (RFC 9112 section 4) and finds how the body is delimited (section 6.3).
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

    /// Returns the next event, or `None` until one is complete.
    ///
    /// # Errors
    /// [`WatchError`]; the connection can't be used any further.
    pub fn next_event(&mut self) -> Result<Option<WatchEvent>, WatchError> {
        match self.lists.next_item(MAX_ENDPOINT_LIST_BYTES) {
            Err(StreamItemTooLong) => Err(HttpError::BodyTooLong.into()),
            Ok(Some(StreamItem::BlankLine)) => Ok(Some(WatchEvent::KeepAlive)),
            Ok(Some(StreamItem::Text(text))) => {
                Ok(Some(WatchEvent::Update(parse_list_update(&text, &self.names)?)))
            }
            Ok(None) => match &self.failed {
                Some(error) => Err(error.clone()),
                None => Ok(None),
            },
        }
    }

    /// Whether the body of the response is complete.
    pub fn is_complete(&self) -> bool {
        match &self.body {
            Some(Body::Chunked(decoder)) => decoder.is_done(),
            Some(Body::Length(remaining)) => *remaining == 0,
            Some(Body::UntilClose) | None => false,
        }
    }
}
