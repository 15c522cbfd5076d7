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

    let waited = [first, again, first].map(|left| patience.waited(&route, left));

    let expected = [Duration::ZERO, Duration::from_millis(1_480), Duration::ZERO];
    assert_eq!(waited, expected);
}
