//! One record: head and payload, and the check of one read back.

/// Bytes of a record's head: length (4), sequence (8), checksum (4).
pub const HEAD: usize = 16;

/// The largest payload of one record, in bytes (1 MiB). A head that claims more is taken for a torn tail.
pub const MAX_RECORD: usize = 1 << 20;

/// Appends the bytes of one record to `out`.
pub(crate) fn encode(seq: u64, payload: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(&checksum(seq, payload).to_le_bytes());
    out.extend_from_slice(payload);
}

/// Reads one record from the front of `bytes`: its sequence, payload and length in all, or `None` if the bytes
/// hold no whole record that passes its check.
pub(crate) fn decode(bytes: &[u8]) -> Option<(u64, &[u8], usize)> {
    let head = bytes.get(..HEAD)?;
    let len = u32::from_le_bytes(head[0..4].try_into().ok()?) as usize;
    if len > MAX_RECORD {
        return None;
    }
    let seq = u64::from_le_bytes(head[4..12].try_into().ok()?);
    let sum = u32::from_le_bytes(head[12..16].try_into().ok()?);
    let payload = bytes.get(HEAD..HEAD + len)?;
    (checksum(seq, payload) == sum).then_some((seq, payload, HEAD + len))
}

fn checksum(seq: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&seq.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
