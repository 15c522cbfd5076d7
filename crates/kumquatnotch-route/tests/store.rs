//! Mirroring the store, and the state that is used while the store is unavailable.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::rc::Rc;

use common::*;
use fake::FakeStore;
use kumquatnotch_core::{Store, ids::NodeName, lifecycle::Stage};
use kumquatnotch_route::{announce::Announcer, mirror::Mirror, names::ReplicaId};
use schema::{TestSchema, options};

struct Fixture {
    tier: Tier,
    store: Rc<FakeStore>,
    mirror: Rc<Mirror>,
}

/// A mirror of a store that holds a configuration and two replicas.
async fn fixture() -> Fixture {
    let tier = Tier::new();
    let store = Rc::new(FakeStore::default());
    store.put("c", b"3");
    store.put("r/one", b"127.0.0.1:1");
    store.put("r/two", b"127.0.0.1:2");
    let dyn_store: Rc<dyn Store> = store.clone();
    let mirror = Mirror::new(options(), tier.router.clone(), dyn_store, Rc::new(TestSchema));
    mirror.start();
    pause(50).await;
    Fixture { tier, store, mirror }
}

impl Fixture {
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
        let fixture = fixture().await;
        assert!(fixture.tier.router.is_ready());
        assert_eq!((fixture.version(), fixture.replicas()), (3, 2));

        fixture.store.put("c", b"9");
        fixture.store.put("r/two", b"127.0.0.1:2!");
        fixture.store.put("r/three", b"127.0.0.1:3");
        pause(100).await;

        assert_eq!((fixture.version(), fixture.replicas()), (9, 3));
        let two = fixture.tier.router.directory.all();
        let two = two.iter().find(|replica| replica.id.as_str() == "two").unwrap().clone();
        assert!(!two.takes_requests());
    });
}

#[test]
fn a_replica_that_leaves_the_store_is_dropped_at_once() {
    run(async {
        let fixture = fixture().await;
        // Wait until vanished entries are no longer retained after the start.
        pause(600).await;

        fixture.store.delete("r/one");
        pause(60).await;

        assert_eq!(fixture.replicas(), 1);
    });
}

/// The store loses the watch of a node, and is available again a moment later. Callers must not
/// be answered by an old configuration until that watch fails: another call is made concurrently.
#[test]
fn a_lost_watch_is_retried_before_it_fails() {
    run(async {
        let fixture = fixture().await;
        fixture.store.unresponsive.set(true);
        pause(100).await;
        fixture.store.unresponsive.set(false);
        fixture.store.put("c", b"9");

        pause(1_000).await;

        assert_eq!(fixture.version(), 9);
    });
}

/// The entries of replicas expire while the store is unavailable. When it is back, they are
/// missing at first, and return once their replicas have renewed them.
#[test]
fn entries_that_expire_during_an_outage_are_retained_until_they_return() {
    run(async {
        let fixture = fixture().await;
        pause(600).await;

        fixture.store.unavailable.set(true);
        pause(100).await;
        fixture.store.delete("r/one");
        fixture.store.delete("r/two");
        fixture.store.unavailable.set(false);
        pause(200).await;
        let kept = fixture.replicas();
        fixture.store.put("r/one", b"127.0.0.1:1");
        pause(600).await;

        assert_eq!(kept, 2);
        assert_eq!(fixture.replicas(), 1);
    });
}

/// The store was unavailable only between two answers to watches, so that no call failed. The
/// number of replicas that vanish together shows that their entries have expired.
#[test]
fn entries_that_vanish_together_are_retained_for_a_while() {
    run(async {
        let fixture = fixture().await;
        for index in 0..8 {
            fixture.store.put(&format!("r/{index}"), b"127.0.0.1:4");
        }
        pause(700).await;

        for index in 0..8 {
            fixture.store.delete(&format!("r/{index}"));
        }
        pause(100).await;
        let kept = fixture.replicas();
        pause(700).await;

        assert_eq!((kept, fixture.replicas()), (10, 2));
    });
}

/// The store has dropped its history, so the deletions in the gap were never seen.
#[test]
fn a_full_scan_follows_when_the_history_is_gone() {
    run(async {
        let fixture = fixture().await;
        fixture.store.unavailable.set(true);
        pause(100).await;
        fixture.store.delete("r/one");
        fixture.store.put("r/three", b"127.0.0.1:3");
        fixture.store.put("c", b"4");
        fixture.store.compact();
        fixture.store.unavailable.set(false);
        pause(300).await;

        assert_eq!((fixture.version(), fixture.replicas()), (4, 3));
        pause(600).await;
        assert_eq!(fixture.replicas(), 2);
    });
}

#[test]
fn an_unreadable_value_is_ignored() {
    run(async {
        let fixture = fixture().await;

        fixture.store.put("c", b"not a version");
        fixture.store.put("c", b"5");
        pause(100).await;

        assert_eq!(fixture.version(), 5);
    });
}

fn announcer(fixture: &Fixture) -> Rc<Announcer> {
    let store: Rc<dyn Store> = fixture.store.clone();
    Announcer::new(
        fixture.tier.router.clone(),
        store,
        fixture.mirror.clone(),
        NodeName::from("me"),
        "n/me".to_owned(),
        node_entry(refusing_address(), 1.0),
    )
}

#[test]
fn a_node_announces_itself_and_deletes_its_entry_when_it_leaves() {
    run(async {
        let fixture = fixture().await;
        let announcer = announcer(&fixture);
        announcer.start();
        pause(100).await;
        let announced = fixture.tier.router.fleet.len();

        fixture.tier.router.lifecycle.advance(Stage::Leaving);
        announcer.leave().await;
        pause(1_000).await;

        assert_eq!(announced, 1);
        assert!(!fixture.store.items.borrow().contains_key("n/me"));
    });
}

#[test]
fn a_node_whose_lease_has_ended_announces_itself_again() {
    run(async {
        let fixture = fixture().await;
        announcer(&fixture).start();
        pause(100).await;

        fixture.store.ended_leases.borrow_mut().push(1);
        fixture.store.delete("n/me");
        pause(1_500).await;

        assert!(fixture.store.items.borrow().contains_key("n/me"));
        assert_eq!(fixture.store.granted_leases.get(), 2);
    });
}

/// The store removes the entry although the lease is still renewed, so that no call of the node
/// fails. If the node did not notice, callers would never be advised to use it.
#[test]
fn a_node_whose_entry_was_deleted_announces_itself_again() {
    run(async {
        let fixture = fixture().await;
        announcer(&fixture).start();
        pause(700).await;

        fixture.store.delete("n/me");
        pause(3_000).await;

        assert!(fixture.store.items.borrow().contains_key("n/me"));
    });
}

/// Returns how many requests this node has sent to the replica known under a name, which shows
/// whether its statistics were kept.
fn sent_requests(fixture: &Fixture, id: &str) -> Option<u64> {
    let replica = fixture.tier.router.directory.find(&ReplicaId::from(id))?;
    Some(replica.observed.requests_sent())
}

/// A replica restarts under its name and address. The statistics of its earlier incarnation do
/// not apply, and the connections to it are dead: the next request would be lost on one of
/// them. A late write of the earlier incarnation must change nothing.
#[test]
fn a_replica_restarted_under_the_same_name_is_a_new_incarnation() {
    run(async {
        let fixture = fixture().await;
        fixture.store.put("r/one", b"127.0.0.1:1@100");
        pause(60).await;
        let first = fixture.tier.router.directory.find(&ReplicaId::from("one")).unwrap();
        first.observed.note_sent(std::time::Instant::now());

        fixture.store.put("r/one", b"127.0.0.1:1@200");
        pause(60).await;
        let again = sent_requests(&fixture, "one");
        fixture.store.put("r/one", b"127.0.0.1:9@100");
        pause(60).await;
        let late = fixture.tier.router.directory.find(&ReplicaId::from("one")).unwrap();

        assert!(first.is_gone());
        assert_eq!(again, Some(0));
        assert_eq!(late.spec().born, Some(200));
        assert_eq!(late.spec().address, "127.0.0.1:1".parse().unwrap());
    });
}

/// Another writer overwrites the entry of a replica with unreadable bytes. Callers must no
/// longer be sent to it. The other replicas stay in use, and this one is back once it has
/// written its entry again.
#[test]
fn an_entry_overwritten_by_another_writer_removes_its_replica() {
    run(async {
        let fixture = fixture().await;

        fixture.store.put("r/one", b"\xff\xfe");
        fixture.store.put("r/foreign", b"not an address");
        pause(60).await;
        let sent = (
            sent_requests(&fixture, "one"),
            sent_requests(&fixture, "two"),
            sent_requests(&fixture, "foreign"),
        );
        fixture.store.put("r/one", b"127.0.0.1:1");
        pause(60).await;

        assert_eq!(sent, (None, Some(0), None));
        assert_eq!(sent_requests(&fixture, "one"), Some(0));
    });
}

/// While the store is unavailable, a replica restarts under its name, and another writer
/// overwrites the entry of a second one. When the store is back, expired entries are retained
/// for a while, but these two replicas must be known by their new entries.
#[test]
fn restarts_and_foreign_writes_during_an_outage_are_detected_after_it() {
    run(async {
        let fixture = fixture().await;
        fixture.store.put("r/three", b"127.0.0.1:3");
        fixture.store.put("r/one", b"127.0.0.1:1@100");
        pause(60).await;
        let first = fixture.tier.router.directory.find(&ReplicaId::from("one")).unwrap();

        fixture.store.unavailable.set(true);
        pause(100).await;
        fixture.store.put("r/one", b"127.0.0.1:1@200");
        fixture.store.put("r/two", b"{}");
        fixture.store.delete("r/three");
        let during = (first.is_gone(), sent_requests(&fixture, "two"));
        fixture.store.unavailable.set(false);
        pause(200).await;

        assert_eq!(during, (false, Some(0)));
        assert!(first.is_gone());
        assert_eq!(sent_requests(&fixture, "one"), Some(0));
        assert_eq!(sent_requests(&fixture, "two"), None);
        assert_eq!(sent_requests(&fixture, "three"), Some(0), "its entry may return");
    });
}
