//! Detection of silent connections: connections that never respond again while new ones work.
//!
//! This happens when something between the two ends, such as a middlebox, loses track of the
//! connection without notifying either end. A request on a silent connection would wait until
//! its deadline, and so would the next one. A slow target must not be mistaken for a silent
//! connection, and a silent connection must not count against its target. The following
//! mechanisms are used, cheapest first:
//!
//! 1. Kernel timeouts: data unacknowledged for 600 ms (`TCP_USER_TIMEOUT`), and keepalive on
//!    idle connections. The kernel acknowledges data even if the process is slow, so these
//!    never affect a straggler. They detect nothing if a middlebox acknowledges the data.
//! 2. Checks before use: an idle connection has to answer `GET /v1/status` before a request
//!    that must run at most once, since such a request can't be retried, and before any request
//!    if the connection was idle for long.
//! 3. Draining after a cancellation: an abandoned request (because a hedge has won, or the
//!    deadline has passed) is cancelled over another connection. A working connection then
//!    delivers a reply immediately, `499` or another. If the cancellation was answered but no
//!    reply arrives within [`DRAIN_TIMEOUT`], the connection is closed. So a silent connection
//!    fails at most one request. It is not reported as silent in this case, since the target
//!    may be slow to cancel.
//! 4. Challenges while a search is still waiting: the same cancellation, started early. The
//!    reply has to be late for this target and class, *and* either later requests on other
//!    connections were answered first ([`MIN_LATER_REPLIES`]), or two consecutive status probes
//!    report that the target runs no request. A straggler shows neither: it is slow on all
//!    connections, and does not report itself idle while it runs the request. If it does so
//!    because its report lags, it answers the cancelled request on the connection. One search
//!    is then lost, and the connections to the target are not challenged again for a while.
//! 5. Interim responses between nodes: a node sends an interim response every
//!    [`INTERIM_PERIOD`] while it processes a request, so a silent connection is detected after
//!    [`SILENCE_TIMEOUT`], whatever the request.
//!
//! Rejected alternatives:
//!
//! - Pipelining a probe behind the request: its reply would wait for the reply to the request.
//! - Repeating the search on another connection: this adds load to exactly the targets that are
//!   slow, and bypasses the retry budget.
//! - Challenging each late request: this would cancel the work of every straggler.

use std::{net::SocketAddr, time::Duration};

/// Time in which a working connection delivers the reply to a cancelled request.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Drain timeout if callers wait for a connection and none waits for this reply.
pub const SHORT_DRAIN_TIMEOUT: Duration = Duration::from_millis(60);

/// Time in which an idle connection has to answer a check before use.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Idle time after which a connection is checked before a request that must run at most once.
pub const EXCLUSIVE_CHECK_IDLE: Duration = Duration::from_millis(20);

/// Idle time after which a connection is checked before any request.
pub const SEARCH_CHECK_IDLE: Duration = Duration::from_secs(2);

/// Minimum number of later requests that must have been answered for a challenge.
pub const MIN_LATER_REPLIES: usize = 3;

/// Number of consecutive status probes that must report an idle target for a challenge.
pub const IDLE_PROBES: u32 = 2;

/// Interval of the interim responses that a node sends while a request runs.
pub const INTERIM_PERIOD: Duration = Duration::from_millis(100);

/// Time without any response after which a connection between nodes counts as lost.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Outcome of an attempt to cancel a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancelOutcome {
    /// The other side answered the cancellation on another connection.
    Answered,
    /// The cancellation could not be delivered or was not answered.
    Unanswered,
}

/// Counts and logs a silent connection.
pub(crate) fn report(address: SocketAddr, evidence: &str) {
    metrics::counter!("kumquatnotch_silent_connections_total").increment(1);
    tracing::warn!("net: a connection to {address} is silent: {evidence}");
}
