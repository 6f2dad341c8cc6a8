//! Chunked bodies, byte by byte.

use crate::head::HttpError;

/// Most bytes of a chunk's size line or of a trailer line.
const MOST_LINE: usize = 256;
/// Most trailer lines.
const MOST_TRAILERS: usize = 16;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum At {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    Trailer,
    Done,
}

/// Where a chunked body stands.
#[derive(Debug, Default)]
pub(crate) struct Chunks {
    at: At,
    line: Vec<u8>,
    trailers: usize,
}

impl Chunks {
    pub(crate) fn done(&self) -> bool {
        self.at == At::Done
    }

    /// Takes bytes, appends the body's to `into`, and says how many were used: all, unless the body ends.
    /// A chunk that would make the body longer than `most` is an error before its bytes have come.
    pub(crate) fn take(&mut self, bytes: &[u8], into: &mut Vec<u8>, most: usize) -> Result<usize, HttpError> {
        let mut used = 0;
        while used < bytes.len() && !self.done() {
            if let At::Data(left) = self.at {
                let some = left.min(bytes.len() - used);
                into.extend_from_slice(&bytes[used..used + some]);
                used += some;
                self.at = if some == left { At::DataEnd } else { At::Data(left - some) };
                continue;
            }
            let byte = bytes[used];
            used += 1;
            if byte != b'\n' {
                self.line.push(byte);
                if self.line.len() > MOST_LINE {
                    return Err(HttpError::BadChunk);
                }
                continue;
            }
            if self.line.pop() != Some(b'\r') {
                return Err(HttpError::BadChunk);
            }
            self.line_over()?;
            self.line.clear();
            if matches!(self.at, At::Data(size) if size > most.saturating_sub(into.len())) {
                return Err(HttpError::BodyTooLong);
            }
        }
        Ok(used)
    }

    fn line_over(&mut self) -> Result<(), HttpError> {
        if self.line.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t') {
            return Err(HttpError::BadChunk);
        }
        match self.at {
            At::Size => {
                let size = self.line.split(|byte| *byte == b';').next().unwrap_or_default();
                let text = std::str::from_utf8(size).map_err(|_| HttpError::BadChunk)?;
                if text.is_empty() || text.len() > 8 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                    return Err(HttpError::BadChunk);
                }
                let size = usize::from_str_radix(text, 16).map_err(|_| HttpError::BadChunk)?;
                self.at = if size == 0 { At::Trailer } else { At::Data(size) };
            }
            At::DataEnd if self.line.is_empty() => self.at = At::Size,
            At::DataEnd => return Err(HttpError::BadChunk),
            At::Trailer if self.line.is_empty() => self.at = At::Done,
            At::Trailer => {
                self.trailers += 1;
                if self.trailers > MOST_TRAILERS {
                    return Err(HttpError::BadChunk);
                }
            }
            At::Data(_) | At::Done => {}
        }
        Ok(())
    }
}
