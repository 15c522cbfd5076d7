//! Estimates the overload of a route's replicas from the outcomes of recent searches.
//!
//! The known queue lengths of replicas are always slightly stale, as other nodes have sent requests
//! in the meantime. That does not matter while replicas can bear the load. Under overload, all
//! nodes together would admit more searches than can be answered in time, and then none would be,
//! as each waits for the slowest of many queues. The safety margin for admitting searches therefore
//! grows with the share of admitted searches that were late.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::{collections::HashMap, ids::RouteName};

use crate::startup::MAX_RETRY_SHARE;

/// Weight of a new search, so that about the last twenty count.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Bounds of the factor on the expected reply time of a full replica.
///
/// A search waits for the slowest of its parts, which takes up to twice as long as most. Under two
/// bursts of 2.5 times the usual traffic, half of the searches are answered in time with a factor
/// of 1.0 and seven in ten with 3.0. During outages, 3.0 refuses two to three times as many.
const MARGIN_BOUNDS: (f64, f64) = (MIN_MARGIN, 3.0);

/// Minimum of the factor.
pub const MIN_MARGIN: f64 = 1.6;

/// Increase of the factor with the share of late searches: it reaches its maximum at a fifth.
const MARGIN_GAIN: f64 = 7.0;

/// Share of refused searches above which late retries are not admitted.
const REFUSING_SHARE: f64 = 0.05;

/// Time constant with which the shares decay without searches (to a third after this time).
///
/// It is much longer than a few dozen searches take on a busy node. It matters for a node with few
/// searches, which would otherwise still be cautious an hour after a burst.
const DECAY_TIME: Duration = Duration::from_secs(20);

/// Outcome of a search that came for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchOutcome {
    /// It was answered in time.
    InTime,
    /// It was answered late or not at all.
    Late,
    /// It was refused because replicas were overloaded.
    Refused,
}

/// Overload of replicas, by route.
#[derive(Debug, Default)]
pub struct Overload {
    known: RefCell<HashMap<RouteName, RouteOverload>>,
}

/// Shares of recent searches, from zero to one.
#[derive(Clone, Copy, Debug)]
struct RouteOverload {
    /// Late searches among those admitted.
    late: f64,
    refused: f64,
    /// When the shares were updated.
    at: Instant,
}

impl RouteOverload {
    /// Returns the shares, decayed until `now`.
    fn decayed(self, now: Instant) -> RouteOverload {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let decay = (-age / DECAY_TIME.as_secs_f64()).exp();
        RouteOverload { late: self.late * decay, refused: self.refused * decay, at: now }
    }
}

impl Overload {
    /// Records the outcome of a search.
    pub fn note(&self, route: &RouteName, outcome: SearchOutcome, now: Instant) {
        let mut overload = self.of(route, now);
        let share = |is: bool| if is { 1.0 } else { 0.0 };
        overload.refused +=
            SAMPLE_WEIGHT * (share(outcome == SearchOutcome::Refused) - overload.refused);
        if outcome != SearchOutcome::Refused {
            overload.late +=
                SAMPLE_WEIGHT * (share(outcome == SearchOutcome::Late) - overload.late);
        }
        self.known.borrow_mut().insert(route.clone(), overload);
    }

    /// Factor on the expected reply time of a full replica.
    pub fn margin(&self, route: &RouteName, now: Instant) -> f64 {
        (MARGIN_BOUNDS.0 + MARGIN_GAIN * self.of(route, now).late).min(MARGIN_BOUNDS.1)
    }

    /// Retry delay of a refused search with `time` left.
    ///
    /// A burst that has just begun may soon be over. The longer it lasts, the longer is the delay,
    /// up to [`MAX_RETRY_SHARE`] of the time.
    pub fn retry_delay(&self, route: &RouteName, time: Duration, now: Instant) -> Duration {
        time.mul_f64(MAX_RETRY_SHARE * self.of(route, now).refused)
    }

    /// Whether first-time searches are being refused.
    pub fn is_refusing(&self, route: &RouteName, now: Instant) -> bool {
        self.of(route, now).refused > REFUSING_SHARE
    }

    fn of(&self, route: &RouteName, now: Instant) -> RouteOverload {
        let none = RouteOverload { late: 0.0, refused: 0.0, at: now };
        self.known.borrow().get(route).map_or(none, |overload| overload.decayed(now))
    }
}
