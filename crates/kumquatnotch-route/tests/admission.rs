//! Which searches are let in, and when one is refused.

mod common;

use std::{rc::Rc, time::Duration};

use common::*;
use futures_util::future::join;
use http::HeaderValue;
use kumquatnotch_core::{Clock, clock::RuntimeClock};
use kumquatnotch_net::message::Request;
use kumquatnotch_policy::{observed::Fitness, strain::Fate};
use kumquatnotch_route::{
    admission,
    gather::Search,
    names::ReplicaId,
    route::{Destination, Route},
    semaphore::{Permit, PrioritySemaphore},
};
use yare::parameterized;

/// A search that has just come, of a caller that comes for the first time.
fn search<'a>(route: &'a Route, request: &'a Request, identity: &'a HeaderValue) -> Search<'a> {
    let Destination::Shards(set) = &route.destination else { panic!() };
    let now = RuntimeClock.now();
    let due = now + Duration::from_millis(150);
    let deadline = now + Duration::from_secs(2);
    Search { route, set, request, identity, due, deadline, is_late_retry: false }
}

/// Whether a tier lets in a search that has just come; if not, when it may come again.
async fn try_admit(tier: &Tier, route: &Route) -> Result<(), Duration> {
    let (request, identity) = (Request::get("/a/"), HeaderValue::from_static("r1"));
    let admitted = admission::admit(&tier.router, &search(route, &request, &identity));
    admitted.map_err(|refused| refused.retry_after)
}

/// A gate that lets in one at a time.
fn semaphore() -> Rc<PrioritySemaphore> {
    let semaphore = Rc::new(PrioritySemaphore::default());
    semaphore.set_limit(1);
    semaphore
}

/// Whether a tier lets in a search whose caller comes again, and how long it waited.
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

/// A tier with a replica for each of `count` shards.
fn tier(count: usize) -> (Tier, Vec<ReplicaId>) {
    let tier = Tier::new();
    let ids = (0..count).map(|index| tier.add(&format!("s{index}"), refusing_address())).collect();
    (tier, ids)
}

/// Lets the replica be known as `times` slower than usual.
fn slow_down(tier: &Tier, id: &ReplicaId, times: u32) {
    let replica = tier.router.directory.find(id).unwrap();
    let usual = Duration::from_millis(10);
    (0..60).for_each(|_| replica.observed.note_speed(usual * times, usual, RuntimeClock.now()));
}

/// Lets the replica tell that so many requests wait there, each of 20 ms.
fn fill_queue(tier: &Tier, id: &ReplicaId, waiting: u32) {
    let replica = tier.router.directory.find(id).unwrap();
    (0..60).for_each(|_| replica.observed.note_work(Duration::from_millis(20)));
    replica.observed.note_load(waiting, RuntimeClock.now());
}

#[test]
fn a_search_is_admitted_when_all_shards_are_healthy() {
    run(async {
        let (tier, _) = tier(4);

        assert_eq!(try_admit(&tier, &shards(4, 0.5)).await, Ok(()));
    });
}

/// Shards are slow or answer nothing, but the answer can do without them. The search is let
/// in, and asks them all the same: what is known of them may be old.
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

/// Too many shards are crowded for an answer in time. Starting the search would make
/// the ones that wait later still; it is refused while that is true of it.
/// The store was away, and the entries of replicas lapsed. A node that starts then knows
/// those of some shards only, and each second more. A search needs 19 of 20 shards: it
/// can't be answered yet, so it is refused before anything runs, and its caller comes again
/// as late as it will. Before, it ran on the others and failed, of unknown outcome.
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

/// The same seen by the caller: 503 with the time to come back, and no replica has run it.
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

#[test]
fn a_search_that_needs_an_overloaded_shard_is_refused() {
    run(async {
        let (tier, ids) = tier(4);
        fill_queue(&tier, &ids[0], 40);
        fill_queue(&tier, &ids[1], 40);

        let needed = try_admit(&tier, &shards(4, 0.75)).await;
        let spared = try_admit(&tier, &shards(4, 0.5)).await;

        let retry_after = needed.unwrap_err();
        assert!(
            retry_after >= Duration::from_millis(40) && retry_after <= Duration::from_millis(400)
        );
        assert_eq!(spared, Ok(()));
    });
}

/// A slow shard that is needed is asked, late as its part will be: callers get a late
/// answer rather than none, as long as there is time for it.
#[test]
fn a_search_that_needs_a_slow_shard_is_admitted() {
    run(async {
        let (tier, ids) = tier(2);
        slow_down(&tier, &ids[1], 20);

        assert_eq!(try_admit(&tier, &shards(2, 1.0)).await, Ok(()));
    });
}

/// The caller of a search comes again long after the objective while replicas are
/// busy. It waits here, so that it makes none late that comes in time, and is let in
/// when they have room to spare.
#[test]
fn a_late_retry_waits_for_capacity() {
    run(async {
        let (tier, ids) = tier(2);
        ids.iter().for_each(|id| fill_queue(&tier, id, 12));

        let (has_room, took) = wait_for_capacity(&tier, &shards(2, 1.0)).await;

        // Each works off twelve requests of 20 ms two at a time.
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

/// Replicas are crowded, and searches that come for the first time are refused. One
/// that comes again is refused as well, at once: it would wait for what isn't there.
#[test]
fn a_late_retry_does_not_wait_while_other_searches_are_refused() {
    run(async {
        let (tier, ids) = tier(2);
        ids.iter().for_each(|id| fill_queue(&tier, id, 800));
        let route = shards(2, 1.0);
        (0..3)
            .for_each(|_| tier.router.strains.note(&route.name, Fate::Refused, RuntimeClock.now()));

        let (has_room, took) = wait_for_capacity(&tier, &route).await;

        assert!(!has_room);
        assert!(took < Duration::from_millis(20));
    });
}

/// Two callers come again while replicas have room. The second one waits until the
/// answer of the first one is given, and is refused if that takes too long.
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

/// The queues at the replicas would just let a search be in time. It is let in while
/// searches are in time, and refused once many that were let in were late: other nodes
/// send to the same replicas, and what is known of their queues is old.
#[test]
fn admission_is_stricter_while_many_searches_are_late() {
    run(async {
        let (tier, ids) = tier(2);
        let route = shards(2, 1.0);
        let note = |count, fate| {
            (0..count)
                .for_each(|_| tier.router.strains.note(&route.name, fate, RuntimeClock.now()));
        };
        let fill_queues = || ids.iter().for_each(|id| fill_queue(&tier, id, 3));

        fill_queues();
        let before = try_admit(&tier, &route).await;
        note(20, Fate::Late);
        fill_queues();
        let while_late = try_admit(&tier, &route).await;
        note(100, Fate::InTime);
        fill_queues();
        let after = try_admit(&tier, &route).await;

        assert_eq!(before, Ok(()));
        assert!(while_late.is_err(), "{while_late:?}");
        assert_eq!(after, before);
    });
}

/// Nearly all searches have been refused for a while. Callers come again later than
/// after a single refusal, but sooner than a third of their time.
#[test]
fn retry_after_grows_while_overload_lasts() {
    run(async {
        let (tier, ids) = tier(2);
        ids.iter().for_each(|id| fill_queue(&tier, id, 40));
        let route = shards(2, 1.0);
        (0..80)
            .for_each(|_| tier.router.strains.note(&route.name, Fate::Refused, RuntimeClock.now()));

        let retry_after = try_admit(&tier, &route).await.unwrap_err();

        assert!(
            retry_after > Duration::from_millis(300) && retry_after < Duration::from_secs(1),
            "{retry_after:?}"
        );
    });
}
