//! Replicas whose entries have vanished from the store: some have left, others are still running.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use common::*;
use fake::FakeStore;
use futures_util::future::join_all;
use kumquatnotch_core::{Store, ids::NodeName};
use kumquatnotch_route::{
    announce::Announcer,
    follow,
    mirror::{Mirror, MirrorOptions},
    replica,
};
use schema::TestSchema;

/// Time after the removal of its entry from which no request may be sent to a replica that has
/// left: the shortest that operators ask for.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// A node with production options, and a store with some replicas of two services.
struct Fixture {
    tier: Tier,
    store: Rc<FakeStore>,
    mirror: Rc<Mirror>,
}

async fn fixture(replicas: &[&str]) -> Fixture {
    let (tier, store) = (Tier::new(), Rc::new(FakeStore::default()));
    store.put("c", b"3");
    for name in replicas {
        store.put(&format!("r/{name}"), b"127.0.0.1:1");
    }
    let dyn_store: Rc<dyn Store> = store.clone();
    let options = MirrorOptions::default();
    let mirror = Mirror::new(options, tier.router.clone(), dyn_store, Rc::new(TestSchema));
    mirror.start();
    pause(100).await;
    Fixture { tier, store, mirror }
}

fn next_replica(tier: &Tier, name: &str) -> Option<String> {
    let router = &tier.router;
    let replicas = router.directory.of(&service(name));
    let profile = router.profile(&single());
    let pick = replica::pick(&replicas, &[], profile, router.clock.now())?;
    Some(pick.replica.id.as_str().to_owned())
}

async fn pause_until(end: Instant) {
    monoio::time::sleep(end.saturating_duration_since(Instant::now())).await;
}

fn delete_all_of_s0(store: &FakeStore) {
    ["a", "b", "c", "d"].iter().for_each(|name| store.delete(&format!("r/s0.{name}")));
}

impl Fixture {
    /// Returns the replica of a service that the next request would be sent to.
    fn next_replica(&self, name: &str) -> Option<String> {
        next_replica(&self.tier, name)
    }

    /// Returns the replicas of a service that requests would be sent to until `end`.
    async fn used_replicas(&self, name: &str, end: Instant) -> Vec<String> {
        let mut used_replicas = Vec::new();
        while Instant::now() < end {
            used_replicas.extend(self.next_replica(name));
            pause(20).await;
        }
        used_replicas.sort();
        used_replicas.dedup();
        used_replicas
    }
}

/// A replica leaves without draining. The store reports no changes for a second and then drops its
/// history, so the node reloads everything and finds the entry missing. A reload is no outage, and
/// a single missing entry no mass expiry. If the replica were retained like one whose entry has
/// expired, requests would reach it four seconds after it has left.
#[test]
fn a_replica_that_left_while_the_history_was_dropped_gets_no_requests() {
    run(async {
        let fixture = fixture(&["s0.left", "s0.stays"]).await;
        pause(3_000).await;

        fixture.store.hides_changes.set(true);
        fixture.store.delete("r/s0.left");
        let removed = Instant::now();
        pause(1_000).await;
        fixture.store.compact();
        fixture.store.hides_changes.set(false);
        pause(2_000).await;
        let used_replicas =
            fixture.used_replicas("s0", removed + DRAIN_LIMIT + Duration::from_secs(1)).await;

        assert_eq!(used_replicas, ["s0.stays"]);
    });
}

/// The store is unavailable for a moment, and a replica leaves without draining. Requests must
/// go to another replica of its service, while the first may still come back.
#[test]
fn a_replica_that_vanished_in_an_outage_is_used_last() {
    run(async {
        let fixture = fixture(&["s0.left", "s0.stays", "s1.only"]).await;
        pause(3_000).await;

        fixture.store.unavailable.set(true);
        pause(300).await;
        fixture.store.delete("r/s0.left");
        fixture.store.delete("r/s1.only");
        fixture.store.unavailable.set(false);
        pause(1_200).await;
        let known = fixture.tier.router.directory.len();
        let used_replicas =
            fixture.used_replicas("s0", Instant::now() + Duration::from_millis(300)).await;

        assert_eq!(known, 3, "each entry may return");
        assert_eq!(used_replicas, ["s0.stays"]);
        assert_eq!(
            fixture.next_replica("s1").as_deref(),
            Some("s1.only"),
            "its service has no other replica"
        );
    });
}

/// The store was unavailable, the entries of most replicas expired, and they return one by one. If
/// only the replicas that are back were used, the first one of each service would be overloaded.
#[test]
fn replicas_whose_entries_expired_together_keep_their_priority() {
    run(async {
        let names = ["s0.a", "s0.b", "s1.a", "s1.b", "s2.a", "s2.b"];
        let fixture = fixture(&names).await;
        pause(3_000).await;

        fixture.store.unavailable.set(true);
        pause(300).await;
        names.iter().for_each(|name| fixture.store.delete(&format!("r/{name}")));
        fixture.store.unavailable.set(false);
        pause(1_200).await;
        fixture.store.put("r/s0.a", b"127.0.0.1:1");
        pause(500).await;

        let router = &fixture.tier.router;
        let profile = router.profile(&single());
        let replicas = router.directory.of(&service("s0"));
        let now = router.clock.now();
        assert!(replicas.iter().all(|replica| replica.rate(profile, now).is_healthy()));
        assert_eq!(replicas.len(), 2);
    });
}

/// One renewal of a lease is lost, and the next one is answered. Seconds later the only
/// replica of a service leaves without draining. If the outage lasted until the next return of
/// the watch, although the answered renewal ends it long before, requests would still be sent to
/// that replica.
#[test]
fn an_outage_ends_with_the_first_answered_call() {
    run(async {
        let fixture = fixture(&["s0.left"]).await;
        let announcer = Announcer::new(
            fixture.tier.router.clone(),
            fixture.store.clone(),
            fixture.mirror.clone(),
            NodeName::from("me"),
            "n/me".to_owned(),
            node_entry(refusing_address(), 1.0),
        );
        announcer.start();
        // A watch has just begun and returns in two seconds; a renewal comes before that.
        pause(3_100).await;
        fixture.store.loses_renewals.set(true);
        pause(800).await;
        fixture.store.loses_renewals.set(false);
        pause(3_600).await;

        fixture.store.delete("r/s0.left");
        pause(500).await;

        assert_eq!(fixture.next_replica("s0"), None);
    });
}

/// Four replicas leave without draining in the pause after a return of the watch, out of so few that
/// their entries count as expired. Whenever the pause, the time for which expired entries are
/// retained and the check for their removal add up to more than operators allow, requests would
/// be sent to replicas that have ended.
#[test]
fn replicas_that_leave_together_get_no_requests_after_the_drain_limit() {
    run(async {
        let tests = (0..12).map(|phase| async move {
            let fixture = fixture(&["s0.a", "s0.b", "s0.c", "s0.d", "s1.stays"]).await;
            pause(3_000 + 20 * phase).await;
            fixture.store.put("c", b"4");
            pause(15).await;
            delete_all_of_s0(&fixture.store);
            let removed = Instant::now();
            pause(1_000).await;
            let soon = fixture.next_replica("s0");
            pause_until(removed + DRAIN_LIMIT).await;
            (soon.is_some(), fixture.next_replica("s0"))
        });
        let used = join_all(tests).await;

        assert_eq!(used, vec![(true, None); 12], "used after a second, and at the limit");
    });
}

/// The same on a node that follows another one, which gets the changes later.
#[test]
fn follower_sends_nothing_to_replicas_that_left_together_after_the_drain_limit() {
    run(async {
        let tests = (0..12).map(|phase| async move {
            let store = Rc::new(FakeStore::default());
            store.put("c", b"3");
            for name in ["s0.a", "s0.b", "s0.c", "s0.d", "s1.stays"] {
                store.put(&format!("r/{name}"), b"127.0.0.1:1");
            }
            let tiers = [("r1", 2.0), ("r2", 2.0), ("z", 1.0)]
                .map(|(name, capacity)| (name, capacity, Tier::named(name, 100.0, "home")));
            for (name, capacity, tier) in &tiers {
                store.put(&format!("n/{name}"), &node_entry(tier.peer.address(), *capacity));
            }
            for name in ["u", "v", "w"] {
                store.put(&format!("n/{name}"), &node_entry(refusing_address(), 1.0));
            }
            for (.., tier) in &tiers {
                let (options, store) = (MirrorOptions::default(), store.clone());
                Mirror::new(options, tier.router.clone(), store, Rc::new(TestSchema)).start();
            }
            let [.., (.., follower)] = &tiers;
            pause(6_000 + 20 * phase).await;
            assert!(follow::is_follower(&follower.router));
            store.put("c", b"4");
            pause(15).await;
            delete_all_of_s0(&store);
            let removed = Instant::now();
            pause(1_000).await;
            let soon = next_replica(follower, "s0");
            pause_until(removed + DRAIN_LIMIT).await;
            (soon.is_some(), next_replica(follower, "s0"))
        });
        let used = join_all(tests).await;

        assert_eq!(used, vec![(true, None); 12], "used after a second, and at the limit");
    });
}

/// The only replica of a service leaves without draining, soon after an outage in which entries may
/// have expired. The same times add up for it, as its entry is retained like an expired one.
#[test]
fn only_replica_that_left_soon_after_an_outage_gets_no_requests_after_the_drain_limit() {
    run(async {
        let tests = (0..12).map(|phase| async move {
            let fixture = fixture(&["s0.left", "s1.stays"]).await;
            pause(3_000 + 20 * phase).await;
            fixture.store.unavailable.set(true);
            pause(300).await;
            fixture.store.unavailable.set(false);
            pause(1_500).await;
            fixture.store.put("c", b"4");
            pause(15).await;
            fixture.store.delete("r/s0.left");
            pause_until(Instant::now() + DRAIN_LIMIT).await;
            fixture.next_replica("s0")
        });
        let used = join_all(tests).await;

        assert_eq!(used, vec![None; 12]);
    });
}
