//! Incarnation numbers, which order the processes that have used the same name.
//!
//! The high 42 bits are the wall clock time in milliseconds at the start of the process,
//! and the low 22 bits are random. The greater number is the later incarnation.
//!
//! Clock skew can break this order: a process may be replaced by one with the same name or
//! address whose clock is behind by more than the run time of the earlier process. The later
//! incarnation then looks like the earlier one. It detects this in the first exchange,
//! before it is announced to any peer, and takes a number above the one that it found. If
//! none of the queried peers knew the earlier incarnation, it detects this later. It is
//! then reported as superseded and must be restarted, as its number must not change once
//! tickets carry it.

use kumquatnotch_core::{ids::Incarnation, random::Random};

const RANDOM_BITS: u32 = 22;
const TIMESTAMP_BITS: u32 = 42;

/// Draws the incarnation of a process that starts at `wall_ms`, in milliseconds since 1970.
pub fn draw_incarnation(wall_ms: u64, random: &Random) -> Incarnation {
    let timestamp = wall_ms & ((1 << TIMESTAMP_BITS) - 1);
    let random_bits = random.number() & ((1 << RANDOM_BITS) - 1);
    Incarnation(timestamp << RANDOM_BITS | random_bits)
}

/// Draws the incarnation of a process that starts now.
pub(crate) fn draw_now(random: &Random) -> Incarnation {
    // A clock before 1970 gives zero; the first exchange then raises the number.
    let wall = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    draw_incarnation(wall.as_millis() as u64, random)
}

/// Draws a number above `other`, with random low bits.
pub(crate) fn draw_above(other: Incarnation, random: &Random) -> Incarnation {
    let random_bits = random.number() & ((1 << RANDOM_BITS) - 1);
    Incarnation(((other.0 >> RANDOM_BITS) + 1) << RANDOM_BITS | random_bits)
}
