//! Tests of the waiting time of callers and of the margin for admitting searches.

use std::time::{Duration, Instant};

use kumquatnotch_core::ids::RouteName;
use kumquatnotch_policy::{
    caller_timeouts::CallerTimeouts,
    overload::{Overload, SearchOutcome},
};

/// Many searches are late or refused, and then none arrive for a while. The margin must return to
/// its minimum; otherwise a node with few searches would stay cautious long after an overload.
#[test]
fn margin_decays_without_searches() {
    let (overload, route) = (Overload::default(), RouteName::from("route"));
    let now = Instant::now();
    (0..60).for_each(|_| overload.note(&route, SearchOutcome::Late, now));
    (0..60).for_each(|_| overload.note(&route, SearchOutcome::Refused, now));

    let later = now + Duration::from_secs(100);

    assert!(overload.margin(&route, now) > 2.9 && overload.is_refusing(&route, now));
    assert!(overload.margin(&route, later) < 1.7 && !overload.is_refusing(&route, later));
}

#[test]
fn waited_time_is_derived_from_the_longest_timeout_seen() {
    let timeouts = CallerTimeouts::default();
    let route = RouteName::from("route");
    let (first, again) = (Duration::from_secs(4), Duration::from_millis(2_500));

    let waited = [first, again, first].map(|left| timeouts.waited(&route, left, first));

    let expected = [Duration::ZERO, Duration::from_millis(1_480), Duration::ZERO];
    assert_eq!(waited, expected);
}

/// All nodes were lost and have restarted. The first callers of a node are retrying with half of
/// their time gone. The node has seen no other callers and must not take them for first-time
/// callers.
#[test]
fn a_new_node_compares_callers_with_the_route_timeout() {
    let timeouts = CallerTimeouts::default();
    let route = RouteName::from("route");
    let (timeout, left) = (Duration::from_millis(800), Duration::from_millis(380));

    let waited: Vec<Duration> = (0..5).map(|_| timeouts.waited(&route, left, timeout)).collect();

    assert_eq!(waited, [Duration::from_millis(400); 5]);
}

/// The configured timeout is far longer than any caller waits. After the first callers, they are
/// compared with each other instead.
#[test]
fn the_route_timeout_applies_to_the_first_callers_only() {
    let timeouts = CallerTimeouts::default();
    let route = RouteName::from("route");
    let (timeout, left) = (Duration::from_secs(60), Duration::from_secs(2));
    let waited = |count| (0..count).map(|_| timeouts.waited(&route, left, timeout)).last();

    let (first, later) = (waited(20), waited(1));

    assert!(first > Some(Duration::from_secs(50)));
    assert_eq!(later, Some(Duration::ZERO));
}
