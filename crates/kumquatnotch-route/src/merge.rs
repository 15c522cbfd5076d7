//! Merges the parts of an answer into the greatest records of all parts.

use bytes::{Bytes, BytesMut};

/// The length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of `parts`, the greatest first.
///
/// Records are compared bytewise and duplicates are kept. Trailing bytes of a part that do
/// not form a whole record are ignored.
pub fn greatest(parts: &[Bytes], top: usize) -> Bytes {
    let mut records: Vec<&[u8]> =
        parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|one, other| other.cmp(one));
    records.truncate(top);
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    records.into_iter().for_each(|record| body.extend_from_slice(record));
    body.freeze()
}
