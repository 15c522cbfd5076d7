//! Usual service time of a route's requests.

use std::{cell::RefCell, time::Duration};

use kumquatnotch_core::{collections::HashMap, ids::RouteName};

use crate::{mechanisms::Mechanisms, rating::RequestProfile};

/// Share of the objective assumed before the first measurement.
const INITIAL_SHARE: f64 = 0.125;

/// Weight of a new measurement.
const SAMPLE_WEIGHT: f64 = 0.04;

/// Maximum of a single measurement, as a multiple of the usual time.
///
/// The time of a stalled replica does not reflect the work of a request.
const MAX_SAMPLE_FACTOR: f64 = 3.0;

/// Usual service times, by route.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    usual: RefCell<HashMap<RouteName, f64>>,
}

impl ServiceTimes {
    /// Usual time of a request, without the round trip to the replica.
    pub fn usual(&self, route: &RouteName, objective: Duration) -> Duration {
        let usual = self.usual.borrow();
        let seconds = usual.get(route).copied().unwrap_or_else(|| first(objective));
        Duration::from_secs_f64(seconds)
    }

    /// Properties of a request of `route` that decide which replica is chosen.
    pub fn profile(&self, route: &RouteName, objective: Duration) -> RequestProfile {
        let mechanisms = Mechanisms::default();
        RequestProfile { usual: self.usual(route, objective), objective, spent: 0.0, mechanisms }
    }

    /// Records the time of a request, without the round trip to the replica.
    pub fn note(&self, route: &RouteName, objective: Duration, took: Duration) {
        let mut usual = self.usual.borrow_mut();
        let seconds = usual.entry(route.clone()).or_insert_with(|| first(objective));
        let sample = took.as_secs_f64().clamp(1e-4, *seconds * MAX_SAMPLE_FACTOR);
        *seconds += SAMPLE_WEIGHT * (sample - *seconds);
    }
}

fn first(objective: Duration) -> f64 {
    (objective.as_secs_f64() * INITIAL_SHARE).max(0.002)
}
