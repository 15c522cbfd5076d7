//! When the reply of a replica is late.

use std::time::{Duration, Instant};

use crate::observed::Observed;

/// After how many times the usual time a reply is late.
///
/// Work times spread by about a third, with one in a hundred five times as long:
/// 2.5 times is beyond 99 of 100.
const LATE_FACTOR: f64 = 2.5;

/// What a reply may be late by besides, for the scheduling of both processes.
const LATE_SLACK: Duration = Duration::from_millis(8);

/// The most slowness that is waited for before a reply counts as late.
const MAX_SLOWNESS: f64 = 2.0;

/// How slow a replica is, as far as that is waited for.
pub fn bounded_slowness(observed: &Observed, now: Instant) -> f64 {
    observed.slowness(now).clamp(1.0, MAX_SLOWNESS)
}

/// After which time a reply of a replica is late.
pub fn late_after(observed: &Observed, usual: Duration, now: Instant) -> Duration {
    let times = LATE_FACTOR * bounded_slowness(observed, now);
    observed.round_trip() + usual.mul_f64(times) + LATE_SLACK
}

/// Whether a replica has answered nothing for longer than a reply may take.
pub fn is_silent(observed: &Observed, usual: Duration, now: Instant) -> bool {
    observed.silence(now) > late_after(observed, usual, now)
}
