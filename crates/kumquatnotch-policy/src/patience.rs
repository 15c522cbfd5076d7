//! How long a caller has waited before its request came.
//!
//! A caller that comes again has less time left than one that comes first. The most
//! that callers of a route were seen to have is what they have at first; what is
//! missing has passed.

use std::{cell::RefCell, time::Duration};

use kumquatnotch_core::{collections::HashMap, ids::RouteName};

/// What of the missing time may have been spent on the way.
const WAY_SLACK: Duration = Duration::from_millis(20);

/// The most time that callers of each route were seen to have.
#[derive(Debug, Default)]
pub struct Patience {
    most: RefCell<HashMap<RouteName, Duration>>,
}

impl Patience {
    /// How long a caller that has `left` has waited, as far as can be told.
    pub fn waited(&self, route: &RouteName, left: Duration) -> Duration {
        let mut most = self.most.borrow_mut();
        let known = most.entry(route.clone()).or_insert(left);
        *known = left.max(*known);
        known.saturating_sub(left + WAY_SLACK)
    }
}
