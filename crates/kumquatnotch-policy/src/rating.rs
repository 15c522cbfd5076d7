//! Rates the replicas of a service by their expected reply times.
//!
//! The replica with the shortest expected reply time is chosen, based on this node's own
//! measurements. The expected time includes the round trip, so a replica in another region is
//! chosen only if those nearby are slow, stalled or failing.

use std::time::{Duration, Instant};

use crate::{
    lateness,
    mechanisms::{Mechanism, Mechanisms},
    observed::{Fitness, Observed},
};

/// Spent fraction of the retry budget from which a retry has a cost besides its time.
///
/// A failed request that cannot be retried costs the whole objective. Without this cost, a single
/// replica per shard that rejects six of ten requests uses up the retry budget within seconds, and
/// one request in twenty fails.
const SCARCITY_START: f64 = 0.25;

/// Minimum cost of a replica in another region, as a share of the objective.
///
/// Traffic between regions is expensive, and a reply within the objective is as good as an earlier
/// one.
const MIN_FAR_SHARE: f64 = 0.2;

/// Rank of a replica that broke connections or stalled.
pub const SUSPECT_RANK: u8 = 2;

/// Rank of a replica that has probably left.
///
/// Worse than that of a replica that may only be slow, as one that has left will soon terminate.
pub const DEPARTED_RANK: u8 = 3;

/// Properties of a request that decide which replica is chosen.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// Usual duration, without the round trip.
    pub usual: Duration,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Spent fraction of the retry budget of its service, at most one.
    pub spent: f64,
    /// Mechanisms in use for rating replicas.
    pub mechanisms: Mechanisms,
}

/// A replica that could get a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What this node has learned of it.
    pub observed: &'a Observed,
    /// Number of requests of this node that wait to be sent to it.
    pub waiting: usize,
    /// Maximum number of requests of this node at it at once.
    pub limit: u32,
}

/// The rating of a replica for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rating {
    /// Preference rank: zero for a healthy replica, higher is worse.
    pub rank: u8,
    /// Expected time to its reply, in seconds.
    pub expected: f64,
    /// Expected time to its reply with empty queues, in seconds.
    pub unqueued: f64,
    /// Expected time plus the cost of its distance, in seconds.
    pub cost: f64,
    /// Whether all its slots are taken.
    pub is_full: bool,
}

impl Rating {
    /// Rates a replica for a request.
    pub fn new(candidate: Candidate<'_>, profile: RequestProfile, now: Instant) -> Rating {
        let Candidate { observed, .. } = candidate;
        let expected = expected(candidate, profile, now);
        Rating {
            rank: rank(observed, profile.usual, now),
            expected,
            unqueued: unqueued(observed, profile, now),
            cost: expected + far_cost(observed, profile),
            is_full: observed.is_full(now),
        }
    }

    /// Marks the rating as that of a replica that has probably left.
    pub fn departed(self) -> Rating {
        Rating { rank: DEPARTED_RANK, ..self }
    }

    /// Whether nothing speaks against the replica.
    pub fn is_healthy(&self) -> bool {
        self.rank == 0
    }

    /// Compares by preference, the best first.
    fn order(&self, other: &Rating) -> std::cmp::Ordering {
        let order = self.rank.cmp(&other.rank);
        order.then(self.cost.total_cmp(&other.cost))
    }
}

/// Returns the index of the best rating.
pub fn best(ratings: &[Rating]) -> Option<usize> {
    let indexed = ratings.iter().enumerate();
    indexed.min_by(|(_, one), (_, other)| one.order(other)).map(|(index, _)| index)
}

/// Expected time to a reply, in seconds.
///
/// For a failing replica it includes the time until a failure is detected, that of another attempt,
/// and the cost of the spent retry budget. Replicas that reject requests immediately are still used
/// while the budget is ample: they relieve the healthy ones, which could not bear the load alone.
fn expected(candidate: Candidate<'_>, profile: RequestProfile, now: Instant) -> f64 {
    let Candidate { observed, waiting, limit } = candidate;
    let slots = observed.slots().min(f64::from(limit.max(1)));
    let ahead = observed.load(now) + waiting as f64;
    let queue = ((ahead + 1.0 - slots) / slots).max(0.0) * observed.service_time();
    let unqueued = unqueued(observed, profile, now);
    if !profile.mechanisms.uses(Mechanism::FailureCost) {
        return unqueued + queue;
    }
    let scarcity = ((profile.spent - SCARCITY_START) / (1.0 - SCARCITY_START)).max(0.0);
    let repeat = scarcity * profile.objective.as_secs_f64();
    let failure = observed.failed_after() + unqueued + repeat;
    unqueued + queue + observed.failures(now) * failure
}

/// Expected time to a reply with empty queues, in seconds.
fn unqueued(observed: &Observed, profile: RequestProfile, now: Instant) -> f64 {
    let uses = profile.mechanisms.uses(Mechanism::Slowness);
    let slowness = if uses { observed.slowness(now) } else { 1.0 };
    observed.round_trip().as_secs_f64() + profile.usual.as_secs_f64() * slowness
}

/// Cost of a replica's distance in addition to its round trip, in seconds.
fn far_cost(observed: &Observed, profile: RequestProfile) -> f64 {
    if !observed.is_far() || !profile.mechanisms.uses(Mechanism::FarCost) {
        return 0.0;
    }
    let least = MIN_FAR_SHARE * profile.objective.as_secs_f64();
    (least - observed.round_trip().as_secs_f64()).max(0.0)
}

/// Preference rank of a replica; lower is better.
fn rank(observed: &Observed, usual: Duration, now: Instant) -> u8 {
    match observed.fitness() {
        Fitness::Fit if !lateness::is_silent(observed, usual, now) => 0,
        Fitness::Fit => 1,
        Fitness::Suspect | Fitness::Replaced => SUSPECT_RANK,
    }
}
