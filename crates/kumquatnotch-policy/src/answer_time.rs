//! For how long after its arrival the answer to a request is worth most.
//!
//! Callers count their time from when they sent the request, so both ways come off the
//! objective.

use std::time::Duration;

/// The time for merging and for sending an answer, and the way of a caller nearby.
///
/// A caller of the same region is a few milliseconds away in each direction.
/// Measured on nodes with a quarter of a core: callers see 8 to 15 ms more than the
/// node does, one in ten over 20.
const ANSWER_TIME: Duration = Duration::from_millis(26);

/// The time that a caller has spent before the first request on a connection.
///
/// Two ways there and back: to ask which node to use, and to open the connection.
const OPENING_TIME: Duration = Duration::from_millis(10);

/// The least part of the objective that is waited.
const LEAST_WAIT: f64 = 0.4;

/// The part of the time for an answer that must be left for it to be in time.
///
/// A part that is asked for now takes about half of it when replicas are busy. With less,
/// the answer is late, and the whole time is given to it again.
const LEAST_REST: f64 = 0.5;

/// How much later than due an answer may be given and still count as in time.
const IN_TIME_SLACK: Duration = Duration::from_millis(10);

/// Where a request comes from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Origin {
    /// The way there and back of callers from other regions, if some may come from there.
    ///
    /// One that was sent here from another region may be as far away as the farthest
    /// replica is.
    pub way: Duration,
    /// Whether it is the first request on its connection.
    ///
    /// Before it, the caller has opened the connection, and often asked which nodes to use.
    pub is_first: bool,
}

/// How long the answer to a request that came just now may take to be in time.
pub fn waiting(objective: Duration, origin: Origin) -> Duration {
    let opened = if origin.is_first { OPENING_TIME } else { Duration::ZERO };
    let wait = objective.saturating_sub(origin.way + ANSWER_TIME + opened);
    wait.max(objective.mul_f64(LEAST_WAIT))
}

/// When the answer to a request is due after its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// The time until then.
    pub within: Duration,
    /// Whether the caller comes again, so late that the answer can't be in time.
    pub is_returning: bool,
}

impl Due {
    /// For a caller that has `waited` before, of the time in which an answer is in time.
    pub fn new(waiting: Duration, waited: Duration) -> Due {
        let rest = waiting.saturating_sub(waited);
        let is_returning = rest < waiting.mul_f64(LEAST_REST);
        Due { within: if is_returning { waiting } else { rest }, is_returning }
    }
}

/// Whether an answer that is given so much later than due is in time.
pub fn is_in_time(overdue: Duration) -> bool {
    overdue <= IN_TIME_SLACK
}
