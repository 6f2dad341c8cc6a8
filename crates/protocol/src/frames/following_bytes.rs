//! Classification of the bytes that follow a frame, which show whether the length of the frame is too small.
//!
//! If an index server states too small a length, the value of its answer seems to end early, and the rest of
//! the value follows the frame. The value is text, whereas the length field at the beginning of a frame
//! contains zero bytes, which are not.

use super::{HEADER_BYTES, MAX_FRAME_BYTES};
use crate::names::{FrameFormat, LENGTH_BYTES};

/// What the bytes are that follow a frame, as far as they have been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FollowingBytes {
    /// They do not belong to the frame: none, the next frame, or bytes that can't be the rest of a value.
    Separate,
    /// They may be the rest of the value of the frame, and can't be the next frame.
    RestOfValue,
    /// They may be either. More bytes are needed.
    Undecided,
}

impl FollowingBytes {
    /// Classifies the bytes received after a frame in the given format.
    pub(super) fn classify(format: &FrameFormat, bytes: &[u8]) -> FollowingBytes {
        let Some(first) = bytes.first() else { return FollowingBytes::Separate };
        if can_begin_frame(format, bytes) {
            let is_undecided = bytes.len() < HEADER_BYTES && is_text_byte(*first);
            return if is_undecided { FollowingBytes::Undecided } else { FollowingBytes::Separate };
        }
        if can_be_rest_of_value(format, bytes) {
            FollowingBytes::RestOfValue
        } else {
            FollowingBytes::Separate
        }
    }
}

/// Returns whether the bytes can be the beginning of a frame that an index server sends: its length is within
/// the limit, and its type is known. Bytes that have not been received can have any value.
fn can_begin_frame(format: &FrameFormat, bytes: &[u8]) -> bool {
    let mut length = [0; LENGTH_BYTES];
    let received = bytes.len().min(LENGTH_BYTES);
    length[..received].copy_from_slice(&bytes[..received]);
    let length = format.decode_length(length);
    let is_length_valid = length <= MAX_FRAME_BYTES && (length > 0 || received < LENGTH_BYTES);
    let has_known_type = |frame_type: &u8| [format.answer, format.rejected].contains(frame_type);
    is_length_valid && bytes.get(LENGTH_BYTES).is_none_or(has_known_type)
}

/// Returns whether the bytes can begin with the rest of a value: with text that extends to the end of the
/// received bytes or to the next frame.
fn can_be_rest_of_value(format: &FrameFormat, bytes: &[u8]) -> bool {
    let text_len = text_len(bytes);
    (1..=text_len).any(|end| end == bytes.len() || can_begin_frame(format, &bytes[end..]))
}

/// Returns the number of bytes at the start of `bytes` that are text. A character that has been received
/// partially at the end counts as text.
fn text_len(bytes: &[u8]) -> usize {
    let utf8_len = match std::str::from_utf8(bytes) {
        Err(error) if error.error_len().is_some() => error.valid_up_to(),
        _ => bytes.len(),
    };
    bytes[..utf8_len].iter().position(|byte| !is_text_byte(*byte)).unwrap_or(utf8_len)
}

/// Returns whether a value may contain the byte: any but the control characters other than tab, CR and LF.
pub(super) fn is_text_byte(byte: u8) -> bool {
    !byte.is_ascii_control() || matches!(byte, b'\t' | b'\n' | b'\r')
}
