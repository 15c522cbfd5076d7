//! For how long an answer is waited for, at callers and nodes of any kind.
//!
//! The pattern: callers 0.5 to 40 ms away, who look up nodes before most requests; nodes that
//! are idle or busy. An answer is given when it would otherwise be late for its caller. What
//! is reserved for the ways and the node must follow what was measured, by a factor of ten in
//! each direction from what is assumed at first.

use std::time::Duration;

use kumquatnotch_policy::{
    answer_time::{self, Due, Origin},
    caller_trips::CallerTrips,
    lags::Lags,
};
use yare::parameterized;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn trips(measured: &[Duration]) -> CallerTrips {
    let trips = CallerTrips::default();
    measured.iter().for_each(|trip| trips.note(*trip));
    trips
}

#[parameterized(
    near = { 800, 300 },
    as_assumed = { 8_000, 300 },
    far = { 80_000, 300 },
    few_are_busy = { 2_000, 25 },
)]
fn the_way_of_callers_is_learned(usual_us: u64, busy_every: usize) {
    let usual = Duration::from_micros(usual_us);
    let measured: Vec<Duration> =
        (1..=200).map(|index| if index % busy_every == 0 { ms(400) } else { usual }).collect();

    assert_eq!(trips(&measured).usual(), usual);
}

#[test]
fn few_measurements_are_not_believed() {
    assert_eq!(trips(&[ms(1); 4]).usual(), trips(&[]).usual());
}

/// Callers move: the way of before is forgotten after the last sixty-four of them.
#[test]
fn a_way_that_changes_is_learned_anew() {
    let measured: Vec<Duration> = [[ms(2); 100], [ms(30); 100]].concat();

    assert_eq!(trips(&measured).usual(), ms(30));
}

#[parameterized(idle = { 250 }, as_assumed = { 2_500 }, busy = { 25_000 })]
fn the_lag_of_a_node_is_learned(lag_us: u64) {
    let lags = Lags::default();
    let lag = Duration::from_micros(lag_us);

    (0..100).for_each(|_| lags.note(lag));
    // Late for lack of parts, which says nothing of the node.
    (0..100).for_each(|_| lags.note(ms(200)));

    assert_eq!(lags.usual(), lag);
}

#[parameterized(
    later = { 250, 2, 1, false, 241 },
    first = { 250, 2, 1, true, 239 },
    busy = { 250, 2, 10, false, 214 },
    far = { 250, 40, 1, false, 127 },
    short_objective = { 60, 2, 1, false, 51 },
    way_over_the_objective = { 60, 80, 1, false, 24 },
    long_objective = { 3_000, 6, 2, false, 2_976 },
)]
fn what_callers_and_the_node_need_comes_off_the_objective(
    objective: u64,
    trip: u64,
    lag: u64,
    is_first: bool,
    waited: u64,
) {
    let origin = Origin { trip: ms(trip), way: Duration::ZERO, lag: ms(lag), is_first };

    assert_eq!(answer_time::waiting(ms(objective), origin), ms(waited));
}

/// A caller comes again after most of its time: the answer can't be in time any more, and
/// gets as long as that of a caller that comes first.
#[parameterized(
    first = { 0, 200, false },
    a_little_later = { 60, 140, false },
    too_late = { 120, 200, true },
)]
fn a_caller_that_comes_again_has_what_is_left(waited: u64, within: u64, is_returning: bool) {
    assert_eq!(Due::new(ms(200), ms(waited)), Due { within: ms(within), is_returning });
}
