//! Options of the root's services, with their defaults.

use std::time::Duration;

/// Options of all services of this crate.
#[derive(Clone, Debug, Default)]
pub struct QueryOptions {
    /// Options of the front.
    pub front: FrontOptions,
    /// Options of the ticket service.
    pub tickets: TicketOptions,
    /// Options of the router.
    pub router: RouterOptions,
}

/// Options of [`crate::Router`].
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// Approximate number of shards per group; the number of groups is a power of two.
    pub group_shards: usize,
    /// Number of nodes that hold a group.
    pub holders: usize,
    /// Maximum number of holders to which a group's request is sent.
    pub max_attempts: usize,
    /// Hedge delay until enough answers of holders have been observed.
    pub hedge_initial: Duration,
    /// Minimum hedge delay.
    pub hedge_min: Duration,
    /// Share of requests that may be hedged because their first holder is late.
    ///
    /// A hedged request runs all of its shards again, in addition to the hedged calls
    /// that holders send to targets, so the extra load is the sum of both shares.
    /// Holders already handle slow replicas; this hedge is for slow holders.
    pub hedge_share: f64,
    /// Time without a reply after which a peer with requests in flight is tried last.
    pub silence: Duration,
    /// Interval at which a silent peer is tried first again.
    pub probe_interval: Duration,
}

impl Default for RouterOptions {
    fn default() -> RouterOptions {
        RouterOptions {
            group_shards: 8,
            holders: 1,
            max_attempts: 3,
            hedge_initial: Duration::from_millis(60),
            hedge_min: Duration::from_millis(5),
            hedge_share: 0.002,
            silence: Duration::from_millis(250),
            probe_interval: Duration::from_millis(500),
        }
    }
}

/// Options of [`crate::FrontService`].
#[derive(Clone, Debug)]
pub struct FrontOptions {
    /// Maximum size of a query, in bytes of JSON.
    pub body_limit: usize,
    /// Maximum number of hits that a caller may request.
    pub max_hits: u32,
    /// Shortest deadline that a caller may request.
    pub min_deadline: Duration,
    /// Time reserved for merging and for the transfer of the last answer.
    pub margin: Duration,
    /// Maximum number of plans of a query, which is planned again if its version is
    /// dropped.
    pub max_plans: usize,
    /// Whether a tenant's stop rule ends its queries; otherwise they wait for every
    /// shard.
    pub stop_early: bool,
    /// Whether shards that were late for the stop rule are retried once if the coverage
    /// is insufficient.
    pub follow_up: bool,
    /// Whether a request that has not succeeded recently goes to one shard first.
    pub canary: bool,
    /// Time during which a request that succeeded needs no canary.
    pub canary_ttl: Duration,
    /// Maximum number of successful requests that are remembered.
    pub canary_entries: usize,
    /// Time to wait for a canary until enough answers of groups have been observed.
    pub canary_initial: Duration,
    /// Whether requests are refused early under overload.
    pub admission: bool,
    /// Time during which a caller may cache the entry advice.
    pub advice_valid: Duration,
    /// Whether the advice spreads callers over nodes; otherwise the nearest node always
    /// comes first.
    pub advice_spread: bool,
    /// Age at which reports of versions are refreshed.
    pub version_age: Duration,
    /// Timeout for requests for the versions of shards.
    pub version_timeout: Duration,
}

impl Default for FrontOptions {
    fn default() -> FrontOptions {
        FrontOptions {
            body_limit: 64 * 1024,
            max_hits: 1_000,
            min_deadline: Duration::from_millis(5),
            margin: Duration::from_millis(10),
            max_plans: 3,
            stop_early: true,
            follow_up: true,
            canary: true,
            canary_ttl: Duration::from_secs(60),
            canary_entries: 65_536,
            canary_initial: Duration::from_millis(40),
            admission: true,
            advice_valid: Duration::from_secs(10),
            advice_spread: true,
            version_age: Duration::from_secs(1),
            version_timeout: Duration::from_millis(250),
        }
    }
}

/// Options of [`crate::TicketService`].
#[derive(Clone, Debug)]
pub struct TicketOptions {
    /// Time during which a request may be sent under a ticket and its outcome queried.
    pub valid: Duration,
    /// The same for tickets issued by a leaving node.
    pub leaving_valid: Duration,
    /// Maximum number of stored outcomes.
    pub max_outcomes: usize,
    /// Maximum number of concurrent runs.
    pub max_runs: usize,
    /// Maximum number of attempts for a request that is known not to have run.
    pub max_attempts: usize,
    /// Time after the deadline during which the reply to a sent request is awaited.
    pub grace: Duration,
    /// Time reserved for the transfer of a reply.
    pub margin: Duration,
    /// Minimum uptime of this node before an unknown issuer counts as gone.
    pub settle_time: Duration,
    /// Maximum size of a request, in bytes of JSON.
    pub body_limit: usize,
}

impl Default for TicketOptions {
    fn default() -> TicketOptions {
        TicketOptions {
            valid: Duration::from_secs(120),
            leaving_valid: Duration::from_secs(10),
            max_outcomes: 65_536,
            max_runs: 4_096,
            max_attempts: 4,
            grace: Duration::from_secs(2),
            margin: Duration::from_millis(10),
            settle_time: Duration::from_secs(15),
            body_limit: 64 * 1024,
        }
    }
}
