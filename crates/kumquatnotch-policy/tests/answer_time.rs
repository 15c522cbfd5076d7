//! Tests of the time that an answer is waited for.
//!
//! Callers are 0.5 to 40 ms away and look up nodes before most requests; nodes are idle or busy.
//! The time reserved for round trips and for the lag of the node must follow the measurements, up
//! to a factor of ten in each direction from the initial assumptions.

use std::time::Duration;

use kumquatnotch_policy::{
    answer_time::{self, Due, RequestDelays},
    caller_rtt::CallerRtt,
    lags::Lags,
};
use yare::parameterized;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn caller_rtt(measured: &[Duration]) -> CallerRtt {
    let caller_rtt = CallerRtt::default();
    measured.iter().for_each(|round_trip| caller_rtt.note(*round_trip));
    caller_rtt
}

#[parameterized(
    near = { 800, 300 },
    as_assumed = { 8_000, 300 },
    far = { 80_000, 300 },
    few_are_busy = { 2_000, 25 },
)]
fn the_caller_round_trip_is_learned(usual_us: u64, busy_every: usize) {
    let usual = Duration::from_micros(usual_us);
    let measured: Vec<Duration> =
        (1..=200).map(|index| if index % busy_every == 0 { ms(400) } else { usual }).collect();

    assert_eq!(caller_rtt(&measured).usual(), usual);
}

#[test]
fn the_initial_round_trip_is_used_until_enough_samples() {
    assert_eq!(caller_rtt(&[ms(1); 4]).usual(), caller_rtt(&[]).usual());
}

/// When callers move, the old round trip must be forgotten after sixty-four samples.
#[test]
fn a_changed_round_trip_replaces_the_old_one() {
    let measured: Vec<Duration> = [[ms(2); 100], [ms(30); 100]].concat();

    assert_eq!(caller_rtt(&measured).usual(), ms(30));
}

#[parameterized(idle = { 250 }, as_assumed = { 2_500 }, busy = { 25_000 })]
fn the_lag_of_a_node_is_learned(lag_us: u64) {
    let lags = Lags::default();
    let lag = Duration::from_micros(lag_us);

    (0..100).for_each(|_| lags.note(lag));
    // Late for lack of parts, which does not reflect the lag of the node.
    (0..100).for_each(|_| lags.note(ms(200)));

    assert_eq!(lags.usual(), lag);
}

#[parameterized(
    later = { 250, 2, 1, false, 241 },
    first = { 250, 2, 1, true, 239 },
    busy = { 250, 2, 10, false, 214 },
    far = { 250, 40, 1, false, 127 },
    short_objective = { 60, 2, 1, false, 51 },
    round_trip_over_the_objective = { 60, 80, 1, false, 24 },
    long_objective = { 3_000, 6, 2, false, 2_976 },
)]
fn round_trips_and_lag_are_deducted_from_the_objective(
    objective: u64,
    round_trip: u64,
    lag: u64,
    is_first: bool,
    expected: u64,
) {
    let delays = RequestDelays {
        round_trip: ms(round_trip),
        remote_round_trip: Duration::ZERO,
        lag: ms(lag),
        is_first,
    };

    assert_eq!(answer_time::time_to_answer(ms(objective), delays), ms(expected));
}

/// A caller that retries after most of its time cannot be answered in time any more; it is given as
/// long as a first-time caller.
#[parameterized(
    first = { 0, 200, false },
    a_little_later = { 60, 140, false },
    too_late = { 120, 200, true },
)]
fn a_retrying_caller_gets_the_remaining_time(waited: u64, within: u64, is_late_retry: bool) {
    assert_eq!(Due::new(ms(200), ms(waited)), Due { within: ms(within), is_late_retry });
}
