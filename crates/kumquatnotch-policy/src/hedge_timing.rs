//! When a request is hedged, and on which replicas.
//!
//! Replicas stall from time to time, and an answer is worth most in time. A hedge costs the work of
//! a replica and a share of the retry budget, so it is sent as late as it can still help, and not
//! at all if it would only lengthen a queue.

use std::time::{Duration, Instant};

use crate::{
    lateness::{bounded_slowness, is_silent, late_after},
    observed::Observed,
    rating::Rating,
};

/// Minimum hedge delay, as a multiple of the usual time.
///
/// Before that most replies are still outstanding, and the hedge would be wasted.
const MIN_DELAY_FACTOR: f64 = 1.5;

/// Returns the hedge delay of a request to `first` that is due in `left`.
///
/// A hedge sent only when the reply is late may itself be too late, as the other replica may be far
/// away. It is therefore sent at the last moment at which it can still help, if that is earlier,
/// but not before a reply could be expected.
///
/// `other` is the expected reply time of the replica that would get the hedge, in seconds.
pub fn delay(
    first: &Observed,
    other: Option<f64>,
    usual: Duration,
    left: Duration,
    now: Instant,
) -> Duration {
    let late = late_after(first, usual, now);
    let Some(other) = other else {
        return late;
    };
    let factor = MIN_DELAY_FACTOR * bounded_slowness(first, now);
    let soonest = first.round_trip() + usual.mul_f64(factor);
    let needed = Duration::from_secs_f64(other) + usual.mul_f64(MIN_DELAY_FACTOR - 1.0);
    left.saturating_sub(needed).clamp(soonest.min(late), late)
}

/// Whether to hedge on `other` a request that is due in `left`.
///
/// A hedge is sent if it can be in time and there is a free slot, so that it delays no others.
/// Otherwise it is sent only if all previous attempts appear to be lost: where replicas are slow or
/// overloaded, hedges would make them more so.
pub fn is_worthwhile(other: &Rating, left: Duration, are_lost: impl FnOnce() -> bool) -> bool {
    if !other.is_healthy() {
        return false;
    }
    let left = left.as_secs_f64();
    if other.expected <= left && !other.is_full {
        return true;
    }
    (other.expected <= left || left == 0.0) && are_lost()
}

/// Whether to wait for the reply of a losing attempt instead of dropping it.
///
/// Dropping the attempt closes its connection, and the next hedge to this replica first has to open
/// one: with the additional round trip to another region it is too late to help. The reply is
/// therefore awaited as long as it is not late. Where hedges cover replicas that stall for 0.3 s,
/// this leaves out 16 to 22 per cent fewer parts. An unresponsive replica is abandoned at once, and
/// a full one is spared the work: where replicas are busy half of their time, that brings 48 to 198
/// more of 6,000 answers in time.
pub fn should_await_loser(
    observed: &Observed,
    usual: Duration,
    took: Duration,
    now: Instant,
) -> bool {
    let is_late = is_silent(observed, usual, now) || took >= late_after(observed, usual, now);
    !is_late && !observed.is_full(now)
}
