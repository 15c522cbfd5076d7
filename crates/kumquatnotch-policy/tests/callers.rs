//! What is learned of callers: how long they have waited, and what became of their searches.

use std::time::{Duration, Instant};

use kumquatnotch_core::ids::RouteName;
use kumquatnotch_policy::{
    patience::Patience,
    strain::{Fate, Strains},
};

/// Many searches were late or refused, and then none came for a while. Caution is over.
#[test]
fn caution_fades_without_searches() {
    let (strains, route) = (Strains::default(), RouteName::from("route"));
    let now = Instant::now();
    (0..60).for_each(|_| strains.note(&route, Fate::Late, now));
    (0..60).for_each(|_| strains.note(&route, Fate::Refused, now));

    let later = now + Duration::from_secs(100);

    assert!(strains.margin(&route, now) > 2.9 && strains.is_refusing(&route, now));
    assert!(strains.margin(&route, later) < 1.7 && !strains.is_refusing(&route, later));
}

#[test]
fn a_caller_that_has_less_time_than_others_has_waited() {
    let patience = Patience::default();
    let route = RouteName::from("route");
    let (first, again) = (Duration::from_secs(4), Duration::from_millis(2_500));

    let waited = [first, again, first].map(|left| patience.waited(&route, left, first));

    let expected = [Duration::ZERO, Duration::from_millis(1_480), Duration::ZERO];
    assert_eq!(waited, expected);
}

/// All nodes were lost, and are back. The first callers of a node come again, with half of
/// their time gone; it has seen nobody else, and must not take them for callers that come
/// for the first time.
#[test]
fn callers_that_come_again_to_a_new_node_are_known_by_the_timeout() {
    let patience = Patience::default();
    let route = RouteName::from("route");
    let (timeout, left) = (Duration::from_millis(800), Duration::from_millis(380));

    let waited: Vec<Duration> = (0..5).map(|_| patience.waited(&route, left, timeout)).collect();

    assert_eq!(waited, [Duration::from_millis(400); 5]);
}

/// The operators' timeout is far longer than any caller waits. After a while callers are
/// compared with each other.
#[test]
fn a_timeout_that_no_caller_has_counts_for_the_first_ones_only() {
    let patience = Patience::default();
    let route = RouteName::from("route");
    let (timeout, left) = (Duration::from_secs(60), Duration::from_secs(2));
    let waited = |count| (0..count).map(|_| patience.waited(&route, left, timeout)).last();

    let (first, later) = (waited(20), waited(1));

    assert!(first > Some(Duration::from_secs(50)));
    assert_eq!(later, Some(Duration::ZERO));
}
