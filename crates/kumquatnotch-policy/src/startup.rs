//! Startup: the order in which nodes start, and retry delays of nodes that are not ready.

use std::time::Duration;

/// Retry delay of a node that has just started.
const NOT_READY_RETRY: Duration = Duration::from_millis(400);

/// Maximum startup time while the store is available.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(1);

/// Maximum retry delay, as a share of the time left.
///
/// Callers do not wait for longer than a third of it.
pub const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

/// Start delay of a node with one core, when all nodes start.
///
/// With it, a node with an eighth of a core reads the store a second after one with half a core,
/// which leaves time for the entry of the larger node to appear in a lagging snapshot.
const BASE_START_DELAY: Duration = Duration::from_millis(150);

/// Maximum start delay.
const MAX_START_DELAY: Duration = Duration::from_millis(1_500);

/// How long a node waits before it reads the store, when all nodes start for the first time.
///
/// No node is known at that point. The larger nodes announce themselves first, so that the others
/// learn from their first read that they need not. There are no callers before all nodes have
/// started.
pub fn start_delay(capacity: f64) -> Duration {
    MAX_START_DELAY.min(BASE_START_DELAY.div_f64(capacity.max(0.01)))
}

/// Retry delay for a caller with `left` remaining, at a node of this age that is not ready.
///
/// A node that has just started will be ready soon, and others may be ready already. A node that is
/// not ready for longer waits for the store, and so do those started with it: the later its callers
/// retry, the more of them are served.
pub fn retry_after(age: Duration, left: Duration) -> Duration {
    let later = if age > MAX_STARTUP_TIME { left.mul_f64(MAX_RETRY_SHARE) } else { Duration::ZERO };
    later.max(NOT_READY_RETRY)
}
