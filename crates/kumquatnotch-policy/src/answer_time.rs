//! The time after its arrival within which a request should be answered.
//!
//! Callers measure the time from sending a request, so round trips are deducted from the objective.
//! So is the time that the node itself is busy with other requests, before it reads the request and
//! before it sends the answer. Both are learned, as they vary between locations by more than the
//! time that is left for a part which has to be requested twice.

use std::time::Duration;

/// Round trips that a caller spends on a request: one to look up which nodes to use, one to open
/// the connection for that, and one for the request itself.
///
/// Callers look up nodes as soon as their list is older than a second: under light load there are
/// 1,461 look-ups for 2,813 requests. Without this allowance, half of the answers given when due
/// are late.
const REQUEST_ROUND_TRIPS: u32 = 3;

/// Round trips of the first request on a connection, which includes opening it.
const FIRST_REQUEST_ROUND_TRIPS: u32 = 4;

/// Number of lags reserved: one and a half before the request is read, and as many before its
/// answer is sent.
const LAGS_RESERVED: u32 = 3;

/// Minimum share of the objective that an answer is waited for.
const MIN_WAIT_SHARE: f64 = 0.4;

/// Minimum share of the answer time that must remain for an answer to be in time.
///
/// A part requested now takes about half of it when replicas are busy. With less time left the
/// answer is late anyway, and the whole time is granted again.
const MIN_REMAINING_SHARE: f64 = 0.5;

/// How late an answer may be given and still count as in time.
const IN_TIME_SLACK: Duration = Duration::from_millis(10);

/// Network and scheduling delays of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDelays {
    /// Round trip to callers nearby.
    pub round_trip: Duration,
    /// Additional round trip for callers from other regions, if there may be any.
    ///
    /// A caller that was directed here from another region may be as far away as the farthest
    /// replica.
    pub remote_round_trip: Duration,
    /// How much later than due answers are sent. Requests are read with the same delay.
    pub lag: Duration,
    /// Whether it is the first request on its connection.
    ///
    /// Before it, the caller has opened the connection, and often looked up which nodes to use.
    pub is_first: bool,
}

/// Time within which the answer to a request that has just arrived is in time.
pub fn time_to_answer(objective: Duration, delays: RequestDelays) -> Duration {
    let trips = if delays.is_first { FIRST_REQUEST_ROUND_TRIPS } else { REQUEST_ROUND_TRIPS };
    let wait = objective.saturating_sub(
        delays.remote_round_trip + delays.round_trip * trips + delays.lag * LAGS_RESERVED,
    );
    wait.max(objective.mul_f64(MIN_WAIT_SHARE))
}

/// When an answer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// Time from the arrival of the request until the answer is due.
    pub within: Duration,
    /// Whether the caller is retrying, so late that the answer cannot be in time.
    pub is_late_retry: bool,
}

impl Due {
    /// Computes the due time for a caller that has already `waited`.
    pub fn new(time_to_answer: Duration, waited: Duration) -> Due {
        let remaining = time_to_answer.saturating_sub(waited);
        let is_late_retry = remaining < time_to_answer.mul_f64(MIN_REMAINING_SHARE);
        Due { within: if is_late_retry { time_to_answer } else { remaining }, is_late_retry }
    }
}

/// Whether an answer given this much later than due is still in time.
pub fn is_in_time(overdue: Duration) -> bool {
    overdue <= IN_TIME_SLACK
}
