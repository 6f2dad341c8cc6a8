//! The front node's side of a watch on discovery: an HTTP answer that stays open, one line at a time.

use crate::chunks::Chunks;
use crate::head::{Framing, Head, HttpError};
use crate::registry::{parse, BadList, News};
use std::fmt;

/// Most bytes of one line of a watch: a list of well over a thousand index servers.
const MOST_LINE: usize = 512 * 1024;

/// What a watch says.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// News.
    News(News),
    /// Nothing has changed.
    Alive,
}

/// Why a watch has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchError {
    /// The bytes are not HTTP.
    Http(HttpError),
    /// Discovery answered with a status other than 200.
    Status(u16),
    /// A line is no list.
    List(BadList),
}

impl fmt::Display for WatchError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Http(error) => error.fmt(to),
            WatchError::Status(status) => write!(to, "status {status}"),
            WatchError::List(error) => error.fmt(to),
        }
    }
}

impl std::error::Error for WatchError {}

#[derive(Debug)]
enum Body {
    Chunked(Chunks),
    Length(usize),
    UntilEnd,
}

/// One watch.
#[derive(Debug, Default)]
pub struct Watch {
    head: Vec<u8>,
    scanned: usize,
    body: Option<Body>,
    text: Vec<u8>,
    /// Bytes of the text in which no line's end was found.
    seen: usize,
    /// What was wrong with the bytes; the lines before it still count.
    broken: Option<WatchError>,
}

impl Watch {
    /// Takes bytes as they come.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.broken.is_none() {
            self.broken = self.read(bytes).err();
        }
    }

    fn read(&mut self, bytes: &[u8]) -> Result<(), WatchError> {
        let mut bytes = bytes;
        let rest;
        if self.body.is_none() {
            self.head.extend_from_slice(bytes);
            let found = Head::parse(&self.head, &mut self.scanned).map_err(WatchError::Http)?;
            let Some(head) = found else { return Ok(()) };
            if !head.word(&self.head, 0).starts_with("HTTP/1.") {
                return Err(WatchError::Http(HttpError::BadVersion));
            }
            let status = head.word(&self.head, 1).parse::<u16>();
            let status = status.map_err(|_| WatchError::Http(HttpError::BadStart))?;
            if status != 200 {
                return Err(WatchError::Status(status));
            }
            self.body = Some(match head.framing(&self.head).map_err(WatchError::Http)? {
                Framing::Chunked => Body::Chunked(Chunks::default()),
                Framing::Length(length) => Body::Length(length),
                Framing::Unstated => Body::UntilEnd,
            });
            let len = head.len;
            rest = std::mem::take(&mut self.head).split_off(len);
            bytes = &rest;
        }
        match &mut self.body {
            Some(Body::Chunked(chunks)) => {
                chunks.take(bytes, &mut self.text, usize::MAX).map_err(WatchError::Http)?;
            }
            Some(Body::Length(left)) => {
                let some = bytes.len().min(*left);
                *left -= some;
                self.text.extend_from_slice(&bytes[..some]);
                if *left == 0 && some > 0 && self.text.last() != Some(&b'\n') {
                    self.text.push(b'\n'); // a body of stated length may end its last line without saying so
                }
            }
            Some(Body::UntilEnd) | None => self.text.extend_from_slice(bytes),
        }
        Ok(())
    }

    /// The next line, if it is there. After an error the connection is of no more use.
    pub fn next_said(&mut self) -> Result<Option<Said>, WatchError> {
        let end = self.text[self.seen..].iter().position(|byte| *byte == b'\n');
        if self.seen + end.unwrap_or(self.text.len() - self.seen) > MOST_LINE {
            return Err(WatchError::Http(HttpError::BodyTooLong));
        }
        let Some(at) = end else {
            self.seen = self.text.len();
            return self.broken.clone().map_or(Ok(None), Err);
        };
        let line: Vec<u8> = self.text.drain(..=self.seen + at).collect();
        self.seen = 0;
        if line.trim_ascii().is_empty() {
            return Ok(Some(Said::Alive));
        }
        parse(&line).map(|news| Some(Said::News(news))).map_err(WatchError::List)
    }

    /// Whether discovery has ended the answer in good order.
    pub fn ended(&self) -> bool {
        match &self.body {
            Some(Body::Chunked(chunks)) => chunks.done(),
            Some(Body::Length(left)) => *left == 0,
            _ => false,
        }
    }
}
