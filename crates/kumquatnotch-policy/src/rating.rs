//! From which replica of a service the reply is expected first.
//!
//! The replica from which the reply is expected first is taken, by this node's
//! own measurements. A replica in another region is farther by the way there and
//! back, so it is taken only if those nearby are slow, stand still or fail.

use std::time::{Duration, Instant};

use crate::{
    lateness,
    mechanisms::{Mechanism, Mechanisms},
    observed::{Fitness, Observed},
};

/// The part of the budget of repeats from which on a repeat costs more than its time.
///
/// A failure that can't be repeated costs the whole objective. With none of it counted, one
/// replica of each shard that rejects six of ten requests takes all repeats within seconds,
/// and one request in twenty fails.
const SCARCITY_START: f64 = 0.25;

/// What the way to another region counts at least, as a part of the objective.
///
/// Bytes between regions are dear, and a reply within the objective is as good as
/// a quicker one.
const MIN_FAR_PART: f64 = 0.2;

/// The reluctance to take a replica that broke connections or stood still.
pub const SUSPECT_RANK: u8 = 2;

/// The reluctance to take a replica that has probably left.
///
/// Greater than for one that may only be slow: a replica that has left ends soon.
pub const DEPARTED_RANK: u8 = 3;

/// What is known of a request for the choice of its replica.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// How long it usually takes, without the way.
    pub usual: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// Which part of the budget of repeats of its service is spent, up to one.
    pub spent: f64,
    /// What is in use of that by which replicas are told apart.
    pub mechanisms: Mechanisms,
}

/// A replica that could get a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What was learned of it.
    pub observed: &'a Observed,
    /// How many requests of this node wait to be sent to it.
    pub waiting: usize,
    /// How many requests of this node may be with it at once.
    pub limit: u32,
}

/// What is to be expected of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rating {
    /// Zero if nothing speaks against it.
    pub rank: u8,
    /// The expected time to its reply, in seconds.
    pub expected: f64,
    /// The same if nothing waited there.
    pub unqueued: f64,
    /// The expected time, with what its distance costs besides time.
    pub cost: f64,
    /// Whether all its slots are taken.
    pub is_full: bool,
}

impl Rating {
    /// Rates a replica for a request.
    pub fn new(candidate: Candidate<'_>, need: RequestProfile, now: Instant) -> Rating {
        let Candidate { observed, .. } = candidate;
        let expected = expected(candidate, need, now);
        Rating {
            rank: rank(observed, need.usual, now),
            expected,
            unqueued: unqueued(observed, need, now),
            cost: expected + far_cost(observed, need),
            is_full: observed.is_full(now),
        }
    }

    /// The same for a replica that has probably left.
    pub fn departed(self) -> Rating {
        Rating { rank: DEPARTED_RANK, ..self }
    }

    /// Whether nothing speaks against it.
    pub fn is_healthy(&self) -> bool {
        self.rank == 0
    }

    /// The order in which replicas are taken.
    fn order(&self, other: &Rating) -> std::cmp::Ordering {
        let order = self.rank.cmp(&other.rank);
        order.then(self.cost.total_cmp(&other.cost))
    }
}

/// The best of these, by its place.
pub fn best(ratings: &[Rating]) -> Option<usize> {
    let places = ratings.iter().enumerate();
    places.min_by(|(_, one), (_, other)| one.order(other)).map(|(place, _)| place)
}

/// The expected time to a reply, in seconds.
///
/// Where some attempts fail, it counts what passes until that shows and another attempt,
/// and what the repeat is worth to others. Replicas that reject at once are still of use
/// while repeats are plenty: they spare the sound ones, which would be crowded alone.
fn expected(candidate: Candidate<'_>, need: RequestProfile, now: Instant) -> f64 {
    let Candidate { observed, waiting, limit } = candidate;
    let slots = observed.slots().min(f64::from(limit.max(1)));
    let ahead = observed.load(now) + waiting as f64;
    let queue = ((ahead + 1.0 - slots) / slots).max(0.0) * observed.service_time();
    let unqueued = unqueued(observed, need, now);
    if !need.mechanisms.uses(Mechanism::FailureCost) {
        return unqueued + queue;
    }
    let scarcity = ((need.spent - SCARCITY_START) / (1.0 - SCARCITY_START)).max(0.0);
    let repeat = scarcity * need.objective.as_secs_f64();
    let failure = observed.failed_after() + unqueued + repeat;
    unqueued + queue + observed.failures(now) * failure
}

/// The same if nothing waited there, in seconds.
fn unqueued(observed: &Observed, need: RequestProfile, now: Instant) -> f64 {
    let uses = need.mechanisms.uses(Mechanism::Slowness);
    let slowness = if uses { observed.slowness(now) } else { 1.0 };
    observed.round_trip().as_secs_f64() + need.usual.as_secs_f64() * slowness
}

/// What the distance of a replica costs besides time, in seconds.
fn far_cost(observed: &Observed, need: RequestProfile) -> f64 {
    if !observed.is_far() || !need.mechanisms.uses(Mechanism::FarCost) {
        return 0.0;
    }
    let least = MIN_FAR_PART * need.objective.as_secs_f64();
    (least - observed.round_trip().as_secs_f64()).max(0.0)
}

/// How readily a replica is taken; less is better.
fn rank(observed: &Observed, usual: Duration, now: Instant) -> u8 {
    match observed.fitness() {
        Fitness::Fit if !lateness::is_silent(observed, usual, now) => 0,
        Fitness::Fit => 1,
        Fitness::Suspect | Fitness::Replaced => SUSPECT_RANK,
    }
}
