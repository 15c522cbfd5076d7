//! How a node that knows nothing learns what the store holds.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::{rc::Rc, time::Instant};

use common::*;
use fake::FakeStore;
use kumquatnotch_core::Store;
use kumquatnotch_route::mirror::Mirror;
use schema::{TestSchema, options};

/// A store with a configuration and two replicas.
fn store() -> Rc<FakeStore> {
    let store = Rc::new(FakeStore::default());
    store.put("c", b"3");
    store.put("r/one", b"127.0.0.1:1");
    store.put("r/two", b"127.0.0.1:2");
    store
}

fn start(tier: &Tier, store: &Rc<FakeStore>) -> Rc<Mirror> {
    let dyn_store: Rc<dyn Store> = store.clone();
    let mirror = Mirror::new(options(), tier.router.clone(), dyn_store, Rc::new(TestSchema));
    mirror.start();
    mirror
}

async fn ready(tier: &Tier) {
    while !tier.router.is_ready() {
        pause(5).await;
    }
}

/// Callers are refused by a node that starts while the store takes calls and answers
/// none. The first call is lost for good. When the store is back, the node must not
/// wait for the end of that call: it asks again every few hundred milliseconds.
#[test]
fn a_node_whose_first_call_was_lost_serves_soon_after_the_store_is_back() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        store.silent.set(true);
        start(&tier, &store);
        pause(1_000).await;
        let asked = store.calls.get();

        store.silent.set(false);
        let back = Instant::now();
        ready(&tier).await;

        assert!(back.elapsed().as_millis() < 700, "after {:?}", back.elapsed());
        assert!((2..=8).contains(&asked), "{asked} calls in a second");
    });
}

/// A snapshot may be some seconds old. A replica that has left since must not be used,
/// one that came must be, and a configuration that was replaced never comes into force.
#[test]
fn what_changed_since_a_lagging_snapshot_is_known_before_the_first_request() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        *store.lagging.borrow_mut() = Some(store.everything());
        store.delete("r/one");
        store.put("r/three", b"127.0.0.1:3");
        store.put("c", b"9");

        start(&tier, &store);
        ready(&tier).await;

        let mut known: Vec<String> = Vec::new();
        known.extend(tier.router.directory.all().iter().map(|one| one.id.as_str().to_owned()));
        known.sort();
        assert_eq!(known, ["three", "two"]);
        assert_eq!(tier.router.table().unwrap().version(), 9);
        assert_eq!(store.scans.get(), 0, "no full scan");
    });
}

/// Pages of a snapshot differ in age: what is newer in it than a change must stay.
#[test]
fn a_change_that_is_older_than_the_item_of_a_snapshot_is_passed_over() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        let early = store.revision.get();
        store.delete("r/one");
        store.put("r/one", b"127.0.0.1:7");
        let mut mixed = store.everything();
        mixed.revision = early;
        *store.lagging.borrow_mut() = Some(mixed);

        start(&tier, &store);
        ready(&tier).await;

        let all = tier.router.directory.all();
        let one = all.iter().find(|replica| replica.id.as_str() == "one").unwrap();
        assert_eq!(one.spec().address.port(), 7);
    });
}

#[test]
fn a_snapshot_from_before_the_history_is_read_anew() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        *store.lagging.borrow_mut() = Some(store.everything());
        store.delete("r/one");
        store.forget();

        start(&tier, &store);
        ready(&tier).await;

        assert_eq!((tier.router.directory.len(), store.scans.get()), (1, 1));
    });
}

/// The nodes that the store names have lost power together with this one, and hang. Callers
/// are sent to this one, so it waits for none of them and reads the store.
#[test]
fn a_node_that_callers_use_waits_for_no_other() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        let silent = scripted_replica(|_| vec![standins::scripted::Step::Silence]);
        store.put("n/r1", &node_entry(silent.address, 1.0));
        let began = Instant::now();

        start(&tier, &store);
        ready(&tier).await;

        assert!(began.elapsed().as_millis() < 200, "after {:?}", began.elapsed());
    });
}

/// The same where six nodes come before this one in reading the store: it asks them first,
/// for a part of a second. All of them hang, and one of them alone took two seconds of it:
/// the time was looked at only between two questions.
#[test]
fn a_node_that_asks_others_first_waits_for_none_of_them_for_long() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        let silent = scripted_replica(|_| vec![standins::scripted::Step::Silence]);
        for number in 0..6 {
            store.put(&format!("n/a{number}"), &node_entry(silent.address, 1.0));
        }
        let began = Instant::now();

        start(&tier, &store);
        ready(&tier).await;

        // It asks others for 0.6 s at most.
        assert!(began.elapsed().as_millis() < 1_000, "after {:?}", began.elapsed());
    });
}

/// Hundreds of nodes lose power at once. If all of them read a thousand entries from the
/// store, they would share its link and be ready after seconds. A small node asks a larger
/// one, which may not have read anything yet itself, and leaves the store alone.
#[test]
fn a_small_node_reads_nothing_that_a_larger_one_can_tell() {
    run(async {
        let (large, tier, store) = (Tier::named("r1", 100.0, "home"), Tier::new(), store());
        store.put("n/r1", &node_entry(large.peer.address(), 8.0));
        store.put("n/r2", &node_entry(refusing_address(), 8.0));
        let own = Rc::new(FakeStore::default());
        for item in store.everything().items {
            own.put(&item.key, &item.value);
        }

        start(&tier, &store);
        pause(150).await;
        start(&large, &own);
        ready(&tier).await;

        assert_eq!(tier.router.directory.len(), 2);
        assert_eq!(store.calls.get(), 1, "it asked who the nodes are, and no more");
    });
}

/// Many ask one node for everything while callers wait for its answers. It tells one after
/// the other, and those that it turns away ask again.
#[test]
fn a_node_tells_everything_to_one_after_the_other() {
    run(async {
        let (large, store) = (Tier::named("r1", 100.0, "home"), store());
        for number in 0..500 {
            store.put(&format!("r/{number}"), b"127.0.0.1:7");
        }
        start(&large, &store);
        ready(&large).await;

        let first = large.router.journal.may_tell_whole();
        let second = large.router.journal.may_tell_whole();
        pause(60).await;
        let later = large.router.journal.may_tell_whole();

        assert_eq!((first, second, later), (true, false, true));
    });
}
