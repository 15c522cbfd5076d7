//! Nodes whose store is restored from an older copy.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::{rc::Rc, time::Duration};

use common::*;
use fake::FakeStore;
use kumquatnotch_core::{Store, ids::NodeName, store::StoreScan};
use kumquatnotch_route::{
    announce::Announcer,
    journal::StoreUpdate,
    mirror::{Mirror, MirrorOptions},
    names::ReplicaId,
    replica,
};
use schema::{TestSchema, options};

struct Node {
    tier: Tier,
    store: Rc<FakeStore>,
    mirror: Rc<Mirror>,
}

impl Node {
    fn start(name: &str, store: &Rc<FakeStore>, options: MirrorOptions) -> Node {
        let tier = Tier::named(name, 100.0, "home");
        let dyn_store: Rc<dyn Store> = store.clone();
        let mirror = Mirror::new(options, tier.router.clone(), dyn_store, Rc::new(TestSchema));
        mirror.start();
        Node { tier, store: store.clone(), mirror }
    }

    fn version(&self) -> u64 {
        self.tier.router.table().map_or(0, |table| table.version())
    }

    /// Returns the replica of service `s0` that the next request would be sent to.
    fn next_replica(&self) -> Option<String> {
        let router = &self.tier.router;
        let replicas = router.directory.of(&service("s0"));
        let pick = replica::pick(&replicas, &[], router.profile(&single()), router.clock.now())?;
        Some(pick.replica.id.as_str().to_owned())
    }

    fn announce(&self) {
        let key = "n/me".to_owned();
        let store: Rc<dyn Store> = self.store.clone();
        let record = node_entry(refusing_address(), 1.0);
        let (router, mirror) = (self.tier.router.clone(), self.mirror.clone());
        Announcer::new(router, store, mirror, NodeName::from("me"), key, record).start();
    }

    /// Whether nothing speaks against a replica; `None` if it is unknown.
    fn is_preferred(&self, id: &str) -> Option<bool> {
        let router = &self.tier.router;
        let replica = router.directory.find(&ReplicaId::from(id))?;
        Some(replica.rate(router.profile(&single()), router.clock.now()).is_healthy())
    }
}

/// A node that watches a store with a configuration and the replicas `s0.a` and `s0.b`.
async fn node() -> Node {
    let store = Rc::new(FakeStore::default());
    store.put("c", b"3");
    store.put("r/s0.a", b"127.0.0.1:1#4");
    store.put("r/s0.b", b"127.0.0.1:2#4");
    let node = Node::start("me", &store, options());
    // Until vanished entries are no longer retained after the start.
    pause(800).await;
    node
}

/// Guards against requests to a replica seconds after it has reported that it drains. The copy is
/// older than that report, and the replica has not written it again yet.
#[test]
fn draining_replica_stays_unused_after_restore() {
    run(async {
        let node = node().await;
        let copy = node.store.items.borrow().clone();
        node.store.put("r/s0.a", b"127.0.0.1:1!#5");
        pause(100).await;

        node.store.restore(&copy);
        pause(400).await;
        let while_older = node.next_replica();
        node.store.put("r/s0.a", b"127.0.0.1:1#6");
        node.store.put("r/s0.b", b"127.0.0.1:2!#5");
        pause(200).await;

        assert_eq!(while_older.as_deref(), Some("s0.b"));
        assert_eq!(node.next_replica().as_deref(), Some("s0.a"), "after it has written again");
    });
}

/// Guards against requests to a replica that has left, and whose address may belong to another
/// process. The copy still has its entry, which nobody writes again.
#[test]
fn replica_that_left_is_used_last_after_restore() {
    run(async {
        let node = node().await;
        let copy = node.store.items.borrow().clone();
        node.store.delete("r/s0.a");
        pause(100).await;

        node.store.restore(&copy);
        pause(400).await;
        let while_silent = ["s0.a", "s0.b"].map(|id| node.is_preferred(id));
        node.store.put("r/s0.a", b"127.0.0.1:1#5");
        pause(100).await;

        assert_eq!(while_silent, [Some(false), Some(true)]);
        assert_eq!(node.is_preferred("s0.a"), Some(true), "after it has written again");
    });
}

/// Guards against the loss of replicas and nodes that the copy does not have, although they run.
/// They write their entries again within two seconds.
#[test]
fn entries_missing_in_the_copy_are_used_until_they_are_written_again() {
    run(async {
        let store = Rc::new(FakeStore::default());
        store.put("c", b"3");
        let node = Node::start("me", &store, MirrorOptions::default());
        pause(100).await;
        let copy = store.items.borrow().clone();
        store.put("r/s0.a", b"127.0.0.1:1#4");
        store.put("n/other", &node_entry(refusing_address(), 1.0));
        pause(600).await;

        store.restore(&copy);
        let mut lost = 0;
        for _ in 0..20 {
            pause(100).await;
            let router = &node.tier.router;
            let is_known = router.fleet.knows(&NodeName::from("other"));
            lost += u32::from(node.next_replica().is_none() || !is_known);
        }
        store.put("r/s0.a", b"127.0.0.1:1#4");
        store.put("n/other", &node_entry(refusing_address(), 1.0));
        pause(3_500).await;

        assert_eq!(lost, 0, "checks at which an entry was lost");
        assert_eq!(node.next_replica().as_deref(), Some("s0.a"));
        assert!(node.tier.router.fleet.knows(&NodeName::from("other")));
    });
}

/// Guards against a node that starts after a restore and serves by an older configuration than
/// the nodes that it loads its state from.
#[test]
fn node_passes_on_the_configuration_that_the_copy_lacks() {
    run(async {
        let node = node().await;
        let copy = node.store.items.borrow().clone();
        node.store.put("c", b"9");
        pause(100).await;

        node.store.restore(&copy);
        pause(400).await;
        let journal = &node.tier.router.journal;
        let update = journal.updates_after(0, Duration::ZERO).await;

        let StoreUpdate::Full(StoreScan { items, .. }) = update else {
            panic!("expected the full state");
        };
        let config = items.iter().find(|item| item.key == "c").map(|item| item.value.clone());
        assert_eq!((config, node.version()), (Some(b"9".to_vec()), 9));
    });
}

/// Guards against a follower of an earlier release that keeps its revision and skips changes. It
/// knows no eras, so that its revision is below all those of after a restore.
#[test]
fn follower_that_knows_no_eras_gets_the_full_state() {
    run(async {
        let node = node().await;
        let journal = &node.tier.router.journal;
        let known = journal.revision() + 3;
        let copy = node.store.items.borrow().clone();

        node.store.restore(&copy);
        pause(400).await;
        let update = journal.updates_after(known, Duration::ZERO).await;

        assert!(matches!(&update, StoreUpdate::Full(scan) if scan.revision > known), "{update:?}");
    });
}

/// Guards against seconds of a link that is taken by full states for dozens of followers. They know
/// the state before the restore, and few entries differ.
#[test]
fn followers_get_the_differences_of_a_restore() {
    run(async {
        let node = node().await;
        let copy = node.store.items.borrow().clone();
        let journal = &node.tier.router.journal;
        let earlier = journal.revision();
        node.store.put("r/s0.c", b"127.0.0.1:3#1");
        node.store.put("r/s0.a", b"127.0.0.1:1!#5");
        pause(100).await;

        node.store.restore(&copy);
        pause(400).await;
        node.store.put("c", b"9");
        pause(100).await;
        let update = journal.updates_after(earlier, Duration::ZERO).await;

        let StoreUpdate::Changes(changes) = update else { panic!("{update:?}") };
        let keys: Vec<&str> = changes.events.iter().map(|event| event.key()).collect();
        assert_eq!(keys, ["r/s0.c", "r/s0.a", "r/s0.c", "c"], "written, and gone with the restore");
        assert_eq!(changes.revision, journal.revision());
    });
}

/// Guards against a node that is never told of a change again, because it follows one that knows
/// less and whose answers count as confirmation.
#[test]
fn follower_leaves_a_node_with_an_earlier_revision() {
    run(async {
        let stores: Vec<Rc<FakeStore>> = (0..3).map(|_| Rc::default()).collect();
        let nodes: Vec<Node> = ["r1", "r2", "z"]
            .iter()
            .zip(&stores)
            .map(|(name, store)| Node::start(name, store, options()))
            .collect();
        for store in &stores {
            store.put("c", b"3");
            for (node, capacity) in nodes.iter().zip([2.0, 2.0, 1.0]) {
                let name = node.tier.router.local_node.name.as_str();
                let record = node_entry(node.tier.peer.address(), capacity);
                store.put(&format!("n/{name}"), &record);
            }
            for name in ["u", "v", "w"] {
                store.put(&format!("n/{name}"), &node_entry(refusing_address(), 1.0));
            }
        }
        pause(600).await;

        // The nodes that it follows lose the store, and come back with what they knew before.
        let readers = &stores[..2];
        readers.iter().for_each(|store| store.unavailable.set(true));
        pause(3_500).await;
        stores[2].put("c", b"8");
        pause(3_500).await;
        let meanwhile = nodes[2].version();
        readers.iter().for_each(|store| store.unavailable.set(false));
        pause(3_000).await;
        stores[2].put("c", b"9");
        pause(3_000).await;

        assert_eq!((meanwhile, nodes[2].version()), (8, 9));
    });
}

/// Guards against a node that stays unknown to the others after a restore has ended its lease and
/// removed its entry.
#[test]
fn node_announces_itself_again_after_restore() {
    run(async {
        let node = node().await;
        let copy = node.store.items.borrow().clone();
        node.announce();
        pause(300).await;
        let announced = node.store.items.borrow().contains_key("n/me");

        node.store.restore(&copy);
        pause(2_000).await;

        assert!(announced && node.store.items.borrow().contains_key("n/me"));
        assert!(node.tier.router.directory.find(&ReplicaId::from("s0.a")).is_some());
    });
}

/// Guards against seconds without changes after a restore, because the store leaves the watch in
/// progress waiting. A renewal of the lease shows the restore meanwhile.
#[test]
fn watch_in_progress_ends_when_a_renewal_shows_the_restore() {
    run(async {
        let store = Rc::new(FakeStore::default());
        store.put("c", b"3");
        let node = Node::start("me", &store, MirrorOptions::default());
        node.announce();
        // The watch in progress lasts from 0.3 to 2.8 s, and renewals come each 0.9 s.
        pause(1_000).await;
        let copy = store.items.borrow().clone();
        let scans = store.scans.get();

        store.hides_changes.set(true);
        store.restore(&copy);
        store.compacted.set(0);
        pause(1_200).await;

        assert_eq!(store.scans.get() - scans, 1);
    });
}
