//! Following a node that watches the store, instead of watching the store itself.

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
use kumquatnotch_route::{journal::StoreUpdate, mirror::Mirror, probe};
use schema::{TestSchema, options};

/// A node with a mirror, and a store of its own.
struct Node {
    tier: Tier,
    store: Rc<FakeStore>,
}

/// Six nodes of one data centre. `r1` and `r2`, the largest, watch the store, and `z` follows
/// them. Each has a store of its own, so that they can see different states of it.
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
fn a_follower_receives_changes_without_calling_the_store() {
    run(async {
        let (r1, r2, z) = nodes();
        // Wait until vanished entries are no longer retained after the start.
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

/// The store rejects one of the two nodes that watch it. The follower must notice that and
/// switch to the other node, and the rejected one receives the change from there as well.
#[test]
fn followers_leave_a_node_that_lost_the_store() {
    run(async {
        let (r1, r2, z) = nodes();
        pause(300).await;

        r1.store.unavailable.set(true);
        pause(2_700).await;
        r2.store.put("c", b"9");
        pause(2_500).await;

        assert_eq!((r1.version(), r2.version(), z.version()), (9, 9, 9));
    });
}

/// Both nodes that watch the store are gone. The follower must call the store itself.
#[test]
fn a_follower_without_readers_falls_back_to_the_store() {
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

/// A node restarts while the store is unavailable, and knows no other node. A node that knew
/// its previous incarnation probes it. The restarted node must load the state of that one,
/// serve by it, and continue to follow it.
#[test]
fn a_node_that_starts_during_an_outage_syncs_from_an_inbound_peer() {
    run(async {
        let (r1, _, _) = nodes();
        let (tier, store) = (Tier::named("new", 100.0, "home"), Rc::new(FakeStore::default()));
        r1.store.put("n/new", &node_entry(tier.peer.address(), 1.0));
        pause(300).await;
        store.unavailable.set(true);
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

/// The state of the store up to a revision.
fn scan(revision: u64) -> StoreScan {
    let items = (1..=revision).map(item);
    StoreScan { items: items.collect(), revision }
}

fn item(revision: u64) -> StoreItem {
    StoreItem { key: format!("k{revision}"), value: Vec::new(), revision }
}

/// A node reloads the full state from another node that is behind its own previous state. If it
/// kept the higher revision, its followers would be told that there are no changes in between,
/// and would never receive those that the node learns again: a new configuration would not come
/// into force on them.
#[test]
fn followers_miss_no_changes_after_a_reset_to_an_older_revision() {
    run(async {
        let tier = Tier::new();
        let (journal, now) = (&tier.router.journal, std::time::Instant::now());
        journal.reset(&scan(9), now);

        journal.reset(&scan(5), now);
        let first = journal.updates_after(7, Duration::ZERO).await;
        let events = (6..=9).map(|revision| StoreEvent::Written(item(revision)));
        journal.extend(&StoreChanges { events: events.collect(), revision: 9 }, now);
        let second = journal.updates_after(7, Duration::ZERO).await;

        let StoreUpdate::Changes(first) = first else { panic!("unexpected full state") };
        assert!(first.revision <= 7, "no change after revision 7 is known yet: {first:?}");
        let StoreUpdate::Changes(second) = second else { panic!("unexpected full state") };
        let revisions: Vec<u64> = second.events.iter().map(StoreEvent::revision).collect();
        assert_eq!((revisions, second.revision), (vec![8, 9], 9));
    });
}

/// The store has dropped its history, and another node offers a full state that is older than
/// the known one. If it were applied, a draining replica would be used again.
#[test]
fn an_older_full_state_does_not_replace_a_newer_one() {
    run(async {
        let tier = Tier::new();
        let journal = &tier.router.journal;
        let offered = |revision| journal.is_ahead_of(&StoreUpdate::Full(scan(revision)));
        let unknown = offered(5);

        journal.reset(&scan(9), std::time::Instant::now());
        let changes = StoreChanges { events: Vec::new(), revision: 5 };

        assert_eq!((unknown, offered(8), offered(9), offered(12)), (false, true, false, false));
        // They remove no known state, but whoever sends them knows less, and confirms nothing.
        assert!(journal.is_ahead_of(&StoreUpdate::Changes(changes)));
    });
}
