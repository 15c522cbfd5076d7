//! How long the requests of a route usually take at a replica.

use std::{cell::RefCell, time::Duration};

use kumquatnotch_core::{collections::HashMap, ids::RouteName};

use crate::{mechanisms::Mechanisms, rating::RequestProfile};

/// The part of the objective that is assumed before anything was measured.
const INITIAL_PART: f64 = 0.125;

/// The weight of a new measurement.
const SAMPLE_WEIGHT: f64 = 0.04;

/// The most that a single measurement counts, as a multiple of what is usual.
///
/// A replica that stands still says nothing about the work of a request.
const MAX_SAMPLE_FACTOR: f64 = 3.0;

/// The usual times, by route.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    usual: RefCell<HashMap<RouteName, f64>>,
}

impl ServiceTimes {
    /// How long a request usually takes, without its way to the replica.
    pub fn usual(&self, route: &RouteName, objective: Duration) -> Duration {
        let usual = self.usual.borrow();
        let seconds = usual.get(route).copied().unwrap_or_else(|| first(objective));
        Duration::from_secs_f64(seconds)
    }

    /// What is known of a request of `route` for the choice of its replica.
    pub fn need(&self, route: &RouteName, objective: Duration) -> RequestProfile {
        let mechanisms = Mechanisms::default();
        RequestProfile { usual: self.usual(route, objective), objective, spent: 0.0, mechanisms }
    }

    /// Notes how long a request took, without its way to the replica.
    pub fn note(&self, route: &RouteName, objective: Duration, took: Duration) {
        let mut usual = self.usual.borrow_mut();
        let seconds = usual.entry(route.clone()).or_insert_with(|| first(objective));
        let sample = took.as_secs_f64().clamp(1e-4, *seconds * MAX_SAMPLE_FACTOR);
        *seconds += SAMPLE_WEIGHT * (sample - *seconds);
    }
}

fn first(objective: Duration) -> f64 {
    (objective.as_secs_f64() * INITIAL_PART).max(0.002)
}
