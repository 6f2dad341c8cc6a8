//! Incremental decoder of the chunked transfer coding ([RFC 9112 section
//! 7.1](https://www.rfc-editor.org/rfc/rfc9112#section-7.1)).
//!
//! Chunk extensions and trailer fields are skipped. Stricter than the RFC where leniency allows request smuggling:
//! a line ends with CRLF only, and a chunk size has neither blanks nor a sign around it.

use crate::head::HttpError;

/// Longest chunk-size line or trailer line, in bytes with its CR.
const MAX_LINE_BYTES: usize = 256;
/// Most trailer lines after the last chunk.
const MAX_TRAILER_LINES: usize = 16;
/// Most hexadecimal digits of a chunk size.
const MAX_SIZE_DIGITS: usize = 8;

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// A chunk-size line.
    #[default]
    Size,
    /// Chunk data; the number is the bytes still to come.
    Data(usize),
    /// The CRLF after the data of a chunk.
    DataEnd,
    /// A trailer line or the empty line that ends the body.
    Trailer,
    /// Nothing: the body is complete.
    Done,
}

/// Decoder of one chunked body.
#[derive(Debug, Default)]
pub(crate) struct ChunkedDecoder {
    state: State,
    /// Bytes of the current line so far.
    line: Vec<u8>,
    trailer_lines: usize,
}

impl ChunkedDecoder {
    /// Whether the last chunk and the trailer section have been read.
    pub(crate) fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes `input`, appends body bytes to `body` and returns how many bytes of the input were consumed: all of
    /// them, unless the body ends before.
    ///
    /// # Errors
    /// [`HttpError::BadChunkedCoding`] on malformed framing; [`HttpError::BodyTooLong`] as soon as a chunk size would make
    /// the body longer than `max_body_bytes`, before the data of that chunk is read.
    pub(crate) fn decode(
        &mut self,
        input: &[u8],
        body: &mut Vec<u8>,
        max_body_bytes: usize,
    ) -> Result<usize, HttpError> {
        let mut consumed = 0;
        while consumed < input.len() && !self.is_done() {
            if let State::Data(remaining) = self.state {
                consumed += self.copy_data(&input[consumed..], remaining, body);
                continue;
            }
            let byte = input[consumed];
            consumed += 1;
            if !self.push_line_byte(byte)? {
                continue;
            }
            self.finish_line()?;
            let room = max_body_bytes.saturating_sub(body.len());
            if matches!(self.state, State::Data(size) if size > room) {
                return Err(HttpError::BodyTooLong);
            }
        }
        Ok(consumed)
    }

    /// Copies chunk data and returns how many bytes were taken.
    fn copy_data(&mut self, input: &[u8], remaining: usize, body: &mut Vec<u8>) -> usize {
        let count = remaining.min(input.len());
        body.extend_from_slice(&input[..count]);
        self.state = if count == remaining { State::DataEnd } else { State::Data(remaining - count) };
        count
    }

    /// Adds a byte to the current line; true if it completes the line, which is then without its CRLF.
    fn push_line_byte(&mut self, byte: u8) -> Result<bool, HttpError> {
        if byte != b'\n' {
            self.line.push(byte);
            return if self.line.len() > MAX_LINE_BYTES {
                Err(HttpError::BadChunkedCoding)
            } else {
                Ok(false)
            };
        }
        if self.line.pop() != Some(b'\r') {
            return Err(HttpError::BadChunkedCoding);
        }
        Ok(true)
    }

    /// Acts on the completed line and clears it.
    fn finish_line(&mut self) -> Result<(), HttpError> {
        if self.line.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t') {
            return Err(HttpError::BadChunkedCoding);
        }
        self.state = match self.state {
            State::Size => match parse_chunk_size(&self.line)? {
                0 => State::Trailer,
                size => State::Data(size),
            },
            State::DataEnd if self.line.is_empty() => State::Size,
            State::DataEnd => return Err(HttpError::BadChunkedCoding),
            State::Trailer if self.line.is_empty() => State::Done,
            State::Trailer => {
                self.trailer_lines += 1;
                if self.trailer_lines > MAX_TRAILER_LINES {
                    return Err(HttpError::BadChunkedCoding);
                }
                State::Trailer
            }
            unchanged @ (State::Data(_) | State::Done) => unchanged,
        };
        self.line.clear();
        Ok(())
    }
}

/// Parses a chunk-size line; extensions after a semicolon are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_valid = !digits.is_empty()
        && digits.len() <= MAX_SIZE_DIGITS
        && digits.iter().all(|byte| byte.is_ascii_hexdigit());
    if !is_valid {
        return Err(HttpError::BadChunkedCoding);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HttpError::BadChunkedCoding)?;
    usize::from_str_radix(text, 16).map_err(|_| HttpError::BadChunkedCoding)
}
