//! The binary format of a record: encoding, and decoding with verification of the checksum.

/// Size of a record header in bytes: payload length (4), sequence number (8), checksum (4).
pub const HEADER_BYTES: usize = 16;

/// The largest payload of a record, in bytes (1 MiB). A header with a greater length is treated as corrupt,
/// and ends the log.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The sequence number, one greater than that of the previous record.
    pub sequence: u64,
    /// The bytes that were passed to [`Log::append`](crate::Log::append).
    pub payload: Vec<u8>,
}

/// A decoded record whose payload is borrowed from the input.
pub(crate) struct DecodedRecord<'a> {
    pub(crate) sequence: u64,
    pub(crate) payload: &'a [u8],
    /// Size in bytes of the encoded record, including the header.
    pub(crate) encoded_bytes: usize,
}

/// Encodes a record and appends it to `out`.
pub(crate) fn encode(sequence: u64, payload: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(&checksum(sequence, payload).to_le_bytes());
    out.extend_from_slice(payload);
}

/// Decodes the record at the start of `bytes`. Returns `None` if that record is incomplete, too large or
/// fails its checksum.
pub(crate) fn decode(bytes: &[u8]) -> Option<DecodedRecord<'_>> {
    let header = bytes.get(..HEADER_BYTES)?;
    let payload_bytes = u32::from_le_bytes(header[0..4].try_into().ok()?) as usize;
    if payload_bytes > MAX_RECORD_BYTES {
        return None;
    }
    let sequence = u64::from_le_bytes(header[4..12].try_into().ok()?);
    let expected = u32::from_le_bytes(header[12..16].try_into().ok()?);
    let encoded_bytes = HEADER_BYTES + payload_bytes;
    let payload = bytes.get(HEADER_BYTES..encoded_bytes)?;
    let is_valid = checksum(sequence, payload) == expected;
    is_valid.then_some(DecodedRecord { sequence, payload, encoded_bytes })
}

/// Computes the CRC-32 (IEEE) of the little-endian sequence number followed by the payload.
fn checksum(sequence: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
