//! How the lives of a process are numbered, so that two of one name are ordered.
//!
//! The high 42 bits are the milliseconds of the wall clock at the start of the
//! process, the low 22 are random, and the greater number is the later life.
//!
//! Where the skew of clocks hurts: a process may be replaced by one with the
//! same name or address whose clock is behind by more than the earlier life
//! lasted. The later life would then look like the earlier one. It learns so
//! from the first exchange, before it is announced to anybody, and takes the
//! number above the one that it found. If nobody it asked knew the earlier
//! life, it finds out later; it is then told that it was replaced, and it must
//! be started again, as a number must not change once tickets carry it.

use kumquatnotch_core::{ids::Incarnation, random::Random};

const RANDOM_BITS: u32 = 22;
const TIMESTAMP_BITS: u32 = 42;

/// Draws the number of a life that starts at `wall_ms`, in milliseconds since 1970.
pub fn draw_incarnation(wall_ms: u64, random: &Random) -> Incarnation {
    let timestamp = wall_ms & ((1 << TIMESTAMP_BITS) - 1);
    let random_bits = random.number() & ((1 << RANDOM_BITS) - 1);
    Incarnation(timestamp << RANDOM_BITS | random_bits)
}

/// Draws the number of a life that starts now.
pub(crate) fn draw_now(random: &Random) -> Incarnation {
    // A clock before 1970 gives zero, and the first exchange raises the number.
    let wall = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    draw_incarnation(wall.as_millis() as u64, random)
}

/// A number just above `other`, with random_bits in it.
pub(crate) fn draw_above(other: Incarnation, random: &Random) -> Incarnation {
    let random_bits = random.number() & ((1 << RANDOM_BITS) - 1);
    Incarnation(((other.0 >> RANDOM_BITS) + 1) << RANDOM_BITS | random_bits)
}
