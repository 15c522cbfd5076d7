//! Connections that go silent for good while new ones work.
//!
//! Something between the two ends has lost track of the connection, and neither
//! end is told. A request on it would wait for its whole deadline, and the next
//! request after it again. A target that is only slow must not be taken for a
//! silent connection, and a silent connection says nothing against its target.
//! The evidence, from the cheapest on:
//!
//! 1. The kernel's: bytes unacknowledged for 600 ms (`TCP_USER_TIMEOUT`), also
//!    on idle connections (keepalive). A slow process has a living kernel, so
//!    this never accuses a straggler. It sees nothing if whatever stands in
//!    between acknowledges by itself.
//! 2. A check before use: an idle connection has to answer `GET /v1/status`
//!    before a request that must run at most once, whose loss could not be
//!    repaired, and before any request if it was idle for long.
//! 3. Drained cancellations: whoever abandons a request (a hedge has won, the
//!    deadline has passed) cancels it over another connection. A living
//!    connection then delivers a reply at once, `499` or another. If the other
//!    connection answered the cancellation and this one stays mute for
//!    [`DRAIN_TIMEOUT`], it is closed. So a silent connection costs at most one
//!    request, never a second one. It isn't called silent for that alone: the
//!    target may be slow to cancel.
//! 4. A challenge while a search still waits: the same proof by cancellation,
//!    started early if the reply is late for this target and class *and* either
//!    later requests on other connections were answered before it
//!    ([`MIN_LATER_REPLIES`]), or two status probes in a row say that the target
//!    runs nothing at all. A straggler shows neither: it is slow for all its
//!    connections, and it does not call itself idle while it runs our request.
//!    Should it do so by a lagging report, the cancellation is answered on the
//!    connection, which clears it; one search is lost, and the target's
//!    connections are not challenged again for a while.
//! 5. Between our nodes: a node sends an interim response each
//!    [`INTERIM_PERIOD`] while it works, so that a mute connection is found
//!    after [`SILENCE_TIMEOUT`] whatever it works on.
//!
//! Weighed and left: pipelining a probe behind the request (its reply would
//! wait for the first one's), repeating the search on another connection (extra
//! load on just those targets that are slow, behind the back of the retry
//! budget), and challenging each late request (it would cancel the work of
//! every straggler).

use std::{net::SocketAddr, time::Duration};

/// The time in which a living connection delivers the reply to a cancelled request.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// The same if others wait for a connection and nobody for this reply.
pub const SHORT_DRAIN_TIMEOUT: Duration = Duration::from_millis(60);

/// The time in which an idle connection has to answer a check before its use.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// The idle time after which a connection is checked before a request that must
/// run at most once.
pub const EXCLUSIVE_CHECK_IDLE: Duration = Duration::from_millis(20);

/// The idle time after which a connection is checked before any request.
pub const SEARCH_CHECK_IDLE: Duration = Duration::from_secs(2);

/// How many later requests must have been answered first for a challenge.
pub const MIN_LATER_REPLIES: usize = 3;

/// How many status probes in a row must say that the target runs nothing.
pub const IDLE_PROBES: u32 = 2;

/// How often a node tells its client that a request still runs.
pub const INTERIM_PERIOD: Duration = Duration::from_millis(100);

/// The silence after which a connection between nodes is lost.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// What an attempt to cancel a request proved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancelOutcome {
    /// The other side answered it on another connection.
    Answered,
    /// It could not be delivered or was not answered.
    Unanswered,
}

/// Notes that a connection was found silent.
pub(crate) fn report(address: SocketAddr, evidence: &str) {
    metrics::counter!("kumquatnotch_silent_connections_total").increment(1);
    tracing::warn!("net: a connection to {address} is silent: {evidence}");
}
