//! Splits a byte stream into JSON objects and blank lines. An object may span several lines.

/// Maximum size of an endpoint list, as a JSON object, in bytes including white space and line breaks. It
/// leaves room for 3,200 index servers with 1,300 bytes each.
pub const MAX_ENDPOINT_LIST_BYTES: usize = 4 * 1024 * 1024;

/// An item of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A line that is empty or contains only white space.
    BlankLine,
    /// The bytes of one JSON object, or of a line that contains other text. The caller has to parse them.
    Text(Vec<u8>),
}

/// The error returned for an item that is longer than the limit set by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("object or line exceeds the length limit")]
pub struct StreamItemTooLong;

/// Incremental splitter. Received bytes are passed to [`feed`](JsonStreamSplitter::feed), and
/// [`next_item`](JsonStreamSplitter::next_item) returns the items.
#[derive(Debug, Default)]
pub struct JsonStreamSplitter {
    /// Received bytes that have not been returned in an item.
    pub(crate) buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that have been examined.
    scanned: usize,
    /// Nesting depth of the current object: the number of open braces, 0 outside of objects.
    depth: usize,
    /// The next byte is inside a JSON string.
    in_string: bool,
    /// The next byte is escaped by a backslash inside a JSON string.
    escaped: bool,
    /// The current line has text that is not part of an object.
    line_has_other_text: bool,
    /// An object ended on the current line, so the line feed after the object is not reported as a blank
    /// line.
    object_ended_on_line: bool,
}

impl JsonStreamSplitter {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next item, or `None` if no complete item has been received.
    ///
    /// # Errors
    /// [`StreamItemTooLong`] if the item has more than `max_bytes` bytes.
    pub fn next_item(&mut self, max_bytes: usize) -> Result<Option<StreamItem>, StreamItemTooLong> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.scanned > max_bytes {
                return Err(StreamItemTooLong);
            }
            let item = if self.depth > 0 { self.scan_object(byte) } else { self.scan_line(byte) };
            if item.is_some() {
                return Ok(item);
            }
        }
        Ok(None)
    }

    /// Examines a byte inside an object. Returns the object if this byte is its closing brace.
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

    /// Examines a byte outside of objects. If the byte is a line feed, returns a blank line or a line with
    /// other text, and `None` if the line only contained the end of an object.
    fn scan_line(&mut self, byte: u8) -> Option<StreamItem> {
        match byte {
            b'\n' => return self.finish_line(),
            b'{' if !self.line_has_other_text => self.depth = 1,
            blank if blank.is_ascii_whitespace() => {}
            _ => self.line_has_other_text = true,
        }
        None
    }

    /// Removes the completed line from the buffer, resets the state of the line, and returns the item for it.
    fn finish_line(&mut self) -> Option<StreamItem> {
        let line = self.take_scanned();
        let has_other_text = std::mem::take(&mut self.line_has_other_text);
        let object_ended = std::mem::take(&mut self.object_ended_on_line);
        if has_other_text {
            return Some(StreamItem::Text(line));
        }
        (!object_ended).then_some(StreamItem::BlankLine)
    }

    /// Removes the examined bytes from the buffer and returns them.
    fn take_scanned(&mut self) -> Vec<u8> {
        let scanned = std::mem::take(&mut self.scanned);
        self.buffer.drain(..scanned).collect()
    }
}
