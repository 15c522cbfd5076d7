//! Which replica a request is sent to, and when its reply is late.
//!
//! The replica from which the reply is expected first is taken, by this node's
//! own measurements. A replica in another region is farther by the way there and
//! back, so it is taken only if those nearby are slow, stand still or fail.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    names::ReplicaId,
    replica::{Fitness, Replica},
};

/// What a failure costs: finding another replica, and a repeat out of the budget.
const FAILURE_COST: f64 = 0.2;

/// After how many times the usual time a reply is late.
///
/// Work times spread by about a third, with one in a hundred five times as long:
/// 2.5 times is beyond 99 of 100.
const LATE_TIMES: f64 = 2.5;

/// What a reply may be late by besides, for the scheduling of both processes.
const LATE_SLACK: Duration = Duration::from_millis(8);

/// The most slowness that is waited for before a reply counts as late.
const PATIENT_SLOWNESS: f64 = 2.0;

/// What the way to another region counts at least, as a part of the objective.
///
/// Bytes between regions are dear, and a reply within the objective is as good as
/// a quicker one.
const FAR_PART: f64 = 0.2;

/// What is known of a request for the choice of its replica.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// How long it usually takes, without the way.
    pub usual: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
}

/// After which time a reply of `replica` is late.
pub fn lateness(replica: &Replica, usual: Duration, now: Instant) -> Duration {
    let slowness = replica.slowness(now).clamp(1.0, PATIENT_SLOWNESS);
    replica.round_trip() + usual.mul_f64(LATE_TIMES * slowness) + LATE_SLACK
}

/// The least part of the usual time after which a copy is sent.
///
/// Before that, most replies are still to come and the copy would be wasted.
const SOONEST_TIMES: f64 = 1.5;

/// After which time a copy is sent of a request to `replica` that is due in `left`.
///
/// A copy that is sent when the reply is late may itself come too late, as the
/// other replica may be far away. So it is sent sooner if that is the last moment
/// at which it still helps, but not before a reply was to be expected.
pub fn copy_delay(
    replica: &Replica,
    other: Option<f64>,
    usual: Duration,
    left: Duration,
    now: Instant,
) -> Duration {
    let late = lateness(replica, usual, now);
    let Some(other) = other else {
        return late;
    };
    let slowness = replica.slowness(now).clamp(1.0, PATIENT_SLOWNESS);
    let soonest = replica.round_trip() + usual.mul_f64(SOONEST_TIMES * slowness);
    let needed = Duration::from_secs_f64(other) + usual.mul_f64(SOONEST_TIMES - 1.0);
    left.saturating_sub(needed).clamp(soonest.min(late), late)
}

/// Whether `replica` has answered nothing for longer than a reply may take.
pub fn is_silent(replica: &Replica, usual: Duration, now: Instant) -> bool {
    replica.silence(now) > lateness(replica, usual, now)
}

/// The expected time to a reply, in seconds.
pub fn expected(replica: &Replica, usual: Duration, now: Instant) -> f64 {
    let slots = f64::from(replica.spec().slots.max(1)).min(f64::from(replica.gate.limit().max(1)));
    let ahead = replica.load(now) + replica.gate.waiting() as f64;
    let queue = ((ahead + 1.0 - slots) / slots).max(0.0) * replica.work();
    unqueued(replica, usual, now) + queue + FAILURE_COST * replica.failures(now)
}

/// The same if nothing waited there, in seconds.
fn unqueued(replica: &Replica, usual: Duration, now: Instant) -> f64 {
    replica.round_trip().as_secs_f64() + usual.as_secs_f64() * replica.slowness(now)
}

/// What is to be expected of a request to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outlook {
    /// Its reply is expected in time.
    Fine,
    /// Its reply is expected too late, as its replicas are slow or answer nothing.
    Hopeless,
    /// Its reply is expected too late, as too many requests wait at its replicas.
    Congested,
}

/// What is to be expected of a request that is due in `left`, and of a reply at all.
///
/// If all slots of the replica are taken, its expected time counts `margin` times.
pub fn outlook(pick: &Pick, need: Need, left: Duration, margin: f64, now: Instant) -> Outlook {
    let left = left.as_secs_f64();
    if pick.reluctance >= SUSPECT || unqueued(&pick.replica, need.usual, now) > left {
        return Outlook::Hopeless;
    }
    let times = if pick.replica.is_full(now) { margin } else { 1.0 };
    if pick.expected * times > left { Outlook::Congested } else { Outlook::Fine }
}

/// The reluctance to take a replica that broke connections or answered nothing.
const SUSPECT: u8 = 2;

/// The expected time to a reply, with what the distance costs besides time.
pub fn cost(replica: &Replica, need: Need, now: Instant) -> f64 {
    let expected = expected(replica, need.usual, now);
    if !replica.is_far() {
        return expected;
    }
    let least = FAR_PART * need.objective.as_secs_f64();
    expected + (least - replica.round_trip().as_secs_f64()).max(0.0)
}

/// How readily a replica is taken; less is better.
fn reluctance(replica: &Replica, usual: Duration, now: Instant) -> u8 {
    match replica.fitness() {
        Fitness::Fit if !is_silent(replica, usual, now) => 0,
        Fitness::Fit => 1,
        Fitness::Suspect | Fitness::Replaced => SUSPECT,
    }
}

/// Whether nothing speaks against `replica`.
pub fn is_good(replica: &Replica, usual: Duration, now: Instant) -> bool {
    replica.takes_requests() && reluctance(replica, usual, now) == 0
}

/// The best of `replicas`, without those `tried`; with its reluctance.
pub fn best(
    replicas: &[Rc<Replica>],
    tried: &[ReplicaId],
    need: Need,
    now: Instant,
) -> Option<Pick> {
    let open = replicas.iter().filter(|replica| replica.takes_requests());
    let open = open.filter(|replica| !tried.contains(&replica.id));
    let rated = open.map(|replica| Pick {
        replica: replica.clone(),
        reluctance: reluctance(replica, need.usual, now),
        expected: expected(replica, need.usual, now),
        cost: cost(replica, need, now),
    });
    rated.min_by(|one, other| {
        let order = one.reluctance.cmp(&other.reluctance);
        order.then(one.cost.total_cmp(&other.cost))
    })
}

/// A replica that was picked.
pub struct Pick {
    /// The replica.
    pub replica: Rc<Replica>,
    /// Zero if nothing speaks against it.
    pub reluctance: u8,
    /// The expected time to its reply, in seconds.
    pub expected: f64,
    /// The same, with what its distance costs besides time.
    pub cost: f64,
}
