//! Starting: who goes first, and what callers of a node hear that doesn't know enough yet.

use std::time::Duration;

/// When callers come again to a node that has just started.
const NOT_READY_RETRY: Duration = Duration::from_millis(400);

/// How long a start takes at most while the store answers.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(1);

/// The part of the time left after which callers come again at the latest.
///
/// They don't wait for longer than a third of it.
pub const MAX_RETRY_PART: f64 = 1.0 / 3.0;

/// How long a node with a whole core lets others go first, when all start.
///
/// A node of an eighth of a core reads a second after one of a half then, which leaves
/// time for the entry of the larger one to be in a lagging snapshot.
const BASE_START_DELAY: Duration = Duration::from_millis(150);

/// The longest that a node lets others go first.
const MAX_START_DELAY: Duration = Duration::from_millis(1_500);

/// How long a node waits before it reads the store, when all start for the first time.
///
/// No node is known then. The larger ones announce themselves first, so that the others
/// learn with their first reading that they need not. Nobody calls before all have started.
pub fn start_delay(capacity: f64) -> Duration {
    MAX_START_DELAY.min(BASE_START_DELAY.div_f64(capacity.max(0.01)))
}

/// When a caller with `left` is to come again to a node of this age that isn't ready.
///
/// A node that has just started is ready in a moment, and others may be already. One
/// that isn't for longer waits for the store, and so do those that started with it:
/// the later its callers come again, the more of them are served then.
pub fn retry_after(age: Duration, left: Duration) -> Duration {
    let later = if age > MAX_STARTUP_TIME { left.mul_f64(MAX_RETRY_PART) } else { Duration::ZERO };
    later.max(NOT_READY_RETRY)
}
