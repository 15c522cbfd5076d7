//! Initial load of the store's state by a node without any state.

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

async fn until_ready(tier: &Tier) {
    while !tier.router.is_ready() {
        pause(5).await;
    }
}

/// A node starts while the store accepts calls and answers none, and refuses its callers. Its
/// first call is never answered. Once the store is back, the node must not wait for that call
/// to time out: it calls again every few hundred milliseconds.
#[test]
fn a_node_whose_first_call_was_lost_serves_soon_after_the_store_is_back() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        store.unresponsive.set(true);
        start(&tier, &store);
        pause(1_000).await;
        let calls = store.calls.get();

        store.unresponsive.set(false);
        let back = Instant::now();
        until_ready(&tier).await;

        assert!(back.elapsed().as_millis() < 700, "after {:?}", back.elapsed());
        assert!((2..=8).contains(&calls), "{calls} calls in a second");
    });
}

/// A snapshot may be some seconds old. A replica that has left since must not be used, a new
/// one must be, and a configuration that was replaced must never come into force.
#[test]
fn changes_since_a_stale_snapshot_are_applied_before_the_first_request() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        *store.stale_snapshot.borrow_mut() = Some(store.current_state());
        store.delete("r/one");
        store.put("r/three", b"127.0.0.1:3");
        store.put("c", b"9");

        start(&tier, &store);
        until_ready(&tier).await;

        let mut known: Vec<String> = Vec::new();
        known.extend(tier.router.directory.all().iter().map(|one| one.id.as_str().to_owned()));
        known.sort();
        assert_eq!(known, ["three", "two"]);
        assert_eq!(tier.router.table().unwrap().version(), 9);
        assert_eq!(store.scans.get(), 0, "no full scan");
    });
}

/// The pages of a snapshot differ in age: an item newer than a change must not be
/// overwritten by it.
#[test]
fn a_change_older_than_the_snapshot_item_is_ignored() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        let early = store.revision.get();
        store.delete("r/one");
        store.put("r/one", b"127.0.0.1:7");
        let mut mixed = store.current_state();
        mixed.revision = early;
        *store.stale_snapshot.borrow_mut() = Some(mixed);

        start(&tier, &store);
        until_ready(&tier).await;

        let all = tier.router.directory.all();
        let one = all.iter().find(|replica| replica.id.as_str() == "one").unwrap();
        assert_eq!(one.spec().address.port(), 7);
    });
}

#[test]
fn a_snapshot_older_than_the_history_is_replaced_by_a_full_scan() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        *store.stale_snapshot.borrow_mut() = Some(store.current_state());
        store.delete("r/one");
        store.compact();

        start(&tier, &store);
        until_ready(&tier).await;

        assert_eq!((tier.router.directory.len(), store.scans.get()), (1, 1));
    });
}

/// The nodes that the store lists lost power together with this one, and hang. Callers are sent
/// to this node, so it does not wait for any of them and reads the store.
#[test]
fn a_serving_node_does_not_wait_for_unresponsive_peers() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        let unresponsive = scripted_replica(|_| vec![standins::scripted::Step::Silence]);
        store.put("n/r1", &node_entry(unresponsive.address, 1.0));
        let began = Instant::now();

        start(&tier, &store);
        until_ready(&tier).await;

        assert!(began.elapsed().as_millis() < 200, "after {:?}", began.elapsed());
    });
}

/// Six nodes precede this one in reading the store, so it asks them first, for a fraction of a
/// second. All of them hang. The node must not wait for one of them until its request times
/// out, which takes two seconds if the deadline is only checked between two requests.
#[test]
fn unresponsive_peers_delay_the_initial_sync_only_briefly() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        let unresponsive = scripted_replica(|_| vec![standins::scripted::Step::Silence]);
        for number in 0..6 {
            store.put(&format!("n/a{number}"), &node_entry(unresponsive.address, 1.0));
        }
        let began = Instant::now();

        start(&tier, &store);
        until_ready(&tier).await;

        // Other nodes are asked for 0.6 s at most.
        assert!(began.elapsed().as_millis() < 1_000, "after {:?}", began.elapsed());
    });
}

/// Hundreds of nodes lose power at once. If all of them read a thousand entries from the store,
/// they would share its link and be ready only after seconds. A small node loads the state from
/// a larger one instead, even if that one has not loaded it yet itself.
#[test]
fn a_small_node_syncs_from_a_larger_one_instead_of_the_store() {
    run(async {
        let (large, tier, store) = (Tier::named("r1", 100.0, "home"), Tier::new(), store());
        store.put("n/r1", &node_entry(large.peer.address(), 8.0));
        store.put("n/r2", &node_entry(refusing_address(), 8.0));
        let own = Rc::new(FakeStore::default());
        for item in store.current_state().items {
            own.put(&item.key, &item.value);
        }

        start(&tier, &store);
        pause(150).await;
        start(&large, &own);
        until_ready(&tier).await;

        assert_eq!(tier.router.directory.len(), 2);
        assert_eq!(store.calls.get(), 1, "only the list of nodes is read from the store");
    });
}

/// Many nodes request the full state from one node while callers wait for its answers. It
/// serves one request after the other, and the refused nodes try again.
#[test]
fn full_transfers_are_served_one_at_a_time() {
    run(async {
        let (large, store) = (Tier::named("r1", 100.0, "home"), store());
        for number in 0..500 {
            store.put(&format!("r/{number}"), b"127.0.0.1:7");
        }
        start(&large, &store);
        until_ready(&large).await;

        let first = large.router.journal.admit_full_transfer();
        let second = large.router.journal.admit_full_transfer();
        pause(60).await;
        let later = large.router.journal.admit_full_transfer();

        assert_eq!((first, second, later), (true, false, true));
    });
}
