//! Following the store, and what is believed while it is away.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::rc::Rc;

use common::*;
use fake::FakeStore;
use kumquatnotch_core::{
    Store, codec,
    ids::{Fingerprint, NodeName},
    lifecycle::Stage,
};
use kumquatnotch_policy::crashes::Crash;
use kumquatnotch_route::{
    announce::{Announcer, NodeKeys},
    mirror::Mirror,
    names::ReplicaId,
};
use schema::{TestSchema, options};

struct World {
    tier: Tier,
    store: Rc<FakeStore>,
    mirror: Rc<Mirror>,
}

/// A mirror of a store that holds a configuration and two replicas.
async fn world() -> World {
    let tier = Tier::new();
    let store = Rc::new(FakeStore::default());
    store.put("c", b"3");
    store.put("r/one", b"127.0.0.1:1");
    store.put("r/two", b"127.0.0.1:2");
    let dyn_store: Rc<dyn Store> = store.clone();
    let mirror = Mirror::new(options(), tier.router.clone(), dyn_store, Rc::new(TestSchema));
    mirror.start();
    pause(50).await;
    World { tier, store, mirror }
}

impl World {
    fn replicas(&self) -> usize {
        self.tier.router.directory.len()
    }

    fn version(&self) -> u64 {
        self.tier.router.table().unwrap().version()
    }
}

#[test]
fn what_the_store_holds_is_known_and_followed() {
    run(async {
        let world = world().await;
        assert!(world.tier.router.is_ready());
        assert_eq!((world.version(), world.replicas()), (3, 2));

        world.store.put("c", b"9");
        world.store.put("r/two", b"127.0.0.1:2!");
        world.store.put("r/three", b"127.0.0.1:3");
        pause(100).await;

        assert_eq!((world.version(), world.replicas()), (9, 3));
        let two = world.tier.router.directory.all();
        let two = two.iter().find(|replica| replica.id.as_str() == "two").unwrap().clone();
        assert!(!two.takes_requests());
    });
}

#[test]
fn a_replica_that_leaves_the_store_is_dropped_at_once() {
    run(async {
        let world = world().await;
        // The time in which vanished entries are kept after the start must be over.
        pause(600).await;

        world.store.delete("r/one");
        pause(60).await;

        assert_eq!(world.replicas(), 1);
    });
}

/// The store swallows the watch of a node, and is well a moment later. Callers must not be
/// answered by an old configuration until that call has failed: another is made beside it.
#[test]
fn a_watch_that_the_store_swallowed_is_not_waited_for() {
    run(async {
        let world = world().await;
        world.store.silent.set(true);
        pause(100).await;
        world.store.silent.set(false);
        world.store.put("c", b"9");

        pause(1_000).await;

        assert_eq!(world.version(), 9);
    });
}

/// The store is away, and the entries of replicas lapse meanwhile. When it is back
/// they are missing at first, and return when their replicas have renewed them.
#[test]
fn entries_that_lapse_while_the_store_is_away_are_kept_until_they_return() {
    run(async {
        let world = world().await;
        pause(600).await;

        world.store.away.set(true);
        pause(100).await;
        world.store.delete("r/one");
        world.store.delete("r/two");
        world.store.away.set(false);
        pause(200).await;
        let kept = world.replicas();
        world.store.put("r/one", b"127.0.0.1:1");
        pause(600).await;

        assert_eq!(kept, 2);
        assert_eq!(world.replicas(), 1);
    });
}

/// The store was away only between two answers of a watch, so that no call failed.
/// That so many replicas vanish together tells that their entries lapsed.
#[test]
fn entries_that_vanish_all_together_are_kept_for_a_while() {
    run(async {
        let world = world().await;
        for index in 0..8 {
            world.store.put(&format!("r/{index}"), b"127.0.0.1:4");
        }
        pause(700).await;

        for index in 0..8 {
            world.store.delete(&format!("r/{index}"));
        }
        pause(100).await;
        let kept = world.replicas();
        pause(700).await;

        assert_eq!((kept, world.replicas()), (10, 2));
    });
}

/// The history is gone, so that the deletions in the gap were never seen.
#[test]
fn everything_is_read_anew_when_the_history_is_gone() {
    run(async {
        let world = world().await;
        world.store.away.set(true);
        pause(100).await;
        world.store.delete("r/one");
        world.store.put("r/three", b"127.0.0.1:3");
        world.store.put("c", b"4");
        world.store.forget();
        world.store.away.set(false);
        pause(300).await;

        assert_eq!((world.version(), world.replicas()), (4, 3));
        pause(600).await;
        assert_eq!(world.replicas(), 2);
    });
}

#[test]
fn a_value_that_cannot_be_read_changes_nothing() {
    run(async {
        let world = world().await;

        world.store.put("c", b"not a version");
        world.store.put("c", b"5");
        pause(100).await;

        assert_eq!(world.version(), 5);
    });
}

fn announcer(world: &World) -> Rc<Announcer> {
    let store: Rc<dyn Store> = world.store.clone();
    Announcer::new(
        world.tier.router.clone(),
        store,
        world.mirror.clone(),
        NodeName::from("me"),
        NodeKeys { record: "n/me".to_owned(), crashes: "x/me".to_owned() },
        node_entry(refusing_address(), 1.0),
    )
}

#[test]
fn a_node_announces_itself_and_takes_its_entry_away_when_it_leaves() {
    run(async {
        let world = world().await;
        let announcer = announcer(&world);
        announcer.start();
        pause(100).await;
        let announced = world.tier.router.fleet.len();

        world.tier.router.lifecycle.advance(Stage::Leaving);
        announcer.leave().await;
        pause(1_000).await;

        assert_eq!(announced, 1);
        assert!(!world.store.items.borrow().contains_key("n/me"));
    });
}

#[test]
fn a_node_whose_lease_has_ended_announces_itself_anew() {
    run(async {
        let world = world().await;
        announcer(&world).start();
        pause(100).await;

        world.store.ended.borrow_mut().push(1);
        world.store.delete("n/me");
        pause(1_500).await;

        assert!(world.store.items.borrow().contains_key("n/me"));
        assert_eq!(world.store.leases.get(), 2);
    });
}

/// The store takes the entry away although the lease goes on being renewed, so
/// that no call of the node shows it. Callers would never be advised to use it.
#[test]
fn a_node_whose_entry_was_taken_away_announces_itself_anew() {
    run(async {
        let world = world().await;
        announcer(&world).start();
        pause(700).await;

        world.store.delete("n/me");
        pause(3_000).await;

        assert!(world.store.items.borrow().contains_key("n/me"));
    });
}

/// A node sees a replica crash with a request. It tells the others through the store,
/// and what they tell counts here like what it has seen itself.
#[test]
fn crashes_are_told_to_other_nodes_and_heard_from_them() {
    run(async {
        let world = world().await;
        announcer(&world).start();
        pause(100).await;
        let crash = |attempt| Crash { print: Fingerprint(7), attempt };
        let now = std::time::Instant::now();

        world.tier.router.crashes.note(crash(1), now);
        pause(1_100).await;
        let told = world.store.items.borrow()["x/me"].value.clone();
        pause(1_700).await;
        world.store.put("x/other", &codec::encode(&vec![crash(2), crash(3)]).unwrap());
        pause(300).await;

        assert_eq!(codec::decode::<Vec<Crash>>(&told).unwrap(), [crash(1)]);
        assert_eq!(world.tier.router.crashes.strikes_of(Fingerprint(7)), 2);
    });
}

/// What a replica that was known under this name was learned to be, by the requests that
/// were sent to it.
fn asked(world: &World, id: &str) -> Option<u64> {
    let replica = world.tier.router.directory.find(&ReplicaId::from(id))?;
    Some(replica.observed.asked())
}

/// A replica starts again under its name and address. What was learned of its earlier life
/// says nothing of it, and the connections to that are dead: the next caller's request would
/// be lost on one of them. A write of the earlier life that comes late changes nothing.
#[test]
fn a_replica_that_starts_again_under_its_name_is_a_new_one() {
    run(async {
        let world = world().await;
        world.store.put("r/one", b"127.0.0.1:1@100");
        pause(60).await;
        let first = world.tier.router.directory.find(&ReplicaId::from("one")).unwrap();
        first.observed.note_sent(std::time::Instant::now());

        world.store.put("r/one", b"127.0.0.1:1@200");
        pause(60).await;
        let again = asked(&world, "one");
        world.store.put("r/one", b"127.0.0.1:9@100");
        pause(60).await;
        let late = world.tier.router.directory.find(&ReplicaId::from("one")).unwrap();

        assert!(first.is_gone());
        assert_eq!(again, Some(0));
        assert_eq!(late.spec().born, Some(200));
        assert_eq!(late.spec().address, "127.0.0.1:1".parse().unwrap());
    });
}

/// Another writer takes the entry of a replica, with bytes that are none. Callers are not
/// sent there any more; the other replicas hold, and this one is back when it has written.
#[test]
fn an_entry_that_another_writer_took_names_no_replica() {
    run(async {
        let world = world().await;

        world.store.put("r/one", b"\xff\xfe");
        world.store.put("r/foreign", b"not an address");
        pause(60).await;
        let taken = (asked(&world, "one"), asked(&world, "two"), asked(&world, "foreign"));
        world.store.put("r/one", b"127.0.0.1:1");
        pause(60).await;

        assert_eq!(taken, (None, Some(0), None));
        assert_eq!(asked(&world, "one"), Some(0));
    });
}

/// The store is away. Meanwhile a replica starts again under its name, and another writer
/// takes the entry of a second one. When the store is back, entries that lapsed are kept
/// for a while; these two are known by what stands there now.
#[test]
fn restarts_and_other_writers_in_an_outage_are_seen_after_it() {
    run(async {
        let world = world().await;
        world.store.put("r/three", b"127.0.0.1:3");
        world.store.put("r/one", b"127.0.0.1:1@100");
        pause(60).await;
        let first = world.tier.router.directory.find(&ReplicaId::from("one")).unwrap();

        world.store.away.set(true);
        pause(100).await;
        world.store.put("r/one", b"127.0.0.1:1@200");
        world.store.put("r/two", b"{}");
        world.store.delete("r/three");
        let during = (first.is_gone(), asked(&world, "two"));
        world.store.away.set(false);
        pause(200).await;

        assert_eq!(during, (false, Some(0)));
        assert!(first.is_gone());
        assert_eq!(asked(&world, "one"), Some(0));
        assert_eq!(asked(&world, "two"), None);
        assert_eq!(asked(&world, "three"), Some(0), "it may be back in a moment");
    });
}
