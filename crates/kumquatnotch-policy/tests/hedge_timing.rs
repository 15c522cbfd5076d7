//! Tests of hedge timing and of awaiting losing attempts.
//!
//! Replicas stall for 0.3 s from time to time, and the other replica of a shard is in another
//! region, 40 ms away. Under heavy load both are busy most of the time, and each unnecessary hedge
//! delays other requests.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::ids::{DataCentre, Region};
use kumquatnotch_policy::{distances::Distances, hedge_timing, observed::Observed};
use yare::parameterized;

const USUAL: Duration = ms(20);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn replica(now: Instant, round_trip: Duration) -> Observed {
    let centre = DataCentre::from("there");
    let distances = Rc::new(Distances::from(DataCentre::from("here"), Region::from("home")));
    let observed = Observed::new(2, distances.to(&centre), now);
    observed.note_connect(round_trip);
    observed
}

/// Awaiting a losing attempt keeps its connection. It is not awaited if it is late, the replica
/// stalls, or others wait for its slots.
#[parameterized(
    on_its_way = { 30, 1, 30, true },
    late = { 120, 1, 30, false },
    stalled = { 30, 1, 400, false },
    full = { 30, 2, 30, false },
)]
fn a_losing_attempt_is_awaited_unless_late_stalled_or_full(
    took: u64,
    load: u32,
    silent_for: u64,
    may_end: bool,
) {
    let start = Instant::now();
    let observed = replica(start, ms(40));
    observed.note_sent(start);
    let now = start + ms(silent_for);
    observed.note_load(load, now);

    assert_eq!(hedge_timing::should_await_loser(&observed, USUAL, ms(took), now), may_end);
}

/// The reply of a nearby replica is late. The hedge is sent as late as it can still help, given the
/// round trip to the other replica, but not before a reply could be expected.
#[parameterized(
    time_enough = { 10, 300, 59 },
    last_moment = { 60, 120, 50 },
    too_late_already = { 60, 60, 31 },
    no_other = { 0, 300, 59 },
)]
fn a_hedge_is_sent_as_late_as_it_can_still_help(other: u64, left: u64, after: u64) {
    let now = Instant::now();
    let first = replica(now, ms(1));
    let other = (other > 0).then_some(ms(other).as_secs_f64());

    assert_eq!(hedge_timing::delay(&first, other, USUAL, ms(left), now), ms(after));
}
