//! Following a node that watches the store, in place of the store.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::{rc::Rc, time::Duration};

use common::*;
use fake::FakeStore;
use kumquatnotch_core::{
    Store,
    ids::NodeName,
    store::{StoreChanges, StoreEvent, StoreItem, StoreScan},
};
use kumquatnotch_route::{journal::Passage, mirror::Mirror, probe};
use schema::{TestSchema, options};

/// A node with a mirror and a store of its own view.
struct Node {
    tier: Tier,
    store: Rc<FakeStore>,
}

/// Six nodes of one data centre, of which `r1` and `r2`, the largest, watch the
/// store, and `z` follows them. Each has its own way to the store.
fn nodes() -> (Node, Node, Node) {
    let node = |name| {
        let (tier, store) = (Tier::named(name, 100.0, "home"), Rc::new(FakeStore::default()));
        Node { tier, store }
    };
    let (r1, r2, z) = (node("r1"), node("r2"), node("z"));
    for store in [&r1.store, &r2.store, &z.store] {
        store.put("c", b"3");
        store.put("r/one", b"127.0.0.1:1");
        store.put("n/r1", &node_entry(r1.tier.peer.address(), 2.0));
        store.put("n/r2", &node_entry(r2.tier.peer.address(), 2.0));
        for name in ["u", "v", "w"] {
            store.put(&format!("n/{name}"), &node_entry(refusing_address(), 1.0));
        }
        store.put("n/z", &node_entry(z.tier.peer.address(), 1.0));
    }
    for node in [&r1, &r2, &z] {
        let store: Rc<dyn Store> = node.store.clone();
        Mirror::new(options(), node.tier.router.clone(), store, Rc::new(TestSchema)).start();
    }
    (r1, r2, z)
}

impl Node {
    fn version(&self) -> u64 {
        self.tier.router.table().map_or(0, |table| table.version())
    }
}

#[test]
fn a_node_follows_one_that_watches_the_store_and_asks_the_store_no_more() {
    run(async {
        let (r1, r2, z) = nodes();
        // The time in which vanished entries are kept after the start must be over.
        pause(800).await;
        let calls = z.store.calls.get();

        for reader in [&r1, &r2] {
            reader.store.put("c", b"9");
            reader.store.put("r/two", b"127.0.0.1:2");
            reader.store.delete("r/one");
        }
        pause(400).await;

        assert_eq!((z.version(), z.tier.router.directory.len()), (9, 1));
        assert_eq!(z.store.calls.get(), calls);
    });
}

/// One of the two nodes that watch is turned away by the store. The follower must notice
/// and go elsewhere, and the one that is turned away hears of the change from the other.
#[test]
fn a_node_that_lost_the_store_is_not_followed_for_long() {
    run(async {
        let (r1, r2, z) = nodes();
        pause(300).await;

        r1.store.away.set(true);
        pause(2_700).await;
        r2.store.put("c", b"9");
        pause(2_500).await;

        assert_eq!((r1.version(), r2.version(), z.version()), (9, 9, 9));
    });
}

/// Both nodes that watch are gone. The follower asks the store itself.
#[test]
fn without_a_node_to_follow_the_store_is_asked() {
    run(async {
        let (r1, r2, z) = nodes();
        pause(300).await;

        for reader in [&r1, &r2] {
            reader.tier.peer.close(std::time::Instant::now() + Duration::from_secs(2)).await;
        }
        z.store.put("c", b"9");
        pause(3_000).await;

        assert_eq!(z.version(), 9);
    });
}

/// A node starts anew while the store is away, and knows no other. One that knew its
/// earlier life asks whether it is back. It learns from that one, serves by what it
/// knows, and goes on following it.
#[test]
fn a_node_that_starts_without_the_store_learns_from_one_that_asks() {
    run(async {
        let (r1, _, _) = nodes();
        let (tier, store) = (Tier::named("new", 100.0, "home"), Rc::new(FakeStore::default()));
        r1.store.put("n/new", &node_entry(tier.peer.address(), 1.0));
        pause(300).await;
        store.away.set(true);
        let dyn_store: Rc<dyn Store> = store.clone();
        Mirror::new(options(), tier.router.clone(), dyn_store, Rc::new(TestSchema)).start();
        pause(200).await;
        let alone = tier.router.is_ready();

        let new = r1.tier.router.fleet.peer(&NodeName::from("new")).unwrap();
        probe::suspect(&r1.tier.router, &new, "no connection");
        pause(700).await;
        let early = tier.router.table().map(|table| table.version());
        let ready = tier.router.is_ready();
        r1.store.put("c", b"9");
        pause(1_500).await;

        assert_eq!((alone, ready, early), (false, true, Some(3)));
        assert_eq!(tier.router.table().unwrap().version(), 9);
    });
}

/// What a node knows of the store, up to a revision.
fn scan(revision: u64) -> StoreScan {
    let items = (1..=revision).map(item);
    StoreScan { items: items.collect(), revision }
}

fn item(revision: u64) -> StoreItem {
    StoreItem { key: format!("k{revision}"), value: Vec::new(), revision }
}

/// A node reads everything anew from another one, which knows less than it did itself. Those
/// that follow it would be told that there is nothing between, and never hear of the changes
/// that it learns again then: a configuration would be in force nowhere behind it.
#[test]
fn a_node_that_knows_less_than_before_tells_all_that_comes_after() {
    run(async {
        let tier = Tier::new();
        let (journal, now) = (&tier.router.journal, std::time::Instant::now());
        journal.reset(&scan(9), now);

        journal.reset(&scan(5), now);
        let first = journal.after(7, Duration::ZERO).await;
        let events = (6..=9).map(|revision| StoreEvent::Written(item(revision)));
        journal.extend(&StoreChanges { events: events.collect(), revision: 9 }, now);
        let second = journal.after(7, Duration::ZERO).await;

        let Passage::Changes(first) = first else { panic!("everything is told") };
        assert!(first.revision <= 7, "nothing is known of what follows 7: {first:?}");
        let Passage::Changes(second) = second else { panic!("everything is told") };
        let told: Vec<u64> = second.events.iter().map(StoreEvent::revision).collect();
        assert_eq!((told, second.revision), (vec![8, 9], 9));
    });
}

/// The store has dropped its history, and another node offers everything that it knows, which
/// is older than what this one has heard. A replica that drains would be used again.
#[test]
fn what_another_node_knows_does_not_replace_what_is_newer() {
    run(async {
        let tier = Tier::new();
        let journal = &tier.router.journal;
        let offered = |revision| journal.is_ahead_of(&Passage::Whole(scan(revision)));
        let unknown = offered(5);

        journal.reset(&scan(9), std::time::Instant::now());
        let changes = StoreChanges { events: Vec::new(), revision: 5 };

        assert_eq!((unknown, offered(8), offered(9), offered(12)), (false, true, false, false));
        assert!(!journal.is_ahead_of(&Passage::Changes(changes)), "they take nothing away");
    });
}
