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
    replica::Fitness,
    route::{Destination, Route},
};

/// What a tier foretells of a search that has just come.
fn foretell(tier: &Tier, route: &Route) -> Forecast {
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
    forecast::forecast(&tier.router, &search)
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

        assert_eq!(foretell(&tier, &shards(4, 0.5)), ask(&[0, 1, 2, 3], &[]));
    });
}

/// A shard's only replica is twenty times slower than usual. Its part would be
/// missing in any case, and asking it would keep it from those who need it.
#[test]
fn a_shard_that_would_be_late_is_left_out() {
    run(async {
        let (tier, ids) = tier(4);
        slow(&tier, &ids[1], 20);

        assert_eq!(foretell(&tier, &shards(4, 0.5)), ask(&[0, 2, 3], &[1]));
    });
}

#[test]
fn no_more_late_shards_are_asked_than_the_answer_needs() {
    run(async {
        let (tier, ids) = tier(4);
        slow(&tier, &ids[1], 30);
        slow(&tier, &ids[2], 20);

        assert_eq!(foretell(&tier, &shards(4, 0.75)), ask(&[0, 3, 2], &[1]));
    });
}

#[test]
fn a_shard_whose_replicas_answer_nothing_is_left_out() {
    run(async {
        let (tier, ids) = tier(4);
        tier.router.directory.find(&ids[0]).unwrap().set_fitness(Fitness::Suspect);

        assert_eq!(foretell(&tier, &shards(4, 0.5)), ask(&[1, 2, 3], &[0]));
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

        let needed = foretell(&tier, &shards(4, 0.75));
        let spared = foretell(&tier, &shards(4, 0.5));

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

        assert_eq!(foretell(&tier, &shards(2, 1.0)), ask(&[0, 1], &[]));
    });
}
