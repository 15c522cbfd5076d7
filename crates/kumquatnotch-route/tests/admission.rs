//! Admission of searches: which are admitted, delayed or refused.

mod common;

use std::{rc::Rc, time::Duration};

use common::*;
use futures_util::future::join;
use http::HeaderValue;
use kumquatnotch_core::{Clock, clock::RuntimeClock, lifecycle::Stage};
use kumquatnotch_net::message::Request;
use kumquatnotch_policy::{mass_loss::MassLoss, observed::Fitness, overload::SearchOutcome};
use kumquatnotch_route::{
    admission,
    gather::Search,
    names::ReplicaId,
    route::{Destination, Route},
    semaphore::{Permit, PrioritySemaphore},
};
use yare::parameterized;

/// A search that has just arrived from a first-time caller.
fn search<'a>(route: &'a Route, request: &'a Request, identity: &'a HeaderValue) -> Search<'a> {
    let Destination::Shards(set) = &route.destination else { panic!() };
    let now = RuntimeClock.now();
    let due = now + Duration::from_millis(150);
    let deadline = now + Duration::from_secs(2);
    let losses = MassLoss::default();
    Search { route, set, request, identity, due, deadline, is_late_retry: false, losses }
}

/// Tries to admit a search that has just arrived; returns the `Retry-After` if refused.
async fn try_admit(tier: &Tier, route: &Route) -> Result<(), Duration> {
    let (request, identity) = (Request::get("/a/"), HeaderValue::from_static("r1"));
    let admitted = admission::admit(&tier.router, &search(route, &request, &identity));
    admitted.map_err(|refused| refused.retry_after)
}

/// A semaphore with a single permit.
fn semaphore() -> Rc<PrioritySemaphore> {
    let semaphore = Rc::new(PrioritySemaphore::default());
    semaphore.set_limit(1);
    semaphore
}

/// Tries to admit a late retry; returns whether it was admitted and how long it waited.
async fn wait_for_capacity(tier: &Tier, route: &Route) -> (bool, Duration) {
    let (permit, took) = await_permit(tier, &semaphore(), route).await;
    (permit.is_some(), took)
}

async fn await_permit(
    tier: &Tier,
    semaphore: &Rc<PrioritySemaphore>,
    route: &Route,
) -> (Option<Permit>, Duration) {
    let (request, identity) = (Request::get("/a/"), HeaderValue::from_static("r1"));
    let start = RuntimeClock.now();
    let mut search = Search { is_late_retry: true, ..search(route, &request, &identity) };
    let permit = admission::wait_for_capacity(&tier.router, semaphore, &mut search).await;
    (permit, RuntimeClock.now() - start)
}

/// Creates a tier with one replica for each of `count` shards.
fn tier(count: usize) -> (Tier, Vec<ReplicaId>) {
    let tier = Tier::new();
    let ids = (0..count).map(|index| tier.add(&format!("s{index}"), refusing_address())).collect();
    (tier, ids)
}

/// Records that the replica is `times` slower than usual.
fn slow_down(tier: &Tier, id: &ReplicaId, times: u32) {
    let replica = tier.router.directory.find(id).unwrap();
    let usual = Duration::from_millis(10);
    (0..60).for_each(|_| replica.observed.note_speed(usual * times, usual, RuntimeClock.now()));
}

/// Records that `waiting` requests of 20 ms each are queued at the replica.
fn fill_queue(tier: &Tier, id: &ReplicaId, waiting: u32) {
    let replica = tier.router.directory.find(id).unwrap();
    (0..60).for_each(|_| replica.observed.note_service_time(Duration::from_millis(20)));
    replica.observed.note_load(waiting, RuntimeClock.now());
}

#[test]
fn a_search_is_admitted_when_all_shards_are_healthy() {
    run(async {
        let (tier, _) = tier(4);

        assert_eq!(try_admit(&tier, &shards(4, 0.5)).await, Ok(()));
    });
}

/// Some shards are slow or silent, but the answer does not need them. The search is admitted
/// and still queries them, as their statistics may be outdated.
#[parameterized(
    one_slow = { &[20], 0.5 },
    two_slow = { &[30, 20], 0.5 },
    one_of_two_is_needed = { &[30, 20], 0.75 },
)]
fn a_search_with_slow_optional_shards_is_admitted(slowness: &[u32], min_coverage: f64) {
    run(async {
        let (tier, ids) = tier(4);
        slowness.iter().zip(&ids).for_each(|(times, id)| slow_down(&tier, id, *times));

        assert_eq!(try_admit(&tier, &shards(4, min_coverage)).await, Ok(()));
    });
}

#[test]
fn a_search_with_a_suspected_shard_is_admitted() {
    run(async {
        let (tier, ids) = tier(4);
        tier.router.directory.find(&ids[0]).unwrap().observed.set_fitness(Fitness::Suspect);

        assert_eq!(try_admit(&tier, &shards(4, 0.5)).await, Ok(()));
    });
}

/// The entries of replicas expired during a store outage. A node that starts then knows the
/// replicas of some shards only, and of more shards each second. A search that needs 19 of 20
/// shards can't be answered yet. It must be refused before anything runs, with the longest
/// `Retry-After`, instead of running on the known shards and failing with an unknown outcome.
#[test]
fn a_search_without_replicas_of_too_many_shards_is_refused_until_they_are_back() {
    run(async {
        let (tier, _) = tier(18);
        let route = shards(20, 0.95);

        let refused = try_admit(&tier, &route).await;
        tier.add("s18", refusing_address());
        let admitted = try_admit(&tier, &route).await;

        let retry_after = refused.unwrap_err();
        assert!(
            retry_after > Duration::from_millis(600) && retry_after < Duration::from_millis(700)
        );
        assert_eq!(admitted, Ok(()));
    });
}

/// One of two shards has no replica, and the search needs both. The caller gets 503 with
/// `Retry-After`, and no replica has run the request.
#[test]
fn a_search_refused_for_lack_of_replicas_has_not_run() {
    run(async {
        let tier = Tier::serving(shards(2, 1.0));
        let other = replica("p0", b"0123456789abcdef");
        tier.add("s0", other.address);

        let answer = tier.get("/a/x", "r1").await;

        assert_eq!((answer.status, other.requests().len()), (503, 0));
        assert!(answer.headers.contains_key("retry-after"));
    });
}

/// Too many shards are overloaded for an answer in time. Starting the search would delay the
/// requests in their queues even more, so it is refused while it needs such a shard.
#[test]
fn a_search_that_needs_an_overloaded_shard_is_refused() {
    run(async {
        let (tier, ids) = tier(4);
        fill_queue(&tier, &ids[0], 40);
        fill_queue(&tier, &ids[1], 40);

        let needed = try_admit(&tier, &shards(4, 0.75)).await;
        let not_needed = try_admit(&tier, &shards(4, 0.5)).await;

        let retry_after = needed.unwrap_err();
        assert!(
            retry_after >= Duration::from_millis(40) && retry_after <= Duration::from_millis(400)
        );
        assert_eq!(not_needed, Ok(()));
    });
}

/// A search that needs a slow shard is admitted although its part will be late: callers get a
/// late answer rather than none, as long as the deadline allows it.
#[test]
fn a_search_that_needs_a_slow_shard_is_admitted() {
    run(async {
        let (tier, ids) = tier(2);
        slow_down(&tier, &ids[1], 20);

        assert_eq!(try_admit(&tier, &shards(2, 1.0)).await, Ok(()));
    });
}

/// A caller retries a search long after the objective while replicas are busy. The search
/// waits at the node, so that it does not delay searches that can be in time, and is admitted
/// once replicas have spare capacity.
#[test]
fn a_late_retry_waits_for_capacity() {
    run(async {
        let (tier, ids) = tier(2);
        ids.iter().for_each(|id| fill_queue(&tier, id, 12));

        let (has_room, took) = wait_for_capacity(&tier, &shards(2, 1.0)).await;

        // Each replica works off twelve requests of 20 ms, two at a time.
        assert!(has_room);
        assert!(took > Duration::from_millis(20) && took < Duration::from_millis(700));
    });
}

#[test]
fn a_late_retry_is_refused_while_replicas_stay_busy() {
    run(async {
        let (tier, ids) = tier(2);
        ids.iter().for_each(|id| fill_queue(&tier, id, 800));

        let (has_room, took) = wait_for_capacity(&tier, &shards(2, 1.0)).await;

        assert!(!has_room);
        assert!(took > Duration::from_millis(600));
    });
}

/// Replicas are overloaded and first-time searches are refused. A late retry is refused at
/// once as well, as waiting would be in vain.
#[test]
fn a_late_retry_does_not_wait_while_other_searches_are_refused() {
    run(async {
        let (tier, ids) = tier(2);
        ids.iter().for_each(|id| fill_queue(&tier, id, 800));
        let route = shards(2, 1.0);
        (0..3).for_each(|_| {
            tier.router.overload.note(&route.name, SearchOutcome::Refused, RuntimeClock.now())
        });

        let (has_room, took) = wait_for_capacity(&tier, &route).await;

        assert!(!has_room);
        assert!(took < Duration::from_millis(20));
    });
}

/// Two callers retry late while replicas have capacity. The second search waits until the
/// first one is answered, and is refused if that takes too long.
#[test]
fn late_retries_are_admitted_one_at_a_time() {
    run(async {
        let (tier, _) = tier(2);
        let (semaphore, route) = (semaphore(), shards(2, 1.0));

        let (first, _) = await_permit(&tier, &semaphore, &route).await;
        let (second, waited) = await_permit(&tier, &semaphore, &route).await;
        let is_refused = second.is_none();
        let end = async {
            monoio::time::sleep(Duration::from_millis(100)).await;
            drop(first);
        };
        let ((third, took), ()) = join(await_permit(&tier, &semaphore, &route), end).await;

        assert!(is_refused && waited > Duration::from_millis(700));
        assert!(third.is_some() && took >= Duration::from_millis(100));
    });
}

/// With the known queue lengths, a search would just be in time. It is admitted while other
/// searches are in time, and refused once many admitted searches were late: other nodes send
/// to the same replicas, so the known queue lengths are outdated.
#[test]
fn admission_is_stricter_while_many_searches_are_late() {
    run(async {
        let (tier, ids) = tier(2);
        let route = shards(2, 1.0);
        let note = |count, outcome| {
            (0..count)
                .for_each(|_| tier.router.overload.note(&route.name, outcome, RuntimeClock.now()));
        };
        let fill_queues = || ids.iter().for_each(|id| fill_queue(&tier, id, 3));

        fill_queues();
        let before = try_admit(&tier, &route).await;
        note(20, SearchOutcome::Late);
        fill_queues();
        let while_late = try_admit(&tier, &route).await;
        note(100, SearchOutcome::InTime);
        fill_queues();
        let after = try_admit(&tier, &route).await;

        assert_eq!(before, Ok(()));
        assert!(while_late.is_err(), "{while_late:?}");
        assert_eq!(after, before);
    });
}

/// Nearly all searches have been refused for a while. `Retry-After` is longer than after a
/// single refusal, but shorter than a third of the caller's timeout.
#[test]
fn retry_after_grows_while_overload_lasts() {
    run(async {
        let (tier, ids) = tier(2);
        ids.iter().for_each(|id| fill_queue(&tier, id, 40));
        let route = shards(2, 1.0);
        (0..80).for_each(|_| {
            tier.router.overload.note(&route.name, SearchOutcome::Refused, RuntimeClock.now())
        });

        let retry_after = try_admit(&tier, &route).await.unwrap_err();

        assert!(
            retry_after > Duration::from_millis(300) && retry_after < Duration::from_secs(1),
            "{retry_after:?}"
        );
    });
}

/// Guards against a late retry that waits for capacity until after the exit of its node.
#[test]
fn late_retry_that_waits_ends_with_its_node() {
    run(async {
        let (tier, ids) = tier(2);
        ids.iter().for_each(|id| fill_queue(&tier, id, 800));
        let lifecycle = tier.router.lifecycle.clone();
        monoio::spawn(async move {
            pause(150).await;
            lifecycle.advance(Stage::Ending);
        });

        let (has_room, took) = wait_for_capacity(&tier, &shards(2, 1.0)).await;

        assert!(!has_room);
        assert!(took < Duration::from_millis(300), "{took:?}");
    });
}
