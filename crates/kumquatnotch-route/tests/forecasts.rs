//! Which shards of a search are asked, and when a search is refused.

mod common;

use std::time::Duration;

use common::*;
use http::HeaderValue;
use kumquatnotch_core::{Clock, clock::RuntimeClock};
use kumquatnotch_net::message::Request;
use kumquatnotch_route::{
    forecast::{self, Forecast},
    gather::Search,
    names::ReplicaId,
    patience::Patience,
    replica::Fitness,
    route::{Destination, Route},
};

/// Does something with a search that has just come.
async fn with_search<T>(route: &Route, work: impl AsyncFnOnce(&Search<'_>) -> T) -> T {
    let Destination::Shards(set) = &route.destination else { panic!() };
    let now = RuntimeClock.now();
    let search = Search {
        route,
        set,
        request: &Request::get("/a/"),
        identity: &HeaderValue::from_static("r1"),
        due: now + Duration::from_millis(150),
        deadline: now + Duration::from_secs(2),
    };
    work(&search).await
}

/// What a tier foretells of a search that has just come.
async fn foretell(tier: &Tier, route: &Route) -> Forecast {
    with_search(route, async |search| forecast::forecast(&tier.router, search)).await
}

/// A tier with a replica for each of `count` shards.
fn tier(count: usize) -> (Tier, Vec<ReplicaId>) {
    let tier = Tier::new();
    let ids = (0..count).map(|index| tier.add(&format!("s{index}"), nowhere())).collect();
    (tier, ids)
}

/// Lets the replica be known as `times` slower than usual.
fn slow(tier: &Tier, id: &ReplicaId, times: u32) {
    let replica = tier.router.directory.find(id).unwrap();
    let usual = Duration::from_millis(10);
    (0..60).for_each(|_| replica.note_speed(usual * times, usual, RuntimeClock.now()));
}

/// Lets the replica tell that so many requests wait there, each of 20 ms.
fn crowd(tier: &Tier, id: &ReplicaId, waiting: u32) {
    let replica = tier.router.directory.find(id).unwrap();
    (0..60).for_each(|_| replica.note_work(Duration::from_millis(20)));
    replica.note_load(waiting, RuntimeClock.now());
}

fn ask(shards: &[usize], skipped: &[usize]) -> Forecast {
    Forecast::Ask { shards: shards.to_vec(), skipped: skipped.to_vec() }
}

#[test]
fn all_shards_are_asked_while_nothing_is_wrong() {
    run(async {
        let (tier, _) = tier(4);

        assert_eq!(foretell(&tier, &shards(4, 0.5)).await, ask(&[0, 1, 2, 3], &[]));
    });
}

/// A shard's only replica is twenty times slower than usual. Its part would be
/// missing in any case, and asking it would keep it from those who need it.
#[test]
fn a_shard_that_would_be_late_is_left_out() {
    run(async {
        let (tier, ids) = tier(4);
        slow(&tier, &ids[1], 20);

        assert_eq!(foretell(&tier, &shards(4, 0.5)).await, ask(&[0, 2, 3], &[1]));
    });
}

#[test]
fn no_more_late_shards_are_asked_than_the_answer_needs() {
    run(async {
        let (tier, ids) = tier(4);
        slow(&tier, &ids[1], 30);
        slow(&tier, &ids[2], 20);

        assert_eq!(foretell(&tier, &shards(4, 0.75)).await, ask(&[0, 3, 2], &[1]));
    });
}

#[test]
fn a_shard_whose_replicas_answer_nothing_is_left_out() {
    run(async {
        let (tier, ids) = tier(4);
        tier.router.directory.find(&ids[0]).unwrap().set_fitness(Fitness::Suspect);

        assert_eq!(foretell(&tier, &shards(4, 0.5)).await, ask(&[1, 2, 3], &[0]));
    });
}

/// Too many shards are crowded for an answer in time. Starting the search would make
/// the ones that wait later still; it is refused while that is true of it.
#[test]
fn a_search_that_needs_a_crowded_shard_is_refused() {
    run(async {
        let (tier, ids) = tier(4);
        crowd(&tier, &ids[0], 40);
        crowd(&tier, &ids[1], 40);

        let needed = foretell(&tier, &shards(4, 0.75)).await;
        let spared = foretell(&tier, &shards(4, 0.5)).await;

        let Forecast::Refuse { retry } = needed else { panic!("{needed:?}") };
        assert!(retry >= Duration::from_millis(40) && retry <= Duration::from_millis(400));
        assert_eq!(spared, ask(&[2, 3], &[0, 1]));
    });
}

/// A slow shard that is needed is asked, late as its part will be: callers get a late
/// answer rather than none, as long as there is time for it.
#[test]
fn a_search_that_needs_a_slow_shard_is_served_late() {
    run(async {
        let (tier, ids) = tier(2);
        slow(&tier, &ids[1], 20);

        assert_eq!(foretell(&tier, &shards(2, 1.0)).await, ask(&[0, 1], &[]));
    });
}

/// A search whose caller has waited for long waits here while replicas are busy, so
/// that it makes none late that comes in time. It is let in when they have room.
#[test]
fn a_late_search_waits_until_replicas_have_room() {
    run(async {
        let (tier, ids) = tier(2);
        ids.iter().for_each(|id| crowd(&tier, id, 8));

        let start = RuntimeClock.now();
        let route = shards(2, 1.0);
        let has_room =
            with_search(&route, async |search| forecast::await_room(&tier.router, search).await)
                .await;
        let took = RuntimeClock.now() - start;

        // Each works off eight requests of 20 ms two at a time.
        assert!(has_room);
        assert!(took > Duration::from_millis(20) && took < Duration::from_millis(700));
    });
}

#[test]
fn a_late_search_finds_no_room_while_replicas_stay_busy() {
    run(async {
        let (tier, ids) = tier(2);
        ids.iter().for_each(|id| crowd(&tier, id, 800));

        let route = shards(2, 1.0);
        let has_room =
            with_search(&route, async |search| forecast::await_room(&tier.router, search).await)
                .await;

        assert!(!has_room);
    });
}

#[test]
fn a_caller_that_has_less_time_than_others_has_waited() {
    let patience = Patience::default();
    let route = shards(2, 1.0);
    let (first, again) = (Duration::from_secs(4), Duration::from_millis(2_500));

    let waited = [first, again, first].map(|left| patience.waited(&route, left));

    let expected = [Duration::ZERO, Duration::from_millis(1_480), Duration::ZERO];
    assert_eq!(waited, expected);
}
