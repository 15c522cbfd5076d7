//! Merging the parts of an answer: the greatest records of all parts.

use bytes::{Bytes, BytesMut};

/// The length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// The `top` greatest records of `parts`, the greatest first.
///
/// Records compare byte by byte, equal ones all count, and what is left of a
/// part after its last whole record isn't one.
pub fn greatest(parts: &[Bytes], top: usize) -> Bytes {
    let mut records: Vec<&[u8]> =
        parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|one, other| other.cmp(one));
    records.truncate(top);
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    records.into_iter().for_each(|record| body.extend_from_slice(record));
    body.freeze()
}
