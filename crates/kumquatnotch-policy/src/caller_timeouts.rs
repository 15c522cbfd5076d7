//! Estimates how long a caller has waited before its request arrived.
//!
//! A caller that retries has less time left than one that comes first. The longest time left seen
//! for a route is taken as the callers' timeout; the difference has already passed.

use std::{cell::RefCell, time::Duration};

use kumquatnotch_core::{collections::HashMap, ids::RouteName};

/// Part of the difference that may have been spent on the network.
const NETWORK_SLACK: Duration = Duration::from_millis(20);

/// Number of callers of a route that are compared with its configured timeout, before the observed
/// maximum is used.
const WARMUP_CALLERS: u32 = 20;

/// Longest time left seen from callers of each route.
#[derive(Debug, Default)]
pub struct CallerTimeouts {
    known: RefCell<HashMap<RouteName, RouteTimeouts>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteTimeouts {
    max_left: Duration,
    callers: u32,
}

impl CallerTimeouts {
    /// Estimates how long a caller with `left` remaining has waited.
    ///
    /// A node that has just started has seen no callers. After an outage most of its callers are
    /// retrying; if the first of them set the maximum, all would be admitted at once. The first
    /// callers are therefore compared with the configured `timeout` of the route.
    pub fn waited(&self, route: &RouteName, left: Duration, timeout: Duration) -> Duration {
        let mut known = self.known.borrow_mut();
        let known = known.entry(route.clone()).or_default();
        known.max_left = known.max_left.max(left);
        known.callers = known.callers.saturating_add(1);
        let is_new = known.callers <= WARMUP_CALLERS;
        let max_left = if is_new { known.max_left.max(timeout) } else { known.max_left };
        max_left.saturating_sub(left + NETWORK_SLACK)
    }
}
