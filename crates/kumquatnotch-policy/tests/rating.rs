//! Tests of replica selection while some replicas fail.
//!
//! Half of the replicas of an index reject most requests at once, or lose their replies after the
//! work is done. The others are healthy but could not bear twice their load. Retries are limited
//! across all nodes.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::ids::{DataCentre, Region};
use kumquatnotch_policy::{
    distances::Distances,
    mechanisms::Mechanisms,
    observed::Observed,
    rating::{self, Candidate, Rating, RequestProfile},
};
use yare::parameterized;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A replica in this data centre, a millisecond away.
fn replica(now: Instant) -> Observed {
    let centre = DataCentre::from("here");
    let distances = Rc::new(Distances::from(centre.clone(), Region::from("home")));
    let observed = Observed::new(2, distances.to(&centre), now);
    observed.note_connect(ms(1));
    (0..60).for_each(|_| observed.note_service_time(ms(20)));
    observed
}

/// A replica that fails six of ten requests, each after `took`.
fn failing(took: Duration, now: Instant) -> Observed {
    let observed = replica(now);
    for index in 0..200 {
        let failed = index % 5 < 3;
        observed.note_outcome(failed, now);
        if failed {
            observed.note_failed_after(took);
        }
    }
    observed
}

fn profile(spent: f64) -> RequestProfile {
    RequestProfile { usual: ms(20), objective: ms(250), spent, mechanisms: Mechanisms::default() }
}

/// Whether the first replica is selected.
fn is_first(replicas: [&Observed; 2], profile: RequestProfile, now: Instant) -> bool {
    let rate = |observed| Rating::new(Candidate { observed, waiting: 0, limit: 8 }, profile, now);
    rating::best(&replicas.map(rate)) == Some(0)
}

#[test]
fn a_healthy_replica_is_preferred_while_it_has_a_free_slot() {
    let now = Instant::now();

    assert!(is_first([&replica(now), &failing(ms(1), now)], profile(0.0), now));
}

/// The healthy replica has queued requests. Trying a replica that rejects at once costs little. One
/// that loses replies after the work costs the service time, and is worth it only with a longer
/// queue.
#[parameterized(
    rejects = { 1, 4, false },
    loses_replies = { 40, 4, true },
    loses_replies_long_queue = { 40, 14, false },
)]
fn a_failing_replica_is_used_when_the_healthy_one_is_overloaded(
    failed_after: u64,
    load: u32,
    is_healthy: bool,
) {
    let now = Instant::now();
    let healthy = replica(now);
    healthy.note_load(load, now);

    assert_eq!(
        is_first([&healthy, &failing(ms(failed_after), now)], profile(0.0), now),
        is_healthy
    );
}

/// With a low retry budget a rejection would fail the request, so waiting in the queue is better.
#[parameterized(plenty = { 0.2, false }, half = { 0.6, true }, gone = { 1.0, true })]
fn a_failing_replica_is_avoided_when_the_retry_budget_is_low(spent: f64, is_healthy: bool) {
    let now = Instant::now();
    let healthy = replica(now);
    healthy.note_load(5, now);

    assert_eq!(is_first([&healthy, &failing(ms(1), now)], profile(spent), now), is_healthy);
}
