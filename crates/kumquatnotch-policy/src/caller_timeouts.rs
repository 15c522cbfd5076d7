//! How long a caller has waited before its request came.
//!
//! A caller that comes again has less time left than one that comes first. The most
//! that callers of a route were seen to have is what they have at first; what is
//! missing has passed.

use std::{cell::RefCell, time::Duration};

use kumquatnotch_core::{collections::HashMap, ids::RouteName};

/// What of the missing time may have been spent on the way.
const NETWORK_SLACK: Duration = Duration::from_millis(20);

/// How many callers of a route are compared with its timeout, before what was seen counts.
const WARMUP_CALLERS: u32 = 20;

/// The most time that callers of each route were seen to have.
#[derive(Debug, Default)]
pub struct CallerTimeouts {
    known: RefCell<HashMap<RouteName, RouteTimeouts>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteTimeouts {
    most: Duration,
    callers: u32,
}

impl CallerTimeouts {
    /// How long a caller that has `left` has waited, as far as can be told.
    ///
    /// A node that has just started has seen nobody. After an outage most of its callers come
    /// again, and if the first of them passed for the measure, all would be let in at once. So
    /// the first ones are compared with the `timeout` of the route.
    pub fn waited(&self, route: &RouteName, left: Duration, timeout: Duration) -> Duration {
        let mut known = self.known.borrow_mut();
        let known = known.entry(route.clone()).or_default();
        known.most = known.most.max(left);
        known.callers = known.callers.saturating_add(1);
        let is_new = known.callers <= WARMUP_CALLERS;
        let most = if is_new { known.most.max(timeout) } else { known.most };
        most.saturating_sub(left + NETWORK_SLACK)
    }
}
