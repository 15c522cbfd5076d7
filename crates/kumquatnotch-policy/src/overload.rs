//! How hard pressed the replicas of a route are, by what became of its last searches.
//!
//! What is known of the queues of replicas is always a little old: other nodes have
//! sent to them meanwhile. While replicas can do what is asked of them, that is of no
//! account. When they can't, all nodes together let in more searches than can be
//! answered in time, and then none is: each waits for the slowest of many queues. So
//! the caution with which a node lets searches in grows with the share of those that
//! it let in and that were late all the same.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use kumquatnotch_core::{collections::HashMap, ids::RouteName};

use crate::startup::MAX_RETRY_PART;

/// The weight of a new search, so that about the last twenty count.
const SAMPLE_WEIGHT: f64 = 0.05;

/// By what the expected time at a full replica is multiplied, at least and at most.
///
/// A search waits for the slowest of its parts, which takes up to twice as long as
/// most. Measured on a day with two crowds of 2.5 times the usual traffic: at 1.0 half
/// of the searches were answered in time, at 3.0 seven in ten; on days of outages 3.0
/// refuses two to three times as many.
const MARGIN_BOUNDS: (f64, f64) = (MIN_MARGIN, 3.0);

/// The least of these.
pub const MIN_MARGIN: f64 = 1.6;

/// By how much this grows with the share of late searches: at a fifth it is at its most.
const MARGIN_GAIN: f64 = 7.0;

/// The share of refused searches from which on those that come again aren't let in.
const REFUSING_SHARE: f64 = 0.05;

/// The time without searches after which only a third of what is known is believed.
///
/// Much longer than a few dozen searches take on a busy node: it is for one that gets
/// few, and would otherwise still be cautious an hour after a crowd.
const DECAY_TIME: Duration = Duration::from_secs(20);

/// What became of a search that came for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchOutcome {
    /// It was answered in time.
    InTime,
    /// It was answered late, or not at all.
    Late,
    /// It was refused, as replicas were crowded.
    Refused,
}

/// How hard pressed replicas are, by route.
#[derive(Debug, Default)]
pub struct Overload {
    known: RefCell<HashMap<RouteName, RouteOverload>>,
}

/// The shares among the last searches, from zero to one.
#[derive(Clone, Copy, Debug)]
struct RouteOverload {
    /// Of the late ones among those that were let in.
    late: f64,
    refused: f64,
    /// When this was noted.
    at: Instant,
}

impl RouteOverload {
    /// What is left of it.
    fn decayed(self, now: Instant) -> RouteOverload {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let part = (-age / DECAY_TIME.as_secs_f64()).exp();
        RouteOverload { late: self.late * part, refused: self.refused * part, at: now }
    }
}

impl Overload {
    /// Notes what became of a search.
    pub fn note(&self, route: &RouteName, fate: SearchOutcome, now: Instant) {
        let mut overload = self.of(route, now);
        let share = |is: bool| if is { 1.0 } else { 0.0 };
        overload.refused +=
            SAMPLE_WEIGHT * (share(fate == SearchOutcome::Refused) - overload.refused);
        if fate != SearchOutcome::Refused {
            overload.late += SAMPLE_WEIGHT * (share(fate == SearchOutcome::Late) - overload.late);
        }
        self.known.borrow_mut().insert(route.clone(), overload);
    }

    /// By what the expected time at a full replica is multiplied.
    pub fn margin(&self, route: &RouteName, now: Instant) -> f64 {
        (MARGIN_BOUNDS.0 + MARGIN_GAIN * self.of(route, now).late).min(MARGIN_BOUNDS.1)
    }

    /// When a search with `time` left is to come again after a refusal.
    ///
    /// A crowd that comes in a moment has gone in a moment. The longer it stays, the
    /// later it is worth another try: at most [`MAX_RETRY_PART`] of the time.
    pub fn retry(&self, route: &RouteName, time: Duration, now: Instant) -> Duration {
        time.mul_f64(MAX_RETRY_PART * self.of(route, now).refused)
    }

    /// Whether searches that come for the first time are being refused.
    pub fn is_refusing(&self, route: &RouteName, now: Instant) -> bool {
        self.of(route, now).refused > REFUSING_SHARE
    }

    fn of(&self, route: &RouteName, now: Instant) -> RouteOverload {
        let none = RouteOverload { late: 0.0, refused: 0.0, at: now };
        self.known.borrow().get(route).map_or(none, |overload| overload.decayed(now))
    }
}
