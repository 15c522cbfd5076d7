//! Followers, while the store rejects the nodes that they follow.

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
use kumquatnotch_route::mirror::Mirror;
use schema::{TestSchema, options};

/// Time within which a change that the store has confirmed must be in force on a node that the
/// store accepts: the shortest that operators ask for.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

/// A node with a mirror, and a store of its own.
struct Node {
    tier: Tier,
    store: Rc<FakeStore>,
}

impl Node {
    fn start(name: &str, centre: &str) -> Node {
        Node { tier: Tier::named(name, 100.0, centre), store: Rc::default() }
    }

    fn version(&self) -> u64 {
        self.tier.router.table().map_or(0, |table| table.version())
    }

    /// Returns the time until `version` is in force, at most `limit`.
    async fn time_until(&self, version: u64, limit: Duration) -> Duration {
        let start = Instant::now();
        while self.version() < version && start.elapsed() < limit {
            pause(10).await;
        }
        start.elapsed()
    }
}

/// Two readers in each of two data centres, and a small node in the first one that follows
/// them. Each has a store of its own.
struct Fleet {
    readers: Vec<Node>,
    small: Node,
}

impl Fleet {
    async fn start() -> Fleet {
        let places = [("r1", "home"), ("r2", "home"), ("r3", "away"), ("r4", "away")];
        let readers: Vec<Node> =
            places.iter().map(|(name, centre)| Node::start(name, centre)).collect();
        let small = Node::start("z", "home");
        for node in readers.iter().chain([&small]) {
            node.store.put("c", b"3");
            node.store.put("r/one", b"127.0.0.1:1");
            for (reader, (name, centre)) in readers.iter().zip(places) {
                let peer = reader.tier.peer.address();
                node.store.put(&format!("n/{name}"), &node_entry_in(centre, peer, 2.0));
            }
            for name in ["u", "v", "w"] {
                node.store.put(&format!("n/{name}"), &node_entry(refusing_address(), 1.0));
            }
            node.store.put("n/z", &node_entry(small.tier.peer.address(), 1.0));
        }
        for node in readers.iter().chain([&small]) {
            let store: Rc<dyn Store> = node.store.clone();
            Mirror::new(options(), node.tier.router.clone(), store, Rc::new(TestSchema)).start();
        }
        pause(300).await;
        Fleet { readers, small }
    }
}

/// The store rejects all readers, and accepts the other nodes. Each reader still answers with its
/// old state, and may report the age of that state only at the end of a long wait. If the node
/// waited for each of the four readers, 1.5 s each, before it asked any other source, its callers
/// would get answers by a configuration that was replaced seven seconds before.
#[test]
fn a_change_takes_effect_in_time_while_the_store_rejects_all_readers() {
    run(async {
        let fleet = Fleet::start().await;
        fleet.readers.iter().for_each(|reader| reader.store.unavailable.set(true));
        fleet.small.store.put("c", b"9");

        let took = fleet.small.time_until(9, 3 * IN_FORCE_LIMIT).await;

        assert!(took <= IN_FORCE_LIMIT, "in force after {took:?}");
    });
}

/// The readers of the data centre hang: they accept connections and answer nothing. The small node
/// may wait at the first one, but must not wait as long again at the second: others answer at once.
#[test]
fn a_change_takes_effect_in_time_while_the_nearest_readers_hang() {
    run(async {
        let fleet = Fleet::start().await;
        let hung = scripted_replica(|_| vec![standins::scripted::Step::Silence]);
        for node in fleet.readers.iter().chain([&fleet.small]) {
            let write = |name| node.store.put(name, &node_entry(hung.address, 2.0));
            ["n/r1", "n/r2"].into_iter().for_each(write);
        }
        pause(300).await;
        fleet.readers[2..].iter().for_each(|reader| reader.store.put("c", b"9"));

        let took = fleet.small.time_until(9, 3 * IN_FORCE_LIMIT).await;

        assert!(took <= IN_FORCE_LIMIT, "in force after {took:?}");
    });
}

/// The store rejects one reader for long, and accepts another. The first must receive a change
/// from the second, and put it in force in time for its callers.
#[test]
fn a_rejected_reader_receives_changes_from_other_readers() {
    run(async {
        let fleet = Fleet::start().await;
        let [first, second, ..] = &fleet.readers[..] else { unreachable!() };
        first.store.unavailable.set(true);
        pause(300).await;
        second.store.put("c", b"9");

        let took = first.time_until(9, 3 * IN_FORCE_LIMIT).await;

        assert!(took <= IN_FORCE_LIMIT, "in force after {took:?}");
    });
}

/// The store rejects two nodes, so their leases end and all other nodes see them removed. The
/// first one sees that too, by way of the second reader. If it removed the other node and
/// itself, all nodes that serve would divide the capacity of replicas among fewer: they would
/// send more repeats than are allowed, and open more connections than a replica takes.
#[test]
fn a_rejected_node_keeps_counting_other_rejected_nodes() {
    run(async {
        let fleet = Fleet::start().await;
        let [first, second, ..] = &fleet.readers[..] else { unreachable!() };
        let knows = |name: &str| first.tier.router.fleet.knows(&NodeName::from(name));
        first.store.unavailable.set(true);
        pause(300).await;
        ["n/r1", "n/r3"].into_iter().for_each(|key| second.store.delete(key));
        second.store.put("c", b"9");
        let took = first.time_until(9, IN_FORCE_LIMIT).await;
        pause(1_500).await;
        let during = (knows("r1"), knows("r3"));

        ["n/r1", "n/r3"].into_iter().for_each(|key| first.store.delete(key));
        first.store.unavailable.set(false);
        pause(1_500).await;

        assert!(took < IN_FORCE_LIMIT);
        assert_eq!(during, (true, true));
        assert_eq!((knows("r1"), knows("r3")), (false, false), "neither entry has returned");
    });
}
