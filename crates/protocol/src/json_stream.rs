//! Splits a stream of text into JSON objects and blank lines, however the objects are broken over lines.

/// Largest JSON object of a watch in bytes, white space and line breaks included: 3,200 index servers with 1,300
/// bytes each.
pub const MAX_ENDPOINT_LIST_BYTES: usize = 4 * 1024 * 1024;

/// A unit of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// An empty line.
    BlankLine,
    /// The bytes of one JSON object, or a line that is not one.
    Text(Vec<u8>),
}

/// A piece is longer than the limit that the caller gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("object or line exceeds the length limit")]
pub struct StreamItemTooLong;

/// Incremental splitter; bytes go in with [`feed`](JsonStreamSplitter::feed), pieces come out of
/// [`next_item`](JsonStreamSplitter::next_item).
#[derive(Debug, Default)]
pub struct JsonStreamSplitter {
    /// Bytes not yet returned in a piece; new ones are appended.
    pub(crate) buffer: Vec<u8>,
    /// Bytes at the front of the buffer that were examined already.
    scanned: usize,
    /// Braces that are open.
    depth: usize,
    /// The scan is inside a JSON string.
    in_string: bool,
    /// The byte before was a backslash inside a string.
    escaped: bool,
    /// The current line holds something other than an object.
    line_is_not_object: bool,
    /// An object ended on the current line: its line end is not a blank line.
    object_ended_on_line: bool,
}

impl JsonStreamSplitter {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next piece, or `None` until it is complete.
    ///
    /// # Errors
    /// [`StreamItemTooLong`] if the piece has more than `max_bytes` bytes.
    pub fn next_item(&mut self, max_bytes: usize) -> Result<Option<StreamItem>, StreamItemTooLong> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.scanned > max_bytes {
                return Err(StreamItemTooLong);
            }
            let piece = if self.depth > 0 { self.scan_object(byte) } else { self.scan_line(byte) };
            if piece.is_some() {
                return Ok(piece);
            }
        }
        Ok(None)
    }

    /// Examines a byte inside an object; returns the object with its last brace.
    fn scan_object(&mut self, byte: u8) -> Option<StreamItem> {
        match (self.in_string, byte) {
            (true, _) if self.escaped => self.escaped = false,
            (true, b'\\') => self.escaped = true,
            (_, b'"') => self.in_string = !self.in_string,
            (false, b'{') => self.depth += 1,
            (false, b'}') => self.depth -= 1,
            _ => {}
        }
        if self.depth > 0 {
            return None;
        }
        self.object_ended_on_line = true;
        Some(StreamItem::Text(self.take_scanned()))
    }

    /// Examines a byte outside of objects; returns a blank line or a line that is not an object with its line feed.
    fn scan_line(&mut self, byte: u8) -> Option<StreamItem> {
        match byte {
            b'\n' => return self.finish_line(),
            b'{' if !self.line_is_not_object => self.depth = 1,
            blank if blank.is_ascii_whitespace() => {}
            _ => self.line_is_not_object = true,
        }
        None
    }

    /// Takes the line that ended and resets what is known of it.
    fn finish_line(&mut self) -> Option<StreamItem> {
        let line = self.take_scanned();
        let is_not_object = std::mem::take(&mut self.line_is_not_object);
        let object_ended = std::mem::take(&mut self.object_ended_on_line);
        if is_not_object {
            return Some(StreamItem::Text(line));
        }
        (!object_ended).then_some(StreamItem::BlankLine)
    }

    /// Removes the examined bytes from the buffer.
    fn take_scanned(&mut self) -> Vec<u8> {
        let scanned = std::mem::take(&mut self.scanned);
        self.buffer.drain(..scanned).collect()
    }
}
