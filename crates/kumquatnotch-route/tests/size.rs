//! What a node holds and writes at the size to come: 2,000 nodes and 10,000 replicas.
//!
//! The fleet is that of the users' plan for two years from now: 1,900 nodes over 9,400
//! replicas, rounded up; a few nodes of each data centre carry the requests.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::{rc::Rc, time::Instant};

use common::*;
use fake::FakeStore;
use kumquatnotch_core::{
    Store, codec,
    ids::{DataCentre, NodeName, Region},
};
use kumquatnotch_route::{
    bulk::{Bulk, Change},
    fleet::NodeRecord,
    follow,
    mirror::Mirror,
    names::RouteName,
    route::{Route, RouteTable},
};
use schema::{TestSchema, options};

const NODES: usize = 2_000;
const REPLICAS: usize = 10_000;
const CENTRES: usize = 8;

fn node(number: usize) -> Vec<u8> {
    let record = NodeRecord {
        entry: refusing_address(),
        peer: refusing_address(),
        centre: DataCentre::from(format!("centre-{}", number % CENTRES)),
        region: Region::from(format!("region-{}", number % 2)),
        capacity: if number < 10 * CENTRES { 1.0 } else { 0.25 },
    };
    codec::encode(&record).unwrap()
}

/// The key of a replica, of which each service has six.
fn replica_key(number: usize) -> String {
    format!("r/s{}.{number:05}", number / 6)
}

/// A store with all nodes and replicas of the fleet.
fn store() -> Rc<FakeStore> {
    let store = Rc::new(FakeStore::default());
    store.put("c", b"3");
    for number in 0..NODES {
        store.put(&format!("n/{number:05}"), &node(number));
    }
    for number in 0..REPLICAS {
        let address = format!("10.0.{}.{}:80", number / 250, number % 250);
        store.put(&replica_key(number), address.as_bytes());
    }
    store
}

/// A node starts in the whole fleet. What it keeps is one entry for each replica and node,
/// and the changes for followers are bounded however many there are. It is ready within a
/// fraction of the time after which its callers would have come again.
#[test]
fn a_node_learns_the_whole_fleet_at_once_and_keeps_each_entry_once() {
    run(async {
        let (tier, store) = (Tier::new(), store());
        let dyn_store: Rc<dyn Store> = store.clone();
        let schema = Rc::new(TestSchema);
        let mirror = Mirror::new(options(), tier.router.clone(), dyn_store, schema);
        let began = Instant::now();
        mirror.start();
        while !tier.router.is_ready() {
            pause(5).await;
        }
        let took = began.elapsed();
        for number in 0..3 * REPLICAS {
            store.put(&replica_key(number % REPLICAS), b"10.9.9.9:80");
        }
        while tier.router.journal.revision() < store.revision.get() {
            pause(5).await;
        }

        assert_eq!((tier.router.directory.len(), tier.router.fleet.len()), (REPLICAS, NODES));
        assert_eq!(tier.router.journal.sizes(), (1 + NODES + REPLICAS, 2_000));
        // A debug build; the release build takes a tenth of it.
        assert!(took.as_millis() < 4_000, "took {took:?}");
    });
}

/// The configuration grows by 1,400 routes, twice. A request must not wait while it is taken
/// in, and finds its route as soon as before: 40,000 requests take 0.08 s of a debug build, and
/// took 0.76 s when all routes of their host were gone through for each.
#[test]
fn a_request_finds_its_route_among_thousands() {
    let route = |number: usize| Route {
        name: RouteName::from(format!("route-{number}").as_str()),
        prefix: format!("/a{number}/"),
        ..single()
    };
    let began = Instant::now();
    let table = RouteTable::new(config(1, (0..2_800).map(route).collect()));
    let taken_in = began.elapsed();

    let began = Instant::now();
    for number in (0..2_800).cycle().step_by(7).take(40_000) {
        let found = table.find(HOST, &format!("/a{number}/x/y")).unwrap();
        assert_eq!(found.prefix, format!("/a{number}/"));
    }
    let looked_up = began.elapsed();

    assert!(table.find(HOST, "/b/x").is_none());
    assert!(taken_in.as_millis() < 500, "taken in after {taken_in:?}");
    assert!(looked_up.as_millis() < 500, "found after {looked_up:?}");
}

/// Each data centre has two nodes that watch the store, however many there are.
#[test]
fn those_that_watch_the_store_dont_grow_with_the_fleet() {
    let candidates: Vec<(NodeName, NodeRecord)> = (0..NODES)
        .map(|number| {
            let name = NodeName::from(format!("n{number:05}"));
            (name, codec::decode(&node(number)).unwrap())
        })
        .collect();

    let watching: usize = (0..CENTRES)
        .map(|centre| DataCentre::from(format!("centre-{centre}")))
        .map(|centre| follow::readers(&centre, &candidates).len())
        .sum();

    assert_eq!(watching, CENTRES * follow::READERS);
}

/// Ten thousand replicas that come at once are one line of the log, a few are a line each.
#[test]
fn entries_that_come_together_are_told_by_their_number() {
    let bulk = Bulk::default();

    bulk.begin(REPLICAS);
    let many = (0..REPLICAS).all(|_| bulk.takes(Change::Replica));
    bulk.end();
    bulk.begin(3);
    let few = bulk.takes(Change::Replica);
    bulk.end();

    assert!(many && !few);
}

/// A request reached a replica that was leaving, and many entries changed at that moment.
/// When this node knew that is in the log all the same, for a bounded number of replicas.
#[test]
fn replicas_that_leave_are_named_also_among_many() {
    let bulk = Bulk::default();

    bulk.begin(REPLICAS);
    let named = |change| (0..REPLICAS).filter(|_| !bulk.takes(change)).count();
    let (draining, gone) = (named(Change::Draining), named(Change::ReplicaGone));
    bulk.end();

    assert_eq!((draining, gone), (16, 16));
}
