//! The options of the root's services, with their defaults.

use std::time::Duration;

/// The options of all services of this crate.
#[derive(Clone, Debug, Default)]
pub struct QueryOptions {
    /// Of the front.
    pub front: FrontOptions,
    /// Of the tickets.
    pub tickets: TicketOptions,
    /// Of the way to holders.
    pub router: RouterOptions,
}

/// Options of [`crate::Router`].
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// About how many shards make a group; the count of groups is a power of two.
    pub group_shards: usize,
    /// How many nodes hold a group.
    pub holders: usize,
    /// How many holders a group's request is sent to at most.
    pub max_attempts: usize,
    /// The hedge delay until enough answers of holders were seen.
    pub hedge_initial: Duration,
    /// The least hedge delay.
    pub hedge_min: Duration,
    /// The share of requests that may be sent to a second holder because the first is late.
    ///
    /// A copy of a request runs all of its shards again, on top of the copies that
    /// holders make of late calls, so the two shares together are the extra load.
    /// Holders already rescue calls from slow replicas; this is for slow holders.
    pub hedge_share: f64,
    /// A peer with requests open and no reply for this long is asked last.
    pub silence: Duration,
    /// How often a silent peer is asked first again.
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
    /// The largest query taken, in bytes of JSON.
    pub body_limit: usize,
    /// The most hits that a caller may ask for.
    pub max_hits: u32,
    /// The shortest deadline a caller may ask for.
    pub min_deadline: Duration,
    /// The time kept back for merging and for the way of the last answer.
    pub margin: Duration,
    /// How often a query is planned again because its version went away.
    pub max_plans: usize,
    /// Whether a tenant's stop rule ends its queries; if not, every shard is waited for.
    pub stop_early: bool,
    /// Whether shards that were late for the stop rule are asked once more if
    /// the coverage is not enough.
    pub follow_up: bool,
    /// Whether a request unknown here goes to one shard first.
    pub canary: bool,
    /// How long a request that succeeded needs no canary.
    pub canary_ttl: Duration,
    /// How many requests that succeeded are remembered.
    pub canary_entries: usize,
    /// How long the canary is waited for until answers of groups were seen.
    pub canary_initial: Duration,
    /// Whether requests are refused early under overload.
    pub admission: bool,
    /// How long a caller may keep the entry advice.
    pub advice_valid: Duration,
    /// Whether advice spreads callers; if not, the nearest node always comes first.
    pub advice_spread: bool,
    /// The age at which what is known of versions is asked for again.
    pub version_age: Duration,
    /// How long holders have to tell the versions of their shards.
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
    /// How long a request may be sent under a ticket and its outcome asked for.
    pub valid: Duration,
    /// The same for tickets that a leaving node issues.
    pub leaving_valid: Duration,
    /// How many outcomes are kept at most.
    pub max_outcomes: usize,
    /// How many runs go on at once at most.
    pub max_runs: usize,
    /// How many times a request that certainly did not run is sent on.
    pub max_attempts: usize,
    /// How long after the deadline the reply of a request that left is waited for.
    pub grace: Duration,
    /// The time kept back for the way of a reply.
    pub margin: Duration,
    /// How long this node must have run before an unknown issuer is taken as gone.
    pub settle_time: Duration,
    /// The largest request taken, in bytes of JSON.
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
