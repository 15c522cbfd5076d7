//! Nodes that follow others, while the store turns away those that they follow.

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

/// Within what time a change that the store has confirmed must be in force on a node that
/// can be served by the store: the shortest that operators ask for.
const IN_FORCE: Duration = Duration::from_secs(3);

/// A node with a mirror and a store of its own view.
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

    /// How long it takes until `version` is in force, at most `limit`.
    async fn time_to(&self, version: u64, limit: Duration) -> Duration {
        let start = Instant::now();
        while self.version() < version && start.elapsed() < limit {
            pause(10).await;
        }
        start.elapsed()
    }
}

/// Two readers in each of two data centres, and a small node in the first one that
/// follows them. Each has its own way to the store.
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

/// Callers of a small node are answered by a configuration that was replaced seven seconds
/// ago. The store turns the readers away that it follows, and serves all others. A change
/// is confirmed. Each reader goes on answering with what it knew, and tells only at the end
/// of a long wait how old that is, so the waits at four of them add up: the logs show the
/// four, 1.5 s apart, and the change in force as soon as any other source is asked.
#[test]
fn a_change_is_in_force_in_time_while_all_readers_are_turned_away() {
    run(async {
        let fleet = Fleet::start().await;
        fleet.readers.iter().for_each(|reader| reader.store.away.set(true));
        fleet.small.store.put("c", b"9");

        let took = fleet.small.time_to(9, 3 * IN_FORCE).await;

        assert!(took <= IN_FORCE, "in force after {took:?}");
    });
}

/// The readers of the data centre hang: they take connections and answer nothing. The small
/// node waits at the first, and not as long again at the second: others tell at once.
#[test]
fn a_change_is_in_force_in_time_while_the_nearest_readers_hang() {
    run(async {
        let fleet = Fleet::start().await;
        let hung = scripted_replica(|_| vec![standins::scripted::Step::Silence]);
        for node in fleet.readers.iter().chain([&fleet.small]) {
            let write = |name| node.store.put(name, &node_entry(hung.address, 2.0));
            ["n/r1", "n/r2"].into_iter().for_each(write);
        }
        pause(300).await;
        fleet.readers[2..].iter().for_each(|reader| reader.store.put("c", b"9"));

        let took = fleet.small.time_to(9, 3 * IN_FORCE).await;

        assert!(took <= IN_FORCE, "in force after {took:?}");
    });
}

/// The store turns one reader away for long, and serves another. Callers of the first see a
/// change in time all the same: it hears of it from the second.
#[test]
fn a_reader_that_is_turned_away_hears_from_others() {
    run(async {
        let fleet = Fleet::start().await;
        let [first, second, ..] = &fleet.readers[..] else { unreachable!() };
        first.store.away.set(true);
        pause(300).await;
        second.store.put("c", b"9");

        let took = first.time_to(9, 3 * IN_FORCE).await;

        assert!(took <= IN_FORCE, "in force after {took:?}");
    });
}

/// The store turns two nodes away, and their leases end. All others are told that they are
/// gone, and so is the first by way of the second reader. If it believed that of the other
/// one and of itself, all nodes that serve would share among fewer what replicas bear: more
/// repeats than are allowed, more connections than a replica takes.
#[test]
fn a_node_that_is_turned_away_goes_on_counting_those_that_are_too() {
    run(async {
        let fleet = Fleet::start().await;
        let [first, second, ..] = &fleet.readers[..] else { unreachable!() };
        let knows = |name: &str| first.tier.router.fleet.knows(&NodeName::from(name));
        first.store.away.set(true);
        pause(300).await;
        ["n/r1", "n/r3"].into_iter().for_each(|key| second.store.delete(key));
        second.store.put("c", b"9");
        let took = first.time_to(9, IN_FORCE).await;
        pause(1_500).await;
        let during = (knows("r1"), knows("r3"));

        ["n/r1", "n/r3"].into_iter().for_each(|key| first.store.delete(key));
        first.store.away.set(false);
        pause(1_500).await;

        assert!(took < IN_FORCE);
        assert_eq!(during, (true, true));
        assert_eq!((knows("r1"), knows("r3")), (false, false), "they did not come back");
    });
}
