//! Replicas whose entry has vanished from the store: some have left, some are there.

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
use kumquatnotch_core::{Store, ids::NodeName};
use kumquatnotch_route::{
    announce::{Announcer, NodeKeys},
    mirror::{Mirror, MirrorOptions},
    replica,
};
use schema::TestSchema;

/// From when on no request may be sent to a replica that has left, after its entry was
/// removed: the shortest that operators ask for.
const DRAINED: Duration = Duration::from_secs(3);

/// A node, as it runs in production, and a store with some replicas of two services.
struct World {
    tier: Tier,
    store: Rc<FakeStore>,
    mirror: Rc<Mirror>,
}

async fn world(replicas: &[&str]) -> World {
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
    World { tier, store, mirror }
}

impl World {
    /// The replica of a service that the next request is sent to.
    fn next(&self, name: &str) -> Option<String> {
        let router = &self.tier.router;
        let replicas = router.directory.of(&service(name));
        let need = router.need(&single());
        let pick = replica::pick(&replicas, &[], need, router.clock.now())?;
        Some(pick.replica.id.as_str().to_owned())
    }

    /// To which replicas of a service requests are sent until `end`.
    async fn used(&self, name: &str, end: Instant) -> Vec<String> {
        let mut used = Vec::new();
        while Instant::now() < end {
            used.extend(self.next(name));
            pause(20).await;
        }
        used.sort();
        used.dedup();
        used
    }
}

/// A replica leaves without a word: its entry is removed. The store tells its watches nothing
/// for a second, and drops the history, so that the node reads everything anew and finds the
/// entry missing. It was kept from then on like one that lapsed, and the sum was too long:
/// requests reached the replica four seconds after it had left, as a start or a rescan is no
/// outage, and one entry that is missing no lapse.
#[test]
fn a_replica_that_left_while_the_history_was_dropped_gets_no_requests() {
    run(async {
        let world = world(&["s0.left", "s0.stays"]).await;
        pause(3_000).await;

        world.store.deaf.set(true);
        world.store.delete("r/s0.left");
        let removed = Instant::now();
        pause(1_000).await;
        world.store.forget();
        world.store.deaf.set(false);
        pause(2_000).await;
        let used = world.used("s0", removed + DRAINED + Duration::from_secs(1)).await;

        assert_eq!(used, ["s0.stays"]);
    });
}

/// The store is away for a moment, and a replica leaves without a word. Another one of its
/// service is there, so requests go to that, while the first may still come back.
#[test]
fn a_replica_that_vanished_in_an_outage_is_the_last_to_be_used() {
    run(async {
        let world = world(&["s0.left", "s0.stays", "s1.only"]).await;
        pause(3_000).await;

        world.store.away.set(true);
        pause(300).await;
        world.store.delete("r/s0.left");
        world.store.delete("r/s1.only");
        world.store.away.set(false);
        pause(1_200).await;
        let known = world.tier.router.directory.len();
        let used = world.used("s0", Instant::now() + Duration::from_millis(300)).await;

        assert_eq!(known, 3, "each may be back in a moment");
        assert_eq!(used, ["s0.stays"]);
        assert_eq!(world.next("s1").as_deref(), Some("s1.only"), "its service has no other");
    });
}

/// The store was away, and the entries of most replicas lapsed. They are back one by one. If
/// only those were used that are back, the first one of each service would be crowded.
#[test]
fn replicas_whose_entries_lapsed_together_are_used_like_others() {
    run(async {
        let names = ["s0.a", "s0.b", "s1.a", "s1.b", "s2.a", "s2.b"];
        let world = world(&names).await;
        pause(3_000).await;

        world.store.away.set(true);
        pause(300).await;
        names.iter().for_each(|name| world.store.delete(&format!("r/{name}")));
        world.store.away.set(false);
        pause(1_200).await;
        world.store.put("r/s0.a", b"127.0.0.1:1");
        pause(500).await;

        let router = &world.tier.router;
        let need = router.need(&single());
        let replicas = router.directory.of(&service("s0"));
        let now = router.clock.now();
        assert!(replicas.iter().all(|replica| replica.rate(need, now).is_good()));
        assert_eq!(replicas.len(), 2);
    });
}

/// One renewal of a lease is lost, and the next one answered. Seconds later the only replica
/// of a service leaves without a word, and requests go on being sent to it: the node took the
/// next return of its watch for the end of an outage, though it had heard of it long before.
#[test]
fn an_outage_ends_with_the_first_call_that_is_answered() {
    run(async {
        let world = world(&["s0.left"]).await;
        let announcer = Announcer::new(
            world.tier.router.clone(),
            world.store.clone(),
            world.mirror.clone(),
            NodeName::from("me"),
            NodeKeys { record: "n/me".to_owned(), crashes: "x/me".to_owned() },
            node_entry(refusing_address(), 1.0),
        );
        announcer.start();
        // A watch has just begun, and returns in two seconds; a renewal comes before that.
        pause(3_100).await;
        world.store.loses_renewals.set(true);
        pause(800).await;
        world.store.loses_renewals.set(false);
        pause(3_600).await;

        world.store.delete("r/s0.left");
        pause(500).await;

        assert_eq!(world.next("s0"), None);
    });
}
