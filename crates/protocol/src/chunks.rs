//! Incremental decoder of the chunked transfer coding ([RFC 9112 section
//! 7.1](https://www.rfc-editor.org/rfc/rfc9112#section-7.1)).
//!
//! Chunk extensions and trailer fields are skipped. The decoder is stricter than the RFC where leniency would
//! allow request smuggling: every line must end with CRLF, and a chunk size must have no sign and no white
//! space around it.

use crate::head::HttpError;

/// Maximum length of a chunk-size line or trailer line in bytes, including its CR but not its LF.
const MAX_LINE_BYTES: usize = 256;
/// Maximum number of trailer lines after the last chunk.
const MAX_TRAILER_LINES: usize = 16;
/// Maximum number of bytes by which the chunk extensions may exceed the chunk data that follows them.
/// Otherwise a peer could send without an end and without ever completing a body or a line.
const MAX_EXCESS_EXTENSION_BYTES: usize = 16 * 1024;
/// Maximum number of hexadecimal digits in a chunk size.
const MAX_SIZE_DIGITS: usize = 8;

/// The element of the chunked coding that the decoder expects next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// A chunk-size line.
    #[default]
    Size,
    /// Chunk data, with the number of bytes not yet received.
    Data(usize),
    /// The CRLF after the data of a chunk.
    DataEnd,
    /// A trailer line, or the empty line that ends the body.
    Trailer,
    /// Nothing, because the body is complete.
    Done,
}

/// Incremental decoder for one chunked body.
#[derive(Debug, Default)]
pub(crate) struct ChunkedDecoder {
    state: State,
    /// Received bytes of the current line.
    line: Vec<u8>,
    trailer_lines: usize,
    /// Number of bytes by which the chunk extensions exceed the chunk data so far.
    excess_extension_bytes: usize,
}

impl ChunkedDecoder {
    /// Returns whether the last chunk and the trailer section have been read.
    pub(crate) fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes `input`, appends the decoded bytes to `body`, and returns the number of input bytes consumed.
    /// That is less than the length of `input` only if the body ends within it.
    ///
    /// # Errors
    /// * [`HttpError::BadChunkedCoding`] if the coding is malformed.
    /// * [`HttpError::BodyTooLong`] if a chunk size would make the body longer than `max_body_bytes`. The
    ///   error is returned before the data of that chunk is read.
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

    /// Copies chunk data to `body` and returns the number of bytes copied. `remaining` bytes of the chunk
    /// have not been received before this input.
    fn copy_data(&mut self, input: &[u8], remaining: usize, body: &mut Vec<u8>) -> usize {
        let count = remaining.min(input.len());
        body.extend_from_slice(&input[..count]);
        self.state = if count == remaining { State::DataEnd } else { State::Data(remaining - count) };
        count
    }

    /// Appends a byte to the current line. Returns true if the byte completes the line, and then removes the
    /// CR that was stored before it.
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

    /// Processes the completed line, sets the next state, and clears the line.
    fn finish_line(&mut self) -> Result<(), HttpError> {
        if self.line.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t') {
            return Err(HttpError::BadChunkedCoding);
        }
        self.state = match self.state {
            State::Size => match self.parse_chunk_size()? {
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

    /// Parses the current line as a chunk-size line. The chunk extensions after a semicolon are ignored, but
    /// their size is limited.
    fn parse_chunk_size(&mut self) -> Result<usize, HttpError> {
        let digits = self.line.split(|byte| *byte == b';').next().unwrap_or_default();
        let size = parse_hexadecimal(digits)?;
        let extension_bytes = self.line.len() - digits.len();
        self.excess_extension_bytes = (self.excess_extension_bytes + extension_bytes).saturating_sub(size);
        if self.excess_extension_bytes > MAX_EXCESS_EXTENSION_BYTES {
            return Err(HttpError::BadChunkedCoding);
        }
        Ok(size)
    }
}

/// Parses the digits of a chunk size.
fn parse_hexadecimal(digits: &[u8]) -> Result<usize, HttpError> {
    let is_valid = !digits.is_empty()
        && digits.len() <= MAX_SIZE_DIGITS
        && digits.iter().all(|byte| byte.is_ascii_hexdigit());
    if !is_valid {
        return Err(HttpError::BadChunkedCoding);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HttpError::BadChunkedCoding)?;
    usize::from_str_radix(text, 16).map_err(|_| HttpError::BadChunkedCoding)
}
