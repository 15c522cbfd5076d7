//! When the reply of a replica counts as late.

use std::time::{Duration, Instant};

use crate::observed::Observed;

/// Multiple of the usual time after which a reply is late.
///
/// Service times vary by about a third, and one in a hundred takes five times as long: 2.5 times is
/// beyond 99 of 100.
const LATE_FACTOR: f64 = 2.5;

/// Additional time for the scheduling of both processes.
const LATE_SLACK: Duration = Duration::from_millis(8);

/// Maximum slowness of a replica that extends the time before its reply counts as late.
const MAX_SLOWNESS: f64 = 2.0;

/// Slowness of a replica, limited to the range in which slow replies are awaited.
pub fn bounded_slowness(observed: &Observed, now: Instant) -> f64 {
    observed.slowness(now).clamp(1.0, MAX_SLOWNESS)
}

/// Time after which a reply of a replica is late.
pub fn late_after(observed: &Observed, usual: Duration, now: Instant) -> Duration {
    let factor = LATE_FACTOR * bounded_slowness(observed, now);
    observed.round_trip() + usual.mul_f64(factor) + LATE_SLACK
}

/// Whether a replica has been silent for longer than a reply may take.
pub fn is_silent(observed: &Observed, usual: Duration, now: Instant) -> bool {
    observed.silence(now) > late_after(observed, usual, now)
}
