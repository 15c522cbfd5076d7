//! How hard pressed the replicas of a route are, by what became of its last searches.
//!
//! What is known of the queues of replicas is always a little old: other nodes have
//! sent to them meanwhile. While replicas can do what is asked of them, that is of no
//! account. When they can't, all nodes together let in more searches than can be
//! answered in time, and then none is: each waits for the slowest of many queues. So
//! the caution with which a node lets searches in grows with the share of those that
//! it let in and that were late all the same.

use std::{cell::RefCell, time::Duration};

use kumquatnotch_core::collections::HashMap;

use crate::{names::RouteName, router::RETRY_PART};

/// The weight of a new search, so that about the last twenty count.
const WEIGHT: f64 = 0.05;

/// By what the expected time at a full replica is multiplied, at least and at most.
///
/// A search waits for the slowest of its parts, which takes up to twice as long as
/// most. Measured with 2.5 times the usual traffic: at 1.0 a third of the searches were
/// answered in time, at 3.0 a half; on days without a crowd, 3.0 refuses twice as many
/// as needed.
const MARGIN: (f64, f64) = (1.6, 3.0);

/// By how much this grows with the share of late searches: at a fifth it is at its most.
const MARGIN_GAIN: f64 = 7.0;

/// The share of refused searches from which on those that come again aren't let in.
const REFUSING: f64 = 0.05;

/// What became of a search that came for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It was answered in time.
    InTime,
    /// It was answered late, or not at all.
    Late,
    /// It was refused, as replicas were crowded.
    Refused,
}

/// How hard pressed replicas are, by route.
#[derive(Debug, Default)]
pub struct Strains {
    known: RefCell<HashMap<RouteName, Strain>>,
}

/// The shares among the last searches, from zero to one.
#[derive(Clone, Copy, Debug, Default)]
struct Strain {
    /// Of the late ones among those that were let in.
    late: f64,
    refused: f64,
}

impl Strains {
    /// Notes what became of a search.
    pub fn note(&self, route: &RouteName, fate: Fate) {
        let mut known = self.known.borrow_mut();
        let strain = known.entry(route.clone()).or_default();
        let share = |is: bool| if is { 1.0 } else { 0.0 };
        strain.refused += WEIGHT * (share(fate == Fate::Refused) - strain.refused);
        if fate != Fate::Refused {
            strain.late += WEIGHT * (share(fate == Fate::Late) - strain.late);
        }
    }

    /// By what the expected time at a full replica is multiplied.
    pub fn margin(&self, route: &RouteName) -> f64 {
        (MARGIN.0 + MARGIN_GAIN * self.of(route).late).min(MARGIN.1)
    }

    /// When a search with `time` left is to come again after a refusal.
    ///
    /// A crowd that comes in a moment has gone in a moment. The longer it stays, the
    /// later it is worth another try: at most [`RETRY_PART`] of the time.
    pub fn retry(&self, route: &RouteName, time: Duration) -> Duration {
        time.mul_f64(RETRY_PART * self.of(route).refused)
    }

    /// Whether searches that come for the first time are being refused.
    pub fn is_refusing(&self, route: &RouteName) -> bool {
        self.of(route).refused > REFUSING
    }

    fn of(&self, route: &RouteName) -> Strain {
        self.known.borrow().get(route).copied().unwrap_or_default()
    }
}
